package client

import (
	"errors"
	"fmt"
	"strings"
	"time"
)

// The kinds of errors, for [errors.Is], and what the caller should do.
var (
	// ErrMiss: there is no such key.
	ErrMiss = errors.New("no such key")
	// ErrRefused: the request was rejected before anything was done. Trying again is harmless, after the time in
	// [Error.RetryAfter].
	ErrRefused = errors.New("refused")
	// ErrFailed: a read failed, and there was no time, try or budget for another. Trying again is harmless, though it
	// may not help.
	ErrFailed = errors.New("failed")
	// ErrDeadline: a read was not answered in time. The error is a [context.DeadlineExceeded] too.
	ErrDeadline = errors.New("deadline exceeded")
	// ErrUnknown: a write may have been carried out, or may be until [Error.Settled]. To call Set again may do it
	// twice: use [Client.Resolve].
	ErrUnknown = errors.New("outcome unknown")
	// ErrUnavailable: no proxy could be reached in time, nothing was sent. Trying again is harmless.
	ErrUnavailable = errors.New("no proxy can be reached")
	// ErrInvalid: the key, value, class or tenant can't be sent, or the proxy called the request invalid. Trying again
	// is useless.
	ErrInvalid = errors.New("invalid request")
	// ErrClosed: the client was closed. A write in flight ends with [ErrUnknown] too.
	ErrClosed = errors.New("client is closed")
)

// Error is the error of a call. It is one of the kinds above, and the error of the call's context if that has ended.
type Error struct {
	Kind  error
	Op    string // get or set
	Key   string
	Tries int // that were sent
	// RetryAfter, of ErrRefused, is how long to wait before the call is repeated; 0 for no advice.
	RetryAfter time.Duration
	// Idempotency is the idempotency key of a write, "" of an unsafe one.
	Idempotency string
	// Settled, of ErrUnknown, is when no try of the write can start any more.
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

// Unwrap gives the kind and the cause to errors.Is and errors.As.
func (e *Error) Unwrap() []error {
	if e.Cause == nil {
		return []error{e.Kind}
	}
	return []error{e.Kind, e.Cause}
}
