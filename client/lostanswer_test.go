package client

import (
	"context"
	"errors"
	"net"
	"testing"
	"testing/synctest"
	"time"

	"mulleinpier/internal/fake/scriptednode"
)

// lossCase is a time after which the answer to a keyed write is lost, with the outcome of the call. The dedup window is
// 1.5 s.
type lossCase struct {
	after time.Duration
	want  error
}

// lostOptions have a margin of 1 ns, so that an attempt may last until just before the end of the dedup window. With
// less than 50 ms left no attempt is sent.
var lostOptions = Options{Margin: 1, RetryRatio: -1, Spread: ms}

// TestWriteWhoseAnswerIsLost checks what follows when the answer to a keyed write is lost late in its dedup window.
// While an attempt can still end within the window, the write is retried with the same key; after that the call ends
// with ErrUnknown, and nothing more is sent. The cases near the limit of 1.45 s are in
// TestWriteWhoseAnswerIsLostInVirtualTime.
func TestWriteWhoseAnswerIsLost(t *testing.T) {
	for _, c := range []lossCase{
		{100 * ms, nil},
		{1000 * ms, nil},
		{1460 * ms, ErrUnknown},
		{1490 * ms, ErrUnknown},
		{1600 * ms, ErrUnknown},
	} {
		t.Run(c.after.String(), func(t *testing.T) {
			t.Parallel()
			// Defined here because the check for leaked goroutines recognises test code by the names of tests.
			react := func(number int, _ scriptednode.ReceivedRequest) scriptednode.Reaction {
				return resetFirst(number, c.after)
			}
			client, ns := newTestClient(t, 1, lostOptions, react)
			checkLostAnswer(t, client, ns, c.want)
		})
	}
}

// TestWriteWhoseAnswerIsLostInVirtualTime checks the same in virtual time, in which the client notices the loss at the
// moment at which it happens. The last moment at which an attempt can be sent is 1.45 s after the first one. A retry
// follows the loss by a backoff of at most 20 ms and a spread of reconnects of at most 1 ms.
func TestWriteWhoseAnswerIsLostInVirtualTime(t *testing.T) {
	for _, c := range []lossCase{
		{100 * ms, nil},
		{1000 * ms, nil},
		{1400 * ms, nil},
		{1428 * ms, nil},
		{1451 * ms, ErrUnknown},
		{1460 * ms, ErrUnknown},
		{1490 * ms, ErrUnknown},
		{1600 * ms, ErrUnknown},
	} {
		t.Run(c.after.String(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				react := func(number int, _ scriptednode.ReceivedRequest) scriptednode.Reaction {
					return resetFirst(number, c.after)
				}
				ns := scriptednode.New(scriptednode.Meta, react)
				t.Cleanup(ns.Close)
				o := lostOptions
				o.Proxies = Static("127.0.0.2:1")
				o.Dial = func(context.Context, string, string) (net.Conn, error) { return ns.Connect(), nil }
				checkLostAnswer(t, open(t, o), ns, c.want)
			})
		})
	}
}

// resetFirst resets the connection of the first request after a delay, and serves the others.
func resetFirst(number int, delay time.Duration) scriptednode.Reaction {
	if number > 0 {
		return scriptednode.Serve
	}
	time.Sleep(delay)
	return scriptednode.Reset
}

func checkLostAnswer(t *testing.T, client *Client, ns *scriptednode.Nodes, want error) {
	t.Helper()
	start := time.Now()
	_, err := client.Set(context.Background(), "order", []byte("signed"))
	if want == nil && err != nil || !errors.Is(err, want) {
		t.Fatalf("got %v, want %v", err, want)
	}
	requests := ns.Requests()
	for _, x := range requests[1:] {
		if late := x.ReceivedAt.Add(x.Timeout).Sub(requests[0].ReceivedAt); late > 1500*ms {
			t.Fatalf("a try that may start %v after the first", late)
		}
	}
	if err == nil {
		if len(requests) != 2 {
			t.Fatalf("%d tries, want 2", len(requests))
		}
		return
	}
	var e *Error
	if !errors.As(err, &e) || e.Settled.Before(start.Add(1450*ms)) {
		t.Fatalf("%+v", err)
	}
	if e.Idempotency != requests[0].IdempotencyKey || len(requests) != 1 {
		t.Fatalf("%+v, %d tries", e, len(requests))
	}
}
