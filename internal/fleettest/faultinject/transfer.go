package faultinject

import (
	"errors"
	"io"
	"net"
	"sync"
	"time"
)

const (
	maxChunkBytes = 16 << 10
	// maxTransferDelay limits the delay of a chunk.
	maxTransferDelay = 30 * time.Second
	// duplicateTimeout limits the lifetime of a duplicate connection, counted from its dial.
	duplicateTimeout = time.Minute
)

func forward(f *Fault) *Direction  { return &f.Forward }
func backward(f *Fault) *Direction { return &f.Backward }

// transfer forwards one direction of a connection.
type transfer struct {
	link      *Link
	from, to  net.Conn
	duplicate net.Conn // second connection that the data is also sent on; nil if there is none
	direction func(*Fault) *Direction
}

// run forwards data, as the fault of the direction allows, until the connection or the link ends.
func (t *transfer) run() {
	chunk := make([]byte, maxChunkBytes)
	// lastRead is zero before the first read, because the connection may have waited in the backlog during any earlier
	// fault.
	var lastRead time.Time
	for {
		n, err := t.from.Read(chunk)
		blocked, open := t.link.awaitUnblocked(t.direction)
		if !open {
			return
		}
		blocked = blocked || t.link.FaultySince(lastRead)
		lastRead = time.Now()
		if blocked && wasReset(t.from) { // data that was held back is lost if its sender resets the connection
			reset(t.to)
			return
		}
		ok, ended := true, false
		switch {
		case n > 0 && blocked:
			ok, ended = t.forwardWithEnd(chunk[:n])
		case n > 0:
			ok = t.forwardChunk(chunk[:n])
		}
		if !ok {
			return
		}
		if err == nil && ended {
			err = io.EOF
		}
		if err != nil {
			t.end(err)
			return
		}
	}
}

// forwardChunk forwards a chunk. It returns false if the connection has ended.
func (t *transfer) forwardChunk(chunk []byte) bool {
	t.delay(len(chunk))
	if t.duplicate != nil {
		t.duplicate.Write(chunk) // fails if the duplicate has ended, which does not affect the original
	}
	if _, err := t.to.Write(chunk); err != nil {
		t.from.Close()
		return false
	}
	return true
}

// forwardWithEnd forwards a chunk that a fault held back. If the sender has closed the connection during the fault,
// ended is true, and the chunk stays corked so that it arrives together with the end of the connection, as it does when
// a kernel retransmits held-back data. ok is false if the chunk could not be forwarded.
func (t *transfer) forwardWithEnd(chunk []byte) (ok, ended bool) {
	cork(t.to)
	if !t.forwardChunk(chunk) {
		return false, false
	}
	if wasClosed(t.from) {
		return true, true
	}
	uncork(t.to)
	return true, false
}

// delay sleeps for the time that the fault of the direction adds to a chunk of size bytes.
func (t *transfer) delay(size int) {
	direction := t.link.state(t.direction)
	d := direction.Delay
	if direction.BytesPerSecond > 0 {
		d += time.Duration(size) * time.Second / time.Duration(direction.BytesPerSecond)
	}
	time.Sleep(min(d, maxTransferDelay))
}

// end ends the outgoing side as the incoming side has ended: io.EOF closes it for writing, any other error resets it.
func (t *transfer) end(err error) {
	if errors.Is(err, io.EOF) {
		t.to.(*net.TCPConn).CloseWrite()
		return
	}
	reset(t.to)
}

// dialDuplicate opens a second connection to the target and discards its answers. It returns nil if the link does not
// duplicate, or the connection cannot be opened.
func (l *Link) dialDuplicate(tasks *sync.WaitGroup) net.Conn {
	l.mu.Lock()
	wanted := l.fault.Duplicate
	l.mu.Unlock()
	if !wanted {
		return nil
	}
	c, err := net.DialTimeout("tcp", l.target, linkDialTimeout)
	if err != nil || !l.addConn(c) {
		return nil
	}
	tasks.Go(func() {
		defer l.removeConn(c)
		c.SetReadDeadline(time.Now().Add(duplicateTimeout))
		io.Copy(io.Discard, c)
	})
	return c
}
