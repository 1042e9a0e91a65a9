package core

import (
	"context"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"mulleinpier/internal/eventlog"
	"mulleinpier/internal/membership"
	"mulleinpier/internal/pause"
	"mulleinpier/internal/request"
	"mulleinpier/internal/upstream"
	"mulleinpier/policy"
)

// This file has package still look at the clocks wherever something is decided, and does what
// follows from a stop of the process.

// stillness is what the core knows of stops. It is guarded by Core.mu, but for the atomics.
type stillness struct {
	module  *pause.Detector
	actions []pause.Action
	slept   time.Duration                  // as ahead said last
	ahead   func() time.Duration           // how far the clock that counts sleep is ahead; nil where it is not asked
	asleep  atomic.Int64                   // of the machine so far: time that the monotonic clock has not counted
	looked  atomic.Int64                   // when somebody looked last, by the monotonic clock
	gap     atomic.Pointer[pause.Interval] // the latest, nil for none
	parked  []*attempt                     // sends that are held
	owners  []*InFlightRequest             // of each
	awake   chan struct{}
	ask     chan struct{} // the lists are to be asked for
	stops   int
	stood   time.Duration // in all
	aged    int           // requests refused for their age
	late    int           // writes that a stop fell into
	pauses  pause.StallTracker
	pause   atomic.Pointer[pause.Interval] // the latest pause, nil for none
	pauseN  int                            // pauses so far
	paused  time.Duration                  // in all
	used    time.Duration                  // processor time at the latest tick
	warned  time.Duration                  // when a pause was last logged
	hushed  int                            // pauses since
}

func (s *stillness) init(ahead func() time.Duration) {
	s.ahead, s.ask = ahead, make(chan struct{}, 1)
	s.awake = make(chan struct{})
	close(s.awake)
	if ahead != nil {
		s.slept = ahead()
	}
	s.module = pause.New(pause.DefaultLimits, pause.ClockReading{TotalSleep: s.slept})
}

// mono is the clock of stops: the time since the core's start, by the monotonic clock.
func (c *Core) mono() time.Duration { return time.Since(c.start) }

// Now returns the time by the core's clock, as [Core.EstimateArrival] takes it, and looks whether the process
// stood still. It costs a look at the clock; only who finds a stop takes the lock.
func (c *Core) Now() time.Duration {
	now := c.mono()
	if last := c.still.looked.Load(); c.still.module != nil && now-time.Duration(last) >= pause.MinStall {
		c.mu.Lock()
		c.seeClocks()
		c.mu.Unlock()
	}
	return now
}

// WallTime says a time by the core's clock as others have it.
func (c *Core) WallTime(t time.Duration) time.Time { return c.start.Add(t) }

// CheckClocks is to be called every pause.DefaultLimits.Tick.
func (c *Core) CheckClocks() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.seeSleep()
	c.still.used = processorTime()
}

// seeClocks tells the module what the clocks say. c.mu is held. It may end attempts, so it comes
// before its caller looks at any.
func (c *Core) seeClocks() {
	now := c.mono()
	last := time.Duration(c.still.looked.Swap(int64(now)))
	if last > 0 && c.still.pauses.Observe(last, now) {
		c.notePause(c.still.pauses.Latest())
	}
	c.stands(now, pause.ClockChecked{TotalSleep: c.still.slept})
}

// notePause keeps a pause in view of connections' readers, and logs it. c.mu is held.
func (c *Core) notePause(pause pause.Interval) {
	s := &c.still
	s.pause.Store(&pause)
	s.pauseN++
	s.paused += pause.Duration()
	if s.hushed++; pause.End-s.warned < time.Second {
		return
	}
	c.record.Warn(eventlog.ProcessStalled{Duration: pause.Duration(), CPUTime: processorTime() - s.used, Count: s.hushed, InFlight: len(c.requests)})
	s.warned, s.hushed = pause.End, 0
}

// LastStall returns the latest pause, by the core's clock.
func (c *Core) LastStall() (pause pause.Interval) {
	if known := c.still.pause.Load(); known != nil {
		pause = *known
	}
	return pause
}

// WorstStall returns the longest pause of late.
func (c *Core) WorstStall() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.still.pauses.Worst(c.mono())
}

// seeSleep is seeClocks with the clock that counts the machine's sleep. That costs two system calls: so it is for
// ticks, and for what may change something. c.mu is held.
func (c *Core) seeSleep() {
	if c.still.ahead != nil {
		c.still.slept = max(c.still.slept, c.still.ahead())
	}
	c.seeClocks()
}

// stands gives the module an event, and does what it asks. c.mu is held.
func (c *Core) stands(now time.Duration, event pause.Event) {
	s := &c.still
	s.module.SetHeldSends(len(s.parked))
	s.actions = s.module.Handle(now, event, s.actions[:0])
	for _, action := range s.actions {
		switch a := action.(type) {
		case pause.Paused:
			c.wakeUp(a.Interval)
		case pause.ReleaseSends:
			c.release(a.Max)
		case pause.CheckAgain:
			c.setTimer(timer{at: c.now() + a.After, attempt: stillTimer})
		case pause.Resumed:
			close(s.awake)
			c.log.Info("at work again", "after", a.After)
		}
	}
}

// wakeUp keeps a stop out of all that is learnt, and has the lists asked for. c.mu is held.
func (c *Core) wakeUp(gap pause.Interval) {
	s := &c.still
	s.gap.Store(&gap)
	s.stops++
	s.stood += gap.Duration()
	if gap.Slept > 0 { // of clients' time as well
		s.asleep.Add(int64(gap.Slept))
		for _, r := range c.requests {
			r.expires = r.expires.Add(-gap.Slept)
		}
	}
	if isClosed(s.awake) {
		s.awake = make(chan struct{})
	}
	c.levels.told += gap.Duration() // it was not the sources that were silent
	c.handle(policy.ProcessPaused{Duration: gap.Duration()})
	c.log.Warn("stood still", "for", gap.Duration(), "asleep", gap.Slept, "open", len(c.requests))
	post(s.ask)
}

func isClosed(c <-chan struct{}) bool {
	select {
	case <-c:
		return true
	default:
		return false
	}
}

// Resumed is closed while no stop holds what is sent.
func (c *Core) Resumed() <-chan struct{} {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.seeClocks()
	return c.still.awake
}

// EstimateArrival is when what was read may have come. Kernel is asked only where a stop makes a difference.
func (c *Core) EstimateArrival(r pause.ReadTiming, kernel func() pause.KernelInfo) pause.Arrival {
	gap := c.LastPause()
	k := pause.KernelInfo{}
	if gap.End > 0 && r.DrainedAt < gap.End {
		k = kernel()
	}
	age := pause.EstimateArrival(r, gap, k)
	if since, delayed := pause.DelayedByStall(r, c.LastStall()); delayed {
		age.Earliest, age.Latest = min(age.Earliest, since), min(age.Latest, since)
	}
	return age
}

// LastPause returns the latest stop, by the core's clock.
func (c *Core) LastPause() (gap pause.Interval) {
	if known := c.still.gap.Load(); known != nil {
		gap = *known
	}
	return gap
}

// wokenAt is when the latest stop ended, by the module's clock.
func (c *Core) wokenAt() time.Duration { return c.LastPause().End + c.now() - c.mono() }

// judge decides on a request by its age. The deadline is when its answer is due here, which is sooner than
// its client's time is up where this process is held up time and again. c.mu is held.
func (c *Core) judge(in *request.Request, class *policy.Class, wait time.Duration) (deadline time.Duration, refuse bool) {
	now, effect := c.mono(), pause.Idempotent
	switch class.Idempotency {
	case policy.IdempotentWithKey:
		effect = pause.IdempotentWithKey
	case policy.NotIdempotent:
		effect = pause.NotIdempotent
	}
	age := in.Arrival
	if age == (pause.Arrival{}) {
		age = pause.Arrival{Earliest: now, Latest: now}
	}
	v := pause.DecideByAge(now, effect, wait, class.DedupWindow, age)
	due := v.SendBefore - c.still.pauses.SafetyMargin(now, wait)
	return due + c.now() - now, v.Reject || now >= due
}

// park holds an attempt back, and tells whether it does. c.mu is held.
func (c *Core) park(r *InFlightRequest, a *attempt) bool {
	if !c.still.module.HoldsSends() {
		return false
	}
	c.still.parked, c.still.owners = append(c.still.parked, a), append(c.still.owners, r)
	a.parked = true
	return true
}

// release sends the oldest of what is held. What was given up meanwhile has ended. c.mu is held.
func (c *Core) release(most int) {
	s := &c.still
	for ; most > 0 && len(s.parked) > 0; most-- {
		a, r := s.parked[0], s.owners[0]
		s.parked, s.owners = s.parked[1:], s.owners[1:]
		if a.parked = false; a.ended {
			most++
			continue
		}
		if !c.nodes.Send(a.server, &a.Attempt) {
			c.end(r, a, policy.ConnectFailed, nil)
		}
	}
	if len(s.parked) == 0 {
		s.parked, s.owners = nil, nil
	}
}

// WrittenLate implements upstream.Handler: what allowed these writes may not have held any more.
func (c *Core) WrittenLate(batch []*upstream.Attempt, by time.Duration) {
	c.mu.Lock()
	changing := 0
	for _, u := range batch {
		if u.Request.SideEffects {
			changing++
		}
	}
	c.still.late += len(batch)
	c.mu.Unlock()
	c.log.Warn("written late", "requests", len(batch), "changing", changing, "by", by)
}

// reask has the lists told anew after each stop, until ctx ends: what was told meanwhile counts as
// known to this proxy, and may wait unread.
func (c *Core) reask(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-c.still.ask:
		}
		c.nodes.CloseStale()
		c.askAll(ctx)
		c.mu.Lock()
		c.stands(c.mono(), pause.ListsRefreshed{})
		c.mu.Unlock()
	}
}

// askAll asks all sources of the list at once, and waits no longer than sends are held.
func (c *Core) askAll(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, pause.DefaultLimits.MaxHold)
	defer cancel()
	c.mu.Lock()
	places := c.places
	c.mu.Unlock()
	call := c.place()
	var tasks sync.WaitGroup
	defer tasks.Wait()
	for i, p := range places {
		source := call.source
		if c.infer {
			source = p.Open()
		} else if i > 0 {
			break
		}
		tasks.Go(func() {
			l, err := source.Fetch(ctx)
			switch {
			case err != nil:
				c.log.Warn("no list after standing still", "source", p.String(), "error", err)
			case c.infer:
				c.mu.Lock()
				c.member(membership.ListReceived{Source: p.String(), Complete: true, Nodes: l.Nodes()})
				c.mu.Unlock()
			default:
				c.learn(call, l, policy.EndpointsFull)
			}
		})
	}
}

// attrs are what a line of counts says of stops. Core.mu is held.
func (s *stillness) attrs() []slog.Attr {
	return []slog.Attr{slog.Int("stops", s.stops), slog.Duration("stood", s.stood), slog.Int("aged", s.aged), slog.Int("written_late", s.late),
		slog.Int("pauses", s.pauseN), slog.Duration("paused", s.paused)}
}
