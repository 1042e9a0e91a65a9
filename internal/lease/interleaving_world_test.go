package lease

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"
)

// This file is a small model whose interleavings the tests explore: two voters that lead one after the other, two
// contenders for one task, one change of leader that the old leader may not notice, one crash and restart of a
// contender, one stop of a contender, and messages that are lost, delayed and duplicated. The model assumes that the
// leader has a majority of the voters, because the consensus library has a proof of its own.

// worldTick is the time step of the model.
const worldTick = 100 * ms

// maxMessagesInFlight limits the messages in flight; further ones are lost.
const maxMessagesInFlight = 3

// leaseTicks is the duration of a lease in ticks.
const leaseTicks = 4

// worldParameters allow a clock drift that is large enough to make a difference within a lease of leaseTicks.
var worldParameters = Parameters{
	MaxClockDrift: 0.25,
	SafetyMargin:  worldTick,
	MinDuration:   worldTick,
	MaxDuration:   time.Hour,
}

// plantedDefect is a defect that a test puts into the model to check that it is found.
type plantedDefect struct {
	noMargin             bool // SafetyMargin and MaxClockDrift are 0
	newLeaderLacksGrants bool // the new leader does not know the old one's grants
	countsFromResponse   bool // a holder counts its lease from the response, not from the request
	excessiveDrift       bool // holders' clocks are slower than MaxClockDrift allows
	inheritedLeasesEnded bool // a new leader considers all inherited leases expired
}

type messageKind byte

const (
	requestMessage      messageKind = 'q'
	responseMessage     messageKind = 'a'
	confirmationMessage messageKind = 'c' // of leadership
)

type message struct {
	kind        messageKind
	voter       int
	contender   int
	incarnation int // of the contender
	request     SendRequest
	response    Response
	sequence    uint64 // of a confirmation
}

// faults says how often each fault may occur.
type faults struct{ lose, duplicate, changeLeader, stop, crash, release int }

// world is one state of the model.
type world struct {
	now               int // ticks
	leader            int // the voter that has a majority; voter 0 may still believe that it leads
	machines          [2]*StateMachine
	managers          [2]*ExpiryManager
	sessions          [2]*Session
	incarnations      [2]int
	stopped           int // contender, -1 for none
	inFlight          []message
	renewals          map[uint64]message // requests that wait for a confirmation of leadership, by request ID
	lastRequestID     uint64
	highestToken      uint64 // highest fencing token that a valid session had
	faultsLeft        faults
	oldLeaderNotified bool // voter 0 knows that it no longer leads
	defect            plantedDefect
	parameters        Parameters
}

func newWorld(defect plantedDefect, f faults) *world {
	w := &world{
		stopped:    -1,
		renewals:   make(map[uint64]message),
		defect:     defect,
		parameters: worldParameters,
		faultsLeft: f,
	}
	if defect.noMargin {
		w.parameters.SafetyMargin = 0
		w.parameters.MaxClockDrift = 0
	}
	for v := range w.machines {
		w.machines[v] = NewStateMachine()
		w.managers[v] = NewExpiryManager(w.parameters, w.machines[v])
	}
	w.managers[0].Handle(0, LeadershipAcquired{}, nil)
	for i := range w.sessions {
		w.sessions[i] = w.newSession(fmt.Sprint("c", i, ".0"), uint64(i+1))
	}
	return w
}

func (w *world) newSession(holder string, nonce uint64) *Session {
	return NewSession(w.parameters, Command{
		Kind: Acquire, Task: "a", Holder: holder, Nonce: nonce, Duration: leaseTicks * worldTick, Wait: true,
	})
}

// voterNow returns the time by the voters' clock, which runs fast by MaxClockDrift.
func (w *world) voterNow() time.Duration { return w.scale(1 + worldParameters.MaxClockDrift) }

// holderNow returns the time by the contenders' clock, which runs slow by MaxClockDrift.
func (w *world) holderNow() time.Duration {
	if w.defect.excessiveDrift {
		return w.scale(0.25)
	}
	return w.scale(1 - worldParameters.MaxClockDrift)
}

func (w *world) scale(by float64) time.Duration {
	return time.Duration(float64(w.now) * by * float64(worldTick))
}

func (w *world) copy() *world {
	c := *w
	for v := range w.machines {
		machine := &StateMachine{Tasks: make(map[string]*Task)}
		copyTasks(machine, w.machines[v])
		manager := *w.managers[v]
		manager.machine = machine
		manager.deadlines = maps.Clone(manager.deadlines)
		manager.waiterLastSeen = maps.Clone(manager.waiterLastSeen)
		manager.unconfirmedRenewals = slices.Clone(manager.unconfirmedRenewals)
		c.machines[v] = machine
		c.managers[v] = &manager
	}
	for i := range w.sessions {
		session := *w.sessions[i]
		c.sessions[i] = &session
	}
	c.inFlight = slices.Clone(w.inFlight)
	c.renewals = maps.Clone(w.renewals)
	return &c
}

// copyTasks copies the tasks and the last token of one voter to another.
func copyTasks(to, from *StateMachine) {
	for name, t := range from.Tasks {
		to.Tasks[name] = &Task{
			MaxHolders: t.MaxHolders,
			Grants:     slices.Clone(t.Grants),
			Waiters:    slices.Clone(t.Waiters),
		}
	}
	to.LastToken = from.LastToken
}

// key returns a text that identifies the state.
func (w *world) key() string {
	var b strings.Builder
	fmt.Fprint(&b, w.now, w.leader, w.incarnations, w.stopped, w.highestToken, w.faultsLeft, w.oldLeaderNotified, "|")
	for v := range w.machines {
		for name, t := range w.machines[v].Tasks {
			fmt.Fprint(&b, name, *t)
		}
		m := w.managers[v]
		fmt.Fprint(&b, w.machines[v].LastToken, m.leading, m.deadlines, m.waiterLastSeen)
		fmt.Fprint(&b, m.unconfirmedRenewals, m.lastSequence, "|")
		s := w.sessions[v]
		fmt.Fprint(&b, s.state, s.token, s.validUntil, s.nextRequest, s.requestSent, s.requestPending, s.sequence, "|")
	}
	inFlight := make([]string, len(w.inFlight))
	for i := range w.inFlight {
		inFlight[i] = fmt.Sprint(w.inFlight[i])
	}
	slices.Sort(inFlight)
	fmt.Fprint(&b, inFlight, w.renewals)
	return b.String()
}

func (w *world) send(m message) {
	if len(w.inFlight) < maxMessagesInFlight {
		w.inFlight = append(w.inFlight, m)
	} // else the message is lost
}

func (w *world) respond(to message, r Response) {
	w.send(message{kind: responseMessage, contender: to.contender, incarnation: to.incarnation, response: r})
}

// handleAtVoter passes an event to a voter's expiry manager and carries out its actions.
func (w *world) handleAtVoter(v int, event ExpiryEvent) {
	for _, a := range w.managers[v].Handle(w.voterNow(), event, nil) {
		switch a := a.(type) {
		case ConfirmLeadership:
			if v == w.leader { // a majority confirms the leadership now; the confirmation may be delayed
				w.send(message{kind: confirmationMessage, voter: v, sequence: a.Sequence})
			}
		case RenewalResult:
			m := w.renewals[a.RequestID]
			delete(w.renewals, a.RequestID)
			w.respond(m, Response{m.request.Sequence, a.Outcome, m.request.Token})
		case Propose:
			if v == w.leader {
				w.commit(v, a.Command)
			}
		}
	}
}

// commit applies a command at the voter v, which must be the leader.
func (w *world) commit(v int, c Command) Result {
	r := w.machines[v].Apply(&c)
	w.handleAtVoter(v, CommandApplied{c, r})
	return r
}

func (w *world) renew(v int, m message, token uint64) {
	w.lastRequestID++
	m.request.Token = token
	w.renewals[w.lastRequestID] = m
	w.handleAtVoter(v, Renew{w.lastRequestID, "a", token})
}

// deliver delivers a message to its receiver; a request goes to voter v.
func (w *world) deliver(m message, v int) {
	switch m.kind {
	case requestMessage:
		w.deliverRequest(m, v)
	case confirmationMessage:
		w.handleAtVoter(m.voter, LeadershipConfirmed{m.sequence})
	case responseMessage:
		if m.incarnation == w.incarnations[m.contender] {
			w.handleAtContender(m.contender, m.response)
		}
	}
}

func (w *world) deliverRequest(m message, v int) {
	switch {
	case !w.managers[v].IsLeader():
		w.respond(m, Response{Sequence: m.request.Sequence})
		return
	case m.request.Token > 0:
		w.renew(v, m, m.request.Token)
		return
	case v != w.leader: // a deposed leader's proposal is never committed
		return
	}
	w.handleAtVoter(v, WaiterSeen{"a", m.request.Command.Holder, m.request.Command.Nonce})
	r := w.commit(v, m.request.Command)
	switch {
	case r.Grant.Token > 0 && !r.Created:
		w.renew(v, m, r.Grant.Token)
	case r.Grant.Token > 0:
		w.respond(m, Response{m.request.Sequence, Granted, r.Grant.Token})
	default:
		w.respond(m, Response{Sequence: m.request.Sequence, Outcome: Queued})
	}
}

// handleAtContender passes an event to a contender's session and carries out its actions.
func (w *world) handleAtContender(i int, e SessionEvent) {
	s := w.sessions[i]
	r, isResponse := e.(Response)
	if w.defect.countsFromResponse && isResponse &&
		r.Outcome == Granted && s.requestPending && r.Sequence == s.sequence {
		s.requestSent = w.holderNow()
	}
	for _, a := range s.Handle(w.holderNow(), e, nil) {
		m := message{kind: requestMessage, contender: i, incarnation: w.incarnations[i]}
		switch a := a.(type) {
		case SendRequest:
			m.request = a
			w.send(m)
		case SendRelease:
			m.request = SendRequest{Command: a.Command}
			w.send(m)
		}
	}
}

// passTick lets a tick pass. All voters and all contenders but a stopped one handle it.
func (w *world) passTick() {
	w.now++
	for v := range w.managers {
		w.handleAtVoter(v, Tick{})
	}
	for i := range w.sessions {
		if i != w.stopped {
			w.handleAtContender(i, TimerFired{})
		}
	}
}

// violation describes how the state violates a guarantee; "" if it violates none.
func (w *world) violation() string {
	valid := 0
	for _, s := range w.sessions {
		if token, ok := s.Valid(w.holderNow()); ok {
			if valid++; token < w.highestToken {
				return fmt.Sprintf("token %d after %d", token, w.highestToken)
			}
			w.highestToken = token
		}
	}
	if valid > 1 {
		return "two holders"
	}
	return ""
}
