package agent

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net"
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

// The files testdata/v0.bolt to v2.bolt are those of three voters of an earlier version, after the history that
// recordedBook tells of; v2 lost its first file, and was seated again. joining.bolt is the file of a voter that has been
// made, but never run.

// recordedStateMachine is what the recorded voters had agreed on.
func recordedStateMachine() *lease.StateMachine {
	grant := func(holder string, nonce, number uint64, revoked bool) lease.Grant {
		return lease.Grant{Holder: holder, Nonce: nonce, Token: number, Duration: time.Hour, Revoked: revoked}
	}
	return &lease.StateMachine{
		Tasks: map[string]*lease.Task{
			"restart": {MaxHolders: 2, Grants: []lease.Grant{grant("p2/11/8", 8, 2, false), grant("p3/12/9", 9, 4, false)}, Waiters: []lease.Waiter{}},
			"move": {MaxHolders: 1, Grants: []lease.Grant{grant("c1/1/5", 5, 3, true)},
				Waiters: []lease.Waiter{{Holder: "c3/1/7", Nonce: 7, Duration: time.Hour}, {Holder: "c2/1/6", Nonce: 6, Duration: time.Hour}}},
			"given":  {MaxHolders: 1, Grants: []lease.Grant{grant("d2/1/2", 2, 6, false)}, Waiters: []lease.Waiter{}},
			"late":   {MaxHolders: 1, Grants: []lease.Grant{grant("c9/1/9", 9, 7, false)}},
			"closed": {MaxHolders: 1, Grants: []lease.Grant{}},
		},
		LastToken:   8,
		Voters:      map[uint64]string{1: "v0", 2: "v1", 4: "v2"},
		LastVoterID: 4,
	}
}

// recordedVoter copies a recorded file and reads it.
func recordedVoter(t *testing.T, file string) (path string, named map[string][]byte, records []store.Record, saved quorum.PersistentState, seat uint64) {
	t.Helper()
	path = filepath.Join(t.TempDir(), file)
	if err := os.WriteFile(path, testutil.Recorded(t, "testdata/"+file), 0o600); err != nil {
		t.Fatal(err)
	}
	l, err := store.Open(path)
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	if named, records, err = l.Load(); err != nil {
		t.Fatal(err)
	}
	if saved, seat, err = loadState(l, "test"); err != nil {
		t.Fatal(err)
	}
	return path, named, records, saved, seat
}

// TestRecordedVotersFiles guards the voters' files: what an earlier version saved is read, and would be saved as the same
// bytes, so that the earlier version reads what this one saves.
func TestRecordedVotersFiles(t *testing.T) {
	for _, c := range []struct {
		file           string
		seat           uint64 // as the file has it: 0 for one of the first voters
		voters         []uint64
		snapshot, last uint64 // indices
	}{
		{"v0.bolt", 0, []uint64{1, 2, 4}, 16, 19},
		{"v1.bolt", 0, []uint64{1, 2, 4}, 16, 19},
		{"v2.bolt", 4, []uint64{1, 2, 4}, 16, 19},
		{"joining.bolt", 5, nil, 0, 0},
	} {
		_, named, records, saved, seat := recordedVoter(t, c.file)
		if seat != c.seat {
			t.Errorf("%s: seat %d, want %d", c.file, seat, c.seat)
		}
		metadata := saved.Snapshot.GetMetadata()
		if got := metadata.GetConfState().GetVoters(); !reflect.DeepEqual(got, c.voters) {
			t.Errorf("%s: voters %v, want %v", c.file, got, c.voters)
		}
		last := metadata.GetIndex()
		for _, e := range saved.Entries {
			last = e.GetIndex()
		}
		if metadata.GetIndex() != c.snapshot || last != c.last {
			t.Errorf("%s: a snapshot at %d and entries to %d, want %d and %d", c.file, metadata.GetIndex(), last, c.snapshot, c.last)
		}
		again, err := storageChange(quorum.PersistentState{HardState: saved.HardState, Snapshot: saved.Snapshot, Entries: saved.Entries})
		if err != nil {
			t.Fatal(err)
		}
		for _, name := range []string{"hard", "snapshot"} {
			if !bytes.Equal(again.Named[name], named[name]) {
				t.Errorf("%s: %s is now saved as\n%x, recorded as\n%x", c.file, name, again.Named[name], named[name])
			}
		}
		recorded := make(map[uint64][]byte)
		for _, r := range records {
			recorded[r.Index] = r.Data
		}
		for _, r := range again.Records {
			if !bytes.Equal(r.Data, recorded[r.Index]) {
				t.Errorf("%s: entry %d is now saved as\n%x, recorded as\n%x", c.file, r.Index, r.Data, recorded[r.Index])
			}
		}
	}
}

// TestRecordedVotersGoOn runs three voters of this version from the recorded files: they agree on what was recorded, and
// their next number is higher than all before.
func TestRecordedVotersGoOn(t *testing.T) {
	f := &testFleet{t: t, Fleet: Fleet{Name: "test"}, stops: make([]func(), 3)}
	for i := range 3 {
		l, err := net.Listen("tcp", "127.0.0.5:0")
		if err != nil {
			t.Fatal(err)
		}
		name := fmt.Sprint("v", i)
		f.Fleet.Voters = append(f.Fleet.Voters, VoterAddress{name, l.Addr().String()})
		l.Close()
		path, _, _, _, _ := recordedVoter(t, name+".bolt")
		f.paths = append(f.paths, path)
	}
	for i := range 3 {
		f.start(i)
	}
	t.Cleanup(func() {
		for i := range f.stops {
			f.stop(i)
		}
	})
	at := f.leader()
	ctx, cancel := context.WithTimeout(context.Background(), testutil.Timeout)
	defer cancel()
	c := f.client()
	s, err := c.LeaderState(ctx)
	if err != nil {
		t.Fatal(err)
	}
	wantSeats := []uint64{1, 2, 4}
	if s.VoterID != wantSeats[at] {
		t.Errorf("%s has seat %d, want %d", s.Voter, s.VoterID, wantSeats[at])
	}
	got, want := stateJSON(t, s.StateMachine), stateJSON(t, recordedStateMachine())
	if got != want {
		t.Errorf("agreed on\n%s, want\n%s", got, want)
	}
	reply, err := c.Execute(ctx, lease.Command{Kind: lease.Acquire, Task: "next", Holder: "n/1/1", Nonce: 1, Duration: time.Hour})
	if err != nil || reply.Outcome != lease.Granted || reply.Token != recordedStateMachine().LastToken+1 {
		t.Errorf("the next grant: %+v, %v", reply, err)
	}
}

// stateJSON is a state as JSON, with empty lists as none.
func stateJSON(t *testing.T, b *lease.StateMachine) string {
	t.Helper()
	b = b.Clone()
	for _, task := range b.Tasks {
		task.Grants, task.Waiters = append([]lease.Grant{}, task.Grants...), append([]lease.Waiter{}, task.Waiters...)
	}
	text, err := json.MarshalIndent(b, "", " ")
	if err != nil {
		t.Fatal(err)
	}
	return string(text)
}

var recordedHead = rpc.Header{Version: 1, Fleet: "shop", MinVersion: 1}

// recordedRequests are requests of holders and operators as they were recorded from an earlier version, by file.
var recordedRequests = map[string]Request{
	"request-acquire.cbor": {Header: recordedHead,
		Command: lease.Command{Kind: lease.Acquire, Task: "restart", Holder: "p1/10/7", Nonce: 7, Duration: 10 * time.Second, Wait: true}},
	"request-renew.cbor": {Header: recordedHead, Token: 41,
		Command: lease.Command{Kind: lease.Acquire, Task: "restart", Holder: "p1/10/7", Nonce: 7, Duration: 10 * time.Second}},
	"request-release.cbor":  {Header: recordedHead, Command: lease.Command{Kind: lease.Release, Task: "restart", Holder: "p1/10/7", Nonce: 7, Token: 41}},
	"request-transfer.cbor": {Header: recordedHead, Command: lease.Command{Kind: lease.Transfer, Task: "restart", Token: 41, To: "p2/11/8"}},
	"request-revoke.cbor":   {Header: recordedHead, Command: lease.Command{Kind: lease.Revoke, Task: "restart", Token: 41}},
	"request-set-limit.cbor": {Header: recordedHead,
		Command: lease.Command{Kind: lease.SetLimit, Task: "restart", MaxHolders: 4}},
	"request-hand-over.cbor":    {Header: recordedHead, Command: lease.Command{Kind: lease.HandOver, Task: "restart", Token: 41, To: "p2/11/8"}},
	"request-add-voter.cbor":    {Header: recordedHead, Command: lease.Command{Kind: lease.AddVoter, To: "v2"}},
	"request-remove-voter.cbor": {Header: recordedHead, Command: lease.Command{Kind: lease.RemoveVoter, To: "v2"}},
}

// recordedReplies are the answers to them.
var recordedReplies = map[string]Reply{
	"reply-no-leader.cbor": {Outcome: lease.NoAnswer},
	"reply-leader.cbor":    {Outcome: lease.NoAnswer, Leader: "v1"},
	"reply-queued.cbor":    {Outcome: lease.Queued},
	"reply-granted.cbor":   {Outcome: lease.Granted, Token: 41},
	"reply-refused.cbor":   {Outcome: lease.Refused, Error: "lease: the task is taken"},
	"reply-not-held.cbor":  {Outcome: lease.NotHeld},
}

// recordedVoterMessages is what one voter sends another.
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
	return voterMessages{Header: recordedHead, Messages: messages, From: "v1", VoterID: 2}
}

// TestRecordedMessages guards fleets of mixed versions: what voters, holders and operators say to one another is read from
// and written for earlier versions. The texts of errors are part of it: they are shown to operators.
func TestRecordedMessages(t *testing.T) {
	for name, want := range recordedRequests {
		testutil.CheckRecordedCBOR(t, "testdata/"+name, want)
	}
	for name, want := range recordedReplies {
		testutil.CheckRecordedCBOR(t, "testdata/"+name, want)
	}
	testutil.CheckRecordedCBOR(t, "testdata/voter-messages.cbor", recordedVoterMessages(t))
	for text, err := range map[string]error{
		"lease: the task is taken":                  lease.ErrHeld,
		"lease: there is no such grant":             lease.ErrUnknownGrant,
		"lease: too many tasks, holders or waiters": lease.ErrLimitExceeded,
		"lease: bad command":                        lease.ErrInvalidCommand,
		"lease: the voters can't be changed so":     lease.ErrInvalidVoterChange,
	} {
		if err.Error() != text {
			t.Errorf("%q is now told as %q", text, err)
		}
	}
}

// recordedVoterState is what a voter tells those who look, with each field set.
var recordedVoterState = VoterState{Voter: "v1", VoterID: 2, Leader: "v0", IsLeader: true, HaltReason: "quorum: save: no space left on device",
	StateMachine: &lease.StateMachine{
		Tasks: map[string]*lease.Task{"restart": {MaxHolders: 2,
			Grants: []lease.Grant{{Holder: "p1/10/7", Token: 41, Duration: 10 * time.Second, Revoked: true},
				{Holder: "p2/11/8", Token: 42, Duration: time.Hour}},
			Waiters: []lease.Waiter{{Holder: "p3/12/9", Duration: 250 * time.Millisecond}}}},
		LastToken: 42, Voters: map[uint64]string{1: "v0", 2: "v1", 4: "v2"}, LastVoterID: 4},
	SecondsLeft: map[uint64]float64{41: 0.25, 42: 3599.5},
	Members: []peer.MemberState{
		{Member: peer.Member{Name: "p1", Incarnation: 0xfedcba9876543211, Address: "10.0.0.1:7400", Zone: "a", Version: 1}, State: peer.Alive},
		{Member: peer.Member{Name: "p2", Incarnation: 3, Leaving: true}, State: peer.Suspect},
		{Member: peer.Member{Name: "p3", Incarnation: 9}, State: peer.Gone}},
	Traffic: rpc.Traffic{Messages: 12, Bytes: 3456}, DiskSyncs: 7}

// TestRecordedState guards what operators' programs read of a voter: its JSON is as an earlier version wrote it.
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
