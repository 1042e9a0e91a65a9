// Package peer decides who of a fleet's instances lives. It does no I/O and has no clock. The fleet's voters watch:
// every instance beats at each of them, and each has an opinion of its own ([Watch]); every instance is told all
// opinions and goes by their majority ([View]).
//
// Guarantees, where a majority of the watchers runs and is heard:
//
//  1. An instance whose process ends is gone [Terms.Grace] after its connections have ended.
//  2. One that is silent is gone [Terms.Gone] after its last beat, and never while its silence is shorter.
//  3. A watcher that stood still itself finds nobody gone for it.
//  4. Of two processes of one name the first counts until it is gone or says that it leaves; one that has been
//     replaced never counts again.
//  5. Who hears no majority of the watchers keeps what it knew last, and knows that it does ([View.Blind]).
//
// Nothing that is decided here is a promise that somebody acts no more: that is what leases are for.
package peer

import (
	"cmp"
	"slices"
	"time"
)

// Terms bound what is told.
type Terms struct {
	Beat    time.Duration // from one beat to the next, while all is well
	Grace   time.Duration // a connection that has ended may be replaced for so long
	Suspect time.Duration // silence
	Gone    time.Duration // silence
	Pause   time.Duration // between two looks of a watcher: more, and it stood still itself
	Forget  time.Duration // how long one that is gone is kept
	Most    int           // members
}

// Usual are the terms in service. A stop of 300 ms is 450 ms of silence at the most, and a few for the network.
var Usual = Terms{Beat: 150 * time.Millisecond, Grace: 60 * time.Millisecond, Suspect: 400 * time.Millisecond, Gone: 600 * time.Millisecond,
	Pause: 100 * time.Millisecond, Forget: 10 * time.Minute, Most: 1024}

// Member is an instance as it says itself.
type Member struct {
	Name    string `cbor:"1,keyasint" json:"name"`
	Run     uint64 `cbor:"2,keyasint" json:"run"` // of its process, drawn at its start
	Address string `cbor:"3,keyasint,omitempty" json:"address,omitempty"`
	Zone    string `cbor:"4,keyasint,omitempty" json:"zone,omitempty"`
	Leaving bool   `cbor:"5,keyasint,omitempty" json:"leaving,omitempty"` // it drains
	Version int    `cbor:"6,keyasint,omitempty" json:"version,omitempty"`
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

// Seen is a member and what is held of it.
type Seen struct {
	Member `cbor:"1,keyasint"`
	State  State `cbor:"2,keyasint" json:"state"`
}

// Event is what a Watch is told.
type Event interface{ event() }

type (
	// Beat is a member's sign of life, on a connection that is told from others by a number.
	Beat struct {
		Member Member
		Conn   uint64
	}
	// Lost tells that a connection has ended.
	Lost struct{ Conn uint64 }
	// Tick lets time pass. It is to come every half of Terms.Pause at least.
	Tick struct{}
)

func (Beat) event() {}
func (Lost) event() {}
func (Tick) event() {}

// Answer is what a beat came to.
type Answer uint8

// The answers.
const (
	Heard    Answer = iota // and counted
	Replaced               // another process of that name counts since
	Taken                  // another process of that name counts still
	Full                   // there is no room for it
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

// Watch is one watcher's opinion of all members. The zero value is not usable.
type Watch struct {
	terms   Terms
	members map[string]*watched
	version uint64
	whole   uint64        // the version that last forgot somebody
	last    time.Duration // looked
}

// NewWatch returns a watcher that knows nobody.
func NewWatch(terms Terms, now time.Duration) *Watch {
	return &Watch{terms: terms, members: make(map[string]*watched), last: now}
}

// Version changes with every change of the opinion.
func (w *Watch) Version() uint64 { return w.version }

// Opinion is what the watcher holds of all, by name.
func (w *Watch) Opinion() []Seen {
	list, _ := w.Since(0)
	return list
}

// Since is what the watcher holds of those that have changed since a version, or, if whole, of all.
func (w *Watch) Since(version uint64) (list []Seen, whole bool) {
	whole = version == 0 || version < w.whole || version > w.version
	for _, m := range w.members {
		if whole || m.changed > version {
			list = append(list, Seen{m.member, m.state})
		}
	}
	slices.SortFunc(list, func(a, b Seen) int { return cmp.Compare(a.Name, b.Name) })
	return list, whole
}

// touch notes that a member has changed.
func (w *Watch) touch(m *watched) {
	w.version++
	m.changed = w.version
}

// Handle takes an event at a time. The answer is that to a beat.
func (w *Watch) Handle(now time.Duration, event Event) Answer {
	w.stood(now)
	answer := Heard
	switch e := event.(type) {
	case Beat:
		answer = w.beat(now, &e)
	case Lost:
		for _, m := range w.members {
			if m.conn == e.Conn && m.lost == 0 {
				m.lost = now
			}
		}
	}
	for name, m := range w.members {
		switch silence := now - m.heard; {
		case m.state == Gone && now-m.since >= w.terms.Forget:
			delete(w.members, name)
			w.version++
			w.whole = w.version
		case m.state == Gone:
		case silence >= w.terms.Gone || m.lost > 0 && now-m.lost >= w.terms.Grace:
			w.set(now, m, Gone)
		case silence >= w.terms.Suspect || m.lost > 0:
			w.set(now, m, Suspect)
		}
	}
	return answer
}

// stood moves on all that is counted from by a time in which this watcher stood still itself.
func (w *Watch) stood(now time.Duration) {
	if gap := now - w.last; gap >= w.terms.Pause {
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

func (w *Watch) set(now time.Duration, m *watched, s State) {
	if m.state != s {
		m.state, m.since = s, now
		w.touch(m)
	}
}

func (w *Watch) beat(now time.Duration, e *Beat) Answer {
	m := w.members[e.Member.Name]
	switch {
	case m == nil && len(w.members) >= w.terms.Most:
		return Full
	case m == nil:
		m = &watched{since: now}
		w.members[e.Member.Name] = m
	case slices.Contains(m.retired, e.Member.Run):
		return Replaced
	case m.member.Run != e.Member.Run && m.state != Gone && !m.member.Leaving:
		return Taken
	case m.member.Run != e.Member.Run:
		if m.retired = append(m.retired, m.member.Run); len(m.retired) > mostRetired {
			m.retired = m.retired[1:]
		}
	}
	if m.member != e.Member {
		w.touch(m)
	}
	m.member, m.heard, m.conn, m.lost = e.Member, now, e.Conn, 0
	w.set(now, m, Alive)
	return Heard
}

// Next is when to let time pass at the latest.
func (w *Watch) Next(now time.Duration) time.Duration {
	next := now + w.terms.Pause/2
	for _, m := range w.members {
		if m.lost > 0 && m.state != Gone {
			next = min(next, m.lost+w.terms.Grace)
		}
	}
	return max(next, now)
}
