package agent

import (
	"context"
	"errors"
	"time"
)

// ErrExpiredDuringAction says that an action went on after its lease had ended.
var ErrExpiredDuringAction = errors.New("lease: the action outlived the lease")

// RunGuarded is the fencing guard: it runs an action under the fencing token if the lease is valid, and checks again
// afterwards. The action's context ends when the lease does. For an action that has outlived its lease the error is
// [ErrExpiredDuringAction]: it acted for a while without the lease, and only a resource that compares tokens has
// rejected what it did in that time.
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
	h.tasks.Go(func() {
		<-lost // closed with ctx at the latest
		cancel()
	})
	err := action(ctx, token)
	h.mu.Lock()
	defer h.mu.Unlock()
	h.activeActions--
	h.releaseWhenIdle(ctx)
	if Now() >= h.session.ValidUntil() { // the voters wait until then for a grant that was revoked meanwhile
		return errors.Join(err, ErrExpiredDuringAction)
	}
	return err
}

// Lost returns a channel that is closed when the task is not held any more, by this process's own clock.
func (h *Holder) Lost(ctx context.Context) <-chan struct{} { return h.LostBefore(ctx, 0) }

// LostBefore is Lost for a process that needs time to stop: the channel is closed so long before the end, unless the
// lease is renewed.
func (h *Holder) LostBefore(ctx context.Context, early time.Duration) <-chan struct{} {
	lost := make(chan struct{})
	h.tasks.Go(func() {
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
