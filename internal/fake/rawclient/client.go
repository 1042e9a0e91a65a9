// Package rawclient is a client that sends one command at a time in either dialect, and reports the answers in terms of
// neither. It retries nothing and starts no goroutines.
package rawclient

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	codec "mulleinpier/internal/binary"
	"mulleinpier/internal/fake/scriptednode"
	"mulleinpier/internal/meta"
	"mulleinpier/internal/request"
	"mulleinpier/internal/ticket"
)

// ErrMalformedAnswer is the error of what is no answer.
var ErrMalformedAnswer = errors.New("rawclient: malformed answer")

// AppendKeyOnly appends a command that consists of a key, or of nothing.
func AppendKeyOnly(dst []byte, op codec.Opcode, key string, opaque uint32) []byte {
	h := codec.Header{Opcode: op, KeyLen: len(key), BodyLen: len(key), Opaque: opaque}
	return append(h.Append(dst, codec.RequestMagic), key...)
}

// AppendSet appends a set without flags.
func AppendSet(dst []byte, op codec.Opcode, key, value string, opaque uint32, cas uint64) []byte {
	h := codec.Header{Opcode: op, KeyLen: len(key), ExtrasLen: 8, BodyLen: 8 + len(key) + len(value), Opaque: opaque, CAS: cas}
	dst = append(h.Append(dst, codec.RequestMagic), 0, 0, 0, 0, 0, 0, 0, 0)
	return append(append(dst, key...), value...)
}

// AppendSASLPlain appends an authentication by the mechanism PLAIN.
func AppendSASLPlain(dst []byte, user, secret string, opaque uint32) []byte {
	text := "PLAIN\x00" + user + "\x00" + secret
	h := codec.Header{Opcode: codec.SASLAuth, KeyLen: 5, BodyLen: len(text), Opaque: opaque}
	return append(h.Append(dst, codec.RequestMagic), text...)
}

// Response is a whole response of the binary protocol.
type Response struct {
	codec.Header
	KeyText, Value string
}

// ReadResponse reads a response.
func ReadResponse(in io.Reader) (r Response, err error) {
	var head [codec.HeaderLen]byte
	if _, err = io.ReadFull(in, head[:]); err != nil {
		return r, err
	}
	if r.Header, err = codec.ParseHeader(head[:], codec.ResponseMagic); err != nil {
		return r, fmt.Errorf("%w: %w", ErrMalformedAnswer, err)
	}
	body := make([]byte, r.BodyLen)
	if _, err = io.ReadFull(in, body); err != nil {
		return r, err
	}
	r.KeyText, r.Value = string(body[r.ExtrasLen:r.ExtrasLen+r.KeyLen]), string(body[r.ExtrasLen+r.KeyLen:])
	return r, nil
}

// RetryAfter is the advice of a refusal, 0 for none.
func (r *Response) RetryAfter() time.Duration {
	_, text, _ := strings.Cut(r.Value, " ")
	ms, _ := strconv.Atoi(text)
	return time.Duration(ms) * time.Millisecond
}

// Effect is whether a write may be repeated.
type Effect string

// The effects, as classes of the proxy's usual configuration have them.
const (
	Keyed  Effect = "write"
	Unsafe Effect = "plain"
)

// Client is a connection of a client. It is not safe for concurrent use.
type Client struct {
	Socket  net.Conn
	Reader  *bufio.Reader
	dialect scriptednode.Dialect
	opaque  uint32
	pending []expected
}

// expected is what the next answer must belong to.
type expected struct {
	id     string
	opaque uint32
}

var serial atomic.Uint64

// Dial opens a connection to a proxy. All commands on it must be answered within limit.
func Dial(dialect scriptednode.Dialect, address string, limit time.Duration) (*Client, error) {
	socket, err := net.DialTimeout("tcp", address, limit)
	if err != nil {
		return nil, err
	}
	socket.SetDeadline(time.Now().Add(limit))
	return &Client{Socket: socket, Reader: bufio.NewReader(socket), dialect: dialect}, nil
}

// Read sends a read of a key.
func (c *Client) Read(key string) error {
	if c.dialect == scriptednode.Binary {
		return c.binary(func(opaque uint32) []byte { return AppendKeyOnly(nil, codec.Get, key, opaque) })
	}
	id := c.id()
	_, err := fmt.Fprintf(c.Socket, "mg %s v O%s Pc=read\r\n", key, id)
	return err
}

// Write sends a write of a key. name is the idempotency key of a keyed write; a client of the binary protocol has a
// ticket in its place, as if it had just read.
func (c *Client) Write(key, value string, effect Effect, name string) error {
	if c.dialect == scriptednode.Binary {
		cas := uint64(0)
		if effect == Keyed {
			cas = ticket.New(time.Now(), serial.Add(1))
		}
		return c.binary(func(opaque uint32) []byte { return AppendSet(nil, codec.Set, key, value, opaque, cas) })
	}
	id, k := c.id(), ""
	if effect == Keyed {
		k = ",k=" + name
	}
	_, err := fmt.Fprintf(c.Socket, "ms %s %d O%s Pc=%s%s\r\n%s\r\n", key, len(value), id, effect, k, value)
	return err
}

func (c *Client) id() string {
	id := fmt.Sprintf("c%d", serial.Add(1))
	c.pending = append(c.pending, expected{id: id})
	return id
}

func (c *Client) binary(text func(opaque uint32) []byte) error {
	c.opaque++
	c.pending = append(c.pending, expected{opaque: c.opaque})
	_, err := c.Socket.Write(text(c.opaque))
	return err
}

// Answer is an answer in terms of neither dialect.
type Answer struct {
	Kind       request.AnswerKind // Invalid for a client error
	Text       string             // the value, or the receipt
	RetryAfter time.Duration
}

// words describe the kinds of answers.
var words = map[request.AnswerKind]string{
	request.Value:    "value",
	request.Stored:   "stored",
	request.Busy:     "busy",
	request.Failed:   "failed",
	request.NotFound: "missing",
	request.Invalid:  "bad",
}

// String describes an answer by one word and its text.
func (a Answer) String() string {
	text := a.Text
	if len(text) > 40 {
		text = fmt.Sprintf("%d bytes", len(text))
	}
	return strings.TrimSpace(words[a.Kind] + " " + text)
}

// Next reads the answer to the oldest command without one. An answer to another command is an error.
func (c *Client) Next() (a Answer, err error) {
	if len(c.pending) == 0 {
		return a, errors.New("rawclient: no command was sent")
	}
	due := c.pending[0]
	c.pending = c.pending[1:]
	if c.dialect == scriptednode.Binary {
		return c.nextBinary(due)
	}
	line, err := c.Reader.ReadString('\n')
	if err != nil {
		return a, err
	}
	line = strings.TrimSuffix(line, "\r\n")
	if advice, ok := strings.CutPrefix(line, "SERVER_ERROR busy"); ok {
		ms, _ := strconv.Atoi(strings.TrimSpace(advice))
		return Answer{Kind: request.Busy, RetryAfter: time.Duration(ms) * time.Millisecond}, nil
	}
	if strings.HasPrefix(line, "CLIENT_ERROR") {
		return Answer{Kind: request.Invalid}, nil
	}
	first, err := meta.ParseAnswer([]byte(line))
	if err != nil {
		return a, err
	}
	a.Kind, a.Text = first.Kind, string(first.Receipt)
	if (a.Kind == request.Value || a.Kind == request.Stored) && string(first.ID) != due.id {
		return a, fmt.Errorf("%w: to %q where %q is due", ErrMalformedAnswer, first.ID, due.id)
	}
	if a.Kind == request.Value {
		value := make([]byte, first.ValueLen+2)
		if _, err := io.ReadFull(c.Reader, value); err != nil {
			return a, err
		}
		a.Text = string(value[:first.ValueLen])
	}
	return a, nil
}

func (c *Client) nextBinary(due expected) (a Answer, err error) {
	r, err := ReadResponse(c.Reader)
	if err != nil {
		return a, err
	}
	if r.Opaque != due.opaque {
		return a, fmt.Errorf("%w: to opaque %d where %d is due", ErrMalformedAnswer, r.Opaque, due.opaque)
	}
	switch r.Status {
	case codec.OK:
		if r.Opcode == codec.Get {
			return Answer{Kind: request.Value, Text: r.Value}, nil
		}
		return Answer{Kind: request.Stored, Text: strconv.FormatUint(r.CAS, 10)}, nil
	case codec.NotFound:
		return Answer{Kind: request.NotFound}, nil
	case codec.Busy:
		return Answer{Kind: request.Busy, RetryAfter: r.RetryAfter()}, nil
	case codec.InternalError:
		return Answer{Kind: request.Failed}, nil
	}
	return Answer{Kind: request.Invalid}, nil
}
