package binary

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"strconv"
	"time"

	"mulleinpier/internal/request"
)

// NodeDialect is the dialect towards cache nodes. It has no room for a request's id, class,
// tenant, wait or idempotency key: answers are told apart by the opaque, which is the
// request's serial, and a node can't know that nobody waits any more.
type NodeDialect struct{}

// maxTextLen is the longest text of an answer that is no value.
const maxTextLen = 2048

// ErrMalformedAnswer is the error of what is no answer, or not that of the request.
var ErrMalformedAnswer = errors.New("binary: malformed answer")

// AppendHead appends a request up to its value.
func (NodeDialect) AppendHead(dst []byte, r *request.Request, _ time.Duration) []byte {
	h := Header{Opcode: Get, KeyLen: len(r.Key), BodyLen: len(r.Key), Opaque: r.Serial}
	if r.Verb == request.Set {
		h.Opcode, h.ExtrasLen, h.BodyLen = Set, 8, 8+len(r.Key)+len(r.Value)
	}
	dst = h.Append(dst, RequestMagic)
	if r.Verb == request.Set {
		dst = append(dst, byte(r.Flags>>24), byte(r.Flags>>16), byte(r.Flags>>8), byte(r.Flags), 0, 0, 0, 0)
	}
	return append(dst, r.Key...)
}

// AppendTail appends what follows a request's value: nothing.
func (NodeDialect) AppendTail(dst []byte, _ *request.Request) []byte { return dst }

// ReadAnswer reads the answer to a request. After an error where the next answer
// begins can't be known.
func (NodeDialect) ReadAnswer(in *bufio.Reader, r *request.Request) (a request.Answer, err error) {
	b, err := in.Peek(HeaderLen)
	if err != nil {
		return a, err
	}
	h, err := ParseHeader(b, ResponseMagic)
	if err != nil {
		return a, fmt.Errorf("%w: %w", ErrMalformedAnswer, err)
	}
	asked := Get
	if r.Verb == request.Set {
		asked = Set
	}
	// Passing on another request's answer would be worse than losing the connection.
	if h.Opcode != asked || h.Opaque != r.Serial || h.DataType != 0 {
		return a, fmt.Errorf("%w: to %#x with opaque %#x where %#x with %#x is due", ErrMalformedAnswer, h.Opcode, h.Opaque, asked, r.Serial)
	}
	in.Discard(HeaderLen) // it has been peeked at
	switch {
	case h.Status == OK && r.Verb == request.Set:
		a.Kind, a.Receipt = request.Stored, strconv.FormatUint(h.CAS, 10)
		if h.BodyLen != 0 {
			return a, fmt.Errorf("%w: a body of %d bytes behind a set", ErrMalformedAnswer, h.BodyLen)
		}
		return a, nil
	case h.Status == OK:
		if h.KeyLen != 0 || h.ExtrasLen != 4 || h.ValueLen() > MaxValue {
			return a, fmt.Errorf("%w: key %d, extras %d and value %d of a get", ErrMalformedAnswer, h.KeyLen, h.ExtrasLen, h.ValueLen())
		}
		var extras [4]byte
		if _, err := io.ReadFull(in, extras[:]); err != nil {
			return a, err
		}
		a.Flags = uint32(extras[0])<<24 | uint32(extras[1])<<16 | uint32(extras[2])<<8 | uint32(extras[3])
		_, err := io.ReadFull(in, a.AllocateValue(r.HeaderRoom, h.ValueLen()))
		return a, err
	case h.BodyLen > maxTextLen:
		return a, fmt.Errorf("%w: a text of %d bytes", ErrMalformedAnswer, h.BodyLen)
	}
	if a.Kind = request.Failed; h.Status == Busy {
		a.Kind = request.Busy
	} else if h.Status == NotFound && r.Verb == request.Get {
		a.Kind = request.NotFound
	}
	_, err = in.Discard(h.BodyLen)
	return a, err
}
