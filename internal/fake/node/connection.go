package node

import (
	"bufio"
	"net"
	"sync"
	"time"
)

// maxPipelined bounds the requests of one connection that are not answered yet.
const maxPipelined = 256

const readBufferBytes = 4 << 10

// connection is a connection of a client.
type connection struct {
	node    *Node
	socket  *net.TCPConn
	changed sync.Cond // of what follows, under Node.mu
	replies []*command
	closed  bool
}

// resetLocked resets a connection. The node's lock is held.
func (c *connection) resetLocked() {
	c.closed = true
	c.socket.SetLinger(0)
	c.socket.Close()
	c.changed.Broadcast()
	c.node.stalled.Broadcast()
}

// readLoop reads commands until the connection ends.
func (c *connection) readLoop() {
	n := c.node
	in := bufio.NewReaderSize(c.socket, readBufferBytes)
	for c.readCommand(in) {
	}
	n.mu.Lock()
	// What was read is answered if the peer has only stopped sending.
	for len(c.replies) > 0 && !c.closed {
		c.changed.Wait()
	}
	c.closed = true
	delete(n.conns, c)
	c.changed.Broadcast()
	n.stalled.Broadcast()
	n.mu.Unlock()
	c.socket.Close()
}

// readCommand reads and admits one command; false if no other can follow.
func (c *connection) readCommand(in *bufio.Reader) bool {
	n := c.node
	c.socket.SetReadDeadline(time.Now().Add(n.config.IdleTimeout))
	if _, err := in.Peek(1); err != nil {
		return false
	}
	at := time.Now()
	c.socket.SetReadDeadline(at.Add(n.config.IdleTimeout))
	j := &command{conn: c}
	read := n.readMeta
	if n.config.Binary {
		read = n.readBinary
	}
	complete, err := read(in, j)
	if !complete {
		return false
	}
	if j.answer == nil && n.config.OnRequest != nil {
		n.config.OnRequest(n.config.Name, j.command.ID, string(j.command.Value), at)
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	for len(c.replies) >= maxPipelined && !c.closed {
		c.changed.Wait()
	}
	if c.closed {
		return false
	}
	c.replies = append(c.replies, j)
	if j.answer == nil {
		n.admitLocked(j, at)
	}
	c.changed.Broadcast()
	return err == nil
}

// writeLoop writes the answers in the order of the commands.
func (c *connection) writeLoop() {
	n := c.node
	n.mu.Lock()
	defer n.mu.Unlock()
	for {
		for !c.closed && (len(c.replies) == 0 || c.replies[0].answer == nil || n.isSilentLocked()) {
			if n.isSilentLocked() {
				n.stalled.Wait()
			} else {
				c.changed.Wait()
			}
		}
		if c.closed {
			return
		}
		j := c.replies[0]
		if j.fault == Reset {
			c.resetLocked()
			return
		}
		n.mu.Unlock()
		c.socket.SetWriteDeadline(time.Now().Add(n.config.IdleTimeout))
		_, err := c.socket.Write(j.answer)
		n.mu.Lock()
		c.replies[0] = nil
		c.replies = c.replies[1:]
		if err != nil {
			c.closed = true
			c.socket.Close()
		}
		c.changed.Broadcast()
	}
}
