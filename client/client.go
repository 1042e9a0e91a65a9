package client

import (
	"container/list"
	"context"
	crand "crypto/rand"
	"encoding/binary"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"mulleinpier/client/internal/balance"
	"mulleinpier/client/internal/retry"
	"mulleinpier/internal/meta"
	"mulleinpier/internal/request"
)

// names are the outcomes' in traces.
var names = [...]string{retry.Served: "served", retry.NotFound: "missing", retry.Rejected: "refused", retry.NotSent: "unsent",
	retry.Invalid: "invalid", retry.Failed: "failed", retry.TimedOut: "silent", retry.ConnectionLost: "broken", retry.MalformedAnswer: "spoilt",
	retry.Canceled: "canceled"}

// Client is a client of a fleet of proxies. Make one with [New]; it is safe for concurrent use.
type Client struct {
	options Options
	rules   *retry.Policy
	base    string // of all ids
	serial  atomic.Uint64
	ctx     context.Context
	stop    context.CancelFunc
	tasks   sync.WaitGroup // no Add once closed

	// mu is never held over I/O or a hook, and never taken while a connection's is held.
	mu       sync.Mutex
	rng      *rand.Rand
	balancer *balance.Balancer
	budget   *retry.Budget
	pace     retry.Throttle
	conns    map[*balance.Proxy][]*conn
	waiters  list.List // of *wait, the longest wait first
	open     int
	closed   bool

	active   atomic.Int64  // calls under way
	draining atomic.Bool   // no more are taken
	drained  chan struct{} // holds one: the last call is over
	counts   counts
}

// counts are those of [Stats].
type counts struct {
	calls, served, missing, refused, failed, deadline, unknown, unavailable, invalid, closed,
	tries, retries, withheld, dials, dialFails atomic.Int64
}

// New returns a client. It does not wait for a proxy: calls do.
func New(o Options) (*Client, error) {
	if err := o.fill(); err != nil {
		return nil, err
	}
	var seed [24]byte
	if _, err := crand.Read(seed[:]); err != nil {
		return nil, err
	}
	rng := rand.New(rand.NewPCG(binary.LittleEndian.Uint64(seed[8:]), binary.LittleEndian.Uint64(seed[16:])))
	c := &Client{options: o, rules: o.retryRules(), base: fmt.Sprintf("c%x-", seed[:8]), rng: rng,
		balancer: balance.New(o.balanceRules(), rng), budget: retry.NewBudget(o.RetryRatio, o.RetryBurst),
		conns: make(map[*balance.Proxy][]*conn), drained: make(chan struct{}, 1)}
	c.ctx, c.stop = context.WithCancel(context.Background())
	c.tasks.Go(c.follow)
	c.tasks.Go(c.tidy)
	return c, nil
}

// Request is one call in full.
type Request struct {
	Key   string
	Value []byte
	Set   bool // it writes Value, else it reads
	// Class; [Options.Read] or [Options.Write] where left out.
	Class Class
	// Tenant; [Options.Tenant] where left out.
	Tenant string
	// Idempotency is the key under which a keyed write's repeats are dropped; one of its own where left out.
	// The caller's own serves where the same write may come from two places within the window.
	Idempotency string
}

// Answer is what a call brought.
type Answer struct {
	Value   []byte // of a read; the caller's
	Receipt string // of a write
	Tries   int
}

// Get reads a key. The value is the caller's.
func (c *Client) Get(ctx context.Context, key string) ([]byte, error) {
	a, err := c.Do(ctx, Request{Key: key})
	return a.Value, err
}

// Set writes a key, and returns the receipt. The value may be changed once Set has returned.
func (c *Client) Set(ctx context.Context, key string, value []byte) (receipt string, err error) {
	a, err := c.Do(ctx, Request{Key: key, Value: value, Set: true})
	return a.Receipt, err
}

// multiple is how many keys of one GetMulti are asked for at a time.
const multiple = 32

// GetMulti reads several keys together. Those that do not exist are left out; of the other errors the first is
// returned, with what came all the same.
func (c *Client) GetMulti(ctx context.Context, keys []string) (map[string][]byte, error) {
	var mu sync.Mutex
	var first error
	values := make(map[string][]byte, len(keys))
	next := make(chan string)
	var tasks sync.WaitGroup
	for range min(multiple, len(keys)) {
		tasks.Go(func() {
			for key := range next {
				value, err := c.Get(ctx, key)
				mu.Lock()
				if err == nil {
					values[key] = value
				} else if first == nil && !errors.Is(err, ErrMiss) {
					first = err
				}
				mu.Unlock()
			}
		})
	}
	for _, key := range keys {
		next <- key
	}
	close(next)
	tasks.Wait()
	return values, first
}

// Resolve finds out what became of a write that ended with [ErrUnknown]: it waits until nothing of
// it can begin any more, reads the key, and asks done of the value (nil if there is no such key). If that
// tells false, the write was not carried out and can be set anew.
func (c *Client) Resolve(ctx context.Context, unknown error, done func(value []byte) bool) (bool, error) {
	var e *Error
	if !errors.As(unknown, &e) || e.Kind != ErrUnknown {
		return false, fmt.Errorf("%w: the error to resolve is no ErrUnknown: %v", ErrInvalid, unknown)
	}
	timer := time.NewTimer(time.Until(e.Settled))
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
		return false, ctx.Err()
	case <-c.ctx.Done():
		return false, ErrClosed
	}
	value, err := c.Get(ctx, e.Key)
	if err != nil && !errors.Is(err, ErrMiss) {
		return false, err
	}
	return done(value), nil
}

// Stats returns the counts so far.
func (c *Client) Stats() Stats {
	n := &c.counts
	s := Stats{Calls: n.calls.Load(), Served: n.served.Load(), Missing: n.missing.Load(), Refused: n.refused.Load(), Failed: n.failed.Load(),
		Deadline: n.deadline.Load(), Unknown: n.unknown.Load(), Unavailable: n.unavailable.Load(), Invalid: n.invalid.Load(), Closed: n.closed.Load(),
		Tries: n.tries.Load(), Retries: n.retries.Load(), Throttled: n.withheld.Load(), Dials: n.dials.Load(), DialFails: n.dialFails.Load()}
	c.mu.Lock()
	defer c.mu.Unlock()
	s.InFlight, s.Waiting = c.open, c.waiters.Len()
	for _, list := range c.conns {
		s.Conns += len(list)
	}
	return s
}

// Shutdown takes no more calls, waits until those under way are over or ctx ends, and closes the client.
func (c *Client) Shutdown(ctx context.Context) (err error) {
	c.draining.Store(true)
	for c.active.Load() > 0 && err == nil {
		select {
		case <-c.drained:
		case <-c.ctx.Done(): // closed by another
			return c.Close()
		case <-ctx.Done():
			err = ctx.Err()
		}
	}
	c.Close()
	return err
}

// Close ends all calls with [ErrClosed], closes all connections, and returns once nothing of the client runs.
func (c *Client) Close() error {
	c.mu.Lock()
	c.closed = true
	var all []*conn
	for _, list := range c.conns {
		all = append(all, list...)
	}
	c.rouse(c.waiters.Len())
	c.mu.Unlock()
	c.stop()
	for _, k := range all {
		k.fail(ErrClosed)
		<-k.over
	}
	c.tasks.Wait()
	return nil
}

// follow puts the lists of the source into force.
func (c *Client) follow() {
	for c.ctx.Err() == nil {
		err := c.options.Proxies.Follow(c.ctx, c.update)
		if c.ctx.Err() != nil {
			return
		}
		if list := c.options.Trace.List; list != nil {
			list(nil, err)
		}
		c.mu.Lock()
		pause := sourcePause + time.Duration(c.rng.Int64N(int64(sourcePause)))
		c.mu.Unlock()
		select {
		case <-time.After(pause):
		case <-c.ctx.Done():
		}
	}
}

// sourcePause is the least time before a source that failed is followed again.
const sourcePause = 500 * time.Millisecond

func (c *Client) update(addresses []string) {
	if len(addresses) == 0 {
		if list := c.options.Trace.List; list != nil {
			list(nil, ErrUnavailable)
		}
		return
	}
	c.mu.Lock()
	changed := c.balancer.Update(c.options.clock().Monotonic, addresses)
	c.rouse(c.waiters.Len())
	c.mu.Unlock()
	if changed {
		c.sweep()
		if list := c.options.Trace.List; list != nil {
			list(addresses, nil)
		}
	}
}

// tidy closes connections that are of no more use, until the client is closed.
func (c *Client) tidy() {
	ticker := time.NewTicker(max(min(c.options.Idle, lingerTime)/4, time.Millisecond))
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			c.sweep()
		case <-c.ctx.Done():
			return
		}
	}
}

func (c *Client) sweep() {
	type end struct {
		k   *conn
		err error
	}
	var ends []end
	var idle []*conn
	c.mu.Lock()
	now := c.options.clock().Monotonic
	for p, list := range c.conns {
		for _, k := range list {
			if p.IsRemoved() {
				c.endLocked(k)
			}
			switch {
			case k.ending && k.open == 0:
				ends = append(ends, end{k, errDropped})
			case k.ending && k.live == 0 && now-k.idle >= lingerTime:
				ends = append(ends, end{k, errLinger})
			case k.open == 0 && now-k.idle >= c.options.Idle:
				c.endLocked(k)
				ends = append(ends, end{k, errIdle})
			case k.open == 0:
				idle = append(idle, k)
			}
		}
	}
	c.mu.Unlock()
	for _, e := range ends {
		e.k.fail(e.err)
	}
	for _, k := range idle {
		k.look()
	}
}

// endLocked has a connection take no more requests. c.mu is held.
func (c *Client) endLocked(k *conn) {
	if !k.ending {
		k.ending = true
		c.balancer.ConnDraining(k.proxy)
	}
}

// rouse lets so many waiting calls look again. c.mu is held.
func (c *Client) rouse(n int) {
	for ; n > 0 && c.waiters.Len() > 0; n-- {
		c.waiters.Remove(c.waiters.Front()).(*wait).changed <- struct{}{}
	}
}

// dial opens a connection to a proxy. c.mu is held.
func (c *Client) dial(p *balance.Proxy) {
	c.balancer.DialStarted(p)
	c.counts.dials.Add(1)
	c.tasks.Go(func() {
		trace := &c.options.Trace
		if trace.DialStart != nil {
			trace.DialStart(p.Address)
		}
		begun := time.Now()
		socket, err := c.options.Dial(c.ctx, "tcp", p.Address)
		if trace.DialDone != nil {
			trace.DialDone(p.Address, time.Since(begun), err)
		}
		c.mu.Lock()
		if err == nil && c.closed {
			err = ErrClosed
			defer socket.Close()
		}
		now := c.options.clock().Monotonic
		if err != nil {
			c.balancer.DialFailed(p, now)
			c.counts.dialFails.Add(1)
			c.rouse(c.waiters.Len()) // they choose anew
			c.mu.Unlock()
			return
		}
		c.balancer.DialSucceeded(p)
		k := newConn(c, p, socket, now)
		c.conns[p] = append(c.conns[p], k)
		c.tasks.Go(k.write)
		c.tasks.Go(k.readAll)
		c.rouse(c.options.Depth)
		c.mu.Unlock()
	})
}

// briefly is how long a connection may have idled whose end tells of a proxy that has gone: after longer it
// may be one that had too many idle ones.
const briefly = 100 * time.Millisecond

// ended takes a connection off the client's books, once. With due, answers were due on it.
func (c *Client) ended(k *conn, due bool, err error) {
	own := errors.Is(err, errIdle) || errors.Is(err, errDropped) || errors.Is(err, errLinger) || errors.Is(err, ErrClosed)
	c.mu.Lock()
	now := c.options.clock().Monotonic
	c.endLocked(k)
	if !own && (due || now-k.idle < briefly) {
		c.balancer.ConnLost(k.proxy, now)
	} else {
		c.balancer.ConnClosed(k.proxy)
	}
	list := c.conns[k.proxy]
	for i := range list {
		if list[i] == k {
			list[i] = list[len(list)-1]
			list[len(list)-1] = nil
			list = list[:len(list)-1]
			break
		}
	}
	if c.conns[k.proxy] = list; len(list) == 0 {
		delete(c.conns, k.proxy)
	}
	c.rouse(c.waiters.Len())
	c.mu.Unlock()
	if own {
		err = nil
	}
	if done := c.options.Trace.Disconnected; done != nil {
		done(k.proxy.Address, err)
	}
}

// forget is told that a request that had been given up is over.
func (c *Client) forget(k *conn) {
	c.mu.Lock()
	k.open--
	over := k.ending && k.open == 0
	c.rouse(1)
	c.mu.Unlock()
	if over {
		k.fail(errDropped)
	}
}

// acquired is what a call waits for before each try: a place on a connection, or an end.
type acquired struct {
	conn   *conn
	at     time.Duration
	wait   time.Duration
	repeat bool
	end    retry.Result
	after  time.Duration
	cause  error
}

// acquire waits for a place for the next try of a call, and begins the try.
func (c *Client) acquire(ctx context.Context, r *retry.Request, deadline time.Duration, avoid *balance.Proxy) (a acquired) {
	finish := func(o retry.Outcome, after time.Duration, cause error) acquired {
		v := r.GiveUp(o, after)
		return acquired{end: v.Result, after: v.RetryAfter, cause: cause}
	}
	paced := false
	for {
		c.mu.Lock()
		now := c.options.clock()
		switch {
		case c.closed:
			c.mu.Unlock()
			return finish(retry.NotSent, 0, ErrClosed)
		case ctx.Err() != nil:
			c.mu.Unlock()
			return finish(retry.NotSent, 0, ctx.Err())
		case !r.CanSend(now):
			c.mu.Unlock()
			return finish(retry.NotSent, 0, context.DeadlineExceeded)
		}
		if !paced && !c.pace.Allow(now.Monotonic, c.rng) {
			c.counts.withheld.Add(1)
			after := time.Duration(c.rng.Int64N(int64(withheldTime))) + withheldTime/2
			c.mu.Unlock()
			return finish(retry.Rejected, after, nil)
		}
		paced = true
		choice := c.balancer.Choose(now.Monotonic, avoid)
		switch choice.Kind {
		case balance.Send:
			if k := c.place(choice.Proxy, now.Monotonic); k != nil {
				wait, _ := r.StartAttempt(now, c.budget)
				k.open++
				k.live++
				c.open++
				c.balancer.RequestSent(choice.Proxy)
				c.counts.tries.Add(1)
				if r.Attempts() > 1 {
					c.counts.retries.Add(1)
				}
				c.mu.Unlock()
				return acquired{conn: k, at: now.Monotonic, wait: wait, repeat: r.Attempts() > 1}
			}
		case balance.Dial:
			c.dial(choice.Proxy)
		case balance.AllRejecting:
			c.counts.withheld.Add(1)
			c.mu.Unlock()
			return finish(retry.Rejected, max(choice.RetryAt-now.Monotonic, time.Millisecond), nil)
		}
		until := deadline
		if choice.Kind == balance.Wait {
			// Where nothing is there or on its way, what comes too late is known now.
			if choice.RetryAt >= deadline && len(c.conns) == 0 && !c.balancer.IsDialing() {
				c.mu.Unlock()
				return finish(retry.NotSent, 0, nil)
			}
			until = min(until, choice.RetryAt)
		}
		if c.waiters.Len() >= c.options.MaxWaiting {
			c.mu.Unlock()
			return finish(retry.Rejected, 0, errors.New("too many calls wait"))
		}
		w := waits.Get().(*wait)
		place := c.waiters.PushBack(w)
		c.mu.Unlock()
		w.timer.Reset(max(until-now.Monotonic, 0))
		roused := false
		select {
		case <-w.changed:
			roused = true
		case <-w.timer.C:
		case <-ctx.Done():
		}
		w.timer.Stop()
		if !roused {
			c.mu.Lock()
			select {
			case <-w.changed: // roused after all: not this call's to keep if it ends now
				if ctx.Err() != nil {
					c.rouse(1)
				}
			default:
				c.waiters.Remove(place)
			}
			c.mu.Unlock()
		}
		waits.Put(w)
	}
}

// wait is one wait for a place or for an answer.
type wait struct {
	changed chan struct{} // holds one, and is sent to once
	timer   *time.Timer   // stopped
}

var waits = sync.Pool{New: func() any {
	w := &wait{changed: make(chan struct{}, 1), timer: time.NewTimer(time.Hour)}
	w.timer.Stop()
	return w
}}

// withheldTime is about when to come again for a call that is refused as the proxies refuse.
const withheldTime = 500 * time.Millisecond

// place returns the connection to a proxy with the fewest requests, and opens one more where all have some. It
// returns nil if there is none with room. c.mu is held.
func (c *Client) place(p *balance.Proxy, now time.Duration) (best *conn) {
	for _, k := range c.conns[p] {
		if !k.ending && k.open < 2*c.options.Depth && (best == nil || k.open < best.open) {
			best = k
		}
	}
	if (best == nil || best.open >= growAt) && c.balancer.CanDial(p, now) {
		c.dial(p)
	}
	return best
}

// growAt is how many requests there are on each connection before one more is opened: answers
// come in the order of the requests, so a slow one holds up those behind it.
const growAt = 2

// release is told how a try ended, and tells what follows.
func (c *Client) release(k *conn, r *retry.Request, a *reply, now retry.Timestamp) (v retry.Decision, closed bool) {
	c.mu.Lock()
	c.open--
	if k.live--; k.live == 0 {
		k.idle = now.Monotonic
	}
	if !a.away {
		k.open--
	}
	c.balancer.RequestEnded(k.proxy, now.Monotonic, balanceOutcome(a.outcome), a.advice)
	c.pace.RecordOutcome(now.Monotonic, a.outcome)
	if a.outcome == retry.TimedOut {
		c.endLocked(k)
	}
	over := k.ending && k.open == 0
	c.rouse(1)
	repeat := r.Attempts() > 1
	v = r.AttemptEnded(now, a.outcome, a.advice, c.budget, c.rng)
	if a.outcome == retry.NotSent {
		c.counts.tries.Add(-1)
		if repeat {
			c.counts.retries.Add(-1)
		}
	}
	closed = c.closed
	c.mu.Unlock()
	if over {
		k.fail(errDropped)
	}
	return v, closed
}

// balanceOutcome is what an attempt's outcome says of its proxy.
func balanceOutcome(o retry.Outcome) balance.Outcome {
	switch o {
	case retry.TimedOut, retry.ConnectionLost, retry.MalformedAnswer:
		return balance.Failed
	case retry.Rejected:
		return balance.Rejected
	}
	return balance.Answered
}

// try makes one try on a connection, and returns how it ended.
func (c *Client) try(ctx context.Context, k *conn, wire *request.Request, sent, wait time.Duration, info *TryInfo) (a reply) {
	t := tries.Get().(*try)
	t.state.Store(tryOut)
	t.read, t.wait, t.info = wire.Verb == request.Get, wait, info
	t.value, t.receipt, t.cause, t.advice = nil, "", nil, 0
	t.serial = c.serial.Add(1)
	t.sent = sent
	if info != nil {
		info.ID = string(appendID(nil, c.base, t.serial))
		info.ConnReused = k.answers.Load() > 0
		if start := c.options.Trace.TryStart; start != nil {
			start(*info)
		}
	}
	lead, ok := k.send(t, wire)
	switch {
	case !ok:
		a.outcome = retry.NotSent
	case lead:
		a = k.lead(ctx, t)
	default:
		a = c.await(ctx, t)
	}
	if a.away {
		return a
	}
	t.value, t.cause, t.info = nil, nil, nil
	tries.Put(t)
	return a
}

// await waits for the outcome of a try whose answer another reads.
func (c *Client) await(ctx context.Context, t *try) (a reply) {
	w := waits.Get().(*wait)
	w.timer.Reset(t.wait)
	defer func() {
		w.timer.Stop()
		waits.Put(w)
	}()
	select {
	case <-t.done:
		return t.reply()
	case <-w.timer.C:
		a = reply{outcome: retry.TimedOut, cause: context.DeadlineExceeded}
	case <-ctx.Done():
		a = gone(ctx)
	}
	if a.away = t.state.CompareAndSwap(tryOut, tryAbandoned); !a.away {
		<-t.done // the outcome came at the same moment
		return t.reply()
	}
	return a
}

// Do carries out a call.
func (c *Client) Do(ctx context.Context, r Request) (Answer, error) {
	op := "get"
	if r.Set {
		op = "set"
	}
	begun := c.options.clock()
	wire, class, err := c.wire(&r)
	c.active.Add(1)
	if c.draining.Load() || c.ctx.Err() != nil {
		c.leave()
		return Answer{}, &Error{Kind: ErrClosed, Op: op, Key: r.Key}
	}
	c.counts.calls.Add(1)
	if err != nil {
		return Answer{}, c.over(op, r.Key, &Error{Kind: ErrInvalid, Op: op, Key: r.Key, Cause: err}, begun, 0)
	}
	deadline := begun.Monotonic + class.Wait
	if d, ok := ctx.Deadline(); ok {
		deadline = min(deadline, begun.Monotonic+time.Until(d))
	}
	aim := time.Duration(0)
	if class.LatencyObjective > 0 {
		aim = begun.Monotonic + class.LatencyObjective
	}
	course := retry.NewRequest(c.rules, class.Effect, aim, deadline)
	var avoid *balance.Proxy
	for {
		got := c.acquire(ctx, &course, deadline, avoid)
		if got.conn == nil {
			return Answer{Tries: course.Attempts()}, c.over(op, r.Key, c.error(op, &r, &wire, &course, got.end, got.after, got.cause), begun, course.Attempts())
		}
		wire.Retry = got.repeat
		var info *TryInfo
		if trace := &c.options.Trace; trace.TryStart != nil || trace.TryDone != nil || trace.LateAnswer != nil {
			info = &TryInfo{Op: op, Key: r.Key, Proxy: got.conn.proxy.Address, Repeat: got.repeat, Wait: told(got.wait)}
		}
		a := c.try(ctx, got.conn, &wire, got.at, got.wait, info)
		now := c.options.clock()
		if done := c.options.Trace.TryDone; done != nil {
			told := *info
			told.Took, told.Outcome, told.RetryAfter = now.Monotonic-got.at, names[a.outcome], a.advice
			done(told)
		}
		verdict, closed := c.release(got.conn, &course, &a, now)
		if verdict.Result == retry.ResultServed {
			err := error(nil)
			if a.outcome == retry.NotFound {
				err = &Error{Kind: ErrMiss, Op: op, Key: r.Key, Tries: course.Attempts()}
			}
			return Answer{Value: a.value, Receipt: a.receipt, Tries: course.Attempts()}, c.over(op, r.Key, err, begun, course.Attempts())
		}
		if closed {
			a.cause = ErrClosed
			if verdict.Result = retry.ResultNotSent; course.MayHaveRun() && class.Effect != Safe {
				verdict.Result = retry.ResultUnknown
			}
		}
		if verdict.Result != retry.ResultPending {
			return Answer{Tries: course.Attempts()}, c.over(op, r.Key, c.error(op, &r, &wire, &course, verdict.Result, verdict.RetryAfter, a.cause), begun, course.Attempts())
		}
		avoid = got.conn.proxy
		if verdict.Backoff > 0 {
			timer := time.NewTimer(verdict.Backoff)
			select {
			case <-timer.C:
			case <-ctx.Done(): // seen by acquire
			case <-c.ctx.Done():
			}
			timer.Stop()
		}
	}
}

// wire checks a request, and returns it as it goes out.
func (c *Client) wire(r *Request) (w request.Request, class Class, err error) {
	class = r.Class
	if class == (Class{}) {
		if class = c.options.Read; r.Set {
			class = c.options.Write
		}
	} else if err := class.check(); err != nil {
		return w, class, err
	}
	w = request.Request{Key: r.Key, Class: class.Name, Tenant: r.Tenant}
	if w.Tenant == "" {
		w.Tenant = c.options.Tenant
	} else if !meta.ValidName(w.Tenant) {
		return w, class, fmt.Errorf("tenant cannot be %q", w.Tenant)
	}
	if !meta.ValidKey(r.Key) {
		return w, class, fmt.Errorf("key cannot be %q: want 1 to %d bytes without spaces and control characters", r.Key, meta.MaxKey)
	}
	if !r.Set {
		if r.Value != nil || r.Idempotency != "" {
			return w, class, errors.New("a read has no value and no idempotency key")
		}
		return w, class, nil
	}
	w.Verb, w.Value = request.Set, r.Value
	if len(r.Value) > meta.MaxValue {
		return w, class, fmt.Errorf("value of %d bytes: want at most %d", len(r.Value), meta.MaxValue)
	}
	switch {
	case class.Effect != Keyed && r.Idempotency != "":
		return w, class, fmt.Errorf("class %s is not keyed", class.Name)
	case class.Effect == Keyed && r.Idempotency == "":
		var key [16]byte
		if _, err := crand.Read(key[:]); err != nil {
			return w, class, err
		}
		r.Idempotency = fmt.Sprintf("%x", key)
	case class.Effect == Keyed && !meta.ValidName(r.Idempotency):
		return w, class, fmt.Errorf("idempotency key cannot be %q", r.Idempotency)
	}
	w.IdempotencyKey = r.Idempotency
	return w, class, nil
}

// error words the end of a call that was not served.
func (c *Client) error(op string, r *Request, w *request.Request, course *retry.Request, end retry.Result, after time.Duration, cause error) error {
	e := &Error{Op: op, Key: r.Key, Tries: course.Attempts(), RetryAfter: after, Idempotency: w.IdempotencyKey, Cause: cause}
	switch end {
	case retry.ResultRejected:
		e.Kind = ErrRefused
	case retry.ResultFailed:
		e.Kind = ErrFailed
	case retry.ResultDeadlineExceeded:
		e.Kind, e.Cause = ErrDeadline, context.DeadlineExceeded
	case retry.ResultUnknown:
		e.Kind = ErrUnknown
		e.Settled = time.Now().Add(max(course.SettledAt()-c.options.clock().Monotonic, 0))
	case retry.ResultInvalid:
		e.Kind = ErrInvalid
	case retry.ResultCanceled:
		e.Kind = cause
	default:
		switch {
		case errors.Is(cause, ErrClosed):
			e.Kind, e.Cause = ErrClosed, nil
		case errors.Is(cause, context.Canceled):
			e.Kind, e.Cause = context.Canceled, nil
		case errors.Is(cause, context.DeadlineExceeded) && course.Attempts() > 0:
			e.Kind = ErrDeadline
		default:
			e.Kind = ErrUnavailable
		}
	}
	return e
}

// over counts the end of a call, and tells of it.
func (c *Client) over(op, key string, err error, begun retry.Timestamp, tries int) error {
	var e *Error
	if err != nil {
		errors.As(err, &e)
	}
	c.counts.of(e).Add(1)
	if done := c.options.Trace.CallDone; done != nil {
		done(CallInfo{Op: op, Key: key, Tries: tries, Took: c.options.clock().Monotonic - begun.Monotonic, Err: err})
	}
	c.leave()
	return err
}

// of returns the count for a call that ended so, nil for served.
func (n *counts) of(e *Error) *atomic.Int64 {
	switch {
	case e == nil:
		return &n.served
	case e.Kind == ErrMiss:
		return &n.missing
	case e.Kind == ErrRefused:
		return &n.refused
	case e.Kind == ErrDeadline:
		return &n.deadline
	case e.Kind == ErrUnknown:
		return &n.unknown
	case e.Kind == ErrUnavailable:
		return &n.unavailable
	case e.Kind == ErrInvalid:
		return &n.invalid
	case e.Kind == ErrClosed:
		return &n.closed
	}
	return &n.failed
}

// over counts the calls that have ended.
func (s *Stats) over() int64 {
	return s.Served + s.Missing + s.Refused + s.Failed + s.Deadline + s.Unknown + s.Unavailable + s.Invalid + s.Closed
}

// leave is told that a call is over.
func (c *Client) leave() {
	if c.active.Add(-1) == 0 && c.draining.Load() {
		select {
		case c.drained <- struct{}{}:
		default:
		}
	}
}
