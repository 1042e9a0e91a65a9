package agent

import (
	"context"
	"errors"
	"os"
	"sync"
	"time"

	"mulleinpier/internal/lease"
	"mulleinpier/internal/peer/rpc"
)

// ErrLeaseLost says that the holder has no valid lease: it has lost or released the task, or does not hold it yet.
var ErrLeaseLost = errors.New("lease: lost")

// minWakeup is the shortest time between two timer events of a session.
const minWakeup = time.Millisecond

// Holder acquires one task for this process, and then keeps the lease renewed. It is safe for concurrent use.
type Holder struct {
	client *Client

	mu             sync.Mutex
	session        *lease.Session
	changed        chan struct{}  // closed and replaced whenever the session changes, see notify
	endOutcome     lease.Outcome  // set when the session finishes
	activeActions  int            // calls of RunGuarded in progress
	pendingRelease *lease.Command // sent once no action runs under the grant any more
	stop           context.CancelFunc
	goroutines     sync.WaitGroup
}

// Hold requests a task and, if wait is set, waits in the queue while others hold it. It returns without waiting; see
// [Holder.Await]. The caller ends the holder with [Holder.Close] or [Holder.Abandon].
func (c *Client) Hold(
	ctx context.Context, task, name string, duration time.Duration, wait bool,
) (*Holder, error) {
	nonce := uint64(time.Now().UnixNano())
	holder := lease.HolderName(name, os.Getpid(), nonce)
	acquire := lease.Command{
		Kind: lease.Acquire, Task: task, Holder: holder, Nonce: nonce, Duration: duration, Wait: wait,
	}
	if err := lease.DefaultParameters.CheckCommand(&acquire); err != nil {
		return nil, err
	}
	ctx, stop := context.WithCancel(ctx)
	h := &Holder{
		client:  c,
		session: lease.NewSession(lease.DefaultParameters, acquire),
		changed: make(chan struct{}),
		stop:    stop,
	}
	h.goroutines.Go(func() { h.run(ctx) })
	return h, nil
}

// run passes timer events to the session until it is finished, or ctx ends.
func (h *Holder) run(ctx context.Context) {
	for {
		h.mu.Lock()
		h.perform(ctx, h.session.Handle(Now(), lease.TimerFired{}, nil))
		finished := h.session.State(Now()) == lease.Finished
		wait := max(h.session.NextWakeup()-Now(), minWakeup)
		changed := h.changed
		h.mu.Unlock()
		if finished {
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-changed:
		case <-time.After(wait):
		}
	}
}

// perform carries out the session's actions. The caller holds h.mu.
func (h *Holder) perform(ctx context.Context, actions []lease.SessionAction) {
	for _, a := range actions {
		switch a := a.(type) {
		case lease.SendRequest:
			h.goroutines.Go(func() { h.sendRequest(ctx, a) })
		case lease.SendRelease:
			h.pendingRelease = &a.Command
		case lease.Ended:
			h.endOutcome = a.Outcome
		}
	}
	h.releaseWhenIdle(ctx)
	if len(actions) > 0 {
		h.notify()
	}
}

// sendRequest sends a request and passes the response to the session.
func (h *Holder) sendRequest(ctx context.Context, request lease.SendRequest) {
	reply, err := h.client.send(ctx, request.Command, request.Token)
	if err != nil {
		reply = Reply{}
	}
	response := lease.Response{Sequence: request.Sequence, Outcome: reply.Outcome, Token: reply.Token}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.perform(ctx, h.session.Handle(Now(), response, nil))
	h.notify()
}

// releaseWhenIdle sends the pending release once no action is running, so that waiters need not wait for the lease to
// expire. If sending fails, the lease expires. The caller holds h.mu.
func (h *Holder) releaseWhenIdle(ctx context.Context) {
	if h.pendingRelease == nil || h.activeActions > 0 {
		return
	}
	command := *h.pendingRelease
	h.pendingRelease = nil
	h.goroutines.Go(func() {
		ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), rpc.ExchangeTimeout)
		defer cancel()
		h.client.Execute(ctx, command)
	})
}

// notify wakes up all goroutines that wait for a change. The caller holds h.mu.
func (h *Holder) notify() {
	close(h.changed)
	h.changed = make(chan struct{})
}

// Await waits until the task is held, and returns the fencing token. The error is [lease.ErrHeld] if the request was
// rejected, usually because others hold the task and this process does not wait, and [ErrLeaseLost] if the lease has
// ended.
func (h *Holder) Await(ctx context.Context) (token uint64, err error) {
	for {
		h.mu.Lock()
		token, ok := h.session.Valid(Now())
		state, outcome, changed := h.session.State(Now()), h.endOutcome, h.changed
		h.mu.Unlock()
		switch {
		case ok:
			return token, nil
		case state == lease.Finished && outcome == lease.Rejected:
			return 0, lease.ErrHeld
		case state == lease.Finished:
			return 0, ErrLeaseLost
		}
		select {
		case <-ctx.Done():
			return 0, ctx.Err()
		case <-changed:
		}
	}
}

// Abandon stops the renewals without releasing the lease: the task is held until the lease expires, or another process
// releases it.
func (h *Holder) Abandon() {
	h.stop()
	h.goroutines.Wait()
}

// Close releases the lease, or leaves the queue, and waits until the holder's goroutines have ended.
func (h *Holder) Close() {
	h.mu.Lock()
	h.perform(context.Background(), h.session.Handle(Now(), lease.ReleaseRequested{}, nil))
	h.mu.Unlock()
	h.stop()
	h.goroutines.Wait()
}
