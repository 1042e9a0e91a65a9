package policy

// Reason says why an Action is requested. It is for logs: no decision depends on it.
type Reason uint8

// The reasons of a Send, and of a Reject or a Fail.
const (
	ReasonNone         Reason = iota
	ReasonFirst               // the first attempt of a request
	ReasonRetry               // the previous attempt ended without an answer
	ReasonHedge               // the previous attempt is overdue
	ReasonUnattainable        // the chosen server is not expected to answer in time
	ReasonAdmission           // overload: too few requests complete in time
	ReasonDegraded            // the degradation level rejects the request
	ReasonNoServer            // there is no server that may get the request
	ReasonNoRetry             // an attempt failed, and no further one is made
	ReasonDeadline            // the request's deadline was reached
)

var reasonNames = [...]string{
	ReasonNone:         "",
	ReasonFirst:        "first",
	ReasonRetry:        "retry",
	ReasonHedge:        "hedge",
	ReasonUnattainable: "unattainable",
	ReasonAdmission:    "admission",
	ReasonDegraded:     "degradation level",
	ReasonNoServer:     "no server",
	ReasonNoRetry:      "no retry",
	ReasonDeadline:     "deadline",
}

// String returns the reason's name in logs.
func (r Reason) String() string { return reasonNames[r] }

var resultNames = [...]string{
	Served:                 "served",
	Errored:                "error",
	Rejected:               "rejected",
	TimedOut:               "timed out",
	ConnectFailed:          "connect failed",
	Reset:                  "reset",
	Cancelled:              "cancelled",
	NotSent:                "not sent",
	NotFound:               "not found",
	Malformed:              "malformed",
	ConnectionLimitReached: "connection limit",
}

// String returns the result's name in logs.
func (r Result) String() string { return resultNames[r] }
