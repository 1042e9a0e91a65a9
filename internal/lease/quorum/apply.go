package quorum

import (
	"encoding/binary"
	"errors"

	"github.com/fxamacker/cbor/v2"
	"go.etcd.io/raft/v3"
	"go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"

	"mulleinpier/internal/lease"
)

const (
	// snapshotInterval is the number of entries that are applied between two snapshots.
	snapshotInterval = 2000
	// keptEntries is the number of entries before a snapshot that stay in the log, for voters that are slightly behind.
	keptEntries = 200
)

// advance handles the next Ready of the raft library, unless an earlier Ready is being saved. It also notices that this
// voter no longer leads.
func (r *Replica) advance() {
	if r.leading && r.node.BasicStatus().RaftState != raft.StateLeader {
		r.loseLeadership()
	}
	if r.saving != nil || !r.node.HasReady() {
		return
	}
	ready := r.node.Ready()
	r.saving = &ready
	state := PersistentState{Entries: ready.Entries}
	if hasHardState(&ready) {
		state.HardState = ready.HardState
	}
	if hasSnapshot(&ready) {
		state.Snapshot = ready.Snapshot
	}
	if state.HardState == nil && state.Snapshot == nil && len(state.Entries) == 0 {
		r.saveCompleted()
		r.advance()
		return
	}
	r.emit(Save{state})
}

func hasHardState(ready *raft.Ready) bool {
	return ready.HardState != nil && !raft.IsEmptyHardState(ready.HardState)
}

func hasSnapshot(ready *raft.Ready) bool {
	return ready.Snapshot != nil && !raft.IsEmptySnap(ready.Snapshot)
}

// saveCompleted sends the messages and applies the entries that waited for the save.
func (r *Replica) saveCompleted() {
	if r.saving == nil {
		return
	}
	ready := *r.saving
	r.saving = nil
	if hasSnapshot(&ready) {
		if err := errors.Join(r.storage.ApplySnapshot(ready.Snapshot), r.restore(ready.Snapshot)); err != nil {
			panic(err) // Handle halts this voter
		}
	}
	if hasHardState(&ready) {
		r.storage.SetHardState(ready.HardState)
	}
	r.storage.Append(ready.Entries)
	if len(ready.Messages) > 0 {
		r.emit(Send{ready.Messages})
	}
	for _, e := range ready.CommittedEntries {
		r.apply(e)
	}
	for _, s := range ready.ReadStates {
		if len(s.RequestCtx) == 8 {
			r.handleExpiryEvent(lease.LeadershipConfirmed{Sequence: binary.BigEndian.Uint64(s.RequestCtx)})
		}
	}
	r.node.Advance(ready)
	r.compact()
}

// apply applies a committed entry. Every voter skips an entry without a readable command.
func (r *Replica) apply(e *raftpb.Entry) {
	r.applied = e.GetIndex()
	r.checkLeadershipAcquired(e)
	data, change := decodeEntryData(e)
	var entry logEntry
	if len(data) == 0 || cbor.Unmarshal(data, &entry) != nil {
		if change != nil {
			r.node.ApplyConfChange(&raftpb.ConfChange{}) // completes the change of voters without effect
		}
		return
	}
	result := r.machine.Apply(&entry.Command)
	if change != nil {
		r.applyVoterChange(change, result.Err)
	}
	r.handleExpiryEvent(lease.CommandApplied{Command: entry.Command, Result: result})
	if len(result.NewGrants) > 0 && r.leading {
		r.emit(WaitersGranted{entry.Command.Task, result.NewGrants})
	}
	r.answerProposal(&entry, &result)
}

// checkLeadershipAcquired makes this voter lead once it applies the first committed entry of its own term as leader:
// all entries committed before that term precede this entry.
func (r *Replica) checkLeadershipAcquired(e *raftpb.Entry) {
	status := r.node.BasicStatus()
	if !r.leading && status.RaftState == raft.StateLeader && e.GetTerm() == status.GetTerm() {
		r.leading = true
		r.handleExpiryEvent(lease.LeadershipAcquired{})
		r.emit(LeadershipChanged{true})
	}
}

// decodeEntryData returns the encoded logEntry of an entry, and the change of voters if the entry is one.
func decodeEntryData(e *raftpb.Entry) (data []byte, change *raftpb.ConfChange) {
	if e.GetType() != raftpb.EntryType_EntryConfChange {
		return e.GetData(), nil
	}
	change = new(raftpb.ConfChange)
	if err := proto.Unmarshal(e.GetData(), change); err != nil {
		panic(err) // Handle halts this voter
	}
	return change.GetContext(), change
}

// applyVoterChange applies a change of voters to raft. A change that the state machine has rejected has no effect.
func (r *Replica) applyVoterChange(change *raftpb.ConfChange, rejected error) {
	if rejected != nil {
		r.node.ApplyConfChange(&raftpb.ConfChange{})
		return
	}
	r.voters = r.node.ApplyConfChange(change)
	r.votersChanged = true
}

// answerProposal answers the request that an entry was proposed for, if this voter proposed the entry in this run.
func (r *Replica) answerProposal(entry *logEntry, result *lease.Result) {
	if _, isPending := r.proposals[entry.RequestID]; !isPending || entry.Proposer != r.incarnation {
		return
	}
	delete(r.proposals, entry.RequestID)
	response := Response{RequestID: entry.RequestID, Err: result.Err}
	switch {
	case result.Err != nil:
		response.Outcome = lease.Rejected
	case entry.Command.Kind != lease.Acquire: // the command succeeded; see Response for the outcome
		response.Outcome = lease.NotHeld
	case result.Grant.Token == 0:
		response.Outcome = lease.Queued
	case result.Created:
		response.Outcome = lease.Granted
		response.Token = result.Grant.Token
	default:
		r.renew(entry.RequestID, entry.Command.Task, result.Grant.Token)
		return
	}
	r.emit(response)
}

// compact compacts the log at a snapshot: every snapshotInterval entries, and after a change of voters, because a new
// voter is initialized from a snapshot that lists it.
func (r *Replica) compact() {
	if r.applied < r.snapshotIndex+snapshotInterval && !r.votersChanged {
		return
	}
	data, err := cbor.Marshal(r.machine)
	if err != nil {
		return
	}
	snapshot, err := r.storage.CreateSnapshot(r.applied, r.voters, data)
	if err != nil {
		return
	}
	r.snapshotIndex = r.applied
	r.votersChanged = false
	if r.applied > keptEntries {
		r.storage.Compact(r.applied - keptEntries)
	}
	r.emit(CompactLog{snapshot})
}
