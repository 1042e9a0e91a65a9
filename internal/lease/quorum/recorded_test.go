package quorum

import (
	"bytes"
	"fmt"
	"reflect"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"

	"mulleinpier/internal/lease"
	"mulleinpier/internal/testutil"
)

// recordedEntries are log entries that an earlier version wrote, for each kind of command, by file name.
var recordedEntries = map[string]logEntry{
	"entry-acquire.cbor": {RequestID: 1, Proposer: 0xfedcba9876543211, Command: lease.Command{
		Kind: lease.Acquire, Task: "restart", Holder: "p1/10/7", Nonce: 7, Duration: 10 * time.Second, Wait: true,
	}},
	"entry-release.cbor": {RequestID: 2, Proposer: 3, Command: lease.Command{
		Kind: lease.Release, Task: "restart", Token: 1,
	}},
	"entry-leave-queue.cbor": {RequestID: 2, Proposer: 3, Command: lease.Command{
		Kind: lease.Release, Task: "restart", Holder: "p1/10/7", Nonce: 7,
	}},
	"entry-transfer.cbor": {RequestID: 3, Proposer: 3, Command: lease.Command{
		Kind: lease.Transfer, Task: "restart", Token: 1, To: "p2/11/8",
	}},
	"entry-revoke.cbor": {RequestID: 4, Proposer: 3, Command: lease.Command{
		Kind: lease.Revoke, Task: "restart", Token: 1,
	}},
	"entry-expire.cbor": {Proposer: 3, Command: lease.Command{
		Kind: lease.Expire, Task: "restart", Token: 1,
	}},
	"entry-set-limit.cbor": {RequestID: 5, Proposer: 3, Command: lease.Command{
		Kind: lease.SetLimit, Task: "restart", MaxHolders: 4,
	}},
	"entry-hand-over.cbor": {RequestID: 6, Proposer: 3, Command: lease.Command{
		Kind: lease.HandOver, Task: "restart", Token: 1, To: "p2/11/8",
	}},
	"entry-add-voter.cbor": {RequestID: 7, Proposer: 3, Command: lease.Command{
		Kind: lease.AddVoter, To: "v2", VoterID: 4,
	}},
	"entry-remove-voter.cbor": {RequestID: 8, Proposer: 3, Command: lease.Command{
		Kind: lease.RemoveVoter, To: "v2", VoterID: 3,
	}},
	"entry-unknown-kind.cbor":  {RequestID: 9, Proposer: 3, Command: lease.Command{Kind: 99, Task: "restart"}},
	"entry-empty-command.cbor": {},
}

// recordedState is a state machine in which each field is set. It has only one task and one voter, because the encoding
// of a map with more entries has no fixed order.
var recordedState = lease.StateMachine{
	Tasks: map[string]*lease.Task{"restart": {
		MaxHolders: 2,
		Grants: []lease.Grant{
			{Holder: "p1/10/7", Nonce: 7, Token: 41, Duration: 10 * time.Second, Revoked: true},
			{Holder: "p2/11/8", Nonce: 8, Token: 42, Duration: time.Hour},
		},
		Waiters: []lease.Waiter{{Holder: "p3/12/9", Nonce: 9, Duration: 250 * time.Millisecond}},
	}},
	LastToken:   42,
	Voters:      map[uint64]string{4: "v2"},
	LastVoterID: 4,
}

// TestRecordedLog checks that log entries and states are read and written in the encoding of an earlier version. A
// changed encoding would make the voters' files unreadable, and break fleets of mixed versions.
func TestRecordedLog(t *testing.T) {
	for name, want := range recordedEntries {
		testutil.CheckRecordedCBOR(t, "testdata/"+name, want)
	}
	testutil.CheckRecordedCBOR(t, "testdata/state.cbor", recordedState)
	var many lease.StateMachine
	err := cbor.Unmarshal(testutil.Recorded(t, "testdata/state-many.cbor"), &many)
	if err != nil || !reflect.DeepEqual(many, recordedManyTasks()) {
		t.Errorf("a state of many tasks: %v, %+v", err, many)
	}
}

// recordedManyTasks returns a state whose encoding has no fixed order.
func recordedManyTasks() lease.StateMachine {
	m := lease.NewStateMachine("v0", "v1", "v2")
	for i := range 20 {
		m.Apply(&lease.Command{
			Kind: lease.Acquire, Task: fmt.Sprint("t", i), Holder: "a", Nonce: uint64(i + 1), Duration: time.Second,
		})
		m.Apply(&lease.Command{
			Kind: lease.Acquire, Task: fmt.Sprint("t", i%7), Holder: "b", Nonce: uint64(i + 100),
			Duration: time.Minute, Wait: true,
		})
	}
	return *m
}

func recordedEntryData(name string) []byte {
	data, err := cbor.Marshal(recordedEntries[name])
	if err != nil {
		panic(err)
	}
	return data
}

// recordedMessages returns the messages between voters that an earlier version wrote, by file name.
func recordedMessages() map[string]*raftpb.Message {
	snapshot, err := cbor.Marshal(recordedState)
	if err != nil {
		panic(err)
	}
	change, err := proto.Marshal(&raftpb.ConfChange{
		Type:    raftpb.ConfChangeType_ConfChangeAddNode.Enum(),
		NodeId:  proto.Uint64(4),
		Context: recordedEntryData("entry-add-voter.cbor"),
	})
	if err != nil {
		panic(err)
	}
	from, to, term := proto.Uint64(2), proto.Uint64(1), proto.Uint64(3)
	return map[string]*raftpb.Message{
		"message-heartbeat.pb": {
			Type: raftpb.MessageType_MsgHeartbeat.Enum(), From: from, To: to, Term: term,
			Commit: proto.Uint64(17), Context: []byte{0, 0, 0, 0, 0, 0, 0, 9},
		},
		"message-vote.pb": {
			Type: raftpb.MessageType_MsgVote.Enum(), From: from, To: to, Term: term,
			Index: proto.Uint64(17), LogTerm: proto.Uint64(2),
		},
		"message-append.pb": {
			Type: raftpb.MessageType_MsgApp.Enum(), From: from, To: to, Term: term,
			Index: proto.Uint64(17), LogTerm: proto.Uint64(2), Commit: proto.Uint64(16),
			Entries: []*raftpb.Entry{
				{
					Term: proto.Uint64(3), Index: proto.Uint64(18), Type: raftpb.EntryType_EntryNormal.Enum(),
					Data: recordedEntryData("entry-acquire.cbor"),
				},
				{
					Term: proto.Uint64(3), Index: proto.Uint64(19), Type: raftpb.EntryType_EntryConfChange.Enum(),
					Data: change,
				},
			},
		},
		"message-snapshot.pb": {
			Type: raftpb.MessageType_MsgSnap.Enum(), From: from, To: to, Term: term,
			Snapshot: &raftpb.Snapshot{Data: snapshot, Metadata: &raftpb.SnapshotMetadata{
				Index: proto.Uint64(17), Term: proto.Uint64(2),
				ConfState: &raftpb.ConfState{Voters: []uint64{1, 2, 4}},
			}},
		},
	}
}

// TestRecordedMessages checks that messages between voters are read and written in the encoding of an earlier version.
// A changed encoding would break fleets of mixed versions.
func TestRecordedMessages(t *testing.T) {
	for name, want := range recordedMessages() {
		recorded := testutil.Recorded(t, "testdata/"+name)
		if got, err := Decode(recorded); err != nil || !proto.Equal(got, want) {
			t.Errorf("%s decodes to %v, want %v (error %v)", name, got, want, err)
		}
		if encoded, err := Encode(want); err != nil || !bytes.Equal(encoded, recorded) {
			t.Errorf("%s: now encoded as\n%x, recorded as\n%x (error %v)", name, encoded, recorded, err)
		}
	}
}

// TestRecordedSnapshotIsApplied checks that a voter that receives the recorded snapshot message has the recorded state
// afterwards.
func TestRecordedSnapshotIsApplied(t *testing.T) {
	initial, err := InitialState("v0", "v1", "v2")
	if err != nil {
		t.Fatal(err)
	}
	r, err := New(1, 5, initial, lease.DefaultParameters, ManualElections)
	if err != nil {
		t.Fatal(err)
	}
	m, err := Decode(testutil.Recorded(t, "testdata/message-snapshot.pb"))
	if err != nil {
		t.Fatal(err)
	}
	for _, event := range []Event{MessageReceived{m}, SaveCompleted{}} {
		for _, a := range r.Handle(0, event) {
			if halted, ok := a.(Halted); ok {
				t.Fatal(halted.Err)
			}
		}
	}
	if got := *r.StateMachine(); !reflect.DeepEqual(got, recordedState) {
		t.Errorf("after the snapshot: %+v, want %+v", got, recordedState)
	}
}
