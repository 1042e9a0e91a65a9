// Package binary reads and writes the headers of the memcached binary protocol, as the memcached project's
// "Binary Protocol Revamped" and its SASL extension describe it. Frontends and the connections to nodes read a
// header, check what it is fit for, and only then allocate for what follows.
//
// Invariants:
//
//  1. No length of a header is used unchecked: [ParseHeader] bounds what may have to be skipped to keep the
//     framing, [Header.Validate] what of a request may be read.
//  2. Every opcode has a [Handling]; an unknown one is skipped with its body.
//  3. What Append writes, ParseHeader reads as the same.
//
// The package knows no sockets, has no state and starts no goroutine.
package binary

import (
	"encoding/binary"
	"errors"
	"strconv"
)

// The bounds of what is accepted, in bytes.
const (
	HeaderLen    = 24
	MaxKey       = 250
	MaxValue     = 64 << 10
	maxExtrasLen = counterExtrasLen
	// MaxBody is the longest valid body.
	MaxBody = maxExtrasLen + MaxKey + MaxValue
	// MaxSkippedBody is the longest body that is skipped to keep the framing. A header that announces more
	// ends its connection: no client of ours has so much to send.
	MaxSkippedBody = 1 << 20
)

// The first bytes of requests and responses.
const (
	RequestMagic  = 0x80
	ResponseMagic = 0x81
)

// Status is how a response reports that a request ended.
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

var statusTexts = map[Status]string{
	NotFound:         "Not found",
	Exists:           "Data exists for key",
	TooLarge:         "Too large",
	InvalidArguments: "Invalid arguments",
	AuthError:        "Auth failure",
	AuthContinue:     "Continue",
	UnknownCommand:   "Unknown command",
	OutOfMemory:      "Out of memory",
	NotSupported:     "Not supported",
	InternalError:    "Internal error",
	Busy:             "Busy",
}

// String returns the text that is the value of a response with the status.
func (s Status) String() string { return statusTexts[s] }

// Header is the header of a request or a response. Lengths are in bytes.
type Header struct {
	Opcode    Opcode
	KeyLen    int
	ExtrasLen int
	DataType  uint8
	Status    Status // of a response; a request's vbucket
	BodyLen   int    // of extras, key and value together
	Opaque    uint32 // returned as it came
	CAS       uint64
}

// Errors of an invalid header. The connection can't be read any further.
var (
	ErrBadMagic  = errors.New("binary: wrong first byte of a header")
	ErrBadLength = errors.New("binary: impossible length")
)

// ParseHeader reads the HeaderLen bytes of a header that begins with magic. With ErrBadLength the header is
// returned too, so that its sender can be answered.
func ParseHeader(text []byte, magic byte) (Header, error) {
	if len(text) < HeaderLen || text[0] != magic {
		return Header{}, ErrBadMagic
	}
	bodyLen := binary.BigEndian.Uint32(text[8:])
	h := Header{
		Opcode:    Opcode(text[1]),
		KeyLen:    int(binary.BigEndian.Uint16(text[2:])),
		ExtrasLen: int(text[4]),
		DataType:  text[5],
		Status:    Status(binary.BigEndian.Uint16(text[6:])),
		BodyLen:   int(bodyLen),
		Opaque:    binary.BigEndian.Uint32(text[12:]),
		CAS:       binary.BigEndian.Uint64(text[16:]),
	}
	if int64(bodyLen) > MaxSkippedBody || h.KeyLen+h.ExtrasLen > h.BodyLen {
		return h, ErrBadLength
	}
	return h, nil
}

// ValueLen returns the length of the value in bytes.
func (h *Header) ValueLen() int { return h.BodyLen - h.KeyLen - h.ExtrasLen }

// Validate checks whether the header of a request is one that its opcode allows. It returns OK, or the status to
// answer after its body was skipped.
func (h *Header) Validate() Status {
	form, known := commandForms[h.Opcode]
	switch {
	case !known:
		return UnknownCommand
	case h.ValueLen() > MaxValue:
		return TooLarge
	case !h.fits(&form):
		return InvalidArguments
	case form.handling == Unsupported:
		return NotSupported
	}
	return OK
}

// fits reports whether the header has what a command must have, and nothing else.
func (h *Header) fits(form *commandForm) bool {
	extrasFit := h.ExtrasLen == form.extras || form.optionalExtras && h.ExtrasLen == 0
	if h.DataType != 0 || h.KeyLen > MaxKey || !extrasFit {
		return false
	}
	keyFits := (h.KeyLen > 0) == form.key
	valueFits := h.ValueLen() == 0 || form.value
	return form.freeForm || keyFits && valueFits
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

// AppendStatus appends a complete response to a request that consists of a status. A Busy's text contains the
// advice when to retry, in milliseconds, if that is positive.
func AppendStatus(dst []byte, to *Header, status Status, retryAfterMillis int64) []byte {
	text := status.String()
	if status == Busy && retryAfterMillis > 0 {
		text += " " + strconv.FormatInt(retryAfterMillis, 10)
	}
	h := Header{Opcode: to.Opcode, Status: status, BodyLen: len(text), Opaque: to.Opaque}
	return append(h.Append(dst, ResponseMagic), text...)
}
