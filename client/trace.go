package client

import "time"

// Trace holds hooks that are called on events of a client, like those of net/http/httptrace; each may be nil. They run
// on the goroutines of the client and of its callers, several at a time, and must not block or call the client.
type Trace struct {
	// CallDone is called when a call has ended. Its error is nil or an *[Error].
	CallDone func(CallInfo)
	// TryStart is called before an attempt is written.
	TryStart func(TryInfo)
	// TryDone is called when an attempt has ended.
	TryDone func(TryInfo)
	// LateAnswer is called for an answer that arrives after its attempt was given up.
	LateAnswer func(TryInfo)
	// DialStart is called before a connection is opened, DialDone when that has succeeded or failed.
	DialStart func(proxy string)
	DialDone  func(proxy string, took time.Duration, err error)
	// Disconnected is called when a connection has ended; err is nil if the client closed it.
	Disconnected func(proxy string, err error)
	// List is called with each list of proxies that takes effect and changes something, and with each error of the
	// source. An empty list does not take effect; err is ErrUnavailable then.
	List func(proxies []string, err error)
}

// CallInfo describes a call.
type CallInfo struct {
	Op, Key string
	Tries   int // attempts that were sent
	Took    time.Duration
	Err     error
}

// TryInfo describes one attempt of a call.
type TryInfo struct {
	Op, Key    string
	Proxy      string
	ID         string        // the attempt's id in the request
	Repeat     bool          // the request is marked as a retry
	ConnReused bool          // the connection has answered an earlier request
	Wait       time.Duration // the timeout that the request carries
	Took       time.Duration // set in TryDone and LateAnswer
	// Outcome is set in TryDone and LateAnswer: served, missing, refused, unsent, invalid, failed, silent (no answer in
	// time), broken (the connection ended), spoilt (a malformed answer) or canceled.
	Outcome    string
	RetryAfter time.Duration // Retry-After of a rejection
}
