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
	agentWait = 400 * time.Millisecond
	// After a move, a call to the new address may wait its turn, but what it has to tell counts 4 s later: if the first has
	// hung it is asked once more beside it. More would be a storm where all proxies move at once and calls are in turn.
	movedWait = 3 * time.Second
	// The wait before a watch that has told nothing is begun again: of an agent, and after a move.
	agentPause = 100 * time.Millisecond
	movedPause = 500 * time.Millisecond
	// Watches that are open at a time: the one that has told, and those that are to take its place.
	mostWatches = 4
)

// watching is one subscription of the list. Its fields belong to the goroutine of watch, but for call.
type watching struct {
	call     call // its known belongs to its own goroutine
	cancel   context.CancelFunc
	opened   time.Time
	answered bool // its source has answered, be it that nothing is new
	told     bool
}

// heardOf is what a subscription has to say.
type heardOf struct {
	watch *watching
	what  word
}

// The words of a subscription.
type word uint8

const (
	answered word = iota
	told
	lost
)

// watches is what the goroutine of watch knows.
type watches struct {
	*Core
	ctx    context.Context
	tasks  sync.WaitGroup
	news   chan heardOf
	open   []*watching // in order of opening
	moved  bool        // the place is another, and has told nothing yet
	again  *time.Timer // when to open one more
	paused bool        // that is because the last one was lost
}

// watch keeps a subscription of the list: where lists are pushed always, else as the decision module asks for it, whom the
// loss of one is told. A new one takes the place of the old.
//
// When discovery moves, the old subscription is kept until the new one has told
// something: a call may wait its turn for seconds, and a drain that is announced
// meanwhile must not be missed. This should also cover a new address that
// is slow or not there yet. It costs one connection more for that time.
func (c *Core) watch(ctx context.Context) {
	ctx, cancel := context.WithCancel(ctx)
	w := &watches{Core: c, ctx: ctx, news: make(chan heardOf), again: time.NewTimer(time.Hour)}
	defer w.again.Stop()
	defer w.tasks.Wait()
	defer cancel()
	if !c.askList {
		w.begin()
	}
	for {
		select {
		case <-ctx.Done():
			return
		case <-c.subscribe:
			if !w.has() { // else it is subscribed, by a move
				w.begin()
			}
		case <-c.moved:
			// Those that have told nothing yet are of no use any more; the one that has, is.
			w.drop(func(x *watching) bool { return !x.told })
			w.moved, w.paused = true, false // a wait for the old place is over
			w.begin()
		case <-w.again.C:
			w.paused = false
			w.begin()
		case x := <-w.news:
			switch x.what {
			case answered:
				w.answered(x.watch)
			case told:
				w.heard(x.watch)
			case lost:
				w.lost(x.watch)
			}
		}
	}
}

// has tells whether a subscription of the place now is open, or about to be.
func (w *watches) has() bool {
	now := w.place().source
	return w.paused || slices.ContainsFunc(w.open, func(x *watching) bool { return x.call.source == now })
}

// drop ends subscriptions.
func (w *watches) drop(which func(*watching) bool) {
	w.open = slices.DeleteFunc(w.open, func(x *watching) bool {
		if which(x) {
			x.cancel()
			return true
		}
		return false
	})
}

// begin opens one more subscription, and has another opened beside it if it says nothing for long.
func (w *watches) begin() {
	if len(w.open) >= mostWatches { // the oldest of those that say nothing makes way
		i := max(slices.IndexFunc(w.open, func(x *watching) bool { return !x.told }), 0)
		w.open[i].cancel()
		w.open = slices.Delete(w.open, i, i+1)
	}
	ctx, cancel := context.WithCancel(w.ctx)
	beside := w.has()
	x := &watching{call: w.place(), cancel: cancel, opened: time.Now()}
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotFirstResponseByte: func() { w.say(ctx, x, answered) }})
	w.open = append(w.open, x)
	switch {
	case !w.askList:
		w.again.Reset(agentWait)
	case w.moved && !beside:
		w.again.Reset(movedWait)
	default:
		w.again.Stop()
	}
	w.tasks.Go(func() {
		defer cancel()
		err := x.call.source.Watch(ctx, x.call.known, func(l discovery.List) {
			if ctx.Err() == nil {
				w.learn(x.call, l, policy.EndpointsDelta)
				x.call.known = l.Index
				w.say(ctx, x, told)
			}
		})
		if ctx.Err() == nil {
			w.log.Warn("watch lost", "error", err)
			w.say(ctx, x, lost)
		}
	})
}

func (w *watches) say(ctx context.Context, x *watching, what word) {
	select {
	case w.news <- heardOf{x, what}:
	case <-ctx.Done():
	}
}

// answered takes that the source has answered a subscription. Where lists are pushed, those beside it are not needed
// any more; the one from before a move is, until this one has told something.
func (w *watches) answered(x *watching) {
	x.answered = true
	if !w.askList && x.call.source == w.place().source {
		w.again.Stop()
		w.drop(func(other *watching) bool { return other != x && other.call.source == x.call.source })
	}
}

// heard takes that a subscription has told something: if it is of the place now, all others end.
func (w *watches) heard(x *watching) {
	x.told = true
	if x.call.source != w.place().source {
		return
	}
	w.moved, w.paused = false, false
	w.again.Stop()
	w.drop(func(other *watching) bool { return other != x })
}

// lost takes that a subscription has ended. One that had been answered is opened anew at once where that costs
// nobody anything, unless it was itself opened just now; the decision module spreads it where all proxies ask one service.
func (w *watches) lost(x *watching) {
	w.open = slices.DeleteFunc(w.open, func(other *watching) bool { return other == x })
	switch {
	case w.has():
	case !w.askList && x.answered && time.Since(x.opened) > agentWait:
		w.begin()
	case !w.askList:
		w.pause(agentPause)
	case w.moved:
		w.pause(movedPause)
	default:
		w.mu.Lock()
		w.counts.lost++
		w.handle(policy.EndpointUpdate{Version: w.version, Kind: policy.EndpointsUnavailable})
		w.mu.Unlock()
	}
}

// pause has a subscription opened after a while, of some spread.
func (w *watches) pause(d time.Duration) {
	w.paused = true
	w.again.Reset(d/2 + rand.N(d))
}
