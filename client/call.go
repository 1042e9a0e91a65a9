package client

import (
	"context"
	crand "crypto/rand"
	"errors"
	"fmt"
	"time"

	"mulleinpier/client/internal/balance"
	"mulleinpier/client/internal/retry"
	"mulleinpier/internal/meta"
	"mulleinpier/internal/request"
)

// Names of the operations in errors and traces.
const (
	opGet = "get"
	opSet = "set"
)

// call is one call in progress.
type call struct {
	client  *Client
	op      string
	request Request
	wire    request.Request // the request as it is sent
	class   Class
	start   retry.Timestamp
	retries retry.Request
}

// Do carries out a call. Its error is nil or an [*Error].
func (c *Client) Do(ctx context.Context, r Request) (Answer, error) {
	x := call{client: c, op: opGet, request: r}
	if r.Set {
		x.op = opSet
	}
	x.start = c.options.clock()
	err := x.prepare()
	c.activeCalls.Add(1)
	if c.draining.Load() || c.ctx.Err() != nil {
		c.callEnded()
		return Answer{}, &Error{Kind: ErrClosed, Op: x.op, Key: r.Key}
	}
	c.counters.calls.Add(1)
	if err != nil {
		return Answer{}, x.end(&Error{Kind: ErrInvalid, Op: x.op, Key: r.Key, Cause: err})
	}
	deadline := x.start.Monotonic + x.class.Wait
	if d, ok := ctx.Deadline(); ok {
		deadline = min(deadline, x.start.Monotonic+time.Until(d))
	}
	latencyObjective := time.Duration(0)
	if x.class.LatencyObjective > 0 {
		latencyObjective = x.start.Monotonic + x.class.LatencyObjective
	}
	x.retries = retry.NewRequest(c.retryPolicy, x.class.Effect, latencyObjective, deadline)
	return x.run(ctx, deadline)
}

// run makes attempts until the call ends.
func (x *call) run(ctx context.Context, deadline time.Duration) (Answer, error) {
	c := x.client
	var avoid *balance.Proxy
	for {
		acquired := c.acquire(ctx, &x.retries, deadline, avoid)
		if acquired.conn == nil {
			return x.fail(acquired.result, acquired.retryAfter, acquired.cause)
		}
		a, now := x.attempt(ctx, &acquired)
		d, closed := c.attemptEnded(acquired.conn, &x.retries, &a, now)
		if d.Result == retry.ResultServed {
			return x.succeed(&a)
		}
		if closed {
			a.cause = ErrClosed
			d.Result = retry.ResultNotSent
			if x.retries.MayHaveRun() && x.class.Effect != Safe {
				d.Result = retry.ResultUnknown
			}
		}
		if d.Result != retry.ResultPending {
			return x.fail(d.Result, d.RetryAfter, a.cause)
		}
		avoid = acquired.conn.proxy
		c.backOff(ctx, d.Backoff)
	}
}

// attempt makes one attempt on the acquired connection and calls the hooks of the attempt.
func (x *call) attempt(ctx context.Context, acquired *acquisition) (a answer, now retry.Timestamp) {
	c := x.client
	trace := &c.options.Trace
	x.wire.Retry = acquired.isRetry
	var info *TryInfo
	if trace.TryStart != nil || trace.TryDone != nil || trace.LateAnswer != nil {
		info = &TryInfo{
			Op:     x.op,
			Key:    x.request.Key,
			Proxy:  acquired.conn.proxy.Address,
			Repeat: acquired.isRetry,
			Wait:   announcedTimeout(acquired.timeout),
		}
	}
	a = c.attempt(ctx, acquired, &x.wire, info)
	now = c.options.clock()
	if trace.TryDone != nil {
		done := *info
		done.Took = now.Monotonic - acquired.sentAt
		done.Outcome = outcomeNames[a.outcome]
		done.RetryAfter = a.retryAfter
		trace.TryDone(done)
	}
	return a, now
}

// backOff waits before the next attempt. It returns early if the context ends or the client is closed; [Client.acquire]
// then finds out why.
func (c *Client) backOff(ctx context.Context, backoff time.Duration) {
	if backoff <= 0 {
		return
	}
	timer := time.NewTimer(backoff)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	case <-c.ctx.Done():
	}
}

// succeed ends a call that was served.
func (x *call) succeed(a *answer) (Answer, error) {
	tries := x.retries.Attempts()
	var err error
	if a.outcome == retry.NotFound {
		err = &Error{Kind: ErrMiss, Op: x.op, Key: x.request.Key, Tries: tries}
	}
	return Answer{Value: a.value, Receipt: a.receipt, Tries: tries}, x.end(err)
}

// fail ends a call that was not served.
func (x *call) fail(result retry.Result, retryAfter time.Duration, cause error) (Answer, error) {
	return Answer{Tries: x.retries.Attempts()}, x.end(x.error(result, retryAfter, cause))
}

// error returns the error of a call that was not served.
func (x *call) error(result retry.Result, retryAfter time.Duration, cause error) error {
	e := &Error{
		Op:          x.op,
		Key:         x.request.Key,
		Tries:       x.retries.Attempts(),
		RetryAfter:  retryAfter,
		Idempotency: x.wire.IdempotencyKey,
		Cause:       cause,
	}
	switch result {
	case retry.ResultRejected:
		e.Kind = ErrRefused
	case retry.ResultFailed:
		e.Kind = ErrFailed
	case retry.ResultDeadlineExceeded:
		e.Kind = ErrDeadline
		e.Cause = context.DeadlineExceeded
	case retry.ResultUnknown:
		e.Kind = ErrUnknown
		e.Settled = time.Now().Add(max(x.retries.SettledAt()-x.client.options.clock().Monotonic, 0))
	case retry.ResultInvalid:
		e.Kind = ErrInvalid
	case retry.ResultCanceled:
		e.Kind = cause
	default:
		e.setNotSent(cause)
	}
	return e
}

// setNotSent sets the kind of the error of a call that ended because its next attempt could not be sent.
func (e *Error) setNotSent(cause error) {
	switch {
	case errors.Is(cause, ErrClosed):
		e.Kind = ErrClosed
		e.Cause = nil
	case errors.Is(cause, context.Canceled):
		e.Kind = context.Canceled
		e.Cause = nil
	case errors.Is(cause, context.DeadlineExceeded) && e.Tries > 0:
		e.Kind = ErrDeadline
	default:
		e.Kind = ErrUnavailable
	}
}

// end counts the end of a call and calls the CallDone hook. It returns err, which is nil or an [*Error].
func (x *call) end(err error) error {
	c := x.client
	var e *Error
	if err != nil {
		errors.As(err, &e)
	}
	c.counters.forError(e).Add(1)
	if hook := c.options.Trace.CallDone; hook != nil {
		hook(CallInfo{
			Op:    x.op,
			Key:   x.request.Key,
			Tries: x.retries.Attempts(),
			Took:  c.options.clock().Monotonic - x.start.Monotonic,
			Err:   err,
		})
	}
	c.callEnded()
	return err
}

// callEnded counts the end of an active call, and wakes [Client.Shutdown] after the last one.
func (c *Client) callEnded() {
	if c.activeCalls.Add(-1) == 0 && c.draining.Load() {
		select {
		case c.drained <- struct{}{}:
		default:
		}
	}
}

// prepare checks the request and sets class and wire.
func (x *call) prepare() error {
	r, options := &x.request, &x.client.options
	x.class = r.Class
	if x.class == (Class{}) {
		x.class = options.Read
		if r.Set {
			x.class = options.Write
		}
	} else if err := x.class.check(); err != nil {
		return err
	}
	x.wire = request.Request{Key: r.Key, Class: x.class.Name, Tenant: r.Tenant}
	if x.wire.Tenant == "" {
		x.wire.Tenant = options.Tenant
	} else if !meta.ValidName(x.wire.Tenant) {
		return fmt.Errorf("tenant cannot be %q", x.wire.Tenant)
	}
	if !meta.ValidKey(r.Key) {
		return fmt.Errorf("key cannot be %q: want 1 to %d bytes without spaces and control characters",
			r.Key, meta.MaxKey)
	}
	if !r.Set {
		if r.Value != nil || r.Idempotency != "" {
			return errors.New("a read has no value and no idempotency key")
		}
		return nil
	}
	x.wire.Verb = request.Set
	x.wire.Value = r.Value
	if len(r.Value) > meta.MaxValue {
		return fmt.Errorf("value of %d bytes: want at most %d", len(r.Value), meta.MaxValue)
	}
	return x.prepareIdempotency()
}

// prepareIdempotency checks the idempotency key of a write, and generates one for a keyed write that has none.
func (x *call) prepareIdempotency() error {
	key := x.request.Idempotency
	switch {
	case x.class.Effect != Keyed && key != "":
		return fmt.Errorf("class %s is not keyed", x.class.Name)
	case x.class.Effect == Keyed && key == "":
		var random [16]byte
		if _, err := crand.Read(random[:]); err != nil {
			return err
		}
		key = fmt.Sprintf("%x", random)
	case x.class.Effect == Keyed && !meta.ValidName(key):
		return fmt.Errorf("idempotency key cannot be %q", key)
	}
	x.wire.IdempotencyKey = key
	return nil
}
