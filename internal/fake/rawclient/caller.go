// Package rawclient is a stand-in client that says one thing at a time, in either dialect,
// and tells what came back in words that know none. It retries nothing.
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

// ErrAnswer is the error of what is no answer.
var ErrAnswer = errors.New("caller: malformed answer")

// AppendKeyed appends a command that is a key and nothing else, or not even that.
func AppendKeyed(dst []byte, op codec.Opcode, key string, opaque uint32) []byte {
	h := codec.Header{Opcode: op, Key: len(key), Body: len(key), Opaque: opaque}
	return append(h.Append(dst, codec.RequestMagic), key...)
}

// AppendSet appends a set without flags.
func AppendSet(dst []byte, op codec.Opcode, key, value string, opaque uint32, cas uint64) []byte {
	h := codec.Header{Opcode: op, Key: len(key), Extras: 8, Body: 8 + len(key) + len(value), Opaque: opaque, CAS: cas}
	dst = append(h.Append(dst, codec.RequestMagic), 0, 0, 0, 0, 0, 0, 0, 0)
	return append(append(dst, key...), value...)
}

// AppendAuth appends a proof by the mechanism PLAIN.
func AppendAuth(dst []byte, user, secret string, opaque uint32) []byte {
	text := "PLAIN\x00" + user + "\x00" + secret
	h := codec.Header{Opcode: codec.SASLAuth, Key: 5, Body: len(text), Opaque: opaque}
	return append(h.Append(dst, codec.RequestMagic), text...)
}

// Response is a whole response of the binary protocol.
type Response struct {
	codec.Header
	Name, Value string
}

// ReadResponse reads a response.
func ReadResponse(in io.Reader) (r Response, err error) {
	var head [codec.HeaderLen]byte
	if _, err = io.ReadFull(in, head[:]); err != nil {
		return r, err
	}
	if r.Header, err = codec.Parse(head[:], codec.ResponseMagic); err != nil {
		return r, fmt.Errorf("%w: %w", ErrAnswer, err)
	}
	body := make([]byte, r.Body)
	if _, err = io.ReadFull(in, body); err != nil {
		return r, err
	}
	r.Name, r.Value = string(body[r.Extras:r.Extras+r.Key]), string(body[r.Extras+r.Key:])
	return r, nil
}

// Advice is when a refusal says to come again, 0 for none.
func (r *Response) Advice() time.Duration {
	_, text, _ := strings.Cut(r.Value, " ")
	ms, _ := strconv.Atoi(text)
	return time.Duration(ms) * time.Millisecond
}

// Effect is how a write may be repeated.
type Effect string

// The effects, as classes of the proxy's usual configuration have them.
const (
	Keyed  Effect = "write"
	Unsafe Effect = "plain"
)

// Caller is a client's connection. It is not safe for concurrent use.
type Caller struct {
	Socket  net.Conn
	In      *bufio.Reader
	dialect scriptednode.Dialect
	opaque  uint32
	expect  []expected
}

// expected is what the next answer must belong to.
type expected struct {
	id     string
	opaque uint32
}

var serial atomic.Uint64

// Dial returns a connection to a proxy. All that is said on it ends within limit.
func Dial(dialect scriptednode.Dialect, address string, limit time.Duration) (*Caller, error) {
	socket, err := net.DialTimeout("tcp", address, limit)
	if err != nil {
		return nil, err
	}
	socket.SetDeadline(time.Now().Add(limit))
	return &Caller{Socket: socket, In: bufio.NewReader(socket), dialect: dialect}, nil
}

// Read asks for a key.
func (c *Caller) Read(key string) error {
	if c.dialect == scriptednode.Binary {
		return c.binary(func(opaque uint32) []byte { return AppendKeyed(nil, codec.Get, key, opaque) })
	}
	id := c.id()
	_, err := fmt.Fprintf(c.Socket, "mg %s v O%s Pc=read\r\n", key, id)
	return err
}

// Write writes a key. Of a keyed write, its name tells it from others: a
// client of the binary protocol has a ticket in its place, as if it had just read.
func (c *Caller) Write(key, value string, effect Effect, name string) error {
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

func (c *Caller) id() string {
	id := fmt.Sprintf("c%d", serial.Add(1))
	c.expect = append(c.expect, expected{id: id})
	return id
}

func (c *Caller) binary(text func(opaque uint32) []byte) error {
	c.opaque++
	c.expect = append(c.expect, expected{opaque: c.opaque})
	_, err := c.Socket.Write(text(c.opaque))
	return err
}

// Answer is what came back.
type Answer struct {
	Kind  request.Kind // Bad for what says that the request can't be meant
	Text  string       // the value, or the receipt
	After time.Duration
}

// String says an answer in one word, and its text.
func (a Answer) String() string {
	text := a.Text
	if len(text) > 40 {
		text = fmt.Sprintf("%d bytes", len(text))
	}
	words := map[request.Kind]string{request.Value: "value", request.Stored: "stored", request.Busy: "busy", request.Failed: "failed",
		request.Missing: "missing", request.Bad: "bad"}
	return strings.TrimSpace(words[a.Kind] + " " + text)
}

// Next reads the answer to the oldest command that has none, and fails where it is
// another's.
func (c *Caller) Next() (a Answer, err error) {
	if len(c.expect) == 0 {
		return a, errors.New("caller: nothing was asked")
	}
	due := c.expect[0]
	c.expect = c.expect[1:]
	if c.dialect == scriptednode.Binary {
		return c.nextBinary(due)
	}
	line, err := c.In.ReadString('\n')
	if err != nil {
		return a, err
	}
	line = strings.TrimSuffix(line, "\r\n")
	if advice, ok := strings.CutPrefix(line, "SERVER_ERROR busy"); ok {
		ms, _ := strconv.Atoi(strings.TrimSpace(advice))
		return Answer{Kind: request.Busy, After: time.Duration(ms) * time.Millisecond}, nil
	}
	if strings.HasPrefix(line, "CLIENT_ERROR") {
		return Answer{Kind: request.Bad}, nil
	}
	first, err := meta.ParseAnswer([]byte(line))
	if err != nil {
		return a, err
	}
	a.Kind, a.Text = first.Kind, string(first.Receipt)
	if (a.Kind == request.Value || a.Kind == request.Stored) && string(first.ID) != due.id {
		return a, fmt.Errorf("%w: to %q where %q is due", ErrAnswer, first.ID, due.id)
	}
	if a.Kind == request.Value {
		value := make([]byte, first.Size+2)
		if _, err := io.ReadFull(c.In, value); err != nil {
			return a, err
		}
		a.Text = string(value[:first.Size])
	}
	return a, nil
}

func (c *Caller) nextBinary(due expected) (a Answer, err error) {
	r, err := ReadResponse(c.In)
	if err != nil {
		return a, err
	}
	if r.Opaque != due.opaque {
		return a, fmt.Errorf("%w: to opaque %d where %d is due", ErrAnswer, r.Opaque, due.opaque)
	}
	switch r.Status {
	case codec.OK:
		if r.Opcode == codec.Get {
			return Answer{Kind: request.Value, Text: r.Value}, nil
		}
		return Answer{Kind: request.Stored, Text: strconv.FormatUint(r.CAS, 10)}, nil
	case codec.NotFound:
		return Answer{Kind: request.Missing}, nil
	case codec.Busy:
		return Answer{Kind: request.Busy, After: r.Advice()}, nil
	case codec.Internal:
		return Answer{Kind: request.Failed}, nil
	}
	return Answer{Kind: request.Bad}, nil
}
