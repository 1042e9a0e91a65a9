package agent

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"mulleinpier/internal/lease"
	"mulleinpier/internal/store"
	"mulleinpier/internal/testutil"
)

// testFleet is three voters in this process, each with a disk and a listener of its own.
type testFleet struct {
	t           *testing.T
	Fleet       Fleet
	paths       []string
	stops       []func()
	brokenDisks [3]atomic.Bool // disks
}

func newFleet(t *testing.T) *testFleet {
	t.Helper()
	f := &testFleet{t: t, Fleet: Fleet{Name: "test"}, stops: make([]func(), 3)}
	for i := range 3 {
		l, err := net.Listen("tcp", "127.0.0.5:0") // where no connection goes out from
		if err != nil {
			t.Fatal(err)
		}
		f.Fleet.Voters = append(f.Fleet.Voters, VoterAddress{fmt.Sprint("v", i), l.Addr().String()})
		l.Close()
		f.paths = append(f.paths, filepath.Join(t.TempDir(), "memory"))
	}
	for i := range 3 {
		if err := InitVoter(f.paths[i], &f.Fleet); err != nil {
			t.Fatal(err)
		}
		f.start(i)
	}
	t.Cleanup(func() {
		for i := range f.stops {
			f.stop(i)
		}
	})
	return f
}

func (f *testFleet) start(i int) {
	f.t.Helper()
	v, err := Open(f.paths[i], f.Fleet, f.Fleet.Voters[i].Name, slog.New(slog.DiscardHandler))
	if err != nil {
		f.t.Fatal(err)
	}
	v.beforeSave = func() error {
		if f.brokenDisks[i].Load() {
			return errors.New("no space left on device")
		}
		return nil
	}
	l, err := net.Listen("tcp", f.Fleet.Voters[i].Address)
	if err != nil {
		f.t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	var task sync.WaitGroup
	task.Go(func() { v.Run(ctx, l) })
	f.stops[i] = func() { cancel(); task.Wait() }
}

func (f *testFleet) stop(i int) {
	if f.stops[i] != nil {
		f.stops[i]()
		f.stops[i] = nil
	}
}

func (f *testFleet) client() *Client {
	f.t.Helper()
	c, err := NewClient(f.Fleet)
	if err != nil {
		f.t.Fatal(err)
	}
	f.t.Cleanup(c.Close)
	return c
}

func (f *testFleet) hold(task, name string, wait bool) *Holder {
	f.t.Helper()
	h, err := f.client().Hold(context.Background(), task, name, 2*time.Second, wait)
	if err != nil {
		f.t.Fatal(err)
	}
	f.t.Cleanup(h.Close)
	return h
}

func (f *testFleet) await(h *Holder) uint64 {
	f.t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), testutil.Timeout)
	defer cancel()
	n, err := h.Await(ctx)
	if err != nil {
		f.t.Fatal(err)
	}
	return n
}

func (f *testFleet) leader() int {
	f.t.Helper()
	at := -1
	c := f.client()
	testutil.WaitUntil(f.t, "a leader", func() bool {
		s, err := c.LeaderState(context.Background())
		at = f.Fleet.voterIndex(s.Leader)
		return err == nil && s.IsLeader
	})
	return at
}

// TestOneHoldsAtATime takes, waits, gives back, and loses the leader: numbers rise, and nobody is left waiting.
func TestOneHoldsAtATime(t *testing.T) {
	f := newFleet(t)
	a, b := f.hold("x", "a", true), (*Holder)(nil)
	first := f.await(a)
	if err := f.hold("x", "late", false).wantTaken(); err != nil {
		t.Error(err)
	}
	b = f.hold("x", "b", true)
	c := f.client()
	testutil.WaitUntil(t, "b to wait", func() bool {
		s, err := c.LeaderState(context.Background())
		return err == nil && s.StateMachine.Tasks["x"] != nil && len(s.StateMachine.Tasks["x"].Waiters) == 1
	})
	f.stop(f.leader())
	if err := a.RunGuarded(context.Background(), func(_ context.Context, n uint64) error {
		if n != first {
			t.Errorf("acts under %d, holds %d", n, first)
		}
		return nil
	}); err != nil {
		t.Errorf("an act while the leader changes: %v", err)
	}
	a.Close()
	second := f.await(b)
	if second <= first {
		t.Errorf("number %d after %d", second, first)
	}
	if err := a.RunGuarded(context.Background(), func(context.Context, uint64) error { return nil }); !errors.Is(err, ErrLeaseLost) {
		t.Errorf("acts after it gave the task back: %v", err)
	}
}

// wantTaken awaits the refusal of one that does not wait.
func (h *Holder) wantTaken() error {
	ctx, cancel := context.WithTimeout(context.Background(), testutil.Timeout)
	defer cancel()
	if _, err := h.Await(ctx); !errors.Is(err, lease.ErrHeld) {
		return fmt.Errorf("want the task taken, got %v", err)
	}
	return nil
}

// TestNumbersRiseOverTheDeathOfAll ends all voters at once and starts them anew: who held is waited out, and
// the next number is higher.
func TestNumbersRiseOverTheDeathOfAll(t *testing.T) {
	f := newFleet(t)
	a := f.hold("x", "a", true)
	first := f.await(a)
	for i := range 3 {
		f.stop(i)
	}
	b := f.hold("x", "b", true)
	<-a.Lost(context.Background()) // by its own clock, with nobody to ask
	for _, i := range []int{2, 0, 1} {
		f.start(i)
	}
	if second := f.await(b); second <= first {
		t.Errorf("number %d after %d", second, first)
	}
}

// TestVoterWithoutItsDiskStandsDown breaks the leader's disk: it says nothing more, and the others go on.
func TestVoterWithoutItsDiskStandsDown(t *testing.T) {
	f := newFleet(t)
	a := f.hold("x", "a", true)
	first := f.await(a)
	f.brokenDisks[f.leader()].Store(true)
	a.Close()
	if second := f.await(f.hold("x", "b", true)); second <= first {
		t.Errorf("number %d after %d", second, first)
	}
}

// TestWhoLostItsMemoryDoesNotVote guards guarantee 2 of package lease: memory is made once, by hand.
func TestWhoLostItsMemoryDoesNotVote(t *testing.T) {
	f := newFleet(t)
	if _, err := Open(filepath.Join(t.TempDir(), "lost"), f.Fleet, "v0", slog.New(slog.DiscardHandler)); !errors.Is(err, store.ErrNotFound) {
		t.Errorf("without a memory: %v", err)
	}
	if err := InitVoter(f.paths[0], &f.Fleet); err == nil {
		t.Error("memory made twice")
	}
	f.stop(0)
	other := f.Fleet
	other.Name = "other"
	if _, err := Open(f.paths[0], other, "v0", slog.New(slog.DiscardHandler)); err == nil {
		t.Error("opened by another fleet")
	}
}

// TestRevokedIsWaitedOut guards guarantee 4: a revoked holder goes on until its time is over, and nobody before.
func TestRevokedIsWaitedOut(t *testing.T) {
	f := newFleet(t)
	a := f.hold("x", "a", true)
	n := f.await(a)
	b := f.hold("x", "b", true)
	ctx, cancel := context.WithTimeout(context.Background(), testutil.Timeout)
	defer cancel()
	lost := a.Lost(ctx)
	if _, err := f.client().Execute(ctx, lease.Command{Kind: lease.Revoke, Task: "x", Token: n}); err != nil {
		t.Fatal(err)
	}
	f.await(b)
	if err := a.RunGuarded(ctx, func(context.Context, uint64) error { return nil }); !errors.Is(err, ErrLeaseLost) {
		t.Errorf("b holds while a may act: %v", err)
	}
	<-lost
}

// TestRevokedInMidAct guards guarantee 4 where it hurts: a holder that acts as its grant is revoked gives it back no
// sooner than its act has ended.
func TestRevokedInMidAct(t *testing.T) {
	f := newFleet(t)
	a := f.hold("x", "a", true)
	n := f.await(a)
	b := f.hold("x", "b", true)
	begun, ended := make(chan struct{}), make(chan error, 1)
	var acting atomic.Bool
	go func() {
		ended <- a.RunGuarded(context.Background(), func(ctx context.Context, _ uint64) error {
			acting.Store(true)
			close(begun)
			<-ctx.Done() // told that its time is over, it takes a while yet
			time.Sleep(200 * time.Millisecond)
			acting.Store(false)
			return nil
		})
	}()
	<-begun
	ctx, cancel := context.WithTimeout(context.Background(), testutil.Timeout)
	defer cancel()
	if _, err := f.client().Execute(ctx, lease.Command{Kind: lease.Revoke, Task: "x", Token: n}); err != nil {
		t.Fatal(err)
	}
	f.await(b)
	if acting.Load() {
		t.Error("b holds while a acts")
	}
	if err := testutil.Receive(t, "the act to end", ended); err != nil {
		t.Errorf("an act that ended while its grant was waited for: %v", err)
	}
}

// TestHandedOver has an operator hand a task to one of three who wait: it goes there first, and soon.
func TestHandedOver(t *testing.T) {
	f := newFleet(t)
	a := f.hold("x", "a", true)
	n := f.await(a)
	c := f.client()
	var waiting []*Holder
	for i := range 3 {
		waiting = append(waiting, f.hold("x", fmt.Sprint("w", i), true))
		testutil.WaitUntil(t, "it to wait", func() bool {
			s, err := c.LeaderState(context.Background())
			return err == nil && len(s.StateMachine.Tasks["x"].Waiters) == i+1
		})
	}
	s, err := c.LeaderState(context.Background())
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithTimeout(context.Background(), testutil.Timeout)
	defer cancel()
	if _, err := c.Execute(ctx, lease.Command{Kind: lease.HandOver, Task: "x", Token: n, To: s.StateMachine.Tasks["x"].Waiters[2].Holder}); err != nil {
		t.Fatal(err)
	}
	if second := f.await(waiting[2]); second <= n {
		t.Errorf("number %d after %d", second, n)
	}
	for _, w := range waiting[:2] {
		if err := w.RunGuarded(ctx, func(context.Context, uint64) error { return nil }); !errors.Is(err, ErrLeaseLost) {
			t.Errorf("one that was passed over acts: %v", err)
		}
	}
}

// TestVoterThatLostItsMemoryComesBack replaces a voter whose disk is lost: under its old seat it never votes again,
// under a new one it does, and the fleet bears the loss of another then. A grant goes on through all of it.
func TestVoterThatLostItsMemoryComesBack(t *testing.T) {
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
		t.Error("enrolled twice")
	}
	for _, kind := range []lease.CommandKind{lease.RemoveVoter, lease.AddVoter} {
		if _, err := c.Execute(ctx, lease.Command{Kind: kind, To: name}); err != nil {
			t.Fatal(err)
		}
	}
	s, err := c.LeaderState(ctx)
	if err != nil || s.StateMachine.VoterID(name) != 4 {
		t.Fatalf("seats %v, %v", s.StateMachine.Voters, err)
	}
	f.paths[lost] = filepath.Join(t.TempDir(), "anew")
	if err := InitJoiningVoter(f.paths[lost], &f.Fleet, s.StateMachine.VoterID(name)); err != nil {
		t.Fatal(err)
	}
	f.start(lost)
	testutil.WaitUntil(t, "the new seat to know the book", func() bool {
		var s VoterState
		answer, err := http.Get("http://" + f.Fleet.Voters[lost].Address + "/v1/book")
		if err != nil {
			return false
		}
		defer answer.Body.Close()
		return json.NewDecoder(answer.Body).Decode(&s) == nil && s.StateMachine.LastToken >= first
	})
	f.stop((lost + 1) % 3) // now the new one is needed
	if err := a.RunGuarded(ctx, func(_ context.Context, n uint64) error {
		if n != first {
			t.Errorf("acts under %d, held %d", n, first)
		}
		return nil
	}); err != nil {
		t.Errorf("an act while voters change: %v", err)
	}
	a.Close()
	if second := f.await(f.hold("x", "b", true)); second <= first {
		t.Errorf("number %d after %d", second, first)
	}
}

// TestManyContenders has a thousand ask for one task at three voters: each has it once, one at a time.
func TestManyContenders(t *testing.T) {
	if testing.Short() {
		t.Skip("a thousand contenders")
	}
	f := newFleet(t)
	const contenders = 1000
	var acting, most, acts atomic.Int32
	var tasks sync.WaitGroup
	places := make(chan struct{}, concurrentContenders)
	for i := range contenders {
		c := f.client()
		tasks.Go(func() {
			places <- struct{}{}
			defer func() { <-places }()
			ctx, cancel := context.WithTimeout(context.Background(), 4*testutil.Timeout)
			defer cancel()
			h, err := c.Hold(ctx, "x", fmt.Sprint("c", i), 5*time.Second, true)
			if err != nil {
				t.Error(err)
				return
			}
			defer h.Close()
			if _, err := h.Await(ctx); err != nil {
				t.Errorf("contender %d: %v", i, err)
				return
			}
			if err := h.RunGuarded(ctx, func(context.Context, uint64) error {
				if n := acting.Add(1); n > most.Load() {
					most.Store(n)
				}
				acts.Add(1)
				acting.Add(-1)
				return nil
			}); err != nil {
				t.Errorf("contender %d: %v", i, err)
			}
		})
	}
	tasks.Wait()
	if acts.Load() != contenders || most.Load() != 1 {
		t.Errorf("%d acts, %d at a time", acts.Load(), most.Load())
	}
}

// TestStrangersAreTurnedAway guards links against another fleet and another version.
func TestStrangersAreTurnedAway(t *testing.T) {
	f := newFleet(t)
	other := f.Fleet
	other.Name = "other"
	c, err := NewClient(other)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	if _, err := c.send(context.Background(), lease.Command{Kind: lease.Acquire, Task: "x", Holder: "a", Nonce: 1, Duration: time.Second}, 0); err == nil {
		t.Error("another fleet is answered")
	}
	for _, body := range []string{"", "\xff\xff", "\xa1\x01\x09"} {
		answer, err := http.Post("http://"+f.Fleet.Voters[0].Address+"/v1/raft", "", strings.NewReader(body))
		if err != nil {
			t.Fatal(err)
		}
		if answer.Body.Close(); answer.StatusCode == http.StatusOK {
			t.Errorf("%q is taken", body)
		}
	}
}

// TestYesterdaysDisk starts a voter with a memory of long ago: it stands down, as what it has promised since lies with
// the leader, and the others go on; numbers still rise.
func TestYesterdaysDisk(t *testing.T) {
	f := newFleet(t)
	last := f.await(f.hold("x", "a", true))
	at := (f.leader() + 1) % 3
	f.stop(at)
	old, err := os.ReadFile(f.paths[at])
	if err != nil {
		t.Fatal(err)
	}
	f.start(at)
	for i := range 20 {
		h := f.hold(fmt.Sprint("y", i), "a", true)
		if n := f.await(h); n <= last {
			t.Errorf("number %d after %d", n, last)
		} else {
			last = n
		}
	}
	knows := func() (s VoterState) {
		answer, err := http.Get("http://" + f.Fleet.Voters[at].Address + "/v1/book")
		if err == nil {
			defer answer.Body.Close()
			json.NewDecoder(answer.Body).Decode(&s)
		}
		return s
	}
	testutil.WaitUntil(t, "the voter to have heard of all", func() bool { s := knows(); return s.StateMachine != nil && s.StateMachine.LastToken >= last })
	f.stop(at)
	if err := os.WriteFile(f.paths[at], old, 0o600); err != nil {
		t.Fatal(err)
	}
	f.start(at)
	testutil.WaitUntil(t, "the voter to stand down", func() bool { return knows().HaltReason != "" })
	if n := f.await(f.hold("z", "a", true)); n <= last {
		t.Errorf("number %d after %d", n, last)
	}
}

// TestTakerDies hands a task to one that has died while it waited: its grant runs out, and the next one has it.
func TestTakerDies(t *testing.T) {
	f := newFleet(t)
	a := f.hold("x", "a", true)
	n := f.await(a)
	c := f.client()
	var waiting []*Holder
	for i := range 2 {
		waiting = append(waiting, f.hold("x", fmt.Sprint("w", i), true))
		testutil.WaitUntil(t, "it to wait", func() bool {
			s, err := c.LeaderState(context.Background())
			return err == nil && len(s.StateMachine.Tasks["x"].Waiters) == i+1
		})
	}
	s, err := c.LeaderState(context.Background())
	if err != nil {
		t.Fatal(err)
	}
	waiting[0].Abandon()
	ctx, cancel := context.WithTimeout(context.Background(), testutil.Timeout)
	defer cancel()
	if _, err := c.Execute(ctx, lease.Command{Kind: lease.HandOver, Task: "x", Token: n, To: s.StateMachine.Tasks["x"].Waiters[0].Holder}); err != nil {
		t.Fatal(err)
	}
	if last := f.await(waiting[1]); last <= n {
		t.Errorf("number %d after %d", last, n)
	}
}
