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

// This file watches the endpoint list of the only source: a local agent that pushes lists, or a service from
// which all proxies request them.

const (
	// agentAnswerTimeout is how long a local agent may take to answer a new watch before another is opened in
	// parallel. A working agent answers immediately, and the proxy is assumed to know what the agent knows.
	agentAnswerTimeout = 400 * time.Millisecond
	// serviceAnswerTimeout is the corresponding timeout for a service that all proxies call. It may queue the call, and
	// more calls would flood it. But the list of a new source must take effect no later than 4 s after the change, and
	// a drain no later than 6 s after the service could tell it.
	serviceAnswerTimeout = 3 * time.Second
	// agentRetryDelay is the mean delay before the watch of an agent is reopened if it ended without an answer, or
	// within agentAnswerTimeout after it was opened. newSourceRetryDelay is the mean delay before the watch of a new
	// source is reopened if it ended before the source has reported a list.
	agentRetryDelay     = 100 * time.Millisecond
	newSourceRetryDelay = 500 * time.Millisecond
	// maxSubscriptions limits the watches that are open at a time: the one that has reported a list, and
	// those that are to replace it.
	maxSubscriptions = 4
)

// subscription is one watch of the list. It belongs to the goroutine of watchList, except for call.knownVersion,
// which belongs to the goroutine of the watch.
type subscription struct {
	call     listCall
	cancel   context.CancelFunc
	openedAt time.Time
	answered bool // the source has answered the watch, even if the list has not changed
	hasList  bool // the watch has reported a list
}

// subscriptionEvent is an event that a subscription reports to the goroutine of watchList.
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
	ctx             context.Context
	tasks           sync.WaitGroup
	events          chan subscriptionEvent
	open            []*subscription // open watches, in the order of opening
	awaitsNewSource bool            // the source was changed, and the new one has not reported a list yet
	retry           *time.Timer     // fires when one more watch is to be opened
	retryPending    bool            // retry is set because the last subscription was lost
}

// watchList watches the list until ctx ends. Where lists are pushed, it always keeps a watch open. Otherwise it opens
// one when the decision module requests it, and notifies the decision module when the watch is lost.
//
// When the source changes, the old watch is kept until the new one has reported a list: the new call may be queued
// for seconds, the new address may be slow or not serve yet, and a drain that is announced in the meantime must
// not be missed. This costs one more connection during that time.
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
			s.handleSourceChange()
		case <-s.retry.C:
			s.retryPending = false
			s.subscribe()
		case event := <-s.events:
			s.handleEvent(event)
		}
	}
}

// handleSourceChange opens a watch of a new source. Of the watches of the old source it keeps only the one that has
// reported a list.
func (s *subscriptions) handleSourceChange() {
	s.cancelMatching(func(sub *subscription) bool { return !sub.hasList })
	s.awaitsNewSource, s.retryPending = true, false
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

// hasCurrent reports whether a watch of the current source is open, or about to be opened.
func (s *subscriptions) hasCurrent() bool {
	source := s.newListCall().source
	isCurrent := func(sub *subscription) bool { return sub.call.source == source }
	return s.retryPending || slices.ContainsFunc(s.open, isCurrent)
}

// cancelMatching cancels the watches that match, and removes them from s.open.
func (s *subscriptions) cancelMatching(matches func(*subscription) bool) {
	s.open = slices.DeleteFunc(s.open, func(sub *subscription) bool {
		if !matches(sub) {
			return false
		}
		sub.cancel()
		return true
	})
}

// subscribe opens one more watch. For an agent, and for the first watch of a service, it sets the timer for a parallel
// watch in case the source does not answer.
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
	case !hadCurrent:
		s.retry.Reset(serviceAnswerTimeout)
	default:
		s.retry.Stop()
	}
	s.tasks.Go(func() {
		defer cancel()
		s.watch(ctx, sub)
	})
}

// cancelOldest cancels the oldest watch that has not reported a list, or the oldest of all if each has.
func (s *subscriptions) cancelOldest() {
	withoutList := func(sub *subscription) bool { return !sub.hasList }
	oldest := max(slices.IndexFunc(s.open, withoutList), 0)
	s.open[oldest].cancel()
	s.open = slices.Delete(s.open, oldest, oldest+1)
}

// watch runs one watch until it ends, in a goroutine of its own.
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

// report sends an event of a watch to the goroutine of watchList.
func (s *subscriptions) report(ctx context.Context, sub *subscription, kind subscriptionEventKind) {
	select {
	case s.events <- subscriptionEvent{sub, kind}:
	case <-ctx.Done():
	}
}

// handleAnswer handles the first answer to a watch. It cancels the other watches of the same source, unless this is a
// new source. The watch of a previous source is still needed until this one reports a list.
func (s *subscriptions) handleAnswer(sub *subscription) {
	sub.answered = true
	isNewService := s.listOnRequest && s.awaitsNewSource
	if isNewService || sub.call.source != s.newListCall().source {
		return
	}
	s.retry.Stop()
	s.cancelMatching(func(other *subscription) bool {
		return other != sub && other.call.source == sub.call.source
	})
}

// handleList handles a list that a watch has reported. If the watch is of the current source, it cancels all others.
func (s *subscriptions) handleList(sub *subscription) {
	sub.hasList = true
	if sub.call.source != s.newListCall().source {
		return
	}
	s.awaitsNewSource, s.retryPending = false, false
	s.retry.Stop()
	s.cancelMatching(func(other *subscription) bool { return other != sub })
}

// handleLoss handles the end of a watch. The watch of a local agent that had answered is reopened immediately, unless
// it was opened just before. Where all proxies request lists from one service, the decision module spreads their
// calls over time.
func (s *subscriptions) handleLoss(sub *subscription) {
	s.open = slices.DeleteFunc(s.open, func(other *subscription) bool { return other == sub })
	if s.hasCurrent() {
		return
	}
	s.retry.Stop() // it was to open a watch in parallel to this one
	switch {
	case !s.listOnRequest && sub.answered && time.Since(sub.openedAt) > agentAnswerTimeout:
		s.subscribe()
	case !s.listOnRequest:
		s.retryAfterDelay(agentRetryDelay)
	case s.awaitsNewSource:
		s.retryAfterDelay(newSourceRetryDelay)
	default:
		s.mu.Lock()
		s.counts.listFailures++
		s.handle(policy.EndpointUpdate{Version: s.endpoints.version, Kind: policy.EndpointsUnavailable})
		s.mu.Unlock()
	}
}

// retryAfterDelay opens a watch after a random time between half and one and a half times delay, so that the calls of
// proxies are spread.
func (s *subscriptions) retryAfterDelay(delay time.Duration) {
	s.retryPending = true
	s.retry.Reset(delay/2 + rand.N(delay))
}
