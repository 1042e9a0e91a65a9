package retry

// Effect says what a request does if it is carried out more than once.
type Effect uint8

// The effects.
const (
	Safe   Effect = iota // no harm: the request is idempotent
	Keyed                // a repeat is dropped within the deduplication window, by its idempotency key
	Unsafe               // it takes effect again
)

// Outcome is how an attempt ended.
type Outcome uint8

// The outcomes.
const (
	Served          Outcome = iota
	NotFound                // served: there is no such key
	Rejected                // the service shed it: it never ran
	NotSent                 // its last byte was never written: it never ran
	Invalid                 // the service called it malformed: it never ran
	Failed                  // the service reported a failure: it may have run
	TimedOut                // no answer in the attempt's time: it may have run
	ConnectionLost          // the connection ended after the last byte was written: it may have run
	MalformedAnswer         // what came does not answer this request: it may have run
	Canceled                // the caller's context ended: it may have run
	outcomeCount
)

// IsAnswer reports whether the service has answered an attempt with this outcome.
func (o Outcome) IsAnswer() bool {
	switch o {
	case Served, NotFound, Rejected, Invalid, Failed:
		return true
	}
	return false
}

// MayHaveRun reports whether an attempt with this outcome may have been carried out, or may yet be.
func (o Outcome) MayHaveRun() bool {
	switch o {
	case Failed, TimedOut, ConnectionLost, MalformedAnswer, Canceled:
		return true
	}
	return false
}

// Result is how a request ends.
type Result uint8

// The results.
const (
	ResultPending          Result = iota // it has not ended: another attempt follows
	ResultServed                         // or there is no such key
	ResultRejected                       // a repeat is harmless, not before the advised time
	ResultFailed                         // a safe request failed; no time, attempt or budget was left for another
	ResultDeadlineExceeded               // a safe request had no answer in time
	ResultUnknown                        // it may have run; the caller has to find out
	ResultInvalid                        // the service called it malformed
	ResultNotSent                        // it was never sent
	ResultCanceled                       // the caller's context ended; nothing was sent, or the request was safe
)
