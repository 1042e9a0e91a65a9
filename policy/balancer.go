package policy

import (
	"math/rand/v2"
	"slices"
	"time"

	"mulleinpier/internal/outlier"
)

// Balancer decides for one proxy. It is not safe for concurrent use.
type Balancer struct {
	settings *Settings // in force for what arrives now
	rng      *rand.Rand
	now      time.Duration
	actions  []Action
	requests map[uint64]*request
	level    DegradationLevel
	counters Counters // since they were last taken

	// The endpoint list and the subscription to it: endpoints.go.
	servers           map[string]*server
	serving           []*server // all that are listed as serving, in order of name
	listReceived      bool
	subscribing       bool // a call for the list is in flight or subscribed
	subscribeFailures int  // in a row, as far as they lengthen the backoff

	// The choice of a server: ranking.go, rendezvous.go.
	zonalHomes             bool      // keys have a home in each zone
	rendezvousWeightByKind []float64 // by machine kind
	lastMaintenance        time.Duration

	// Estimates over all servers, in seconds: estimator.go.
	missPenalty          float64 // smoothed extra time of a miss
	baselineMissPenalty  float64 // the lowest that it has been lately
	processingTime       float64 // mean of server.processingTime
	minLatency           float64 // mean of server.minLatency
	processingTimeByKind []float64

	// Load shedding: admission.go, quota.go, retry.go.
	paths        [pathCount]admissionPath
	handoverGate admissionGate // of keyed requests, at all servers
	quotas       []tokenBucket // by tenant
	retryTokens  float64

	// Outlier detection: outlier.go.
	failureRates        []outlier.FailureRate // of all servers, by class
	healthyFailureRates []outlier.FailureRate // by class, of successes and of failures that one followed at the server
	zoneSuspicions      []outlier.Suspicion   // that a zone cannot be reached
	connectionFailures  outlier.FailureRate   // of attempts at all servers, failed where their connection ended
}

// Assumptions of a Balancer that has seen no answer yet, in seconds.
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

// Handle takes one event at time now and appends the resulting actions to actions.
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

// maintenancePeriod is the time between two rounds of upkeep. A cache keeps an unused key for some seconds; a filter
// that forgets within two periods names about what is still there.
const maintenancePeriod = 6 * time.Second

// maintain does the periodic upkeep that is due: two rounds at most, however much time has passed, as these empty both
// generations of the filters.
func (b *Balancer) maintain() {
	for b.now-b.lastMaintenance >= maintenancePeriod {
		b.lastMaintenance = max(b.lastMaintenance+maintenancePeriod, b.now-maintenancePeriod)
		b.rotateFilters()
		b.updateRendezvousWeights()
		b.closeIdleConnections()
	}
}

// The kinds of timers, in the low bits of a token; the other bits are a request's ID.
const (
	timerSubscribe = iota
	timerDeadline
	timerWaitForServer
	timerHedge

	timerKindBits = 2
	timerKindMask = 1<<timerKindBits - 1
)

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

// jitter returns a random duration between a half and three halves of d.
func (b *Balancer) jitter(d time.Duration) time.Duration {
	return d/2 + time.Duration(b.rng.Float64()*float64(d))
}
