package agent

import (
	"encoding/binary"
	"errors"
	"fmt"

	"go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"

	"mulleinpier/internal/lease/quorum"
	"mulleinpier/internal/store"
)

// The names of the records in a voter's file.
const (
	recordHardState = "hard"
	recordSnapshot  = "snapshot"
	recordFleet     = "fleet"
	recordVoterID   = "seat" // only in the file of a voter that joined later; a first voter's ID is in the snapshot
)

// InitVoter creates the file of one of a fleet's first voters. It may be called only once for each voter ID: a voter
// that has lost its file may not vote again under the same ID, because it does not know what it has promised.
func InitVoter(path string, f *Fleet) error {
	if err := f.Validate(); err != nil {
		return err
	}
	var names []string
	for _, v := range f.Voters {
		names = append(names, v.Name)
	}
	state, err := quorum.InitialState(names...)
	if err != nil {
		return err
	}
	return createStorage(path, f, state, 0)
}

// InitJoiningVoter creates the file of a voter that has been added under a new ID.
func InitJoiningVoter(path string, f *Fleet, id uint64) error {
	if err := f.Validate(); err != nil {
		return err
	}
	state, err := quorum.JoiningState()
	if err != nil {
		return err
	}
	return createStorage(path, f, state, id)
}

func createStorage(path string, f *Fleet, state quorum.PersistentState, id uint64) error {
	c, err := storageChange(state)
	if err != nil {
		return err
	}
	c.Named[recordFleet] = []byte(f.Name)
	if id > 0 {
		c.Named[recordVoterID] = binary.BigEndian.AppendUint64(nil, id)
	}
	return store.Create(path, c)
}

// storageChange converts a state that is to be saved into a change of the store.
func storageChange(s quorum.PersistentState) (c store.Change, err error) {
	c.Named = make(map[string][]byte)
	if s.HardState != nil {
		if c.Named[recordHardState], err = proto.Marshal(s.HardState); err != nil {
			return c, fmt.Errorf("leases: hard state: %w", err)
		}
	}
	if s.Snapshot != nil {
		if c.Named[recordSnapshot], err = proto.Marshal(s.Snapshot); err != nil {
			return c, fmt.Errorf("leases: snapshot: %w", err)
		}
		c.DropFrom = 1 // drop the whole log, because the snapshot replaces it
	}
	for _, e := range s.Entries {
		data, err := proto.Marshal(e)
		if err != nil {
			return c, fmt.Errorf("leases: entry %d: %w", e.GetIndex(), err)
		}
		if c.DropFrom == 0 {
			c.DropFrom = e.GetIndex()
		}
		c.Records = append(c.Records, store.Record{Index: e.GetIndex(), Data: data})
	}
	return c, nil
}

// loadState reads the saved state of a voter, and the voter's ID if it joined later; the ID of a first voter is 0. It
// fails if the file belongs to another fleet.
func loadState(l *store.Log, fleet string) (s quorum.PersistentState, id uint64, err error) {
	named, records, err := l.Load()
	if err != nil {
		return s, 0, err
	}
	if data := named[recordVoterID]; len(data) == 8 {
		id = binary.BigEndian.Uint64(data)
	}
	if got := string(named[recordFleet]); got != fleet {
		return s, 0, fmt.Errorf("leases: the file belongs to fleet %q, not to %q", got, fleet)
	}
	s.HardState, s.Snapshot = new(raftpb.HardState), new(raftpb.Snapshot)
	err = errors.Join(
		proto.Unmarshal(named[recordHardState], s.HardState),
		proto.Unmarshal(named[recordSnapshot], s.Snapshot),
	)
	if err != nil {
		return s, 0, fmt.Errorf("leases: %w", err)
	}
	for _, r := range records {
		e := new(raftpb.Entry)
		if err := proto.Unmarshal(r.Data, e); err != nil {
			return s, 0, fmt.Errorf("leases: entry %d: %w", r.Index, err)
		}
		if e.GetIndex() > s.Snapshot.GetMetadata().GetIndex() {
			s.Entries = append(s.Entries, e)
		}
	}
	return s, id, nil
}
