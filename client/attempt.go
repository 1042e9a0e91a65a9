package client

import (
	"context"
	"sync/atomic"
	"time"

	"mulleinpier/client/internal/balance"
	"mulleinpier/client/internal/retry"
	"mulleinpier/internal/request"
)

// outcomeNames are the names of outcomes in [TryInfo.Outcome]; they are part of the library's interface.
var outcomeNames = [...]string{
	retry.Served:          "served",
	retry.NotFound:        "missing",
	retry.Rejected:        "refused",
	retry.NotSent:         "unsent",
	retry.Invalid:         "invalid",
	retry.Failed:          "failed",
	retry.TimedOut:        "silent",
	retry.ConnectionLost:  "broken",
	retry.MalformedAnswer: "spoilt",
	retry.Canceled:        "canceled",
}

// States of an attempt.
const (
	attemptWaiting   = iota // the caller waits
	attemptAnswered         // the outcome is set
	attemptAbandoned        // the caller has given up; an answer is dropped
)

// attempt is one request on one connection. The caller owns it until it is queued on the connection, and again after it
// has received from done; in between the connection owns it.
type attempt struct {
	state atomic.Int32
	done  chan struct{} // capacity 1; signals that the outcome is set

	serial    uint64 // makes the id unique
	isRead    bool
	endOffset int64 // offset of the request's end in all bytes queued on the connection
	sentAt    time.Duration
	timeout   time.Duration
	info      *TryInfo // nil without hooks

	outcome    retry.Outcome
	retryAfter time.Duration
	value      []byte
	receipt    string
	cause      error
}

func newAttemptForPool() any { return &attempt{done: make(chan struct{}, 1)} }

// newAttempt takes an attempt from the pool and initialises it.
func (c *Client) newAttempt(acquired *acquisition, wire *request.Request, info *TryInfo) *attempt {
	t := c.attemptPool.Get().(*attempt)
	t.state.Store(attemptWaiting)
	t.serial = c.lastSerial.Add(1)
	t.isRead = wire.Verb == request.Get
	t.sentAt = acquired.sentAt
	t.timeout = acquired.timeout
	t.info = info
	t.retryAfter = 0
	t.value = nil
	t.receipt = ""
	t.cause = nil
	return t
}

// recycle returns an attempt to the pool. No connection may refer to it any more.
func (c *Client) recycle(t *attempt) {
	t.value = nil
	t.cause = nil
	t.info = nil
	c.attemptPool.Put(t)
}

// answer returns a copy of the outcome.
func (t *attempt) answer() answer {
	return answer{
		outcome:    t.outcome,
		retryAfter: t.retryAfter,
		value:      t.value,
		receipt:    t.receipt,
		cause:      t.cause,
	}
}

// attempt makes one attempt on a connection, and returns how it ended.
func (c *Client) attempt(ctx context.Context, acquired *acquisition, wire *request.Request, info *TryInfo) (a answer) {
	t := c.newAttempt(acquired, wire, info)
	if info != nil {
		info.ID = string(appendID(nil, c.idPrefix, t.serial))
		info.ConnReused = acquired.conn.answers.Load() > 0
		if hook := c.options.Trace.TryStart; hook != nil {
			hook(*info)
		}
	}
	readsOwn, ok := acquired.conn.send(t, wire)
	switch {
	case !ok:
		a.outcome = retry.NotSent
	case readsOwn:
		a = acquired.conn.readOwnAnswer(ctx, t)
	default:
		a = c.await(ctx, t)
	}
	switch {
	case !a.abandoned:
		c.recycle(t)
	case !t.isRead:
		acquired.conn.endAbandonedWrite(t)
	}
	return a
}

// await waits for the outcome of an attempt whose answer another goroutine reads.
func (c *Client) await(ctx context.Context, t *attempt) (a answer) {
	w := c.waiterPool.Get().(*waiter)
	w.timer.Reset(t.timeout)
	defer func() {
		w.timer.Stop()
		c.waiterPool.Put(w)
	}()
	select {
	case <-t.done:
		return t.answer()
	case <-w.timer.C:
		a = answer{outcome: retry.TimedOut, cause: context.DeadlineExceeded}
	case <-ctx.Done():
		a = contextAnswer(ctx)
	}
	if !t.state.CompareAndSwap(attemptWaiting, attemptAbandoned) {
		<-t.done // the outcome arrived at the same moment
		return t.answer()
	}
	a.abandoned = true
	return a
}

// endAbandonedWrite keeps a write whose caller has given up from taking effect after its timeout, on which retries and
// [Error.Settled] rely: unless it is answered by then, it resets the connection. The proxy may be cut off, and TCP
// would deliver the write when the network is back. Other requests on the connection are lost with it.
func (c *connection) endAbandonedWrite(t *attempt) {
	left := t.sentAt + t.timeout - c.client.options.clock().Monotonic
	if left <= 0 {
		c.failUnlessAnswered(t)
		return
	}
	c.client.startTask(func() {
		timer := time.NewTimer(left)
		defer timer.Stop()
		select {
		case <-timer.C:
			c.failUnlessAnswered(t)
		case <-c.ended:
		}
	})
}

// failUnlessAnswered ends the connection if an abandoned attempt on it was not answered.
func (c *connection) failUnlessAnswered(t *attempt) {
	c.mu.Lock()
	answered := t.endOffset <= c.answeredBytes
	c.mu.Unlock()
	if !answered {
		c.fail(errNoAnswer)
	}
}

// attemptEnded counts how an attempt ended and decides what follows. closed reports whether the client is closed.
func (c *Client) attemptEnded(
	conn *connection, r *retry.Request, a *answer, now retry.Timestamp,
) (d retry.Decision, closed bool) {
	c.mu.Lock()
	c.inFlight--
	conn.awaited--
	if conn.awaited == 0 {
		conn.idleSince = now.Monotonic
	}
	if !a.abandoned {
		conn.inFlight--
	}
	c.balancer.RequestEnded(conn.proxy, now.Monotonic, balanceOutcome(a), a.retryAfter)
	c.throttle.RecordOutcome(now.Monotonic, a.outcome)
	if a.outcome == retry.TimedOut {
		c.drainLocked(conn)
	}
	drained := conn.draining && conn.inFlight == 0
	c.wakeLocked(1)
	isRetry := r.Attempts() > 1
	d = r.AttemptEnded(now, a.outcome, a.retryAfter, c.budget, c.rng)
	if a.outcome == retry.NotSent {
		c.counters.tries.Add(-1)
		if isRetry {
			c.counters.retries.Add(-1)
		}
	}
	closed = c.closed
	c.mu.Unlock()
	if drained {
		conn.fail(errDrained)
	}
	return d, closed
}

// balanceOutcome returns what the end of an attempt means for the choice of proxies. A connection that the client
// itself has ended says nothing about its proxy: the attempt that was the reason counts.
func balanceOutcome(a *answer) balance.Outcome {
	switch a.outcome {
	case retry.ConnectionLost:
		if closedByClient(a.cause) {
			return balance.Answered
		}
		return balance.Failed
	case retry.TimedOut, retry.MalformedAnswer:
		return balance.Failed
	case retry.Rejected:
		return balance.Rejected
	}
	return balance.Answered
}
