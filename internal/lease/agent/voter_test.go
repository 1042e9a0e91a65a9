package agent

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"mulleinpier/internal/lease"
	"mulleinpier/internal/store"
	"mulleinpier/internal/testutil"
)

// TestTokensRiseAfterAllVotersRestart stops all voters, and restarts them after the holder's lease has ended: the next
// token is higher.
func TestTokensRiseAfterAllVotersRestart(t *testing.T) {
	f := newFleet(t)
	a := f.hold("x", "a", true)
	first := f.await(a)
	for i := range 3 {
		f.stop(i)
	}
	b := f.hold("x", "b", true)
	<-a.Lost(context.Background()) // by the holder's own clock, as no voter answers
	for _, i := range []int{2, 0, 1} {
		f.start(i)
	}
	f.wantHigher(f.await(b), first)
}

// TestVoterHaltsWhenDiskFails breaks the leader's disk: the leader halts, and the other voters go on.
func TestVoterHaltsWhenDiskFails(t *testing.T) {
	f := newFleet(t)
	a := f.hold("x", "a", true)
	first := f.await(a)
	f.brokenDisks[f.leader()].Store(true)
	a.Close()
	f.wantHigher(f.await(f.hold("x", "b", true)), first)
}

// TestVoterWithoutFileDoesNotVote guards guarantee 2 of package lease: a voter does not start without its file, which
// an operator creates once, nor with the file of another fleet.
func TestVoterWithoutFileDoesNotVote(t *testing.T) {
	f := newFleet(t)
	log := slog.New(slog.DiscardHandler)
	_, err := Open(filepath.Join(t.TempDir(), "lost"), f.Fleet, "v0", log)
	if !errors.Is(err, store.ErrNotFound) {
		t.Errorf("without a file: %v", err)
	}
	if err := InitVoter(f.paths[0], &f.Fleet); err == nil {
		t.Error("a file was created twice")
	}
	f.stop(0)
	other := f.Fleet
	other.Name = "other"
	if _, err := Open(f.paths[0], other, "v0", log); err == nil {
		t.Error("a voter of another fleet has opened the file")
	}
}

// TestVoterIsReplacedAfterLosingItsFile replaces a voter that has lost its disk: under its old ID it never votes again,
// under a new one it does, and then the fleet tolerates the loss of another voter. A grant stays valid throughout.
func TestVoterIsReplacedAfterLosingItsFile(t *testing.T) {
	f := newFleet(t)
	a := f.hold("x", "a", true)
	first := f.await(a)
	lost := (f.leader() + 1) % 3
	f.stop(lost)
	name := f.Fleet.Voters[lost].Name
	ctx, cancel := context.WithTimeout(context.Background(), testutil.Timeout)
	defer cancel()
	c := f.client()
	if _, err := c.Execute(ctx, lease.Command{Kind: lease.AddVoter, To: name}); err == nil {
		t.Error("a voter was added twice")
	}
	for _, kind := range []lease.CommandKind{lease.RemoveVoter, lease.AddVoter} {
		if _, err := c.Execute(ctx, lease.Command{Kind: kind, To: name}); err != nil {
			t.Fatal(err)
		}
	}
	s := f.leaderState(ctx)
	newID := s.StateMachine.VoterID(name)
	if newID != 4 {
		t.Fatalf("voters %v, want the new voter under ID 4", s.StateMachine.Voters)
	}
	f.paths[lost] = filepath.Join(t.TempDir(), "new")
	if err := InitJoiningVoter(f.paths[lost], &f.Fleet, newID); err != nil {
		t.Fatal(err)
	}
	f.start(lost)
	testutil.WaitUntil(t, "the new voter to know the grants", func() bool {
		s := f.voterState(lost)
		return s.StateMachine != nil && s.StateMachine.LastToken >= first
	})
	f.stop((lost + 1) % 3) // now the new voter is needed for a majority
	if err := a.RunGuarded(ctx, func(_ context.Context, token uint64) error {
		if token != first {
			t.Errorf("acts under %d, held %d", token, first)
		}
		return nil
	}); err != nil {
		t.Errorf("an action while voters change: %v", err)
	}
	a.Close()
	f.wantHigher(f.await(f.hold("x", "b", true)), first)
}

// TestOtherFleetsAndVersionsAreRejected checks that voters reject requests of another fleet, and messages that are
// malformed or of another version.
func TestOtherFleetsAndVersionsAreRejected(t *testing.T) {
	f := newFleet(t)
	other := f.Fleet
	other.Name = "other"
	c, err := NewClient(other)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	acquire := lease.Command{Kind: lease.Acquire, Task: "x", Holder: "a", Nonce: 1, Duration: time.Second}
	if _, err := c.send(context.Background(), acquire, 0); err == nil {
		t.Error("a request of another fleet was answered")
	}
	for _, body := range []string{"", "\xff\xff", "\xa1\x01\x09"} {
		url := "http://" + f.Fleet.Voters[0].Address + messagesPath
		response, err := http.Post(url, "", strings.NewReader(body))
		if err != nil {
			t.Fatal(err)
		}
		if response.Body.Close(); response.StatusCode == http.StatusOK {
			t.Errorf("%q is accepted", body)
		}
	}
}

// TestVoterHaltsWithOutdatedFile starts a voter with an old copy of its file: it halts, as the leader knows of entries
// that it has acknowledged since, and the others go on; tokens still rise.
func TestVoterHaltsWithOutdatedFile(t *testing.T) {
	f := newFleet(t)
	last := f.await(f.hold("x", "a", true))
	voter := (f.leader() + 1) % 3
	f.stop(voter)
	old, err := os.ReadFile(f.paths[voter])
	if err != nil {
		t.Fatal(err)
	}
	f.start(voter)
	for i := range 20 {
		last = max(last, f.wantHigher(f.await(f.hold(fmt.Sprint("y", i), "a", true)), last))
	}
	testutil.WaitUntil(t, "the voter to apply all grants", func() bool {
		s := f.voterState(voter)
		return s.StateMachine != nil && s.StateMachine.LastToken >= last
	})
	f.stop(voter)
	if err := os.WriteFile(f.paths[voter], old, 0o600); err != nil {
		t.Fatal(err)
	}
	f.start(voter)
	testutil.WaitUntil(t, "the voter to halt", func() bool { return f.voterState(voter).HaltReason != "" })
	f.wantHigher(f.await(f.hold("z", "a", true)), last)
}
