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
// [ErrExpiredDuringAction]: the action has run without the lease since the lease ended, and only a resource that
// compares tokens has rejected its operations. Without a valid lease the action is not run, and the error is
// [ErrLeaseLost].
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
		<-lost // closed at the latest when ctx ends
		cancel()
	})
	err := action(ctx, token)
	h.mu.Lock()
	defer h.mu.Unlock()
	h.activeActions--
	h.releaseWhenIdle(ctx)
	if Now() >= h.session.ValidUntil() { // not Valid, which is false for a revoked grant that is still in force
		return errors.Join(err, ErrExpiredDuringAction)
	}
	return err
}

// Lost returns a channel that is closed when the lease ends by this process's own clock, or when ctx ends.
func (h *Holder) Lost(ctx context.Context) <-chan struct{} { return h.LostBefore(ctx, 0) }

// LostBefore is like Lost, for a process that needs time to stop: the channel is closed as soon as the lease ends in
// early or less without a renewal.
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
