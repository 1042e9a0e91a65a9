package core

import (
	"cmp"
	"context"
	"slices"
	"time"

	"mulleinpier/internal/membership"
	"mulleinpier/policy"
)

const (
	// timerResolution is the shortest wait for the next timer: timers that become due within it are handled
	// together, as waking up for each would cost more than handling it.
	timerResolution = 2 * time.Millisecond
	// noTimerWait is the wait if no timer is set; setting one ends the wait.
	noTimerWait = time.Hour
	// minTimerCleanup is the lowest number of timers at which those of ended requests are removed.
	minTimerCleanup = 1024
)

// timerKind is the purpose of a timer.
type timerKind uint8

const (
	policyTimer     timerKind = iota // requested by the decision module; id is its token
	requestTimer                     // deadline of the request with number id
	attemptTimer                     // deadline of one attempt of the request with number id
	membershipTimer                  // requested by package membership
	clockTimer                       // a check of the clocks for package pause
)

// timer is a task that is due at the time at.
type timer struct {
	at      time.Duration // by Core.policyTime
	id      uint64
	attempt int32 // number of the attempt of an attemptTimer
	kind    timerKind
}

// setTimer adds a timer. c.mu is held.
func (c *Core) setTimer(t timer) {
	if len(c.timers) >= max(c.timerCleanupAt, minTimerCleanup) {
		c.removeUnneededTimers()
	}
	if c.timers.push(t) {
		signal(c.timerSet)
	}
}

// removeUnneededTimers removes the timers of requests that have ended. Otherwise a client whose requests end at once
// would fill the memory with timers, each of which lasts until the deadline of its request. It runs again when there
// are twice as many timers as it has left, so its cost for each timer is constant. c.mu is held.
func (c *Core) removeUnneededTimers() {
	needed := make(timers, 0, len(c.timers)/2+1)
	for _, t := range c.timers {
		if id, ok := t.requestID(); !ok || c.requests[id] != nil {
			needed = append(needed, t)
		}
	}
	slices.SortFunc(needed, func(a, b timer) int { return cmp.Compare(a.at, b.at) }) // a sorted slice is a heap
	c.timers = needed
	c.timerCleanupAt = 2 * len(needed)
}

// requestID returns the id of the request that a timer is for. ok is false if it is for none.
func (t *timer) requestID() (id uint64, ok bool) {
	switch t.kind {
	case policyTimer:
		return policy.TimerRequest(t.id)
	case requestTimer, attemptTimer:
		return t.id, true
	}
	return 0, false
}

// runTimers fires timers as they are due, until ctx ends.
func (c *Core) runTimers(ctx context.Context) {
	alarm := time.NewTimer(noTimerWait)
	defer alarm.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-c.timerSet:
		case <-alarm.C:
		}
		alarm.Reset(max(c.fireTimers(), timerResolution))
	}
}

// fireTimers handles the timers that are due, and returns the time until the next.
func (c *Core) fireTimers() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.observeClocks()
	now := c.policyTime()
	for len(c.timers) > 0 {
		if wait := c.timers[0].at - now; wait > 0 {
			return wait
		}
		t := c.timers.pop()
		if t.at > c.resumedAt() { // a timer from before a pause is late because of the pause, not because of load
			c.overload.timerLag = max(c.overload.timerLag, now-t.at)
		}
		c.fire(t)
	}
	return noTimerWait
}

// fire handles one timer that is due. c.mu is held.
func (c *Core) fire(t timer) {
	switch t.kind {
	case policyTimer:
		c.handle(policy.TimerFired{Token: t.id})
	case membershipTimer:
		c.handleMembership(membership.TimerFired{})
	case requestTimer:
		if req := c.requests[t.id]; req != nil {
			for i := 0; i < len(req.attempts); i++ { // cancelling an attempt may dispatch another one
				c.cancelAttempt(req, req.attempts[i], policy.TimedOut)
			}
		}
	case attemptTimer:
		if req := c.requests[t.id]; req != nil {
			c.cancelAttempt(req, req.attempts[t.attempt], policy.TimedOut)
		}
	case clockTimer: // fireTimers has observed the clocks
	}
}

// timers is a binary heap with the earliest timer first. container/heap would allocate for each timer.
type timers []timer

// push adds a timer, and reports whether it is the earliest.
func (h *timers) push(t timer) bool {
	heap := append(*h, t)
	i := len(heap) - 1
	for i > 0 {
		parent := (i - 1) / 2
		if heap[i].at >= heap[parent].at {
			break
		}
		heap[i], heap[parent] = heap[parent], heap[i]
		i = parent
	}
	*h = heap
	return i == 0
}

// pop removes and returns the earliest timer.
func (h *timers) pop() timer {
	heap := *h
	earliest, last := heap[0], len(heap)-1
	heap[0] = heap[last]
	heap = heap[:last]
	for i := 0; ; {
		smallest := i
		for child := 2*i + 1; child <= 2*i+2 && child < last; child++ {
			if heap[child].at < heap[smallest].at {
				smallest = child
			}
		}
		if smallest == i {
			break
		}
		heap[i], heap[smallest] = heap[smallest], heap[i]
		i = smallest
	}
	*h = heap
	return earliest
}
