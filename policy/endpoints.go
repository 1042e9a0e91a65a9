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
	filter        bloom.Filter // contains the keys that the server is assumed to hold

	// Connections and attempts of this proxy.
	inFlight    float64
	abandoned   float64 // decaying count of abandoned attempts that the server may still work on
	abandonedAt time.Duration
	lastSend    time.Duration // 0 after its idle connections were closed

	// Estimates: estimator.go.
	meanLoad       float64 // smoothed inFlight + abandoned
	minLatency     float64 // lowest recent latency, seconds
	processingTime float64 // smoothed latency above minLatency, seconds
	filterHitRate  float64 // share of hits among reads whose key the filter contained
	lastSample     time.Duration
	samples        int // answers measured since its start

	// Failures: outcome.go and outlier.go.
	consecutiveFailures int
	lastFailure         time.Duration       // time of the last failure of a connection
	lastHealthFailure   time.Duration       // time of the last failure that counted for its health, 0 after a success
	backoffUntil        time.Duration       // until then the server is chosen only if no other is available
	suspicions          []outlier.Suspicion // by class
	lastResponse        time.Duration       // time of the last response of any kind

	slowStartTokens float64 // sends that the server may get while it is warming up
	gate            admissionGate
}

// The backoff between calls for the endpoint list. The proxy is assumed to know a change 6 s after a broken
// subscription has missed it. The longest wait, which is 1.5 times maxSubscribeBackoff because of jitter, and a call of
// 3 s take no longer than that.
const (
	firstSubscribeBackoff = 1600 * time.Millisecond // after the first failure
	maxSubscribeBackoff   = 2 * time.Second         // after further consecutive failures

	maxSubscribeDoublings = 3
)

// updateEndpoints applies an update of the endpoint list and, with Settings.EndpointsOnRequest, keeps one subscription
// open.
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

// scheduleSubscribe sets a timer for the next call for the list if one is needed, and reports whether the update has
// endpoints to apply.
func (b *Balancer) scheduleSubscribe(kind EndpointUpdateKind) bool {
	poll := b.settings.Rules.MaxPollInterval
	switch {
	case !b.listReceived: // spread the calls: all proxies start at the same time, and the registry is small
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

// rebuildServing rebuilds the list of serving servers. It is sorted by name so that decisions do not depend on the
// order of a map.
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

// resetServer discards the estimates of a server that is new or has restarted. Its slow-start allowance begins at a
// random fraction of one send, so that the proxies do not all send their first request to it at the same time.
func (b *Balancer) resetServer(s *server) {
	s.filter = bloom.Filter{}
	s.minLatency, s.processingTime, s.lastSample, s.samples = 0, 0, 0, 0
	s.meanLoad = s.inFlight
	s.filterHitRate = 1
	s.consecutiveFailures, s.backoffUntil, s.lastHealthFailure = 0, 0, 0
	s.slowStartTokens = b.rng.Float64()
	s.gate = admissionGate{}
	s.suspicions = make([]outlier.Suspicion, len(b.failureRates))
}

// rotateFilters makes filters forget keys that were not used recently. It also deletes servers that have not been
// listed for longer than a maintenancePeriod and have nothing in flight: if each replacement has a new name, the map
// would grow with every server replaced.
func (b *Balancer) rotateFilters() {
	for name, s := range b.servers {
		s.filter.Rotate()
		if !s.listed && s.inFlight == 0 && b.now-s.unlistedSince > maintenancePeriod {
			delete(b.servers, name)
		}
	}
}

// closeIdleConnections closes the connections to servers that got no request for half a maintenancePeriod, because
// servers accept few connections and other proxies need them.
func (b *Balancer) closeIdleConnections() {
	for _, s := range b.serving {
		if s.inFlight == 0 && s.lastSend > 0 && b.now-s.lastSend > maintenancePeriod/2 {
			s.lastSend = 0
			b.emit(Action{Kind: CloseIdle, Server: s.Server})
		}
	}
}
