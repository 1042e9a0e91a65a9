package faultinject

import (
	"errors"
	"io"
	"net"
	"sync"
	"time"
)

const (
	maxPieceBytes = 16 << 10
	// maxTransferDelay bounds the delay of a piece.
	maxTransferDelay = 30 * time.Second
	// duplicateTimeout bounds the life of a duplicate connection after the original has ended.
	duplicateTimeout = time.Minute
)

func forward(f *Fault) *Direction  { return &f.Forward }
func backward(f *Fault) *Direction { return &f.Backward }

// transfer passes one direction of a connection on.
type transfer struct {
	link      *Link
	from, to  net.Conn
	duplicate net.Conn // gets everything too; nil for none
	direction func(*Fault) *Direction
}

// run passes everything on, as the fault of the direction allows, until the connection ends.
func (t *transfer) run() {
	piece := make([]byte, maxPieceBytes)
	// Before the first read the connection may have waited in the backlog, for as long as the link was cut.
	var lastRead time.Time
	for {
		n, err := t.from.Read(piece)
		blocked, open := t.link.awaitPassable(t.direction)
		if !open {
			return
		}
		blocked = blocked || t.link.FaultySince(lastRead)
		lastRead = time.Now()
		if blocked && wasReset(t.from) { // the data of a sender that gave up with a reset is lost
			reset(t.to)
			return
		}
		ok, ended := true, false
		switch {
		case n > 0 && blocked:
			ok, ended = t.passWithEnd(piece[:n])
		case n > 0:
			ok = t.pass(piece[:n])
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

// pass passes a piece on; false if the connection has ended.
func (t *transfer) pass(piece []byte) bool {
	t.delay(len(piece))
	if t.duplicate != nil {
		t.duplicate.Write(piece) // it fails if that one has ended, which is no matter
	}
	if _, err := t.to.Write(piece); err != nil {
		t.from.Close()
		return false
	}
	return true
}

// passWithEnd passes a piece on that waited for the end of a fault. If the sender has closed the connection, the end is
// to arrive together with the piece, as it does from a kernel that sends again what waited; ended is true then. ok is
// false if the connection has ended otherwise.
func (t *transfer) passWithEnd(piece []byte) (ok, ended bool) {
	holdBack(t.to)
	if !t.pass(piece) {
		return false, false
	}
	if wasClosed(t.from) {
		return true, true
	}
	letGo(t.to)
	return true, false
}

// delay takes the time that a piece of some bytes needs.
func (t *transfer) delay(size int) {
	direction := t.link.state(t.direction)
	d := direction.Delay
	if direction.BytesPerSecond > 0 {
		d += time.Duration(size) * time.Second / time.Duration(direction.BytesPerSecond)
	}
	time.Sleep(min(d, maxTransferDelay))
}

// end passes the end of the connection on.
func (t *transfer) end(err error) {
	if errors.Is(err, io.EOF) {
		t.to.(*net.TCPConn).CloseWrite()
		return
	}
	reset(t.to)
}

// dialDuplicate opens a second connection to the target if everything is to arrive twice; nil otherwise.
func (l *Link) dialDuplicate(tasks *sync.WaitGroup) net.Conn {
	l.mu.Lock()
	wanted := l.fault.Duplicate
	l.mu.Unlock()
	if !wanted {
		return nil
	}
	c, err := net.DialTimeout("tcp", l.target, linkDialTimeout)
	if err != nil || !l.add(c) {
		return nil
	}
	tasks.Go(func() {
		defer l.remove(c)
		c.SetReadDeadline(time.Now().Add(duplicateTimeout))
		io.Copy(io.Discard, c)
	})
	return c
}
