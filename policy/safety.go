package policy

import (
	"slices"
	"time"
)

// maySendTo reports whether the rules allow an attempt of a request at a server. Each send passes this check.
func (b *Balancer) maySendTo(r *request, s *server) bool {
	switch {
	case r.ended || r.streaming:
		return false
	case !r.canRunOn(s):
		return false
	case r.openAttempts > 0 && !r.settings.Limits.AllowHedging:
		return false
	case len(r.attempts) >= r.settings.Limits.MaxAttempts || b.now >= r.Deadline:
		return false
	}
	return b.isRepeatSafe(r, s, noAttempt)
}

// mayReject reports whether a request may be rejected. A rejection tells the client that a repeat is safe, however late
// it comes. So once an attempt may have run, only idempotent requests may be rejected.
func (b *Balancer) mayReject(r *request) bool {
	if r.ended || r.streaming {
		return false
	}
	if r.class.Idempotency == Idempotent {
		return true
	}
	return !r.mayHaveRun()
}

// MaySend reports whether the first byte of an attempt may still be written at time now. Callers check it right before
// the write, because the attempt may have waited for a connection since it was decided.
func (b *Balancer) MaySend(now time.Duration, id uint64, number int) bool {
	r := b.requests[id]
	if r == nil || number < 0 || number >= len(r.attempts) {
		return false
	}
	b.now = now
	a := &r.attempts[number]
	switch {
	case a.done || r.ended || r.streaming || now >= r.Deadline:
		return false
	case !a.server.listed || a.server.State != Serving:
		return false
	}
	return r.canRunOn(a.server) && b.isRepeatSafe(r, a.server, number)
}

// canRunOn reports whether a server supports what the request's class promises. A client may repeat a request with an
// idempotency key, through this proxy or another one, and relies on deduplication. So not even the first attempt goes
// to a server that does not deduplicate.
func (r *request) canRunOn(s *server) bool {
	return r.class.Idempotency != IdempotentWithKey || !s.NoDeduplication
}

// noServerCanRun reports whether servers are listed but none supports what the request's class promises, so that
// waiting does not help.
func (b *Balancer) noServerCanRun(r *request) bool {
	return len(b.serving) > 0 && !slices.ContainsFunc(b.serving, r.canRunOn)
}

// noAttempt is passed to isRepeatSafe where no attempt is to be skipped.
const noAttempt = -1

// isRepeatSafe reports whether a send to s is safe after the request's earlier attempts, except the one numbered skip.
func (b *Balancer) isRepeatSafe(r *request, s *server, skip int) bool {
	if r.class.Idempotency == Idempotent {
		return true
	}
	for i := range r.attempts {
		a := &r.attempts[i]
		if !a.mayHaveRun || i == skip {
			continue
		}
		if r.class.Idempotency == NotIdempotent {
			return false
		}
		if b.now+b.executionReserve(s) >= r.repeatEnd(a) {
			return false
		}
		if !r.class.shareDedupScope(s, a.server) {
			return false
		}
	}
	return true
}

// maxRepeatMargin limits how long before the end of the dedup window a repeat ends, so that the proxy ends it in time
// even if it is held up for 0.15 s.
const maxRepeatMargin = 150 * time.Millisecond

// maxRepeatMarginShare limits the margin to a part of the window, for short windows.
const maxRepeatMarginShare = 4

// RepeatWindow returns the time from the send of an attempt within which repeats of it must have ended, because servers
// may forget the request's key soon after. It is for classes that are IdempotentWithKey.
func (c *Class) RepeatWindow() time.Duration {
	return c.DedupWindow - min(maxRepeatMargin, c.DedupWindow/maxRepeatMarginShare)
}

// repeatEnd returns when repeats of an attempt must have ended.
func (r *request) repeatEnd(a *attempt) time.Duration {
	return a.sentAt + r.class.RepeatWindow() - r.settings.EventInterval
}

// executionReserve returns the time before repeatEnd from which no repeat is written to a server. A repeat that has
// been delivered cannot be taken back, and the server executes it some time later.
func (b *Balancer) executionReserve(s *server) time.Duration {
	return time.Duration(slowHitMultiple * b.expectedHitTime(s) * float64(time.Second))
}

// repeatTimeout returns the timeout of an attempt that is sent now, or 0 if the request's deadline is early enough. A
// repeat must end before servers forget the request's key: one that is still on its way, for example because of a
// network partition, could arrive and be executed a second time later.
func (b *Balancer) repeatTimeout(r *request) (timeout time.Duration) {
	if r.class.Idempotency != IdempotentWithKey {
		return 0
	}
	for i := range r.attempts {
		a := &r.attempts[i]
		if !a.mayHaveRun {
			continue
		}
		if left := r.repeatEnd(a) - b.now; timeout == 0 || left < timeout {
			timeout = left
		}
	}
	if b.now+timeout >= r.Deadline {
		return 0
	}
	return timeout
}

// mayHaveRun reports whether an attempt of the request may have been executed.
func (r *request) mayHaveRun() bool {
	return slices.ContainsFunc(r.attempts, func(a attempt) bool { return a.mayHaveRun })
}

// isRepeat reports whether an attempt that is sent now would repeat one that may have been executed, and that servers
// must therefore drop as a duplicate.
func (r *request) isRepeat() bool {
	return r.class.Idempotency == IdempotentWithKey && r.mayHaveRun()
}

// shareDedupScope reports whether two servers deduplicate the class's requests together.
func (c *Class) shareDedupScope(s, other *server) bool {
	switch c.DedupScope {
	case DedupScopeZone:
		return s.Zone == other.Zone
	case DedupScopeCell:
		return s.Cell == other.Cell
	}
	return true
}

// MayHaveRun reports whether an attempt with this result may have had an effect. It is true for unknown results.
func MayHaveRun(r Result) bool {
	switch r {
	case Rejected, ConnectFailed, NotSent, NotFound, ConnectionLimitReached:
		return false
	}
	return true
}
