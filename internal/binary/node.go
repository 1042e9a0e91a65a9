package binary

import (
	"bufio"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"strconv"
	"time"

	"mulleinpier/internal/request"
)

// maxTextLen is the longest body of an answer that is no value, in bytes.
const maxTextLen = 2048

// ErrMalformedAnswer is the error of what is no answer, or not that of the request.
var ErrMalformedAnswer = errors.New("binary: malformed answer")

// NodeDialect is the dialect towards cache nodes. It has no room for a request's id, class, tenant, timeout or
// idempotency key: answers are told apart by the opaque, which is the request's serial, and a node can't know
// that nobody waits any more.
type NodeDialect struct{}

// AppendHead appends a request up to its value.
func (NodeDialect) AppendHead(dst []byte, r *request.Request, _ time.Duration) []byte {
	if r.Verb != request.Set {
		h := Header{Opcode: Get, KeyLen: len(r.Key), BodyLen: len(r.Key), Opaque: r.Serial}
		return append(h.Append(dst, RequestMagic), r.Key...)
	}
	h := Header{
		Opcode:    Set,
		KeyLen:    len(r.Key),
		ExtrasLen: storeExtrasLen,
		BodyLen:   storeExtrasLen + len(r.Key) + len(r.Value),
		Opaque:    r.Serial,
	}
	const noExpiration = 0
	dst = h.Append(dst, RequestMagic)
	dst = binary.BigEndian.AppendUint32(dst, r.Flags)
	dst = binary.BigEndian.AppendUint32(dst, noExpiration)
	return append(dst, r.Key...)
}

// AppendTail appends what follows a request's value: nothing.
func (NodeDialect) AppendTail(dst []byte, _ *request.Request) []byte { return dst }

// ReadAnswer reads the answer to a request. After an error the start of the next answer is not known.
func (NodeDialect) ReadAnswer(in *bufio.Reader, r *request.Request) (request.Answer, error) {
	h, err := readAnswerHeader(in, r)
	if err != nil {
		return request.Answer{}, err
	}
	switch {
	case h.Status == OK && r.Verb == request.Set:
		return storedAnswer(&h)
	case h.Status == OK:
		return readValue(in, &h, r)
	case h.BodyLen > maxTextLen:
		return request.Answer{}, fmt.Errorf("%w: a text of %d bytes", ErrMalformedAnswer, h.BodyLen)
	}
	answer := request.Answer{Kind: request.Failed}
	if h.Status == Busy {
		answer.Kind = request.Busy
	} else if h.Status == NotFound && r.Verb == request.Get {
		answer.Kind = request.NotFound
	}
	_, err = in.Discard(h.BodyLen)
	return answer, err
}

// readAnswerHeader reads the header of an answer. One that does not belong to the request is an error: passing on
// another request's answer would be worse than losing the connection.
func readAnswerHeader(in *bufio.Reader, r *request.Request) (Header, error) {
	text, err := in.Peek(HeaderLen)
	if err != nil {
		return Header{}, err
	}
	h, err := ParseHeader(text, ResponseMagic)
	if err != nil {
		return h, fmt.Errorf("%w: %w", ErrMalformedAnswer, err)
	}
	want := Get
	if r.Verb == request.Set {
		want = Set
	}
	if h.Opcode != want || h.Opaque != r.Serial || h.DataType != 0 {
		return h, fmt.Errorf("%w: to %#x with opaque %#x where %#x with %#x is due",
			ErrMalformedAnswer, h.Opcode, h.Opaque, want, r.Serial)
	}
	in.Discard(HeaderLen) // can't fail: it has been peeked at
	return h, nil
}

// storedAnswer returns the answer to a successful set, whose receipt is its CAS.
func storedAnswer(h *Header) (request.Answer, error) {
	answer := request.Answer{Kind: request.Stored, Receipt: strconv.FormatUint(h.CAS, 10)}
	if h.BodyLen != 0 {
		return answer, fmt.Errorf("%w: a body of %d bytes after a set", ErrMalformedAnswer, h.BodyLen)
	}
	return answer, nil
}

// readValue reads the body of the answer to a successful get.
func readValue(in *bufio.Reader, h *Header, r *request.Request) (answer request.Answer, err error) {
	if h.KeyLen != 0 || h.ExtrasLen != FlagsLen || h.ValueLen() > MaxValue {
		return answer, fmt.Errorf("%w: key %d, extras %d and value %d of a get",
			ErrMalformedAnswer, h.KeyLen, h.ExtrasLen, h.ValueLen())
	}
	var flags [FlagsLen]byte
	if _, err := io.ReadFull(in, flags[:]); err != nil {
		return answer, err
	}
	answer.Flags = binary.BigEndian.Uint32(flags[:])
	_, err = io.ReadFull(in, answer.AllocateValue(r.HeaderRoom, h.ValueLen()))
	return answer, err
}
