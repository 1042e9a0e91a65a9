package scriptednode

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"strings"

	"mulleinpier/internal/binary"
	"mulleinpier/internal/meta"
	"mulleinpier/internal/request"
)

// Dialect is the protocol that nodes speak.
type Dialect string

// The dialects.
const (
	Meta   Dialect = "meta"
	Binary Dialect = "binary"
)

// received is a request with the header that its answer needs.
type received struct {
	ReceivedRequest
	header binary.Header // in the binary protocol
	noop   bool          // it is a no-op, which nodes answer without asking the script; only in meta
}

// codec reads requests and encodes answers in one dialect.
type codec struct {
	read   func(in *bufio.Reader) (received, error)
	answer func(reaction Reaction, r received) []byte
}

func (d Dialect) codec() codec {
	if d == Binary {
		return codec{readBinary, answerBinary}
	}
	return codec{readMeta, answerMeta}
}

func readMeta(in *bufio.Reader) (r received, err error) {
	line, err := in.ReadString('\n')
	if err != nil {
		return r, err
	}
	c, err := meta.ParseCommand(strings.TrimSuffix(line, "\r\n"))
	if err != nil {
		return r, err
	}
	if c.Noop {
		r.noop = true
		return r, nil
	}
	body := make([]byte, c.ValueLen+len("\r\n"))
	if c.Verb == request.Set {
		if _, err := io.ReadFull(in, body); err != nil {
			return r, err
		}
	}
	r.ReceivedRequest = ReceivedRequest{
		Verb:           c.Verb,
		Key:            c.Key,
		Value:          string(body[:c.ValueLen]),
		IdempotencyKey: c.IdempotencyKey,
		ID:             c.ID,
		Class:          c.Class,
		Tenant:         c.Tenant,
		Timeout:        c.Timeout,
		Retry:          c.Retry,
	}
	return r, nil
}

func readBinary(in *bufio.Reader) (r received, err error) {
	var encoded [binary.HeaderLen]byte
	if _, err = io.ReadFull(in, encoded[:]); err != nil {
		return r, err
	}
	h, err := binary.ParseHeader(encoded[:], binary.RequestMagic)
	if err != nil {
		return r, err
	}
	body := make([]byte, h.BodyLen)
	if _, err = io.ReadFull(in, body); err != nil {
		return r, err
	}
	if h.Validate() != binary.OK || h.Opcode != binary.Get && h.Opcode != binary.Set {
		return r, errors.New("scripted node: request is neither a valid get nor a valid set")
	}
	r.header = h
	if h.Opcode == binary.Set {
		r.Verb = request.Set
	}
	r.Key = string(body[h.ExtrasLen : h.ExtrasLen+h.KeyLen])
	r.Value = string(body[h.ExtrasLen+h.KeyLen:])
	return r, nil
}

func answerMeta(reaction Reaction, r received) []byte {
	id := r.ID
	switch reaction {
	case Miss:
		return []byte("EN\r\n")
	case Busy:
		return []byte("SERVER_ERROR busy\r\n")
	case BusyRetryAfter:
		return []byte("SERVER_ERROR busy 1000\r\n") // ms
	case Invalid:
		return []byte("CLIENT_ERROR bad class\r\n")
	case Fail:
		return []byte("SERVER_ERROR failed\r\n")
	case Garbage:
		return []byte("\x00\x17noise\xff\r\n")
	case EndlessValue:
		return fmt.Appendf(nil, "VA %d O%s h1\r\n", endlessLength, id)
	case OtherAnswer:
		id += "x"
	}
	var answer string
	if r.Verb == request.Set {
		answer = fmt.Sprintf("HD O%s c%s\r\n", id, Receipt)
	} else {
		value := Value(r.Key)
		answer = fmt.Sprintf("VA %d O%s h1\r\n%s\r\n", len(value), id, value)
	}
	if reaction == DuplicateAnswer {
		answer += answer
	}
	return []byte(answer)
}

func answerBinary(reaction Reaction, r received) []byte {
	switch reaction {
	case Miss:
		return binary.AppendStatus(nil, &r.header, binary.NotFound, 0)
	case Busy:
		return binary.AppendStatus(nil, &r.header, binary.Busy, 0)
	case Fail:
		return binary.AppendStatus(nil, &r.header, binary.InternalError, 0)
	case Garbage:
		return []byte("\x00\x17noise\xff that is longer than a header")
	}
	const clientFlags = "\x00\x00\x00\x00"
	header := binary.Header{Opcode: r.header.Opcode, Opaque: r.header.Opaque, CAS: receiptCAS}
	body := ""
	if r.Verb == request.Get {
		body = clientFlags + Value(r.Key)
		header.ExtrasLen = len(clientFlags)
		header.BodyLen = len(body)
	}
	switch reaction {
	case OtherAnswer:
		header.Opaque++
	case EndlessValue:
		header.ExtrasLen = len(clientFlags)
		header.BodyLen = endlessLength
		body = ""
	}
	answer := append(header.Append(nil, binary.ResponseMagic), body...)
	if reaction == DuplicateAnswer {
		answer = append(answer, answer...)
	}
	return answer
}
