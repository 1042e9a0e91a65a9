// Package rawclient is a simple client of the meta and the binary protocol for tests. It sends one command at a time
// and returns answers in a form that is the same in both protocols. Unlike the client library it retries nothing and
// starts no goroutine.
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

	"mulleinpier/internal/binary"
	"mulleinpier/internal/fake/scriptednode"
	"mulleinpier/internal/meta"
	"mulleinpier/internal/request"
	"mulleinpier/internal/ticket"
)

// ErrMalformedAnswer is the error of an answer that cannot be parsed or belongs to another request.
var ErrMalformedAnswer = errors.New("raw client: malformed answer")

// WriteClass says whether a write may be retried. Its values are classes of the proxy's default configuration.
type WriteClass string

// The classes of writes.
const (
	Keyed         WriteClass = "write" // with an idempotency key
	NonIdempotent WriteClass = "plain" // not idempotent
)

// Client is a client's connection. It is not safe for concurrent use.
type Client struct {
	Socket  net.Conn
	Reader  *bufio.Reader
	dialect scriptednode.Dialect
	opaque  uint32 // opaque of the last command in the binary protocol
	pending []requestID
}

// requestID identifies the request that an answer belongs to.
type requestID struct {
	id     string // in meta
	opaque uint32 // in the binary protocol
}

// lastSerial is the serial number of the last request of any client.
var lastSerial atomic.Uint64

// Dial connects to a proxy, and fails if the connection takes longer than limit. Reads and writes on the connection
// fail once the connection is older than limit.
func Dial(dialect scriptednode.Dialect, address string, limit time.Duration) (*Client, error) {
	socket, err := net.DialTimeout("tcp", address, limit)
	if err != nil {
		return nil, fmt.Errorf("raw client: %w", err)
	}
	socket.SetDeadline(time.Now().Add(limit))
	return &Client{Socket: socket, Reader: bufio.NewReader(socket), dialect: dialect}, nil
}

// Read sends a read of a key.
func (c *Client) Read(key string) error {
	if c.dialect == scriptednode.Binary {
		return c.sendBinary(func(opaque uint32) []byte { return AppendKeyOnly(nil, binary.Get, key, opaque) })
	}
	id := c.nextID()
	_, err := fmt.Fprintf(c.Socket, "mg %s v O%s Pc=read\r\n", key, id)
	return err
}

// Write sends a write of a key. A Keyed write carries the idempotency key in meta. The binary protocol has no field for
// it: there the write carries a new ticket as its CAS, as if the client had just read the key.
func (c *Client) Write(key, value string, effect WriteClass, idempotencyKey string) error {
	if c.dialect == scriptednode.Binary {
		cas := uint64(0)
		if effect == Keyed {
			cas = ticket.New(time.Now(), lastSerial.Add(1))
		}
		return c.sendBinary(func(opaque uint32) []byte { return AppendSet(nil, binary.Set, key, value, opaque, cas) })
	}
	id := c.nextID()
	parameters := "Pc=" + string(effect)
	if effect == Keyed {
		parameters += ",k=" + idempotencyKey
	}
	_, err := fmt.Fprintf(c.Socket, "ms %s %d O%s %s\r\n%s\r\n", key, len(value), id, parameters, value)
	return err
}

// nextID returns the ID of a new request in meta, and adds it to the pending requests.
func (c *Client) nextID() string {
	id := fmt.Sprintf("c%d", lastSerial.Add(1))
	c.pending = append(c.pending, requestID{id: id})
	return id
}

func (c *Client) sendBinary(encode func(opaque uint32) []byte) error {
	c.opaque++
	c.pending = append(c.pending, requestID{opaque: c.opaque})
	_, err := c.Socket.Write(encode(c.opaque))
	return err
}

// Answer is an answer in either protocol.
type Answer struct {
	Kind       request.AnswerKind // Invalid for CLIENT_ERROR, and for binary statuses without a kind of their own
	Text       string             // the value, or the receipt
	RetryAfter time.Duration      // 0 if the answer has none
}

// maxTextShown is the length in bytes of the longest text that String shows in full.
const maxTextShown = 40

// shortNames are the words that String shows for the kinds of answers.
var shortNames = map[request.AnswerKind]string{
	request.Value:    "value",
	request.Stored:   "stored",
	request.Busy:     "busy",
	request.Failed:   "failed",
	request.NotFound: "missing",
	request.Invalid:  "bad",
}

// String returns the kind of the answer in one word, and its text or, if the text is long, the text's length.
func (a Answer) String() string {
	text := a.Text
	if len(text) > maxTextShown {
		text = fmt.Sprintf("%d bytes", len(text))
	}
	return strings.TrimSpace(shortNames[a.Kind] + " " + text)
}

// Next reads the answer to the oldest command that has no answer yet. Its error wraps [ErrMalformedAnswer] if the
// answer belongs to another command.
func (c *Client) Next() (Answer, error) {
	if len(c.pending) == 0 {
		return Answer{}, errors.New("raw client: no request is pending")
	}
	oldest := c.pending[0]
	c.pending = c.pending[1:]
	if c.dialect == scriptednode.Binary {
		return c.readBinaryAnswer(oldest.opaque)
	}
	return c.readMetaAnswer(oldest.id)
}

func (c *Client) readMetaAnswer(id string) (a Answer, err error) {
	line, err := c.Reader.ReadString('\n')
	if err != nil {
		return a, err
	}
	line = strings.TrimSuffix(line, "\r\n")
	if retryAfter, ok := strings.CutPrefix(line, "SERVER_ERROR busy"); ok {
		return Answer{Kind: request.Busy, RetryAfter: parseMillis(strings.TrimSpace(retryAfter))}, nil
	}
	if strings.HasPrefix(line, "CLIENT_ERROR") {
		return Answer{Kind: request.Invalid}, nil
	}
	first, err := meta.ParseAnswer([]byte(line))
	if err != nil {
		return a, err
	}
	a = Answer{Kind: first.Kind, Text: string(first.Receipt)}
	if (a.Kind == request.Value || a.Kind == request.Stored) && string(first.ID) != id {
		return a, fmt.Errorf("%w: for request %q, want %q", ErrMalformedAnswer, first.ID, id)
	}
	if a.Kind == request.Value {
		value := make([]byte, first.ValueLen+len("\r\n"))
		if _, err := io.ReadFull(c.Reader, value); err != nil {
			return a, err
		}
		a.Text = string(value[:first.ValueLen])
	}
	return a, nil
}

func (c *Client) readBinaryAnswer(opaque uint32) (a Answer, err error) {
	r, err := ReadResponse(c.Reader)
	if err != nil {
		return a, err
	}
	if r.Opaque != opaque {
		return a, fmt.Errorf("%w: for opaque %d, want %d", ErrMalformedAnswer, r.Opaque, opaque)
	}
	switch r.Status {
	case binary.OK:
		if r.Opcode == binary.Get {
			return Answer{Kind: request.Value, Text: r.Value}, nil
		}
		return Answer{Kind: request.Stored, Text: strconv.FormatUint(r.CAS, 10)}, nil
	case binary.NotFound:
		return Answer{Kind: request.NotFound}, nil
	case binary.Busy:
		return Answer{Kind: request.Busy, RetryAfter: r.RetryAfter()}, nil
	case binary.InternalError:
		return Answer{Kind: request.Failed}, nil
	}
	return Answer{Kind: request.Invalid}, nil
}
