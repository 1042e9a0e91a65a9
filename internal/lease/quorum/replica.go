package quorum

import (
	"errors"
	"fmt"
	"time"

	"go.etcd.io/raft/v3"
	"go.etcd.io/raft/v3/raftpb"

	"mulleinpier/internal/lease"
)

// TickInterval is the time between two Tick events.
const TickInterval = 30 * time.Millisecond

const (
	// electionTicks is the election timeout, which raft randomizes up to twice this value: a voter starts an election
	// after 300 to 600 ms without a message from a leader.
	electionTicks = 10
	// neverTicks is an election timeout that no replica reaches (more than a year).
	neverTicks = 1 << 30

	maxMessageBytes     = 256 << 10
	maxInFlightMessages = 64
	maxUncommittedBytes = 1 << 20
)

// Replica is one voter: its raft node, state machine and expiry manager.
type Replica struct {
	id          uint64
	incarnation uint64 // of this run of the voter: distinguishes its proposals from those of earlier runs
	node        *raft.RawNode
	storage     *raft.MemoryStorage
	parameters  lease.Parameters
	machine     *lease.StateMachine
	expiry      *lease.ExpiryManager
	voters      *raftpb.ConfState

	saving        *raft.Ready // the Ready that is being saved, or nil
	applied       uint64      // index of the last entry that was applied
	snapshotIndex uint64      // of the last snapshot
	votersChanged bool        // the voters have changed since the last snapshot
	leading       bool
	halted        bool

	proposals     map[uint64]lease.Command // proposals of this incarnation, by request ID
	renewals      map[uint64]pendingRenewal
	lastRenewalID uint64

	actions []Action // in response to the event that is being handled
	now     time.Duration
}

// Elections says when a voter starts an election.
type Elections uint8

// The kinds of elections.
const (
	AutomaticElections Elections = iota // after electionTicks without a message from a leader
	ManualElections                     // only by [Replica.Campaign]
)

// New returns a voter that continues from a saved state. The incarnation must differ from that of every
// earlier run.
func New(
	id, incarnation uint64, saved PersistentState, parameters lease.Parameters, elections Elections,
) (r *Replica, err error) {
	defer func() { // the library panics if the state is inconsistent
		if cause := recover(); cause != nil {
			r, err = nil, fmt.Errorf("quorum: %v", cause)
		}
	}()
	r = &Replica{
		id:          id,
		incarnation: incarnation,
		storage:     raft.NewMemoryStorage(),
		parameters:  parameters,
		proposals:   make(map[uint64]lease.Command),
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

// load fills the state machine and the library's storage from a saved state.
func (r *Replica) load(saved PersistentState) error {
	if saved.Snapshot == nil || saved.HardState == nil {
		return errors.New("quorum: the saved state has no snapshot or no hard state")
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

// loadSnapshot makes the storage start from a snapshot. A snapshot with index 0 belongs to a joining voter that has not
// received anything yet.
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
		ticks = neverTicks
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

// restore replaces the state machine with that of a snapshot.
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

// IsLeader reports whether this voter leads and has applied all entries committed before its term.
func (r *Replica) IsLeader() bool { return r.leading && !r.halted }

// Leader returns the ID of the leader as far as this voter knows, 0 for none.
func (r *Replica) Leader() uint64 { return r.node.BasicStatus().Lead }

// StateMachine returns the state machine with all entries that this voter has applied. The caller must not change it.
func (r *Replica) StateMachine() *lease.StateMachine { return r.machine }

// TimeLeft returns the time until a grant expires. It is up to date only on the leader.
func (r *Replica) TimeLeft(token uint64, now time.Duration) (time.Duration, bool) {
	return r.expiry.TimeLeft(token, now)
}

// Campaign starts an election without waiting for the election timeout, and returns the resulting actions. It does
// nothing on a voter that has halted.
func (r *Replica) Campaign(now time.Duration) []Action {
	r.now, r.actions = now, nil
	if !r.halted {
		r.node.Campaign()
		r.advance()
	}
	return r.actions
}

// Handle handles an event that occurs at now, and returns the resulting actions. The clock of now has to include the
// time that the machine sleeps.
func (r *Replica) Handle(now time.Duration, event Event) (actions []Action) {
	r.now, r.actions = now, nil
	defer func() { // the library panics if this voter has lost saved state that the others rely on
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
		r.handleExpiryEvent(lease.Tick{})
	case MessageReceived:
		r.node.Step(e.Message) // the error is ignored: it says only that the message was dropped
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

func (r *Replica) emit(a Action) { r.actions = append(r.actions, a) }

// halt ends this voter's participation until its process restarts.
func (r *Replica) halt(err error) []Action {
	r.halted, r.actions = true, nil
	r.loseLeadership()
	r.emit(Halted{err})
	return r.actions
}

// loseLeadership answers this voter's pending requests with NoAnswer: its proposals may still be committed.
func (r *Replica) loseLeadership() {
	r.leading = false
	r.handleExpiryEvent(lease.LeadershipLost{})
	for id := range r.proposals {
		r.emit(Response{RequestID: id})
	}
	clear(r.proposals)
	r.emit(LeadershipChanged{false})
}
