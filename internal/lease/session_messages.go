package lease

// SessionEvent is an input of a [Session].
type SessionEvent interface{ sessionEvent() }

type (
	// TimerFired says that the time of NextWakeup has come.
	TimerFired struct{}
	// Response is the voters' answer to the SendRequest of a sequence.
	Response struct {
		Sequence uint64
		Outcome  Outcome
		Token    uint64 // fencing token, with Granted
	}
	// ReleaseRequested gives the task back, or the place in its queue.
	ReleaseRequested struct{}
)

func (TimerFired) sessionEvent()       {}
func (Response) sessionEvent()         {}
func (ReleaseRequested) sessionEvent() {}

// Outcome is the result of a request. The numbers are part of the voters' replies.
type Outcome uint8

// The outcomes.
const (
	NoAnswer Outcome = iota // no voter that can decide has answered: nothing is known
	Queued                  // the sender waits for its turn
	Granted                 // the sender holds the task, counted from when it sent the request
	Rejected                // for an Acquire: others hold the task, and the sender does not wait
	NotHeld                 // the sender does not hold the task, or not any more
)

// SessionAction is what a [Session] wants done.
type SessionAction interface{ sessionAction() }

type (
	// SendRequest sends a request to the voters: an Acquire, or a renewal.
	SendRequest struct {
		Sequence uint64
		Command  Command
		Token    uint64 // of the lease to renew; 0 for an Acquire
	}
	// SendRelease sends a Release, which needs no answer, once nothing is done under the grant any more.
	SendRelease struct{ Command Command }
	// Acquired says that the session holds the task now.
	Acquired struct{ Token uint64 }
	// Ended says that the session does not hold the task any more, or never will.
	Ended struct{ Outcome Outcome }
)

func (SendRequest) sessionAction() {}
func (SendRelease) sessionAction() {}
func (Acquired) sessionAction()    {}
func (Ended) sessionAction()       {}
