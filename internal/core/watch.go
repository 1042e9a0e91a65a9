package core

import (
	"context"
	"math/rand/v2"
	"net/http/httptrace"
	"slices"
	"sync"
	"time"

	"mulleinpier/internal/discovery"
	"mulleinpier/policy"
)

// This file keeps a watch of the platform's list.

const (
	// An agent on this machine answers at once, and what it has counts as told: one that says nothing
	// to a new watch for so long is asked again beside it.
	agentAnswerTimeout = 400 * time.Millisecond
	// After a move, a call to the new address may wait its turn, but what it has to tell counts 4 s later: if the first has
	// hung it is asked once more beside it. More would be a storm where all proxies move at once and calls are in turn.
	movedAnswerTimeout = 3 * time.Second
	// The wait before a watch that has told nothing is begun again: of an agent, and after a move.
	agentRetryDelay = 100 * time.Millisecond
	movedRetryDelay = 500 * time.Millisecond
	// Watches that are open at a time: the one that has told, and those that are to take its place.
	maxSubscriptions = 4
)

// subscription is one subscription of the list. Its fields belong to the goroutine of watch, but for call.
type subscription struct {
	call     listCall // its known belongs to its own goroutine
	cancel   context.CancelFunc
	openedAt time.Time
	answered bool // its source has answered, be it that nothing is new
	hasList  bool
}

// subscriptionEvent is what a subscription has to say.
type subscriptionEvent struct {
	subscription *subscription
	kind         subscriptionEventKind
}

// The words of a subscription.
type subscriptionEventKind uint8

const (
	sourceAnswered subscriptionEventKind = iota
	listArrived
	watchEnded
)

// subscriptions is what the goroutine of watch knows.
type subscriptions struct {
	*Core
	ctx          context.Context
	tasks        sync.WaitGroup
	events       chan subscriptionEvent
	open         []*subscription // in order of opening
	sourceMoved  bool            // the place is another, and has told nothing yet
	retry        *time.Timer     // when to open one more
	retryPending bool            // that is because the last one was lost
}

// watchList keeps a subscription of the list: where lists are pushed always, else as the decision module asks for it, whom the
// loss of one is told. A new one takes the place of the old.
//
// When discovery moves, the old subscription is kept until the new one has told
// something: a call may wait its turn for seconds, and a drain that is announced
// meanwhile must not be missed. This should also cover a new address that
// is slow or not there yet. It costs one connection more for that time.
func (c *Core) watchList(ctx context.Context) {
	ctx, cancel := context.WithCancel(ctx)
	w := &subscriptions{Core: c, ctx: ctx, events: make(chan subscriptionEvent), retry: time.NewTimer(time.Hour)}
	defer w.retry.Stop()
	defer w.tasks.Wait()
	defer cancel()
	if !c.pollLists {
		w.subscribeNow()
	}
	for {
		select {
		case <-ctx.Done():
			return
		case <-c.subscribeRequested:
			if !w.hasCurrent() { // else it is subscribed, by a move
				w.subscribeNow()
			}
		case <-c.sourcesChanged:
			// Those that have told nothing yet are of no use any more; the one that has, is.
			w.cancelMatching(func(x *subscription) bool { return !x.hasList })
			w.sourceMoved, w.retryPending = true, false // a wait for the old place is over
			w.subscribeNow()
		case <-w.retry.C:
			w.retryPending = false
			w.subscribeNow()
		case x := <-w.events:
			switch x.kind {
			case sourceAnswered:
				w.handleAnswer(x.subscription)
			case listArrived:
				w.handleList(x.subscription)
			case watchEnded:
				w.handleLoss(x.subscription)
			}
		}
	}
}

// hasCurrent tells whether a subscription of the place now is open, or about to be.
func (w *subscriptions) hasCurrent() bool {
	now := w.newListCall().source
	return w.retryPending || slices.ContainsFunc(w.open, func(x *subscription) bool { return x.call.source == now })
}

// cancelMatching ends subscriptions.
func (w *subscriptions) cancelMatching(which func(*subscription) bool) {
	w.open = slices.DeleteFunc(w.open, func(x *subscription) bool {
		if which(x) {
			x.cancel()
			return true
		}
		return false
	})
}

// subscribeNow opens one more subscription, and has another opened beside it if it says nothing for long.
func (w *subscriptions) subscribeNow() {
	if len(w.open) >= maxSubscriptions { // the oldest of those that say nothing makes way
		i := max(slices.IndexFunc(w.open, func(x *subscription) bool { return !x.hasList }), 0)
		w.open[i].cancel()
		w.open = slices.Delete(w.open, i, i+1)
	}
	ctx, cancel := context.WithCancel(w.ctx)
	beside := w.hasCurrent()
	x := &subscription{call: w.newListCall(), cancel: cancel, openedAt: time.Now()}
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotFirstResponseByte: func() { w.report(ctx, x, sourceAnswered) }})
	w.open = append(w.open, x)
	switch {
	case !w.pollLists:
		w.retry.Reset(agentAnswerTimeout)
	case w.sourceMoved && !beside:
		w.retry.Reset(movedAnswerTimeout)
	default:
		w.retry.Stop()
	}
	w.tasks.Go(func() {
		defer cancel()
		err := x.call.source.Watch(ctx, x.call.knownVersion, func(l discovery.List) {
			if ctx.Err() == nil {
				w.applyList(x.call, l, policy.EndpointsDelta)
				x.call.knownVersion = l.Index
				w.report(ctx, x, listArrived)
			}
		})
		if ctx.Err() == nil {
			w.log.Warn("watch lost", "error", err)
			w.report(ctx, x, watchEnded)
		}
	})
}

func (w *subscriptions) report(ctx context.Context, x *subscription, what subscriptionEventKind) {
	select {
	case w.events <- subscriptionEvent{x, what}:
	case <-ctx.Done():
	}
}

// handleAnswer takes that the source has answered a subscription. Where lists are pushed, those beside it are not needed
// any more; the one from before a move is, until this one has told something.
func (w *subscriptions) handleAnswer(x *subscription) {
	x.answered = true
	if !w.pollLists && x.call.source == w.newListCall().source {
		w.retry.Stop()
		w.cancelMatching(func(other *subscription) bool { return other != x && other.call.source == x.call.source })
	}
}

// handleList takes that a subscription has told something: if it is of the place now, all others end.
func (w *subscriptions) handleList(x *subscription) {
	x.hasList = true
	if x.call.source != w.newListCall().source {
		return
	}
	w.sourceMoved, w.retryPending = false, false
	w.retry.Stop()
	w.cancelMatching(func(other *subscription) bool { return other != x })
}

// handleLoss takes that a subscription has ended. One that had been answered is opened anew at once where that costs
// nobody anything, unless it was itself opened just now; the decision module spreads it where all proxies ask one service.
func (w *subscriptions) handleLoss(x *subscription) {
	w.open = slices.DeleteFunc(w.open, func(other *subscription) bool { return other == x })
	switch {
	case w.hasCurrent():
	case !w.pollLists && x.answered && time.Since(x.openedAt) > agentAnswerTimeout:
		w.subscribeNow()
	case !w.pollLists:
		w.retryAfterDelay(agentRetryDelay)
	case w.sourceMoved:
		w.retryAfterDelay(movedRetryDelay)
	default:
		w.mu.Lock()
		w.counts.listFailures++
		w.handle(policy.EndpointUpdate{Version: w.listVersion, Kind: policy.EndpointsUnavailable})
		w.mu.Unlock()
	}
}

// retryAfterDelay has a subscription opened after a while, of some spread.
func (w *subscriptions) retryAfterDelay(d time.Duration) {
	w.retryPending = true
	w.retry.Reset(d/2 + rand.N(d))
}
