package client

import (
	"errors"
	"fmt"
	"strings"
	"time"
)

// The kinds of errors, for [errors.Is]. What each asks of the caller is said with it.
var (
	// ErrMiss: there is no such key.
	ErrMiss = errors.New("no such key")
	// ErrRefused: turned away before anything was done. Trying again is harmless, after
	// the time that [Error.RetryAfter] tells.
	ErrRefused = errors.New("refused")
	// ErrFailed: a read failed and there was no time, try or budget for another. Trying again
	// is harmless; whether it helps is another matter.
	ErrFailed = errors.New("failed")
	// ErrDeadline: a read was not answered in time. It also is a
	// [context.DeadlineExceeded].
	ErrDeadline = errors.New("deadline exceeded")
	// ErrUnknown: a write may have been carried out, or may be until [Error.Settled]. Calling
	// Set again may do it twice: use [Client.Resolve].
	ErrUnknown = errors.New("outcome unknown")
	// ErrUnavailable: no proxy could be reached in time, nothing was sent. Trying again is harmless.
	ErrUnavailable = errors.New("no proxy can be reached")
	// ErrInvalid: the key, value, class or tenant can't be sent, or the proxy says that the request can't
	// be meant. Trying again is of no use.
	ErrInvalid = errors.New("invalid request")
	// ErrClosed: the client was closed. A write that was under way is [ErrUnknown] too.
	ErrClosed = errors.New("client is closed")
)

// Error is the error of a call. It is one of the kinds above, and with a context that has
// ended also that context's error.
type Error struct {
	Kind  error
	Op    string // get or set
	Key   string
	Tries int // that were sent
	// RetryAfter is when to come again, of ErrRefused; 0 for no advice.
	RetryAfter time.Duration
	// Idempotency is the key of a write, "" of an unsafe one.
	Idempotency string
	// Settled, of ErrUnknown, is when nothing of the write can begin any more.
	Settled time.Time
	// Cause says more, or is nil.
	Cause error
}

// Error implements error.
func (e *Error) Error() string {
	var b strings.Builder
	fmt.Fprintf(&b, "mulleinpier: %s %q: %v", e.Op, e.Key, e.Kind)
	if e.RetryAfter > 0 {
		fmt.Fprintf(&b, ", come again in %v", e.RetryAfter)
	}
	if e.Tries > 1 {
		fmt.Fprintf(&b, " after %d tries", e.Tries)
	}
	if e.Cause != nil {
		fmt.Fprintf(&b, ": %v", e.Cause)
	}
	return b.String()
}

// Unwrap lets errors.Is and errors.As see the kind and the cause.
func (e *Error) Unwrap() []error {
	if e.Cause == nil {
		return []error{e.Kind}
	}
	return []error{e.Kind, e.Cause}
}
