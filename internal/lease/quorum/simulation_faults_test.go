package quorum

import (
	"time"

	"mulleinpier/internal/lease"
)

// injectFault injects a random fault, and schedules the next one.
func (s *simulation) injectFault() {
	v := s.pickVoter()
	c := s.contenders[s.rng.IntN(len(s.contenders))]
	span := time.Duration(s.rng.IntN(1500)) * ms
	switch s.rng.IntN(7) {
	case 0:
		s.killVoter(v, span/2)
	case 1:
		s.stopVoter(v, span)
	case 2:
		s.stopContender(c, span)
	case 3: // the contender crashes, and its next run acquires the task again
		s.startContender(c)
	case 4:
		s.cutLink(v, span)
	case 5:
		if c.session.State(s.clock(c.clockRate)) == lease.Holding {
			s.whenContenderRuns(c, func() { s.handleAtContender(c, lease.ReleaseRequested{}) })
		}
	case 6:
		s.loseDisk(v)
	}
	s.after(time.Duration(100+s.rng.IntN(500))*ms, s.injectFault)
}

// killVoter kills a voter's process, and restarts it after downtime. A save in progress is written whole or not at all.
func (s *simulation) killVoter(v *simulatedVoter, downtime time.Duration) {
	if v.down {
		return
	}
	v.down = true
	if v.saving != nil && s.rng.IntN(2) == 0 {
		v.write(*v.saving)
	}
	v.deferred, v.stopped = nil, false
	s.after(downtime, func() {
		if !v.diskLost {
			s.startVoter(v)
		}
	})
}

func (s *simulation) stopVoter(v *simulatedVoter, span time.Duration) {
	if v.stopped || v.down {
		return
	}
	v.stopped = true
	s.after(span, func() {
		if !v.stopped {
			return
		}
		v.stopped = false
		deferred := v.deferred
		v.deferred = nil
		for _, do := range deferred {
			s.whenRunning(v, do)
		}
	})
}

func (s *simulation) stopContender(c *contender, span time.Duration) {
	if c.stopped {
		return
	}
	c.stopped = true
	s.after(span, func() {
		c.stopped = false
		deferred := c.deferred
		c.deferred = nil
		for _, do := range deferred {
			s.whenContenderRuns(c, do)
		}
	})
}

// cutLink cuts the link from a voter to another for the duration span, in one direction or both.
func (s *simulation) cutLink(from *simulatedVoter, span time.Duration) {
	to := s.pickVoter()
	way := [2]uint64{from.id, to.id}
	back := [2]uint64{to.id, from.id}
	s.cutLinks[way] = true
	if s.rng.IntN(2) == 0 {
		s.cutLinks[back] = true
	}
	s.after(span, func() {
		delete(s.cutLinks, way)
		delete(s.cutLinks, back)
	})
}

// loseDisk destroys a voter's disk. No other disk is lost until that voter has been replaced.
func (s *simulation) loseDisk(v *simulatedVoter) {
	if s.replacing || v.down || s.now <= time.Second {
		return
	}
	v.diskLost, v.down, v.stopped, v.deferred = true, true, false, nil
	s.replacing = true
	s.replaceVoter(v, lease.RemoveVoter)
}

// replaceVoter replaces a voter that has lost its disk, as an operator does: it removes the voter, and adds another
// with the same name, under a new ID and with an empty state. kind is the next step.
func (s *simulation) replaceVoter(v *simulatedVoter, kind lease.CommandKind) {
	continueWith := func(kind lease.CommandKind) { s.after(100*ms, func() { s.replaceVoter(v, kind) }) }
	leader := s.leader()
	if leader == nil {
		continueWith(kind)
		return
	}
	// A command may have been applied although no response arrived: the state machine shows whether it was.
	id := leader.replica.StateMachine().VoterID(v.name)
	switch {
	case kind == lease.RemoveVoter && id != v.id:
		continueWith(lease.AddVoter)
	case kind == lease.AddVoter && id != 0:
		s.startReplacement(v, id)
	default:
		s.lastRequestID++
		command := lease.Command{Kind: kind, To: v.name}
		s.handleAtVoter(leader, RequestReceived{RequestID: s.lastRequestID, Command: command})
		continueWith(kind)
	}
}

func (s *simulation) startReplacement(lost *simulatedVoter, id uint64) {
	v := &simulatedVoter{id: id, name: lost.name, clockRate: 1}
	v.disk, _ = JoiningState()
	for uint64(len(s.voters)) < id-1 { // fill the indices of IDs under which no voter was started
		unused := &simulatedVoter{id: uint64(len(s.voters) + 1), diskLost: true, down: true, replica: lost.replica}
		s.voters = append(s.voters, unused)
	}
	s.voters = append(s.voters, v)
	s.startVoter(v)
	s.tick(v)
	s.replacing = false
	s.replaced++
}
