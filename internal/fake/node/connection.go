package node

import (
	"bufio"
	"net"
	"sync"
	"time"
)

const (
	maxPipelined   = 256     // unanswered requests of one connection
	readBufferSize = 4 << 10 // bytes
)

// connection is one client connection. One goroutine reads requests, another writes the answers in the same order.
type connection struct {
	node    *Node
	socket  *net.TCPConn
	changed sync.Cond // signalled when a field below changes or a request is answered; uses Node.mu
	pending []*pendingRequest
	second  []byte // a second answer to an earlier request, sent when the next request arrives; nil for none
	closed  bool
}

// reset closes the connection with a TCP reset; pending requests are not answered. Node.mu is held.
func (c *connection) reset() {
	c.closed = true
	c.socket.SetLinger(0)
	c.socket.Close()
	c.changed.Broadcast()
	c.node.silenceChanged.Broadcast()
}

// read reads requests until the connection ends.
func (c *connection) read() {
	in := bufio.NewReaderSize(c.socket, readBufferSize)
	for c.readRequest(in) {
	}
	c.finish()
}

// readRequest reads one request, and returns false if no further one can be read.
func (c *connection) readRequest(in *bufio.Reader) bool {
	n := c.node
	c.socket.SetReadDeadline(time.Now().Add(n.config.IdleTimeout))
	if _, err := in.Peek(1); err != nil {
		return false
	}
	arrived := time.Now()
	c.socket.SetReadDeadline(arrived.Add(n.config.IdleTimeout))
	r := &pendingRequest{connection: c}
	parse := n.readMeta
	if n.config.Binary {
		parse = n.readBinary
	}
	complete, err := parse(in, r)
	if !complete {
		return false
	}
	if r.answer == nil && n.config.OnRequest != nil {
		n.config.OnRequest(n.Name(), r.command.ID, string(r.command.Value), arrived)
	}
	return c.enqueue(r, arrived) && err == nil
}

// enqueue waits until the connection has fewer than maxPipelined unanswered requests, and then admits the request. It
// returns false if the connection closes first.
func (c *connection) enqueue(r *pendingRequest, arrived time.Time) bool {
	n := c.node
	n.mu.Lock()
	defer n.mu.Unlock()
	for len(c.pending) >= maxPipelined && !c.closed {
		c.changed.Wait()
	}
	if c.closed {
		return false
	}
	c.appendSecondAnswer()
	c.pending = append(c.pending, r)
	if r.answer == nil {
		n.admit(r, arrived)
	}
	c.changed.Broadcast()
	return true
}

// appendSecondAnswer queues the second answer to an earlier request, if there is one. Node.mu is held.
func (c *connection) appendSecondAnswer() {
	if c.second != nil {
		c.pending = append(c.pending, &pendingRequest{connection: c, answer: c.second})
		c.second = nil
	}
}

// finish closes the connection once all requests are answered: a client that has stopped sending may still read.
func (c *connection) finish() {
	n := c.node
	n.mu.Lock()
	for len(c.pending) > 0 && !c.closed {
		c.changed.Wait()
	}
	c.closed = true
	delete(n.connections, c)
	c.changed.Broadcast()
	n.silenceChanged.Broadcast()
	n.mu.Unlock()
	c.socket.Close()
}

// write sends the answers in the order of the requests.
func (c *connection) write() {
	n := c.node
	n.mu.Lock()
	defer n.mu.Unlock()
	for c.waitForAnswer() {
		r := c.pending[0]
		if r.fault == Reset {
			c.reset()
			return
		}
		n.mu.Unlock()
		c.socket.SetWriteDeadline(time.Now().Add(n.config.IdleTimeout))
		_, err := c.socket.Write(r.answer)
		n.mu.Lock()
		c.pending[0] = nil
		c.pending = c.pending[1:]
		if err != nil {
			c.closed = true
			c.socket.Close()
		}
		c.changed.Broadcast()
	}
}

// waitForAnswer waits until the oldest request has an answer that may be sent. It returns false if the connection
// closes. Node.mu is held.
func (c *connection) waitForAnswer() bool {
	n := c.node
	for !c.closed && (len(c.pending) == 0 || c.pending[0].answer == nil || n.isSilent()) {
		if n.isSilent() {
			n.silenceChanged.Wait()
		} else {
			c.changed.Wait()
		}
	}
	return !c.closed
}
