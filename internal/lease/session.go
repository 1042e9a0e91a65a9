package lease

import "time"

const (
	// retryDelay is the delay from a response without a grant to the next request.
	retryDelay = 50 * time.Millisecond
	// requestTimeout is how long a session waits for a response.
	requestTimeout = 300 * time.Millisecond
	// renewalsPerDuration is the number of renewals within the duration of a lease.
	renewalsPerDuration = 3
)

// Session is the holder's side of one acquisition of a task. Its times are those of a clock that includes the time that
// the machine sleeps.
type Session struct {
	parameters Parameters
	acquire    Command

	state          SessionState
	token          uint64
	validUntil     time.Duration
	nextRequest    time.Duration // when to send the next request
	requestSent    time.Duration // when the pending request was sent
	requestPending bool
	sequence       uint64 // of the last request
}

// SessionState is the state of a session.
type SessionState uint8

// The states.
const (
	Acquiring SessionState = iota // it requests the task, or waits in its queue
	Holding                       // its holder may act while [Session.Valid] reports true
	Finished                      // the task was released or lost, or the request was rejected; the last state
)

// NewSession returns a session that sends the command acquire, an Acquire, at its first TimerFired.
func NewSession(parameters Parameters, acquire Command) *Session {
	return &Session{parameters: parameters, acquire: acquire}
}

// State returns the session's state at now.
func (s *Session) State(now time.Duration) SessionState {
	if s.state == Holding && now >= s.validUntil {
		return Finished
	}
	return s.state
}

// Valid reports whether the holder may act at now, and under which fencing token.
func (s *Session) Valid(now time.Duration) (token uint64, ok bool) {
	return s.token, s.state == Holding && now < s.validUntil
}

// ValidUntil returns the time at which the holder must have stopped; 0 if it has never held the task.
func (s *Session) ValidUntil() time.Duration { return s.validUntil }

// NextWakeup returns the time at which the session needs its next TimerFired.
func (s *Session) NextWakeup() time.Duration {
	next := s.nextRequest
	if s.requestPending {
		next = s.requestSent + requestTimeout
	}
	if s.state == Holding {
		next = min(next, s.validUntil)
	}
	return next
}

// Handle handles an event that occurs at now, and appends the resulting actions to out.
func (s *Session) Handle(now time.Duration, event SessionEvent, out []SessionAction) []SessionAction {
	if s.state == Finished {
		return out
	}
	if s.state == Holding && now >= s.validUntil { // a renewal that arrives now is too late
		s.state = Finished
		return append(out, Ended{NotHeld})
	}
	switch e := event.(type) {
	case TimerFired:
		return s.sendIfDue(now, out)
	case ReleaseRequested:
		s.state = Finished
		return append(out, SendRelease{s.releaseCommand()}, Ended{NotHeld})
	case Response:
		if e.Sequence != s.sequence || !s.requestPending {
			return out // the response is to an older request, whose send time is no longer known
		}
		s.requestPending = false
		return s.handleResponse(now, e, out)
	}
	return out
}

// sendIfDue sends a request if one is due and none is pending.
func (s *Session) sendIfDue(now time.Duration, out []SessionAction) []SessionAction {
	if s.requestPending && now >= s.requestSent+requestTimeout {
		s.requestPending = false
		s.nextRequest = now
	}
	if s.requestPending || now < s.nextRequest {
		return out
	}
	s.sequence++
	s.requestPending = true
	s.requestSent = now
	return append(out, SendRequest{s.sequence, s.acquire, s.token})
}

func (s *Session) handleResponse(now time.Duration, e Response, out []SessionAction) []SessionAction {
	switch e.Outcome {
	case NoAnswer, Queued:
		s.nextRequest = now + min(retryDelay, s.renewInterval())
	case Granted:
		return s.handleGrant(now, e.Token, out)
	default:
		if s.state == Holding { // the grant was revoked or has expired: release it, so that waiters get it sooner
			out = append(out, SendRelease{s.releaseCommand()})
		}
		s.state = Finished
		out = append(out, Ended{e.Outcome})
	}
	return out
}

// handleGrant counts the lease from when the request was sent; the voters count it from a later time.
func (s *Session) handleGrant(now time.Duration, token uint64, out []SessionAction) []SessionAction {
	until := s.requestSent + s.parameters.holderDuration(s.acquire.Duration)
	if now >= until || s.state == Holding && token != s.token {
		s.nextRequest = now
		return out // the lease has expired already, or the grant is another one: send the next request immediately
	}
	s.nextRequest = s.requestSent + s.renewInterval()
	s.validUntil = max(s.validUntil, until)
	if s.state == Acquiring {
		s.state = Holding
		s.token = token
		out = append(out, Acquired{token})
	}
	return out
}

// renewInterval returns the time from a request that was granted to the next one.
func (s *Session) renewInterval() time.Duration { return s.acquire.Duration / renewalsPerDuration }

func (s *Session) releaseCommand() Command {
	a := &s.acquire
	return Command{Kind: Release, Task: a.Task, Holder: a.Holder, Nonce: a.Nonce, Token: s.token}
}
