package rawclient

import (
	"fmt"
	"io"
	"strconv"
	"strings"
	"time"

	"mulleinpier/internal/binary"
)

// AppendKeyOnly appends a command of the binary protocol that has only a key; an empty key is omitted.
func AppendKeyOnly(dst []byte, op binary.Opcode, key string, opaque uint32) []byte {
	h := binary.Header{Opcode: op, KeyLen: len(key), BodyLen: len(key), Opaque: opaque}
	return append(h.Append(dst, binary.RequestMagic), key...)
}

// AppendSet appends a set of the binary protocol. Its client flags and its expiration time are 0.
func AppendSet(dst []byte, op binary.Opcode, key, value string, opaque uint32, cas uint64) []byte {
	extras := make([]byte, 8) // client flags and expiration time, of four bytes each
	h := binary.Header{
		Opcode:    op,
		KeyLen:    len(key),
		ExtrasLen: len(extras),
		BodyLen:   len(extras) + len(key) + len(value),
		Opaque:    opaque,
		CAS:       cas,
	}
	dst = h.Append(dst, binary.RequestMagic)
	dst = append(dst, extras...)
	dst = append(dst, key...)
	return append(dst, value...)
}

// AppendSASLPlain appends an authentication request of the binary protocol with the SASL mechanism PLAIN.
func AppendSASLPlain(dst []byte, user, secret string, opaque uint32) []byte {
	const mechanism = "PLAIN"
	text := mechanism + "\x00" + user + "\x00" + secret
	h := binary.Header{Opcode: binary.SASLAuth, KeyLen: len(mechanism), BodyLen: len(text), Opaque: opaque}
	return append(h.Append(dst, binary.RequestMagic), text...)
}

// Response is a complete response of the binary protocol.
type Response struct {
	binary.Header
	KeyText, Value string
}

// ReadResponse reads a response. Its error wraps [ErrMalformedAnswer] if the header is invalid.
func ReadResponse(in io.Reader) (r Response, err error) {
	var encoded [binary.HeaderLen]byte
	if _, err = io.ReadFull(in, encoded[:]); err != nil {
		return r, err
	}
	r.Header, err = binary.ParseHeader(encoded[:], binary.ResponseMagic)
	if err != nil {
		return r, fmt.Errorf("%w: %w", ErrMalformedAnswer, err)
	}
	body := make([]byte, r.BodyLen)
	if _, err = io.ReadFull(in, body); err != nil {
		return r, err
	}
	r.KeyText = string(body[r.ExtrasLen : r.ExtrasLen+r.KeyLen])
	r.Value = string(body[r.ExtrasLen+r.KeyLen:])
	return r, nil
}

// RetryAfter returns the time after which a rejected request may be retried; 0 if the response has no such time.
func (r *Response) RetryAfter() time.Duration {
	_, text, _ := strings.Cut(r.Value, " ")
	return parseMillis(text)
}

// parseMillis parses a number of milliseconds. It returns 0 if text is not a number.
func parseMillis(text string) time.Duration {
	ms, _ := strconv.Atoi(text)
	return time.Duration(ms) * time.Millisecond
}
