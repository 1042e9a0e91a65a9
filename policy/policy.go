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
	recordPeriod = 6 * time.Second
	// Servers considered for a key: the first by rendezvous hash, besides all
	// that a record names. More scatter copies where many proxies see little each.
	rendezvousDepth = 4
	// Estimates fade into the fleet's mean in about this time without a sample.
	estimateAge  = 8 * time.Second
	sampleWeight = 0.2 // of a latency among the last ten or so
	loadWeight   = 0.05
	calmWeight   = 0.002                 // of a miss's extra time in what it is at rest
	calmSlack    = 1.3                   // of it is no queue yet
	queueWeight  = 3.0                   // what a fetch that joins a queue costs all that come behind it
	retryShare   = 0.1                   // retries a success earns: they multiply an overload
	retryCap     = 10.0                  // retries saved up at most
	coldMargin   = 1.4                   // of a cold server's due share: the warm ones overflow first where most are cold
	coldSaved    = 2.0                   // sends that an unused cold allowance may grow to
	holdPause    = 25 * time.Millisecond // well under any aim, well over a tick
	gateMemory   = 2 * time.Second
	gateKeep     = 0.95 // of it at each count: a fleet's gate sees twenty events, however few the requests
	gatePrior    = 1.25 // good ends assumed besides what was seen: few, or a proxy of few requests never shuts
	serverPrior  = 5    // one server's counts are small, and chance must not shut it
	gateSlack    = 1.1
	gateHaste    = 6.0  // more of it when all comes in time: open again within seconds
	gateLeast    = 0.03 // always passes, to see a recovery
	hopeShare    = 0.8  // of a client's wait that its answer may be expected to take
	aimShare     = 0.5  // and of its aim: times scatter round what is expected
	settled      = 5    // answers after which what is expected of a server counts against a request
	overdueTimes = 5.0  // the expected time without an answer: it is lost rather than late
	overdueLeast = 0.2  // of the aim: anything sooner may be a short pause
	overdueMost  = 0.6  // of the aim: anything later is too late for a second copy
	slowTimes    = 3.0  // the expected time of a hit: a well server takes longer for few
	shelterShare = 0.25 // of fetches at the most, where only what is known is served
	rankSteps    = 16
	rankKeep     = 0.995 // of the values seen, at each: some two hundred
	shareBurst   = 1.0   // seconds of a quota that may come at once
	chance       = 0.01  // of what is taken for no accident
	zoneMiss     = 0.22  // of reads miss more at a home that only its own zone asks: counted in calm
	backoffFirst = 250 * time.Millisecond
	backoffMost  = 4 * time.Second
	lostPause    = 1600 * time.Millisecond // of a first loss: what a silent watch misses counts as told 6 s later
	lostPauseMax = 2 * time.Second         // of further ones: half as much again and a call of 3 s stay under those 6 s
)

// server is what this balancer knows of one cache server.
type server struct {
	Endpoint
	hash     uint64
	listed   bool
	record   bloom.Filter
	inFlight float64             // own attempts out
	given    float64             // own attempts given up whose work may go on, fading
	faded    time.Duration       // time of given
	load     float64             // its smoothed value
	fastest  float64             // RTT-SW: fastest recent answer, seconds
	work     float64             // smoothed latency above that, seconds
	worth    float64             // share of hits when the record promised one
	sampled  time.Duration       // time of the last sample
	answers  int                 // that were measured since its start
	fails    int                 // in a row
	failed   time.Duration       // time of the last of them
	blamed   time.Duration       // time of the last failure that counted for its health
	until    time.Duration       // not to be chosen before, if others are left
	health   []outlier.Suspicion // by class
	heard    time.Duration       // time of the last answer of any kind
	unlisted time.Duration       // time at which the list dropped it
	credit   float64             // sends a cold server may get
	gate     gate
	used     time.Duration // last send over a connection that is still open
}

// gate counts what was asked, what ended and what came in time, all fading.
type gate struct {
	asked, ended, good float64
	at                 time.Duration
	keep               float64 // of the memory at least, at each count
}

func (g *gate) count(now time.Duration, asked, ended, good float64) {
	fade := max(math.Exp(-float64(now-g.at)/float64(gateMemory)), g.keep)
	g.asked, g.ended, g.good, g.at = g.asked*fade+asked, g.ended*fade+ended, g.good*fade+good, now
}

// open is the share to let pass: gateSlack times what comes in time, since
// clients that ask again keep a queue full of work that nobody waits for; more
// when nearly all that is sent comes in time, as the queue is empty again.
func (g *gate) open(prior float64) float64 {
	return max(gateLeast, min(1, gateSlack*(1+gateHaste*g.clear(prior))*(g.good+prior)/(g.asked+prior)))
}

// clear is 1 when all that ended came in time, and 0 when less than four in five did.
func (g *gate) clear(prior float64) float64 { return max(0, 5*(g.good+prior)/(g.ended+prior)-4) }

// rare tells whether so many connections in a row would seldom end by chance,
// as often as they end at all servers together. A server must not be set aside,
// and its keys with it, for what befalls all: networks that reset, or drop what
// is idle. It should cover proxies and nodes short of descriptors as well. It
// might hurt where most of a fleet dies at once: the first failures at each are
// then taken for the network's, and cost a retry each.
func (b *Balancer) rare(fails int) bool {
	b.ends.Observe(b.now, 0, 0)
	return math.Pow(b.ends.Failures/(b.ends.Attempts+1), float64(fails)) < chance
}

type attempt struct {
	server  *server
	sent    time.Duration
	done    bool
	mayRun  bool
	promise bool          // the server's record named the key
	copied  time.Duration // without an answer until then, a second copy may be sent
	overdue time.Duration // and until then, its server is slow even if it answers others
	judged  bool          // counted for its server's health
	stood   bool          // the proxy stood still while it was out
}

type request struct {
	Arrival
	arrived  time.Duration
	class    *Class
	hash     uint64
	at       bloom.Positions
	set      *Settings // in force when it came; it ends under them
	keyed    bool      // has a key whose copies count
	over     bool      // its tenant's share
	ended    bool
	stream   bool
	served   bool
	stood    bool // the proxy stood still while it was open
	open     int
	attempts []attempt
}

// Balancer decides for one proxy. It is not safe for concurrent use.
type Balancer struct {
	set      *Settings // in force for what comes now
	rng      *rand.Rand
	now      time.Duration
	out      []Action
	servers  map[string]*server
	list     []*server // all listed, in order of name
	requests map[uint64]*request
	turned   time.Duration
	begun    bool
	lostN    int
	asking   bool    // a list call is out or subscribed
	origin   float64 // smoothed extra time of a miss, seconds
	calm     float64 // the least of it lately
	work     float64 // fleet means of server's fields
	fastest  float64
	retries  float64
	kinds    []float64 // smoothed work by kind of machine
	weights  []float64 // of each kind in the rendezvous
	// The gates of sends that a record promises a hit, and of the others: a full
	// origin must not close the way to what the caches hold.
	gates  map[bool]*gate
	ranks  map[bool]*ranks       // of what comes to each
	keyed  gate                  // of keyed requests, at all servers
	shares []share               // by tenant
	health []outlier.FailureRate // of all servers, by class
	well   []outlier.FailureRate // of what succeeded, and of failures that a success followed at the same server
	zones  []outlier.Suspicion   // of not being reached
	level  DegradationLevel
	seen   Counters            // since it was last asked for
	ends   outlier.FailureRate // of attempts at all servers, failed where their connection ended
	near   bool                // keys have a home in each zone
}

// The kinds of timers, in the low bits of a token; the rest is a request's ID.
const (
	timerList = iota
	timerDeadline
	timerWait
	timerHedge
)

// New returns a Balancer for one proxy, or an error that names the setting
// which cannot be meant.
func New(set Settings, seed uint64) (*Balancer, error) {
	if err := set.check(); err != nil {
		return nil, err
	}
	return &Balancer{set: &set, kinds: slices.Repeat([]float64{0.05}, len(set.MachineKinds)),
		weights: slices.Repeat([]float64{1}, len(set.MachineKinds)), rng: rand.New(rand.NewPCG(seed, 1)),
		servers: make(map[string]*server), requests: make(map[uint64]*request), retries: retryCap,
		origin: 0.1, calm: 0.1, work: 0.05, fastest: 0.001, health: make([]outlier.FailureRate, len(set.Classes)),
		well: make([]outlier.FailureRate, len(set.Classes)), zones: make([]outlier.Suspicion, len(set.Zones)),
		ranks: map[bool]*ranks{true: {}, false: {}},
		keyed: gate{keep: gateKeep},
		gates: map[bool]*gate{true: {keep: gateKeep}, false: {keep: gateKeep}}}, nil
}

// Handle takes one event at time now and appends what is to be done to out.
func (b *Balancer) Handle(now time.Duration, event Event, out []Action) []Action {
	b.now, b.out = now, out
	for b.now-b.turned >= recordPeriod {
		b.turned = max(b.turned+recordPeriod, b.now-recordPeriod)
		for name, s := range b.servers {
			s.record.Rotate()
			// Where ids are ever new, the map would grow with each server replaced.
			if !s.listed && s.inFlight == 0 && b.now-s.unlisted > recordPeriod {
				delete(b.servers, name)
			}
		}
		for i := range b.kinds { // seldom, as each change moves keys
			b.weights[i] = b.work / max(b.kinds[i], b.work/8)
		}
		for _, s := range b.list { // connection tables are small: leave a seldom used place to others
			if s.inFlight == 0 && s.used > 0 && b.now-s.used > recordPeriod/2 {
				s.used = 0
				b.do(Action{Kind: CloseIdle, Server: s.Server})
			}
		}
	}
	switch e := event.(type) {
	case EndpointUpdate:
		b.update(e)
	case Arrival:
		b.arrive(e)
	case StreamStarted:
		if r := b.requests[e.ID]; r != nil {
			r.stream = true
		}
	case Outcome:
		b.outcome(e)
	case ClientLeft:
		if r := b.requests[e.ID]; r != nil {
			b.end(r)
		}
	case TimerFired:
		b.timer(e)
	case ProcessPaused:
		b.stood(e.Duration)
	case LevelChange:
		b.level = e.Level
	}
	return b.out
}

// TakeCounters returns what has been counted since it was last asked for.
func (b *Balancer) TakeCounters() Counters {
	seen := b.seen
	b.seen = Counters{}
	for _, s := range b.servers {
		if s.listed {
			seen.Servers++
			if s.State == Serving && s.until > b.now {
				seen.Ejected++
			}
		}
	}
	return seen
}

// AdmissionShares returns the share of requests that pass now: of those that a record names, and of others.
func (b *Balancer) AdmissionShares() (known, other float64) {
	return b.gates[true].open(gatePrior), b.gates[false].open(gatePrior)
}

func (b *Balancer) do(a Action) { b.out = append(b.out, a) }

func (b *Balancer) wake(kind int, id uint64, after time.Duration) {
	b.do(Action{Kind: SetTimer, Token: id<<2 | uint64(kind), After: after})
}

// update applies news of the list and keeps one subscription alive.
func (b *Balancer) update(u EndpointUpdate) {
	switch {
	case !b.set.EndpointsOnRequest:
	case !b.begun: // all proxies start at once, and the registry is small
		b.wake(timerList, 0, b.jitter(b.set.Rules.MaxPollInterval/4))
	case u.Kind == EndpointsUnavailable:
		b.asking, b.lostN = false, min(b.lostN+1, 3)
		most := lostPauseMax
		if b.lostN == 1 {
			most = lostPause
		}
		pause := min(b.set.Rules.MaxPollInterval/8<<b.lostN, most)
		b.wake(timerList, 0, b.jitter(pause))
		return
	default:
		b.lostN = 0
	}
	b.begun = true
	if u.Kind == EndpointsFull || u.Kind == EndpointsCached {
		for _, s := range b.servers {
			s.listed = false
		}
	}
	for _, m := range u.Endpoints {
		b.member(m)
	}
	clear(b.list)
	b.list = b.list[:0]
	for _, s := range b.servers {
		switch {
		case s.listed && s.State == Serving:
			b.list = append(b.list, s)
		case s.listed:
			s.unlisted = 0
		case s.unlisted == 0:
			s.unlisted = b.now
		}
	}
	slices.SortFunc(b.list, func(x, y *server) int { return strings.Compare(x.Server, y.Server) })
	b.near = b.homes()
}

// homes tells whether keys have a home in each zone rather than one in all. One home keeps the
// fetches fewest, but a proxy of a large fleet has connections to few servers, and most requests
// cost a handshake and a crossing then; homes in its own zone it reaches over those it has. It
// might hurt where clients' zones are very unequal: the estimate then takes them to other zones.
func (b *Balancer) homes() bool {
	zones := float64(len(b.set.Zones))
	if zones < 2 || b.set.ConnectionsPerServer <= 0 {
		return false
	}
	saved := b.set.Costs.Handshake*max(0, 1-b.set.ConnectionsPerServer) + b.set.Costs.CrossZone*(1-1/zones)
	return saved > b.set.Costs.OriginFetch*zoneMiss
}

func (b *Balancer) member(m Endpoint) {
	s := b.servers[m.Server]
	fresh := s == nil
	if fresh {
		s = &server{hash: bloom.Hash(m.Server)}
		b.servers[m.Server] = s
	} else if m.State != Serving {
		m.StartedAt = s.StartedAt
	}
	fresh = fresh || m.StartedAt != s.StartedAt
	s.Endpoint, s.listed = m, m.State != Removed
	if fresh {
		b.forget(s)
	}
}

// forget empties what a restart made void. The cold allowance starts at a part of one send, by
// chance: the proxies must not all send their first at once.
func (b *Balancer) forget(s *server) {
	s.record = bloom.Filter{}
	s.fastest, s.work, s.load, s.worth, s.fails, s.until, s.sampled, s.answers = 0, 0, s.inFlight, 1, 0, 0, 0, 0
	s.blamed = 0
	s.credit, s.gate = b.rng.Float64(), gate{}
	s.health = make([]outlier.Suspicion, len(b.health))
}

func (b *Balancer) jitter(d time.Duration) time.Duration {
	return d/2 + time.Duration(b.rng.Float64()*float64(d))
}

// warmth is the share of its capacity that a server has at least.
func (b *Balancer) warmth(s *server) float64 {
	age, ramp := b.now-s.StartedAt, b.set.Rules.SlowStartWindow
	if s.StartedAt <= 0 || age >= ramp {
		return 1
	}
	share := b.set.Rules.SlowStartShare
	return share + (1-share)*max(float64(age), 0)/float64(ramp)
}

func (b *Balancer) arrive(a Arrival) {
	if b.requests[a.ID] != nil {
		return
	}
	a.Class = max(min(a.Class, len(b.set.Classes)-1), 0)
	r := &request{Arrival: a, arrived: b.now, set: b.set, class: &b.set.Classes[a.Class]}
	b.requests[a.ID] = r
	// A write leaves no copy and needs none: it goes where it is soonest done.
	if r.keyed = a.Key != "" && !a.Write; r.keyed {
		r.hash = bloom.Hash(a.Key)
	} else {
		r.hash = b.rng.Uint64()
	}
	r.at = bloom.PositionsOf(r.hash)
	r.over = b.spend(r)
	b.grant()
	b.wake(timerDeadline, a.ID, a.Deadline-b.now-2*b.set.EventInterval)
	b.place(r)
}

// grant lets each cold server have its due share of a request: its warmth over
// the fleet's. Every proxy doing so, no cold server gets more of its present
// capacity than the fleet as a whole.
func (b *Balancer) grant() {
	sum, cold := 0.0, false
	for _, s := range b.list {
		w := b.warmth(s)
		sum, cold = sum+w, cold || w < 1
	}
	for i := 0; cold && i < len(b.list); i++ {
		s, part := b.list[i], 1.0
		if b.near { // its own zone's proxies grant it all, and not too much where all clients come to one zone
			if part = 0; s.Zone == b.set.Zone {
				part = min(float64(len(b.set.Zones)), max(1, b.set.Rules.OverloadMultiple/coldMargin))
			}
		}
		s.credit = min(s.credit+coldMargin*part*b.warmth(s)/sum, coldSaved)
	}
}

// may is the one check of the rules before a send; s is nil for a refusal.
func (b *Balancer) may(r *request, s *server) bool {
	if r.ended || r.stream {
		return false
	}
	if s != nil && (!r.fits(s) || r.open > 0 && !r.set.Limits.AllowHedging || len(r.attempts) >= r.set.Limits.MaxAttempts ||
		b.now >= r.Deadline) {
		return false
	}
	return b.repeats(r, s, -1)
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
	return !a.done && !r.ended && !r.stream && now < r.Deadline && a.server.listed && a.server.State == Serving &&
		r.fits(a.server) && b.repeats(r, a.server, number)
}

// fits tells whether a server can keep what the request's class promises: a client
// may repeat a keyed request, here or at another proxy, and relies on its being
// dropped. So where nodes of both kinds are, not even the first try goes to one
// that drops none.
func (r *request) fits(s *server) bool {
	return r.class.Idempotency != IdempotentWithKey || !s.NoDeduplication
}

// repeats tells whether a send to s, or with nil a refusal, is harmless after
// the attempts but number skip.
func (b *Balancer) repeats(r *request, s *server, skip int) bool {
	for i := range r.attempts {
		a := &r.attempts[i]
		if !a.mayRun || r.class.Idempotency == Idempotent || i == skip {
			continue
		}
		switch {
		case r.class.Idempotency == NotIdempotent, s == nil: // busy would promise that a repeat is harmless, however late it comes
			return false
		case b.now >= a.sent+r.class.DedupWindow-r.set.EventInterval, r.class.DedupScope == DedupScopeZone && s.Zone != a.server.Zone,
			r.class.DedupScope == DedupScopeCell && s.Cell != a.server.Cell:
			return false
		}
	}
	return true
}

// place sends a request to the server of least expected response time.
func (b *Balancer) place(r *request) {
	s, promise := b.choose(r)
	if s == nil {
		if len(b.list) > 0 && !slices.ContainsFunc(b.list, r.fits) {
			b.giveUp(r, ReasonNoServer) // no wait brings a server that could keep its promise
			return
		}
		b.hold(r)
		return
	}
	open := min(b.gates[promise].open(gatePrior), s.gate.open(serverPrior))
	b.seen.Offered++
	if !promise && r.class.Idempotency != IdempotentWithKey && b.may(r, nil) && b.rng.Float64() > b.fetches() {
		b.giveUp(r, ReasonDegraded)
		return
	}
	hopeless := b.hopeless(r, s)
	if b.may(r, nil) && (hopeless || !b.admit(r, promise, open)) {
		b.seen.Rejected++
		reason := ReasonAdmission
		if hopeless {
			b.seen.DeadlineRejections++
			reason = ReasonUnattainable
		}
		// What is shed counts as asked: sends then settle at gateSlack times the good.
		s.gate.count(b.now, 1, 0, 0)
		b.gates[promise].count(b.now, 1, 0, 0)
		b.giveUp(r, reason)
		return
	}
	b.send(r, s, promise, ReasonFirst)
	if at := r.attempts[len(r.attempts)-1].copied; r.set.Limits.AllowHedging && r.class.Idempotency == Idempotent && at < r.Deadline {
		b.wake(timerHedge, r.ID, at-b.now)
	}
}

// admit tells whether a request passes a gate that lets an open share through: what
// is worth most does, and of what is worth as much at the edge some by chance. It meets
// overloads of every kind. It might hurt where a worth is wrong: so the least share
// passes by chance alone.
func (b *Balancer) admit(r *request, promise bool, open float64) bool {
	below, own, all := b.ranks[promise].place(b.value(r))
	if open >= 1 || b.rng.Float64() < gateLeast || b.level >= LevelHandovers && r.class.Idempotency == IdempotentWithKey {
		return true
	}
	return b.rng.Float64()*own < below+own-(1-open)*all
}

// value is what answering a request in time is worth: over its tenant's share little, and a
// repetition comes late for its client.
func (b *Balancer) value(r *request) float64 {
	v := r.class.PriorityWeight
	if r.over {
		v *= r.set.OverQuotaFactor
	}
	if r.IsRetry {
		v *= r.class.LateWeightShare
	}
	return v
}

// ranks counts values of requests by their size, fading.
type ranks [rankSteps]float64

// place counts a value and returns how many were smaller, about as large, and all.
func (c *ranks) place(v float64) (below, own, all float64) {
	at := 0
	if v > 0 {
		at = max(0, min(rankSteps-1, rankSteps/2+int(math.Floor(2*math.Log2(v)))))
	}
	for i := range c {
		c[i] *= rankKeep
		if i < at {
			below += c[i]
		}
		all += c[i]
	}
	c[at]++
	return below, c[at], all + 1
}

// spend tells whether a request is over its tenant's share: each proxy grants its part
// of the quota, and a burst of what shareBurst brings.
func (b *Balancer) spend(r *request) bool {
	if r.Tenant < 0 || r.Tenant >= len(b.set.Tenants) {
		return false
	}
	quota := b.set.Tenants[r.Tenant].Quota / float64(max(b.set.ProxyCount, 1))
	if quota <= 0 {
		return false
	}
	for len(b.shares) < len(b.set.Tenants) {
		b.shares = append(b.shares, share{left: math.Inf(1)})
	}
	s := &b.shares[r.Tenant]
	s.left = min(s.left+quota*(b.now-s.at).Seconds(), quota*shareBurst)
	s.at = b.now
	if s.left < 1 {
		return true
	}
	s.left--
	return false
}

// share is what a tenant has left of its quota.
type share struct {
	left float64
	at   time.Duration
}

// fetches is the share of reads without a promise that the level of service lets through.
// They and keyed requests meet at the origin, and what is queued there makes both late: where
// handovers go first, only as many fetch as leave nearly all handovers in time. It meets an
// origin that has become slow. It might hurt where handovers are late for another reason.
func (b *Balancer) fetches() float64 {
	if b.level < LevelHandovers {
		return 1
	}
	b.keyed.count(b.now, 0, 0, 0)
	clear := b.keyed.clear(gatePrior)
	if b.level >= LevelShelter {
		clear *= shelterShare
	}
	return max(gateLeast, clear)
}

// hopeless tells whether s can hardly answer a request before its client gives up.
// It is turned away at once then: its work would go on unawaited, and clients that
// ask again for want of an answer fill the servers with such work. It meets
// overloads of every kind as soon as they show in the expected time, and clients
// that turn impatient while nodes are well. The time of a miss is left out, since
// a fetch that comes too late for one try fills the cache for the next. It might
// hurt where estimates are too high: so a server with nothing out gets one all the
// same, which corrects them, and one that has answered little is not judged by what is
// assumed of it.
func (b *Balancer) hopeless(r *request, s *server) bool {
	most := hopeShare * (r.Deadline - b.now).Seconds()
	if b.level < LevelHandovers || r.class.Idempotency != IdempotentWithKey {
		most = min(most, aimShare*r.class.LatencyObjective.Seconds())
	}
	return s.answers >= settled && s.inFlight > 0 && b.hitTime(s) > most
}

// hedge sends a second copy of a read that has long had no answer. It meets
// answers that are lost and servers that have stalled or vanished, before the
// client's time is up. It might hurt under overload, when all is slow: so it
// is paid for like a retry and left where the gates shed.
func (b *Balancer) hedge(r *request) {
	a := &r.attempts[len(r.attempts)-1]
	switch {
	case r.open != 1 || a.done:
	case b.slow(a): // what is seen of a server counts now, not when its client has left
		b.judge(a.server, a, r.Class, 1, 1)
	case a.overdue < r.Deadline:
		b.wake(timerHedge, r.ID, a.overdue-b.now)
	}
	if a.server.heard > a.sent && b.sick(a.server, r.Class) < sickOdds {
		return
	}
	if b.level >= LevelEconomy || r.open != 1 || b.retries < 1 || b.gates[true].open(gatePrior) < 1 || b.gates[false].open(gatePrior) < 1 {
		return
	}
	if s, promise := b.choose(r); promise && !tried(r, s) {
		b.retries--
		b.send(r, s, promise, ReasonHedge)
	}
}

// slow tells whether an attempt without an answer tells against its server: one that has said nothing
// since is silent after a part of the aim, one that answers others only after far more than what
// is expected. Without the second, fetches that take as long as ever made busy servers sick
// wherever an aim is short.
func (b *Balancer) slow(a *attempt) bool {
	return b.now >= a.overdue || b.now >= a.copied && a.server.heard <= a.sent
}

// hold keeps a request that has no server now until one may have come.
func (b *Balancer) hold(r *request) {
	if r.Deadline-b.now <= 3*holdPause {
		b.giveUp(r, ReasonNoServer)
		return
	}
	b.seen.WaitsForServer++
	b.wake(timerWait, r.ID, holdPause)
}

// giveUp is the one place that ends a request unserved.
func (b *Balancer) giveUp(r *request, reason Reason) {
	switch {
	case r.ended || r.stream:
		return
	case b.may(r, nil):
		// A queue to be answered in time is gone within an aim. Clients turned
		// away together must not come back together.
		b.do(Action{Kind: Reject, ID: r.ID, After: b.RetryAfter(r.Class), Reason: reason})
	default:
		b.do(Action{Kind: Fail, ID: r.ID, Reason: reason})
	}
	b.end(r)
}

// RetryAfter is when a refused request of a class is to come again: later the less service
// there is, and spread also where the longest advice bounds it.
func (b *Balancer) RetryAfter(class int) time.Duration {
	most := b.set.Limits.MaxRetryAfter
	if class < 0 || class >= len(b.set.Classes) {
		return b.jitter(most / 2)
	}
	mean := b.set.Classes[class].LatencyObjective / 2 * time.Duration(2+b.level) / 2
	return min(b.jitter(min(mean, most*2/3)), most)
}

func (b *Balancer) send(r *request, s *server, promise bool, reason Reason) {
	expected, aim := b.hitTime(s), r.class.LatencyObjective.Seconds()
	slow := slowTimes * expected
	if !promise { // fetches scatter little beside queues
		expected, slow = expected+b.origin, slow+b.origin
	}
	after := min(max(overdueTimes*expected, overdueLeast*aim), overdueMost*aim)
	a := attempt{server: s, sent: b.now, mayRun: true, promise: promise, copied: b.now + time.Duration(after*float64(time.Second))}
	a.overdue = max(a.copied, b.now+time.Duration(slow*float64(time.Second)))
	r.attempts = append(r.attempts, a)
	s.gate.count(b.now, 1, 0, 0)
	b.gates[promise].count(b.now, 1, 0, 0)
	r.open++
	s.inFlight++
	s.used = b.now
	if b.warmth(s) < 1 {
		s.credit--
	}
	b.do(Action{Kind: Send, ID: r.ID, Server: s.Server, Reason: reason})
}

// choose ranks the servers for a request by expected response time.
func (b *Balancer) choose(r *request) (*server, bool) {
	for pass := range 2 { // suspicion must not empty the choice: the second pass passes over it
		var top [2][rendezvousDepth]*server // the own zone's and others', or all in the first
		var ranks [2][rendezvousDepth]float64
		var best *server
		var named bool
		least := math.Inf(1)
		score := func(s *server, miss float64) {
			// A price is a share of the worth, which is lost with the aim's time.
			t := b.hitTime(s) + miss*(b.fetch()+b.set.Costs.OriginFetch*r.class.LatencyObjective.Seconds()) +
				b.detour(s, r.Class)*r.class.LatencyObjective.Seconds()
			if s.Zone != b.set.Zone {
				t += b.set.Costs.CrossZone * r.class.LatencyObjective.Seconds()
			}
			if b.near && s.Zone != b.set.Zone {
				t += b.set.Costs.Handshake * r.class.LatencyObjective.Seconds()
			}
			if t < least {
				best, least, named = s, t, r.keyed && miss < 1 && s.record.Contains(&r.at)
			}
		}
		known := false
		for _, s := range b.list {
			if pass == 0 && s.until > b.now || b.warmth(s) < 1 && s.credit < 1 || tried(r, s) && pass == 0 ||
				!b.may(r, s) {
				continue
			}
			if r.keyed && s.record.Contains(&r.at) {
				known = true
				score(s, 1-(1-s.record.FalsePositiveRate())*s.worth)
				continue
			}
			rank := b.weight(s) / -math.Log(bloom.UnitInterval(bloom.Mix(r.hash^s.hash)))
			away, depth := 0, rendezvousDepth
			if b.near {
				depth /= 2
				if s.Zone != b.set.Zone {
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
				if i == 0 && r.keyed && !known {
					miss = s.record.FalsePositiveRate()
					if ranks[away][0] < ranks[1-away][0] { // asked by its own zone alone
						miss += (1 - miss) * zoneMiss
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

// fetch is what a fetch costs in seconds, where keys have several homes: beyond what one takes at
// rest there is a queue at the origin, and each fetch more makes all behind it later. So
// requests go to the one home that all ask before the origin is full.
func (b *Balancer) fetch() float64 {
	if !b.near {
		return b.origin
	}
	return b.origin + queueWeight*max(0, b.origin-calmSlack*b.calm)
}

// weight is a server's part in the rendezvous: its registered size, or how
// fast its kind of machine has been. Without it the slow kinds are always full,
// and what overflows from them loads the origin.
func (b *Balancer) weight(s *server) float64 {
	if b.set.RegisteredWeights && s.Weight > 0 {
		return s.Weight
	}
	if s.MachineKind < len(b.weights) {
		return b.weights[s.MachineKind]
	}
	return 1
}

func tried(r *request, s *server) bool {
	return slices.ContainsFunc(r.attempts, func(a attempt) bool { return a.server == s })
}

// hitTime is T-hit in seconds: the fastest answer, and the processing time
// scaled by current over smoothed load. An old estimate fades into the fleet's.
func (b *Balancer) hitTime(s *server) float64 {
	fastest, work := b.fastest, b.work
	if s.sampled > 0 {
		trust := math.Exp(-float64(b.now-s.sampled) / float64(estimateAge))
		work += (s.work - work) * trust
		fastest = s.fastest
	}
	return fastest + work*(b.busy(s)+1)/(s.load+1)
}

// busy counts what a server works at for this proxy: what is out, and what was
// given up: its work goes on for about as long as an answer would have taken.
func (b *Balancer) busy(s *server) float64 {
	if s.given > 0 {
		s.given *= math.Exp(-(b.now - s.faded).Seconds() / max(s.fastest+s.work, b.fastest+b.work))
	}
	s.faded = b.now
	return s.inFlight + s.given
}

func (b *Balancer) outcome(e Outcome) {
	r := b.requests[e.ID]
	if r == nil || e.Attempt < 0 || e.Attempt >= len(r.attempts) || r.attempts[e.Attempt].done {
		return
	}
	a := &r.attempts[e.Attempt]
	a.done, a.mayRun = true, MayHaveRun(e.Result)
	r.open--
	b.learn(r, a, e)
	if e.Final || r.ended {
		b.end(r)
	} else if r.open == 0 {
		b.again(r, e)
	}
}

// MayHaveRun tells whether an attempt that ended so can have had an effect. A
// result not known here may have had one.
func MayHaveRun(r Result) bool {
	return r != Rejected && r != ConnectFailed && r != NotSent && r != NotFound && r != ConnectionLimitReached
}

// again decides what follows an attempt that served nothing.
func (b *Balancer) again(r *request, e Outcome) {
	// For a key, full and error mostly mean that its fetch failed: another server
	// would ask the same origin, and keep it from getting well.
	a := &r.attempts[e.Attempt]
	origin := r.Key != "" && (e.Result == Rejected || e.Result == Errored) &&
		b.sick(a.server, r.Class) < sickOdds
	if b.now < r.Deadline-4*r.set.EventInterval && !origin && b.pay(r, e.Result) {
		if s, promise := b.choose(r); s != nil {
			b.send(r, s, promise, ReasonRetry)
			return
		}
	}
	b.giveUp(r, ReasonNoRetry)
}

// pay tells whether one more attempt for a request may be made. It multiplies an
// overload, so it is paid for from what successes have earned once the gates shed.
// Until then the limit of attempts bounds it: networks that break more
// connections than a budget foresees must not fail requests that idle servers
// could answer, since their clients ask again all the same. Where service is reduced
// only what tells nothing of load is tried again so freely. It might hurt where
// failing takes a server more work than answering.
func (b *Balancer) pay(r *request, result Result) bool {
	network := result == Reset || result == ConnectFailed || result == Malformed || result == ConnectionLimitReached
	if (b.level < LevelEconomy || network) && b.gates[true].open(gatePrior) == 1 && b.gates[false].open(gatePrior) == 1 {
		return true
	}
	kept := 0.0 // for keyed requests
	if b.level >= LevelHandovers && r.class.Idempotency != IdempotentWithKey {
		kept = retryCap / 4
	}
	if b.retries < 1+kept {
		return false
	}
	b.retries--
	return true
}

// end drops a request once nothing of it is out.
func (b *Balancer) end(r *request) {
	if !r.ended {
		b.count(r)
	}
	if !r.ended && r.set.Limits.AllowCancel {
		for i := range r.attempts {
			if !r.attempts[i].done {
				b.do(Action{Kind: Cancel, ID: r.ID, Attempt: i})
			}
		}
	}
	r.ended = true
	if r.open == 0 {
		delete(b.requests, r.ID)
	}
}

// count enters a request that ends among what is seen of all. One whose client left before
// the aim tells of its patience; one that was never sent, of the gates.
func (b *Balancer) count(r *request) {
	late := 0
	if r.stood {
		return
	}
	if early := b.now-r.arrived <= r.class.LatencyObjective; !r.served && early && len(r.attempts) > 0 && r.open > 0 || len(r.attempts) == 0 {
		return
	} else if !r.served || !early {
		late = 1
	}
	if r.class.Idempotency == IdempotentWithKey {
		b.keyed.count(b.now, 1, 1, float64(1-late))
		b.seen.Handovers, b.seen.LateHandovers = b.seen.Handovers+1, b.seen.LateHandovers+late
	} else {
		b.seen.Reads, b.seen.LateReads = b.seen.Reads+1, b.seen.LateReads+late
	}
}

// learn updates a server's estimates from an outcome.
func (b *Balancer) learn(r *request, a *attempt, e Outcome) {
	s := a.server
	if s.answers == 0 { // a load of none would make all that is out look slow
		s.load = max(s.load, b.busy(s))
	}
	s.load += (b.busy(s) - s.load) * loadWeight
	s.inFlight--
	if e.Result == Cancelled || e.Result == TimedOut {
		s.given++
	}
	if e.Result == NotSent { // its server has not heard of it, and tells nothing by that
		s.gate.count(b.now, -1, 0, 0)
		b.gates[a.promise].count(b.now, -1, 0, 0)
		return
	}
	if a.sent < s.StartedAt {
		return // sent before its restart
	}
	if a.stood {
		b.learnLittle(r, s, e.Result)
		return
	}
	if e.Result != Cancelled && e.Result != TimedOut && e.Result != ConnectFailed {
		s.heard = b.now
	}
	if r.Key != "" && !a.promise && (e.CacheStatus == CacheMiss || e.CacheStatus == CacheMissCoalesced || r.Write && e.Result == Served) {
		b.seen.Fetches++
	} else if r.Key != "" && !a.promise && (e.Result == Errored || e.Result == TimedOut) {
		b.seen.Fetches, b.seen.FailedFetches = b.seen.Fetches+1, b.seen.FailedFetches+1
	}
	good, failed, broken, sick := 0.0, 0.0, 0.0, false
	switch e.Result {
	case Served:
		s.fails, s.until = 0, 0
		// A slow origin makes fetches late that nobody is worse off for; a queue at the
		// nodes, which what a record promised shows, makes all late.
		if b.now-r.arrived <= r.class.LatencyObjective || b.level == LevelLate && r.keyed && !a.promise && b.gates[true].open(gatePrior) == 1 {
			good = 1
		}
		b.retries = min(b.retries+retryShare, retryCap)
		r.served = true
		if r.keyed {
			s.record.Add(&r.at)
		}
		b.measure(s, a, e, r)
	case TimedOut:
		b.measure(s, a, e, r)
		s.fails++
		failed = 1
	case Errored, Rejected:
		failed, sick = 1, true
	case Malformed:
		failed = 1
	case Cancelled: // its time was up, or a second copy was faster
		if b.slow(a) {
			failed, sick = 1, true
		}
	case ConnectFailed, Reset:
		// One connection's end is one failure, whatever waited on it.
		if broken = 1; a.sent >= s.failed {
			s.fails++
			s.failed = b.now
			// Nor does it tell that the server has gone, as long as others come up.
			if (e.Result == ConnectFailed || s.fails > 1) && b.rare(s.fails) {
				s.until = b.now + b.jitter(min(backoffFirst<<min(s.fails, 8), backoffMost))
			}
		}
		failed = 1
	case ConnectionLimitReached: // a well server that other proxies keep connections to
		s.until = b.now + b.jitter(backoffFirst)
	}
	if e.Result != Cancelled && e.Result != ConnectionLimitReached {
		b.ends.Observe(b.now, 1, broken)
	}
	if e.Result != ConnectionLimitReached && (e.Result != Cancelled || failed > 0) {
		unreached := 0.0
		if e.Result == ConnectFailed || e.Result == TimedOut || e.Result == Cancelled {
			unreached = failed
		}
		b.judge(s, a, r.Class, failed, unreached)
	}
	// A client that gives up before the aim tells of its patience, not of load.
	// Gates that shut for it would turn away all that idle servers could answer.
	early := b.now-r.arrived < r.class.LatencyObjective
	asked, ended := 0.0, 1.0
	if e.Result == ConnectFailed || e.Result == ConnectionLimitReached || e.Result == Reset || e.Result == Malformed || // tell nothing of load
		e.Result == Cancelled && (r.served || early) || // the other copy counts, or none
		sick && b.sick(s, r.Class) >= sickOdds { // tells of the server alone
		asked, ended = -1, 0
	}
	s.gate.count(b.now, asked, ended, good)
	b.gates[a.promise].count(b.now, asked, ended, good)
}

func (b *Balancer) measure(s *server, a *attempt, e Outcome, r *request) {
	took := e.Took.Seconds()
	miss := e.CacheStatus == CacheMiss || e.CacheStatus == CacheMissCoalesced
	if a.promise && e.CacheStatus != CacheUnknown {
		hit := 0.0
		if e.CacheStatus == CacheHit {
			hit = 1
		}
		s.worth += (hit - s.worth) * loadWeight
	}
	if miss || r.Write {
		if s.sampled > 0 && r.class.LatencyObjective > 0 {
			b.seen.TimedFetches++
			b.seen.FetchTimeSum += max(took-s.fastest-s.work, 0) / r.class.LatencyObjective.Seconds()
		}
		if miss && s.sampled > 0 {
			b.origin += (max(took-s.fastest-s.work, 0) - b.origin) * loadWeight
			b.calm = min(b.calm+(b.origin-b.calm)*calmWeight, b.origin)
		}
		return
	}
	if s.sampled == 0 {
		s.fastest, s.work = took, b.work
	}
	if took < s.fastest {
		s.fastest = took
	} else {
		s.fastest += (took - s.fastest) * 0.002
	}
	s.work += (took - s.fastest - s.work) * sampleWeight
	b.work += (took - s.fastest - b.work) * 0.01
	if s.MachineKind < len(b.kinds) {
		b.kinds[s.MachineKind] += (took - s.fastest - b.kinds[s.MachineKind]) * 0.02
	}
	b.fastest += (s.fastest - b.fastest) * 0.01
	s.sampled = b.now
	s.answers++
}

func (b *Balancer) timer(t TimerFired) {
	if t.Token&3 == timerList {
		if !b.asking {
			b.asking = true
			b.do(Action{Kind: Subscribe})
		}
		return
	}
	r := b.requests[t.Token>>2]
	if r == nil || r.ended {
		return
	}
	switch t.Token & 3 {
	case timerDeadline:
		b.giveUp(r, ReasonDeadline)
	case timerHedge:
		b.hedge(r)
	default:
		if r.open == 0 {
			b.place(r)
		}
	}
}
