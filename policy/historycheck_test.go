package policy_test

import "mulleinpier/policy"

// check checks an action against the rules and records what it does.
func (h *history) check(a policy.Action) {
	r := h.requests[a.ID]
	switch a.Kind {
	case policy.Send, policy.Reject, policy.Fail, policy.Cancel:
		if r == nil {
			h.t.Fatalf("action %+v for an unknown request", a)
		}
	}
	switch a.Kind {
	case policy.Send:
		h.checkSend(r, a)
		r.attempts = append(r.attempts, trackedAttempt{a.Server, h.now, true, true})
		h.sends++
	case policy.Reject, policy.Fail:
		h.checkEnd(r, a)
		r.ended = true
	case policy.Cancel:
		if a.Attempt >= len(r.attempts) {
			h.t.Fatalf("cancel of an attempt that was never sent: %+v", a)
		}
	case policy.SetTimer:
		h.timers = append(h.timers, trackedTimer{h.now + max(a.After, h.settings.EventInterval), a.Token})
	}
}

func (h *history) checkSend(r *trackedRequest, a policy.Action) {
	if r.ended || r.streaming || h.now >= r.Deadline || len(r.attempts) >= r.settings.Limits.MaxAttempts {
		h.t.Fatalf("send %+v not allowed: %+v", a, r)
	}
	if !h.mayBeSentTo[a.Server] {
		h.t.Fatalf("send to %s, which is draining, removed or unknown", a.Server)
	}
	target := h.endpoints[a.Server]
	if target.NoDeduplication && r.class().Idempotency == policy.IdempotentWithKey {
		h.t.Fatalf("%+v sent to %s, which does not deduplicate", r, a.Server)
	}
	for _, earlier := range r.attempts {
		if earlier.inFlight && !r.settings.Limits.AllowHedging {
			h.t.Fatalf("second attempt in flight: %+v", r)
		}
		if !earlier.inFlight && !earlier.mayHaveRun || r.class().Idempotency == policy.Idempotent {
			continue
		}
		if !h.isDeduplicated(r.class(), earlier, target) {
			h.t.Fatalf("the request may run twice: %+v sent to %s at %v", r, a.Server, h.now)
		}
	}
}

// isDeduplicated reports whether target drops a repeat of an earlier attempt as a duplicate.
func (h *history) isDeduplicated(class *policy.Class, earlier trackedAttempt, target policy.Endpoint) bool {
	if class.Idempotency != policy.IdempotentWithKey || h.now-earlier.sentAt >= class.DedupWindow {
		return false
	}
	source := h.endpoints[earlier.server]
	return class.DedupScope == policy.DedupScopeAll ||
		class.DedupScope == policy.DedupScopeZone && source.Zone == target.Zone ||
		class.DedupScope == policy.DedupScopeCell && source.Cell == target.Cell
}

func (h *history) checkEnd(r *trackedRequest, a policy.Action) {
	if r.ended || r.streaming || h.now > r.Deadline+h.settings.Rules.ResponseGrace {
		h.t.Fatalf("answer %+v not allowed: %+v", a, r)
	}
	class := r.class()
	if a.Kind != policy.Reject || class.Idempotency == policy.Idempotent {
		return
	}
	if class.Idempotency == policy.IdempotentWithKey && class.DedupScope == policy.DedupScopeAll {
		return
	}
	for _, attempt := range r.attempts {
		if attempt.inFlight || attempt.mayHaveRun {
			h.t.Fatalf("rejected a request that may have run: %+v", r)
		}
	}
}
