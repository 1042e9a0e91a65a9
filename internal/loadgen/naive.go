package loadgen

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"sync"
	"time"

	"mulleinpier/internal/meta"
	wire "mulleinpier/internal/request"
)

const (
	naiveIdleTimeout = 1500 * time.Millisecond // a connection that was idle for longer is not reused
	naiveDialTimeout = time.Second
	naiveBufferBytes = 2 << 10
	lineEnd          = "\r\n"
)

// naiveClient behaves as the operators describe clients without the library; see the package comment.
type naiveClient struct {
	recorder *recorder
	idPrefix uint64

	mu     sync.Mutex
	rng    *rand.Rand
	serial int
	idle   []*naiveConn // most recently used last
	closed bool
}

// naiveConn is a connection of a naive client.
type naiveConn struct {
	socket    net.Conn
	reader    *bufio.Reader
	idleSince time.Time
}

func (c *naiveClient) close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closed = true
	for _, conn := range c.idle {
		conn.socket.Close()
	}
	c.idle = nil
}

// connect returns an idle connection, or opens a new one to a random proxy.
func (c *naiveClient) connect() (*naiveConn, error) {
	conn, address := c.takeIdle()
	if conn != nil {
		return conn, nil
	}
	c.recorder.countDial()
	socket, err := net.DialTimeout("tcp", address, naiveDialTimeout)
	if err != nil {
		c.recorder.countDialFailure()
		return nil, err
	}
	return &naiveConn{socket: socket, reader: bufio.NewReaderSize(socket, naiveBufferBytes)}, nil
}

// takeIdle returns the most recently used connection that has been idle for less than naiveIdleTimeout, or else the
// address of a random proxy to connect to.
func (c *naiveClient) takeIdle() (conn *naiveConn, address string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for len(c.idle) > 0 {
		last := len(c.idle) - 1
		conn := c.idle[last]
		c.idle = c.idle[:last]
		if time.Since(conn.idleSince) < naiveIdleTimeout {
			return conn, ""
		}
		conn.socket.Close()
	}
	addresses := c.recorder.config.Addresses
	return nil, addresses[c.rng.IntN(len(addresses))]
}

// release keeps an idle connection for later requests, or closes it if the client is closed.
func (c *naiveClient) release(conn *naiveConn) {
	conn.idleSince = time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		conn.socket.Close()
		return
	}
	c.idle = append(c.idle, conn)
}

func (c *naiveClient) call(q *request) outcome {
	options := &c.recorder.config.Options
	class := &options.Read
	if q.isHandover() {
		class = &options.Write
	}
	deadline := time.Now().Add(class.Wait)
	mayHaveRun := false
	for try := 0; ; try++ {
		wait := min(time.Until(deadline), time.Duration(q.tryShare*float64(class.Wait)))
		result := failed
		if wait > 0 {
			result = c.try(q, class.Name, wait, try)
		}
		switch result {
		case served:
			return served
		case failed:
			mayHaveRun = true
		}
		if try >= q.retries || time.Until(deadline) <= q.retryDelay {
			if result == failed && mayHaveRun && q.isHandover() {
				return unknown
			}
			return result
		}
		time.Sleep(q.retryDelay)
	}
}

// nextID returns a new id for a try.
func (c *naiveClient) nextID() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.serial++
	return fmt.Sprintf("b%x-%x", c.idPrefix, c.serial)
}

// try sends a request once and returns its outcome. If no connection can be opened, the outcome is refused, because
// nothing was sent.
func (c *naiveClient) try(q *request, class string, wait time.Duration, number int) outcome {
	conn, err := c.connect()
	if err != nil {
		return refused
	}
	id := c.nextID()
	r := wire.Request{
		Key:    q.key,
		Class:  class,
		Tenant: c.recorder.config.Tenant,
		Retry:  number > 0 && q.marksRetries,
	}
	if q.isHandover() {
		r.Verb = wire.Set
		r.Value = []byte(q.value)
		r.IdempotencyKey = q.value
	}
	text := meta.AppendRequest(nil, &r, id, max(wait.Milliseconds(), 1))
	if q.isHandover() {
		text = append(text, q.value+lineEnd...)
	}
	conn.socket.SetDeadline(time.Now().Add(wait))
	c.recorder.countTry()
	result, usable := failed, false
	if _, err := conn.socket.Write(text); err == nil {
		result, usable = conn.readAnswer(id, r.Verb)
	}
	if usable {
		c.release(conn)
	} else {
		conn.socket.Close()
	}
	return result
}

// readAnswer reads the answer to the request id, and reports whether the connection can be reused.
func (c *naiveConn) readAnswer(id string, verb wire.Verb) (result outcome, usable bool) {
	line, err := c.reader.ReadSlice('\n')
	if err != nil {
		return failed, false
	}
	line = bytes.TrimSuffix(line, []byte(lineEnd))
	if bytes.HasPrefix(line, []byte("SERVER_ERROR busy")) {
		return refused, true
	}
	a, err := meta.ParseAnswer(line)
	if err != nil {
		return failed, false
	}
	ownID := string(a.ID) == id
	switch {
	case a.Kind == wire.Stored && verb == wire.Set && ownID:
		return served, true
	case a.Kind == wire.Value && verb == wire.Get && ownID:
		_, err := io.CopyN(io.Discard, c.reader, int64(a.ValueLen+len(lineEnd)))
		if err != nil {
			return failed, false
		}
		return served, true
	case a.Kind == wire.NotFound && verb == wire.Get:
		return served, true
	case a.Kind == wire.Failed:
		return failed, true
	}
	return failed, false
}
