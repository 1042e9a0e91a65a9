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

// This file watches the only source of the endpoint list: a local agent that pushes lists, or a service
// that all proxies request them from.

const (
	// agentAnswerTimeout is how long a local agent may take to answer a new watch before another
	// is opened beside it. It answers at once when it works, and what it knows counts as known to the proxy.
	agentAnswerTimeout = 400 * time.Millisecond
	// movedAnswerTimeout is the same after a change of address, where a call may wait its turn but its
	// list must be heeded 4 s later. More calls would be a storm: all proxies move at once.
	movedAnswerTimeout = 3 * time.Second
	// agentRetryDelay and movedRetryDelay are the waits before a watch that has ended without a list is
	// opened again: of an agent, and after a change of address.
	agentRetryDelay = 100 * time.Millisecond
	movedRetryDelay = 500 * time.Millisecond
	// maxSubscriptions bounds the watches that are open at a time: the one that has reported a list, and
	// those that are to take its place.
	maxSubscriptions = 4
)

// subscription is one watch of the list. It belongs to the goroutine of watchList, but call.knownVersion
// to the subscription's own.
type subscription struct {
	call     listCall
	cancel   context.CancelFunc
	openedAt time.Time
	answered bool // its source has answered, possibly that nothing has changed
	hasList  bool // it has reported a list
}

// subscriptionEvent is what a subscription reports to the goroutine of watchList.
type subscriptionEvent struct {
	subscription *subscription
	kind         subscriptionEventKind
}

type subscriptionEventKind uint8

const (
	sourceAnswered subscriptionEventKind = iota
	listArrived
	watchEnded
)

// subscriptions is the state of the goroutine of watchList.
type subscriptions struct {
	*Core
	ctx          context.Context
	tasks        sync.WaitGroup
	events       chan subscriptionEvent
	open         []*subscription // in order of opening
	sourceMoved  bool            // the source is another, and has not reported a list yet
	retry        *time.Timer     // when to open one more
	retryPending bool            // retry is set because the last subscription was lost
}

// watchList keeps a watch of the list until ctx ends: at all times where lists are pushed, else as the
// decision module requests it, which is also notified when a watch is lost.
//
// When the source changes, the old watch is kept until the new one has reported a list: the call may wait
// its turn for seconds, the new address may be slow or not serve yet, and a drain that is announced
// meanwhile must not be missed. That costs one more connection for the time.
func (c *Core) watchList(ctx context.Context) {
	ctx, cancel := context.WithCancel(ctx)
	s := &subscriptions{
		Core:   c,
		ctx:    ctx,
		events: make(chan subscriptionEvent),
		retry:  time.NewTimer(noTimerWait),
	}
	defer s.retry.Stop()
	defer s.tasks.Wait()
	defer cancel()
	if !c.listOnRequest {
		s.subscribe()
	}
	for {
		select {
		case <-ctx.Done():
			return
		case <-c.subscribeRequested:
			if !s.hasCurrent() { // a change of sources may have opened it already
				s.subscribe()
			}
		case <-c.sourcesChanged:
			s.handleMove()
		case <-s.retry.C:
			s.retryPending = false
			s.subscribe()
		case event := <-s.events:
			s.handleEvent(event)
		}
	}
}

// handleMove opens a watch of a new source. Of the watches of the old one only that which has reported a
// list is of use.
func (s *subscriptions) handleMove() {
	s.cancelMatching(func(sub *subscription) bool { return !sub.hasList })
	s.sourceMoved, s.retryPending = true, false
	s.subscribe()
}

func (s *subscriptions) handleEvent(event subscriptionEvent) {
	switch event.kind {
	case sourceAnswered:
		s.handleAnswer(event.subscription)
	case listArrived:
		s.handleList(event.subscription)
	case watchEnded:
		s.handleLoss(event.subscription)
	}
}

// hasCurrent reports whether a watch of the present source is open, or about to be opened.
func (s *subscriptions) hasCurrent() bool {
	source := s.newListCall().source
	isCurrent := func(sub *subscription) bool { return sub.call.source == source }
	return s.retryPending || slices.ContainsFunc(s.open, isCurrent)
}

// cancelMatching ends the watches that match.
func (s *subscriptions) cancelMatching(matches func(*subscription) bool) {
	s.open = slices.DeleteFunc(s.open, func(sub *subscription) bool {
		if !matches(sub) {
			return false
		}
		sub.cancel()
		return true
	})
}

// subscribe opens one more watch, and arranges for another beside it should the source not answer.
func (s *subscriptions) subscribe() {
	if len(s.open) >= maxSubscriptions {
		s.cancelOldest()
	}
	ctx, cancel := context.WithCancel(s.ctx)
	hadCurrent := s.hasCurrent()
	sub := &subscription{call: s.newListCall(), cancel: cancel, openedAt: time.Now()}
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotFirstResponseByte: func() { s.report(ctx, sub, sourceAnswered) },
	})
	s.open = append(s.open, sub)
	switch {
	case !s.listOnRequest:
		s.retry.Reset(agentAnswerTimeout)
	case s.sourceMoved && !hadCurrent:
		s.retry.Reset(movedAnswerTimeout)
	default:
		s.retry.Stop()
	}
	s.tasks.Go(func() {
		defer cancel()
		s.watch(ctx, sub)
	})
}

// cancelOldest ends the oldest watch that has not reported a list, or the oldest of all.
func (s *subscriptions) cancelOldest() {
	withoutList := func(sub *subscription) bool { return !sub.hasList }
	oldest := max(slices.IndexFunc(s.open, withoutList), 0)
	s.open[oldest].cancel()
	s.open = slices.Delete(s.open, oldest, oldest+1)
}

// watch runs one watch to its end. It has a goroutine of its own.
func (s *subscriptions) watch(ctx context.Context, sub *subscription) {
	ctx = discovery.WithArrivals(ctx, &s.pause.listsArriving)
	err := sub.call.source.Watch(ctx, sub.call.knownVersion, func(list discovery.List) {
		if ctx.Err() == nil {
			s.applyList(sub.call, list, policy.EndpointsDelta)
			sub.call.knownVersion = list.Index
			s.report(ctx, sub, listArrived)
		}
	})
	if ctx.Err() == nil {
		s.log.Warn("endpoint list watch lost", "error", err)
		s.report(ctx, sub, watchEnded)
	}
}

// report notifies the goroutine of watchList of what has happened to a watch.
func (s *subscriptions) report(ctx context.Context, sub *subscription, kind subscriptionEventKind) {
	select {
	case s.events <- subscriptionEvent{sub, kind}:
	case <-ctx.Done():
	}
}

// handleAnswer handles the first answer to a watch. Where lists are pushed, other watches of the same
// source are not needed any more; that of the source before a move is, until this one reports a list.
func (s *subscriptions) handleAnswer(sub *subscription) {
	sub.answered = true
	if s.listOnRequest || sub.call.source != s.newListCall().source {
		return
	}
	s.retry.Stop()
	s.cancelMatching(func(other *subscription) bool {
		return other != sub && other.call.source == sub.call.source
	})
}

// handleList handles a list that a watch has reported: if it is of the present source, all others end.
func (s *subscriptions) handleList(sub *subscription) {
	sub.hasList = true
	if sub.call.source != s.newListCall().source {
		return
	}
	s.sourceMoved, s.retryPending = false, false
	s.retry.Stop()
	s.cancelMatching(func(other *subscription) bool { return other != sub })
}

// handleLoss handles the end of a watch. One of a local agent that had answered is opened again at once,
// unless it was opened just now. Where all proxies request lists from one service the decision module spreads that.
func (s *subscriptions) handleLoss(sub *subscription) {
	s.open = slices.DeleteFunc(s.open, func(other *subscription) bool { return other == sub })
	switch {
	case s.hasCurrent():
	case !s.listOnRequest && sub.answered && time.Since(sub.openedAt) > agentAnswerTimeout:
		s.subscribe()
	case !s.listOnRequest:
		s.retryAfterDelay(agentRetryDelay)
	case s.sourceMoved:
		s.retryAfterDelay(movedRetryDelay)
	default:
		s.mu.Lock()
		s.counts.listFailures++
		s.handle(policy.EndpointUpdate{Version: s.endpoints.version, Kind: policy.EndpointsUnavailable})
		s.mu.Unlock()
	}
}

// retryAfterDelay opens a watch after half to one and a half times a delay, so that proxies spread.
func (s *subscriptions) retryAfterDelay(delay time.Duration) {
	s.retryPending = true
	s.retry.Reset(delay/2 + rand.N(delay))
}
