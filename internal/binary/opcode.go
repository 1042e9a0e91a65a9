package binary

// Opcode is the code of a command.
type Opcode uint8

// The known commands. Names that end in Q are quiet commands, see [Opcode.Quiet].
const (
	Get        Opcode = 0x00
	Set        Opcode = 0x01
	Add        Opcode = 0x02
	Replace    Opcode = 0x03
	Delete     Opcode = 0x04
	Increment  Opcode = 0x05
	Decrement  Opcode = 0x06
	Quit       Opcode = 0x07
	Flush      Opcode = 0x08
	GetQ       Opcode = 0x09
	Noop       Opcode = 0x0a
	Version    Opcode = 0x0b
	GetK       Opcode = 0x0c
	GetKQ      Opcode = 0x0d
	Append     Opcode = 0x0e
	Prepend    Opcode = 0x0f
	Stat       Opcode = 0x10
	SetQ       Opcode = 0x11
	AddQ       Opcode = 0x12
	ReplaceQ   Opcode = 0x13
	DeleteQ    Opcode = 0x14
	IncrementQ Opcode = 0x15
	DecrementQ Opcode = 0x16
	QuitQ      Opcode = 0x17
	FlushQ     Opcode = 0x18
	AppendQ    Opcode = 0x19
	PrependQ   Opcode = 0x1a
	Touch      Opcode = 0x1c
	GAT        Opcode = 0x1d
	GATQ       Opcode = 0x1e
	SASLList   Opcode = 0x20
	SASLAuth   Opcode = 0x21
	SASLStep   Opcode = 0x22
)

// Handling is how a proxy handles a command.
type Handling uint8

// The ways of handling. Unsupported commands need operations that a read-through node cannot execute: a condition on
// the stored value, or a change of it without an idempotency key by which nodes could drop duplicates.
const (
	Unknown     Handling = iota // no such command
	Unsupported                 // known, but never sent to a node
	Forwarded                   // sent to a node as a request
	Local                       // answered by the proxy itself
)

// commandForm describes a valid header of a command.
type commandForm struct {
	handling       Handling
	quiet          bool // a success (for a get: a miss) is not answered
	extras         int  // bytes
	optionalExtras bool // extras may be omitted
	key, value     bool // a key is required; a value is allowed
	freeForm       bool // key and value are both optional
}

// quietly returns the form of the quiet variant of a command.
func (f commandForm) quietly() commandForm {
	f.quiet = true
	return f
}

// Lengths of extras in bytes.
const (
	// FlagsLen is for the flags of a stored value, the only extras of the response to a get.
	FlagsLen = 4
	// storeExtrasLen is for a store: flags and expiration.
	storeExtrasLen = 8
	// expirationLen is for a command with only an expiration.
	expirationLen = 4
	// counterExtrasLen is for an increment or decrement: delta, initial value and expiration.
	counterExtrasLen = 20
)

var (
	getForm   = commandForm{handling: Forwarded, key: true}
	setForm   = commandForm{handling: Forwarded, extras: storeExtrasLen, key: true, value: true}
	localForm = commandForm{handling: Local}
	loginForm = commandForm{handling: Local, key: true, value: true}

	storeForm   = commandForm{handling: Unsupported, extras: storeExtrasLen, key: true, value: true}
	deleteForm  = commandForm{handling: Unsupported, key: true}
	counterForm = commandForm{handling: Unsupported, extras: counterExtrasLen, key: true}
	concatForm  = commandForm{handling: Unsupported, key: true, value: true}
	flushForm   = commandForm{handling: Unsupported, extras: expirationLen, optionalExtras: true}
	touchForm   = commandForm{handling: Unsupported, extras: expirationLen, key: true}
)

var commandForms = map[Opcode]commandForm{
	Get:        getForm,
	GetQ:       getForm.quietly(),
	GetK:       getForm,
	GetKQ:      getForm.quietly(),
	Set:        setForm,
	SetQ:       setForm.quietly(),
	Noop:       localForm,
	Version:    localForm,
	Quit:       localForm,
	QuitQ:      localForm.quietly(),
	Stat:       {handling: Local, freeForm: true},
	SASLList:   localForm,
	SASLAuth:   loginForm,
	SASLStep:   loginForm,
	Add:        storeForm,
	AddQ:       storeForm.quietly(),
	Replace:    storeForm,
	ReplaceQ:   storeForm.quietly(),
	Delete:     deleteForm,
	DeleteQ:    deleteForm.quietly(),
	Increment:  counterForm,
	IncrementQ: counterForm.quietly(),
	Decrement:  counterForm,
	DecrementQ: counterForm.quietly(),
	Append:     concatForm,
	AppendQ:    concatForm.quietly(),
	Prepend:    concatForm,
	PrependQ:   concatForm.quietly(),
	Flush:      flushForm,
	FlushQ:     flushForm.quietly(),
	Touch:      touchForm,
	GAT:        touchForm,
	GATQ:       touchForm.quietly(),
}

// Handling returns how a proxy handles the command, Unknown for an unknown one.
func (o Opcode) Handling() Handling { return commandForms[o].handling }

// Quiet reports whether a success (for a get: a miss) is not answered.
func (o Opcode) Quiet() bool { return commandForms[o].quiet }

// ReturnsKey reports whether the answer to a get contains its key.
func (o Opcode) ReturnsKey() bool { return o == GetK || o == GetKQ }
