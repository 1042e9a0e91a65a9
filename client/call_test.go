package client

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"mulleinpier/client/internal/retry"
	"mulleinpier/internal/fake/scriptednode"
	"mulleinpier/internal/meta"
)

// callOfEachKind makes one call of each kind, eight reads and writes in all.
func callOfEachKind(t *testing.T, c *Client) {
	t.Helper()
	ctx := context.Background()
	if v, err := c.Get(ctx, "order"); err != nil || string(v) != scriptednode.Value("order") {
		t.Fatalf("%q, %v", v, err)
	}
	if v, err := c.Get(ctx, "big"); err != nil || string(v) != scriptednode.Value("big") {
		t.Fatalf("%d bytes, %v", len(v), err)
	}
	if _, err := c.Get(ctx, "none"); !errors.Is(err, ErrMiss) {
		t.Fatal(err)
	}
	value := bytes.Repeat([]byte("x"), meta.MaxValue)
	if r, err := c.Set(ctx, "order", value); err != nil || r != scriptednode.Receipt {
		t.Fatalf("%q, %v", r, err)
	}
	m, err := c.GetMulti(ctx, []string{"a", "b", "none", "c"})
	if err != nil || len(m) != 3 || string(m["b"]) != scriptednode.Value("b") {
		t.Fatalf("%v, %v", m, err)
	}
}

// checkAttributes checks class, idempotency key, tenant, retry mark and timeout of the requests of callOfEachKind.
func checkAttributes(t *testing.T, requests []scriptednode.ReceivedRequest) {
	t.Helper()
	for _, r := range requests {
		isSet := r.Value != ""
		attributesOK := (r.Class == "write") == isSet && (r.IdempotencyKey != "") == isSet
		if !attributesOK || r.Tenant != "acme" || r.Retry || r.Timeout <= 0 || r.Timeout > Write.Wait {
			t.Fatalf("%+v", r)
		}
	}
}

// TestCallsAreTracedAndCounted checks that calls of each kind carry their class and tenant, and are traced and counted.
func TestCallsAreTracedAndCounted(t *testing.T) {
	var reported, incomplete atomic.Int64
	trace := Trace{CallDone: func(i CallInfo) {
		reported.Add(1)
		if i.Op == "" || i.Key == "" || i.Tries != 1 || i.Took <= 0 {
			incomplete.Add(1)
		}
	}}
	react := func(_ int, r scriptednode.ReceivedRequest) scriptednode.Reaction {
		if r.Key == "none" {
			return scriptednode.Miss
		}
		return scriptednode.Serve
	}
	c, ns := newTestClient(t, 2, Options{Tenant: "acme", Trace: trace}, react)
	callOfEachKind(t, c)
	checkAttributes(t, ns.Requests())
	if reported.Load() != 8 || incomplete.Load() > 0 {
		t.Fatalf("%d calls reported, %d of them incompletely", reported.Load(), incomplete.Load())
	}
	if s := c.Stats(); s.Calls != 8 || s.Served != 6 || s.Missing != 2 || s.Tries != 8 || s.Retries != 0 {
		t.Fatalf("%+v", s)
	}
}

// outcomeCase is a reaction to the first attempt, and the error of each kind of call; later attempts are served.
type outcomeCase struct {
	reaction            scriptednode.Reaction
	read, keyed, unsafe error
}

var outcomeCases = []outcomeCase{
	{reaction: scriptednode.Serve},
	{reaction: scriptednode.Busy},
	{reaction: scriptednode.Invalid, read: ErrInvalid, keyed: ErrInvalid, unsafe: ErrInvalid},
	{reaction: scriptednode.Fail, unsafe: ErrUnknown},
	{reaction: scriptednode.Reset, unsafe: ErrUnknown},
	{reaction: scriptednode.TruncatedAnswer, unsafe: ErrUnknown},
	{reaction: scriptednode.Hang, unsafe: ErrUnknown},
	{reaction: scriptednode.Garbage, unsafe: ErrUnknown},
	{reaction: scriptednode.OtherAnswer, unsafe: ErrUnknown},
	{reaction: scriptednode.EndlessValue, unsafe: ErrUnknown},
}

// TestErrorForEachFirstOutcome checks, for each outcome of the first attempt of a read, a keyed and an unsafe write,
// whether the proxies receive further attempts, and the error of the call.
func TestErrorForEachFirstOutcome(t *testing.T) {
	unsafeClass := Class{Name: "plain", Effect: Unsafe, Wait: 700 * ms}
	for _, c := range outcomeCases {
		t.Run(string(c.reaction)+"/read", func(t *testing.T) {
			t.Parallel()
			checkOutcome(t, c.reaction, Request{Key: "k"}, c.read)
		})
		if c.reaction == scriptednode.EndlessValue {
			continue // the answer to a write has no length, so the scripted value would answer another command
		}
		t.Run(string(c.reaction)+"/keyed", func(t *testing.T) {
			t.Parallel()
			checkOutcome(t, c.reaction, Request{Key: "k", Set: true, Value: []byte("v")}, c.keyed)
		})
		t.Run(string(c.reaction)+"/unsafe", func(t *testing.T) {
			t.Parallel()
			r := Request{Key: "k", Set: true, Value: []byte("v"), Class: unsafeClass}
			checkOutcome(t, c.reaction, r, c.unsafe)
		})
	}
}

// checkTries checks the retry marks, idempotency keys, ids and timeouts of the attempts of a call.
func checkTries(t *testing.T, requests []scriptednode.ReceivedRequest, reaction scriptednode.Reaction) {
	t.Helper()
	for i, x := range requests {
		if x.Retry != (i > 0) || x.IdempotencyKey != requests[0].IdempotencyKey {
			t.Fatalf("try %d: %+v after %+v", i, x, requests[0])
		}
		if i == 0 {
			continue
		}
		// An attempt that got no answer leaves less time for the next one.
		if x.ID == requests[0].ID || x.Timeout >= requests[0].Timeout && reaction == scriptednode.Hang {
			t.Fatalf("try %d: %+v after %+v", i, x, requests[0])
		}
	}
}

func checkOutcome(t *testing.T, reaction scriptednode.Reaction, r Request, want error) {
	t.Helper()
	client, ns := newTestClient(t, 2, Options{}, first(reaction))
	a, err := client.Do(context.Background(), r)
	if want == nil && err != nil || !errors.Is(err, want) {
		t.Fatalf("got %v, want %v", err, want)
	}
	requests := ns.Requests()
	repeated := reaction != scriptednode.Serve && want == nil
	if len(requests) != a.Tries || (len(requests) > 1) != repeated {
		t.Fatalf("%d tries seen, %d reported, repeated %v", len(requests), a.Tries, repeated)
	}
	checkTries(t, requests, reaction)
	var e *Error
	if errors.Is(err, ErrUnknown) && (!errors.As(err, &e) || e.Settled.IsZero()) {
		t.Fatalf("%+v", e)
	}
}

// TestResolveWaitsUntilSettledAndReads checks that Resolve waits until no attempt can start any more, and then reads
// the key.
func TestResolveWaitsUntilSettledAndReads(t *testing.T) {
	o := Options{Window: 300 * ms, RetryRatio: -1}
	c, ns := newTestClient(t, 1, o, func(_ int, r scriptednode.ReceivedRequest) scriptednode.Reaction {
		if r.Value != "" {
			return scriptednode.Fail
		}
		return scriptednode.Serve
	})
	_, err := c.Set(context.Background(), "order", []byte("signed"))
	var e *Error
	if !errors.As(err, &e) || !errors.Is(err, ErrUnknown) {
		t.Fatal(err)
	}
	isSigned := func(v []byte) bool { return string(v) == scriptednode.Value("order") }
	done, err := c.Resolve(context.Background(), fmt.Errorf("caller: %w", err), isSigned)
	if !done || err != nil {
		t.Fatal(done, err)
	}
	if requests := ns.Requests(); requests[len(requests)-1].ReceivedAt.Before(e.Settled.Add(-5 * ms)) {
		t.Fatalf("read %v before it was settled", e.Settled.Sub(requests[len(requests)-1].ReceivedAt))
	}
	if _, err := c.Resolve(context.Background(), ErrRefused, nil); !errors.Is(err, ErrInvalid) {
		t.Fatal(err)
	}
}

// TestClockStepsCloseTheWindow checks that a write in flight is not sent again if the wall clock is set forward,
// because its dedup window may be over.
func TestClockStepsCloseTheWindow(t *testing.T) {
	var step atomic.Int64
	clock := systemClock()
	o := Options{clock: func() retry.Timestamp {
		now := clock()
		now.Wall += time.Duration(step.Load())
		return now
	}}
	for _, c := range []struct {
		by   time.Duration
		want error
	}{{-time.Hour, nil}, {time.Hour, ErrUnknown}} {
		step.Store(0)
		client, _ := newTestClient(t, 1, o, func(number int, _ scriptednode.ReceivedRequest) scriptednode.Reaction {
			if number == 0 {
				step.Store(int64(c.by))
				return scriptednode.Reset
			}
			return scriptednode.Serve
		})
		_, err := client.Set(context.Background(), "k", nil)
		if c.want == nil && err != nil || !errors.Is(err, c.want) {
			t.Fatalf("by %v: got %v, want %v", c.by, err, c.want)
		}
	}
}

// TestInvalidRequestsAndOptionsAreRefused checks that invalid requests are refused before anything is sent, and that
// all errors in options are reported together.
func TestInvalidRequestsAndOptionsAreRefused(t *testing.T) {
	c, ns := newTestClient(t, 1, Options{}, always(scriptednode.Serve))
	for _, r := range []Request{
		{},
		{Key: "a b"},
		{Key: "a\r\nms"},
		{Key: strings.Repeat("k", 251)},
		{Key: "k", Set: true, Value: make([]byte, meta.MaxValue+1)},
		{Key: "k", Value: []byte{}},
		{Key: "k", Class: Class{Name: "a,b=c", Effect: Safe, Wait: time.Second}},
		{Key: "k", Tenant: "a b"},
		{Key: "k", Set: true, Idempotency: "a,b"},
		{Key: "k", Set: true, Class: Plain, Idempotency: "k"},
		{Key: "k", Class: Class{Name: "read", Effect: 7, Wait: time.Second}},
	} {
		if _, err := c.Do(context.Background(), r); !errors.Is(err, ErrInvalid) {
			t.Fatalf("%.40v: %v", r, err)
		}
	}
	if n := len(ns.Requests()); n != 0 {
		t.Fatalf("%d were sent", n)
	}
	_, err := New(Options{
		Tries:  -1,
		Subset: 1000,
		Spread: -1,
		Idle:   -1,
		Tenant: " ",
		Read:   Class{Name: "x"},
		Window: 2 * time.Hour,
	})
	if err == nil || strings.Count(err.Error(), "\n") != 7 {
		t.Fatalf("%v", err)
	}
}
