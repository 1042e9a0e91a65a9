package agent

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"mulleinpier/internal/lease"
	"mulleinpier/internal/testutil"
)

// TestOneHolderAtATime checks that a holder can act while the leader changes, that the waiter gets the task with a
// higher fencing token once the holder releases it, and that the former holder can no longer act.
func TestOneHolderAtATime(t *testing.T) {
	f := newFleet(t)
	a := f.hold("x", "a", true)
	first := f.await(a)
	if err := f.hold("x", "late", false).wantRejected(); err != nil {
		t.Error(err)
	}
	b := f.hold("x", "b", true)
	f.waitForWaiters(f.client(), 1)
	f.stop(f.leader())
	if err := a.RunGuarded(context.Background(), func(_ context.Context, token uint64) error {
		if token != first {
			t.Errorf("acts under %d, holds %d", token, first)
		}
		return nil
	}); err != nil {
		t.Errorf("an action while the leader changes: %v", err)
	}
	a.Close()
	f.wantHigher(f.await(b), first)
	if err := a.RunGuarded(context.Background(), doNothing); !errors.Is(err, ErrLeaseLost) {
		t.Errorf("acts after it released the task: %v", err)
	}
}

// TestRevokedGrantIsWaitedOut checks that a revoked grant stays in force until it expires or is released (guarantee 4
// of package lease): once the next holder has the task, the holder of the revoked grant can no longer act.
func TestRevokedGrantIsWaitedOut(t *testing.T) {
	f := newFleet(t)
	a := f.hold("x", "a", true)
	token := f.await(a)
	b := f.hold("x", "b", true)
	ctx, cancel := context.WithTimeout(context.Background(), testutil.Timeout)
	defer cancel()
	lost := a.Lost(ctx)
	if _, err := f.client().Execute(ctx, lease.Command{Kind: lease.Revoke, Task: "x", Token: token}); err != nil {
		t.Fatal(err)
	}
	f.await(b)
	if err := a.RunGuarded(ctx, doNothing); !errors.Is(err, ErrLeaseLost) {
		t.Errorf("b holds while a may act: %v", err)
	}
	<-lost
}

// TestRevokedDuringAction checks that a holder whose grant is revoked during an action releases the grant only after
// the action has ended (guarantee 4 of package agent).
func TestRevokedDuringAction(t *testing.T) {
	f := newFleet(t)
	a := f.hold("x", "a", true)
	token := f.await(a)
	b := f.hold("x", "b", true)
	started, ended := make(chan struct{}), make(chan error, 1)
	var acting atomic.Bool
	go func() {
		ended <- a.RunGuarded(context.Background(), func(ctx context.Context, _ uint64) error {
			acting.Store(true)
			close(started)
			<-ctx.Done() // the lease is lost, and the action runs on for 200 ms
			time.Sleep(200 * time.Millisecond)
			acting.Store(false)
			return nil
		})
	}()
	<-started
	ctx, cancel := context.WithTimeout(context.Background(), testutil.Timeout)
	defer cancel()
	if _, err := f.client().Execute(ctx, lease.Command{Kind: lease.Revoke, Task: "x", Token: token}); err != nil {
		t.Fatal(err)
	}
	f.await(b)
	if acting.Load() {
		t.Error("b holds while a acts")
	}
	if err := testutil.Receive(t, "the action to end", ended); err != nil {
		t.Errorf("an action that ended before its revoked grant expired: %v", err)
	}
}

// TestHandOverMakesWaiterNext checks that a task that is handed over to the last of three waiters is granted to that
// waiter next, and not to the waiters before it in the queue.
func TestHandOverMakesWaiterNext(t *testing.T) {
	f := newFleet(t)
	a := f.hold("x", "a", true)
	token := f.await(a)
	c := f.client()
	var waiting []*Holder
	for i := range 3 {
		waiting = append(waiting, f.hold("x", fmt.Sprint("w", i), true))
		f.waitForWaiters(c, i+1)
	}
	ctx, cancel := context.WithTimeout(context.Background(), testutil.Timeout)
	defer cancel()
	last := f.leaderState(ctx).StateMachine.Tasks["x"].Waiters[2].Holder
	if _, err := c.Execute(ctx, lease.Command{Kind: lease.HandOver, Task: "x", Token: token, To: last}); err != nil {
		t.Fatal(err)
	}
	f.wantHigher(f.await(waiting[2]), token)
	for _, w := range waiting[:2] {
		if err := w.RunGuarded(ctx, doNothing); !errors.Is(err, ErrLeaseLost) {
			t.Errorf("a waiter that was passed over acts: %v", err)
		}
	}
}

// TestHandOverToDeadWaiter checks that the next waiter gets the task after a handover to a waiter that has died. The
// grant of the dead waiter has to expire first.
func TestHandOverToDeadWaiter(t *testing.T) {
	f := newFleet(t)
	a := f.hold("x", "a", true)
	token := f.await(a)
	c := f.client()
	var waiting []*Holder
	for i := range 2 {
		waiting = append(waiting, f.hold("x", fmt.Sprint("w", i), true))
		f.waitForWaiters(c, i+1)
	}
	ctx, cancel := context.WithTimeout(context.Background(), testutil.Timeout)
	defer cancel()
	first := f.leaderState(ctx).StateMachine.Tasks["x"].Waiters[0].Holder
	waiting[0].Abandon()
	if _, err := c.Execute(ctx, lease.Command{Kind: lease.HandOver, Task: "x", Token: token, To: first}); err != nil {
		t.Fatal(err)
	}
	f.wantHigher(f.await(waiting[1]), token)
}

// TestManyContenders checks that each of a thousand contenders for one task acts once, and no two at a time.
func TestManyContenders(t *testing.T) {
	if testing.Short() {
		t.Skip("a thousand contenders")
	}
	f := newFleet(t)
	const contenders = 1000
	var acting, maxActing, actions atomic.Int32
	act := func(context.Context, uint64) error {
		if n := acting.Add(1); n > maxActing.Load() {
			maxActing.Store(n)
		}
		actions.Add(1)
		acting.Add(-1)
		return nil
	}
	var goroutines sync.WaitGroup
	slots := make(chan struct{}, concurrentContenders)
	for i := range contenders {
		c := f.client()
		goroutines.Go(func() {
			slots <- struct{}{}
			defer func() { <-slots }()
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
			if err := h.RunGuarded(ctx, act); err != nil {
				t.Errorf("contender %d: %v", i, err)
			}
		})
	}
	goroutines.Wait()
	if actions.Load() != contenders || maxActing.Load() != 1 {
		t.Errorf("%d actions, %d at a time", actions.Load(), maxActing.Load())
	}
}
