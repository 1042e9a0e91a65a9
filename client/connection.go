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
	// lingerTimeout is how long a connection on which a read timed out stays open for late answers after the last
	// caller has stopped waiting. The connection takes no more requests.
	lingerTimeout = time.Second
	// maxDirectBytes is the number of unanswered bytes up to which callers write to the socket themselves. The kernel
	// buffers that much, so that the write does not block: a caller could not abandon a blocked write.
	maxDirectBytes = 8 << 10
	// assumedOpenTime is the time after a request in which a connection is assumed to be open: a read is sent on it
	// without a check.
	assumedOpenTime = time.Millisecond
	// minCompactLength is the number of answered attempts that pending may contain before it is compacted.
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
// connection ends: they do the writes that could block, and read for the other callers.
//
// One goroutine at a time reads (the holder of reading) and one writes (the holder of writing); reading and writing are
// flags that mu guards.
type connection struct {
	client      *Client
	proxy       *balance.Proxy
	socket      net.Conn
	checkAlive  func() error  // returns an error if the peer has closed the connection or sent unrequested bytes
	writeWanted chan struct{} // capacity 1; there is something to write, or the connection has ended
	readWanted  chan struct{} // capacity 1; there is something to read, or the connection has ended
	answers     atomic.Int64  // number of answers received

	// Owned by the holder of reading.
	reader       *bufio.Reader
	readDeadline time.Duration // last value set, 0 for none; a cancelled context may have changed it on the socket
	partial      answer        // the part of the current answer that was received
	inValue      bool          // the first line of partial is complete
	valueRead    int           // bytes of partial's value that were read

	// Guarded by the client's mu.
	inFlight  int // requests on the connection, including abandoned ones
	awaited   int // requests on the connection whose callers still wait
	draining  bool
	idleSince time.Duration // when the last caller stopped waiting

	mu            sync.Mutex
	outgoing      []byte // queued but not yet written
	spareBuffer   []byte
	queuedBytes   int64      // appended to outgoing so far
	writtenBytes  int64      // of these, passed to the socket
	answeredBytes int64      // of these, up to the end of the last request that was answered
	pending       []*attempt // without an outcome from firstPending on, in the order in which answers arrive
	firstPending  int
	lastSentAt    time.Duration
	reading       bool
	writing       bool
	err           error // why the connection ended; nil while it is open
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

// signal sends to a channel of capacity 1 unless it is full.
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
	// Before the write, check whether the proxy has closed the connection meanwhile. Nobody else may write during the
	// check, because an answer would look like unrequested bytes. A read soon after another request needs no check,
	// because it can be retried.
	check := readsOwn && !c.writing && !(t.isRead && t.sentAt-c.lastSentAt < assumedOpenTime)
	c.lastSentAt = t.sentAt
	c.writing = c.writing || check
	c.mu.Unlock()
	deadline := t.sentAt + t.timeout
	if readsOwn && !(c.readDeadline > t.sentAt+t.timeout/4 && c.readDeadline <= deadline) {
		// A read deadline somewhat before the attempt's end is good enough and saves a system call: when it expires,
		// the reader checks the time and continues.
		c.setReadDeadline(deadline)
	}
	if check && !c.checkBeforeWrite(deadline) {
		return true, true
	}
	c.flush()
	return readsOwn, true
}

// enqueueLocked queues a request behind the pending ones. c.mu is held.
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

// checkBeforeWrite ends the connection and returns false if the peer has closed it. The caller holds reading and
// writing.
func (c *connection) checkBeforeWrite(deadline time.Duration) bool {
	err := c.checkAlive()
	if isTimeout(err) { // an earlier caller's cancelled context has changed the read deadline
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

// checkIdle ends a connection without requests if the peer has closed it.
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

// finishCheck releases writing after a check. If the connection has ended meanwhile, it ends the pending attempts.
func (c *connection) finishCheck() {
	c.mu.Lock()
	c.writing = false
	ended := c.err != nil
	c.mu.Unlock()
	if ended {
		c.endPending()
	}
}

// deliver sets the outcome of an attempt. A caller that still waits counts the end of the attempt itself; for an
// abandoned attempt, deliver counts it.
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

// fail ends the connection because of err. If a goroutine is writing, that goroutine ends the pending attempts after
// its write, because only then is it known what was written. A connection with unanswered requests is reset: they count
// as ended from now on, and must not reach the proxy later.
func (c *connection) fail(err error) {
	c.mu.Lock()
	if c.err != nil {
		c.mu.Unlock()
		return
	}
	c.err = err
	writing := c.writing
	unanswered := c.firstPending < len(c.pending)
	c.mu.Unlock()
	if unanswered {
		closeWithReset(c.socket)
	} else {
		c.socket.Close()
	}
	signal(c.writeWanted)
	signal(c.readWanted)
	if !writing {
		c.endPending()
	}
}

// endPending sets the outcome of all pending attempts of a connection that has ended. Only the first call does so.
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
		case i == 0 && malformed: // the other attempts have received no answer
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
