// Package testutil is how tests wait: for a condition, with one generous bound.
// No test may depend on how long a wait took.
package testutil

import (
	"testing"
	"time"
)

// Timeout bounds each wait.
const Timeout = 30 * time.Second

// WaitUntil waits until ok tells true, or fails the test by what is waited for.
func WaitUntil(t testing.TB, what string, ok func() bool) {
	t.Helper()
	for end := time.Now().Add(Timeout); !ok(); time.Sleep(2 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("waited %v in vain: %s", Timeout, what)
		}
	}
}

// Receive takes the next value of a channel, or fails the test.
func Receive[T any](t testing.TB, what string, from <-chan T) (value T) {
	t.Helper()
	select {
	case value, ok := <-from:
		if !ok {
			t.Fatalf("%s: the channel is closed", what)
		}
		return value
	case <-time.After(Timeout):
		t.Fatalf("waited %v in vain: %s", Timeout, what)
	}
	return value
}
