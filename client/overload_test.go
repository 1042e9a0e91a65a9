package client

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"mulleinpier/internal/fake/scriptednode"
	"mulleinpier/internal/testutil"
)

// TestRetryAfterHoldsForTheProcess checks that a proxy that rejects everything with a Retry-After of 1 s for three
// seconds gets few requests, however many calls are made, and that calls are served once the proxy serves again.
func TestRetryAfterHoldsForTheProcess(t *testing.T) {
	var recovered atomic.Bool
	c, ns := newTestClient(t, 1, Options{}, func(int, scriptednode.ReceivedRequest) scriptednode.Reaction {
		if recovered.Load() {
			return scriptednode.Serve
		}
		return scriptednode.BusyRetryAfter
	})
	refused := 0
	for end := time.Now().Add(3 * time.Second); time.Now().Before(end); time.Sleep(5 * ms) {
		start := time.Now()
		ctx, cancel := context.WithTimeout(context.Background(), 500*ms)
		_, err := c.Get(ctx, "k")
		cancel()
		var e *Error
		if !errors.Is(err, ErrRefused) || !errors.As(err, &e) || e.RetryAfter <= 0 {
			t.Fatalf("got %v", err)
		}
		if took := time.Since(start); took > 400*ms { // refused early: 1 s exceeds the 500 ms
			t.Fatalf("refused after %v", took)
		}
		refused++
	}
	if n := len(ns.Requests()); n > 10 || refused < 30 { // expected: three requests at first, then one per second
		t.Fatalf("%d requests for %d calls", n, refused)
	}
	recovered.Store(true)
	testutil.WaitUntil(t, "a call is served again", func() bool {
		_, err := c.Get(context.Background(), "k")
		return err == nil
	})
}

// TestRetryAfterHoldsForTheCall checks that a call with enough time waits for the Retry-After and is then served.
func TestRetryAfterHoldsForTheCall(t *testing.T) {
	o := Options{Read: Class{Name: "read", Effect: Safe, Wait: 2 * time.Second}, RetryRatio: 1}
	c, ns := newTestClient(t, 1, o, first(scriptednode.Serve, scriptednode.BusyRetryAfter))
	if _, err := c.Get(context.Background(), "k"); err != nil { // adds a retry to the budget
		t.Fatal(err)
	}
	if _, err := c.Get(context.Background(), "k"); err != nil {
		t.Fatal(err)
	}
	requests := ns.Requests()
	if len(requests) != 3 || requests[2].ReceivedAt.Sub(requests[1].ReceivedAt) < time.Second {
		t.Fatalf("%d tries", len(requests))
	}
}

// TestThrottleSparesAnOverloadedService checks that the client rejects at least a third of the calls itself if a proxy
// rejects nine in ten requests without a Retry-After, and that it sends everything once the proxy accepts everything.
func TestThrottleSparesAnOverloadedService(t *testing.T) {
	var recovered atomic.Bool
	o := Options{Tries: 1, Conns: 1}
	c, ns := newTestClient(t, 1, o, func(number int, _ scriptednode.ReceivedRequest) scriptednode.Reaction {
		if number%10 == 0 || recovered.Load() {
			return scriptednode.Serve
		}
		return scriptednode.Busy
	})
	calls := 1500
	for range calls {
		var e *Error
		_, err := c.Get(context.Background(), "k")
		if err != nil && (!errors.Is(err, ErrRefused) || !errors.As(err, &e)) {
			t.Fatal(err)
		}
		time.Sleep(ms)
	}
	throttled := int(c.Stats().Throttled)
	if n := len(ns.Requests()); n+throttled != calls || throttled < calls/3 || n < calls/20 {
		t.Fatalf("%d sent and %d throttled of %d", n, throttled, calls)
	}
	recovered.Store(true)
	testutil.WaitUntil(t, "a hundred served in a row", func() bool {
		for range 100 {
			if _, err := c.Get(context.Background(), "k"); err != nil {
				return false
			}
		}
		return true
	})
}

// TestTenThousandGoroutines checks that the connections of a client used by ten thousand goroutines are bounded, and
// that each call gets its own answer.
func TestTenThousandGoroutines(t *testing.T) {
	o := Options{Read: Class{Name: "read", Effect: Safe, Wait: time.Minute}}
	c, ns := newTestClient(t, 3, o, always(scriptednode.Serve))
	var tasks sync.WaitGroup
	var failed atomic.Int64
	for i := range 10000 {
		tasks.Go(func() {
			key := fmt.Sprint("k", i)
			if v, err := c.Get(context.Background(), key); err != nil || string(v) != scriptednode.Value(key) {
				if failed.Add(1) == 1 {
					t.Error(string(v), err)
				}
			}
		})
	}
	tasks.Wait()
	if all, _ := ns.ConnectionCounts(); failed.Load() > 0 || all > 12 {
		t.Fatalf("%d failed, over %d connections", failed.Load(), all)
	}
}

// TestWaitingIsBounded checks that calls beyond MaxWaiting are refused and that the others wait until their deadline.
func TestWaitingIsBounded(t *testing.T) {
	read := Class{Name: "read", Effect: Safe, Wait: 300 * ms}
	c := open(t, Options{Proxies: silentSource{}, MaxWaiting: 10, Read: read})
	var tasks sync.WaitGroup
	var refused, deadline atomic.Int64
	for range 30 {
		tasks.Go(func() {
			_, err := c.Get(context.Background(), "k")
			late := errors.Is(err, ErrDeadline) && errors.Is(err, context.DeadlineExceeded)
			switch {
			case errors.Is(err, ErrRefused):
				refused.Add(1)
			case late || errors.Is(err, ErrUnavailable):
				deadline.Add(1)
			}
		})
	}
	tasks.Wait()
	if refused.Load() != 20 || deadline.Load() != 10 {
		t.Fatalf("%d refused, %d past their deadline", refused.Load(), deadline.Load())
	}
}
