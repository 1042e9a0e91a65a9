package lease

// SessionEvent is an input of a [Session].
type SessionEvent interface{ sessionEvent() }

type (
	// TimerFired says that the time that NextWakeup returned has come.
	TimerFired struct{}
	// Response is the voters' answer to the SendRequest with the same sequence.
	Response struct {
		Sequence uint64
		Outcome  Outcome
		Token    uint64 // fencing token, with Granted
	}
	// ReleaseRequested makes the session release the task, or leave the task's queue.
	ReleaseRequested struct{}
)

func (TimerFired) sessionEvent()       {}
func (Response) sessionEvent()         {}
func (ReleaseRequested) sessionEvent() {}

// Outcome is the result of a request. The numbers are part of the voters' replies.
type Outcome uint8

// The outcomes.
const (
	NoAnswer Outcome = iota // no voter has decided on the request, as far as its sender knows
	Queued                  // the sender waits in the task's queue
	Granted                 // the sender holds the task; the lease counts from when it sent the request
	Rejected                // the command failed, such as an Acquire without Wait while others hold the task
	NotHeld                 // the sender does not hold the task, or no longer holds it
)

// SessionAction is an output of a [Session], which its caller carries out.
type SessionAction interface{ sessionAction() }

type (
	// SendRequest sends a request to the voters: an Acquire, or a renewal.
	SendRequest struct {
		Sequence uint64
		Command  Command
		Token    uint64 // of the lease to renew; 0 for an Acquire
	}
	// SendRelease sends a Release once no action runs under the grant any more. The session needs no response to it.
	SendRelease struct{ Command Command }
	// Acquired says that the session holds the task now.
	Acquired struct{ Token uint64 }
	// Ended says that the session no longer holds the task, or never will.
	Ended struct{ Outcome Outcome }
)

func (SendRequest) sessionAction() {}
func (SendRelease) sessionAction() {}
func (Acquired) sessionAction()    {}
func (Ended) sessionAction()       {}
