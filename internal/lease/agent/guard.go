package agent

import (
	"context"
	"errors"
	"time"
)

// ErrExpiredDuringAction says that an action was still running when its lease ended.
var ErrExpiredDuringAction = errors.New("lease: the action outlived the lease")

// RunGuarded is the fencing guard: it runs an action with the fencing token if the lease is valid, and checks the lease
// again afterwards. The action's context ends when the lease does. If the action has outlived the lease, the error is
// [ErrExpiredDuringAction]: it acted without the lease for a while, and only a resource that compares tokens has
// rejected what it did in that time. Without a valid lease the action is not run, and the error is [ErrLeaseLost].
func (h *Holder) RunGuarded(ctx context.Context, action func(ctx context.Context, token uint64) error) error {
	h.mu.Lock()
	token, ok := h.session.Valid(Now())
	if ok {
		h.activeActions++
	}
	h.mu.Unlock()
	if !ok {
		return ErrLeaseLost
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	lost := h.Lost(ctx)
	h.goroutines.Go(func() {
		<-lost // closed when ctx ends, at the latest
		cancel()
	})
	err := action(ctx, token)
	h.mu.Lock()
	defer h.mu.Unlock()
	h.activeActions--
	h.releaseWhenIdle(ctx)
	if Now() >= h.session.ValidUntil() { // not Valid: the voters keep a revoked grant until then, too
		return errors.Join(err, ErrExpiredDuringAction)
	}
	return err
}

// Lost returns a channel that is closed when the task is no longer held, by this process's own clock, or ctx ends.
func (h *Holder) Lost(ctx context.Context) <-chan struct{} { return h.LostBefore(ctx, 0) }

// LostBefore is like Lost, for a process that needs time to stop: the channel is closed when no more than early is left
// of the lease, unless the lease is renewed.
func (h *Holder) LostBefore(ctx context.Context, early time.Duration) <-chan struct{} {
	lost := make(chan struct{})
	h.goroutines.Go(func() {
		defer close(lost)
		for {
			h.mu.Lock()
			now := Now()
			_, ok := h.session.Valid(now)
			left, changed := h.session.ValidUntil()-early-now, h.changed
			h.mu.Unlock()
			if !ok || left <= 0 {
				return
			}
			select {
			case <-ctx.Done():
				return
			case <-changed:
			case <-time.After(left):
			}
		}
	})
	return lost
}
