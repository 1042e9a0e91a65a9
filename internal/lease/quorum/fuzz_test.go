package quorum

import (
	"testing"

	"go.etcd.io/raft/v3/raftpb"

	"mulleinpier/internal/lease"
)

// FuzzHeard guards what voters send one another: whatever comes is not read, dropped, taken, or has this voter stand
// down; nothing of it ends the process, and a voter that has stood down says nothing more.
func FuzzHeard(f *testing.F) {
	for _, kind := range []raftpb.MessageType{raftpb.MessageType_MsgHeartbeat, raftpb.MessageType_MsgApp, raftpb.MessageType_MsgVote, raftpb.MessageType_MsgSnap} {
		text, err := Encode(&raftpb.Message{Type: kind.Enum(), From: ptr(uint64(2)), To: ptr(uint64(1)), Term: ptr(uint64(3)), Index: ptr(uint64(1)), LogTerm: ptr(uint64(1)),
			Commit: ptr(uint64(1)), Snapshot: &raftpb.Snapshot{Data: []byte{0xa0}, Metadata: &raftpb.SnapshotMetadata{Index: ptr(uint64(9)), Term: ptr(uint64(2)),
				ConfState: &raftpb.ConfState{Voters: []uint64{1, 2, 3}}}}})
		if err != nil {
			f.Fatal(err)
		}
		f.Add(text)
	}
	first, err := InitialState("a", "b", "c")
	if err != nil {
		f.Fatal(err)
	}
	f.Fuzz(func(t *testing.T, text []byte) {
		m, err := Decode(text)
		if err != nil {
			return
		}
		r, err := New(1, 7, first, lease.DefaultParameters, true)
		if err != nil {
			t.Fatal(err)
		}
		down := false
		for _, event := range []Event{MessageReceived{m}, SaveCompleted{}, Tick{}, SaveCompleted{}, RequestReceived{RequestID: 1, Command: lease.Command{Kind: lease.Acquire, Task: "x", Holder: "h", Nonce: 1, Duration: lease.DefaultParameters.MinDuration}}} {
			for _, a := range r.Handle(0, event) {
				switch a.(type) {
				case Halted:
					down = true
				case Send, Save:
					if down {
						t.Fatalf("%T of one that has stood down", a)
					}
				}
			}
		}
	})
}
