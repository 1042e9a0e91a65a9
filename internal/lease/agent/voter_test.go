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

// TestTokensRiseAfterAllVotersRestart checks that the next fencing token is higher after all voters were stopped, and
// restarted once the holder's lease had ended.
func TestTokensRiseAfterAllVotersRestart(t *testing.T) {
	f := newFleet(t)
	a := f.hold("x", "a", true)
	first := f.await(a)
	for i := range 3 {
		f.stop(i)
	}
	b := f.hold("x", "b", true)
	<-a.Lost(context.Background()) // the lease ends by the holder's own clock, as no voter answers
	for _, i := range []int{2, 0, 1} {
		f.start(i)
	}
	f.wantHigher(f.await(b), first)
}

// TestVoterHaltsWhenDiskFails checks that the other voters grant the task again after the leader's disk has failed.
func TestVoterHaltsWhenDiskFails(t *testing.T) {
	f := newFleet(t)
	a := f.hold("x", "a", true)
	first := f.await(a)
	f.brokenDisks[f.leader()].Store(true)
	a.Close()
	f.wantHigher(f.await(f.hold("x", "b", true)), first)
}

// TestVoterWithoutFileDoesNotVote checks that a voter does not start without its file, which an operator creates once,
// nor with the file of another fleet. Such a voter would have lost what it promised, so that a fencing token could be
// used again (guarantee 2 of package lease).
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

// TestVoterIsReplacedAfterLosingItsFile checks that a voter that has lost its disk can be replaced under a new ID, and
// that the fleet then tolerates the loss of another voter. A grant stays valid throughout.
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
	f.stop((lost + 1) % 3) // from now on, a majority needs the new voter
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
// malformed or of another protocol version.
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

// TestVoterHaltsWithOutdatedFile checks that a voter that starts with an old copy of its file halts, because it has
// acknowledged entries to the leader that the copy lacks. The other voters continue to grant tasks, with higher tokens.
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
