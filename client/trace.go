package client

import "time"

// Trace has functions that are called as things happen, like those of net/http/httptrace; each may be nil. They are
// called on the client's own goroutines, several at once, and must not block or call the client.
type Trace struct {
	// CallDone is called when a call has ended. Its error is nil or an *[Error].
	CallDone func(CallInfo)
	// TryStart is called before a try is written.
	TryStart func(TryInfo)
	// TryDone is called when a try has ended.
	TryDone func(TryInfo)
	// LateAnswer is called for an answer that came after its try had been given up.
	LateAnswer func(TryInfo)
	// DialStart is called before a connection is opened, DialDone when that succeeded or failed.
	DialStart func(proxy string)
	DialDone  func(proxy string, took time.Duration, err error)
	// Disconnected is called when a connection has ended; err is nil if the client closed it.
	Disconnected func(proxy string, err error)
	// List is called for each list of proxies that is put into force, and for an error of its source. An empty list
	// is not put into force: err is ErrUnavailable then.
	List func(proxies []string, err error)
}

// CallInfo describes a call.
type CallInfo struct {
	Op, Key string
	Tries   int // that were sent
	Took    time.Duration
	Err     error
}

// TryInfo describes one try of a call.
type TryInfo struct {
	Op, Key    string
	Proxy      string
	ID         string        // of the try, as the proxy sees it
	Repeat     bool          // it is marked as a repetition
	ConnReused bool          // the connection has answered before
	Wait       time.Duration // that the proxy was given
	Took       time.Duration // of TryDone and LateAnswer
	// Outcome, of TryDone and LateAnswer: served, missing, refused, unsent, invalid, failed, silent (no answer in
	// time), broken (the connection ended), spoilt (a malformed answer) or canceled.
	Outcome    string
	RetryAfter time.Duration // a refusal's advice
}
