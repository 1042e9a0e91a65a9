// Package membership decides which cache nodes there are, from what sources say of them
// and what connections see. A [Module] is fed events and answers each with actions; it does
// no I/O and reads no clock, so that the same events always give the same actions.
//
// Sources disagree, flap, fall silent and err. The rules, in the order in which they win:
//
//  1. The drain rule holds against everything. What any source says drains, has failed or
//     is gone gets nothing new, at once, whatever other sources say, until that source says
//     otherwise or is no source any more.
//  2. Absence from a whole list says that a node is gone, unless the list has collapsed:
//     fewer than Share of what it had within Collapse are left. Then the source is asked for
//     a second look, and the nodes it lacks stay in doubt: served, for no longer than
//     Doubt, which with the way to the sockets lies within the drain rule's time.
//     A second look that shows them ends the doubt; one that confirms the loss, and the end
//     of Doubt without an answer, make it news. A look that fails makes it a source's failure: the
//     doubt then lasts until a look succeeds, for Failing at the most.
//  3. An empty list at a stroke names nobody who left. Even confirmed it is doubted for
//     Failing; in that time each node is gone as soon as connections see it fail too.
//  4. Going is never put off, coming back is: a node that came and went often is held down
//     for a time that doubles, up to Most, and is released early where nobody else serves.
//  5. A source that says nothing changes nothing. A list grows old without end; what dies
//     meanwhile is found by the connections.
//
// Invariants, each guarded by the test of its number:
//
//  1. After Handle returns, no node serves of which a source's latest statement says
//     that it drains, failed or left explicitly.
//  2. A node serves only if some source's latest list has it, or it is in doubt. No doubt
//     is older than Doubt or, where looks fail or the list is empty, than Failing.
//  3. Where any node is up by all that sources say, one serves: holds never empty the list.
//  4. What is published can be replayed: the changes told, applied in order, are the list.
//  5. Memory is bounded by the nodes that sources list, and those that left within
//     Forget.
package membership

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"
)

// Status is what a source says of a node, and what is published.
type Status uint8

// The statuses, the better first.
const (
	Up Status = iota
	Draining
	Gone
)

// String says a status in a word.
func (s Status) String() string { return [...]string{"up", "draining", "gone"}[s] }

// Node is a cache node. Name is its identity, also across changes of address.
type Node struct {
	Name, Address string
	Zone, Type    string
	Group         int
	Weight        float64
	Status        Status
	Started       time.Duration // of its last start, Unix time; 0 for long ago or not told
	Instance      string        // changes with each start, where a source can tell; "" where not
	Reason        string        // of a status that is not Up
}

// Limits are the times and shares of the rules. They must be positive.
type Limits struct {
	MinRemainingShare    float64       // of a list that is left at the least, or it has collapsed
	CollapseWindow       time.Duration // within which losses are added up
	ConfirmTimeout       time.Duration // of what a collapsed list lacks
	FailedConfirmTimeout time.Duration // the same where looks fail, or the list is empty
	FirstHoldDown        time.Duration // hold of the second return within Memory; the first is free
	MaxHoldDown          time.Duration // hold at the most
	FlapMemory           time.Duration // in which returns fade
	CacheRetention       time.Duration // absence after which a node that returns has forgotten
	ForgetAfter          time.Duration // after which a node that left is forgotten
	FailureThreshold     int           // failures of connections in a row that tell of a process's end
}

// DefaultLimits are the limits of an installation whose nodes take some seconds to warm up.
// Doubt is the drain rule's 500 ms less the way from module to sockets.
var DefaultLimits = Limits{MinRemainingShare: 0.5, CollapseWindow: 10 * time.Second, ConfirmTimeout: 350 * time.Millisecond, FailedConfirmTimeout: 30 * time.Second,
	FirstHoldDown: time.Second, MaxHoldDown: 30 * time.Second, FlapMemory: time.Minute, CacheRetention: 6 * time.Second, ForgetAfter: 2 * time.Minute, FailureThreshold: 3}

// Source is a source of lists, as settings name it. Its place among them is its
// precedence: what a node is like is taken from the first that lists it.
type Source struct {
	Name string
	// NeedsConfirmation sources can collapse. Others are believed to the word: they say who leaves.
	NeedsConfirmation bool
}

// Settings say what a Module follows.
type Settings struct {
	Limits  Limits
	Sources []Source
	// InferRestarts has start times be worked out where sources don't tell them, and holds be
	// kept. Without it what sources say is passed on as it is.
	InferRestarts bool
}

// Event is something a Module is told: one of the types below.
type Event interface{ event() }

// ListReceived is a source's list, whole or what has changed of it. A change names who left.
type ListReceived struct {
	Source    string
	Complete  bool
	Refetched bool // it answers a Look: it can confirm what is doubted
	Nodes     []Node
}

// RefetchFailed tells that a Look had no answer.
type RefetchFailed struct{ Source string }

// SourcesChanged tells which sources there are from now on, in order of precedence. What was
// said by one that is none any more counts until each new one has told a whole list.
type SourcesChanged struct{ Sources []Source }

// Observation is what connections see of a node.
type Observation uint8

// The sights.
const (
	Answered Observation = iota // it gave an answer, of whatever kind
	Failed                      // no connection came up, or one ended unasked
)

// ConnectionObserved tells what connections have seen of a node.
type ConnectionObserved struct {
	Node        string
	Observation Observation
}

// TimerFired is the return of a Wake.
type TimerFired struct{}

func (ListReceived) event()       {}
func (RefetchFailed) event()      {}
func (SourcesChanged) event()     {}
func (ConnectionObserved) event() {}
func (TimerFired) event()         {}

// Action is something a Module wants done, in order: one of the types below.
type Action interface{ action() }

// Change is news of the list: a node as it is from now on, with the source that decided it
// and the reason. Gone ones are to be forgotten.
type Change struct {
	Node
	Source   string
	Previous Status // Gone for a new one
}

// Refetch asks a source for a second look, past whatever it may have kept.
type Refetch struct{ Source string }

// SetTimer asks for a Tick after a while. A later Wake does not undo an earlier one.
type SetTimer struct{ After time.Duration }

func (Change) action()   {}
func (Refetch) action()  {}
func (SetTimer) action() {}

// source is what the module knows of a source.
type source struct {
	Source
	retired bool // none any more, but others have yet to tell
	told    bool
	whole   bool                     // a whole list was among it
	nodes   map[string]*Node         // its latest statements; Gone ones while others list the node
	losses  map[string]time.Duration // nodes that left within Collapse, and when
	doubt   *doubt                   // nil for none
}

// doubt is of what a collapsed list lacks. Its nodes' statements stay as they were.
type doubt struct {
	since   time.Duration
	until   time.Duration
	looked  time.Duration // when the last look was asked for
	names   map[string]bool
	empty   bool // nothing was left
	failing bool // a look has failed
}

// node is what is known and published of one.
type node struct {
	known    bool // it is published, or was within Forget
	is       Node // as published
	from     string
	left     time.Duration // when it last stopped serving
	hurt     bool          // by failure, not by a drain
	returns  float64       // fading
	counted  time.Duration // time of returns
	held     time.Duration // not to serve before
	fails    int           // of connections, in a row
	failed   time.Duration // time of the last of them
	down     bool          // its process has ended since it last answered
	instance string
	started  time.Duration // worked out; 0 for none
}

// Reconciler decides for one proxy. It is not safe for concurrent use.
type Reconciler struct {
	set     Settings
	now     time.Duration
	out     []Action
	sources []*source // in order of precedence; retired ones last
	nodes   map[string]*node
	first   bool // a source's first list is being taken: what it names may be old
}

// New returns a Module that knows no node.
func New(set Settings) *Reconciler {
	m := &Reconciler{set: set, nodes: make(map[string]*node)}
	m.follow(set.Sources)
	return m
}

// Handle takes an event at a time that never goes back, and appends what is to be done.
func (m *Reconciler) Handle(now time.Duration, event Event, out []Action) []Action {
	m.now, m.out = now, out
	switch e := event.(type) {
	case ListReceived:
		if s := m.source(e.Source); s != nil {
			m.told(s, e)
		}
	case RefetchFailed:
		s := m.source(e.Source)
		if s == nil || s.doubt == nil {
			break
		}
		if !s.doubt.failing {
			s.doubt.failing = true
			s.doubt.until = s.doubt.since + m.set.Limits.FailedConfirmTimeout
			m.wake(m.set.Limits.FailedConfirmTimeout)
		}
		m.wake(lookPause)
	case SourcesChanged:
		m.follow(e.Sources)
		m.all()
	case ConnectionObserved:
		m.seen(e)
	case TimerFired:
		m.tick()
	}
	return m.out
}

func (m *Reconciler) source(name string) *source {
	for _, s := range m.sources {
		if s.Name == name {
			return s
		}
	}
	return nil
}

// follow puts sources into their order. Those that are none any more are retired: they
// are heard until the others have told a list, as a drain that they announce must not
// be missed.
func (m *Reconciler) follow(list []Source) {
	var next []*source
	for _, f := range list {
		s := m.source(f.Name)
		if s == nil {
			s = &source{nodes: make(map[string]*Node), losses: make(map[string]time.Duration)}
		}
		s.Source, s.retired = f, false
		next = append(next, s)
	}
	for _, s := range m.sources {
		if !slices.Contains(next, s) && s.told {
			s.retired = true
			next = append(next, s)
		}
	}
	m.sources = next
	m.release()
}

// release drops retired sources once all others have told a whole list. Until then, what
// the others say of a node takes the place of what retired ones said: a source may begin
// with what has changed since a list that it takes for known.
func (m *Reconciler) release() {
	for _, s := range m.sources {
		if !s.retired && !s.whole {
			return
		}
	}
	m.sources = slices.DeleteFunc(m.sources, func(s *source) bool { return s.retired })
}

// told takes a list.
func (m *Reconciler) told(s *source, e ListReceived) {
	m.settle()
	names := make(map[string]bool, len(e.Nodes))
	for i := range e.Nodes {
		n := e.Nodes[i]
		if names[n.Name] = true; n.Status != Gone {
			delete(s.losses, n.Name)
		} else if before := s.nodes[n.Name]; before != nil && before.Status != Gone {
			s.losses[n.Name] = m.now
		}
		s.nodes[n.Name] = &n
	}
	first := !s.told
	waited := !s.whole
	s.told, s.whole, m.first = true, s.whole || e.Complete, first
	if !s.retired {
		for _, o := range m.sources {
			if o.retired {
				maps.DeleteFunc(o.nodes, func(name string, _ *Node) bool { return names[name] })
			}
		}
	}
	if e.Complete {
		var missing []string
		for name, n := range s.nodes {
			if !names[name] && n.Status != Gone {
				missing = append(missing, name)
			}
		}
		slices.Sort(missing)
		m.miss(s, e, missing)
	}
	if d := s.doubt; d != nil {
		for name := range names {
			delete(d.names, name)
		}
		if len(d.names) == 0 {
			s.doubt = nil
		}
	}
	if waited {
		m.release()
	}
	m.all()
	m.first = false
}

// miss decides on what a whole list lacks.
func (m *Reconciler) miss(s *source, e ListReceived, missing []string) {
	if len(missing) == 0 {
		return
	}
	left := 0
	for i := range e.Nodes {
		if e.Nodes[i].Status != Gone {
			left++
		}
	}
	l := &m.set.Limits
	switch d := s.doubt; {
	case !s.NeedsConfirmation, d == nil && !m.collapsed(s, left, len(missing)):
	case d == nil:
		d = &doubt{since: m.now, until: m.now + l.ConfirmTimeout, names: make(map[string]bool), empty: left == 0}
		if d.empty {
			d.until = m.now + l.FailedConfirmTimeout
		}
		for _, name := range missing {
			d.names[name] = true
		}
		s.doubt = d
		m.look(s)
		m.wake(d.until - m.now)
		return
	case e.Refetched && left > 0: // confirmed
		s.doubt = nil
	default: // the same once more, or a first look at more that is lost
		if left > 0 && d.empty { // not empty any more: what is still lacking is a loss like others
			d.empty, d.until = false, min(d.until, m.now+l.ConfirmTimeout)
			m.look(s)
			m.wake(l.ConfirmTimeout)
		}
		d.empty = d.empty || left == 0
		for _, name := range missing {
			d.names[name] = true
		}
		return
	}
	for _, name := range missing {
		s.lose(name, m.now, "not in the list")
	}
}

// lose takes it for a source's word that a node is gone.
func (s *source) lose(name string, now time.Duration, why string) {
	s.nodes[name] = &Node{Name: name, Status: Gone, Reason: why}
	s.losses[name] = now
}

// look asks for a second look at a list in doubt.
func (m *Reconciler) look(s *source) {
	s.doubt.looked = m.now
	m.out = append(m.out, Refetch{s.Name})
}

// collapsed tells whether a list that loses so many has too few left.
func (m *Reconciler) collapsed(s *source, left, missing int) bool {
	maps.DeleteFunc(s.losses, func(_ string, at time.Duration) bool { return m.now-at > m.set.Limits.CollapseWindow })
	if missing == 1 && len(s.losses) == 0 {
		return false // one leaves, be it the last
	}
	return float64(left) < m.set.Limits.MinRemainingShare*float64(left+missing+len(s.losses))
}

// settle ends doubts whose time is over: what they held is gone.
func (m *Reconciler) settle() {
	for _, s := range m.sources {
		if d := s.doubt; d != nil && m.now >= d.until {
			for name := range d.names {
				s.lose(name, m.now, "not in the list for "+(m.now-d.since).Round(time.Millisecond).String())
			}
			s.doubt = nil
		}
	}
}

// failPause is the time between two failures that count: what waited on one connection
// fails together with it.
const failPause = 50 * time.Millisecond

// lookPause is the time between two looks of which the first has failed.
const lookPause = 250 * time.Millisecond

// tick does what is due.
func (m *Reconciler) tick() {
	m.settle()
	for _, s := range m.sources {
		if s.doubt != nil && s.doubt.failing && m.now-s.doubt.looked >= lookPause {
			m.look(s)
		}
	}
	m.all()
	for name, n := range m.nodes {
		if n.is.Status == Gone && m.now-n.left > m.set.Limits.ForgetAfter {
			delete(m.nodes, name)
		}
	}
}

// seen takes what connections see. A node in doubt whose connections fail is gone by two
// witnesses; one that fails over and over and then answers has been started anew.
func (m *Reconciler) seen(e ConnectionObserved) {
	n := m.nodes[e.Node]
	if n == nil || !m.set.InferRestarts {
		return
	}
	if e.Observation == Answered {
		if n.fails = 0; n.down {
			n.down, n.started = false, m.now
			m.one(e.Node, "has been started anew, as connections see it")
		}
		return
	}
	if n.failed > 0 && m.now-n.failed < failPause {
		return
	}
	n.failed = m.now
	if n.fails++; n.fails >= m.set.Limits.FailureThreshold {
		n.down = true
	}
	for _, s := range m.sources {
		if s.doubt != nil && s.doubt.names[e.Node] && n.down {
			delete(s.doubt.names, e.Node)
			s.lose(e.Node, m.now, "not in the list, and its connections fail")
			m.all()
		}
	}
}

// verdict is what sources together say of a node.
func (m *Reconciler) verdict(name string) (is Node, from string) {
	is = Node{Name: name, Status: Gone}
	listed := false
	worst, why, whose := Up, "", ""
	for _, s := range m.sources {
		n := s.nodes[name]
		if n == nil {
			continue
		}
		if n.Status != Gone && !listed {
			listed = true
			is, from = *n, s.Name
		}
		// A retired source's last word on who leaves counts as long as its list does.
		if n.Status > worst {
			worst, why, whose = n.Status, n.Reason, s.Name
		}
	}
	if !listed {
		return Node{Name: name, Status: Gone, Reason: why}, whose
	}
	if worst != Up {
		if from != whose {
			why = worst.String() + " in " + whose + " " + why
		}
		is.Status, is.Reason, from = Draining, why, whose
	}
	return is, from
}

// all publishes what has changed of all nodes.
func (m *Reconciler) all() {
	names := make(map[string]bool, len(m.nodes))
	for _, s := range m.sources {
		for name := range s.nodes {
			names[name] = true
		}
	}
	for name := range m.nodes {
		names[name] = true
	}
	ordered := make([]string, 0, len(names))
	for name := range names {
		ordered = append(ordered, name)
	}
	slices.Sort(ordered)
	for _, name := range ordered {
		m.one(name, "")
	}
	m.rescue(ordered)
	m.sweep()
}

// one publishes a node if it has changed.
func (m *Reconciler) one(name, why string) {
	is, from := m.verdict(name)
	n := m.nodes[name]
	if n == nil {
		if is.Status == Gone {
			return
		}
		n = &node{is: Node{Name: name, Status: Gone}}
		m.nodes[name] = n
	}
	if m.set.InferRestarts {
		m.infer(n, &is, &why)
	}
	if why != "" && is.Reason == "" {
		is.Reason = why
	}
	m.publish(n, is, from)
}

func (m *Reconciler) publish(n *node, is Node, from string) {
	before := n.is.Status
	same := n.is
	if is.Status == Up {
		same.Reason = is.Reason // another reason for serving is no news
	}
	if n.known && same == is || !n.known && is.Status == Gone {
		return
	}
	if before == Up && is.Status != Up {
		n.left, n.hurt = m.now, is.Status == Gone
	}
	if is.Status == Gone {
		n.hurt = true
		if before != Gone && before != Up {
			n.left = m.now
		}
	}
	n.known, n.is, n.from = true, is, from
	if is.Status == Gone && m.set.InferRestarts {
		m.wake(m.set.Limits.ForgetAfter + time.Millisecond)
	}
	m.out = append(m.out, Change{Node: is, Source: from, Previous: before})
}

// infer works out the start time of a node, and whether it is held.
func (m *Reconciler) infer(n *node, is *Node, why *string) {
	l := &m.set.Limits
	if is.Status != Up {
		n.held = 0 // it left again: the next return counts anew
	}
	if is.Status == Gone {
		return
	}
	if !n.known && !m.first && n.started == 0 {
		n.started = m.now // it was not there before
		*why = "is new"
	}
	changed := n.known && is.Instance != n.instance && n.instance != ""
	back := n.known && n.is.Status != Up && is.Status == Up && n.held == 0
	if n.instance = cmp.Or(is.Instance, n.instance); changed {
		n.started = m.now
		*why = "is another instance"
	}
	if back {
		// Cold unless proven otherwise: the same instance, soon back, and no process's end seen.
		if n.hurt && (m.now-n.left > l.CacheRetention || n.down) {
			n.started, n.down, n.fails = m.now, false, 0
			*why = "is back after a failure"
		}
		n.hurt = false
		n.returns = n.returns*math.Exp(-float64(m.now-n.counted)/float64(l.FlapMemory)) + 1
		n.counted = m.now
		if r := n.returns; r >= 1.5 {
			hold := time.Duration(min(float64(l.FirstHoldDown)*math.Exp2(math.Floor(r-1.5)), float64(l.MaxHoldDown)))
			n.held = m.now + hold
			m.wake(hold)
		}
	}
	if n.held > 0 && m.now >= n.held {
		n.held = 0
	}
	if n.held > 0 {
		is.Status, is.Reason = Draining, "held down, it came and went too often"
	}
	if is.Started == 0 {
		is.Started = n.started
	}
}

// rescue releases holds where nobody serves: suspicion must not empty the list.
func (m *Reconciler) rescue(ordered []string) {
	var held []string
	for _, name := range ordered {
		n := m.nodes[name]
		if n == nil {
			continue
		}
		if n.is.Status == Up {
			return
		}
		if n.held > 0 {
			held = append(held, name)
		}
	}
	for _, name := range held {
		m.nodes[name].held = 0
		is, from := m.verdict(name)
		if is.Status != Up {
			continue
		}
		if is.Started == 0 {
			is.Started = m.nodes[name].started
		}
		is.Reason = "released from its hold, as nobody else serves"
		m.publish(m.nodes[name], is, from)
	}
}

// sweep forgets statements of who left, once no source lists them.
func (m *Reconciler) sweep() {
	for _, s := range m.sources {
		for name, n := range s.nodes {
			if n.Status == Gone && !slices.ContainsFunc(m.sources, func(o *source) bool {
				x := o.nodes[name]
				return x != nil && x.Status != Gone
			}) {
				delete(s.nodes, name)
			}
		}
	}
	if len(m.nodes) > 0 && !m.set.InferRestarts { // nothing is remembered of who left
		for name, n := range m.nodes {
			if n.is.Status == Gone {
				delete(m.nodes, name)
			}
		}
	}
}

func (m *Reconciler) wake(after time.Duration) { m.out = append(m.out, SetTimer{after}) }

// Serving counts the nodes that serve.
func (m *Reconciler) Serving() (count int) {
	for _, n := range m.nodes {
		if n.known && n.is.Status == Up {
			count++
		}
	}
	return count
}

// Unconfirmed returns the nodes of a source that its latest list lacks, and that serve all
// the same.
func (m *Reconciler) Unconfirmed(name string) (names []string) {
	if s := m.source(name); s != nil && s.doubt != nil {
		for n := range s.doubt.names {
			names = append(names, n)
		}
		slices.Sort(names)
	}
	return names
}
