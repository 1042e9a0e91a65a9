package policy

// This file names reasons and results for logs.

// Reason says why an Action is asked for. It is for logs: nothing is decided by it.
type Reason uint8

// The reasons of a Send, and of a Refuse or a Fail.
const (
	ReasonNone         Reason = iota
	ReasonFirst               // the first attempt of a request
	ReasonRetry               // the one before has ended without an answer
	ReasonHedge               // the one before has long had no answer
	ReasonUnattainable        // no server is expected to answer in time
	ReasonAdmission           // overload: too little of what is sent comes in time
	ReasonDegraded            // service is reduced
	ReasonNoServer            // no server may get it
	ReasonNoRetry             // an attempt has failed, and no further one is made
	ReasonDeadline            // its time is up
)

var reasonNames = [...]string{"", "first", "retry", "hedge", "hopeless", "gate", "level", "no server", "no retry", "deadline"}

// String returns the reason as logs have it.
func (r Reason) String() string { return reasonNames[r] }

var resultNames = [...]string{Served: "served", Errored: "error", Rejected: "full", TimedOut: "timed out", ConnectFailed: "could not connect",
	Reset: "reset", Cancelled: "cancelled", NotSent: "not sent", NotFound: "missed", Malformed: "spoilt", ConnectionLimitReached: "no room"}

// String returns the result as logs have it.
func (r Result) String() string { return resultNames[r] }
