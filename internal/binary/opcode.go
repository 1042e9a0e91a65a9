package binary

// Opcode is a command.
type Opcode uint8

// The known commands. Those that end in Q are quiet.
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

// Handling is what becomes of a command at a proxy.
type Handling uint8

// The ways of handling. Unsupported commands need what a read-through node can't carry out: a condition on what
// is stored, or a change of it that has no key to drop its repeats by.
const (
	Unknown     Handling = iota // no such command
	Unsupported                 // known, and never sent to a node
	Forwarded                   // a request to a node
	Local                       // answered by the proxy itself
)

// commandForm is what a command's header must look like.
type commandForm struct {
	handling       Handling
	quiet          bool // a success (of a get: a miss) is not answered
	extras         int  // bytes
	optionalExtras bool // they may be left out
	key, value     bool // it has one
	freeForm       bool // it may have a key and a value, or not
}

// quietly returns the form of the quiet kind of a command.
func (f commandForm) quietly() commandForm {
	f.quiet = true
	return f
}

// Lengths of extras in bytes.
const (
	// FlagsLen is the length of the flags that a value is stored with: all extras of a get's response.
	FlagsLen = 4
	// storeExtrasLen is that of a store: flags and expiration.
	storeExtrasLen = 8
	// expirationLen is that of a command with nothing but an expiration.
	expirationLen = 4
	// counterExtrasLen is that of an increment: delta, initial value and expiration.
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

// Handling returns what becomes of a command.
func (o Opcode) Handling() Handling { return commandForms[o].handling }

// Quiet reports whether a command's success is not answered.
func (o Opcode) Quiet() bool { return commandForms[o].quiet }

// ReturnsKey reports whether the answer to a get contains its key.
func (o Opcode) ReturnsKey() bool { return o == GetK || o == GetKQ }
