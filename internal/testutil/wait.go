// Package testutil holds the helpers that tests of several packages share: waiting with one generous bound, listening
// on loopback, and comparing with outputs of earlier versions. Only tests import it. It has no state, and no test may
// depend on how long a wait takes.
package testutil

import (
	"testing"
	"time"
)

// Timeout bounds each wait in WaitUntil and Receive.
const Timeout = 30 * time.Second

const pollInterval = 2 * time.Millisecond

// WaitUntil polls ok until it returns true. After Timeout it fails the test with a message that contains what.
func WaitUntil(t testing.TB, what string, ok func() bool) {
	t.Helper()
	for end := time.Now().Add(Timeout); !ok(); time.Sleep(pollInterval) {
		if time.Now().After(end) {
			t.Fatalf("not within %v: %s", Timeout, what)
		}
	}
}

// Receive returns the next value of the channel from. It fails the test if the channel is closed, or if no value
// arrives within Timeout. what describes the value in the message.
func Receive[T any](t testing.TB, what string, from <-chan T) (value T) {
	t.Helper()
	select {
	case value, ok := <-from:
		if !ok {
			t.Fatalf("%s: the channel is closed", what)
		}
		return value
	case <-time.After(Timeout):
		t.Fatalf("not within %v: %s", Timeout, what)
	}
	return value
}
