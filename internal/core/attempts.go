package core

import (
	"slices"
	"time"

	"mulleinpier/internal/membership"
	"mulleinpier/internal/meta"
	"mulleinpier/internal/request"
	"mulleinpier/internal/upstream"
	"mulleinpier/policy"
)

// nodeAttempt is one attempt to send a request to a node. It is guarded by Core.mu, and ends exactly once.
type nodeAttempt struct {
	upstream.Attempt
	client       DisconnectChecker // nil if the reply can't report whether its client has disconnected
	started      bool              // the first byte of the attempt may have been written
	nodeName     string
	dispatchedAt time.Duration // by Core.policyTime
	ended        bool
	mayHaveRun   bool // it has ended, and the node may have executed it
	deferred     bool // the attempt is held back during the recovery from a pause
}

// dispatch executes a Send action: it passes a new attempt to the connection pool, or defers it. An attempt that
// can't be sent ends immediately. c.mu is held.
func (c *Core) dispatch(action *policy.Action) {
	req := c.requests[action.ID]
	if req == nil {
		return
	}
	now := c.policyTime()
	attempt := &nodeAttempt{
		nodeName:     action.Server,
		dispatchedAt: now,
		Attempt: upstream.Attempt{
			ID:       req.id,
			Number:   len(req.attempts),
			Request:  req.request,
			Deadline: req.expiresAt,
			Previous: req.attemptsAt(action.Server),

			ConfirmPath: action.Repeat || req.mayHaveRunBefore,
		},
	}
	attempt.HandlerState = attempt
	attempt.client, _ = req.reply.(DisconnectChecker)
	req.attempts = append(req.attempts, attempt)
	req.openAttempts++
	c.counts.dispatched++
	c.recordDispatched(req, attempt, action.Reason)
	if req.finished || now >= req.deadline || action.After < 0 {
		c.endAttempt(req, attempt, policy.NotSent, nil)
		return
	}
	if attemptDeadline := now + action.After; action.After > 0 && attemptDeadline < req.deadline {
		attempt.Deadline = attempt.Deadline.Add(attemptDeadline - req.deadline)
		c.setTimer(timer{at: attemptDeadline, kind: attemptTimer, id: req.id, attempt: int32(attempt.Number)})
	}
	if !c.deferAttempt(req, attempt) && !c.pool.Send(attempt.nodeName, &attempt.Attempt) {
		c.endAttempt(req, attempt, policy.ConnectFailed, nil)
	}
}

// attemptsAt returns the attempts of a request at a node.
func (r *InFlightRequest) attemptsAt(node string) (attempts []*upstream.Attempt) {
	for _, attempt := range r.attempts {
		if attempt.nodeName == node {
			attempts = append(attempts, &attempt.Attempt)
		}
	}
	return attempts
}

// cancelAttempt ends an attempt that is no longer wanted. If it has not started, it ends as NotSent instead of with
// result: it can't start any more, even if a connection's writer already has it. c.mu is held.
func (c *Core) cancelAttempt(req *InFlightRequest, attempt *nodeAttempt, result policy.Result) {
	if attempt.ended {
		return
	}
	if attempt.deferred || c.pool.Abandon(&attempt.Attempt) || !attempt.started {
		result = policy.NotSent
	}
	c.endAttempt(req, attempt, result, nil)
}

// endAttempt ends an attempt and reports the outcome to the decision module. It does nothing if the attempt has
// already ended. answer is nil if none was received. c.mu is held.
func (c *Core) endAttempt(
	req *InFlightRequest, attempt *nodeAttempt, result policy.Result, answer *request.Answer,
) {
	if attempt.ended {
		return
	}
	attempt.ended, attempt.mayHaveRun = true, attempt.started && policy.MayHaveRun(result)
	req.openAttempts--
	c.counts.results[result]++
	c.recordEnded(req, attempt, result)
	outcome := policy.Outcome{
		ID:      req.id,
		Attempt: attempt.Number,
		Server:  attempt.nodeName,
		Result:  result,
		Took:    c.policyTime() - attempt.dispatchedAt,
		Final:   req.finished,
	}
	if answer != nil {
		outcome.CacheStatus = c.countCacheStatus(answer)
		outcome.LoadReport = parseLoadReport(answer.LoadReport)
	}
	c.handle(outcome)
	c.removeIfDone(req)
}

// countCacheStatus returns the cache status that an answer reports, and counts hits and misses. c.mu is held.
func (c *Core) countCacheStatus(answer *request.Answer) (status policy.CacheStatus) {
	switch {
	case answer.Hit:
		c.counts.hits++
		return policy.CacheHit
	case answer.Miss && answer.Coalesced:
		c.counts.misses++
		return policy.CacheMissCoalesced
	case answer.Miss:
		c.counts.misses++
		return policy.CacheMiss
	}
	return status
}

// parseLoadReport parses a node's load report. It returns nil if there is none or if it is malformed.
func parseLoadReport(text []byte) *policy.LoadReport {
	if len(text) == 0 {
		return nil
	}
	const unknown = -1
	report := policy.LoadReport{InFlight: unknown, Queue: unknown, Utilization: unknown, Rate: unknown,
		ErrorRate: unknown, X0: unknown, X1: unknown, Latency: unknown}
	err := meta.EachLoadFigure(text, func(name string, figure float64) {
		switch name {
		case "inflight", "active":
			report.InFlight = figure
		case "queue", "waiting":
			report.Queue = figure
		case "util", "cpu":
			report.Utilization = figure
		case "latency_ms", "avg_ms":
			report.Latency = time.Duration(figure * float64(time.Millisecond))
		case "qps", "rps":
			report.Rate = figure
		case "eps", "err_rps":
			report.ErrorRate = figure
		case "x0":
			report.X0 = figure
		case "x1":
			report.X1 = figure
		}
	})
	if err != nil {
		return nil
	}
	return &report
}

// findAttempt returns an attempt and its request, or nil for both if the attempt has ended. c.mu is held.
func (c *Core) findAttempt(sent *upstream.Attempt) (*InFlightRequest, *nodeAttempt) {
	req := c.requests[sent.ID]
	if req == nil || req.attempts[sent.Number].ended {
		return nil, nil
	}
	return req, req.attempts[sent.Number]
}

// BeforeWrite implements upstream.Handler. An attempt may have waited for its connection, behind other attempts, or
// while this process was paused, and may no longer be wanted. Its client may also have disconnected without the reader
// of the client's connection having noticed. Then nobody waits for the answer, whatever the request's class, so each
// client is checked right before the write.
func (c *Core) BeforeWrite(batch []*upstream.Attempt) []*upstream.Attempt {
	sideEffects := false
	batch = slices.DeleteFunc(batch, func(sent *upstream.Attempt) bool {
		sideEffects = sideEffects || sent.Request.SideEffects
		attempt := sent.HandlerState.(*nodeAttempt)
		if attempt.client == nil || !attempt.client.Disconnected() {
			return false
		}
		c.abandonDisconnected(attempt)
		return true
	})
	c.mu.Lock()
	defer c.mu.Unlock()
	if sideEffects {
		c.observeSleep()
	}
	c.observeClocks()
	return slices.DeleteFunc(batch, func(sent *upstream.Attempt) bool { return !c.startAttempt(sent) })
}

// MayConfirm implements upstream.Handler. A no-op is sent only while the attempt itself might still be
// sent to its node: somebody waits for it, and the node serves.
func (c *Core) MayConfirm(sent *upstream.Attempt) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	req, attempt := c.findAttempt(sent)
	return req != nil && !req.finished && c.balancer.MaySend(c.policyTime(), req.id, attempt.Number)
}

// startAttempt reports whether the first byte of an attempt may be written now. If not, the attempt has ended or
// was deferred. c.mu is held.
func (c *Core) startAttempt(sent *upstream.Attempt) bool {
	req, attempt := c.findAttempt(sent)
	if req == nil {
		return false
	}
	if req.finished || !c.balancer.MaySend(c.policyTime(), req.id, attempt.Number) || c.claimExpired(req) {
		c.endAttempt(req, attempt, policy.NotSent, nil)
		return false
	}
	if c.pause.detector.DefersWrites() && c.deferAttempt(req, attempt) {
		return false
	}
	if req.expiresAt.Before(sent.Deadline) { // the machine has slept since the dispatch
		sent.Deadline = req.expiresAt
	}
	if req.claim == claimGranted {
		sent.StartBefore = req.expiresAt.Add(req.sendBefore - req.deadline)
	}
	attempt.started = true
	c.recordStarted(req, attempt)
	return true
}

// abandonDisconnected abandons a request whose client has disconnected, and ends its attempt, which has not
// started.
func (c *Core) abandonDisconnected(attempt *nodeAttempt) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if req, _ := c.findAttempt(&attempt.Attempt); req != nil {
		c.abandon(req)
		c.endAttempt(req, attempt, policy.NotSent, nil)
	}
}

// Answered implements upstream.Handler. It answers the request of an attempt and ends the attempt, unless it has ended.
func (c *Core) Answered(sent *upstream.Attempt, answer *request.Answer) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.observeClocks()
	if req, attempt := c.findAttempt(sent); req != nil {
		c.counts.served++
		c.answer(req, answer, "")
		c.endAttempt(req, attempt, policy.Served, answer)
		c.observeConnection(attempt.nodeName, membership.Answered)
	}
}

// Ended implements upstream.Handler. It ends an attempt that got no answer for its client, unless it has ended.
func (c *Core) Ended(sent *upstream.Attempt, answer *request.Answer, result upstream.Result) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.observeClocks()
	req, attempt := c.findAttempt(sent)
	if req == nil {
		return
	}
	c.endAttempt(req, attempt, policyResultOf[result], answer)
	switch result {
	case upstream.NotWritten, upstream.ConnectionLost:
		c.observeConnection(attempt.nodeName, membership.Failed)
	case upstream.Busy, upstream.Failed, upstream.ConnectionLimitReached:
		c.observeConnection(attempt.nodeName, membership.Answered)
	}
}

// policyResultOf maps the result of an attempt on its connection to the corresponding result of the decision module.
var policyResultOf = [...]policy.Result{
	upstream.Busy:                   policy.Rejected,
	upstream.Failed:                 policy.Errored,
	upstream.NotWritten:             policy.ConnectFailed,
	upstream.ConnectionLost:         policy.Reset,
	upstream.Malformed:              policy.Malformed,
	upstream.ConnectionLimitReached: policy.ConnectionLimitReached,
}

// WrittenLate implements upstream.Handler. The attempts may no longer have been wanted when they were written.
// That can't be undone, so it is only counted and logged.
func (c *Core) WrittenLate(batch []*upstream.Attempt, delay time.Duration) {
	c.mu.Lock()
	sideEffects := 0
	for _, sent := range batch {
		if sent.Request.SideEffects {
			sideEffects++
		}
	}
	c.pause.writtenLate += len(batch)
	c.mu.Unlock()
	c.log.Warn("attempts written late", "attempts", len(batch), "side_effects", sideEffects, "delay", delay)
}
