package agent

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"path/filepath"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"mulleinpier/internal/lease"
	"mulleinpier/internal/testutil"
)

// voterHost is an address that no test opens outgoing connections from, so no such connection takes a voter's port.
const voterHost = "127.0.0.5:0"

// testFleet is three voters in this process, each with a disk and a listener of its own.
type testFleet struct {
	t           *testing.T
	Fleet       Fleet
	paths       []string
	stops       []func()
	brokenDisks [3]atomic.Bool
}

// newFleet starts three voters of a new fleet.
func newFleet(t *testing.T) *testFleet {
	t.Helper()
	f := newStoppedFleet(t)
	for i := range f.paths {
		if err := InitVoter(f.paths[i], &f.Fleet); err != nil {
			t.Fatal(err)
		}
		f.start(i)
	}
	return f
}

// newStoppedFleet returns a fleet of three voters with addresses and file paths, but starts none of them.
func newStoppedFleet(t *testing.T) *testFleet {
	t.Helper()
	f := &testFleet{t: t, Fleet: Fleet{Name: "test"}, paths: make([]string, 3), stops: make([]func(), 3)}
	for i := range f.paths {
		f.paths[i] = filepath.Join(t.TempDir(), "memory")
		l, err := net.Listen("tcp", voterHost)
		if err != nil {
			t.Fatal(err)
		}
		f.Fleet.Voters = append(f.Fleet.Voters, VoterAddress{fmt.Sprint("v", i), l.Addr().String()})
		l.Close()
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
	f.stops[i] = func() {
		cancel()
		task.Wait()
	}
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

func (f *testFleet) await(h *Holder) (token uint64) {
	f.t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), testutil.Timeout)
	defer cancel()
	token, err := h.Await(ctx)
	if err != nil {
		f.t.Fatal(err)
	}
	return token
}

// wantHigher checks that a fencing token is higher than an earlier one, and returns the token.
func (f *testFleet) wantHigher(token, before uint64) uint64 {
	f.t.Helper()
	if token <= before {
		f.t.Errorf("token %d after %d", token, before)
	}
	return token
}

// leader waits for a leader and returns its index.
func (f *testFleet) leader() int {
	f.t.Helper()
	leader := -1
	c := f.client()
	testutil.WaitUntil(f.t, "a leader", func() bool {
		s, err := c.LeaderState(context.Background())
		leader = f.Fleet.voterIndex(s.Leader)
		return err == nil && s.IsLeader
	})
	return leader
}

func (f *testFleet) leaderState(ctx context.Context) VoterState {
	f.t.Helper()
	s, err := f.client().LeaderState(ctx)
	if err != nil {
		f.t.Fatal(err)
	}
	return s
}

// waitForWaiters waits until n holders are queued for task x.
func (f *testFleet) waitForWaiters(c *Client, n int) {
	f.t.Helper()
	testutil.WaitUntil(f.t, fmt.Sprint(n, " to wait"), func() bool {
		s, err := c.LeaderState(context.Background())
		return err == nil && s.StateMachine.Tasks["x"] != nil && len(s.StateMachine.Tasks["x"].Waiters) == n
	})
}

// voterState returns the state of one voter, or an empty state if the voter does not answer.
func (f *testFleet) voterState(i int) (s VoterState) {
	response, err := http.Get("http://" + f.Fleet.Voters[i].Address + statePath)
	if err == nil {
		defer response.Body.Close()
		json.NewDecoder(response.Body).Decode(&s)
	}
	return s
}

// wantRejected returns an error unless the holder's request is rejected because the task is held.
func (h *Holder) wantRejected() error {
	ctx, cancel := context.WithTimeout(context.Background(), testutil.Timeout)
	defer cancel()
	if _, err := h.Await(ctx); !errors.Is(err, lease.ErrHeld) {
		return fmt.Errorf("want the task held by another, got %v", err)
	}
	return nil
}

// doNothing is an action without effect.
func doNothing(context.Context, uint64) error { return nil }
