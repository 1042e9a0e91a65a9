package agent

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"reflect"
	"testing"
	"time"

	"go.etcd.io/raft/v3/raftpb"

	"mulleinpier/internal/lease"
	"mulleinpier/internal/lease/quorum"
	"mulleinpier/internal/peer"
	"mulleinpier/internal/peer/rpc"
	"mulleinpier/internal/store"
	"mulleinpier/internal/testutil"
)

// The files testdata/v0.bolt to v2.bolt were written by three voters of an earlier version, whose log produces
// recordedStateMachine. Voter v2 lost its first file, and was replaced under a new ID. joining.bolt is the file of a
// joining voter that was created, but never run.

// recordedStateMachine returns the state machine that the recorded voters had agreed on.
func recordedStateMachine() *lease.StateMachine {
	grant := func(holder string, nonce, token uint64) lease.Grant {
		return lease.Grant{Holder: holder, Nonce: nonce, Token: token, Duration: time.Hour}
	}
	revoked := grant("c1/1/5", 5, 3)
	revoked.Revoked = true
	return &lease.StateMachine{
		Tasks: map[string]*lease.Task{
			"restart": {MaxHolders: 2, Grants: []lease.Grant{grant("p2/11/8", 8, 2), grant("p3/12/9", 9, 4)}},
			"move": {MaxHolders: 1, Grants: []lease.Grant{revoked}, Waiters: []lease.Waiter{
				{Holder: "c3/1/7", Nonce: 7, Duration: time.Hour},
				{Holder: "c2/1/6", Nonce: 6, Duration: time.Hour},
			}},
			"given":  {MaxHolders: 1, Grants: []lease.Grant{grant("d2/1/2", 2, 6)}},
			"late":   {MaxHolders: 1, Grants: []lease.Grant{grant("c9/1/9", 9, 7)}},
			"closed": {MaxHolders: 1},
		},
		LastToken:   8,
		Voters:      map[uint64]string{1: "v0", 2: "v1", 4: "v2"},
		LastVoterID: 4,
	}
}

// copyRecorded copies a recorded file to path, because opening the original could change it.
func copyRecorded(t *testing.T, file, path string) {
	t.Helper()
	if err := os.WriteFile(path, testutil.Recorded(t, "testdata/"+file), 0o600); err != nil {
		t.Fatal(err)
	}
}

// TestRecordedVotersFiles checks that this version reads a voter's file that an earlier version saved, and would save
// its content as the same bytes. Otherwise the earlier version might not read the files that this version saves.
func TestRecordedVotersFiles(t *testing.T) {
	for _, c := range []struct {
		file      string
		id        uint64 // voter ID stored in the file; 0 for one of the fleet's first voters, which store none
		voters    []uint64
		snapshot  uint64 // index
		lastEntry uint64 // index
	}{
		{"v0.bolt", 0, []uint64{1, 2, 4}, 16, 19},
		{"v1.bolt", 0, []uint64{1, 2, 4}, 16, 19},
		{"v2.bolt", 4, []uint64{1, 2, 4}, 16, 19},
		{"joining.bolt", 5, nil, 0, 0},
	} {
		t.Run(c.file, func(t *testing.T) {
			path := filepath.Join(t.TempDir(), c.file)
			copyRecorded(t, c.file, path)
			l, err := store.Open(path)
			if err != nil {
				t.Fatal(err)
			}
			defer l.Close()
			saved, id, err := loadState(l, "test")
			if err != nil {
				t.Fatal(err)
			}
			if id != c.id {
				t.Errorf("ID %d, want %d", id, c.id)
			}
			metadata := saved.Snapshot.GetMetadata()
			if got := metadata.GetConfState().GetVoters(); !reflect.DeepEqual(got, c.voters) {
				t.Errorf("voters %v, want %v", got, c.voters)
			}
			last := metadata.GetIndex()
			for _, e := range saved.Entries {
				last = e.GetIndex()
			}
			if metadata.GetIndex() != c.snapshot || last != c.lastEntry {
				t.Errorf("a snapshot at %d and entries to %d, want %d and %d",
					metadata.GetIndex(), last, c.snapshot, c.lastEntry)
			}
			checkSavedUnchanged(t, l, saved)
		})
	}
}

// checkSavedUnchanged checks that this version would save a state as the same bytes that are in the file.
func checkSavedUnchanged(t *testing.T, l *store.Log, saved quorum.PersistentState) {
	t.Helper()
	named, records, err := l.Load()
	if err != nil {
		t.Fatal(err)
	}
	again, err := storageChange(saved)
	if err != nil {
		t.Fatal(err)
	}
	for _, name := range []string{"hard", "snapshot"} {
		if !bytes.Equal(again.Named[name], named[name]) {
			t.Errorf("%s is now saved as\n%x, recorded as\n%x", name, again.Named[name], named[name])
		}
	}
	recorded := make(map[uint64][]byte)
	for _, r := range records {
		recorded[r.Index] = r.Data
	}
	for _, r := range again.Records {
		if !bytes.Equal(r.Data, recorded[r.Index]) {
			t.Errorf("entry %d is now saved as\n%x, recorded as\n%x", r.Index, r.Data, recorded[r.Index])
		}
	}
}

// TestRecordedVotersContinue checks that three voters of this version that run from the recorded files agree on the
// recorded state machine, and that their next fencing token follows the last recorded one.
func TestRecordedVotersContinue(t *testing.T) {
	f := newStoppedFleet(t)
	for i, path := range f.paths {
		copyRecorded(t, fmt.Sprintf("v%d.bolt", i), path)
		f.start(i)
	}
	leader := f.leader()
	ctx, cancel := context.WithTimeout(context.Background(), testutil.Timeout)
	defer cancel()
	s := f.leaderState(ctx)
	wantIDs := []uint64{1, 2, 4}
	if s.VoterID != wantIDs[leader] {
		t.Errorf("%s has ID %d, want %d", s.Voter, s.VoterID, wantIDs[leader])
	}
	if got, want := machineJSON(t, s.StateMachine), machineJSON(t, recordedStateMachine()); got != want {
		t.Errorf("agreed on\n%s, want\n%s", got, want)
	}
	acquire := lease.Command{Kind: lease.Acquire, Task: "next", Holder: "n/1/1", Nonce: 1, Duration: time.Hour}
	reply, err := f.client().Execute(ctx, acquire)
	if err != nil || reply.Outcome != lease.Granted || reply.Token != recordedStateMachine().LastToken+1 {
		t.Errorf("the next grant: %+v, %v", reply, err)
	}
}

// machineJSON returns a state machine as JSON, with nil lists written as empty ones. The JSON contains no nonces.
func machineJSON(t *testing.T, m *lease.StateMachine) string {
	t.Helper()
	m = m.Clone()
	for _, task := range m.Tasks {
		task.Grants = append([]lease.Grant{}, task.Grants...)
		task.Waiters = append([]lease.Waiter{}, task.Waiters...)
	}
	text, err := json.MarshalIndent(m, "", " ")
	if err != nil {
		t.Fatal(err)
	}
	return string(text)
}

var recordedHeader = rpc.Header{Version: 1, Fleet: "shop", MinVersion: 1}

// recordedRequests are requests of holders and operators as an earlier version wrote them, by file name.
var recordedRequests = map[string]Request{
	"request-acquire.cbor": {Header: recordedHeader, Command: lease.Command{
		Kind: lease.Acquire, Task: "restart", Holder: "p1/10/7", Nonce: 7, Duration: 10 * time.Second, Wait: true,
	}},
	"request-renew.cbor": {Header: recordedHeader, Token: 41, Command: lease.Command{
		Kind: lease.Acquire, Task: "restart", Holder: "p1/10/7", Nonce: 7, Duration: 10 * time.Second,
	}},
	"request-release.cbor": {Header: recordedHeader, Command: lease.Command{
		Kind: lease.Release, Task: "restart", Holder: "p1/10/7", Nonce: 7, Token: 41,
	}},
	"request-transfer.cbor": {Header: recordedHeader, Command: lease.Command{
		Kind: lease.Transfer, Task: "restart", Token: 41, To: "p2/11/8",
	}},
	"request-revoke.cbor": {Header: recordedHeader, Command: lease.Command{
		Kind: lease.Revoke, Task: "restart", Token: 41,
	}},
	"request-set-limit.cbor": {Header: recordedHeader, Command: lease.Command{
		Kind: lease.SetLimit, Task: "restart", MaxHolders: 4,
	}},
	"request-hand-over.cbor": {Header: recordedHeader, Command: lease.Command{
		Kind: lease.HandOver, Task: "restart", Token: 41, To: "p2/11/8",
	}},
	"request-add-voter.cbor":    {Header: recordedHeader, Command: lease.Command{Kind: lease.AddVoter, To: "v2"}},
	"request-remove-voter.cbor": {Header: recordedHeader, Command: lease.Command{Kind: lease.RemoveVoter, To: "v2"}},
}

// recordedReplies are voters' replies to requests as an earlier version wrote them, by file name.
var recordedReplies = map[string]Reply{
	"reply-no-leader.cbor": {Outcome: lease.NoAnswer},
	"reply-leader.cbor":    {Outcome: lease.NoAnswer, Leader: "v1"},
	"reply-queued.cbor":    {Outcome: lease.Queued},
	"reply-granted.cbor":   {Outcome: lease.Granted, Token: 41},
	"reply-refused.cbor":   {Outcome: lease.Rejected, Error: "lease: the task is taken"},
	"reply-not-held.cbor":  {Outcome: lease.NotHeld},
}

// recordedVoterMessages returns a batch of messages from one voter to another.
func recordedVoterMessages(t *testing.T) voterMessages {
	var messages [][]byte
	for _, kind := range []raftpb.MessageType{raftpb.MessageType_MsgHeartbeat, raftpb.MessageType_MsgHeartbeatResp} {
		from, to, term := uint64(2), uint64(1), uint64(3)
		text, err := quorum.Encode(&raftpb.Message{Type: kind.Enum(), From: &from, To: &to, Term: &term})
		if err != nil {
			t.Fatal(err)
		}
		messages = append(messages, text)
	}
	return voterMessages{Header: recordedHeader, Messages: messages, From: "v1", VoterID: 2}
}

// TestRecordedMessages checks that messages between voters, holders and operators are read and written in the encoding
// of an earlier version, on the same HTTP paths, and with the same error texts, which operators see. A change would
// break fleets of mixed versions.
func TestRecordedMessages(t *testing.T) {
	for name, want := range recordedRequests {
		testutil.CheckRecordedCBOR(t, "testdata/"+name, want)
	}
	for name, want := range recordedReplies {
		testutil.CheckRecordedCBOR(t, "testdata/"+name, want)
	}
	testutil.CheckRecordedCBOR(t, "testdata/voter-messages.cbor", recordedVoterMessages(t))
	for want, path := range map[string]string{
		"/v1/raft":  messagesPath,
		"/v1/lease": requestPath,
		"/v1/book":  statePath,
	} {
		if path != want {
			t.Errorf("%s was %s", path, want)
		}
	}
	for text, err := range map[string]error{
		"lease: the task is taken":                  lease.ErrHeld,
		"lease: there is no such grant":             lease.ErrUnknownGrant,
		"lease: too many tasks, holders or waiters": lease.ErrLimitExceeded,
		"lease: bad command":                        lease.ErrInvalidCommand,
		"lease: the voters can't be changed so":     lease.ErrInvalidVoterChange,
	} {
		if err.Error() != text {
			t.Errorf("%q now reads %q", text, err)
		}
	}
}

// recordedVoterState is the state that a voter reports, with each field set.
var recordedVoterState = VoterState{
	Voter:      "v1",
	VoterID:    2,
	Leader:     "v0",
	IsLeader:   true,
	HaltReason: "quorum: save: no space left on device",
	StateMachine: &lease.StateMachine{
		Tasks: map[string]*lease.Task{"restart": {
			MaxHolders: 2,
			Grants: []lease.Grant{
				{Holder: "p1/10/7", Token: 41, Duration: 10 * time.Second, Revoked: true},
				{Holder: "p2/11/8", Token: 42, Duration: time.Hour},
			},
			Waiters: []lease.Waiter{{Holder: "p3/12/9", Duration: 250 * time.Millisecond}},
		}},
		LastToken:   42,
		Voters:      map[uint64]string{1: "v0", 2: "v1", 4: "v2"},
		LastVoterID: 4,
	},
	SecondsLeft: map[uint64]float64{41: 0.25, 42: 3599.5},
	Members: []peer.MemberState{
		{
			Member: peer.Member{
				Name: "p1", Incarnation: 0xfedcba9876543211, Address: "10.0.0.1:7400", Zone: "a", Version: 1,
			},
			State: peer.Alive,
		},
		{Member: peer.Member{Name: "p2", Incarnation: 3, Leaving: true}, State: peer.Suspect},
		{Member: peer.Member{Name: "p3", Incarnation: 9}, State: peer.Gone},
	},
	Traffic:   rpc.Traffic{Messages: 12, Bytes: 3456},
	DiskSyncs: 7,
}

// TestRecordedState checks that the JSON of a voter's state is the same as in an earlier version. Operators' programs
// read this JSON.
func TestRecordedState(t *testing.T) {
	recorded := testutil.Recorded(t, "testdata/state.json")
	var got VoterState
	if err := json.Unmarshal(recorded, &got); err != nil || !reflect.DeepEqual(got, recordedVoterState) {
		t.Errorf("decodes to %+v, want %+v (error %v)", got, recordedVoterState, err)
	}
	if encoded, err := json.Marshal(recordedVoterState); err != nil || !bytes.Equal(encoded, recorded) {
		t.Errorf("now encoded as\n%s, recorded as\n%s (error %v)", encoded, recorded, err)
	}
}
