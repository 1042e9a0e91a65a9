package takeover

import (
	"fmt"
	"slices"
	"time"
)

// This file simulates three proxies and one node group that drops repeats, in virtual time. simulation_writes_test.go
// has clients write, and proxies claim, send and take over the writes; simulation_faults_test.go has processes crash,
// stop and be cut off.

const ms = time.Millisecond

const (
	// simulationTick is how finely time passes.
	simulationTick = 50 * ms
	// window is how long the node group drops repeats.
	window      = 1500 * ms
	windowTicks = int(window / simulationTick)
)

// chooser decides where more than one thing may happen: a number under n, 0 for what happens where nothing goes wrong.
type chooser interface{ choose(what string, n int) int }

// plantedDefects are put into a simulation to see them found.
type plantedDefects struct {
	longWindow        bool // proxies think that repeats are dropped for longer than they are
	ageNotSent        bool // holders say that a write has run lately, whenever it has
	noCheckBeforeSend bool
	excessiveDrift    bool
	forgetfulRegistry bool // a registry that starts says that it knows all
}

// scheduledEvent is due at a tick; those of one tick come in the order in which they were scheduled.
type scheduledEvent struct {
	at    int
	order int
	do    func()
}

type simulatedProxy struct {
	Candidate
	simulation    *simulation
	clockRate     float64
	registry      *Registry
	up            bool
	stoppedUntil  int // tick
	deferred      []func()
	cutOff        bool // from the other proxies
	responses     map[uint64]func(ClaimResponse)
	lastRequestID uint64
	gone          map[Owner]bool // processes that this one takes for gone
}

type simulation struct {
	chooser    chooser
	defects    plantedDefects
	parameters Parameters
	now        int // tick
	schedule   []scheduledEvent
	lastOrder  int
	proxies    []*simulatedProxy
	node       nodeGroup

	faultsLeft       int
	processFaults    int // crashes, stops and cuts so far
	maxProcessFaults int

	answers  []string // to clients
	receipts int      // among them
}

// nodeGroup carries a write out, and drops its repeats for the window.
type nodeGroup struct {
	workTicks int
	startedAt int // tick at which it began the write last, -1 for never
	done      bool
	waiting   []func() // answers to send once it is done
	effects   int
}

func newSimulation(c chooser, defects plantedDefects, faults int) *simulation {
	s := &simulation{
		chooser:          c,
		defects:          defects,
		parameters:       DefaultParameters,
		faultsLeft:       faults,
		maxProcessFaults: 2,
		node:             nodeGroup{startedAt: -1, workTicks: 2},
	}
	s.parameters.RecoveryPeriod = 4200 * ms // clients ask a second time within it, and a third time after it
	if defects.forgetfulRegistry {          // one loss alone is borne by those who know
		s.maxProcessFaults, s.faultsLeft = 4, 10
	}
	if defects.excessiveDrift {
		s.parameters.MaxClockDrift, s.parameters.SafetyMargin = -0.3, 0
	}
	for i := range 3 {
		p := &simulatedProxy{simulation: s, clockRate: 1 + 0.05*float64(1-i)}
		p.Name, p.Zone = fmt.Sprint("p", i), fmt.Sprint("z", i)
		p.start(uint64(i + 1))
		p.registry.recoveringSince = -s.parameters.OutcomeRetention // it has run for long
		s.proxies = append(s.proxies, p)
	}
	return s
}

// after schedules what is to be done in so many ticks.
func (s *simulation) after(ticks int, do func()) {
	s.lastOrder++
	e := scheduledEvent{s.now + max(ticks, 0), s.lastOrder, do}
	i, _ := slices.BinarySearchFunc(s.schedule, e, func(a, b scheduledEvent) int {
		if a.at != b.at {
			return a.at - b.at
		}
		return a.order - b.order
	})
	s.schedule = slices.Insert(s.schedule, i, e)
}

// runTick does what is due, and lets the running proxies notice the time.
func (s *simulation) runTick() {
	for len(s.schedule) > 0 && s.schedule[0].at <= s.now {
		e := s.schedule[0]
		s.schedule = s.schedule[1:]
		e.do()
	}
	for _, p := range s.proxies {
		if p.up && s.now >= p.stoppedUntil {
			p.handle(Tick{})
		}
	}
}

// start begins a process of a proxy, which knows nothing of what an earlier one knew.
func (p *simulatedProxy) start(incarnation uint64) {
	p.Incarnation, p.up = incarnation, true
	p.registry = NewRegistry(p.simulation.parameters, p.Owner, p.clock())
	if p.simulation.defects.forgetfulRegistry {
		p.registry.recoveringSince = -p.simulation.parameters.OutcomeRetention
	}
	p.responses = make(map[uint64]func(ClaimResponse))
	p.gone = make(map[Owner]bool)
	p.deferred = nil
}

// clock is the time by the proxy's own clock.
func (p *simulatedProxy) clock() time.Duration {
	return time.Duration(float64(p.simulation.now) * p.clockRate * float64(simulationTick))
}

// whenRunning has a proxy's process do something, once it goes on if it is stopped, unless it has ended meanwhile.
func (p *simulatedProxy) whenRunning(do func()) {
	incarnation := p.Incarnation
	guarded := func() {
		if p.up && p.Incarnation == incarnation {
			do()
		}
	}
	if p.simulation.now < p.stoppedUntil {
		p.deferred = append(p.deferred, guarded)
		return
	}
	guarded()
}

// send takes a message between proxies: it may be lost or late, and arrives nowhere over a cut.
func (s *simulation) send(from, to *simulatedProxy, do func()) {
	const lost, late = 1, 2
	fate := 0
	if s.faultsLeft > 0 && from != to {
		if fate = s.chooser.choose("message", 3); fate > 0 {
			s.faultsLeft--
		}
	}
	ticks := 1
	switch fate {
	case lost:
		return
	case late:
		ticks = 11
	}
	s.after(ticks, func() {
		if !from.cutOff && !to.cutOff || from == to {
			to.whenRunning(do)
		}
	})
}

// handle gives the proxy's registry an event and does what it asks.
func (p *simulatedProxy) handle(e Event) {
	for _, a := range p.registry.Handle(p.clock(), e, nil) {
		switch a := a.(type) {
		case ClaimResponse:
			if do := p.responses[a.RequestID]; do != nil {
				if a.Decision != InProgress {
					delete(p.responses, a.RequestID)
				}
				do(a)
			}
		case TakeOver:
			p.takeOver(a)
		}
	}
}

// sendToNode has the node group carry the write out, unless it is a repeat. The sender learns of it once it is done.
func (s *simulation) sendToNode(from *simulatedProxy, served func()) {
	const lost, late = 1, 2
	ticks := 1
	if s.faultsLeft > 0 {
		switch s.chooser.choose("to the node", 3) {
		case lost:
			s.faultsLeft--
			return
		case late:
			s.faultsLeft--
			ticks = 2
		}
	}
	answer := func() { s.after(1, func() { from.whenRunning(served) }) }
	s.after(ticks, func() { s.executeAtNode(answer) })
}

func (s *simulation) executeAtNode(answer func()) {
	n := &s.node
	if n.startedAt >= 0 && s.now-n.startedAt < windowTicks { // a repeat
		if n.done {
			answer()
		} else {
			n.waiting = append(n.waiting, answer)
		}
		return
	}
	n.effects++
	n.startedAt, n.done = s.now, false
	n.waiting = append(n.waiting, answer)
	s.after(n.workTicks, func() {
		n.done = true
		for _, answer := range n.waiting {
			answer()
		}
		n.waiting = nil
	})
}
