package policy

import (
	"slices"
	"strings"
	"time"

	"mulleinpier/internal/bloom"
	"mulleinpier/internal/outlier"
)

// server is what a Balancer knows of one cache server.
type server struct {
	Endpoint
	nameHash      uint64
	listed        bool
	unlistedSince time.Duration
	filter        bloom.Filter // of the keys that it was seen to hold

	// Connections and attempts of this proxy.
	inFlight    float64
	abandoned   float64 // attempts given up whose work may go on, decaying
	abandonedAt time.Duration
	lastSend    time.Duration // over a connection that is still open

	// Estimates: estimator.go.
	meanLoad        float64 // smoothed inFlight + abandoned
	minLatency      float64 // lowest recent latency, seconds
	processingTime  float64 // smoothed latency above that, seconds
	promisedHitRate float64 // share of hits when the filter named the key
	lastSample      time.Duration
	samples         int // answers measured since its start

	// Failures: outcome.go and outlier.go.
	consecutiveFailures int
	lastFailure         time.Duration       // of a connection
	lastHealthFailure   time.Duration       // the last failure that counted for its health, 0 after a success
	backoffUntil        time.Duration       // not chosen before, if others are left
	suspicions          []outlier.Suspicion // by class
	lastResponse        time.Duration       // of any kind

	slowStartTokens float64 // sends that it may get while it warms up
	gate            admissionGate
}

// The backoff between calls for the endpoint list. What a broken subscription misses counts as known 6 s later: half as
// much again as maxSubscribeBackoff and a call of 3 s stay under that.
const (
	firstSubscribeBackoff = 1600 * time.Millisecond // after a first failure
	maxSubscribeBackoff   = 2 * time.Second         // after further ones

	maxSubscribeDoublings = 3
)

// updateEndpoints applies an update of the endpoint list and keeps one subscription alive.
func (b *Balancer) updateEndpoints(u EndpointUpdate) {
	if b.settings.EndpointsOnRequest && !b.scheduleSubscribe(u.Kind) {
		return
	}
	b.listReceived = true
	if u.Kind == EndpointsFull || u.Kind == EndpointsCached {
		for _, s := range b.servers {
			s.listed = false
		}
	}
	for _, endpoint := range u.Endpoints {
		b.updateEndpoint(endpoint)
	}
	b.rebuildServing()
	b.zonalHomes = b.prefersZonalHomes()
}

// scheduleSubscribe sets the timer for the next call for the list, where there is to be one, and reports whether the
// update has endpoints to apply.
func (b *Balancer) scheduleSubscribe(kind EndpointUpdateKind) bool {
	poll := b.settings.Rules.MaxPollInterval
	switch {
	case !b.listReceived: // all proxies start at once, and the registry is small
		b.setTimer(timerSubscribe, 0, b.jitter(poll/4))
	case kind == EndpointsUnavailable:
		b.subscribing = false
		b.subscribeFailures = min(b.subscribeFailures+1, maxSubscribeDoublings)
		limit := maxSubscribeBackoff
		if b.subscribeFailures == 1 {
			limit = firstSubscribeBackoff
		}
		b.setTimer(timerSubscribe, 0, b.jitter(min(poll/8<<b.subscribeFailures, limit)))
		return false
	default:
		b.subscribeFailures = 0
	}
	return true
}

func (b *Balancer) subscribe() {
	if !b.subscribing {
		b.subscribing = true
		b.emit(Action{Kind: Subscribe})
	}
}

// rebuildServing brings the servers that may be chosen in order of name, so that decisions do not depend on the order
// of a map.
func (b *Balancer) rebuildServing() {
	clear(b.serving)
	b.serving = b.serving[:0]
	for _, s := range b.servers {
		switch {
		case s.listed && s.State == Serving:
			b.serving = append(b.serving, s)
		case s.listed:
			s.unlistedSince = 0
		case s.unlistedSince == 0:
			s.unlistedSince = b.now
		}
	}
	slices.SortFunc(b.serving, func(x, y *server) int { return strings.Compare(x.Server, y.Server) })
}

func (b *Balancer) updateEndpoint(endpoint Endpoint) {
	s := b.servers[endpoint.Server]
	isNew := s == nil
	if isNew {
		s = &server{nameHash: bloom.Hash(endpoint.Server)}
		b.servers[endpoint.Server] = s
	} else if endpoint.State != Serving {
		endpoint.StartedAt = s.StartedAt
	}
	restarted := isNew || endpoint.StartedAt != s.StartedAt
	s.Endpoint = endpoint
	s.listed = endpoint.State != Removed
	if restarted {
		b.resetServer(s)
	}
}

// resetServer drops what a restart made void. The slow-start allowance begins at a random part of one send: the proxies
// must not all send their first at once.
func (b *Balancer) resetServer(s *server) {
	s.filter = bloom.Filter{}
	s.minLatency, s.processingTime, s.lastSample, s.samples = 0, 0, 0, 0
	s.meanLoad = s.inFlight
	s.promisedHitRate = 1
	s.consecutiveFailures, s.backoffUntil, s.lastHealthFailure = 0, 0, 0
	s.slowStartTokens = b.rng.Float64()
	s.gate = admissionGate{}
	s.suspicions = make([]outlier.Suspicion, len(b.failureRates))
}

// rotateFilters lets filters forget keys that have not been used lately, and forgets servers that are gone for good:
// where names are ever new, the map would grow with each server replaced.
func (b *Balancer) rotateFilters() {
	for name, s := range b.servers {
		s.filter.Rotate()
		if !s.listed && s.inFlight == 0 && b.now-s.unlistedSince > maintenancePeriod {
			delete(b.servers, name)
		}
	}
}

// closeIdleConnections closes connections that are seldom used: servers accept few, and other proxies need them.
func (b *Balancer) closeIdleConnections() {
	for _, s := range b.serving {
		if s.inFlight == 0 && s.lastSend > 0 && b.now-s.lastSend > maintenancePeriod/2 {
			s.lastSend = 0
			b.emit(Action{Kind: CloseIdle, Server: s.Server})
		}
	}
}
