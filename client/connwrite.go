package client

import "time"

const (
	// writeTimeout is how long a peer may read nothing before its connection is given up.
	writeTimeout = 5 * time.Second
	// maxKeptBufferBytes bounds the buffer that a connection keeps while nothing is to be written.
	maxKeptBufferBytes = 64 << 10
)

// takeBatchLocked returns what is to be written next and claims writing for the caller, or nil. c.mu is held.
func (c *connection) takeBatchLocked() []byte {
	if c.err != nil || c.writing || len(c.outgoing) == 0 {
		return nil
	}
	batch := c.outgoing
	c.outgoing = c.spareBuffer[:0]
	c.spareBuffer = nil
	c.writtenBytes += int64(len(batch))
	c.writing = true
	return batch
}

// batchWritten gives up writing after a batch of which n bytes were written.
func (c *connection) batchWritten(batch []byte, n int, err error) {
	c.mu.Lock()
	c.writing = false
	if err != nil {
		c.writtenBytes -= int64(len(batch) - n)
	} else if cap(batch) <= maxKeptBufferBytes {
		c.spareBuffer = batch[:0]
	}
	if len(c.outgoing) > 0 {
		signal(c.writeWanted)
	}
	ended := c.err != nil
	c.mu.Unlock()
	switch {
	case ended:
		c.endPending()
	case err != nil:
		c.fail(err)
	}
}

// flush writes what is queued, unless that could block or another goroutine writes.
func (c *connection) flush() {
	c.mu.Lock()
	if c.queuedBytes-c.answeredBytes > maxDirectBytes {
		c.mu.Unlock()
		signal(c.writeWanted)
		return
	}
	batch := c.takeBatchLocked()
	c.mu.Unlock()
	if batch != nil {
		n, err := c.socket.Write(batch)
		c.batchWritten(batch, n, err)
	}
}

// writeLoop writes what callers leave to it, until the connection ends.
func (c *connection) writeLoop() {
	for range c.writeWanted {
		c.mu.Lock()
		batch := c.takeBatchLocked()
		err := c.err
		c.mu.Unlock()
		if err != nil {
			return
		}
		if batch != nil {
			c.socket.SetWriteDeadline(time.Now().Add(writeTimeout))
			n, err := c.socket.Write(batch)
			c.socket.SetWriteDeadline(time.Time{})
			c.batchWritten(batch, n, err)
		}
	}
}
