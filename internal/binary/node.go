package binary

import (
	"bufio"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"slices"
	"strconv"
	"time"

	"mulleinpier/internal/request"
)

// maxTextLen is the longest body of an answer without a value, in bytes.
const maxTextLen = 2048

// ErrMalformedAnswer is the error of a malformed answer, or of an answer to another request.
var ErrMalformedAnswer = errors.New("binary: malformed answer")

// NodeDialect is the dialect towards cache nodes. It has no fields for a request's id, class, tenant, timeout or
// idempotency key: answers are matched by the opaque, which is the request's serial, and a node cannot know when the
// client stops waiting.
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

// AppendNoop appends a no-op. A node answers it after all commands before it.
func (NodeDialect) AppendNoop(dst []byte) []byte {
	h := Header{Opcode: Noop}
	return h.Append(dst, RequestMagic)
}

// ReadNoopAnswer reads the answer to a no-op while no request is in flight. It returns false if the node rejects it.
func (NodeDialect) ReadNoopAnswer(in *bufio.Reader) (accepted bool, err error) {
	text, err := in.Peek(HeaderLen)
	if err != nil {
		return false, err
	}
	h, err := ParseHeader(text, ResponseMagic)
	if err != nil {
		return false, fmt.Errorf("%w: %w", ErrMalformedAnswer, err)
	}
	if h.Opcode != Noop || h.BodyLen > maxTextLen {
		return false, fmt.Errorf("%w: opcode %#x, want a no-op", ErrMalformedAnswer, h.Opcode)
	}
	_, err = in.Discard(HeaderLen + h.BodyLen)
	return h.Status == OK, err
}

// ReadAnswer reads the answer to one of the expected requests, and returns the index of that request. After an error
// the start of the next answer is unknown, so the connection cannot be used any more.
func (NodeDialect) ReadAnswer(
	in *bufio.Reader, expected []*request.Request,
) (answer request.Answer, index int, err error) {
	h, index, err := readAnswerHeader(in, expected)
	if err != nil {
		return answer, 0, err
	}
	r := expected[index]
	switch {
	case h.Status == OK && r.Verb == request.Set:
		answer, err = storedAnswer(&h)
	case h.Status == OK:
		answer, err = readValue(in, &h, r)
	default:
		answer, err = readError(in, &h, r)
	}
	answer.Attributed = true
	return answer, index, err
}

// readError reads the rest of an answer that has no value.
func readError(in *bufio.Reader, h *Header, r *request.Request) (request.Answer, error) {
	answer := request.Answer{Kind: request.Failed}
	switch {
	case h.BodyLen > maxTextLen:
		return answer, fmt.Errorf("%w: text of %d bytes is too long", ErrMalformedAnswer, h.BodyLen)
	case h.Status == Busy:
		answer.Kind = request.Busy
	case h.Status == NotFound && r.Verb == request.Get:
		answer.Kind = request.NotFound
	}
	_, err := in.Discard(h.BodyLen)
	return answer, err
}

// readAnswerHeader reads the header of an answer, and returns the index of the expected request that it names. It
// returns an error for an answer to another request: passing it on would be worse than losing the connection.
func readAnswerHeader(in *bufio.Reader, expected []*request.Request) (h Header, index int, err error) {
	text, err := in.Peek(HeaderLen)
	if err != nil {
		return h, 0, err
	}
	h, err = ParseHeader(text, ResponseMagic)
	if err != nil {
		return h, 0, fmt.Errorf("%w: %w", ErrMalformedAnswer, err)
	}
	index = slices.IndexFunc(expected, func(r *request.Request) bool { return r.Serial == h.Opaque })
	if index < 0 || h.Opcode != opcodeOf(expected[index]) || h.DataType != 0 {
		return h, 0, fmt.Errorf("%w: opcode %#x with opaque %#x: want %#x with %#x",
			ErrMalformedAnswer, h.Opcode, h.Opaque, opcodeOf(expected[0]), expected[0].Serial)
	}
	in.Discard(HeaderLen) // cannot fail after Peek
	return h, index, nil
}

// opcodeOf returns the opcode of a request.
func opcodeOf(r *request.Request) Opcode {
	if r.Verb == request.Set {
		return Set
	}
	return Get
}

// storedAnswer returns the answer to a successful set, whose receipt is its CAS.
func storedAnswer(h *Header) (request.Answer, error) {
	answer := request.Answer{Kind: request.Stored, Receipt: strconv.FormatUint(h.CAS, 10)}
	if h.BodyLen != 0 {
		return answer, fmt.Errorf("%w: answer to a set has a body of %d bytes", ErrMalformedAnswer, h.BodyLen)
	}
	return answer, nil
}

// readValue reads the body of the answer to a successful get.
func readValue(in *bufio.Reader, h *Header, r *request.Request) (answer request.Answer, err error) {
	if h.KeyLen != 0 || h.ExtrasLen != FlagsLen || h.ValueLen() > MaxValue {
		return answer, fmt.Errorf("%w: answer to a get has a key of %d, extras of %d and a value of %d bytes",
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
