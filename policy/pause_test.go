package policy

import (
	"testing"
	"time"
)

// TestPauseSaysNothingOfServers checks that a pause of this process does not change the estimates. Attempts in flight
// complete late and all at once after the pause; that must not count against any server, and gates must not forget what
// was offered.
func TestPauseSaysNothingOfServers(t *testing.T) {
	t.Run("notified", func(t *testing.T) {
		p := newPausedProxy(t)
		p.pause()
		p.balancer.Handle(p.now, ProcessPaused{Duration: pauseLength}, nil)
		p.completeAll()
		if changed, decayed := p.hasChangedEstimates(), p.offered() < p.offeredBefore; changed || decayed {
			t.Errorf("changed %v, gate decayed %v: processing time %v to %v, %v of %v offered",
				changed, decayed, p.processingTimeBefore, p.balancer.processingTime, p.offered(), p.offeredBefore)
		}
	})
	t.Run("not notified", func(t *testing.T) {
		p := newPausedProxy(t)
		p.pause()
		p.completeAll()
		if !p.hasChangedEstimates() {
			t.Error("no estimate changed without the notification, so the test has no effect to detect")
		}
	})
}

// pausedProxy is a balancer that has served some requests and has more in flight when its process is paused.
type pausedProxy struct {
	balancer *Balancer
	now      time.Duration
	lastID   uint64
	inFlight map[uint64]string // names of servers by request ID

	processingTimeBefore, offeredBefore float64
}

func newPausedProxy(t *testing.T) *pausedProxy {
	t.Helper()
	b, err := New(Settings{
		ProxyCount:    3,
		Zones:         []string{"a"},
		MachineKinds:  []string{"k"},
		OriginKind:    -1,
		EventInterval: 5 * time.Millisecond,
		Classes: []Class{
			{Name: "read", LatencyObjective: 500 * time.Millisecond, Deadline: 2 * time.Second, PriorityWeight: 1},
		},
		Limits: Limits{MaxAttempts: 4, AllowHedging: true, AllowCancel: true},
		Rules:  Rules{SlowStartShare: 0.3, SlowStartWindow: time.Second},
	}, 1)
	if err != nil {
		t.Fatal(err)
	}
	var endpoints []Endpoint
	for _, name := range []string{"x", "y", "z"} {
		endpoints = append(endpoints, Endpoint{Server: name, State: Serving, Weight: 1})
	}
	b.Handle(0, EndpointUpdate{Version: 1, Kind: EndpointsFull, Endpoints: endpoints}, nil)
	p := &pausedProxy{balancer: b, inFlight: map[uint64]string{}}
	for range 200 {
		p.arrive()
		p.now += 20 * time.Millisecond
		p.complete(p.lastID, Served, 20*time.Millisecond)
	}
	p.processingTimeBefore, p.offeredBefore = b.processingTime, p.offered()
	for range 20 {
		p.arrive()
	}
	return p
}

func (p *pausedProxy) offered() float64 { return p.balancer.paths[hitPath].gate.offered }

func (p *pausedProxy) arrive() {
	p.lastID++
	key := string(rune('a' + p.lastID%7))
	arrival := Arrival{ID: p.lastID, Key: key, Deadline: p.now + 2*time.Second}
	for _, a := range p.balancer.Handle(p.now, arrival, nil) {
		if a.Kind == Send {
			p.inFlight[a.ID] = a.Server
		}
	}
}

func (p *pausedProxy) complete(id uint64, result Result, latency time.Duration) {
	server, ok := p.inFlight[id]
	if !ok {
		return
	}
	p.balancer.Handle(p.now, Outcome{ID: id, Server: server, Result: result, Took: latency, CacheStatus: CacheHit}, nil)
	delete(p.inFlight, id)
}

const pauseLength = 1500 * time.Millisecond

func (p *pausedProxy) pause() { p.now += pauseLength }

// completeAll ends the attempts that were in flight during the pause: half of them time out, the others are answered.
func (p *pausedProxy) completeAll() {
	for id, server := range p.inFlight {
		if id%2 == 0 {
			p.complete(id, TimedOut, 20*time.Millisecond)
			continue
		}
		outcome := Outcome{ID: id, Server: server, Result: Served, Took: pauseLength, CacheStatus: CacheHit}
		p.balancer.Handle(p.now, outcome, nil)
	}
	p.balancer.now = p.now
}

// hasChangedEstimates reports whether the pause has changed the estimates of servers or of load.
func (p *pausedProxy) hasChangedEstimates() bool {
	b := p.balancer
	changed := b.processingTime > 1.05*p.processingTimeBefore || b.paths[hitPath].gate.admitShare(admissionPrior) < 1
	for _, s := range b.serving {
		changed = changed || s.consecutiveFailures > 0 || b.faultProbability(s, 0) > singleFailureProbability ||
			s.backoffUntil > p.now
	}
	return changed
}
