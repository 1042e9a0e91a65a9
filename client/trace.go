package client

import "time"

// Trace has functions that are called as things happen, in the manner of net/http/httptrace:
// any may be nil. They are called on the client's own goroutines, several at once, and must
// not block or call the client.
type Trace struct {
	// CallDone is told how a call ended; err is nil, or an *[Error].
	CallDone func(CallInfo)
	// TryStart is told of a try that is about to be written.
	TryStart func(TryInfo)
	// TryDone is told how it ended.
	TryDone func(TryInfo)
	// LateAnswer is told of an answer that came after its try had been given up.
	LateAnswer func(TryInfo)
	// DialStart is told of an attempt to connect, DialDone how it went.
	DialStart func(proxy string)
	DialDone  func(proxy string, took time.Duration, err error)
	// Disconnected is told of a connection that is no more; err is nil if the client closed it.
	Disconnected func(proxy string, err error)
	// List is told of each list of proxies that was put into force, or of an error of its source. An empty
	// list is told of with ErrUnavailable, and not put into force.
	List func(proxies []string, err error)
}

// CallInfo tells of a call.
type CallInfo struct {
	Op, Key string
	Tries   int // that were sent
	Took    time.Duration
	Err     error
}

// TryInfo tells of one try of a call.
type TryInfo struct {
	Op, Key    string
	Proxy      string
	ID         string        // of the try, as the proxy sees it
	Repeat     bool          // it was marked as a repetition
	ConnReused bool          // the connection had answered before
	Wait       time.Duration // that was given to it
	Took       time.Duration // of TryDone and Late
	Outcome    string        // of TryDone: served, missing, refused, unsent, invalid, failed, silent, broken, spoilt, canceled
	RetryAfter time.Duration // of a refusal
}

// Stats are counts since the client was made, and what is there now. Failed has those whose context was
// cancelled too.
type Stats struct {
	Calls, Served, Missing, Refused, Failed, Deadline, Unknown, Unavailable, Invalid, Closed int64

	Tries     int64 // that were sent
	Retries   int64 // of these, all but the first of their calls
	Throttled int64 // calls that were refused without asking a proxy, as proxies refused
	Dials     int64
	DialFails int64
	Conns     int // now
	InFlight  int // requests on connections now
	Waiting   int // calls that wait for a connection now
}
