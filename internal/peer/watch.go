// Package peer decides who of a fleet's instances lives. It does no I/O and has no clock. The fleet's voters watch:
// every instance beats at each of them, and each has an opinion of its own ([Watch]); every instance is told all
// opinions and goes by their majority ([View]).
//
// Guarantees, where a majority of the watchers runs and is heard:
//
//  1. An instance whose process ends is gone [Parameters.ReconnectGrace] after its connections have ended.
//  2. One that is silent is gone [Parameters.GoneAfter] after its last beat, and never while its silence is shorter.
//  3. A watcher that stood still itself finds nobody gone for it.
//  4. Of two processes of one name the first counts until it is gone or says that it leaves; one that has been
//     replaced never counts again.
//  5. Who hears no majority of the watchers keeps what it knew last, and knows that it does ([View.Isolated]).
//
// Nothing that is decided here is a promise that somebody acts no more: that is what leases are for.
package peer

import (
	"cmp"
	"slices"
	"time"
)

// Parameters bound what is told.
type Parameters struct {
	HeartbeatInterval time.Duration // from one beat to the next, while all is well
	ReconnectGrace    time.Duration // a connection that has ended may be replaced for so long
	SuspectAfter      time.Duration // silence
	GoneAfter         time.Duration // silence
	PauseThreshold    time.Duration // between two looks of a watcher: more, and it stood still itself
	ForgetAfter       time.Duration // how long one that is gone is kept
	MaxMembers        int           // members
}

// DefaultParameters are the terms in service. A stop of 300 ms is 450 ms of silence at the most, and a few for the network.
var DefaultParameters = Parameters{HeartbeatInterval: 150 * time.Millisecond, ReconnectGrace: 60 * time.Millisecond, SuspectAfter: 400 * time.Millisecond, GoneAfter: 600 * time.Millisecond,
	PauseThreshold: 100 * time.Millisecond, ForgetAfter: 10 * time.Minute, MaxMembers: 1024}

// Member is an instance as it says itself.
type Member struct {
	Name        string `cbor:"1,keyasint" json:"name"`
	Incarnation uint64 `cbor:"2,keyasint" json:"run"` // of its process, drawn at its start
	Address     string `cbor:"3,keyasint,omitempty" json:"address,omitempty"`
	Zone        string `cbor:"4,keyasint,omitempty" json:"zone,omitempty"`
	Leaving     bool   `cbor:"5,keyasint,omitempty" json:"leaving,omitempty"` // it drains
	Version     int    `cbor:"6,keyasint,omitempty" json:"version,omitempty"`
}

// State is what is held of a member.
type State uint8

// The states, the better ones first.
const (
	Alive State = iota + 1
	Suspect
	Gone
)

var stateNames = [...]string{Alive: "alive", Suspect: "suspect", Gone: "gone"}

func (s State) String() string {
	if int(s) < len(stateNames) && stateNames[s] != "" {
		return stateNames[s]
	}
	return "unknown"
}

// MarshalText has it be written as a word.
func (s State) MarshalText() ([]byte, error) { return []byte(s.String()), nil }

// UnmarshalText reads the word.
func (s *State) UnmarshalText(text []byte) error {
	*s = 0
	for state, name := range stateNames {
		if name == string(text) && name != "" {
			*s = State(state)
		}
	}
	return nil
}

// MemberState is a member and what is held of it.
type MemberState struct {
	Member `cbor:"1,keyasint"`
	State  State `cbor:"2,keyasint" json:"state"`
}

// Event is what a Watch is told.
type Event interface{ event() }

type (
	// Heartbeat is a member's sign of life, on a connection that is told from others by a number.
	Heartbeat struct {
		Member       Member
		ConnectionID uint64
	}
	// ConnectionLost tells that a connection has ended.
	ConnectionLost struct{ ConnectionID uint64 }
	// Tick lets time pass. It is to come every half of Parameters.PauseThreshold at least.
	Tick struct{}
)

func (Heartbeat) event()      {}
func (ConnectionLost) event() {}
func (Tick) event()           {}

// HeartbeatResult is what a beat came to.
type HeartbeatResult uint8

// The answers.
const (
	Accepted       HeartbeatResult = iota // and counted
	Replaced                              // another process of that name counts since
	NameTaken                             // another process of that name counts still
	TooManyMembers                        // there is no room for it
)

// watched is a member as a watcher knows it.
type watched struct {
	member  Member
	state   State
	heard   time.Duration
	conn    uint64        // of its last beat
	lost    time.Duration // when that ended, 0 while it is open
	retired []uint64      // runs that have been replaced, the latest last
	since   time.Duration // of the state
	changed uint64        // the version that last changed it
}

// mostRetired bounds the runs that are known to have been replaced.
const mostRetired = 8

// Detector is one watcher's opinion of all members. The zero value is not usable.
type Detector struct {
	terms   Parameters
	members map[string]*watched
	version uint64
	whole   uint64        // the version that last forgot somebody
	last    time.Duration // looked
}

// NewDetector returns a watcher that knows nobody.
func NewDetector(terms Parameters, now time.Duration) *Detector {
	return &Detector{terms: terms, members: make(map[string]*watched), last: now}
}

// Version changes with every change of the opinion.
func (w *Detector) Version() uint64 { return w.version }

// Members is what the watcher holds of all, by name.
func (w *Detector) Members() []MemberState {
	list, _ := w.ChangedSince(0)
	return list
}

// ChangedSince is what the watcher holds of those that have changed since a version, or, if whole, of all.
func (w *Detector) ChangedSince(version uint64) (list []MemberState, whole bool) {
	whole = version == 0 || version < w.whole || version > w.version
	for _, m := range w.members {
		if whole || m.changed > version {
			list = append(list, MemberState{m.member, m.state})
		}
	}
	slices.SortFunc(list, func(a, b MemberState) int { return cmp.Compare(a.Name, b.Name) })
	return list, whole
}

// touch notes that a member has changed.
func (w *Detector) touch(m *watched) {
	w.version++
	m.changed = w.version
}

// Handle takes an event at a time. The answer is that to a beat.
func (w *Detector) Handle(now time.Duration, event Event) HeartbeatResult {
	w.stood(now)
	answer := Accepted
	switch e := event.(type) {
	case Heartbeat:
		answer = w.beat(now, &e)
	case ConnectionLost:
		for _, m := range w.members {
			if m.conn == e.ConnectionID && m.lost == 0 {
				m.lost = now
			}
		}
	}
	for name, m := range w.members {
		switch silence := now - m.heard; {
		case m.state == Gone && now-m.since >= w.terms.ForgetAfter:
			delete(w.members, name)
			w.version++
			w.whole = w.version
		case m.state == Gone:
		case silence >= w.terms.GoneAfter || m.lost > 0 && now-m.lost >= w.terms.ReconnectGrace:
			w.set(now, m, Gone)
		case silence >= w.terms.SuspectAfter || m.lost > 0:
			w.set(now, m, Suspect)
		}
	}
	return answer
}

// stood moves on all that is counted from by a time in which this watcher stood still itself.
func (w *Detector) stood(now time.Duration) {
	if gap := now - w.last; gap >= w.terms.PauseThreshold {
		for _, m := range w.members {
			m.heard += gap
			if m.lost > 0 {
				m.lost += gap
			}
			m.since += gap
		}
	}
	w.last = max(w.last, now)
}

func (w *Detector) set(now time.Duration, m *watched, s State) {
	if m.state != s {
		m.state, m.since = s, now
		w.touch(m)
	}
}

func (w *Detector) beat(now time.Duration, e *Heartbeat) HeartbeatResult {
	m := w.members[e.Member.Name]
	switch {
	case m == nil && len(w.members) >= w.terms.MaxMembers:
		return TooManyMembers
	case m == nil:
		m = &watched{since: now}
		w.members[e.Member.Name] = m
	case slices.Contains(m.retired, e.Member.Incarnation):
		return Replaced
	case m.member.Incarnation != e.Member.Incarnation && m.state != Gone && !m.member.Leaving:
		return NameTaken
	case m.member.Incarnation != e.Member.Incarnation:
		if m.retired = append(m.retired, m.member.Incarnation); len(m.retired) > mostRetired {
			m.retired = m.retired[1:]
		}
	}
	if m.member != e.Member {
		w.touch(m)
	}
	m.member, m.heard, m.conn, m.lost = e.Member, now, e.ConnectionID, 0
	w.set(now, m, Alive)
	return Accepted
}

// NextTick is when to let time pass at the latest.
func (w *Detector) NextTick(now time.Duration) time.Duration {
	next := now + w.terms.PauseThreshold/2
	for _, m := range w.members {
		if m.lost > 0 && m.state != Gone {
			next = min(next, m.lost+w.terms.ReconnectGrace)
		}
	}
	return max(next, now)
}
