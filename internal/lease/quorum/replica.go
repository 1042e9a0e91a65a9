package quorum

import (
	"errors"
	"fmt"
	"time"

	"go.etcd.io/raft/v3"
	"go.etcd.io/raft/v3/raftpb"

	"mulleinpier/internal/lease"
)

// TickInterval is the time between two Ticks.
const TickInterval = 30 * time.Millisecond

const (
	// electionTicks without a message make a voter ask for votes: after 300 to 600 ms.
	electionTicks = 10
	// noElectionTicks are never reached.
	noElectionTicks = 1 << 30

	maxMessageBytes     = 256 << 10
	maxInFlightMessages = 64
	maxUncommittedBytes = 1 << 20
)

// Replica is one voter.
type Replica struct {
	id          uint64
	incarnation uint64 // of this run of the voter: tells its proposals from those of earlier runs
	node        *raft.RawNode
	storage     *raft.MemoryStorage
	parameters  lease.Parameters
	machine     *lease.StateMachine
	expiry      *lease.ExpiryManager
	voters      *raftpb.ConfState

	saving        *raft.Ready // what is being saved, nil for nothing
	applied       uint64      // index of the last entry that was applied
	snapshotIndex uint64      // of the last snapshot
	votersChanged bool        // since the last snapshot
	leading       bool
	halted        bool

	pending       map[uint64]lease.Command // proposals of this incarnation, by request ID
	renewals      map[uint64]pendingRenewal
	lastRenewalID uint64

	actions []Action // of the event that is being handled
	now     time.Duration
}

// Elections says when a voter asks for votes.
type Elections uint8

// The kinds of elections.
const (
	AutomaticElections Elections = iota // after electionTicks without a message
	ManualElections                     // by [Replica.Campaign] alone
)

// New returns the voter that remembers a saved state. The incarnation must differ from any before it.
func New(
	id, incarnation uint64, saved PersistentState, parameters lease.Parameters, elections Elections,
) (r *Replica, err error) {
	defer func() { // the library panics over a state that can't be
		if cause := recover(); cause != nil {
			r, err = nil, fmt.Errorf("quorum: %v", cause)
		}
	}()
	r = &Replica{
		id:          id,
		incarnation: incarnation,
		storage:     raft.NewMemoryStorage(),
		parameters:  parameters,
		pending:     make(map[uint64]lease.Command),
		renewals:    make(map[uint64]pendingRenewal),
	}
	if err := r.load(saved); err != nil {
		return nil, err
	}
	if r.node, err = raft.NewRawNode(r.raftConfig(elections)); err != nil {
		return nil, fmt.Errorf("quorum: %w", err)
	}
	return r, nil
}

// load fills the state machine and the library's storage.
func (r *Replica) load(saved PersistentState) error {
	if saved.Snapshot == nil || saved.HardState == nil {
		return errors.New("quorum: a voter without memory may not vote")
	}
	if err := r.restore(saved.Snapshot); err != nil {
		return err
	}
	for i, e := range saved.Entries {
		if e.GetIndex() != r.applied+uint64(i)+1 {
			return fmt.Errorf("quorum: the log has a gap before entry %d", e.GetIndex())
		}
	}
	err := errors.Join(
		r.loadSnapshot(saved.Snapshot),
		r.storage.SetHardState(saved.HardState),
		r.storage.Append(saved.Entries),
	)
	if err != nil {
		return fmt.Errorf("quorum: %w", err)
	}
	return nil
}

// loadSnapshot has the storage begin with a snapshot. One without an index is that of a voter which has heard nothing
// yet.
func (r *Replica) loadSnapshot(s *raftpb.Snapshot) error {
	if s.GetMetadata().GetIndex() == 0 {
		return nil
	}
	return r.storage.ApplySnapshot(s)
}

func (r *Replica) raftConfig(elections Elections) *raft.Config {
	isAutomatic := elections == AutomaticElections
	ticks := electionTicks
	if !isAutomatic {
		ticks = noElectionTicks
	}
	return &raft.Config{
		ID:                        r.id,
		ElectionTick:              ticks,
		HeartbeatTick:             1,
		Storage:                   r.storage,
		Applied:                   r.applied,
		MaxSizePerMsg:             maxMessageBytes,
		MaxInflightMsgs:           maxInFlightMessages,
		MaxUncommittedEntriesSize: maxUncommittedBytes,
		CheckQuorum:               isAutomatic,
		PreVote:                   isAutomatic,
		DisableProposalForwarding: true,
		StepDownOnRemoval:         true,
		Logger:                    discardLogger{},
	}
}

// restore puts a snapshot's state machine in place.
func (r *Replica) restore(s *raftpb.Snapshot) error {
	machine, err := decodeSnapshot(s)
	if err != nil {
		return err
	}
	r.machine = machine
	r.expiry = lease.NewExpiryManager(r.parameters, machine)
	r.voters = s.GetMetadata().GetConfState()
	r.applied = s.GetMetadata().GetIndex()
	r.snapshotIndex = r.applied
	r.leading = false
	return nil
}

// IsLeader reports whether this voter leads, for those who ask.
func (r *Replica) IsLeader() bool { return r.leading && !r.halted }

// Leader returns the ID of the voter that leads as far as this one knows, 0 for none.
func (r *Replica) Leader() uint64 { return r.node.BasicStatus().Lead }

// StateMachine returns what the voters have agreed on, as far as this one has heard. It is to be read only.
func (r *Replica) StateMachine() *lease.StateMachine { return r.machine }

// TimeLeft returns how long a grant is kept yet. It is known on the leader alone.
func (r *Replica) TimeLeft(token uint64, now time.Duration) (time.Duration, bool) {
	return r.expiry.TimeLeft(token, now)
}

// Campaign asks for votes at once.
func (r *Replica) Campaign(now time.Duration) []Action {
	r.now, r.actions = now, nil
	if !r.halted {
		r.node.Campaign()
		r.advance()
	}
	return r.actions
}

// Handle takes an event at a time, by a clock that counts the machine's sleep, and returns what is to be done.
func (r *Replica) Handle(now time.Duration, event Event) (actions []Action) {
	r.now, r.actions = now, nil
	defer func() { // the library panics over a memory that contradicts the others': this voter has lost some of its own
		if cause := recover(); cause != nil {
			actions = r.halt(fmt.Errorf("quorum: %v", cause))
		}
	}()
	if r.halted {
		if e, ok := event.(RequestReceived); ok {
			return []Action{Response{RequestID: e.RequestID}}
		}
		return nil
	}
	switch e := event.(type) {
	case Tick:
		r.node.Tick()
		r.tellExpiry(lease.Tick{})
	case MessageReceived:
		r.node.Step(e.Message) // a message that can't be meant is dropped: the error says no more
	case RequestReceived:
		r.handleRequest(e)
	case SaveFailed:
		return r.halt(fmt.Errorf("quorum: save: %w", e.Err))
	case SaveCompleted:
		r.saveCompleted()
	}
	r.advance()
	return r.actions
}

func (r *Replica) do(a Action) { r.actions = append(r.actions, a) }

// halt ends this voter's part, for this run of it.
func (r *Replica) halt(err error) []Action {
	r.halted, r.actions = true, nil
	r.loseLeadership()
	r.do(Halted{err})
	return r.actions
}

// loseLeadership ends what this voter has under way as a leader. What it proposed may be decided yet: nothing is known.
func (r *Replica) loseLeadership() {
	r.leading = false
	r.tellExpiry(lease.LeadershipLost{})
	for id := range r.pending {
		r.do(Response{RequestID: id})
	}
	clear(r.pending)
	r.do(LeadershipChanged{false})
}
