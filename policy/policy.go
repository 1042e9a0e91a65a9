// The interface of this package (settings, events, actions) is in api.go;
// this file holds every decision.

package policy

import (
	"math"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"mulleinpier/internal/bloom"
	"mulleinpier/internal/outlier"
)

const (
	// A cache keeps an unused key for some seconds; a record that forgets in
	// two periods names about what is still there.
	filterRotationPeriod = 6 * time.Second
	// Servers considered for a key: the first by rendezvous hash, besides all
	// that a record names. More scatter copies where many proxies see little each.
	rendezvousCandidates = 4
	// Estimates fade into the fleet's mean in about this time without a sample.
	estimateDecayTime     = 8 * time.Second
	latencySampleWeight   = 0.2 // of a latency among the last ten or so
	loadSampleWeight      = 0.05
	baselineSampleWeight  = 0.002                 // of a miss's extra time in what it is at rest
	baselineTolerance     = 1.3                   // of it is no queue yet
	originQueueCostFactor = 3.0                   // what a fetch that joins a queue costs all that come behind it
	retryTokensPerSuccess = 0.1                   // retries a success earns: they multiply an overload
	maxRetryTokens        = 10.0                  // retries saved up at most
	slowStartMargin       = 1.4                   // of a cold server's due share: the warm ones overflow first where most are cold
	maxSlowStartTokens    = 2.0                   // sends that an unused cold allowance may grow to
	serverWaitInterval    = 25 * time.Millisecond // well under any aim, well over a tick
	admissionDecayTime    = 2 * time.Second
	admissionMinRetention = 0.95 // of it at each count: a fleet's gate sees twenty events, however few the requests
	admissionPrior        = 1.25 // good ends assumed besides what was seen: few, or a proxy of few requests never shuts
	serverAdmissionPrior  = 5    // one server's counts are small, and chance must not shut it
	admissionSlack        = 1.1
	recoveryBoost         = 6.0  // more of it when all comes in time: open again within seconds
	minAdmitShare         = 0.03 // always passes, to see a recovery
	maxExpectedShare      = 0.8  // of a client's wait that its answer may be expected to take
	maxObjectiveShare     = 0.5  // and of its aim: times scatter round what is expected
	minSamples            = 5    // answers after which what is expected of a server counts against a request
	hedgeLatencyMultiple  = 5.0  // the expected time without an answer: it is lost rather than late
	minHedgeDelayShare    = 0.2  // of the aim: anything sooner may be a short pause
	maxHedgeDelayShare    = 0.6  // of the aim: anything later is too late for a second copy
	slowHitMultiple       = 3.0  // the expected time of a hit: a well server takes longer for few
	maxShelterFetchShare  = 0.25 // of fetches at the most, where only what is known is served
	weightBuckets         = 16
	weightRetention       = 0.995 // of the values seen, at each: some two hundred
	quotaBurstSeconds     = 1.0   // seconds of a quota that may come at once
	chanceProbability     = 0.01  // of what is taken for no accident
	zonalHomeMissShare    = 0.22  // of reads miss more at a home that only its own zone asks: counted in calm
	minServerBackoff      = 250 * time.Millisecond
	maxServerBackoff      = 4 * time.Second
	firstSubscribeBackoff = 1600 * time.Millisecond // of a first loss: what a silent watch misses counts as told 6 s later
	maxSubscribeBackoff   = 2 * time.Second         // of further ones: half as much again and a call of 3 s stay under those 6 s
)

// server is what this balancer knows of one cache server.
type server struct {
	Endpoint
	nameHash            uint64
	listed              bool
	filter              bloom.Filter
	inFlight            float64             // own attempts out
	abandoned           float64             // own attempts given up whose work may go on, fading
	abandonedAt         time.Duration       // time of given
	meanLoad            float64             // its smoothed value
	minLatency          float64             // RTT-SW: fastest recent answer, seconds
	processingTime      float64             // smoothed latency above that, seconds
	promisedHitRate     float64             // share of hits when the record promised one
	lastSample          time.Duration       // time of the last sample
	samples             int                 // that were measured since its start
	consecutiveFailures int                 // in a row
	lastFailure         time.Duration       // time of the last of them
	lastHealthFailure   time.Duration       // time of the last failure that counted for its health
	backoffUntil        time.Duration       // not to be chosen before, if others are left
	suspicions          []outlier.Suspicion // by class
	lastResponse        time.Duration       // time of the last answer of any kind
	unlistedSince       time.Duration       // time at which the list dropped it
	slowStartTokens     float64             // sends a cold server may get
	gate                admissionGate
	lastSend            time.Duration // last send over a connection that is still open
}

// admissionGate counts what was asked, what ended and what came in time, all fading.
type admissionGate struct {
	offered, completed, inTime float64
	updated                    time.Duration
	minRetention               float64 // of the memory at least, at each count
}

func (g *admissionGate) observe(now time.Duration, asked, ended, good float64) {
	fade := max(math.Exp(-float64(now-g.updated)/float64(admissionDecayTime)), g.minRetention)
	g.offered, g.completed, g.inTime, g.updated = g.offered*fade+asked, g.completed*fade+ended, g.inTime*fade+good, now
}

// admitShare is the share to let pass: gateSlack times what comes in time, since
// clients that ask again keep a queue full of work that nobody waits for; more
// when nearly all that is sent comes in time, as the queue is empty again.
func (g *admissionGate) admitShare(prior float64) float64 {
	return max(minAdmitShare, min(1, admissionSlack*(1+recoveryBoost*g.inTimeMargin(prior))*(g.inTime+prior)/(g.offered+prior)))
}

// inTimeMargin is 1 when all that ended came in time, and 0 when less than four in five did.
func (g *admissionGate) inTimeMargin(prior float64) float64 {
	return max(0, 5*(g.inTime+prior)/(g.completed+prior)-4)
}

// unlikelyByChance tells whether so many connections in a row would seldom end by chance,
// as often as they end at all servers together. A server must not be set aside,
// and its keys with it, for what befalls all: networks that reset, or drop what
// is idle. It should cover proxies and nodes short of descriptors as well. It
// might hurt where most of a fleet dies at once: the first failures at each are
// then taken for the network's, and cost a retry each.
func (b *Balancer) unlikelyByChance(fails int) bool {
	b.connectionFailures.Observe(b.now, 0, 0)
	return math.Pow(b.connectionFailures.Failures/(b.connectionFailures.Attempts+1), float64(fails)) < chanceProbability
}

type attempt struct {
	server         *server
	sentAt         time.Duration
	done           bool
	mayHaveRun     bool
	expectedHit    bool          // the server's record named the key
	hedgeAt        time.Duration // without an answer until then, a second copy may be sent
	slowAt         time.Duration // and until then, its server is slow even if it answers others
	healthRecorded bool          // counted for its server's health
	spannedPause   bool          // the proxy stood still while it was out
}

type request struct {
	Arrival
	arrivedAt       time.Duration
	class           *Class
	keyHash         uint64
	filterPositions bloom.Positions
	settings        *Settings // in force when it came; it ends under them
	cacheable       bool      // has a key whose copies count
	overQuota       bool      // its tenant's share
	ended           bool
	streaming       bool
	served          bool
	spannedPause    bool // the proxy stood still while it was open
	openAttempts    int
	attempts        []attempt
}

// Balancer decides for one proxy. It is not safe for concurrent use.
type Balancer struct {
	settings               *Settings // in force for what comes now
	rng                    *rand.Rand
	now                    time.Duration
	actions                []Action
	servers                map[string]*server
	serving                []*server // all listed, in order of name
	requests               map[uint64]*request
	lastFilterRotation     time.Duration
	listReceived           bool
	subscribeFailures      int
	subscribing            bool    // a list call is out or subscribed
	missPenalty            float64 // smoothed extra time of a miss, seconds
	baselineMissPenalty    float64 // the least of it lately
	processingTime         float64 // fleet means of server's fields
	minLatency             float64
	retryTokens            float64
	processingTimeByKind   []float64 // smoothed work by kind of machine
	rendezvousWeightByKind []float64 // of each kind in the rendezvous
	// The gates of sends that a record promises a hit, and of the others: a full
	// origin must not close the way to what the caches hold.
	gates               map[bool]*admissionGate
	weightHistograms    map[bool]*weightHistogram // of what comes to each
	handoverGate        admissionGate             // of keyed requests, at all servers
	quotas              []tokenBucket             // by tenant
	failureRates        []outlier.FailureRate     // of all servers, by class
	healthyFailureRates []outlier.FailureRate     // of what succeeded, and of failures that a success followed at the same server
	zoneSuspicions      []outlier.Suspicion       // of not being reached
	level               DegradationLevel
	counters            Counters            // since it was last asked for
	connectionFailures  outlier.FailureRate // of attempts at all servers, failed where their connection ended
	zonalHomes          bool                // keys have a home in each zone
}

// The kinds of timers, in the low bits of a token; the rest is a request's ID.
const (
	timerSubscribe = iota
	timerDeadline
	timerWaitForServer
	timerHedge
)

// New returns a Balancer for one proxy, or an error that names the setting
// which cannot be meant.
func New(set Settings, seed uint64) (*Balancer, error) {
	if err := set.validate(); err != nil {
		return nil, err
	}
	return &Balancer{settings: &set, processingTimeByKind: slices.Repeat([]float64{0.05}, len(set.MachineKinds)),
		rendezvousWeightByKind: slices.Repeat([]float64{1}, len(set.MachineKinds)), rng: rand.New(rand.NewPCG(seed, 1)),
		servers: make(map[string]*server), requests: make(map[uint64]*request), retryTokens: maxRetryTokens,
		missPenalty: 0.1, baselineMissPenalty: 0.1, processingTime: 0.05, minLatency: 0.001, failureRates: make([]outlier.FailureRate, len(set.Classes)),
		healthyFailureRates: make([]outlier.FailureRate, len(set.Classes)), zoneSuspicions: make([]outlier.Suspicion, len(set.Zones)),
		weightHistograms: map[bool]*weightHistogram{true: {}, false: {}},
		handoverGate:     admissionGate{minRetention: admissionMinRetention},
		gates:            map[bool]*admissionGate{true: {minRetention: admissionMinRetention}, false: {minRetention: admissionMinRetention}}}, nil
}

// Handle takes one event at time now and appends what is to be done to out.
func (b *Balancer) Handle(now time.Duration, event Event, out []Action) []Action {
	b.now, b.actions = now, out
	for b.now-b.lastFilterRotation >= filterRotationPeriod {
		b.lastFilterRotation = max(b.lastFilterRotation+filterRotationPeriod, b.now-filterRotationPeriod)
		for name, s := range b.servers {
			s.filter.Rotate()
			// Where ids are ever new, the map would grow with each server replaced.
			if !s.listed && s.inFlight == 0 && b.now-s.unlistedSince > filterRotationPeriod {
				delete(b.servers, name)
			}
		}
		for i := range b.processingTimeByKind { // seldom, as each change moves keys
			b.rendezvousWeightByKind[i] = b.processingTime / max(b.processingTimeByKind[i], b.processingTime/8)
		}
		for _, s := range b.serving { // connection tables are small: leave a seldom used place to others
			if s.inFlight == 0 && s.lastSend > 0 && b.now-s.lastSend > filterRotationPeriod/2 {
				s.lastSend = 0
				b.emit(Action{Kind: CloseIdle, Server: s.Server})
			}
		}
	}
	switch e := event.(type) {
	case EndpointUpdate:
		b.updateEndpoints(e)
	case Arrival:
		b.handleArrival(e)
	case StreamStarted:
		if r := b.requests[e.ID]; r != nil {
			r.streaming = true
		}
	case Outcome:
		b.handleOutcome(e)
	case ClientLeft:
		if r := b.requests[e.ID]; r != nil {
			b.endRequest(r)
		}
	case TimerFired:
		b.handleTimer(e)
	case ProcessPaused:
		b.handlePause(e.Duration)
	case LevelChange:
		b.level = e.Level
	}
	return b.actions
}

// TakeCounters returns what has been counted since it was last asked for.
func (b *Balancer) TakeCounters() Counters {
	seen := b.counters
	b.counters = Counters{}
	for _, s := range b.servers {
		if s.listed {
			seen.Servers++
			if s.State == Serving && s.backoffUntil > b.now {
				seen.Ejected++
			}
		}
	}
	return seen
}

// AdmissionShares returns the share of requests that pass now: of those that a record names, and of others.
func (b *Balancer) AdmissionShares() (known, other float64) {
	return b.gates[true].admitShare(admissionPrior), b.gates[false].admitShare(admissionPrior)
}

func (b *Balancer) emit(a Action) { b.actions = append(b.actions, a) }

func (b *Balancer) setTimer(kind int, id uint64, after time.Duration) {
	b.emit(Action{Kind: SetTimer, Token: id<<2 | uint64(kind), After: after})
}

// updateEndpoints applies news of the list and keeps one subscription alive.
func (b *Balancer) updateEndpoints(u EndpointUpdate) {
	switch {
	case !b.settings.EndpointsOnRequest:
	case !b.listReceived: // all proxies start at once, and the registry is small
		b.setTimer(timerSubscribe, 0, b.jitter(b.settings.Rules.MaxPollInterval/4))
	case u.Kind == EndpointsUnavailable:
		b.subscribing, b.subscribeFailures = false, min(b.subscribeFailures+1, 3)
		most := maxSubscribeBackoff
		if b.subscribeFailures == 1 {
			most = firstSubscribeBackoff
		}
		pause := min(b.settings.Rules.MaxPollInterval/8<<b.subscribeFailures, most)
		b.setTimer(timerSubscribe, 0, b.jitter(pause))
		return
	default:
		b.subscribeFailures = 0
	}
	b.listReceived = true
	if u.Kind == EndpointsFull || u.Kind == EndpointsCached {
		for _, s := range b.servers {
			s.listed = false
		}
	}
	for _, m := range u.Endpoints {
		b.updateEndpoint(m)
	}
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
	b.zonalHomes = b.prefersZonalHomes()
}

// prefersZonalHomes tells whether keys have a home in each zone rather than one in all. One home keeps the
// fetches fewest, but a proxy of a large fleet has connections to few servers, and most requests
// cost a handshake and a crossing then; homes in its own zone it reaches over those it has. It
// might hurt where clients' zones are very unequal: the estimate then takes them to other zones.
func (b *Balancer) prefersZonalHomes() bool {
	zones := float64(len(b.settings.Zones))
	if zones < 2 || b.settings.ConnectionsPerServer <= 0 {
		return false
	}
	saved := b.settings.Costs.Handshake*max(0, 1-b.settings.ConnectionsPerServer) + b.settings.Costs.CrossZone*(1-1/zones)
	return saved > b.settings.Costs.OriginFetch*zonalHomeMissShare
}

func (b *Balancer) updateEndpoint(m Endpoint) {
	s := b.servers[m.Server]
	fresh := s == nil
	if fresh {
		s = &server{nameHash: bloom.Hash(m.Server)}
		b.servers[m.Server] = s
	} else if m.State != Serving {
		m.StartedAt = s.StartedAt
	}
	fresh = fresh || m.StartedAt != s.StartedAt
	s.Endpoint, s.listed = m, m.State != Removed
	if fresh {
		b.resetServer(s)
	}
}

// resetServer empties what a restart made void. The cold allowance starts at a part of one send, by
// chance: the proxies must not all send their first at once.
func (b *Balancer) resetServer(s *server) {
	s.filter = bloom.Filter{}
	s.minLatency, s.processingTime, s.meanLoad, s.promisedHitRate, s.consecutiveFailures, s.backoffUntil, s.lastSample, s.samples = 0, 0, s.inFlight, 1, 0, 0, 0, 0
	s.lastHealthFailure = 0
	s.slowStartTokens, s.gate = b.rng.Float64(), admissionGate{}
	s.suspicions = make([]outlier.Suspicion, len(b.failureRates))
}

func (b *Balancer) jitter(d time.Duration) time.Duration {
	return d/2 + time.Duration(b.rng.Float64()*float64(d))
}

// capacityShare is the share of its capacity that a server has at least.
func (b *Balancer) capacityShare(s *server) float64 {
	age, ramp := b.now-s.StartedAt, b.settings.Rules.SlowStartWindow
	if s.StartedAt <= 0 || age >= ramp {
		return 1
	}
	share := b.settings.Rules.SlowStartShare
	return share + (1-share)*max(float64(age), 0)/float64(ramp)
}

func (b *Balancer) handleArrival(a Arrival) {
	if b.requests[a.ID] != nil {
		return
	}
	a.Class = max(min(a.Class, len(b.settings.Classes)-1), 0)
	r := &request{Arrival: a, arrivedAt: b.now, settings: b.settings, class: &b.settings.Classes[a.Class]}
	b.requests[a.ID] = r
	// A write leaves no copy and needs none: it goes where it is soonest done.
	if r.cacheable = a.Key != "" && !a.Write; r.cacheable {
		r.keyHash = bloom.Hash(a.Key)
	} else {
		r.keyHash = b.rng.Uint64()
	}
	r.filterPositions = bloom.PositionsOf(r.keyHash)
	r.overQuota = b.chargeQuota(r)
	b.grantSlowStartTokens()
	b.setTimer(timerDeadline, a.ID, a.Deadline-b.now-2*b.settings.EventInterval)
	b.admitAndSend(r)
}

// grantSlowStartTokens lets each cold server have its due share of a request: its warmth over
// the fleet's. Every proxy doing so, no cold server gets more of its present
// capacity than the fleet as a whole.
func (b *Balancer) grantSlowStartTokens() {
	sum, cold := 0.0, false
	for _, s := range b.serving {
		w := b.capacityShare(s)
		sum, cold = sum+w, cold || w < 1
	}
	for i := 0; cold && i < len(b.serving); i++ {
		s, part := b.serving[i], 1.0
		if b.zonalHomes { // its own zone's proxies grant it all, and not too much where all clients come to one zone
			if part = 0; s.Zone == b.settings.Zone {
				part = min(float64(len(b.settings.Zones)), max(1, b.settings.Rules.OverloadMultiple/slowStartMargin))
			}
		}
		s.slowStartTokens = min(s.slowStartTokens+slowStartMargin*part*b.capacityShare(s)/sum, maxSlowStartTokens)
	}
}

// may is the one check of the rules before a send; s is nil for a refusal.
func (b *Balancer) may(r *request, s *server) bool {
	if r.ended || r.streaming {
		return false
	}
	if s != nil && (!r.canRunOn(s) || r.openAttempts > 0 && !r.settings.Limits.AllowHedging || len(r.attempts) >= r.settings.Limits.MaxAttempts ||
		b.now >= r.Deadline) {
		return false
	}
	return b.repeatIsHarmless(r, s, -1)
}

// MaySend tells whether the first byte of an attempt may still be written at
// time now: it may have waited for a connection since it was decided.
func (b *Balancer) MaySend(now time.Duration, id uint64, number int) bool {
	r := b.requests[id]
	if r == nil || number < 0 || number >= len(r.attempts) {
		return false
	}
	b.now = now
	a := &r.attempts[number]
	return !a.done && !r.ended && !r.streaming && now < r.Deadline && a.server.listed && a.server.State == Serving &&
		r.canRunOn(a.server) && b.repeatIsHarmless(r, a.server, number)
}

// canRunOn tells whether a server can keep what the request's class promises: a client
// may repeat a keyed request, here or at another proxy, and relies on its being
// dropped. So where nodes of both kinds are, not even the first try goes to one
// that drops none.
func (r *request) canRunOn(s *server) bool {
	return r.class.Idempotency != IdempotentWithKey || !s.NoDeduplication
}

// repeatIsHarmless tells whether a send to s, or with nil a refusal, is harmless after
// the attempts but number skip.
func (b *Balancer) repeatIsHarmless(r *request, s *server, skip int) bool {
	for i := range r.attempts {
		a := &r.attempts[i]
		if !a.mayHaveRun || r.class.Idempotency == Idempotent || i == skip {
			continue
		}
		switch {
		case r.class.Idempotency == NotIdempotent, s == nil: // busy would promise that a repeat is harmless, however late it comes
			return false
		case b.now >= a.sentAt+r.class.DedupWindow-r.settings.EventInterval, r.class.DedupScope == DedupScopeZone && s.Zone != a.server.Zone,
			r.class.DedupScope == DedupScopeCell && s.Cell != a.server.Cell:
			return false
		}
	}
	return true
}

// admitAndSend sends a request to the server of least expected response time.
func (b *Balancer) admitAndSend(r *request) {
	s, promise := b.chooseServer(r)
	if s == nil {
		if len(b.serving) > 0 && !slices.ContainsFunc(b.serving, r.canRunOn) {
			b.endUnserved(r, ReasonNoServer) // no wait brings a server that could keep its promise
			return
		}
		b.waitForServer(r)
		return
	}
	open := min(b.gates[promise].admitShare(admissionPrior), s.gate.admitShare(serverAdmissionPrior))
	b.counters.Offered++
	if !promise && r.class.Idempotency != IdempotentWithKey && b.may(r, nil) && b.rng.Float64() > b.fetchAdmitShare() {
		b.endUnserved(r, ReasonDegraded)
		return
	}
	hopeless := b.isUnattainable(r, s)
	if b.may(r, nil) && (hopeless || !b.passesGate(r, promise, open)) {
		b.counters.Rejected++
		reason := ReasonAdmission
		if hopeless {
			b.counters.DeadlineRejections++
			reason = ReasonUnattainable
		}
		// What is shed counts as asked: sends then settle at gateSlack times the good.
		s.gate.observe(b.now, 1, 0, 0)
		b.gates[promise].observe(b.now, 1, 0, 0)
		b.endUnserved(r, reason)
		return
	}
	b.send(r, s, promise, ReasonFirst)
	if at := r.attempts[len(r.attempts)-1].hedgeAt; r.settings.Limits.AllowHedging && r.class.Idempotency == Idempotent && at < r.Deadline {
		b.setTimer(timerHedge, r.ID, at-b.now)
	}
}

// passesGate tells whether a request passes a gate that lets an open share through: what
// is worth most does, and of what is worth as much at the edge some by chance. It meets
// overloads of every kind. It might hurt where a worth is wrong: so the least share
// passes by chance alone.
func (b *Balancer) passesGate(r *request, promise bool, open float64) bool {
	below, own, all := b.weightHistograms[promise].observe(b.priorityWeight(r))
	if open >= 1 || b.rng.Float64() < minAdmitShare || b.level >= LevelHandovers && r.class.Idempotency == IdempotentWithKey {
		return true
	}
	return b.rng.Float64()*own < below+own-(1-open)*all
}

// priorityWeight is what answering a request in time is worth: over its tenant's share little, and a
// repetition comes late for its client.
func (b *Balancer) priorityWeight(r *request) float64 {
	v := r.class.PriorityWeight
	if r.overQuota {
		v *= r.settings.OverQuotaFactor
	}
	if r.IsRetry {
		v *= r.class.LateWeightShare
	}
	return v
}

// weightHistogram counts values of requests by their size, fading.
type weightHistogram [weightBuckets]float64

// observe counts a value and returns how many were smaller, about as large, and all.
func (c *weightHistogram) observe(v float64) (below, own, all float64) {
	at := 0
	if v > 0 {
		at = max(0, min(weightBuckets-1, weightBuckets/2+int(math.Floor(2*math.Log2(v)))))
	}
	for i := range c {
		c[i] *= weightRetention
		if i < at {
			below += c[i]
		}
		all += c[i]
	}
	c[at]++
	return below, c[at], all + 1
}

// chargeQuota tells whether a request is over its tenant's share: each proxy grants its part
// of the quota, and a burst of what shareBurst brings.
func (b *Balancer) chargeQuota(r *request) bool {
	if r.Tenant < 0 || r.Tenant >= len(b.settings.Tenants) {
		return false
	}
	quota := b.settings.Tenants[r.Tenant].Quota / float64(max(b.settings.ProxyCount, 1))
	if quota <= 0 {
		return false
	}
	for len(b.quotas) < len(b.settings.Tenants) {
		b.quotas = append(b.quotas, tokenBucket{tokens: math.Inf(1)})
	}
	s := &b.quotas[r.Tenant]
	s.tokens = min(s.tokens+quota*(b.now-s.refilled).Seconds(), quota*quotaBurstSeconds)
	s.refilled = b.now
	if s.tokens < 1 {
		return true
	}
	s.tokens--
	return false
}

// tokenBucket is what a tenant has left of its quota.
type tokenBucket struct {
	tokens   float64
	refilled time.Duration
}

// fetchAdmitShare is the share of reads without a promise that the level of service lets through.
// They and keyed requests meet at the origin, and what is queued there makes both late: where
// handovers go first, only as many fetch as leave nearly all handovers in time. It meets an
// origin that has become slow. It might hurt where handovers are late for another reason.
func (b *Balancer) fetchAdmitShare() float64 {
	if b.level < LevelHandovers {
		return 1
	}
	b.handoverGate.observe(b.now, 0, 0, 0)
	clear := b.handoverGate.inTimeMargin(admissionPrior)
	if b.level >= LevelShelter {
		clear *= maxShelterFetchShare
	}
	return max(minAdmitShare, clear)
}

// isUnattainable tells whether s can hardly answer a request before its client gives up.
// It is turned away at once then: its work would go on unawaited, and clients that
// ask again for want of an answer fill the servers with such work. It meets
// overloads of every kind as soon as they show in the expected time, and clients
// that turn impatient while nodes are well. The time of a miss is left out, since
// a fetch that comes too late for one try fills the cache for the next. It might
// hurt where estimates are too high: so a server with nothing out gets one all the
// same, which corrects them, and one that has answered little is not judged by what is
// assumed of it.
func (b *Balancer) isUnattainable(r *request, s *server) bool {
	most := maxExpectedShare * (r.Deadline - b.now).Seconds()
	if b.level < LevelHandovers || r.class.Idempotency != IdempotentWithKey {
		most = min(most, maxObjectiveShare*r.class.LatencyObjective.Seconds())
	}
	return s.samples >= minSamples && s.inFlight > 0 && b.expectedHitTime(s) > most
}

// handleHedgeTimer sends a second copy of a read that has long had no answer. It meets
// answers that are lost and servers that have stalled or vanished, before the
// client's time is up. It might hurt under overload, when all is slow: so it
// is paid for like a retry and left where the gates shed.
func (b *Balancer) handleHedgeTimer(r *request) {
	a := &r.attempts[len(r.attempts)-1]
	switch {
	case r.openAttempts != 1 || a.done:
	case b.isSlow(a): // what is seen of a server counts now, not when its client has left
		b.recordHealth(a.server, a, r.Class, 1, 1)
	case a.slowAt < r.Deadline:
		b.setTimer(timerHedge, r.ID, a.slowAt-b.now)
	}
	if a.server.lastResponse > a.sentAt && b.faultProbability(a.server, r.Class) < ejectionProbability {
		return
	}
	if b.level >= LevelEconomy || r.openAttempts != 1 || b.retryTokens < 1 || b.gates[true].admitShare(admissionPrior) < 1 || b.gates[false].admitShare(admissionPrior) < 1 {
		return
	}
	if s, promise := b.chooseServer(r); promise && !wasTried(r, s) {
		b.retryTokens--
		b.send(r, s, promise, ReasonHedge)
	}
}

// isSlow tells whether an attempt without an answer tells against its server: one that has said nothing
// since is silent after a part of the aim, one that answers others only after far more than what
// is expected. Without the second, fetches that take as long as ever made busy servers sick
// wherever an aim is short.
func (b *Balancer) isSlow(a *attempt) bool {
	return b.now >= a.slowAt || b.now >= a.hedgeAt && a.server.lastResponse <= a.sentAt
}

// waitForServer keeps a request that has no server now until one may have come.
func (b *Balancer) waitForServer(r *request) {
	if r.Deadline-b.now <= 3*serverWaitInterval {
		b.endUnserved(r, ReasonNoServer)
		return
	}
	b.counters.WaitsForServer++
	b.setTimer(timerWaitForServer, r.ID, serverWaitInterval)
}

// endUnserved is the one place that ends a request unserved.
func (b *Balancer) endUnserved(r *request, reason Reason) {
	switch {
	case r.ended || r.streaming:
		return
	case b.may(r, nil):
		// A queue to be answered in time is gone within an aim. Clients turned
		// away together must not come back together.
		b.emit(Action{Kind: Reject, ID: r.ID, After: b.RetryAfter(r.Class), Reason: reason})
	default:
		b.emit(Action{Kind: Fail, ID: r.ID, Reason: reason})
	}
	b.endRequest(r)
}

// RetryAfter is when a refused request of a class is to come again: later the less service
// there is, and spread also where the longest advice bounds it.
func (b *Balancer) RetryAfter(class int) time.Duration {
	most := b.settings.Limits.MaxRetryAfter
	if class < 0 || class >= len(b.settings.Classes) {
		return b.jitter(most / 2)
	}
	mean := b.settings.Classes[class].LatencyObjective / 2 * time.Duration(2+b.level) / 2
	return min(b.jitter(min(mean, most*2/3)), most)
}

func (b *Balancer) send(r *request, s *server, promise bool, reason Reason) {
	expected, aim := b.expectedHitTime(s), r.class.LatencyObjective.Seconds()
	slow := slowHitMultiple * expected
	if !promise { // fetches scatter little beside queues
		expected, slow = expected+b.missPenalty, slow+b.missPenalty
	}
	after := min(max(hedgeLatencyMultiple*expected, minHedgeDelayShare*aim), maxHedgeDelayShare*aim)
	a := attempt{server: s, sentAt: b.now, mayHaveRun: true, expectedHit: promise, hedgeAt: b.now + time.Duration(after*float64(time.Second))}
	a.slowAt = max(a.hedgeAt, b.now+time.Duration(slow*float64(time.Second)))
	r.attempts = append(r.attempts, a)
	s.gate.observe(b.now, 1, 0, 0)
	b.gates[promise].observe(b.now, 1, 0, 0)
	r.openAttempts++
	s.inFlight++
	s.lastSend = b.now
	if b.capacityShare(s) < 1 {
		s.slowStartTokens--
	}
	b.emit(Action{Kind: Send, ID: r.ID, Server: s.Server, Reason: reason})
}

// chooseServer ranks the servers for a request by expected response time.
func (b *Balancer) chooseServer(r *request) (*server, bool) {
	for pass := range 2 { // suspicion must not empty the choice: the second pass passes over it
		var top [2][rendezvousCandidates]*server // the own zone's and others', or all in the first
		var ranks [2][rendezvousCandidates]float64
		var best *server
		var named bool
		least := math.Inf(1)
		score := func(s *server, miss float64) {
			// A price is a share of the worth, which is lost with the aim's time.
			t := b.expectedHitTime(s) + miss*(b.missCost()+b.settings.Costs.OriginFetch*r.class.LatencyObjective.Seconds()) +
				b.avoidanceCost(s, r.Class)*r.class.LatencyObjective.Seconds()
			if s.Zone != b.settings.Zone {
				t += b.settings.Costs.CrossZone * r.class.LatencyObjective.Seconds()
			}
			if b.zonalHomes && s.Zone != b.settings.Zone {
				t += b.settings.Costs.Handshake * r.class.LatencyObjective.Seconds()
			}
			if t < least {
				best, least, named = s, t, r.cacheable && miss < 1 && s.filter.Contains(&r.filterPositions)
			}
		}
		known := false
		for _, s := range b.serving {
			if pass == 0 && s.backoffUntil > b.now || b.capacityShare(s) < 1 && s.slowStartTokens < 1 || wasTried(r, s) && pass == 0 ||
				!b.may(r, s) {
				continue
			}
			if r.cacheable && s.filter.Contains(&r.filterPositions) {
				known = true
				score(s, 1-(1-s.filter.FalsePositiveRate())*s.promisedHitRate)
				continue
			}
			rank := b.rendezvousWeight(s) / -math.Log(bloom.UnitInterval(bloom.Mix(r.keyHash^s.nameHash)))
			away, depth := 0, rendezvousCandidates
			if b.zonalHomes {
				depth /= 2
				if s.Zone != b.settings.Zone {
					away = 1
				}
			}
			for i := range depth {
				if rank > ranks[away][i] {
					s, top[away][i], rank, ranks[away][i] = top[away][i], s, ranks[away][i], rank
				}
			}
		}
		for away := range top {
			for i, s := range top[away] {
				if s == nil {
					break
				}
				miss := 1.0
				if i == 0 && r.cacheable && !known {
					miss = s.filter.FalsePositiveRate()
					if ranks[away][0] < ranks[1-away][0] { // asked by its own zone alone
						miss += (1 - miss) * zonalHomeMissShare
					}
				}
				score(s, miss)
			}
		}
		if best != nil {
			return best, named
		}
	}
	return nil, false
}

// missCost is what a fetch costs in seconds, where keys have several homes: beyond what one takes at
// rest there is a queue at the origin, and each fetch more makes all behind it later. So
// requests go to the one home that all ask before the origin is full.
func (b *Balancer) missCost() float64 {
	if !b.zonalHomes {
		return b.missPenalty
	}
	return b.missPenalty + originQueueCostFactor*max(0, b.missPenalty-baselineTolerance*b.baselineMissPenalty)
}

// rendezvousWeight is a server's part in the rendezvous: its registered size, or how
// fast its kind of machine has been. Without it the slow kinds are always full,
// and what overflows from them loads the origin.
func (b *Balancer) rendezvousWeight(s *server) float64 {
	if b.settings.RegisteredWeights && s.Weight > 0 {
		return s.Weight
	}
	if s.MachineKind < len(b.rendezvousWeightByKind) {
		return b.rendezvousWeightByKind[s.MachineKind]
	}
	return 1
}

func wasTried(r *request, s *server) bool {
	return slices.ContainsFunc(r.attempts, func(a attempt) bool { return a.server == s })
}

// expectedHitTime is T-hit in seconds: the fastest answer, and the processing time
// scaled by current over smoothed load. An old estimate fades into the fleet's.
func (b *Balancer) expectedHitTime(s *server) float64 {
	fastest, work := b.minLatency, b.processingTime
	if s.lastSample > 0 {
		trust := math.Exp(-float64(b.now-s.lastSample) / float64(estimateDecayTime))
		work += (s.processingTime - work) * trust
		fastest = s.minLatency
	}
	return fastest + work*(b.currentLoad(s)+1)/(s.meanLoad+1)
}

// currentLoad counts what a server works at for this proxy: what is out, and what was
// given up: its work goes on for about as long as an answer would have taken.
func (b *Balancer) currentLoad(s *server) float64 {
	if s.abandoned > 0 {
		s.abandoned *= math.Exp(-(b.now - s.abandonedAt).Seconds() / max(s.minLatency+s.processingTime, b.minLatency+b.processingTime))
	}
	s.abandonedAt = b.now
	return s.inFlight + s.abandoned
}

func (b *Balancer) handleOutcome(e Outcome) {
	r := b.requests[e.ID]
	if r == nil || e.Attempt < 0 || e.Attempt >= len(r.attempts) || r.attempts[e.Attempt].done {
		return
	}
	a := &r.attempts[e.Attempt]
	a.done, a.mayHaveRun = true, MayHaveRun(e.Result)
	r.openAttempts--
	b.learnFromOutcome(r, a, e)
	if e.Final || r.ended {
		b.endRequest(r)
	} else if r.openAttempts == 0 {
		b.retryOrEnd(r, e)
	}
}

// MayHaveRun tells whether an attempt that ended so can have had an effect. A
// result not known here may have had one.
func MayHaveRun(r Result) bool {
	return r != Rejected && r != ConnectFailed && r != NotSent && r != NotFound && r != ConnectionLimitReached
}

// retryOrEnd decides what follows an attempt that served nothing.
func (b *Balancer) retryOrEnd(r *request, e Outcome) {
	// For a key, full and error mostly mean that its fetch failed: another server
	// would ask the same origin, and keep it from getting well.
	a := &r.attempts[e.Attempt]
	origin := r.Key != "" && (e.Result == Rejected || e.Result == Errored) &&
		b.faultProbability(a.server, r.Class) < ejectionProbability
	if b.now < r.Deadline-4*r.settings.EventInterval && !origin && b.payForRetry(r, e.Result) {
		if s, promise := b.chooseServer(r); s != nil {
			b.send(r, s, promise, ReasonRetry)
			return
		}
	}
	b.endUnserved(r, ReasonNoRetry)
}

// payForRetry tells whether one more attempt for a request may be made. It multiplies an
// overload, so it is paid for from what successes have earned once the gates shed.
// Until then the limit of attempts bounds it: networks that break more
// connections than a budget foresees must not fail requests that idle servers
// could answer, since their clients ask again all the same. Where service is reduced
// only what tells nothing of load is tried again so freely. It might hurt where
// failing takes a server more work than answering.
func (b *Balancer) payForRetry(r *request, result Result) bool {
	network := result == Reset || result == ConnectFailed || result == Malformed || result == ConnectionLimitReached
	if (b.level < LevelEconomy || network) && b.gates[true].admitShare(admissionPrior) == 1 && b.gates[false].admitShare(admissionPrior) == 1 {
		return true
	}
	kept := 0.0 // for keyed requests
	if b.level >= LevelHandovers && r.class.Idempotency != IdempotentWithKey {
		kept = maxRetryTokens / 4
	}
	if b.retryTokens < 1+kept {
		return false
	}
	b.retryTokens--
	return true
}

// endRequest drops a request once nothing of it is out.
func (b *Balancer) endRequest(r *request) {
	if !r.ended {
		b.countRequest(r)
	}
	if !r.ended && r.settings.Limits.AllowCancel {
		for i := range r.attempts {
			if !r.attempts[i].done {
				b.emit(Action{Kind: Cancel, ID: r.ID, Attempt: i})
			}
		}
	}
	r.ended = true
	if r.openAttempts == 0 {
		delete(b.requests, r.ID)
	}
}

// countRequest enters a request that ends among what is seen of all. One whose client left before
// the aim tells of its patience; one that was never sent, of the gates.
func (b *Balancer) countRequest(r *request) {
	late := 0
	if r.spannedPause {
		return
	}
	if early := b.now-r.arrivedAt <= r.class.LatencyObjective; !r.served && early && len(r.attempts) > 0 && r.openAttempts > 0 || len(r.attempts) == 0 {
		return
	} else if !r.served || !early {
		late = 1
	}
	if r.class.Idempotency == IdempotentWithKey {
		b.handoverGate.observe(b.now, 1, 1, float64(1-late))
		b.counters.Handovers, b.counters.LateHandovers = b.counters.Handovers+1, b.counters.LateHandovers+late
	} else {
		b.counters.Reads, b.counters.LateReads = b.counters.Reads+1, b.counters.LateReads+late
	}
}

// learnFromOutcome updates a server's estimates from an outcome.
func (b *Balancer) learnFromOutcome(r *request, a *attempt, e Outcome) {
	s := a.server
	if s.samples == 0 { // a load of none would make all that is out look slow
		s.meanLoad = max(s.meanLoad, b.currentLoad(s))
	}
	s.meanLoad += (b.currentLoad(s) - s.meanLoad) * loadSampleWeight
	s.inFlight--
	if e.Result == Cancelled || e.Result == TimedOut {
		s.abandoned++
	}
	if e.Result == NotSent { // its server has not heard of it, and tells nothing by that
		s.gate.observe(b.now, -1, 0, 0)
		b.gates[a.expectedHit].observe(b.now, -1, 0, 0)
		return
	}
	if a.sentAt < s.StartedAt {
		return // sent before its restart
	}
	if a.spannedPause {
		b.learnAcrossPause(r, s, e.Result)
		return
	}
	if e.Result != Cancelled && e.Result != TimedOut && e.Result != ConnectFailed {
		s.lastResponse = b.now
	}
	if r.Key != "" && !a.expectedHit && (e.CacheStatus == CacheMiss || e.CacheStatus == CacheMissCoalesced || r.Write && e.Result == Served) {
		b.counters.Fetches++
	} else if r.Key != "" && !a.expectedHit && (e.Result == Errored || e.Result == TimedOut) {
		b.counters.Fetches, b.counters.FailedFetches = b.counters.Fetches+1, b.counters.FailedFetches+1
	}
	good, failed, broken, sick := 0.0, 0.0, 0.0, false
	switch e.Result {
	case Served:
		s.consecutiveFailures, s.backoffUntil = 0, 0
		// A slow origin makes fetches late that nobody is worse off for; a queue at the
		// nodes, which what a record promised shows, makes all late.
		if b.now-r.arrivedAt <= r.class.LatencyObjective || b.level == LevelLate && r.cacheable && !a.expectedHit && b.gates[true].admitShare(admissionPrior) == 1 {
			good = 1
		}
		b.retryTokens = min(b.retryTokens+retryTokensPerSuccess, maxRetryTokens)
		r.served = true
		if r.cacheable {
			s.filter.Add(&r.filterPositions)
		}
		b.updateEstimates(s, a, e, r)
	case TimedOut:
		b.updateEstimates(s, a, e, r)
		s.consecutiveFailures++
		failed = 1
	case Errored, Rejected:
		failed, sick = 1, true
	case Malformed:
		failed = 1
	case Cancelled: // its time was up, or a second copy was faster
		if b.isSlow(a) {
			failed, sick = 1, true
		}
	case ConnectFailed, Reset:
		// One connection's end is one failure, whatever waited on it.
		if broken = 1; a.sentAt >= s.lastFailure {
			s.consecutiveFailures++
			s.lastFailure = b.now
			// Nor does it tell that the server has gone, as long as others come up.
			if (e.Result == ConnectFailed || s.consecutiveFailures > 1) && b.unlikelyByChance(s.consecutiveFailures) {
				s.backoffUntil = b.now + b.jitter(min(minServerBackoff<<min(s.consecutiveFailures, 8), maxServerBackoff))
			}
		}
		failed = 1
	case ConnectionLimitReached: // a well server that other proxies keep connections to
		s.backoffUntil = b.now + b.jitter(minServerBackoff)
	}
	if e.Result != Cancelled && e.Result != ConnectionLimitReached {
		b.connectionFailures.Observe(b.now, 1, broken)
	}
	if e.Result != ConnectionLimitReached && (e.Result != Cancelled || failed > 0) {
		unreached := 0.0
		if e.Result == ConnectFailed || e.Result == TimedOut || e.Result == Cancelled {
			unreached = failed
		}
		b.recordHealth(s, a, r.Class, failed, unreached)
	}
	// A client that gives up before the aim tells of its patience, not of load.
	// Gates that shut for it would turn away all that idle servers could answer.
	early := b.now-r.arrivedAt < r.class.LatencyObjective
	asked, ended := 0.0, 1.0
	if e.Result == ConnectFailed || e.Result == ConnectionLimitReached || e.Result == Reset || e.Result == Malformed || // tell nothing of load
		e.Result == Cancelled && (r.served || early) || // the other copy counts, or none
		sick && b.faultProbability(s, r.Class) >= ejectionProbability { // tells of the server alone
		asked, ended = -1, 0
	}
	s.gate.observe(b.now, asked, ended, good)
	b.gates[a.expectedHit].observe(b.now, asked, ended, good)
}

func (b *Balancer) updateEstimates(s *server, a *attempt, e Outcome, r *request) {
	took := e.Took.Seconds()
	miss := e.CacheStatus == CacheMiss || e.CacheStatus == CacheMissCoalesced
	if a.expectedHit && e.CacheStatus != CacheUnknown {
		hit := 0.0
		if e.CacheStatus == CacheHit {
			hit = 1
		}
		s.promisedHitRate += (hit - s.promisedHitRate) * loadSampleWeight
	}
	if miss || r.Write {
		if s.lastSample > 0 && r.class.LatencyObjective > 0 {
			b.counters.TimedFetches++
			b.counters.FetchTimeSum += max(took-s.minLatency-s.processingTime, 0) / r.class.LatencyObjective.Seconds()
		}
		if miss && s.lastSample > 0 {
			b.missPenalty += (max(took-s.minLatency-s.processingTime, 0) - b.missPenalty) * loadSampleWeight
			b.baselineMissPenalty = min(b.baselineMissPenalty+(b.missPenalty-b.baselineMissPenalty)*baselineSampleWeight, b.missPenalty)
		}
		return
	}
	if s.lastSample == 0 {
		s.minLatency, s.processingTime = took, b.processingTime
	}
	if took < s.minLatency {
		s.minLatency = took
	} else {
		s.minLatency += (took - s.minLatency) * 0.002
	}
	s.processingTime += (took - s.minLatency - s.processingTime) * latencySampleWeight
	b.processingTime += (took - s.minLatency - b.processingTime) * 0.01
	if s.MachineKind < len(b.processingTimeByKind) {
		b.processingTimeByKind[s.MachineKind] += (took - s.minLatency - b.processingTimeByKind[s.MachineKind]) * 0.02
	}
	b.minLatency += (s.minLatency - b.minLatency) * 0.01
	s.lastSample = b.now
	s.samples++
}

func (b *Balancer) handleTimer(t TimerFired) {
	if t.Token&3 == timerSubscribe {
		if !b.subscribing {
			b.subscribing = true
			b.emit(Action{Kind: Subscribe})
		}
		return
	}
	r := b.requests[t.Token>>2]
	if r == nil || r.ended {
		return
	}
	switch t.Token & 3 {
	case timerDeadline:
		b.endUnserved(r, ReasonDeadline)
	case timerHedge:
		b.handleHedgeTimer(r)
	default:
		if r.openAttempts == 0 {
			b.admitAndSend(r)
		}
	}
}
