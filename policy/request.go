package policy

import (
	"time"

	"mulleinpier/internal/bloom"
)

// attempt is one send of a request to a server.
type attempt struct {
	server         *server
	sentAt         time.Duration
	done           bool
	mayHaveRun     bool
	path           servingPath   // the path on which it was admitted
	hedgeAt        time.Duration // from then on a hedged request may be sent if the attempt is unanswered
	slowAt         time.Duration // from then on an unanswered attempt is slow, even if the server answers others
	healthRecorded bool          // the attempt has been counted for the health of its server
	spannedPause   bool          // the process was paused while the attempt was in flight
}

// request is what a Balancer knows of a request that has not ended, or that has attempts in flight.
type request struct {
	Arrival
	arrivedAt       time.Duration
	class           *Class
	settings        *Settings // in force when the request arrived; they apply until it ends
	keyHash         uint64
	filterPositions bloom.Positions
	cacheable       bool // the request is a read with a key, so caches may hold its value
	overQuota       bool
	ended           bool
	streaming       bool
	served          bool
	spannedPause    bool // the process was paused while the request was open
	openAttempts    int
	attempts        []attempt
}

// deadlineMargin is the number of event intervals before its deadline at which a request without an answer is ended, so
// that its client is answered in time.
const deadlineMargin = 2

func (b *Balancer) handleArrival(a Arrival) {
	if b.requests[a.ID] != nil {
		return
	}
	a.Class = max(min(a.Class, len(b.settings.Classes)-1), 0)
	r := &request{Arrival: a, arrivedAt: b.now, settings: b.settings, class: &b.settings.Classes[a.Class]}
	b.requests[a.ID] = r
	// A write neither uses nor leaves a cached copy, so it goes to the server that is expected to answer first.
	r.cacheable = a.Key != "" && !a.Write
	if r.cacheable {
		r.keyHash = bloom.Hash(a.Key)
	} else {
		r.keyHash = b.rng.Uint64()
	}
	r.filterPositions = bloom.PositionsOf(r.keyHash)
	r.overQuota = b.chargeQuota(r)
	b.grantSlowStartTokens()
	b.setTimer(timerDeadline, a.ID, a.Deadline-b.now-deadlineMargin*b.settings.EventInterval)
	b.admitAndSend(r)
}

// admitAndSend sends a request to the server with the lowest expected response time, unless it is rejected.
func (b *Balancer) admitAndSend(r *request) {
	s, path := b.chooseServer(r)
	if s == nil {
		b.handleNoServer(r)
		return
	}
	b.counters.Offered++
	if b.mayReject(r) {
		if path == fetchPath && !b.passesLevel(r) {
			b.endUnserved(r, ReasonDegraded)
			return
		}
		if b.isUnattainable(r, s) {
			b.counters.DeadlineRejections++
			b.shed(r, s, path, ReasonUnattainable)
			return
		}
		if !b.passesGate(r, s, path) {
			b.shed(r, s, path, ReasonAdmission)
			return
		}
	}
	b.send(r, s, path, ReasonFirst)
	hedgeAt := r.attempts[len(r.attempts)-1].hedgeAt
	if r.settings.Limits.AllowHedging && r.class.Idempotency == Idempotent && hedgeAt < r.Deadline {
		b.setTimer(timerHedge, r.ID, hedgeAt-b.now)
	}
}

// serverWaitInterval is how long a request without a server waits before it looks for one again: well below any latency
// objective, well above Settings.EventInterval.
const serverWaitInterval = 25 * time.Millisecond

// minServerWait is the time before its deadline from which a request no longer waits for a server, because one that
// becomes available later could hardly answer in time.
const minServerWait = 3 * serverWaitInterval

// handleNoServer makes a request without a server wait for one, or ends it if waiting cannot help.
func (b *Balancer) handleNoServer(r *request) {
	if b.noServerCanRun(r) || r.Deadline-b.now <= minServerWait {
		b.endUnserved(r, ReasonNoServer)
		return
	}
	b.counters.WaitsForServer++
	b.setTimer(timerWaitForServer, r.ID, serverWaitInterval)
}

func (b *Balancer) send(r *request, s *server, path servingPath, reason Reason) {
	hedgeAt, slowAt := b.overdueTimes(r, s, path)
	timeout, repeat := b.repeatTimeout(r), r.isRepeat()
	r.attempts = append(r.attempts, attempt{
		server:     s,
		sentAt:     b.now,
		mayHaveRun: true,
		path:       path,
		hedgeAt:    hedgeAt,
		slowAt:     slowAt,
	})
	s.gate.observe(b.now, gateSample{offered: 1})
	b.paths[path].gate.observe(b.now, gateSample{offered: 1})
	r.openAttempts++
	s.inFlight++
	s.lastSend = b.now
	if b.capacityShare(s) < 1 {
		s.slowStartTokens--
	}
	b.emit(Action{Kind: Send, ID: r.ID, Server: s.Server, After: timeout, Reason: reason, Repeat: repeat})
}

func (b *Balancer) handleStreamStarted(e StreamStarted) {
	if r := b.requests[e.ID]; r != nil {
		r.streaming = true
	}
}

func (b *Balancer) handleClientLeft(e ClientLeft) {
	if r := b.requests[e.ID]; r != nil {
		b.endRequest(r)
	}
}

func (b *Balancer) handleOutcome(e Outcome) {
	r := b.requests[e.ID]
	if r == nil || e.Attempt < 0 || e.Attempt >= len(r.attempts) || r.attempts[e.Attempt].done {
		return
	}
	a := &r.attempts[e.Attempt]
	a.done = true
	a.mayHaveRun = MayHaveRun(e.Result)
	r.openAttempts--
	b.learnFromOutcome(r, a, e)
	switch {
	case e.Final || r.ended:
		b.endRequest(r)
	case r.openAttempts == 0:
		b.retryOrEnd(r, e)
	}
}

// endUnserved rejects or fails a request that gets no answer from a server. Every Reject and Fail action comes from it.
func (b *Balancer) endUnserved(r *request, reason Reason) {
	switch {
	case r.ended || r.streaming:
		return
	case b.mayReject(r):
		b.emit(Action{Kind: Reject, ID: r.ID, After: b.RetryAfter(r.Class), Reason: reason})
	default:
		b.emit(Action{Kind: Fail, ID: r.ID, Reason: reason})
	}
	b.endRequest(r)
}

// endRequest ends a request, and drops it once no attempt of it is in flight.
func (b *Balancer) endRequest(r *request) {
	if !r.ended {
		b.countRequest(r)
		b.cancelAttempts(r)
	}
	r.ended = true
	if r.openAttempts == 0 {
		delete(b.requests, r.ID)
	}
}

func (b *Balancer) cancelAttempts(r *request) {
	if !r.settings.Limits.AllowCancel {
		return
	}
	for i := range r.attempts {
		if !r.attempts[i].done {
			b.emit(Action{Kind: Cancel, ID: r.ID, Attempt: i})
		}
	}
}
