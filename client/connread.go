package client

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"io"
	"time"

	"mulleinpier/client/internal/retry"
	"mulleinpier/internal/meta"
)

const readBufferBytes = 4 << 10

const lineEnd = "\r\n"

// popAnswered removes the first pending attempt, which was answered. It returns false if the connection has ended.
func (c *connection) popAnswered() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.err != nil {
		return false
	}
	c.answeredBytes = c.pending[c.firstPending].endOffset
	c.pending[c.firstPending] = nil
	c.firstPending++
	if c.firstPending == len(c.pending) {
		c.firstPending = 0
		c.pending = c.pending[:0]
	}
	c.answers.Add(1)
	return true
}

// yieldReading releases reading, or hands it to readLoop if requests are pending.
func (c *connection) yieldReading() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.firstPending == len(c.pending) {
		c.reading = false
	} else {
		signal(c.readWanted)
	}
}

// setReadDeadline sets the read deadline as a time on the client's clock, 0 for none. The caller holds reading.
func (c *connection) setReadDeadline(at time.Duration) {
	c.readDeadline = at
	if at == 0 {
		c.socket.SetReadDeadline(time.Time{})
		return
	}
	c.socket.SetReadDeadline(time.Now().Add(at - c.client.options.clock().Monotonic))
}

// longPast is a read deadline in the past, which makes a read return immediately.
var longPast = time.Unix(1, 0)

// readOwnAnswer reads the answer to the first pending request in the goroutine of its caller, until the attempt times
// out or ctx ends.
func (c *connection) readOwnAnswer(ctx context.Context, t *attempt) (a answer) {
	if ctx.Done() != nil {
		stop := context.AfterFunc(ctx, func() { c.socket.SetReadDeadline(longPast) })
		defer stop()
	}
	deadline := t.sentAt + t.timeout
	for {
		err := c.readAnswer(t)
		if err == nil {
			a = c.partial
			c.partial = answer{}
			if c.popAnswered() {
				c.yieldReading()
				return a
			}
			<-t.done // the connection ended just now, but the answer is complete
			return a
		}
		if !isTimeout(err) {
			c.fail(err)
			<-t.done
			return t.answer()
		}
		switch {
		case ctx.Err() != nil:
			a = contextAnswer(ctx)
		case deadline <= c.client.options.clock().Monotonic:
			a = answer{outcome: retry.TimedOut, cause: context.DeadlineExceeded}
		default: // an earlier reader's deadline expired
			c.setReadDeadline(deadline)
			continue
		}
		return c.abandonReading(t, a)
	}
}

// abandonReading gives up waiting for an answer. The outcome is a, unless the connection has set another one before.
func (c *connection) abandonReading(t *attempt, a answer) answer {
	// Change the state before releasing reading, because the next reader may find the answer immediately.
	if !t.state.CompareAndSwap(attemptWaiting, attemptAbandoned) {
		<-t.done
		return t.answer()
	}
	a.abandoned = true
	c.yieldReading()
	return a
}

// contextAnswer returns the outcome of an attempt whose caller's context has ended.
func contextAnswer(ctx context.Context) answer {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return answer{outcome: retry.TimedOut, cause: ctx.Err()}
	}
	return answer{outcome: retry.Canceled, cause: ctx.Err()}
}

// readLoop reads for the callers that do not read themselves, until the connection ends.
func (c *connection) readLoop() {
	for range c.readWanted {
		if !c.readPending() {
			return
		}
	}
}

// readPending reads answers until no request is pending. It returns false if the connection has ended.
func (c *connection) readPending() bool {
	for first := true; ; first = false {
		c.mu.Lock()
		if c.err != nil { // another goroutine may still be reading
			c.mu.Unlock()
			return false
		}
		if c.firstPending == len(c.pending) {
			c.reading = false
			c.mu.Unlock()
			return true
		}
		t := c.pending[c.firstPending]
		c.mu.Unlock()
		if first {
			c.setReadDeadline(0)
		}
		err := c.readAnswer(t)
		if isTimeout(err) { // an earlier reader's deadline expired
			c.setReadDeadline(0)
			continue
		}
		if err != nil {
			c.fail(err)
			return false
		}
		a := c.partial
		c.partial = answer{}
		if !c.popAnswered() {
			return false
		}
		c.deliver(t, &a)
	}
}

// readAnswer reads the answer to an attempt into c.partial. After a timeout it can be called again and continues where
// it stopped.
func (c *connection) readAnswer(t *attempt) error {
	a := &c.partial
	if !c.inValue {
		line, err := c.readLine()
		if err != nil {
			return err
		}
		size, err := a.parseFirstLine(line, c.client.idPrefix, t)
		c.reader.Discard(len(line) + len(lineEnd))
		if err != nil || size < 0 {
			return err
		}
		a.value = make([]byte, size+len(lineEnd))
		c.inValue = true
		c.valueRead = 0
	}
	for c.valueRead < len(a.value) {
		n, err := c.reader.Read(a.value[c.valueRead:])
		c.valueRead += n
		if c.valueRead < len(a.value) && err != nil {
			if errors.Is(err, io.EOF) {
				return errMalformedAnswer
			}
			return err
		}
	}
	c.inValue = false
	size := len(a.value) - len(lineEnd)
	if string(a.value[size:]) != lineEnd {
		return errMalformedAnswer
	}
	a.value = a.value[:size:size]
	return nil
}

// readLine returns the next line without its line end. The line stays in the buffer.
func (c *connection) readLine() ([]byte, error) {
	for n := 1; ; {
		if _, err := c.reader.Peek(n); err != nil {
			if errors.Is(err, bufio.ErrBufferFull) {
				return nil, errMalformedAnswer
			}
			return nil, err
		}
		text, _ := c.reader.Peek(c.reader.Buffered())
		if i := bytes.IndexByte(text, '\n'); i >= 0 {
			if i == 0 || text[i-1] != '\r' || i > meta.MaxLine {
				return nil, errMalformedAnswer
			}
			return text[:i-1], nil
		}
		n = len(text) + 1
	}
}
