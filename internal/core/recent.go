package core

import (
	"strings"
	"time"

	"mulleinpier/internal/request"
	"mulleinpier/policy"
)

// This file remembers the requests with side effects that may have run. A client whose connection ends without an
// answer may send its request again, with the same id, on another connection. If the request may have run it must not
// run a second time.

const (
	// recentTime is how long a request is remembered after its end, well beyond the deadline of any client that waits
	// for it.
	recentTime = 10 * time.Second
	// maxRecent bounds the remembered requests; beyond it the oldest are forgotten.
	maxRecent = 8192
)

// recentRequest is a request that has ended and may have run.
type recentRequest struct {
	firstSentAt time.Duration // when the first attempt that may have run was dispatched, by Core.policyTime
	endedAt     time.Duration // by Core.policyTime
}

// recentRequests are the requests that ended within recentTime, by the ids that their clients gave them. The zero value
// is empty. It is guarded by Core.mu.
type recentRequests struct {
	byID  map[string]recentRequest
	order []endedRequest // in the order of their ends
}

// endedRequest is the end of a request.
type endedRequest struct {
	id string
	at time.Duration
}

// add remembers a request, and forgets those that are too old or too many. If the request has come again, the time of
// its first attempt counts. The id is copied, as it may be a part of a long line.
func (r *recentRequests) add(id string, ended recentRequest) {
	if r.byID == nil {
		r.byID = make(map[string]recentRequest)
	}
	if earlier, ok := r.find(id, ended.endedAt); ok {
		ended.firstSentAt = earlier.firstSentAt
	}
	id = strings.Clone(id)
	r.byID[id] = ended
	r.order = append(r.order, endedRequest{id, ended.endedAt})
	for len(r.order) > maxRecent || r.order[0].at+recentTime < ended.endedAt {
		oldest := r.order[0]
		r.order = r.order[1:]
		if r.byID[oldest.id].endedAt == oldest.at { // it has not come again since
			delete(r.byID, oldest.id)
		}
	}
}

// find returns the remembered request with an id.
func (r *recentRequests) find(id string, now time.Duration) (recentRequest, bool) {
	found, ok := r.byID[id]
	return found, ok && now-found.endedAt <= recentTime
}

// rememberIfRun remembers a request that has ended, if it has side effects and may have run. c.mu is held.
func (c *Core) rememberIfRun(req *InFlightRequest) {
	if !req.request.SideEffects {
		return
	}
	for _, attempt := range req.attempts {
		if attempt.mayHaveRun {
			ended := recentRequest{firstSentAt: attempt.dispatchedAt, endedAt: c.policyTime()}
			c.recent.add(req.request.ID, ended)
			return
		}
	}
}

// repeatDeadline returns until when a request may be sent that has come again, limited to the deadline of its client,
// and whether it may have run. ok is false if it may not be sent: nodes might not drop it as a duplicate. c.mu is held.
func (c *Core) repeatDeadline(
	in *request.Request, class *policy.Class, deadline time.Duration,
) (limited time.Duration, mayHaveRun, ok bool) {
	if class.Idempotency == policy.Idempotent {
		return deadline, false, true
	}
	earlier, known := c.recent.find(in.ID, c.policyTime())
	if !known {
		return deadline, false, true
	}
	if class.Idempotency == policy.NotIdempotent || class.DedupScope != policy.DedupScopeAll {
		return 0, true, false
	}
	limited = min(deadline, earlier.firstSentAt+class.RepeatWindow())
	return limited, true, limited > c.policyTime()
}
