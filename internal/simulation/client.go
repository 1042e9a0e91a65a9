package simulation

import (
	"fmt"
	"time"

	"mulleinpier/policy"
)

// clientRequest is a request of a client, across all its attempts.
type clientRequest struct {
	id             uint64
	class          int
	key            string
	write          bool
	startedAt      time.Duration
	clientDeadline time.Duration // when the client gives up
	ended          bool
}

const (
	// minAttemptTime is the shortest time before its deadline at which a client still sends an attempt.
	minAttemptTime = 50 * time.Millisecond

	maxConnectAttempts = 8 // attempts to reach a proxy that is up

	// forgetAfter is long enough after the end of a request that no attempt of it can still run.
	forgetAfter = 10 * time.Second
)

// scheduleArrival schedules the next request, over all clients.
func (f *Fleet) scheduleArrival() {
	wait := time.Duration(f.rng.ExpFloat64() / f.Clients.RequestsPerSecond * float64(time.Second))
	f.scheduleAfter(wait, func() {
		r := f.newRequest()
		f.counters().Requests++
		f.schedule(r.clientDeadline+f.Settings.Rules.ResponseGrace, func() { f.endRequest(r) })
		f.attempt(r)
		f.scheduleArrival()
	})
}

func (f *Fleet) newRequest() *clientRequest {
	f.lastID++
	r := &clientRequest{id: f.lastID, key: fmt.Sprint("k", f.keys.Uint64()), startedAt: f.now}
	r.class = f.drawClass()
	class := &f.Settings.Classes[r.class]
	r.write = class.Idempotency != policy.Idempotent
	r.clientDeadline = f.now + class.Deadline
	return r
}

func (f *Fleet) drawClass() int {
	x := f.rng.Float64()
	class := 0
	for ; class < len(f.Clients.ClassShares)-1; class++ {
		x -= f.Clients.ClassShares[class]
		if x < 0 {
			break
		}
	}
	return class
}

// attempt sends a client's request to a random proxy that is up.
func (f *Fleet) attempt(r *clientRequest) {
	if r.ended || r.clientDeadline-f.now < minAttemptTime {
		return
	}
	for range maxConnectAttempts {
		p := f.proxies[f.drawProxy()]
		if p.dead {
			continue
		}
		f.counters().ClientAttempts++
		f.scheduleAfter(f.MessageDelay, func() {
			if p.dead {
				f.handleFailure(r)
				return
			}
			p.accept(r, r.clientDeadline)
		})
		return
	}
	f.retryAfter(r, f.Clients.RetryPause)
}

// drawProxy returns the index of the proxy that the next connection goes to.
func (f *Fleet) drawProxy() int {
	hot := f.Clients.HotProxyFactor
	if hot > 0 && f.rng.Float64() < hot/float64(len(f.proxies)) {
		return 0
	}
	return f.rng.IntN(len(f.proxies))
}

func (f *Fleet) retryAfter(r *clientRequest, pause time.Duration) {
	f.scheduleAfter(pause, func() { f.attempt(r) })
}

// handleRejection retries a rejected request. A retry is harmless then, whatever the request's class.
func (f *Fleet) handleRejection(r *clientRequest, retryAfter time.Duration) {
	if f.Clients.IgnoreRetryAfter {
		retryAfter = 0
	}
	f.retryAfter(r, max(retryAfter, f.Clients.RetryPause))
}

// handleFailure handles a failure or the loss of a connection. The request may have been executed, so only idempotent
// requests are retried.
func (f *Fleet) handleFailure(r *clientRequest) {
	if f.Settings.Classes[r.class].Idempotency == policy.Idempotent {
		f.retryAfter(r, f.Clients.RetryPause)
	}
}

// handleServed handles a successful answer, in time or late.
func (f *Fleet) handleServed(r *clientRequest) {
	if r.ended {
		return
	}
	r.ended = true
	if f.now-r.startedAt <= f.Settings.Classes[r.class].LatencyObjective {
		f.countersAt(r.startedAt).InTime++
	} else {
		f.countersAt(r.startedAt).Late++
	}
}

// endRequest ends a request whose client gives up.
func (f *Fleet) endRequest(r *clientRequest) {
	f.scheduleAfter(forgetAfter, func() { delete(f.firstRunAt, r.id) })
	if !r.ended {
		r.ended = true
		f.countersAt(r.startedAt).Unanswered++
	}
}
