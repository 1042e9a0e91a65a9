// Package membership decides which cache nodes exist and which of them may serve, from the endpoint lists of its
// sources and from what connections observe. A [Reconciler] takes events and returns actions. It does no I/O, starts
// no goroutine and reads no clock, so the same events always give the same actions. It is not safe for concurrent
// use.
//
// Sources disagree, flap, fall silent and make mistakes. The rules, in order of precedence:
//
//  1. The drain rule overrides everything. Once any source reports a node as draining, failed or gone, the node gets
//     no new request, whatever other sources report, until that source reports otherwise or is no longer configured.
//  2. Absence from a complete list means that a node is gone, unless the list has collapsed: less than
//     MinRemainingShare of what it contained within CollapseWindow is left. Then the source is queried once more,
//     and the missing nodes are unconfirmed: they keep serving for ConfirmTimeout at most, which leaves enough of the
//     time that the drain rule allows to apply the decision to the sockets. A later list that contains them ends
//     the confirmation. A refetched list that lacks them too, or no response within ConfirmTimeout, removes them. If
//     a refetch fails, the source is considered faulty: the nodes stay unconfirmed until a refetch succeeds, for
//     FailedConfirmTimeout at most.
//  3. A list that becomes empty in one step does not say which nodes left. Even if a refetch confirms it, the nodes
//     stay unconfirmed for FailedConfirmTimeout; within that time a node is removed once its connections fail too.
//  4. Hold-downs delay the return of a node, never its removal: a node that left and returned often is held down for
//     a time that doubles up to MaxHoldDown. It is released early if no other node serves.
//  5. A node is gone once a source lists another one at its address that has started later.
//  6. A source that reports nothing changes nothing: its last list stays in force however old it is. Nodes that die
//     meanwhile are detected by their connections.
//
// Invariants, each checked by a test that names its number:
//
//  1. After Handle returns, no node serves whose latest report from any source is draining, failed or explicitly
//     gone.
//  2. A node serves only if the latest list of some source contains it, or it is unconfirmed. No node stays
//     unconfirmed for longer than ConfirmTimeout or, where refetches fail or the list is empty,
//     FailedConfirmTimeout.
//  3. Where all sources together report at least one node as up, at least one serves: hold-downs never empty the list.
//  4. The published changes, applied in order, give the current list.
//  5. Memory is bounded by the nodes that sources list and those that left within ForgetAfter.
package membership

import (
	"slices"
	"time"
)

// Status is the state of a node as reported by a source or as published.
type Status uint8

// The statuses, from best to worst.
const (
	Up Status = iota
	Draining
	Gone
)

// String returns the status in the form used in logs and reasons.
func (s Status) String() string { return [...]string{"up", "draining", "gone"}[s] }

// Node is a cache node.
type Node struct {
	Name    string // identifies the node, also after a change of its address
	Address string // HOST:PORT
	Zone    string
	Type    string
	Group   int
	Weight  float64
	Status  Status
	// Started is the Unix time of the node's last start, 0 if that was long ago or is not known.
	Started time.Duration
	// Instance changes with each start of the node, "" where the source cannot tell.
	Instance string
	// Reason explains the status or, for a node that is Up, a new start time. It may be empty.
	Reason string
}

// Limits are the times and shares that the rules of the package refer to. All must be positive.
type Limits struct {
	// MinRemainingShare is the share of a list that must be left; below it the list counts as collapsed.
	MinRemainingShare float64
	// CollapseWindow is the time within which the losses of a list are added up.
	CollapseWindow time.Duration
	// ConfirmTimeout bounds how long nodes missing from a collapsed list stay unconfirmed.
	ConfirmTimeout time.Duration
	// FailedConfirmTimeout replaces ConfirmTimeout where refetches fail or the list is empty.
	FailedConfirmTimeout time.Duration
	// FirstHoldDown is the hold-down after the second return within FlapMemory; the first has none.
	FirstHoldDown time.Duration
	// MaxHoldDown bounds each hold-down.
	MaxHoldDown time.Duration
	// FlapMemory is the time constant with which the count of returns decays.
	FlapMemory time.Duration
	// CacheRetention is the absence after which a returning node that was gone is assumed to have an empty cache.
	CacheRetention time.Duration
	// ForgetAfter is the time after which a node that left is forgotten.
	ForgetAfter time.Duration
	// FailureThreshold is the number of consecutive connection failures after which a node's process is assumed
	// to have ended.
	FailureThreshold int
}

// drainRuleConfirmTimeout is the 500 ms of the drain rule less the time to apply a decision to the sockets.
const drainRuleConfirmTimeout = 350 * time.Millisecond

// DefaultLimits suit an installation whose nodes take some seconds to warm up.
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
	// NeedsConfirmation is set for sources whose lists can collapse when they fail. Other sources name the nodes that
	// leave, and their lists take effect without a confirmation.
	NeedsConfirmation bool
}

// Settings configure a Reconciler.
type Settings struct {
	Limits  Limits
	Sources []Source
	// InferRestarts infers start times that sources do not report, and holds flapping nodes down. Without it
	// start times are published as reported, and no node is held down.
	InferRestarts bool
}

// Reconciler decides which nodes serve for one proxy. It is not safe for concurrent use.
type Reconciler struct {
	settings Settings
	now      time.Duration
	actions  []Action  // returned for the event that is being handled
	sources  []*source // in order of precedence, retired ones last
	nodes    map[string]*node
	owners   map[string]addressOwner // by address
	// ownersChanged is set when a node takes the address of another one, which is then published again.
	ownersChanged bool
	// firstList is set while the first list of a source is handled: its nodes may have been running for a long time.
	firstList bool
}

// New returns a Reconciler without any nodes.
func New(settings Settings) *Reconciler {
	r := &Reconciler{
		settings: settings,
		nodes:    make(map[string]*node),
		owners:   make(map[string]addressOwner),
	}
	r.setSources(settings.Sources)
	return r
}

// Handle handles an event that occurs at now, which must not go back, and returns actions with the actions to carry
// out appended.
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

// timerFired ends expired confirmations, retries due refetches, and forgets nodes that left more than ForgetAfter ago.
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

// Serving returns the number of nodes that are published as up.
func (r *Reconciler) Serving() (count int) {
	for _, n := range r.nodes {
		if n.everPublished && n.published.Status == Up {
			count++
		}
	}
	return count
}

// Unconfirmed returns the sorted names of the unconfirmed nodes. A source's latest list lacks them, but the last
// report from that source stays in force until the loss is confirmed.
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
