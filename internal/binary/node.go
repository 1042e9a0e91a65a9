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

// Node is the dialect towards cache nodes. It has no room for a request's id, class,
// tenant, wait or idempotency key: answers are told apart by the opaque, which is the
// request's serial, and a node can't know that nobody waits any more.
type Node struct{}

// maxText is the longest text of an answer that is no value.
const maxText = 2048

// ErrAnswer is the error of what is no answer, or not that of the request.
var ErrAnswer = errors.New("binary: malformed answer")

// AppendHead appends a request up to its value.
func (Node) AppendHead(dst []byte, r *request.Request, _ time.Duration) []byte {
	h := Header{Opcode: Get, Key: len(r.Key), Body: len(r.Key), Opaque: r.Serial}
	if r.Verb == request.Set {
		h.Opcode, h.Extras, h.Body = Set, 8, 8+len(r.Key)+len(r.Value)
	}
	dst = h.Append(dst, RequestMagic)
	if r.Verb == request.Set {
		dst = append(dst, byte(r.Flags>>24), byte(r.Flags>>16), byte(r.Flags>>8), byte(r.Flags), 0, 0, 0, 0)
	}
	return append(dst, r.Key...)
}

// AppendTail appends what follows a request's value: nothing.
func (Node) AppendTail(dst []byte, _ *request.Request) []byte { return dst }

// ReadAnswer reads the answer to a request. After an error where the next answer
// begins can't be known.
func (Node) ReadAnswer(in *bufio.Reader, r *request.Request) (a request.Answer, err error) {
	b, err := in.Peek(HeaderLen)
	if err != nil {
		return a, err
	}
	h, err := Parse(b, ResponseMagic)
	if err != nil {
		return a, fmt.Errorf("%w: %w", ErrAnswer, err)
	}
	asked := Get
	if r.Verb == request.Set {
		asked = Set
	}
	// Passing on another request's answer would be worse than losing the connection.
	if h.Opcode != asked || h.Opaque != r.Serial || h.DataType != 0 {
		return a, fmt.Errorf("%w: to %#x with opaque %#x where %#x with %#x is due", ErrAnswer, h.Opcode, h.Opaque, asked, r.Serial)
	}
	in.Discard(HeaderLen) // it has been peeked at
	switch {
	case h.Status == OK && r.Verb == request.Set:
		a.Kind, a.Receipt = request.Stored, strconv.FormatUint(h.CAS, 10)
		if h.Body != 0 {
			return a, fmt.Errorf("%w: a body of %d bytes behind a set", ErrAnswer, h.Body)
		}
		return a, nil
	case h.Status == OK:
		if h.Key != 0 || h.Extras != 4 || h.Value() > MaxValue {
			return a, fmt.Errorf("%w: key %d, extras %d and value %d of a get", ErrAnswer, h.Key, h.Extras, h.Value())
		}
		var extras [4]byte
		if _, err := io.ReadFull(in, extras[:]); err != nil {
			return a, err
		}
		a.Flags = uint32(extras[0])<<24 | uint32(extras[1])<<16 | uint32(extras[2])<<8 | uint32(extras[3])
		_, err := io.ReadFull(in, a.NewValue(r.Room, h.Value()))
		return a, err
	case h.Body > maxText:
		return a, fmt.Errorf("%w: a text of %d bytes", ErrAnswer, h.Body)
	}
	if a.Kind = request.Failed; h.Status == Busy {
		a.Kind = request.Busy
	} else if h.Status == NotFound && r.Verb == request.Get {
		a.Kind = request.Missing
	}
	_, err = in.Discard(h.Body)
	return a, err
}
