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

// This file has package pause check the clocks before decisions are made, and handles pauses of the process (after
// which earlier decisions must be checked again) and stalls (which are shorter).

// stallLogInterval is the shortest time between two log lines about stalls.
const stallLogInterval = time.Second

// pauseState is the state of the handling of pauses and stalls. It is guarded by Core.mu, except for the atomics.
// Times and intervals are by Core.monotonic.
type pauseState struct {
	detector       *pause.Detector
	actions        []pause.Action       // reused between events
	readTotalSleep func() time.Duration // nil if sleep is not counted
	totalSleep     time.Duration        // of the machine, as of the latest call of readTotalSleep
	sleepOffset    atomic.Int64         // nanoseconds of sleep that the monotonic clock has not counted
	lastCheck      atomic.Int64         // nanoseconds; when the clocks were last checked

	lastPause   atomic.Pointer[pause.Interval] // nil for none
	pauses      int
	pausedTotal time.Duration
	deferred    []deferredSend // in the order of their dispatch
	resumed     chan struct{}  // closed while no recovery from a pause is under way
	refresh     chan struct{}  // requests a fetch of the endpoint lists
	// listsArriving counts the endpoint lists that have been received in part and are not applied yet.
	listsArriving atomic.Int32

	lastStall      atomic.Pointer[pause.Interval] // nil for none
	stallTracker   pause.StallTracker
	stallCount     int
	stalledTotal   time.Duration
	cpuTime        time.Duration // CPU time used by the process up to the latest periodic check
	lastStallLog   time.Duration // time of the latest log line about stalls
	unloggedStalls int           // stalls since lastStallLog

	rejectedByAge int // requests that were rejected as too old
	writtenLate   int // attempts that were written late
}

// deferredSend is an attempt that is held back during the recovery from a pause.
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
// stall or a pause. If there was none, it only reads the clock and takes no lock. A Core that was not created by
// [New], as in tests of connections, has no detector and does not check.
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

// WallTime converts a time by the core's monotonic clock to wall-clock time.
func (c *Core) WallTime(t time.Duration) time.Time { return c.startedAt.Add(t) }

// CheckClocks checks for a stall, a pause or sleep of the machine. Call it at intervals of
// pause.DefaultLimits.CheckInterval.
func (c *Core) CheckClocks() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.observeSleep()
	c.pause.cpuTime = cpuTime()
}

// observeClocks passes a reading of the clocks to package pause. This may end attempts, so callers call it before
// they read the state of an attempt. c.mu is held.
func (c *Core) observeClocks() {
	now := c.monotonic()
	last := time.Duration(c.pause.lastCheck.Swap(int64(now)))
	if last > 0 && c.pause.stallTracker.Observe(last, now) {
		c.recordStall(c.pause.stallTracker.Latest())
	}
	c.handlePauseEvent(now, pause.ClockChecked{TotalSleep: c.pause.totalSleep})
}

// observeSleep is like observeClocks, but first reads how long the machine has slept. That costs two system calls, so
// it is only for periodic checks and for requests with side effects. c.mu is held.
func (c *Core) observeSleep() {
	if c.pause.readTotalSleep != nil {
		c.pause.totalSleep = max(c.pause.totalSleep, c.pause.readTotalSleep())
	}
	c.observeClocks()
}

// recordStall publishes a stall to the readers of connections, and logs it unless a stall was logged within
// stallLogInterval. c.mu is held.
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
		CPUTime:  cpuTime() - s.cpuTime,
		Count:    s.unloggedStalls,
		InFlight: len(c.requests),
	})
	s.lastStallLog, s.unloggedStalls = stall.End, 0
}

// LastStall returns the latest stall by the core's monotonic clock, or the zero interval if there was none.
func (c *Core) LastStall() (stall pause.Interval) {
	if last := c.pause.lastStall.Load(); last != nil {
		stall = *last
	}
	return stall
}

// WorstStall returns the length of the longest recent stall, zero for none.
func (c *Core) WorstStall() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.pause.stallTracker.Worst(c.monotonic())
}

// LastPause returns the latest pause by the core's monotonic clock, or the zero interval if there was none.
func (c *Core) LastPause() (interval pause.Interval) {
	if last := c.pause.lastPause.Load(); last != nil {
		interval = *last
	}
	return interval
}

// resumedAt returns when the latest pause ended, by Core.policyTime.
func (c *Core) resumedAt() time.Duration { return c.LastPause().End + c.policyTime() - c.monotonic() }

// Resumed returns a channel that is closed if no recovery from a pause is under way, or else when the recovery ends.
func (c *Core) Resumed() <-chan struct{} {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.observeClocks()
	return c.pause.resumed
}

// handlePauseEvent passes an event to package pause and executes the resulting actions. c.mu is held.
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

// beginRecovery excludes the time of a pause from all estimates, and requests a fetch of the endpoint lists. If the
// machine slept, it makes deadlines earlier by that time, as clients may not have slept. c.mu is held.
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
	c.overload.lastListAt += interval.Duration() // this process was paused; the sources were not silent
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

// EstimateArrival returns when the bytes of a read may have arrived. It calls kernel, which costs a system call, only
// if a pause may have delayed the read.
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

// decideByAge decides whether a request is too old to be accepted, and returns its deadline by Core.policyTime. After
// recent stalls the deadline is earlier than the client's by a safety margin. c.mu is held.
func (c *Core) decideByAge(
	in *request.Request, class *policy.Class, timeout time.Duration,
) (deadline time.Duration, tooOld bool) {
	now := c.monotonic()
	arrival := in.Arrival
	if arrival == (pause.Arrival{}) {
		arrival = pause.Arrival{Earliest: now, Latest: now}
	}
	decision := pause.DecideByAge(now, idempotencyOf(class), timeout, class.DedupWindow, arrival)
	due := decision.SendBefore - c.pause.stallTracker.SafetyMargin(now, timeout)
	return due + c.policyTime() - now, decision.Reject || now >= due
}

// idempotencyOf converts a class's idempotency for package pause.
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

// deferAttempt defers an attempt if a recovery from a pause is under way, and reports whether it did. c.mu is held.
func (c *Core) deferAttempt(req *InFlightRequest, attempt *nodeAttempt) bool {
	if !c.pause.detector.DefersSends() {
		return false
	}
	c.pause.deferred = append(c.pause.deferred, deferredSend{req, attempt})
	attempt.deferred = true
	return true
}

// releaseDeferred sends the oldest deferred attempts, at most limit. Attempts that have ended in the meantime are
// dropped and don't count. c.mu is held.
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

// logAttributes returns the counts of pauses and stalls as log attributes. Core.mu is held.
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

// cpuTime returns the CPU time that this process has used, or zero if it is not known.
func cpuTime() time.Duration {
	var usage syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &usage) != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}
