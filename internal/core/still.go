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

// pauseState is what the core knows of stops. It is guarded by Core.mu, but for the atomics.
type pauseState struct {
	detector       *pause.Detector
	actions        []pause.Action
	totalSleep     time.Duration                  // as ahead said last
	readTotalSleep func() time.Duration           // how far the clock that counts sleep is ahead; nil where it is not asked
	sleepOffset    atomic.Int64                   // of the machine so far: time that the monotonic clock has not counted
	lastCheck      atomic.Int64                   // when somebody looked last, by the monotonic clock
	lastPause      atomic.Pointer[pause.Interval] // the latest, nil for none
	deferred       []*attempt                     // sends that are held
	owners         []*InFlightRequest             // of each
	resumed        chan struct{}
	refresh        chan struct{} // the lists are to be asked for
	pauses         int
	pausedTotal    time.Duration // in all
	rejectedByAge  int           // requests refused for their age
	writtenLate    int           // writes that a stop fell into
	stalls         pause.StallTracker
	lastStall      atomic.Pointer[pause.Interval] // the latest pause, nil for none
	stallCount     int                            // pauses so far
	stalledTotal   time.Duration                  // in all
	processorTime  time.Duration                  // processor time at the latest tick
	lastStallLog   time.Duration                  // when a pause was last logged
	unloggedStalls int                            // pauses since
}

func (s *pauseState) init(ahead func() time.Duration) {
	s.readTotalSleep, s.refresh = ahead, make(chan struct{}, 1)
	s.resumed = make(chan struct{})
	close(s.resumed)
	if ahead != nil {
		s.totalSleep = ahead()
	}
	s.detector = pause.New(pause.DefaultLimits, pause.ClockReading{TotalSleep: s.totalSleep})
}

// monotonic is the clock of stops: the time since the core's start, by the monotonic clock.
func (c *Core) monotonic() time.Duration { return time.Since(c.startedAt) }

// Now returns the time by the core's clock, as [Core.EstimateArrival] takes it, and looks whether the process
// stood still. It costs a look at the clock; only who finds a stop takes the lock.
func (c *Core) Now() time.Duration {
	now := c.monotonic()
	if last := c.pause.lastCheck.Load(); c.pause.detector != nil && now-time.Duration(last) >= pause.MinStall {
		c.mu.Lock()
		c.observeClocks()
		c.mu.Unlock()
	}
	return now
}

// WallTime says a time by the core's clock as others have it.
func (c *Core) WallTime(t time.Duration) time.Time { return c.startedAt.Add(t) }

// CheckClocks is to be called every pause.DefaultLimits.Tick.
func (c *Core) CheckClocks() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.observeSleep()
	c.pause.processorTime = processorTime()
}

// observeClocks tells the module what the clocks say. c.mu is held. It may end attempts, so it comes
// before its caller looks at any.
func (c *Core) observeClocks() {
	now := c.monotonic()
	last := time.Duration(c.pause.lastCheck.Swap(int64(now)))
	if last > 0 && c.pause.stalls.Observe(last, now) {
		c.recordStall(c.pause.stalls.Latest())
	}
	c.handlePause(now, pause.ClockChecked{TotalSleep: c.pause.totalSleep})
}

// recordStall keeps a pause in view of connections' readers, and logs it. c.mu is held.
func (c *Core) recordStall(pause pause.Interval) {
	s := &c.pause
	s.lastStall.Store(&pause)
	s.stallCount++
	s.stalledTotal += pause.Duration()
	if s.unloggedStalls++; pause.End-s.lastStallLog < time.Second {
		return
	}
	c.recorder.Warn(eventlog.ProcessStalled{Duration: pause.Duration(), CPUTime: processorTime() - s.processorTime, Count: s.unloggedStalls, InFlight: len(c.requests)})
	s.lastStallLog, s.unloggedStalls = pause.End, 0
}

// LastStall returns the latest pause, by the core's clock.
func (c *Core) LastStall() (pause pause.Interval) {
	if known := c.pause.lastStall.Load(); known != nil {
		pause = *known
	}
	return pause
}

// WorstStall returns the longest pause of late.
func (c *Core) WorstStall() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.pause.stalls.Worst(c.monotonic())
}

// observeSleep is seeClocks with the clock that counts the machine's sleep. That costs two system calls: so it is for
// ticks, and for what may change something. c.mu is held.
func (c *Core) observeSleep() {
	if c.pause.readTotalSleep != nil {
		c.pause.totalSleep = max(c.pause.totalSleep, c.pause.readTotalSleep())
	}
	c.observeClocks()
}

// handlePause gives the module an event, and does what it asks. c.mu is held.
func (c *Core) handlePause(now time.Duration, event pause.Event) {
	s := &c.pause
	s.detector.SetHeldSends(len(s.deferred))
	s.actions = s.detector.Handle(now, event, s.actions[:0])
	for _, action := range s.actions {
		switch a := action.(type) {
		case pause.Paused:
			c.beginRecovery(a.Interval)
		case pause.ReleaseSends:
			c.releaseDeferred(a.Max)
		case pause.CheckAgain:
			c.setTimer(timer{at: c.now() + a.After, attempt: clockTimer})
		case pause.Resumed:
			close(s.resumed)
			c.log.Info("at work again", "after", a.After)
		}
	}
}

// beginRecovery keeps a stop out of all that is learnt, and has the lists asked for. c.mu is held.
func (c *Core) beginRecovery(gap pause.Interval) {
	s := &c.pause
	s.lastPause.Store(&gap)
	s.pauses++
	s.pausedTotal += gap.Duration()
	if gap.Slept > 0 { // of clients' time as well
		s.sleepOffset.Add(int64(gap.Slept))
		for _, r := range c.requests {
			r.expiresAt = r.expiresAt.Add(-gap.Slept)
		}
	}
	if isClosed(s.resumed) {
		s.resumed = make(chan struct{})
	}
	c.overload.lastListAt += gap.Duration() // it was not the sources that were silent
	c.handle(policy.ProcessPaused{Duration: gap.Duration()})
	c.log.Warn("stood still", "for", gap.Duration(), "asleep", gap.Slept, "open", len(c.requests))
	signal(s.refresh)
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
	c.observeClocks()
	return c.pause.resumed
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
	if known := c.pause.lastPause.Load(); known != nil {
		gap = *known
	}
	return gap
}

// resumedAt is when the latest stop ended, by the module's clock.
func (c *Core) resumedAt() time.Duration { return c.LastPause().End + c.now() - c.monotonic() }

// decideByAge decides on a request by its age. The deadline is when its answer is due here, which is sooner than
// its client's time is up where this process is held up time and again. c.mu is held.
func (c *Core) decideByAge(in *request.Request, class *policy.Class, wait time.Duration) (deadline time.Duration, refuse bool) {
	now, effect := c.monotonic(), pause.Idempotent
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
	due := v.SendBefore - c.pause.stalls.SafetyMargin(now, wait)
	return due + c.now() - now, v.Reject || now >= due
}

// deferAttempt holds an attempt back, and tells whether it does. c.mu is held.
func (c *Core) deferAttempt(r *InFlightRequest, a *attempt) bool {
	if !c.pause.detector.HoldsSends() {
		return false
	}
	c.pause.deferred, c.pause.owners = append(c.pause.deferred, a), append(c.pause.owners, r)
	a.deferred = true
	return true
}

// releaseDeferred sends the oldest of what is held. What was given up meanwhile has ended. c.mu is held.
func (c *Core) releaseDeferred(most int) {
	s := &c.pause
	for ; most > 0 && len(s.deferred) > 0; most-- {
		a, r := s.deferred[0], s.owners[0]
		s.deferred, s.owners = s.deferred[1:], s.owners[1:]
		if a.deferred = false; a.ended {
			most++
			continue
		}
		if !c.pool.Send(a.nodeName, &a.Attempt) {
			c.endAttempt(r, a, policy.ConnectFailed, nil)
		}
	}
	if len(s.deferred) == 0 {
		s.deferred, s.owners = nil, nil
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
	c.pause.writtenLate += len(batch)
	c.mu.Unlock()
	c.log.Warn("written late", "requests", len(batch), "changing", changing, "by", by)
}

// runListRefresh has the lists told anew after each stop, until ctx ends: what was told meanwhile counts as
// known to this proxy, and may wait unread.
func (c *Core) runListRefresh(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-c.pause.refresh:
		}
		c.pool.CloseStale()
		c.refreshLists(ctx)
		c.mu.Lock()
		c.handlePause(c.monotonic(), pause.ListsRefreshed{})
		c.mu.Unlock()
	}
}

// refreshLists asks all sources of the list at once, and waits no longer than sends are held.
func (c *Core) refreshLists(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, pause.DefaultLimits.MaxHold)
	defer cancel()
	c.mu.Lock()
	places := c.listSources
	c.mu.Unlock()
	call := c.newListCall()
	var tasks sync.WaitGroup
	defer tasks.Wait()
	for i, p := range places {
		source := call.source
		if c.reconcileLists {
			source = p.Open()
		} else if i > 0 {
			break
		}
		tasks.Go(func() {
			l, err := source.Fetch(ctx)
			switch {
			case err != nil:
				c.log.Warn("no list after standing still", "source", p.String(), "error", err)
			case c.reconcileLists:
				c.mu.Lock()
				c.handleMembership(membership.ListReceived{Source: p.String(), Complete: true, Nodes: l.Nodes()})
				c.mu.Unlock()
			default:
				c.applyList(call, l, policy.EndpointsFull)
			}
		})
	}
}

// attrs are what a line of counts says of stops. Core.mu is held.
func (s *pauseState) attrs() []slog.Attr {
	return []slog.Attr{slog.Int("stops", s.pauses), slog.Duration("stood", s.pausedTotal), slog.Int("aged", s.rejectedByAge), slog.Int("written_late", s.writtenLate),
		slog.Int("pauses", s.stallCount), slog.Duration("paused", s.stalledTotal)}
}
