package client

import (
	"errors"
	"fmt"
	"strings"
	"time"
)

// The kinds of errors, for use with [errors.Is], and what the caller can do.
var (
	// ErrMiss: there is no such key.
	ErrMiss = errors.New("no such key")
	// ErrRefused: the request was rejected before it had any effect. Retrying is safe once [Error.RetryAfter] has
	// passed.
	ErrRefused = errors.New("refused")
	// ErrFailed: a read failed, and no time, attempt or retry budget was left for another attempt. Retrying is safe but
	// may not help.
	ErrFailed = errors.New("failed")
	// ErrDeadline: a read was not answered in time. The error also matches [context.DeadlineExceeded].
	ErrDeadline = errors.New("deadline exceeded")
	// ErrUnknown: a write may have been carried out, or may still be until [Error.Settled]. Calling Set again could
	// apply it twice; use [Client.Resolve].
	ErrUnknown = errors.New("outcome unknown")
	// ErrUnavailable: no proxy could be reached in time, and no write was carried out. Retrying is safe.
	ErrUnavailable = errors.New("no proxy can be reached")
	// ErrInvalid: the key, value, class, tenant or idempotency key is invalid, or the proxy rejected the request as
	// invalid. Retrying does not help.
	ErrInvalid = errors.New("invalid request")
	// ErrClosed: the client was closed. The error of a write in flight also matches [ErrUnknown].
	ErrClosed = errors.New("client is closed")
)

// Error is the error of a call. It matches one of the kinds above, and the error of the call's context if that has
// ended.
type Error struct {
	Kind  error
	Op    string // get or set
	Key   string
	Tries int // attempts that were sent
	// RetryAfter, with ErrRefused, is how long to wait before repeating the call; 0 if no time is known.
	RetryAfter time.Duration
	// Idempotency is the idempotency key of a keyed write, otherwise "".
	Idempotency string
	// Settled, with ErrUnknown, is the time from which on no attempt of the write can start any more.
	Settled time.Time
	// Cause is the underlying error, or nil.
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

// Unwrap returns the kind and the cause, for [errors.Is] and [errors.As].
func (e *Error) Unwrap() []error {
	if e.Cause == nil {
		return []error{e.Kind}
	}
	return []error{e.Kind, e.Cause}
}
