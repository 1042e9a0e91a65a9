package lease

import "time"

// Session is one holder's side of one task, through one taking of it. Time is that of a clock which counts
// the machine's sleep.
type Session struct {
	terms    Parameters
	Task     string
	Holder   string
	Nonce    uint64
	Duration time.Duration
	Wait     bool

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
	Acquiring SessionState = iota // it wants the task, or waits for its turn
	Holding                       // it may act, as long as [Session.Valid] says so
	Finished                      // it is given back, lost or refused, for good
)

// SessionEvent is what a Session is told.
type SessionEvent interface{ sessionEvent() }

type (
	// TimerFired lets time pass.
	TimerFired struct{}
	// Response is the voters' to the request of a serial.
	Response struct {
		Sequence uint64
		Outcome  Outcome
		Token    uint64 // with Granted
	}
	// ReleaseRequested gives the task back, or the place in its queue.
	ReleaseRequested struct{}
)

// Outcome is what an answer says.
type Outcome uint8

// The outcomes.
const (
	NoAnswer Outcome = iota // nobody answered who could: nothing is known
	Queued                  // it waits for its turn
	Granted                 // it holds, counted from when the request was sent
	Refused                 // the task is taken, and it does not wait
	NotHeld                 // it holds no more
)

func (TimerFired) sessionEvent()       {}
func (Response) sessionEvent()         {}
func (ReleaseRequested) sessionEvent() {}

// SessionAction is what a Session wants done.
type SessionAction interface{ sessionAction() }

type (
	// SendRequest sends a request to the voters: a Take, which also renews, under a serial.
	SendRequest struct {
		Sequence uint64
		Command  Command
		Token    uint64 // that it holds: a renewal; 0 for a Take
	}
	// SendRelease sends a last word that needs no answer, a Release, once nothing is done under the grant any more.
	SendRelease struct{ Command Command }
	// Acquired tells that the session holds.
	Acquired struct{ Token uint64 }
	// Ended tells that it does not, any more or ever.
	Ended struct{ Outcome Outcome }
)

func (SendRequest) sessionAction() {}
func (SendRelease) sessionAction() {}
func (Acquired) sessionAction()    {}
func (Ended) sessionAction()       {}

// retryPause is between two requests that nobody answered; askTime is how long one is waited for.
const (
	retryPause = 50 * time.Millisecond
	askTime    = 300 * time.Millisecond
)

// NewSession returns a session that asks at its first Pass.
func NewSession(terms Parameters, task, holder string, nonce uint64, length time.Duration, wait bool) *Session {
	return &Session{terms: terms, Task: task, Holder: holder, Nonce: nonce, Duration: length, Wait: wait}
}

// State tells where the session stands at a time.
func (s *Session) State(now time.Duration) SessionState {
	if s.state == Holding && now >= s.until {
		return Finished
	}
	return s.state
}

// Valid tells whether its holder may act at a time, and under which number.
func (s *Session) Valid(now time.Duration) (number uint64, ok bool) {
	return s.number, s.state == Holding && now < s.until
}

// ValidUntil is when its holder must have stopped.
func (s *Session) ValidUntil() time.Duration { return s.until }

// NextWakeup is when to let time pass again.
func (s *Session) NextWakeup() time.Duration {
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
	if s.state == Finished {
		return out
	}
	if s.state == Holding && now >= s.until { // whatever has come meanwhile came too late
		s.state = Finished
		return append(out, Ended{NotHeld})
	}
	switch e := event.(type) {
	case TimerFired:
		if s.busy && now >= s.out+askTime {
			s.busy, s.next = false, now
		}
		if !s.busy && now >= s.next {
			s.serial++
			s.busy, s.out = true, now
			out = append(out, SendRequest{s.serial, Command{Kind: Acquire, Task: s.Task, Holder: s.Holder, Nonce: s.Nonce, Duration: s.Duration, Wait: s.Wait}, s.number})
		}
	case ReleaseRequested:
		c := Command{Kind: Release, Task: s.Task, Holder: s.Holder, Nonce: s.Nonce, Token: s.number}
		s.state = Finished
		return append(out, SendRelease{c}, Ended{NotHeld})
	case Response:
		if e.Sequence != s.serial || !s.busy { // of an older request: when that was sent is not known any more
			return out
		}
		s.busy = false
		return s.answered(now, e, out)
	}
	return out
}

func (s *Session) answered(now time.Duration, e Response, out []SessionAction) []SessionAction {
	third := s.Duration / 3
	switch e.Outcome {
	case NoAnswer:
		s.next = now + min(retryPause, third)
	case Queued:
		s.next = now + min(retryPause, third)
	case Granted:
		until := s.out + s.terms.holders(s.Duration)
		s.next = s.out + third
		if now >= until || s.state == Holding && e.Token != s.number {
			s.next = now
			return out // too old to be worth anything: it is asked for anew
		}
		s.until = max(s.until, until)
		if s.state == Acquiring {
			s.state, s.number = Holding, e.Token
			out = append(out, Acquired{e.Token})
		}
	default:
		if s.state == Holding { // revoked, or taken back: it stops now, and need not be waited out
			out = append(out, SendRelease{Command{Kind: Release, Task: s.Task, Holder: s.Holder, Nonce: s.Nonce, Token: s.number}})
		}
		s.state = Finished
		out = append(out, Ended{e.Outcome})
	}
	return out
}
