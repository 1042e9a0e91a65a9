package core

import (
	"log/slog"
	"sync/atomic"
	"syscall"
	"time"

	"mulleinpier/internal/eventlog"
	"mulleinpier/internal/pause"
	"mulleinpier/internal/request"
	"mulleinpier/policy"
)

// This file has package pause check the clocks wherever something is decided, and carries out what follows
// from a pause of the process (long enough for decisions to be void after it) or a stall (shorter).

// stallLogInterval is the shortest time between two log lines about stalls.
const stallLogInterval = time.Second

// pauseState is what the core knows of pauses and stalls. It is guarded by Core.mu, except for the atomics.
// Times and intervals are by Core.monotonic.
type pauseState struct {
	detector       *pause.Detector
	actions        []pause.Action       // reused between events
	readTotalSleep func() time.Duration // nil where sleep is not counted
	totalSleep     time.Duration        // of the machine, as readTotalSleep said last
	sleepOffset    atomic.Int64         // nanoseconds of sleep that the monotonic clock has not counted
	lastCheck      atomic.Int64         // nanoseconds; when the clocks were last observed

	lastPause   atomic.Pointer[pause.Interval] // nil for none
	pauses      int
	pausedTotal time.Duration
	deferred    []deferredSend // in the order of their dispatch
	resumed     chan struct{}  // closed while no recovery from a pause is under way
	refresh     chan struct{}  // signals that the endpoint lists are to be fetched
	// listsArriving counts the endpoint lists of which a part has come and that are not in force yet.
	listsArriving atomic.Int32

	lastStall      atomic.Pointer[pause.Interval] // nil for none
	stalls         pause.StallTracker
	stallCount     int
	stalledTotal   time.Duration
	processorTime  time.Duration // that the process had used at the latest periodic check
	lastStallLog   time.Duration // when a stall was last logged
	unloggedStalls int           // since then

	rejectedByAge int // requests
	writtenLate   int // attempts
}

// deferredSend is an attempt that waits for the end of the recovery from a pause.
type deferredSend struct {
	request *InFlightRequest
	attempt *nodeAttempt
}

func (s *pauseState) init(readTotalSleep func() time.Duration) {
	s.readTotalSleep = readTotalSleep
	s.refresh = make(chan struct{}, 1)
	s.resumed = make(chan struct{})
	close(s.resumed)
	if readTotalSleep != nil {
		s.totalSleep = readTotalSleep()
	}
	s.detector = pause.New(pause.DefaultLimits, pause.ClockReading{TotalSleep: s.totalSleep})
}

// Now returns the time by the core's monotonic clock, as [Core.EstimateArrival] takes it, and checks for a
// stall or a pause. Without one it costs a reading of the clock and takes no lock. A Core that New did not
// create, as in tests of connections, has no detector and checks for nothing.
func (c *Core) Now() time.Duration {
	now := c.monotonic()
	lastCheck := time.Duration(c.pause.lastCheck.Load())
	if c.pause.detector != nil && now-lastCheck >= pause.MinStall {
		c.mu.Lock()
		c.observeClocks()
		c.mu.Unlock()
	}
	return now
}

// WallTime converts a time by the core's monotonic clock to the system's.
func (c *Core) WallTime(t time.Duration) time.Time { return c.startedAt.Add(t) }

// CheckClocks is to be called at intervals of pause.DefaultLimits.CheckInterval.
func (c *Core) CheckClocks() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.observeSleep()
	c.pause.processorTime = processorTime()
}

// observeClocks gives package pause a reading of the clocks. It may end attempts, so it is called before
// its caller reads the state of any. c.mu is held.
func (c *Core) observeClocks() {
	now := c.monotonic()
	last := time.Duration(c.pause.lastCheck.Swap(int64(now)))
	if last > 0 && c.pause.stalls.Observe(last, now) {
		c.recordStall(c.pause.stalls.Latest())
	}
	c.handlePauseEvent(now, pause.ClockChecked{TotalSleep: c.pause.totalSleep})
}

// observeSleep is observeClocks with a reading of the clock that counts the machine's sleep. It costs two
// system calls, so it is for periodic checks and for requests with side effects. c.mu is held.
func (c *Core) observeSleep() {
	if c.pause.readTotalSleep != nil {
		c.pause.totalSleep = max(c.pause.totalSleep, c.pause.readTotalSleep())
	}
	c.observeClocks()
}

// recordStall publishes a stall to the readers of connections, and logs it. c.mu is held.
func (c *Core) recordStall(stall pause.Interval) {
	s := &c.pause
	s.lastStall.Store(&stall)
	s.stallCount++
	s.stalledTotal += stall.Duration()
	s.unloggedStalls++
	if stall.End-s.lastStallLog < stallLogInterval {
		return
	}
	c.recorder.Warn(eventlog.ProcessStalled{
		Duration: stall.Duration(),
		CPUTime:  processorTime() - s.processorTime,
		Count:    s.unloggedStalls,
		InFlight: len(c.requests),
	})
	s.lastStallLog, s.unloggedStalls = stall.End, 0
}

// LastStall returns the latest stall by the core's monotonic clock, the zero interval for none.
func (c *Core) LastStall() (stall pause.Interval) {
	if last := c.pause.lastStall.Load(); last != nil {
		stall = *last
	}
	return stall
}

// WorstStall returns the length of the longest recent stall.
func (c *Core) WorstStall() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.pause.stalls.Worst(c.monotonic())
}

// LastPause returns the latest pause by the core's monotonic clock, the zero interval for none.
func (c *Core) LastPause() (interval pause.Interval) {
	if last := c.pause.lastPause.Load(); last != nil {
		interval = *last
	}
	return interval
}

// resumedAt returns when the latest pause ended, by Core.policyTime.
func (c *Core) resumedAt() time.Duration { return c.LastPause().End + c.policyTime() - c.monotonic() }

// Resumed returns a channel that is closed while no recovery from a pause is under way.
func (c *Core) Resumed() <-chan struct{} {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.observeClocks()
	return c.pause.resumed
}

// handlePauseEvent gives package pause an event and carries out the actions that follow. c.mu is held.
func (c *Core) handlePauseEvent(now time.Duration, event pause.Event) {
	s := &c.pause
	s.detector.SetDeferredSends(len(s.deferred))
	s.detector.SetListsArriving(int(s.listsArriving.Load()))
	s.actions = s.detector.Handle(now, event, s.actions[:0])
	for _, action := range s.actions {
		switch action := action.(type) {
		case pause.Paused:
			c.beginRecovery(action.Interval)
		case pause.ReleaseSends:
			c.releaseDeferred(action.Max)
		case pause.CheckAgain:
			c.setTimer(timer{at: c.policyTime() + action.After, kind: clockTimer})
		case pause.Resumed:
			close(s.resumed)
			c.log.Info("process resumed", "duration", action.After)
		}
	}
}

// beginRecovery keeps the time of a pause out of all estimates, and has the endpoint lists fetched. Sleep of
// the machine brings deadlines forward, as clients may not have slept. c.mu is held.
func (c *Core) beginRecovery(interval pause.Interval) {
	s := &c.pause
	s.lastPause.Store(&interval)
	s.pauses++
	s.pausedTotal += interval.Duration()
	if interval.Slept > 0 {
		s.sleepOffset.Add(int64(interval.Slept))
		for _, req := range c.requests {
			req.expiresAt = req.expiresAt.Add(-interval.Slept)
		}
	}
	if isClosed(s.resumed) {
		s.resumed = make(chan struct{})
	}
	c.overload.lastListAt += interval.Duration() // it was this process that was silent, not the sources
	c.handle(policy.ProcessPaused{Duration: interval.Duration()})
	c.log.Warn("process paused", "duration", interval.Duration(), "slept", interval.Slept,
		"in_flight", len(c.requests))
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

// EstimateArrival returns when the bytes of a read may have arrived. It calls kernel only where a pause
// makes a difference, as that costs a system call.
func (c *Core) EstimateArrival(read pause.ReadTiming, kernel func() pause.KernelInfo) pause.Arrival {
	lastPause := c.LastPause()
	info := pause.KernelInfo{}
	if lastPause.End > 0 && read.DrainedAt < lastPause.End {
		info = kernel()
	}
	arrival := pause.EstimateArrival(read, lastPause, info)
	if since, delayed := pause.DelayedByStall(read, c.LastStall()); delayed {
		arrival.Earliest = min(arrival.Earliest, since)
		arrival.Latest = min(arrival.Latest, since)
	}
	return arrival
}

// decideByAge decides whether a request is too old to be accepted, and when its answer is due: earlier than
// its client's deadline where stalls are to be expected. c.mu is held.
func (c *Core) decideByAge(
	in *request.Request, class *policy.Class, timeout time.Duration,
) (deadline time.Duration, tooOld bool) {
	now := c.monotonic()
	arrival := in.Arrival
	if arrival == (pause.Arrival{}) {
		arrival = pause.Arrival{Earliest: now, Latest: now}
	}
	decision := pause.DecideByAge(now, idempotencyOf(class), timeout, class.DedupWindow, arrival)
	due := decision.SendBefore - c.pause.stalls.SafetyMargin(now, timeout)
	return due + c.policyTime() - now, decision.Reject || now >= due
}

// idempotencyOf maps a class's idempotency to the terms of package pause.
func idempotencyOf(class *policy.Class) pause.Idempotency {
	switch class.Idempotency {
	case policy.IdempotentWithKey:
		return pause.IdempotentWithKey
	case policy.NotIdempotent:
		return pause.NotIdempotent
	default:
		return pause.Idempotent
	}
}

// deferAttempt defers an attempt until the recovery from a pause has ended, and reports whether it does.
// c.mu is held.
func (c *Core) deferAttempt(req *InFlightRequest, attempt *nodeAttempt) bool {
	if !c.pause.detector.DefersSends() {
		return false
	}
	c.pause.deferred = append(c.pause.deferred, deferredSend{req, attempt})
	attempt.deferred = true
	return true
}

// releaseDeferred sends the oldest deferred attempts, at most limit. Those that were cancelled meanwhile
// have ended and don't count. c.mu is held.
func (c *Core) releaseDeferred(limit int) {
	s := &c.pause
	for released := 0; released < limit && len(s.deferred) > 0; {
		next := s.deferred[0]
		s.deferred = s.deferred[1:]
		next.attempt.deferred = false
		if next.attempt.ended {
			continue
		}
		released++
		if !c.pool.Send(next.attempt.nodeName, &next.attempt.Attempt) {
			c.endAttempt(next.request, next.attempt, policy.ConnectFailed, nil)
		}
	}
	if len(s.deferred) == 0 {
		s.deferred = nil
	}
}

// logAttributes returns what a line of counts says of pauses and stalls. Core.mu is held.
func (s *pauseState) logAttributes() []slog.Attr {
	return []slog.Attr{
		slog.Int("stops", s.pauses),
		slog.Duration("stood", s.pausedTotal),
		slog.Int("aged", s.rejectedByAge),
		slog.Int("written_late", s.writtenLate),
		slog.Int("pauses", s.stallCount),
		slog.Duration("paused", s.stalledTotal),
	}
}

// processorTime returns the processor time that this process has used, zero where it is not known.
func processorTime() time.Duration {
	var usage syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &usage) != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}
