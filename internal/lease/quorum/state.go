package quorum

import (
	"fmt"

	"github.com/fxamacker/cbor/v2"
	"go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"

	"mulleinpier/internal/lease"
)

// Where the log of a new fleet begins.
const (
	firstIndex = 1
	firstTerm  = 1
)

// PersistentState is what a voter saves.
type PersistentState struct {
	HardState *raftpb.HardState
	Snapshot  *raftpb.Snapshot // of the state machine, with the voters
	Entries   []*raftpb.Entry  // after the snapshot
}

// InitialState returns what every voter of a new fleet begins with. The voters have the IDs from 1 on.
func InitialState(names ...string) (PersistentState, error) {
	machine := lease.NewStateMachine(names...)
	var voters []uint64
	for i := range machine.LastVoterID {
		voters = append(voters, i+1)
	}
	return newState(machine, voters, firstIndex, firstTerm)
}

// JoiningState returns what a voter begins with that has been given a new ID: nothing, until a leader sends it a
// snapshot.
func JoiningState() (PersistentState, error) {
	return newState(lease.NewStateMachine(), nil, 0, 0)
}

func newState(machine *lease.StateMachine, voters []uint64, index, term uint64) (PersistentState, error) {
	data, err := cbor.Marshal(machine)
	if err != nil {
		return PersistentState{}, fmt.Errorf("quorum: state machine: %w", err)
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

// VoterIDOf finds a voter's ID in its saved state, 0 for none.
func VoterIDOf(saved PersistentState, name string) (uint64, error) {
	machine, err := decodeSnapshot(saved.Snapshot)
	if err != nil {
		return 0, err
	}
	return machine.VoterID(name), nil
}

// decodeSnapshot reads the state machine of a snapshot.
func decodeSnapshot(s *raftpb.Snapshot) (*lease.StateMachine, error) {
	machine := lease.NewStateMachine()
	if err := cbor.Unmarshal(s.GetData(), machine); err != nil {
		return nil, fmt.Errorf("quorum: snapshot: %w", err)
	}
	if machine.Tasks == nil {
		machine.Tasks = make(map[string]*lease.Task)
	}
	if machine.Voters == nil {
		machine.Voters = make(map[uint64]string)
	}
	return machine, nil
}
