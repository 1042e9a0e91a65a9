package retry

// Effect says what a request does if it is carried out more than once.
type Effect uint8

// Values of [Effect].
const (
	Safe   Effect = iota // idempotent: running it again does no harm
	Keyed                // idempotent with key: nodes drop duplicates with the same key within the dedup window
	Unsafe               // not idempotent: it takes effect again
)

// Outcome is how an attempt ended.
type Outcome uint8

// Values of [Outcome].
const (
	Served          Outcome = iota
	NotFound                // served: there is no such key
	Rejected                // the service rejected it: it never ran
	NotSent                 // its last byte was never written: it never ran
	Invalid                 // the service reported it as malformed: it never ran
	Failed                  // the service reported a failure: it may have run
	TimedOut                // no answer before the attempt's timeout: it may have run
	ConnectionLost          // the connection ended after the last byte was written: it may have run
	MalformedAnswer         // the answer is malformed or not one to this request: it may have run
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

// Values of [Result].
const (
	ResultPending          Result = iota // it has not ended: another attempt follows
	ResultServed                         // it was served, or there is no such key
	ResultRejected                       // repeating it is safe once Retry-After has passed
	ResultFailed                         // a safe request failed; no time, attempt or budget was left for another
	ResultDeadlineExceeded               // a safe request had no answer in time
	ResultUnknown                        // it may have run; the caller has to find out
	ResultInvalid                        // the service reported it as malformed
	ResultNotSent                        // it was never sent
	ResultCanceled                       // the caller's context ended; nothing was sent, or the request was safe
)
