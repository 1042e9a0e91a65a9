package policy

import (
	"math/rand/v2"
	"slices"
	"time"

	"mulleinpier/internal/outlier"
)

// Balancer makes the decisions of one proxy. Create it with [New]. It is not safe for concurrent use.
type Balancer struct {
	settings *Settings // in force for requests that arrive now
	rng      *rand.Rand
	now      time.Duration
	actions  []Action
	requests map[uint64]*request
	level    DegradationLevel
	counters Counters // since the last TakeCounters

	// The endpoint list and the subscription to it: endpoints.go.
	servers           map[string]*server
	serving           []*server // all servers listed as serving, sorted by name
	listReceived      bool
	subscribing       bool // a call for the list is in flight, or a subscription is open
	subscribeFailures int  // consecutive failed calls, counted up to maxSubscribeDoublings

	// The selection of a server: ranking.go, rendezvous.go.
	zonalHomes             bool      // keys have a home server in each zone
	rendezvousWeightByKind []float64 // by machine kind
	lastMaintenance        time.Duration

	// Estimates over all servers, in seconds: estimator.go.
	missPenalty          float64 // smoothed extra latency of a miss
	baselineMissPenalty  float64 // recent minimum of missPenalty
	processingTime       float64 // mean of server.processingTime
	minLatency           float64 // mean of server.minLatency
	processingTimeByKind []float64

	// Load shedding: admission.go, quota.go, retry.go.
	paths        [pathCount]admissionPath
	handoverGate admissionGate // gate of keyed requests at all servers
	quotas       []tokenBucket // by tenant
	retryTokens  float64

	// Outlier detection: outlier.go.
	failureRates        []outlier.FailureRate // by class: failure rate at all servers
	healthyFailureRates []outlier.FailureRate // by class: successes, and failures followed by a success of the server
	zoneSuspicions      []outlier.Suspicion   // by zone: the suspicion that it is unreachable
	connectionFailures  outlier.FailureRate   // share of attempts at all servers whose connection failed
}

// Initial estimates of a Balancer that has seen no answer yet, in seconds.
const (
	initialMissPenalty    = 0.1
	initialProcessingTime = 0.05
	initialMinLatency     = 0.001
)

// New returns a Balancer for one proxy, or an error that names the invalid setting.
func New(settings Settings, seed uint64) (*Balancer, error) {
	if err := settings.validate(); err != nil {
		return nil, err
	}
	b := &Balancer{
		settings:               &settings,
		rng:                    rand.New(rand.NewPCG(seed, 1)),
		requests:               make(map[uint64]*request),
		servers:                make(map[string]*server),
		rendezvousWeightByKind: slices.Repeat([]float64{1}, len(settings.MachineKinds)),
		missPenalty:            initialMissPenalty,
		baselineMissPenalty:    initialMissPenalty,
		processingTime:         initialProcessingTime,
		minLatency:             initialMinLatency,
		processingTimeByKind:   slices.Repeat([]float64{initialProcessingTime}, len(settings.MachineKinds)),
		handoverGate:           admissionGate{minRetention: admissionMinRetention},
		retryTokens:            maxRetryTokens,
		failureRates:           make([]outlier.FailureRate, len(settings.Classes)),
		healthyFailureRates:    make([]outlier.FailureRate, len(settings.Classes)),
		zoneSuspicions:         make([]outlier.Suspicion, len(settings.Zones)),
	}
	for i := range b.paths {
		b.paths[i].gate.minRetention = admissionMinRetention
	}
	return b, nil
}

// Handle processes one event at time now, appends the resulting actions to actions and returns the extended slice.
func (b *Balancer) Handle(now time.Duration, event Event, actions []Action) []Action {
	b.now, b.actions = now, actions
	b.maintain()
	switch e := event.(type) {
	case EndpointUpdate:
		b.updateEndpoints(e)
	case Arrival:
		b.handleArrival(e)
	case StreamStarted:
		b.handleStreamStarted(e)
	case Outcome:
		b.handleOutcome(e)
	case ClientLeft:
		b.handleClientLeft(e)
	case TimerFired:
		b.handleTimer(e)
	case ProcessPaused:
		b.handlePause(e.Duration)
	case LevelChange:
		b.level = e.Level
	}
	return b.actions
}

// maintenancePeriod is the time between two rounds of maintenance. A cache keeps an unused key for some seconds, so a
// filter that forgets keys within two periods contains roughly the keys that are still cached.
const maintenancePeriod = 6 * time.Second

// maintain runs the periodic maintenance that is due. It runs at most two rounds, however much time has passed, because
// two rounds empty both generations of the filters.
func (b *Balancer) maintain() {
	for b.now-b.lastMaintenance >= maintenancePeriod {
		b.lastMaintenance = max(b.lastMaintenance+maintenancePeriod, b.now-maintenancePeriod)
		b.rotateFilters()
		b.updateRendezvousWeights()
		b.closeIdleConnections()
	}
}

// The kinds of timers, in the low bits of a token; the other bits are the request ID.
const (
	timerSubscribe = iota
	timerDeadline
	timerWaitForServer
	timerHedge

	timerKindBits = 2
	timerKindMask = 1<<timerKindBits - 1
)

// TimerRequest returns the ID of the request that the timer with a token is for. ok is false if it is for none. Such a
// timer need not fire once its request has ended.
func TimerRequest(token uint64) (id uint64, ok bool) {
	return token >> timerKindBits, token&timerKindMask != timerSubscribe
}

func (b *Balancer) setTimer(kind int, id uint64, after time.Duration) {
	b.emit(Action{Kind: SetTimer, Token: id<<timerKindBits | uint64(kind), After: after})
}

func (b *Balancer) handleTimer(t TimerFired) {
	kind := t.Token & timerKindMask
	if kind == timerSubscribe {
		b.subscribe()
		return
	}
	r := b.requests[t.Token>>timerKindBits]
	if r == nil || r.ended {
		return
	}
	switch kind {
	case timerDeadline:
		b.endUnserved(r, ReasonDeadline)
	case timerHedge:
		b.handleHedgeTimer(r)
	case timerWaitForServer:
		if r.openAttempts == 0 {
			b.admitAndSend(r)
		}
	}
}

func (b *Balancer) emit(a Action) { b.actions = append(b.actions, a) }

// jitter returns a random duration between 0.5 and 1.5 times d.
func (b *Balancer) jitter(d time.Duration) time.Duration {
	return d/2 + time.Duration(b.rng.Float64()*float64(d))
}
