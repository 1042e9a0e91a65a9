package client

import (
	"context"
	"errors"
	"time"

	"mulleinpier/client/internal/balance"
	"mulleinpier/client/internal/retry"
)

// acquisition is the result of acquire: a connection on which an attempt was started, or the reason why the call has
// ended.
type acquisition struct {
	conn    *connection   // nil if the call has ended
	sentAt  time.Duration // on the client's clock
	timeout time.Duration // timeout of the attempt
	isRetry bool

	result     retry.Result // result of a call that has ended
	retryAfter time.Duration
	cause      error
}

// giveUp ends a call that gets no further attempt.
func giveUp(r *retry.Request, outcome retry.Outcome, retryAfter time.Duration, cause error) acquisition {
	d := r.GiveUp(outcome, retryAfter)
	return acquisition{result: d.Result, retryAfter: d.RetryAfter, cause: cause}
}

// errTooManyWaiting is the cause of a call that is refused because [Options.MaxWaiting] calls wait already.
var errTooManyWaiting = errors.New("too many calls wait")

// acquire waits for a connection that can take the next attempt of a call, and starts the attempt.
func (c *Client) acquire(
	ctx context.Context, r *retry.Request, deadline time.Duration, avoid *balance.Proxy,
) acquisition {
	throttleChecked := false
	for {
		c.mu.Lock()
		now := c.options.clock()
		if err := c.callErrorLocked(ctx, r, now); err != nil {
			c.mu.Unlock()
			return giveUp(r, retry.NotSent, 0, err)
		}
		if !throttleChecked && !c.throttle.Allow(now.Monotonic, c.rng) {
			c.counters.throttled.Add(1)
			retryAfter := time.Duration(c.rng.Int64N(int64(throttledRetryAfter))) + throttledRetryAfter/2
			c.mu.Unlock()
			return giveUp(r, retry.Rejected, retryAfter, nil)
		}
		throttleChecked = true
		choice := c.balancer.Choose(now.Monotonic, avoid)
		if a, done := c.applyChoiceLocked(choice, r, now, deadline); done {
			c.mu.Unlock()
			return a
		}
		if c.waiters.Len() >= c.options.MaxWaiting {
			c.mu.Unlock()
			return giveUp(r, retry.Rejected, 0, errTooManyWaiting)
		}
		until := deadline
		if choice.Kind == balance.Wait {
			until = min(until, choice.RetryAt)
		}
		c.waitAndUnlock(ctx, max(until-now.Monotonic, 0))
	}
}

// throttledRetryAfter is the mean Retry-After of a call that the client's own throttle rejects. The actual value is
// drawn from half to one and a half times the mean.
const throttledRetryAfter = 500 * time.Millisecond

// callErrorLocked returns why no attempt of a call can be sent at now, or nil. c.mu is held.
func (c *Client) callErrorLocked(ctx context.Context, r *retry.Request, now retry.Timestamp) error {
	switch {
	case c.closed:
		return ErrClosed
	case ctx.Err() != nil:
		return ctx.Err()
	case !r.CanSend(now):
		return context.DeadlineExceeded
	}
	return nil
}

// applyChoiceLocked carries out the balancer's choice. done is false if the call has to wait. c.mu is held.
func (c *Client) applyChoiceLocked(
	choice balance.Choice, r *retry.Request, now retry.Timestamp, deadline time.Duration,
) (a acquisition, done bool) {
	switch choice.Kind {
	case balance.Send:
		if conn := c.pickConnLocked(choice.Proxy, now.Monotonic); conn != nil {
			return c.startAttemptLocked(conn, r, now), true
		}
	case balance.Dial:
		c.dialLocked(choice.Proxy)
	case balance.AllRejecting:
		c.counters.throttled.Add(1)
		return giveUp(r, retry.Rejected, max(choice.RetryAt-now.Monotonic, time.Millisecond), nil), true
	case balance.Wait:
		// No connection is open or being opened, and no proxy becomes usable before the deadline.
		if choice.RetryAt >= deadline && len(c.conns) == 0 && !c.balancer.IsDialing() {
			return giveUp(r, retry.NotSent, 0, nil), true
		}
	}
	return acquisition{}, false
}

// startAttemptLocked starts an attempt on a connection. c.mu is held.
func (c *Client) startAttemptLocked(conn *connection, r *retry.Request, now retry.Timestamp) acquisition {
	timeout, _ := r.StartAttempt(now, c.budget)
	conn.inFlight++
	conn.awaited++
	c.inFlight++
	c.balancer.RequestSent(conn.proxy)
	c.counters.tries.Add(1)
	isRetry := r.Attempts() > 1
	if isRetry {
		c.counters.retries.Add(1)
	}
	return acquisition{conn: conn, sentAt: now.Monotonic, timeout: timeout, isRetry: isRetry}
}

// waiter is used to wait for a connection or for an answer.
type waiter struct {
	woken chan struct{} // capacity 1; receives at most one signal per wait
	timer *time.Timer   // stopped while in Client.waiterPool
}

func newWaiterForPool() any {
	w := &waiter{woken: make(chan struct{}, 1), timer: time.NewTimer(time.Hour)}
	w.timer.Stop()
	return w
}

// waitAndUnlock unlocks c.mu, which is held, and waits until the call is woken, limit has passed or ctx ends.
func (c *Client) waitAndUnlock(ctx context.Context, limit time.Duration) {
	w := c.waiterPool.Get().(*waiter)
	element := c.waiters.PushBack(w)
	c.mu.Unlock()
	w.timer.Reset(limit)
	woken := false
	select {
	case <-w.woken:
		woken = true
	case <-w.timer.C:
	case <-ctx.Done():
	}
	w.timer.Stop()
	if !woken {
		c.mu.Lock()
		select {
		case <-w.woken: // woken after the wait ended; a call whose context has ended wakes another call
			if ctx.Err() != nil {
				c.wakeLocked(1)
			}
		default:
			c.waiters.Remove(element)
		}
		c.mu.Unlock()
	}
	c.waiterPool.Put(w)
}

// wakeLocked wakes up to n waiting calls, which then choose a proxy again. c.mu is held.
func (c *Client) wakeLocked(n int) {
	for ; n > 0 && c.waiters.Len() > 0; n-- {
		c.waiters.Remove(c.waiters.Front()).(*waiter).woken <- struct{}{}
	}
}
