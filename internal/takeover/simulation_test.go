package takeover

import (
	"fmt"
	"slices"
	"time"
)

// This file simulates three proxies and one node group that drops duplicates, in virtual time.
// simulation_writes_test.go simulates the clients' writes and how proxies claim, send and take them over;
// simulation_faults_test.go simulates crashes, pauses and network partitions.

const ms = time.Millisecond

const (
	// simulationTick is the resolution of the simulated time.
	simulationTick = 50 * ms
	// window is the dedup window of the node group.
	window      = 1500 * ms
	windowTicks = int(window / simulationTick)
)

// chooser makes the choices of a simulation. choose returns a number less than n; 0 is the choice without a fault.
type chooser interface{ choose(what string, n int) int }

// plantedDefects are deliberate defects, which the simulation must detect.
type plantedDefects struct {
	longWindow        bool // proxies assume a dedup window ten times as long as it is
	ageNotSent        bool // proxies take the age of a write as at most 1 ns
	noCheckBeforeSend bool // proxies send although the permission has ended
	excessiveDrift    bool // clocks drift beyond MaxClockDrift
	forgetfulRegistry bool // a registry has no recovery period after its start
}

// scheduledEvent is due at a tick. Events of one tick run in the order in which they were scheduled.
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
	pausedUntil   int // tick
	deferred      []func()
	cutOff        bool // no connection to the other proxies
	responses     map[uint64]func(ClaimResponse)
	lastRequestID uint64
	gone          map[Owner]bool // processes that this proxy considers gone
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
	processFaults    int // crashes, pauses and partitions so far
	maxProcessFaults int

	answers  []string // answers to clients, in order
	receipts int      // number of answers with a receipt
}

// nodeGroup executes a write and drops duplicates of it for the window.
type nodeGroup struct {
	workTicks int
	startedAt int // tick at which it last began to execute the write, -1 for never
	done      bool
	waiting   []func() // answers to send once the write is done
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
	s.parameters.RecoveryPeriod = 4200 * ms // the second write comes within the period, the third one after it
	if defects.forgetfulRegistry {          // the other holders' knowledge covers a single loss
		s.maxProcessFaults, s.faultsLeft = 4, 10
	}
	if defects.excessiveDrift {
		s.parameters.MaxClockDrift, s.parameters.SafetyMargin = -0.3, 0
	}
	for i := range 3 {
		p := &simulatedProxy{simulation: s, clockRate: 1 + 0.05*float64(1-i)}
		p.Name, p.Zone = fmt.Sprint("p", i), fmt.Sprint("z", i)
		p.start(uint64(i + 1))
		p.registry.recoveringSince = -s.parameters.OutcomeRetention // the registry's recovery period is over
		s.proxies = append(s.proxies, p)
	}
	return s
}

// after schedules a function to run after a number of ticks.
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

// runTick runs the events that are due, and sends a Tick to the proxies that are not paused.
func (s *simulation) runTick() {
	for len(s.schedule) > 0 && s.schedule[0].at <= s.now {
		e := s.schedule[0]
		s.schedule = s.schedule[1:]
		e.do()
	}
	for _, p := range s.proxies {
		if p.up && s.now >= p.pausedUntil {
			p.handle(Tick{})
		}
	}
}

// start starts a new process of a proxy, without the state of the previous one.
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

// clock returns the time by the proxy's own clock, which drifts.
func (p *simulatedProxy) clock() time.Duration {
	return time.Duration(float64(p.simulation.now) * p.clockRate * float64(simulationTick))
}

// whenRunning runs a function in a proxy's process, after the pause if the process is paused. If the process ends
// before that, the function is dropped.
func (p *simulatedProxy) whenRunning(do func()) {
	incarnation := p.Incarnation
	guarded := func() {
		if p.up && p.Incarnation == incarnation {
			do()
		}
	}
	if p.simulation.now < p.pausedUntil {
		p.deferred = append(p.deferred, guarded)
		return
	}
	guarded()
}

// send delivers a message between proxies. It may be lost or delayed, and is lost if either proxy is cut off.
func (s *simulation) send(from, to *simulatedProxy, do func()) {
	const lost, late = 1, 2
	fault := 0
	if s.faultsLeft > 0 && from != to {
		if fault = s.chooser.choose("message", 3); fault > 0 {
			s.faultsLeft--
		}
	}
	ticks := 1
	switch fault {
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

// handle passes an event to the proxy's registry and carries out its actions.
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

// sendToNode sends the write to the node group, with possible faults. served is called once the write has been
// executed.
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
	if n.startedAt >= 0 && s.now-n.startedAt < windowTicks { // a duplicate
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
