// Package quorum is one voter of the leases: go.etcd.io/raft decides with the others on one log, which package
// lease's book is made of. It does no I/O and has no clock: whoever drives it saves, sends and answers.
//
// Guarantees:
//
//  1. Nothing is sent before what it promises has been saved.
//  2. A voter leads, for those who ask, only once it has applied all that was decided before it did.
//  3. A voter whose disk has failed says nothing any more.
//  4. What is kept is bounded: the log is cut at a snapshot of the book.
package quorum

import (
	"encoding/binary"
	"errors"
	"fmt"
	"time"

	"github.com/fxamacker/cbor/v2"
	"go.etcd.io/raft/v3"
	"go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"

	"mulleinpier/internal/lease"
)

// Bounds, and the times that follow from the tick.
const (
	TickInterval  = 30 * time.Millisecond
	electionTicks = 10 // a voter that hears nothing for 300 to 600 ms asks for votes
	mostPending   = 4096
	snapshotEvery = 2000 // entries
	keptBehind    = 200  // entries that a voter which is a little behind still gets
	mostUnsent    = 1 << 20
	mostMessage   = 256 << 10
	mostInFlight  = 64
	firstIndex    = 1
	firstTerm     = 1
)

// PersistentState is what a voter remembers.
type PersistentState struct {
	HardState *raftpb.HardState
	Snapshot  *raftpb.Snapshot // of the book, with the voters
	Entries   []*raftpb.Entry  // behind it
}

// InitialState is what every voter of a new fleet begins with, whose voters have the seats from 1 on.
func InitialState(names ...string) (PersistentState, error) {
	b := lease.NewStateMachine(names...)
	book, err := cbor.Marshal(b)
	if err != nil {
		return PersistentState{}, err
	}
	var voters []uint64
	for seat := range b.LastVoterID {
		voters = append(voters, seat+1)
	}
	return PersistentState{HardState: &raftpb.HardState{Term: ptr(uint64(firstTerm)), Vote: ptr(uint64(0)), Commit: ptr(uint64(firstIndex))},
		Snapshot: &raftpb.Snapshot{Data: book, Metadata: &raftpb.SnapshotMetadata{ConfState: &raftpb.ConfState{Voters: voters},
			Index: ptr(uint64(firstIndex)), Term: ptr(uint64(firstTerm))}}}, nil
}

// JoiningState is what a voter begins with that has been given a new seat: nothing, until a leader tells it.
func JoiningState() (PersistentState, error) {
	book, err := cbor.Marshal(lease.NewStateMachine())
	return PersistentState{HardState: &raftpb.HardState{Term: ptr(uint64(0)), Vote: ptr(uint64(0)), Commit: ptr(uint64(0))},
		Snapshot: &raftpb.Snapshot{Data: book, Metadata: &raftpb.SnapshotMetadata{ConfState: &raftpb.ConfState{}, Index: ptr(uint64(0)), Term: ptr(uint64(0))}}}, err
}

func ptr[T any](v T) *T { return &v }

// Event is what a Replica is told.
type Event interface{ event() }

type (
	// Tick is a tick.
	Tick struct{}
	// MessageReceived is a message of another voter.
	MessageReceived struct{ Message *raftpb.Message }
	// RequestReceived is a request: a command, or with Number the renewal of that grant. Tag names it in the answer.
	RequestReceived struct {
		RequestID uint64
		Command   lease.Command
		Token     uint64
	}
	// SaveCompleted tells that the latest Save has been carried out; Failed that it could not be.
	SaveCompleted struct{}
	SaveFailed    struct{ Err error }
)

func (Tick) event()            {}
func (MessageReceived) event() {}
func (RequestReceived) event() {}
func (SaveCompleted) event()   {}
func (SaveFailed) event()      {}

// Action is what a Replica wants done, in order.
type Action interface{ action() }

type (
	// Save makes things last, all or nothing; Done or Failed follows. A snapshot replaces the log up to it;
	// entries replace those of the same index and all behind.
	Save struct{ State PersistentState }
	// CompactLog drops the log up to a snapshot that is saved with it. No answer is needed.
	CompactLog struct{ Snapshot *raftpb.Snapshot }
	// Send takes messages to other voters; any may be lost.
	Send struct{ Messages []*raftpb.Message }
	// Response ends a request.
	Response struct {
		RequestID uint64
		Outcome   lease.Outcome
		Token     uint64
		Err       error
	}
	// WaitersGranted tells of grants to those who waited, while this voter leads.
	WaitersGranted struct {
		Task   string
		Grants []lease.Grant
	}
	// LeadershipChanged tells that this voter leads now, or not any more.
	LeadershipChanged struct{ IsLeader bool }
	// Halted tells that this voter says nothing any more: its disk has failed, or what it remembers can't be.
	Halted struct{ Err error }
)

func (Save) action()              {}
func (CompactLog) action()        {}
func (Send) action()              {}
func (Response) action()          {}
func (LeadershipChanged) action() {}
func (WaitersGranted) action()    {}
func (Halted) action()            {}

// entry is what the log holds.
type entry struct {
	Tag     uint64        `cbor:"1,keyasint"`
	By      uint64        `cbor:"2,keyasint"` // the voter that proposed it, in this run of it
	Command lease.Command `cbor:"3,keyasint"`
}

// Replica is one voter.
type Replica struct {
	id      uint64
	run     uint64
	node    *raft.RawNode
	storage *raft.MemoryStorage
	terms   lease.Parameters
	book    *lease.StateMachine
	keeper  *lease.ExpiryManager
	conf    *raftpb.ConfState

	ready   *raft.Ready // that is being saved
	applied uint64
	cut     uint64
	led     bool
	dead    bool
	seated  bool                     // the voters have changed since the last snapshot
	pending map[uint64]lease.Command // proposals of this run, by tag
	last    uint64                   // own tags
	renewed map[uint64]renewal       // renewals under way, by the keeper's tag
	out     []Action
	now     time.Duration
}

// renewal is what a keeper's answer belongs to.
type renewal struct{ tag, number uint64 }

// New returns the voter that remembers saved. Run must differ from any before it.
func New(id, run uint64, saved PersistentState, terms lease.Parameters, elections bool) (r *Replica, err error) {
	defer func() { // the library panics over a memory that can't be
		if wrong := recover(); wrong != nil {
			r, err = nil, fmt.Errorf("quorum: %v", wrong)
		}
	}()
	r = &Replica{id: id, run: run, terms: terms, storage: raft.NewMemoryStorage(), book: lease.NewStateMachine(), pending: make(map[uint64]lease.Command),
		renewed: make(map[uint64]renewal)}
	if saved.Snapshot == nil || saved.HardState == nil {
		return nil, errors.New("quorum: a voter without memory may not vote")
	}
	if err := r.restore(saved.Snapshot); err != nil {
		return nil, err
	}
	for i, e := range saved.Entries {
		if e.GetIndex() != r.applied+uint64(i)+1 {
			return nil, fmt.Errorf("quorum: the log has a gap before entry %d", e.GetIndex())
		}
	}
	if err := errors.Join(r.begin(saved.Snapshot), r.storage.SetHardState(saved.HardState), r.storage.Append(saved.Entries)); err != nil {
		return nil, fmt.Errorf("quorum: %w", err)
	}
	ticks := electionTicks
	if !elections {
		ticks = 1 << 30 // elections are the driver's, see Campaign
	}
	r.node, err = raft.NewRawNode(&raft.Config{ID: id, ElectionTick: ticks, HeartbeatTick: 1, Storage: r.storage, Applied: r.applied,
		MaxSizePerMsg: mostMessage, MaxInflightMsgs: mostInFlight, MaxUncommittedEntriesSize: mostUnsent, CheckQuorum: elections, PreVote: elections,
		DisableProposalForwarding: true, StepDownOnRemoval: true, Logger: silent{}})
	if err != nil {
		return nil, fmt.Errorf("quorum: %w", err)
	}
	return r, nil
}

// begin has the storage begin with a snapshot; one without an index is of a voter that has heard nothing yet.
func (r *Replica) begin(s *raftpb.Snapshot) error {
	if s.GetMetadata().GetIndex() == 0 {
		return nil
	}
	return r.storage.ApplySnapshot(s)
}

// restore puts a snapshot's book in place.
func (r *Replica) restore(s *raftpb.Snapshot) error {
	book := lease.NewStateMachine()
	if err := cbor.Unmarshal(s.GetData(), book); err != nil {
		return fmt.Errorf("quorum: snapshot: %w", err)
	}
	if book.Tasks == nil {
		book.Tasks = make(map[string]*lease.Task)
	}
	if book.Voters == nil {
		book.Voters = make(map[uint64]string)
	}
	r.book, r.keeper = book, lease.NewExpiryManager(r.terms, book)
	r.conf, r.applied, r.cut = s.GetMetadata().GetConfState(), s.GetMetadata().GetIndex(), s.GetMetadata().GetIndex()
	r.led = false
	return nil
}

// VoterIDOf finds a voter's seat in what it remembers, 0 for none.
func VoterIDOf(saved PersistentState, name string) (uint64, error) {
	book := lease.NewStateMachine()
	if err := cbor.Unmarshal(saved.Snapshot.GetData(), book); err != nil {
		return 0, fmt.Errorf("quorum: snapshot: %w", err)
	}
	return book.VoterID(name), nil
}

// IsLeader tells whether this voter leads, for those who ask.
func (r *Replica) IsLeader() bool { return r.led && !r.dead }

// Leader is the voter that leads as far as this one knows, 0 for none.
func (r *Replica) Leader() uint64 { return r.node.BasicStatus().Lead }

// StateMachine is what the voters have agreed on, as far as this one has heard. It is to be read only.
func (r *Replica) StateMachine() *lease.StateMachine { return r.book }

// TimeLeft is how long a grant is kept yet; it is known to the leader alone.
func (r *Replica) TimeLeft(number uint64, now time.Duration) (time.Duration, bool) {
	return r.keeper.TimeLeft(number, now)
}

// Campaign asks for votes at once.
func (r *Replica) Campaign(now time.Duration) []Action {
	r.now, r.out = now, nil
	if !r.dead {
		r.node.Campaign()
		r.turn()
	}
	return r.out
}

// Handle takes an event at a time, by a clock that counts the machine's sleep.
func (r *Replica) Handle(now time.Duration, event Event) (actions []Action) {
	r.now, r.out = now, nil
	defer func() { // the library panics over a memory that contradicts the others': this voter has lost some
		if wrong := recover(); wrong != nil {
			actions = r.standDown(fmt.Errorf("quorum: %v", wrong))
		}
	}()
	if r.dead {
		if e, ok := event.(RequestReceived); ok {
			return []Action{Response{RequestID: e.RequestID}}
		}
		return nil
	}
	switch e := event.(type) {
	case Tick:
		r.node.Tick()
		r.keep(lease.Tick{})
	case MessageReceived:
		r.node.Step(e.Message) // what can't be meant is dropped: its error tells no more
	case RequestReceived:
		r.ask(e)
	case SaveFailed:
		return r.standDown(fmt.Errorf("quorum: save: %w", e.Err))
	case SaveCompleted:
		r.saved()
	}
	r.turn()
	return r.out
}

// standDown ends this voter's part, for this run of it.
func (r *Replica) standDown(err error) []Action {
	r.dead, r.out = true, nil
	r.depose()
	return append(r.out, Halted{err})
}

// ask takes a request of a holder.
func (r *Replica) ask(e RequestReceived) {
	switch {
	case !r.led || len(r.pending) >= mostPending || len(r.renewed) >= mostPending:
		r.out = append(r.out, Response{RequestID: e.RequestID})
	case e.Token > 0:
		r.renew(e.RequestID, e.Command.Task, e.Token)
	default:
		err := r.terms.CheckCommand(&e.Command)
		if err == nil && (e.Command.Kind == lease.AddVoter || e.Command.Kind == lease.RemoveVoter) {
			e.Command.VoterID, err = r.book.CheckVoterChange(&e.Command)
		}
		if err != nil {
			r.out = append(r.out, Response{RequestID: e.RequestID, Outcome: lease.Refused, Err: err})
			return
		}
		if c := &e.Command; c.Kind == lease.Acquire {
			r.keep(lease.WaiterSeen{Task: c.Task, Holder: c.Holder, Nonce: c.Nonce})
			if done := r.known(e); done { // asked for again: nothing new is to be decided
				return
			}
		}
		r.propose(e.RequestID, e.Command)
	}
}

// known answers a Take that has been decided before, and tells whether it was.
func (r *Replica) known(e RequestReceived) bool {
	t := r.book.Tasks[e.Command.Task]
	if t == nil {
		return false
	}
	for _, g := range t.Grants {
		if g.Holder == e.Command.Holder && g.Nonce == e.Command.Nonce {
			r.renew(e.RequestID, e.Command.Task, g.Token)
			return true
		}
	}
	for _, w := range t.Waiters {
		if w.Holder == e.Command.Holder && w.Nonce == e.Command.Nonce {
			r.out = append(r.out, Response{RequestID: e.RequestID, Outcome: lease.Queued})
			return true
		}
	}
	return false
}

func (r *Replica) renew(tag uint64, task string, number uint64) {
	r.last++
	r.renewed[r.last] = renewal{tag, number}
	r.keep(lease.Renew{RequestID: r.last, Task: task, Token: number})
}

// propose puts a command before the voters; tag 0 for one of the keeper's own.
func (r *Replica) propose(tag uint64, c lease.Command) {
	data, err := cbor.Marshal(entry{Tag: tag, By: r.run, Command: c})
	switch {
	case err != nil:
	case c.Kind == lease.AddVoter:
		err = r.node.ProposeConfChange(&raftpb.ConfChange{Type: raftpb.ConfChangeType_ConfChangeAddNode.Enum(), NodeId: &c.VoterID, Context: data})
	case c.Kind == lease.RemoveVoter:
		err = r.node.ProposeConfChange(&raftpb.ConfChange{Type: raftpb.ConfChangeType_ConfChangeRemoveNode.Enum(), NodeId: &c.VoterID, Context: data})
	default:
		err = r.node.Propose(data)
	}
	switch {
	case err != nil && tag > 0:
		r.out = append(r.out, Response{RequestID: tag})
	case tag > 0:
		r.pending[tag] = c
	}
}

// keep gives the keeper an event and does what it asks.
func (r *Replica) keep(event lease.ExpiryEvent) {
	for _, a := range r.keeper.Handle(r.now, event, nil) {
		switch a := a.(type) {
		case lease.ConfirmLeadership:
			r.node.ReadIndex(binary.BigEndian.AppendUint64(nil, a.Sequence))
		case lease.Propose:
			r.propose(0, a.Command)
		case lease.RenewalResult:
			q := r.renewed[a.RequestID]
			delete(r.renewed, a.RequestID)
			answer := Response{RequestID: q.tag, Outcome: a.Outcome}
			if a.Outcome == lease.Granted {
				answer.Token = q.number
			}
			r.out = append(r.out, answer)
		}
	}
}

// turn takes the next of what raft wants done, if nothing is being saved.
func (r *Replica) turn() {
	if r.led && r.node.BasicStatus().RaftState != raft.StateLeader {
		r.depose()
	}
	if r.ready != nil || !r.node.HasReady() {
		return
	}
	ready := r.node.Ready()
	r.ready = &ready
	save := PersistentState{Entries: ready.Entries}
	if ready.HardState != nil && !raft.IsEmptyHardState(ready.HardState) {
		save.HardState = ready.HardState
	}
	if ready.Snapshot != nil && !raft.IsEmptySnap(ready.Snapshot) {
		save.Snapshot = ready.Snapshot
	}
	if save.HardState == nil && save.Snapshot == nil && len(save.Entries) == 0 {
		r.saved()
		r.turn()
		return
	}
	r.out = append(r.out, Save{save})
}

// saved goes on once what is ready lasts.
func (r *Replica) saved() {
	if r.ready == nil {
		return
	}
	ready := *r.ready
	r.ready = nil
	if ready.Snapshot != nil && !raft.IsEmptySnap(ready.Snapshot) {
		if err := errors.Join(r.storage.ApplySnapshot(ready.Snapshot), r.restore(ready.Snapshot)); err != nil {
			panic(err)
		}
	}
	if ready.HardState != nil && !raft.IsEmptyHardState(ready.HardState) {
		r.storage.SetHardState(ready.HardState)
	}
	r.storage.Append(ready.Entries)
	if len(ready.Messages) > 0 {
		r.out = append(r.out, Send{ready.Messages})
	}
	for _, e := range ready.CommittedEntries {
		r.apply(e)
	}
	for _, s := range ready.ReadStates {
		if len(s.RequestCtx) == 8 {
			r.keep(lease.LeadershipConfirmed{Sequence: binary.BigEndian.Uint64(s.RequestCtx)})
		}
	}
	r.node.Advance(ready)
	r.compact()
}

// apply carries out what has been decided.
func (r *Replica) apply(e *raftpb.Entry) {
	r.applied = e.GetIndex()
	status := r.node.BasicStatus()
	if !r.led && status.RaftState == raft.StateLeader && e.GetTerm() == status.GetTerm() {
		r.led = true // all that was decided before its term lies before this entry
		r.keep(lease.LeadershipAcquired{})
		r.out = append(r.out, LeadershipChanged{true})
	}
	data := e.GetData()
	var seats *raftpb.ConfChange
	if e.GetType() == raftpb.EntryType_EntryConfChange {
		seats = new(raftpb.ConfChange)
		if err := proto.Unmarshal(data, seats); err != nil {
			panic(err)
		}
		data = seats.GetContext()
	}
	var x entry
	if len(data) == 0 || cbor.Unmarshal(data, &x) != nil {
		if seats != nil {
			r.node.ApplyConfChange(&raftpb.ConfChange{}) // it is over, and changes nothing
		}
		return // every voter passes over it alike
	}
	result := r.book.Apply(&x.Command)
	switch {
	case seats == nil:
	case result.Err != nil: // refused: the library is told so by a change of nobody
		r.node.ApplyConfChange(&raftpb.ConfChange{})
	default:
		r.conf, r.seated = r.node.ApplyConfChange(seats), true
	}
	r.keep(lease.CommandApplied{Command: x.Command, Result: result})
	if len(result.NewGrants) > 0 && r.led {
		r.out = append(r.out, WaitersGranted{x.Command.Task, result.NewGrants})
	}
	if _, mine := r.pending[x.Tag]; !mine || x.By != r.run {
		return
	}
	delete(r.pending, x.Tag)
	switch answer := (Response{RequestID: x.Tag, Err: result.Err}); {
	case result.Err != nil:
		answer.Outcome = lease.Refused
		r.out = append(r.out, answer)
	case x.Command.Kind != lease.Acquire:
		answer.Outcome = lease.NotHeld
		r.out = append(r.out, answer)
	case result.Grant.Token == 0:
		answer.Outcome = lease.Queued
		r.out = append(r.out, answer)
	case result.Created:
		answer.Outcome, answer.Token = lease.Granted, result.Grant.Token
		r.out = append(r.out, answer)
	default:
		r.renew(x.Tag, x.Command.Task, result.Grant.Token)
	}
}

// depose ends what this voter has under way as a leader. What it proposed may be decided yet: nothing is known.
func (r *Replica) depose() {
	r.led = false
	r.keep(lease.LeadershipLost{})
	for tag := range r.pending {
		r.out = append(r.out, Response{RequestID: tag})
	}
	clear(r.pending)
	r.out = append(r.out, LeadershipChanged{false})
}

// compact cuts the log at a snapshot now and then.
func (r *Replica) compact() {
	if r.applied < r.cut+snapshotEvery && !r.seated { // a new voter is told by a snapshot in which it sits
		return
	}
	data, err := cbor.Marshal(r.book)
	if err != nil {
		return
	}
	snapshot, err := r.storage.CreateSnapshot(r.applied, r.conf, data)
	if err != nil {
		return
	}
	r.cut, r.seated = r.applied, false
	if r.applied > keptBehind {
		r.storage.Compact(r.applied - keptBehind)
	}
	r.out = append(r.out, CompactLog{snapshot})
}

// Encode and Decode take a message over a link.
func Encode(m *raftpb.Message) ([]byte, error) { return proto.Marshal(m) }

// Decode reads what Encode wrote.
func Decode(text []byte) (*raftpb.Message, error) {
	m := new(raftpb.Message)
	if err := proto.Unmarshal(text, m); err != nil {
		return nil, fmt.Errorf("quorum: message: %w", err)
	}
	return m, nil
}

// silent takes the library's log: what matters is told by actions.
type silent struct{}

func (silent) Debug(...any)            {}
func (silent) Debugf(string, ...any)   {}
func (silent) Error(...any)            {}
func (silent) Errorf(string, ...any)   {}
func (silent) Info(...any)             {}
func (silent) Infof(string, ...any)    {}
func (silent) Warning(...any)          {}
func (silent) Warningf(string, ...any) {}
func (silent) Fatal(v ...any)          { panic(fmt.Sprint(v...)) }
func (silent) Fatalf(f string, v ...any) {
	panic(fmt.Sprintf(f, v...))
}
func (silent) Panic(v ...any)            { panic(fmt.Sprint(v...)) }
func (silent) Panicf(f string, v ...any) { panic(fmt.Sprintf(f, v...)) }
