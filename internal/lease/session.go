package lease

import "time"

// Session is one holder's side of one task, through one taking of it. Time is that of a clock which counts
// the machine's sleep.
type Session struct {
	terms  Terms
	Task   string
	Holder string
	Nonce  uint64
	Length time.Duration
	Wait   bool

	state  SessionState
	number uint64
	until  time.Duration
	next   time.Duration // when to ask again
	out    time.Duration // when the request under way was sent
	busy   bool          // one is under way
	serial uint64        // of it
}

// SessionState is where a session stands.
type SessionState uint8

// The states.
const (
	Asking  SessionState = iota // it wants the task, or waits for its turn
	Holding                     // it may act, as long as [Session.Valid] says so
	Over                        // it is given back, lost or refused, for good
)

// SessionEvent is what a Session is told.
type SessionEvent interface{ sessionEvent() }

type (
	// Pass lets time pass.
	Pass struct{}
	// Answer is the voters' to the request of a serial.
	Answer struct {
		Serial  uint64
		Outcome Outcome
		Number  uint64 // with Granted
	}
	// GiveUp gives the task back, or the place in its queue.
	GiveUp struct{}
)

// Outcome is what an answer says.
type Outcome uint8

// The outcomes.
const (
	Unheard Outcome = iota // nobody answered who could: nothing is known
	Queued                 // it waits for its turn
	Granted                // it holds, counted from when the request was sent
	Refused                // the task is taken, and it does not wait
	Gone                   // it holds no more
)

func (Pass) sessionEvent()   {}
func (Answer) sessionEvent() {}
func (GiveUp) sessionEvent() {}

// SessionAction is what a Session wants done.
type SessionAction interface{ sessionAction() }

type (
	// Ask sends a request to the voters: a Take, which also renews, under a serial.
	Ask struct {
		Serial  uint64
		Command Command
		Number  uint64 // that it holds: a renewal; 0 for a Take
	}
	// Tell sends a last word that needs no answer, a Release, once nothing is done under the grant any more.
	Tell struct{ Command Command }
	// Began tells that the session holds.
	Began struct{ Number uint64 }
	// Ended tells that it does not, any more or ever.
	Ended struct{ Outcome Outcome }
)

func (Ask) sessionAction()   {}
func (Tell) sessionAction()  {}
func (Began) sessionAction() {}
func (Ended) sessionAction() {}

// retryPause is between two requests that nobody answered; askTime is how long one is waited for.
const (
	retryPause = 50 * time.Millisecond
	askTime    = 300 * time.Millisecond
)

// NewSession returns a session that asks at its first Pass.
func NewSession(terms Terms, task, holder string, nonce uint64, length time.Duration, wait bool) *Session {
	return &Session{terms: terms, Task: task, Holder: holder, Nonce: nonce, Length: length, Wait: wait}
}

// State tells where the session stands at a time.
func (s *Session) State(now time.Duration) SessionState {
	if s.state == Holding && now >= s.until {
		return Over
	}
	return s.state
}

// Valid tells whether its holder may act at a time, and under which number.
func (s *Session) Valid(now time.Duration) (number uint64, ok bool) {
	return s.number, s.state == Holding && now < s.until
}

// Until is when its holder must have stopped.
func (s *Session) Until() time.Duration { return s.until }

// Next is when to let time pass again.
func (s *Session) Next() time.Duration {
	next := s.next
	if s.busy {
		next = s.out + askTime
	}
	if s.state == Holding {
		next = min(next, s.until)
	}
	return next
}

// Handle takes an event at a time, and appends what is to be done to out.
func (s *Session) Handle(now time.Duration, event SessionEvent, out []SessionAction) []SessionAction {
	if s.state == Over {
		return out
	}
	if s.state == Holding && now >= s.until { // whatever has come meanwhile came too late
		s.state = Over
		return append(out, Ended{Gone})
	}
	switch e := event.(type) {
	case Pass:
		if s.busy && now >= s.out+askTime {
			s.busy, s.next = false, now
		}
		if !s.busy && now >= s.next {
			s.serial++
			s.busy, s.out = true, now
			out = append(out, Ask{s.serial, Command{Kind: Take, Task: s.Task, Holder: s.Holder, Nonce: s.Nonce, Length: s.Length, Wait: s.Wait}, s.number})
		}
	case GiveUp:
		c := Command{Kind: Release, Task: s.Task, Holder: s.Holder, Nonce: s.Nonce, Number: s.number}
		s.state = Over
		return append(out, Tell{c}, Ended{Gone})
	case Answer:
		if e.Serial != s.serial || !s.busy { // of an older request: when that was sent is not known any more
			return out
		}
		s.busy = false
		return s.answered(now, e, out)
	}
	return out
}

func (s *Session) answered(now time.Duration, e Answer, out []SessionAction) []SessionAction {
	third := s.Length / 3
	switch e.Outcome {
	case Unheard:
		s.next = now + min(retryPause, third)
	case Queued:
		s.next = now + min(retryPause, third)
	case Granted:
		until := s.out + s.terms.holders(s.Length)
		s.next = s.out + third
		if now >= until || s.state == Holding && e.Number != s.number {
			s.next = now
			return out // too old to be worth anything: it is asked for anew
		}
		s.until = max(s.until, until)
		if s.state == Asking {
			s.state, s.number = Holding, e.Number
			out = append(out, Began{e.Number})
		}
	default:
		if s.state == Holding { // revoked, or taken back: it stops now, and need not be waited out
			out = append(out, Tell{Command{Kind: Release, Task: s.Task, Holder: s.Holder, Nonce: s.Nonce, Number: s.number}})
		}
		s.state = Over
		out = append(out, Ended{e.Outcome})
	}
	return out
}
