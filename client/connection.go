package client

import (
	"bufio"
	"errors"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"mulleinpier/client/internal/balance"
	"mulleinpier/client/internal/retry"
	"mulleinpier/internal/meta"
	"mulleinpier/internal/request"
)

const (
	// lingerTimeout is how long a connection on which an attempt timed out is watched for late answers after its last
	// attempt was abandoned. It takes no more requests.
	lingerTimeout = time.Second
	// maxDirectBytes bounds the unanswered bytes up to which a caller writes itself: the kernel buffers that much, and
	// a caller could not give up a write that blocks.
	maxDirectBytes = 8 << 10
	// freshTime is how long after a request a connection is taken to be open without a check.
	freshTime = time.Millisecond
	// minCompactLength is how many answered attempts the list of pending ones may contain before it is compacted.
	minCompactLength = 64
)

// Reasons why a connection ends.
var (
	errMalformedAnswer = errors.New("what came does not answer the request")
	errIdle            = errors.New("idle")
	errNoAnswer        = errors.New("no answer in time")
	errDrained         = errors.New("proxy left the list")
)

// connection is a connection to a proxy. The caller of the only request on it writes the request and reads the answer
// itself, which saves a switch to another goroutine. Two goroutines, writeLoop and readLoop, do the rest until the
// connection ends: they write where a write could block, and read for the other callers.
//
// One goroutine at a time reads (the holder of reading) and one writes (the holder of writing).
type connection struct {
	client      *Client
	proxy       *balance.Proxy
	socket      net.Conn
	checkAlive  func() error  // an error if the peer has closed the connection or sent unrequested bytes
	writeWanted chan struct{} // holds one: there is something to write, or the connection has ended
	readWanted  chan struct{} // holds one: there is something to read, or the connection has ended
	answers     atomic.Int64  // received

	// Owned by the holder of reading.
	reader       *bufio.Reader
	readDeadline time.Duration // set last, 0 for none; a cancelled context may have changed it on the socket
	partial      answer        // what has come of an answer
	inValue      bool          // partial has its first line
	valueRead    int           // bytes of partial's value

	// Guarded by the client's lock.
	inFlight  int // requests on it, including those that were abandoned
	awaited   int // requests on it whose callers wait
	draining  bool
	idleSince time.Duration // when the last caller stopped waiting

	mu            sync.Mutex
	outgoing      []byte // queued and not yet written
	spareBuffer   []byte
	queuedBytes   int64      // put into outgoing so far
	writtenBytes  int64      // of these, given to the socket
	answeredBytes int64      // of these, up to the end of the last request that was answered
	pending       []*attempt // in the order of their answers, from firstPending on
	firstPending  int
	lastSentAt    time.Duration
	reading       bool
	writing       bool
	err           error // why it ended; nil while it is open
	pendingEnded  bool  // all pending attempts have their outcome
	ended         chan struct{}
}

func newConnection(c *Client, proxy *balance.Proxy, socket net.Conn, now time.Duration) *connection {
	return &connection{
		client:      c,
		proxy:       proxy,
		socket:      socket,
		checkAlive:  newLivenessCheck(socket),
		writeWanted: make(chan struct{}, 1),
		readWanted:  make(chan struct{}, 1),
		reader:      bufio.NewReaderSize(socket, readBufferBytes),
		idleSince:   now,
		ended:       make(chan struct{}),
	}
}

// signal sends to a channel that holds one, unless it is full.
func signal(ch chan struct{}) {
	select {
	case ch <- struct{}{}:
	default:
	}
}

func isTimeout(err error) bool { return errors.Is(err, os.ErrDeadlineExceeded) }

// send queues a request. ok is false if the connection has ended. If readsOwn is true, the caller has to read the
// answer with [connection.readOwnAnswer].
func (c *connection) send(t *attempt, r *request.Request) (readsOwn, ok bool) {
	c.mu.Lock()
	if c.err != nil {
		c.mu.Unlock()
		return false, false
	}
	c.enqueueLocked(t, r)
	if !c.reading {
		c.reading = true
		readsOwn = len(c.pending)-c.firstPending == 1
		if !readsOwn {
			signal(c.readWanted)
		}
	}
	// A proxy that has closed the connection meanwhile is noticed before anything is written to it. Nobody else may
	// write until then: an answer would look like unrequested bytes. A read soon after another request needs no
	// check, because it can be repeated.
	check := readsOwn && !c.writing && !(t.isRead && t.sentAt-c.lastSentAt < freshTime)
	c.lastSentAt = t.sentAt
	c.writing = c.writing || check
	c.mu.Unlock()
	deadline := t.sentAt + t.timeout
	if readsOwn && !(c.readDeadline > t.sentAt+t.timeout/4 && c.readDeadline <= deadline) {
		// A read deadline somewhat before the attempt's end is good enough and saves a system call: the reader checks
		// the time and goes on.
		c.setReadDeadline(deadline)
	}
	if check && !c.checkBeforeWrite(deadline) {
		return true, true
	}
	c.flush()
	return readsOwn, true
}

// enqueueLocked puts a request behind the pending ones. c.mu is held.
func (c *connection) enqueueLocked(t *attempt, r *request.Request) {
	before := len(c.outgoing)
	c.outgoing = appendCommand(c.outgoing, c.client.idPrefix, t, r)
	c.queuedBytes += int64(len(c.outgoing) - before)
	t.endOffset = c.queuedBytes
	if c.firstPending > minCompactLength && c.firstPending*2 > len(c.pending) {
		c.pending = c.pending[:copy(c.pending, c.pending[c.firstPending:])]
		c.firstPending = 0
	}
	c.pending = append(c.pending, t)
}

// checkBeforeWrite ends the connection, and returns false, if the peer has closed it. The caller holds writing.
func (c *connection) checkBeforeWrite(deadline time.Duration) bool {
	err := c.checkAlive()
	if isTimeout(err) { // a caller before this one was cancelled at that moment
		c.setReadDeadline(deadline)
		err = c.checkAlive()
	}
	c.finishCheck()
	if err != nil {
		c.fail(err)
		return false
	}
	return true
}

// checkIdle ends the connection if its peer has closed it, while no request is on it.
func (c *connection) checkIdle() {
	c.mu.Lock()
	if c.reading || c.writing || c.err != nil || c.firstPending < len(c.pending) {
		c.mu.Unlock()
		return
	}
	c.reading = true
	c.writing = true
	c.mu.Unlock()
	c.setReadDeadline(0)
	err := c.checkAlive()
	c.finishCheck()
	if err != nil && !isTimeout(err) {
		c.fail(err)
		return
	}
	c.flush()
	c.yieldReading()
}

// finishCheck ends the writing that a check has claimed.
func (c *connection) finishCheck() {
	c.mu.Lock()
	c.writing = false
	ended := c.err != nil
	c.mu.Unlock()
	if ended {
		c.endPending()
	}
}

// deliver gives an attempt its outcome. A caller that still waits accounts for it.
func (c *connection) deliver(t *attempt, a *answer) {
	if t.state.Load() == attemptWaiting {
		t.outcome = a.outcome
		t.retryAfter = a.retryAfter
		t.value = a.value
		t.receipt = a.receipt
		t.cause = a.cause
		if t.state.CompareAndSwap(attemptWaiting, attemptAnswered) {
			t.done <- struct{}{}
			return
		}
	}
	hook := c.client.options.Trace.LateAnswer
	if hook != nil && t.info != nil && a.outcome.IsAnswer() {
		info := *t.info
		info.Outcome = outcomeNames[a.outcome]
		info.Took = c.client.options.clock().Monotonic - t.sentAt
		hook(info)
	}
	c.client.abandonedEnded(c)
}

// fail ends the connection. A goroutine that is writing ends the pending attempts after its write, because only then
// is it known what was written.
func (c *connection) fail(err error) {
	c.mu.Lock()
	if c.err != nil {
		c.mu.Unlock()
		return
	}
	c.err = err
	writing := c.writing
	c.mu.Unlock()
	c.socket.Close()
	signal(c.writeWanted)
	signal(c.readWanted)
	if !writing {
		c.endPending()
	}
}

// endPending gives all pending attempts of a connection that has ended their outcome. It does so once.
func (c *connection) endPending() {
	c.mu.Lock()
	if c.pendingEnded {
		c.mu.Unlock()
		return
	}
	c.pendingEnded = true
	pending := c.pending[c.firstPending:]
	c.pending = nil
	c.outgoing = nil
	err := c.err
	written := c.writtenBytes
	c.mu.Unlock()
	defer close(c.ended)
	now := c.client.options.clock().Monotonic
	c.client.connEnded(c, countWritten(pending, written), err)
	malformed := errors.Is(err, errMalformedAnswer) || errors.Is(err, meta.ErrMalformedAnswer)
	for i, t := range pending {
		a := answer{outcome: retry.ConnectionLost, cause: err}
		switch {
		case t.endOffset > written:
			a.outcome = retry.NotSent
		case t.sentAt+t.timeout <= now:
			a.outcome = retry.TimedOut
		case i == 0 && malformed: // those behind it have had no answer
			a.outcome = retry.MalformedAnswer
		}
		c.deliver(t, &a)
	}
}

// countWritten counts the pending attempts that were written completely.
func countWritten(pending []*attempt, written int64) (count int) {
	for _, t := range pending {
		if t.endOffset <= written {
			count++
		}
	}
	return count
}
