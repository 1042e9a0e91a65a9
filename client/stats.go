package client

import "sync/atomic"

// Stats holds counts since the client was created, and some current values. Failed includes calls whose context was
// cancelled.
type Stats struct {
	Calls, Served, Missing, Refused, Failed, Deadline, Unknown, Unavailable, Invalid, Closed int64

	Tries     int64 // attempts that were sent
	Retries   int64 // attempts except the first of each call
	Throttled int64 // calls that the client rejected itself, because proxies had rejected earlier requests
	Dials     int64
	DialFails int64
	Conns     int // connections that are open now
	InFlight  int // requests on connections now, except abandoned ones
	Waiting   int // calls that wait for a connection now
}

// endedCalls returns the number of calls that have ended.
func (s *Stats) endedCalls() int64 {
	return s.Served + s.Missing + s.Refused + s.Failed + s.Deadline + s.Unknown + s.Unavailable + s.Invalid + s.Closed
}

// Stats returns the counts so far and the current values.
func (c *Client) Stats() Stats {
	s := c.counters.snapshot()
	c.mu.Lock()
	defer c.mu.Unlock()
	s.InFlight = c.inFlight
	s.Waiting = c.waiters.Len()
	for _, list := range c.conns {
		s.Conns += len(list)
	}
	return s
}

// counters holds the counts of [Stats] that are updated without holding Client.mu.
type counters struct {
	calls, served, missing, refused, failed, deadline, unknown, unavailable, invalid, closed atomic.Int64

	tries, retries, throttled, dials, dialFails atomic.Int64
}

func (n *counters) snapshot() Stats {
	return Stats{
		Calls:       n.calls.Load(),
		Served:      n.served.Load(),
		Missing:     n.missing.Load(),
		Refused:     n.refused.Load(),
		Failed:      n.failed.Load(),
		Deadline:    n.deadline.Load(),
		Unknown:     n.unknown.Load(),
		Unavailable: n.unavailable.Load(),
		Invalid:     n.invalid.Load(),
		Closed:      n.closed.Load(),
		Tries:       n.tries.Load(),
		Retries:     n.retries.Load(),
		Throttled:   n.throttled.Load(),
		Dials:       n.dials.Load(),
		DialFails:   n.dialFails.Load(),
	}
}

// forError returns the counter for a call that ended with e, or was served if e is nil.
func (n *counters) forError(e *Error) *atomic.Int64 {
	if e == nil {
		return &n.served
	}
	switch e.Kind {
	case ErrMiss:
		return &n.missing
	case ErrRefused:
		return &n.refused
	case ErrDeadline:
		return &n.deadline
	case ErrUnknown:
		return &n.unknown
	case ErrUnavailable:
		return &n.unavailable
	case ErrInvalid:
		return &n.invalid
	case ErrClosed:
		return &n.closed
	}
	return &n.failed
}
