// Package binary reads and writes the headers of the memcached binary protocol, as the
// memcached project's description has it (Binary Protocol Revamped, and SASL in it).
// It knows no sockets and nobody else: fronts and nodes read a header of 24 bytes, ask
// what it is fit for, and only then make room for what follows.
//
// Invariants:
//
//  1. No length of a header is believed before [Header.Validate] has: it tells how much may
//     be read, and how much has to be skipped to keep the framing.
//  2. Every opcode has a [Fate]; one that is not known is skipped as a whole.
//  3. What Append makes, Parse reads as the same.
package binary

import (
	"encoding/binary"
	"errors"
	"strconv"
)

// The bounds of what is accepted.
const (
	HeaderLen = 24
	MaxKey    = 250
	MaxValue  = 64 << 10
	maxExtras = 20
	// MaxBody is the longest body that can be meant.
	MaxBody = maxExtras + MaxKey + MaxValue
	// MaxSkippedBody is the longest body that is passed over to keep the framing. A header
	// that promises more ends its connection: no client of ours has so much to say.
	MaxSkippedBody = 1 << 20
)

// The first bytes of requests and responses.
const (
	RequestMagic  = 0x80
	ResponseMagic = 0x81
)

// Opcode is a command.
type Opcode uint8

// The commands that are told apart.
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

// Status is how a response says that a request ended.
type Status uint16

// The statuses that are used.
const (
	OK               Status = 0x0000
	NotFound         Status = 0x0001
	Exists           Status = 0x0002
	TooLarge         Status = 0x0003
	InvalidArguments Status = 0x0004
	AuthError        Status = 0x0020
	AuthContinue     Status = 0x0021
	UnknownCommand   Status = 0x0081
	OutOfMemory      Status = 0x0082
	NotSupported     Status = 0x0083
	InternalError    Status = 0x0084
	Busy             Status = 0x0085
)

var statusTexts = map[Status]string{NotFound: "Not found", Exists: "Data exists for key", TooLarge: "Too large",
	InvalidArguments: "Invalid arguments", AuthError: "Auth failure", AuthContinue: "Continue", UnknownCommand: "Unknown command",
	OutOfMemory: "Out of memory", NotSupported: "Not supported", InternalError: "Internal error", Busy: "Busy"}

// String is the text that a response with the status has for a value.
func (s Status) String() string { return statusTexts[s] }

// Handling is what becomes of a command at a proxy.
type Handling uint8

// The fates. Unsupported commands need what a read-through node can't carry out under
// the rules: a condition on what is stored, or a change of it that has no key to
// drop its repeats by.
const (
	Unknown     Handling = iota // no such command
	Unsupported                 // known, and never sent on
	Forwarded                   // a request of a node's
	Local                       // answered by the proxy itself
)

// commandForm is what a command's header must look like.
type commandForm struct {
	handling   Handling
	quiet      bool // a success (of a get: a miss) is not told
	extras     int
	optional   bool // extras may be left out
	key, value bool // it has one
	freeForm   bool // it may have either, or not
}

var commandForms = map[Opcode]commandForm{
	Get:  {handling: Forwarded, key: true},
	GetQ: {handling: Forwarded, key: true, quiet: true}, GetK: {handling: Forwarded, key: true}, GetKQ: {handling: Forwarded, key: true, quiet: true},
	Set: {handling: Forwarded, extras: 8, key: true, value: true}, SetQ: {handling: Forwarded, extras: 8, key: true, value: true, quiet: true},
	Noop: {handling: Local}, Version: {handling: Local}, Quit: {handling: Local}, QuitQ: {handling: Local, quiet: true}, Stat: {handling: Local, freeForm: true},
	SASLList: {handling: Local}, SASLAuth: {handling: Local, key: true, value: true}, SASLStep: {handling: Local, key: true, value: true},
	Add: {handling: Unsupported, extras: 8, key: true, value: true}, AddQ: {handling: Unsupported, extras: 8, key: true, value: true, quiet: true},
	Replace: {handling: Unsupported, extras: 8, key: true, value: true}, ReplaceQ: {handling: Unsupported, extras: 8, key: true, value: true, quiet: true},
	Delete: {handling: Unsupported, key: true}, DeleteQ: {handling: Unsupported, key: true, quiet: true},
	Increment: {handling: Unsupported, extras: 20, key: true}, IncrementQ: {handling: Unsupported, extras: 20, key: true, quiet: true},
	Decrement: {handling: Unsupported, extras: 20, key: true}, DecrementQ: {handling: Unsupported, extras: 20, key: true, quiet: true},
	Append: {handling: Unsupported, key: true, value: true}, AppendQ: {handling: Unsupported, key: true, value: true, quiet: true},
	Prepend: {handling: Unsupported, key: true, value: true}, PrependQ: {handling: Unsupported, key: true, value: true, quiet: true},
	Flush: {handling: Unsupported, extras: 4, optional: true}, FlushQ: {handling: Unsupported, extras: 4, optional: true, quiet: true},
	Touch: {handling: Unsupported, extras: 4, key: true}, GAT: {handling: Unsupported, extras: 4, key: true}, GATQ: {handling: Unsupported, extras: 4, key: true, quiet: true},
}

// Handling returns what becomes of a command.
func (o Opcode) Handling() Handling { return commandForms[o].handling }

// Quiet tells whether a command's success is left unsaid.
func (o Opcode) Quiet() bool { return commandForms[o].quiet }

// ReturnsKey tells whether the answer to a get holds its key.
func (o Opcode) ReturnsKey() bool { return o == GetK || o == GetKQ }

// Header is the head of a request or a response.
type Header struct {
	Opcode    Opcode
	KeyLen    int // bytes
	ExtrasLen int
	DataType  uint8
	Status    Status // of a response; a request's vbucket
	BodyLen   int    // bytes of extras, key and value together
	Opaque    uint32 // goes back as it came
	CAS       uint64
}

// Errors of what is no header at all. The connection can't be read on after them.
var (
	ErrBadMagic  = errors.New("binary: not the first byte of a header")
	ErrBadLength = errors.New("binary: a length that cannot be")
)

// ParseHeader reads the HeaderLen bytes of a header that begins with magic. With ErrLength
// the header is returned too, as its sender can be told.
func ParseHeader(b []byte, magic byte) (Header, error) {
	if len(b) < HeaderLen || b[0] != magic {
		return Header{}, ErrBadMagic
	}
	body := binary.BigEndian.Uint32(b[8:])
	h := Header{Opcode: Opcode(b[1]), KeyLen: int(binary.BigEndian.Uint16(b[2:])), ExtrasLen: int(b[4]), DataType: b[5],
		Status: Status(binary.BigEndian.Uint16(b[6:])), Opaque: binary.BigEndian.Uint32(b[12:]), CAS: binary.BigEndian.Uint64(b[16:])}
	h.BodyLen = int(body)
	if int64(body) > MaxSkippedBody || h.KeyLen+h.ExtrasLen > int(body) {
		return h, ErrBadLength
	}
	return h, nil
}

// ValueLen is the length of a value in bytes.
func (h *Header) ValueLen() int { return h.BodyLen - h.KeyLen - h.ExtrasLen }

// Validate tells whether a request can be what its opcode stands for: OK, or the status of
// its answer. Its body is then to be skipped.
func (h *Header) Validate() Status {
	f, known := commandForms[h.Opcode]
	switch {
	case !known:
		return UnknownCommand
	case h.ValueLen() > MaxValue:
		return TooLarge
	case h.DataType != 0, h.KeyLen > MaxKey, h.ExtrasLen != f.extras && (!f.optional || h.ExtrasLen != 0):
		return InvalidArguments
	case f.freeForm:
	case (h.KeyLen > 0) != f.key, h.ValueLen() > 0 && !f.value:
		return InvalidArguments
	}
	if f.handling == Unsupported {
		return NotSupported
	}
	return OK
}

// Append appends the header with the magic of a request or a response.
func (h *Header) Append(dst []byte, magic byte) []byte {
	dst = append(dst, magic, byte(h.Opcode))
	dst = binary.BigEndian.AppendUint16(dst, uint16(h.KeyLen))
	dst = append(dst, byte(h.ExtrasLen), h.DataType)
	dst = binary.BigEndian.AppendUint16(dst, uint16(h.Status))
	dst = binary.BigEndian.AppendUint32(dst, uint32(h.BodyLen))
	dst = binary.BigEndian.AppendUint32(dst, h.Opaque)
	return binary.BigEndian.AppendUint64(dst, h.CAS)
}

// AppendStatus appends a whole response to a request that says no more than how it
// ended. Advice when to come again, in ms, is part of a Busy's text if it is positive.
func AppendStatus(dst []byte, to *Header, status Status, advice int64) []byte {
	text := status.String()
	if status == Busy && advice > 0 {
		text += " " + strconv.FormatInt(advice, 10)
	}
	h := Header{Opcode: to.Opcode, Status: status, BodyLen: len(text), Opaque: to.Opaque}
	return append(h.Append(dst, ResponseMagic), text...)
}
