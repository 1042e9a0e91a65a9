package policy

// Reason says why an Action is requested. It is for logs: no decision depends on it.
type Reason uint8

// The reasons of a Send, and of a Reject or a Fail.
const (
	ReasonNone         Reason = iota
	ReasonFirst               // the first attempt of a request
	ReasonRetry               // the attempt before has ended without an answer
	ReasonHedge               // the attempt before has long had no answer
	ReasonUnattainable        // no server is expected to answer in time
	ReasonAdmission           // overload: too little of what is sent completes in time
	ReasonDegraded            // the degradation level does not serve it
	ReasonNoServer            // no server may get it
	ReasonNoRetry             // an attempt has failed, and no further one is made
	ReasonDeadline            // its deadline has come
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

// String returns the reason as logs have it.
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

// String returns the result as logs have it.
func (r Result) String() string { return resultNames[r] }
