package client

import "time"

const (
	// writeTimeout is how long writeLoop may take to write one batch. The connection ends if the peer does not read the
	// batch within writeTimeout.
	writeTimeout = 5 * time.Second
	// maxKeptBufferBytes is the largest write buffer that a connection keeps while there is nothing to write.
	maxKeptBufferBytes = 64 << 10
)

// takeBatchLocked acquires writing for the caller and returns the bytes to write next. It returns nil if there are
// none, another goroutine holds writing or the connection has ended. c.mu is held.
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

// batchWritten releases writing after n bytes of a batch were written.
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

// flush writes the queued requests, unless that could block or another goroutine is writing; in these cases writeLoop
// writes them.
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

// writeLoop writes what callers do not write themselves, until the connection ends.
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
