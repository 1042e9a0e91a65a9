package quorum

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"

	"mulleinpier/internal/lease"
)

// This file simulates three voters with the real raft library in virtual time: links that lose, delay and duplicate
// messages, and clocks that differ up to the bound. simulation_contenders_test.go adds contenders for one task, and
// simulation_faults_test.go faults: links that are cut, crashes with and without what was being saved, stops and lost
// disks.

const ms = time.Millisecond

// plantedDefect is a defect that a test puts into a simulation to check that it is found.
type plantedDefect struct {
	negativeMargin  bool // SafetyMargin is negative and MaxClockDrift 0
	forgetsLog      bool // a voter that restarts remembers its term, but not its log
	sendsBeforeSave bool
	excessiveDrift  bool // contenders' clocks are slower than MaxClockDrift allows
}

// scheduledEvent is an event that runs at a virtual time. Events of the same time run in the order of scheduling.
type scheduledEvent struct {
	at    time.Duration
	order int
	do    func()
}

type simulatedVoter struct {
	id          uint64
	name        string
	diskLost    bool // permanently
	replica     *Replica
	disk        PersistentState
	saving      *PersistentState // the save in progress, which a crash may lose
	incarnation uint64
	clockRate   float64
	down        bool
	stopped     bool
	saveDelay   time.Duration // added to the duration of each save
	deferred    []func()      // calls to make once the stopped voter resumes
}

// maxDeferred limits the calls that are deferred for a stopped process; further ones are dropped.
const maxDeferred = 100

type simulation struct {
	rng        *rand.Rand
	now        time.Duration
	schedule   []scheduledEvent
	lastOrder  int
	voters     []*simulatedVoter // by ID, from 1
	contenders []*contender
	cutLinks   map[[2]uint64]bool // by IDs of sender and receiver
	defect     plantedDefect
	parameters lease.Parameters

	responses     map[uint64]func(Response) // by request ID
	lastRequestID uint64
	lastNonce     uint64
	replacing     bool // a voter that lost its disk is being replaced

	replaced     int // number of voters replaced so far
	messages     int // number of messages between voters
	requests     int // number of contenders' requests
	validChecks  int // number of checks that found a contender holding the task
	highestToken uint64
	haltReason   string // why a voter halted
	violation    string // how a guarantee was violated, "" if none was
}

func newSimulation(seed uint64, defect plantedDefect, contenders int) *simulation {
	s := &simulation{
		rng:        rand.New(rand.NewPCG(seed, 1)),
		cutLinks:   make(map[[2]uint64]bool),
		responses:  make(map[uint64]func(Response)),
		defect:     defect,
		parameters: lease.DefaultParameters,
	}
	if defect.negativeMargin {
		s.parameters.SafetyMargin, s.parameters.MaxClockDrift = -60*ms, 0
	}
	initial, err := InitialState("1", "2", "3")
	if err != nil {
		panic(err)
	}
	for i := range uint64(3) {
		v := &simulatedVoter{id: i + 1, name: fmt.Sprint(i + 1), disk: initial, clockRate: s.drawClockRate()}
		s.voters = append(s.voters, v)
		s.startVoter(v)
	}
	for i := range contenders {
		c := &contender{name: fmt.Sprint("c", i), clockRate: s.drawClockRate()}
		if defect.excessiveDrift {
			c.clockRate = 0.5
		}
		s.contenders = append(s.contenders, c)
		s.startContender(c)
	}
	s.campaign()
	for _, v := range s.voters {
		s.tick(v)
	}
	return s
}

// drawClockRate draws the rate of a clock: slow or fast by MaxClockDrift, or exact.
func (s *simulation) drawClockRate() float64 {
	switch s.rng.IntN(3) {
	case 0:
		return 1 - lease.DefaultParameters.MaxClockDrift
	case 1:
		return 1 + lease.DefaultParameters.MaxClockDrift
	}
	return 1
}

// after schedules a call of do after d.
func (s *simulation) after(d time.Duration, do func()) {
	s.lastOrder++
	e := scheduledEvent{s.now + max(d, 0), s.lastOrder, do}
	i, _ := slices.BinarySearchFunc(s.schedule, e, func(a, b scheduledEvent) int {
		if a.at != b.at {
			return int(a.at - b.at)
		}
		return a.order - b.order
	})
	s.schedule = slices.Insert(s.schedule, i, e)
}

// run runs the scheduled events up to a virtual time, or until a guarantee is violated.
func (s *simulation) run(until time.Duration) {
	s.after(100*ms, s.injectFault)
	for s.now <= until && s.violation == "" {
		e := s.schedule[0]
		s.schedule = s.schedule[1:]
		s.now = e.at
		e.do()
		s.checkHolders()
	}
}

// clock returns the time by a clock that runs at the given rate of the virtual time.
func (s *simulation) clock(rate float64) time.Duration { return time.Duration(float64(s.now) * rate) }

// startVoter starts a new run of a voter from the state on its disk.
func (s *simulation) startVoter(v *simulatedVoter) {
	v.incarnation = s.rng.Uint64() | 1
	if s.defect.forgetsLog && v.replica != nil {
		initial, _ := InitialState("1", "2", "3")
		initial.HardState.Term = proto.Uint64(v.disk.HardState.GetTerm())
		v.disk = initial
	}
	r, err := New(v.id, v.incarnation, v.disk, s.parameters, ManualElections)
	if err != nil {
		s.haltReason, v.down = err.Error(), true
		return
	}
	v.replica, v.saving, v.down = r, nil, false
}

// campaign makes a random voter start an election, always if no voter leads and sometimes if one does, and schedules
// the next campaign.
func (s *simulation) campaign() {
	v := s.pickVoter()
	if s.leader() == nil || s.rng.IntN(8) == 0 {
		s.whenRunning(v, func() { s.carryOut(v, v.replica.Campaign(s.clock(v.clockRate))) })
	}
	s.after(time.Duration(50+s.rng.IntN(150))*ms, s.campaign)
}

// leader returns the first running voter that believes that it leads, or nil.
func (s *simulation) leader() *simulatedVoter {
	for _, v := range s.voters {
		if v.replica.IsLeader() && !v.down && !v.stopped {
			return v
		}
	}
	return nil
}

// pickVoter draws a voter whose disk is not lost; the voter may be down or stopped.
func (s *simulation) pickVoter() *simulatedVoter {
	for {
		if v := s.voters[s.rng.IntN(len(s.voters))]; !v.diskLost {
			return v
		}
	}
}

func (s *simulation) tick(v *simulatedVoter) {
	if v.diskLost {
		return
	}
	s.whenRunning(v, func() { s.handleAtVoter(v, Tick{}) })
	s.after(TickInterval, func() { s.tick(v) })
}

// whenRunning calls do now or, if the voter is stopped, once it resumes. If the voter is down, do is not called.
func (s *simulation) whenRunning(v *simulatedVoter, do func()) {
	switch {
	case v.down:
	case v.stopped && len(v.deferred) < maxDeferred:
		v.deferred = append(v.deferred, do)
	case v.stopped:
	default:
		do()
	}
}

func (s *simulation) handleAtVoter(v *simulatedVoter, e Event) {
	s.carryOut(v, v.replica.Handle(s.clock(v.clockRate), e))
}

func (s *simulation) carryOut(v *simulatedVoter, actions []Action) {
	for _, a := range actions {
		switch a := a.(type) {
		case Save:
			s.save(v, a.State)
		case Halted:
			s.haltReason = a.Err.Error()
		case CompactLog:
			v.disk.Snapshot = a.Snapshot
			v.disk.Entries = slices.DeleteFunc(slices.Clone(v.disk.Entries), func(e *raftpb.Entry) bool {
				return e.GetIndex() <= a.Snapshot.GetMetadata().GetIndex()
			})
		case Send:
			for _, m := range a.Messages {
				s.send(v, m)
			}
		case Response:
			if do := s.responses[a.RequestID]; do != nil {
				delete(s.responses, a.RequestID)
				do(a)
			}
		}
	}
}

// save writes a state to the voter's disk after a delay, unless the voter crashes before the write.
func (s *simulation) save(v *simulatedVoter, state PersistentState) {
	incarnation := v.incarnation
	v.saving = &state
	if s.defect.sendsBeforeSave {
		s.after(0, func() { s.whenRunning(v, func() { s.handleAtVoter(v, SaveCompleted{}) }) })
		return
	}
	s.after(v.saveDelay+time.Duration(s.rng.IntN(8))*ms, func() {
		s.whenRunning(v, func() {
			if v.incarnation != incarnation {
				return
			}
			v.write(state)
			v.saving = nil
			s.handleAtVoter(v, SaveCompleted{})
		})
	})
}

// write puts a state on the voter's disk.
func (v *simulatedVoter) write(state PersistentState) {
	if state.HardState != nil {
		v.disk.HardState = state.HardState
	}
	if state.Snapshot != nil {
		v.disk.Snapshot, v.disk.Entries = state.Snapshot, nil
	}
	for _, e := range state.Entries {
		replaced := slices.IndexFunc(v.disk.Entries, func(x *raftpb.Entry) bool { return x.GetIndex() >= e.GetIndex() })
		if replaced >= 0 {
			v.disk.Entries = v.disk.Entries[:replaced:replaced]
		}
		v.disk.Entries = append(v.disk.Entries, e)
	}
}

// send delivers a message to another voter; some messages are lost, duplicated or delayed.
func (s *simulation) send(from *simulatedVoter, m *raftpb.Message) {
	data, err := Encode(m)
	if err != nil {
		panic(err)
	}
	s.messages++
	if m.GetTo() > uint64(len(s.voters)) {
		return // the voter with that ID has not started yet
	}
	to := s.voters[m.GetTo()-1]
	copies := 1
	switch s.rng.IntN(20) {
	case 0:
		copies = 0
	case 1:
		copies = 2
	}
	for range copies {
		delay := time.Duration(s.rng.IntN(10)) * ms
		if s.rng.IntN(50) == 0 {
			delay = time.Duration(s.rng.IntN(800)) * ms
		}
		s.after(delay, func() {
			if !s.cutLinks[[2]uint64{from.id, to.id}] {
				s.whenRunning(to, func() { s.deliver(to, data) })
			}
		})
	}
}

func (s *simulation) deliver(to *simulatedVoter, data []byte) {
	m, err := Decode(data)
	if err != nil {
		panic(err)
	}
	s.handleAtVoter(to, MessageReceived{m})
}
