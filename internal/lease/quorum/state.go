package quorum

import (
	"fmt"

	"github.com/fxamacker/cbor/v2"
	"go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"

	"mulleinpier/internal/lease"
)

// A new fleet's log starts with a snapshot of this index and term.
const (
	firstIndex = 1
	firstTerm  = 1
)

// PersistentState is the state that a voter saves. In a [Save], fields that are nil leave the saved ones unchanged.
type PersistentState struct {
	HardState *raftpb.HardState
	Snapshot  *raftpb.Snapshot // of the state machine, with the voters
	Entries   []*raftpb.Entry  // after the snapshot
}

// InitialState returns the state that every voter of a new fleet starts with. The voters get the IDs from 1 on, in the
// order of names.
func InitialState(names ...string) (PersistentState, error) {
	machine := lease.NewStateMachine(names...)
	var voters []uint64
	for i := range machine.LastVoterID {
		voters = append(voters, i+1)
	}
	return newState(machine, voters, firstIndex, firstTerm)
}

// JoiningState returns the state that a voter starts with when it joins under a new ID: it is empty, and a leader has
// to send the voter a snapshot.
func JoiningState() (PersistentState, error) {
	return newState(lease.NewStateMachine(), nil, 0, 0)
}

func newState(machine *lease.StateMachine, voters []uint64, index, term uint64) (PersistentState, error) {
	data, err := cbor.Marshal(machine)
	if err != nil {
		return PersistentState{}, fmt.Errorf("quorum: encode state machine: %w", err)
	}
	return PersistentState{
		HardState: &raftpb.HardState{
			Term:   proto.Uint64(term),
			Vote:   proto.Uint64(0),
			Commit: proto.Uint64(index),
		},
		Snapshot: &raftpb.Snapshot{
			Data: data,
			Metadata: &raftpb.SnapshotMetadata{
				ConfState: &raftpb.ConfState{Voters: voters},
				Index:     proto.Uint64(index),
				Term:      proto.Uint64(term),
			},
		},
	}, nil
}

// VoterIDOf returns the ID of the voter with a name in the snapshot of a saved state, or 0 if there is none.
func VoterIDOf(saved PersistentState, name string) (uint64, error) {
	machine, err := decodeSnapshot(saved.Snapshot)
	if err != nil {
		return 0, err
	}
	return machine.VoterID(name), nil
}

// decodeSnapshot decodes the state machine of a snapshot.
func decodeSnapshot(s *raftpb.Snapshot) (*lease.StateMachine, error) {
	machine := lease.NewStateMachine()
	if err := cbor.Unmarshal(s.GetData(), machine); err != nil {
		return nil, fmt.Errorf("quorum: decode snapshot: %w", err)
	}
	if machine.Tasks == nil {
		machine.Tasks = make(map[string]*lease.Task)
	}
	if machine.Voters == nil {
		machine.Voters = make(map[uint64]string)
	}
	return machine, nil
}
