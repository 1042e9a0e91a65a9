// Package binary reads and writes the headers of the memcached binary protocol, as the memcached project's
// "Binary Protocol Revamped" and its SASL extension describe it. Frontends and the connections to nodes read a
// header and validate it before they allocate memory for the body.
//
// Invariants:
//
//  1. Lengths in a header are checked before use: [ParseHeader] bounds the body that may be skipped to keep the
//     framing, [Header.Validate] the body of a request that may be read.
//  2. Every opcode has a [Handling]; a request with an unknown one is skipped with its body.
//  3. ParseHeader returns the same header that Append has written.
//
// The package uses no sockets, has no state and starts no goroutine.
package binary

import (
	"encoding/binary"
	"errors"
	"strconv"
)

// Limits of what is accepted, in bytes.
const (
	HeaderLen    = 24
	MaxKey       = 250
	MaxValue     = 64 << 10
	maxExtrasLen = counterExtrasLen
	// MaxBody is the longest valid body.
	MaxBody = maxExtrasLen + MaxKey + MaxValue
	// MaxSkippedBody is the longest body that is skipped to keep the framing. A header with a longer one ends its
	// connection: none of our clients sends that much.
	MaxSkippedBody = 1 << 20
)

// Magic numbers: the first bytes of requests and responses.
const (
	RequestMagic  = 0x80
	ResponseMagic = 0x81
)

// Status is the result of a request, as its response reports it.
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

// String returns the text that a response with the status has as its value.
func (s Status) String() string { return statusTexts[s] }

// Header is the header of a request or a response. Lengths are in bytes.
type Header struct {
	Opcode    Opcode
	KeyLen    int
	ExtrasLen int
	DataType  uint8
	Status    Status // of a response; in a request, the vbucket
	BodyLen   int    // extras, key and value together
	Opaque    uint32 // chosen by the client, copied to the response
	CAS       uint64
}

// Errors of an invalid header. The connection cannot be used after them, because the framing is lost.
var (
	ErrBadMagic  = errors.New("binary: wrong magic number in a header")
	ErrBadLength = errors.New("binary: invalid length in a header")
)

// ParseHeader parses the HeaderLen bytes of a header that begins with magic. With ErrBadLength it returns the header
// too, so that the caller can answer.
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

// Validate checks the header of a request against its opcode. It returns OK, or the status for the response, which is
// sent after the body has been skipped.
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

// fits reports whether data type, key, extras and value are valid for the command.
func (h *Header) fits(form *commandForm) bool {
	extrasFit := h.ExtrasLen == form.extras || form.optionalExtras && h.ExtrasLen == 0
	if h.DataType != 0 || h.KeyLen > MaxKey || !extrasFit {
		return false
	}
	keyFits := (h.KeyLen > 0) == form.key
	valueFits := h.ValueLen() == 0 || form.value
	return form.freeForm || keyFits && valueFits
}

// Append appends the header in wire format; magic is RequestMagic or ResponseMagic.
func (h *Header) Append(dst []byte, magic byte) []byte {
	dst = append(dst, magic, byte(h.Opcode))
	dst = binary.BigEndian.AppendUint16(dst, uint16(h.KeyLen))
	dst = append(dst, byte(h.ExtrasLen), h.DataType)
	dst = binary.BigEndian.AppendUint16(dst, uint16(h.Status))
	dst = binary.BigEndian.AppendUint32(dst, uint32(h.BodyLen))
	dst = binary.BigEndian.AppendUint32(dst, h.Opaque)
	return binary.BigEndian.AppendUint64(dst, h.CAS)
}

// AppendStatus appends a complete response to a request, with a status and its text. With Busy, the text contains
// retryAfterMillis if that is positive.
func AppendStatus(dst []byte, to *Header, status Status, retryAfterMillis int64) []byte {
	text := status.String()
	if status == Busy && retryAfterMillis > 0 {
		text += " " + strconv.FormatInt(retryAfterMillis, 10)
	}
	h := Header{Opcode: to.Opcode, Status: status, BodyLen: len(text), Opaque: to.Opaque}
	return append(h.Append(dst, ResponseMagic), text...)
}
