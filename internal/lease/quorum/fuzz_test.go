package quorum

import (
	"testing"

	"go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"

	"mulleinpier/internal/lease"
)

// FuzzReceivedMessages checks that no message from another voter ends the process: a message is rejected by Decode,
// dropped or applied, or it halts this voter. A voter that has halted sends and saves nothing more.
func FuzzReceivedMessages(f *testing.F) {
	for _, kind := range []raftpb.MessageType{
		raftpb.MessageType_MsgHeartbeat,
		raftpb.MessageType_MsgApp,
		raftpb.MessageType_MsgVote,
		raftpb.MessageType_MsgSnap,
	} {
		data, err := Encode(fuzzMessage(kind))
		if err != nil {
			f.Fatal(err)
		}
		f.Add(data)
	}
	initial, err := InitialState("a", "b", "c")
	if err != nil {
		f.Fatal(err)
	}
	acquire := lease.Command{
		Kind: lease.Acquire, Task: "x", Holder: "h", Nonce: 1,
		Duration: lease.DefaultParameters.MinDuration,
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		m, err := Decode(data)
		if err != nil {
			return
		}
		r, err := New(1, 7, initial, lease.DefaultParameters, AutomaticElections)
		if err != nil {
			t.Fatal(err)
		}
		halted := false
		for _, event := range []Event{
			MessageReceived{m}, SaveCompleted{}, Tick{}, SaveCompleted{},
			RequestReceived{RequestID: 1, Command: acquire},
		} {
			for _, a := range r.Handle(0, event) {
				switch a.(type) {
				case Halted:
					halted = true
				case Send, Save:
					if halted {
						t.Fatalf("%T from a halted voter", a)
					}
				}
			}
		}
	})
}

func fuzzMessage(kind raftpb.MessageType) *raftpb.Message {
	return &raftpb.Message{
		Type:    kind.Enum(),
		From:    proto.Uint64(2),
		To:      proto.Uint64(1),
		Term:    proto.Uint64(3),
		Index:   proto.Uint64(1),
		LogTerm: proto.Uint64(1),
		Commit:  proto.Uint64(1),
		Snapshot: &raftpb.Snapshot{
			Data: []byte{0xa0},
			Metadata: &raftpb.SnapshotMetadata{
				Index:     proto.Uint64(9),
				Term:      proto.Uint64(2),
				ConfState: &raftpb.ConfState{Voters: []uint64{1, 2, 3}},
			},
		},
	}
}
