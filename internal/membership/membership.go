// Package membership decides which cache nodes exist and which of them may serve, from what the sources of
// endpoint lists report and from what connections observe. A [Reconciler] takes events and answers each with
// actions. It does no I/O, starts no goroutine and reads no clock, so the same events always give the same actions.
// Its state belongs to the caller, who must not use it concurrently.
//
// Sources disagree, flap, fall silent and make mistakes. The rules, in order of precedence:
//
//  1. The drain rule overrides everything. A node that any source reports as draining, failed or gone gets no new
//     request from that moment on, whatever other sources report, until that source reports otherwise or is no
//     longer configured.
//  2. Absence from a complete list means that a node is gone, unless the list has collapsed: less than
//     MinRemainingShare of what it contained within CollapseWindow is left. Then the source is queried once more,
//     and the missing nodes are unconfirmed: they keep serving for ConfirmTimeout at most, which together with the
//     way to the sockets is within the time that the drain rule allows. A refetched list that contains them ends
//     this; one that confirms the loss, or the end of ConfirmTimeout without a response, makes it effective. A
//     failed refetch makes it a failure of the source: the nodes then stay unconfirmed until a refetch succeeds,
//     for FailedConfirmTimeout at most.
//  3. A list that becomes empty at once does not name any node that left. Even if confirmed, its nodes stay
//     unconfirmed for FailedConfirmTimeout; in that time each node is gone as soon as its connections fail too.
//  4. Leaving is never delayed, returning is: a node that left and returned often is held down for a time that
//     doubles up to MaxHoldDown. It is released early where no other node serves.
//  5. A source that reports nothing changes nothing. A list may grow old without limit; nodes that die meanwhile are
//     found by their connections.
//
// Invariants, each guarded by the test of its number:
//
//  1. After Handle returns, no node serves that the latest report of a source calls draining, failed or explicitly
//     gone.
//  2. A node serves only if the latest list of some source contains it, or it is unconfirmed. No node stays
//     unconfirmed for longer than ConfirmTimeout or, where refetches fail or the list is empty,
//     FailedConfirmTimeout.
//  3. Where all sources together report at least one node as up, at least one serves: hold-downs never empty the list.
//  4. What is published can be replayed: the changes, applied in order, are the list.
//  5. Memory is bounded by the nodes that sources list and those that left within ForgetAfter.
package membership

import (
	"slices"
	"time"
)

// Status is the state of a node, as a source reports it and as it is published.
type Status uint8

// The statuses, from best to worst.
const (
	Up Status = iota
	Draining
	Gone
)

// String returns the status as logs and reasons have it.
func (s Status) String() string { return [...]string{"up", "draining", "gone"}[s] }

// Node is a cache node.
type Node struct {
	Name    string // its identity, also across changes of address
	Address string // HOST:PORT
	Zone    string
	Type    string
	Group   int
	Weight  float64
	Status  Status
	// Started is the time of its last start as Unix time, 0 if that was long ago or is not known.
	Started time.Duration
	// Instance changes with each start of the node, "" where the source cannot tell.
	Instance string
	// Reason tells why the status is not Up.
	Reason string
}

// Limits are the times and shares of the rules. All must be positive.
type Limits struct {
	// MinRemainingShare is the part of a list that must be left, or it has collapsed.
	MinRemainingShare float64
	// CollapseWindow is the time within which losses are added up.
	CollapseWindow time.Duration
	// ConfirmTimeout bounds how long nodes missing from a collapsed list stay unconfirmed.
	ConfirmTimeout time.Duration
	// FailedConfirmTimeout is the same where refetches fail or the list is empty.
	FailedConfirmTimeout time.Duration
	// FirstHoldDown is the hold-down after the second return within FlapMemory; the first has none.
	FirstHoldDown time.Duration
	// MaxHoldDown bounds each hold-down.
	MaxHoldDown time.Duration
	// FlapMemory is the time constant with which the count of returns decays.
	FlapMemory time.Duration
	// CacheRetention is the absence after which a node that failed is taken to return with an empty cache.
	CacheRetention time.Duration
	// ForgetAfter is the time after which a node that left is forgotten.
	ForgetAfter time.Duration
	// FailureThreshold is the number of consecutive connection failures that show that a process has ended.
	FailureThreshold int
}

// drainRuleConfirmTimeout is the 500 ms of the drain rule less the way from a decision to the sockets.
const drainRuleConfirmTimeout = 350 * time.Millisecond

// DefaultLimits are the limits of an installation whose nodes take some seconds to warm up.
var DefaultLimits = Limits{
	MinRemainingShare:    0.5,
	CollapseWindow:       10 * time.Second,
	ConfirmTimeout:       drainRuleConfirmTimeout,
	FailedConfirmTimeout: 30 * time.Second,
	FirstHoldDown:        time.Second,
	MaxHoldDown:          30 * time.Second,
	FlapMemory:           time.Minute,
	CacheRetention:       6 * time.Second,
	ForgetAfter:          2 * time.Minute,
	FailureThreshold:     3,
}

// Source is a source of endpoint lists. The order of sources is their precedence: a node's properties are those of
// the first source that lists it.
type Source struct {
	Name string
	// NeedsConfirmation is set for sources whose lists can collapse when they fail. Others name the nodes that leave
	// and are believed at once.
	NeedsConfirmation bool
}

// Settings configure a Reconciler.
type Settings struct {
	Limits  Limits
	Sources []Source
	// InferRestarts derives start times where sources do not report them, and holds flapping nodes down. Without it
	// the reports of sources are passed on unchanged.
	InferRestarts bool
}

// Reconciler decides for one proxy. It is not safe for concurrent use.
type Reconciler struct {
	settings Settings
	now      time.Duration
	actions  []Action  // of the event that is being handled
	sources  []*source // in order of precedence, retired ones last
	nodes    map[string]*node
	// firstList is set while the first list of a source is taken: its nodes may have run for long.
	firstList bool
}

// New returns a Reconciler that knows no node.
func New(settings Settings) *Reconciler {
	r := &Reconciler{settings: settings, nodes: make(map[string]*node)}
	r.setSources(settings.Sources)
	return r
}

// Handle handles an event that occurs at now, which never goes back, and appends what has to be done to actions.
func (r *Reconciler) Handle(now time.Duration, event Event, actions []Action) []Action {
	r.now, r.actions = now, actions
	switch e := event.(type) {
	case ListReceived:
		if s := r.source(e.Source); s != nil {
			r.listReceived(s, e)
		}
	case RefetchFailed:
		r.refetchFailed(r.source(e.Source))
	case SourcesChanged:
		r.setSources(e.Sources)
		r.publishAll()
	case ConnectionObserved:
		r.connectionObserved(e)
	case TimerFired:
		r.timerFired()
	}
	return r.actions
}

// timerFired ends confirmations that are over, requests refetches that are due, and forgets nodes that left long ago.
func (r *Reconciler) timerFired() {
	r.expirePending()
	r.retryRefetches()
	r.publishAll()
	for name, n := range r.nodes {
		if n.published.Status == Gone && r.now-n.leftAt > r.settings.Limits.ForgetAfter {
			delete(r.nodes, name)
		}
	}
}

func (r *Reconciler) setTimer(after time.Duration) { r.actions = append(r.actions, SetTimer{after}) }

// Serving returns the number of nodes that serve.
func (r *Reconciler) Serving() (count int) {
	for _, n := range r.nodes {
		if n.everPublished && n.published.Status == Up {
			count++
		}
	}
	return count
}

// Unconfirmed returns the names of the nodes that the latest list of a source lacks and that serve nevertheless.
func (r *Reconciler) Unconfirmed(sourceName string) (names []string) {
	s := r.source(sourceName)
	if s == nil || s.pending == nil {
		return nil
	}
	for name := range s.pending.names {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}
