package client

import (
	"context"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"mulleinpier/internal/fake/scriptednode"
	"mulleinpier/internal/meta"
	"mulleinpier/internal/testutil"
)

// cancelCall starts a call, cancels its context once inState returns true, and checks the call's error.
func cancelCall(t *testing.T, c *Client, r Request, inState func() bool, want error) {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() {
		_, err := c.Do(ctx, r)
		ended <- err
	}()
	testutil.WaitUntil(t, "the state in which to cancel", inState)
	cancel()
	if err := testutil.Receive(t, "the end", ended); !errors.Is(err, want) || !errors.Is(err, context.Canceled) {
		t.Fatalf("got %v, want %v", err, want)
	}
}

// cancelWhileWriting cancels a call while so many requests are queued on its connection that its own request can't be
// written yet.
func cancelWhileWriting(t *testing.T, write Request, o Options) {
	t.Helper()
	o.Conns, o.Depth = 1, 256
	c, _ := newTestClient(t, 1, o, always(scriptednode.Hang)) // the proxy reads no more after the first request
	big := write
	big.Value = make([]byte, meta.MaxValue)
	ctx, cancel := context.WithCancel(context.Background())
	var others sync.WaitGroup
	for range 200 {
		others.Go(func() { c.Do(ctx, big) })
	}
	testutil.WaitUntil(t, "all are in flight", func() bool { return c.Stats().InFlight == 200 })
	cancelCall(t, c, big, func() bool { return c.Stats().InFlight == 201 }, ErrUnknown)
	cancel()
	others.Wait()
}

// TestContextCancelledInEachState checks that a call whose context is cancelled ends and reports what is known about it
// in each of its states: before the first list has arrived, while connecting, while waiting for a connection, while its
// request is written, while its answer is awaited, and during backoff.
func TestContextCancelledInEachState(t *testing.T) {
	write := Request{
		Key:   "k",
		Set:   true,
		Value: []byte("v"),
		Class: Class{Name: "write", Effect: Keyed, Wait: time.Minute},
	}
	longTimeouts := Options{
		Read:   Class{Name: "read", Effect: Safe, Wait: time.Minute},
		Window: time.Minute,
		Tries:  2,
	}
	t.Run("no list", func(t *testing.T) {
		o := longTimeouts
		o.Proxies = silentSource{}
		c := open(t, o)
		cancelCall(t, c, write, func() bool { return c.Stats().Waiting == 1 }, context.Canceled)
	})
	t.Run("connecting", func(t *testing.T) {
		o := longTimeouts
		o.Dial = blockedDial
		c, _ := newTestClient(t, 1, o, always(scriptednode.Serve))
		cancelCall(t, c, write, func() bool { return c.Stats().Waiting == 1 }, context.Canceled)
	})
	t.Run("waiting", func(t *testing.T) {
		o := longTimeouts
		o.Conns, o.Depth = 1, 1
		c, _ := newTestClient(t, 1, o, always(scriptednode.Hang))
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		var other sync.WaitGroup
		other.Go(func() { c.Get(ctx, "other") })
		defer other.Wait()
		defer cancel()
		testutil.WaitUntil(t, "the other is in flight", func() bool { return c.Stats().InFlight == 1 })
		cancelCall(t, c, write, func() bool { return c.Stats().Waiting == 1 }, context.Canceled)
	})
	t.Run("writing", func(t *testing.T) { cancelWhileWriting(t, write, longTimeouts) })
	t.Run("answer", func(t *testing.T) {
		c, ns := newTestClient(t, 1, longTimeouts, always(scriptednode.Hang))
		cancelCall(t, c, write, func() bool { return len(ns.Requests()) == 1 }, ErrUnknown)
		cancelCall(t, c, Request{Key: "k"}, func() bool { return c.Stats().InFlight == 1 }, context.Canceled)
	})
	t.Run("backoff", func(t *testing.T) {
		c, ns := newTestClient(t, 1, longTimeouts, always(scriptednode.BusyRetryAfter))
		inBackoff := func() bool { return len(ns.Requests()) == 1 && c.Stats().InFlight == 0 }
		cancelCall(t, c, write, inBackoff, context.Canceled)
	})
}

// TestLeakCheckCountsClientGoroutines checks that the check for leaked goroutines finds those of a client, and ignores
// those that a helper of a test has started.
func TestLeakCheckCountsClientGoroutines(t *testing.T) {
	release := make(chan struct{})
	var helper sync.WaitGroup
	startWaiting(&helper, release)
	if stacks := clientGoroutines(); stacks != "" {
		t.Errorf("found without a client:\n%s", stacks)
	}
	c := open(t, Options{Proxies: silentSource{}})
	testutil.WaitUntil(t, "a goroutine of the client", func() bool { return clientGoroutines() != "" })
	c.Close()
	close(release)
	helper.Wait()
}

// startWaiting starts a goroutine that waits for release.
func startWaiting(helper *sync.WaitGroup, release <-chan struct{}) {
	helper.Add(1)
	go func() {
		defer helper.Done()
		<-release
	}()
}

// TestEmptyListIsIgnored checks that an empty list does not take effect, and that a proxy that leaves the list gets no
// new requests.
func TestEmptyListIsIgnored(t *testing.T) {
	path := filepath.Join(t.TempDir(), "proxies")
	var lists, emptyLists atomic.Int64
	o := Options{Proxies: fileSource{path, 10 * ms}, Trace: Trace{List: func(_ []string, err error) {
		if err != nil {
			emptyLists.Add(1)
		} else {
			lists.Add(1)
		}
	}}}
	write := func(text string) {
		t.Helper()
		if err := os.WriteFile(path+".new", []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		if err := os.Rename(path+".new", path); err != nil {
			t.Fatal(err)
		}
	}
	write("127.0.0.1:1 # nobody listens\n")
	c, ns := newTestClient(t, 2, o, always(scriptednode.Serve))
	testutil.WaitUntil(t, "the first list", func() bool { return lists.Load() == 1 })
	write(ns.Address(0) + "\n" + ns.Address(1) + "\n")
	testutil.WaitUntil(t, "the second list", func() bool { return lists.Load() == 2 })
	if _, err := c.Get(context.Background(), "k"); err != nil {
		t.Fatal(err)
	}
	write("# none\n")
	testutil.WaitUntil(t, "the empty list", func() bool { return emptyLists.Load() > 0 })
	for range 20 {
		if _, err := c.Get(context.Background(), "k"); err != nil {
			t.Fatal(err)
		}
	}
	write(ns.Address(1) + "\n")
	testutil.WaitUntil(t, "the last list", func() bool { return lists.Load() == 3 })
	before := len(ns.Requests())
	for range 20 {
		if _, err := c.Get(context.Background(), "k"); err != nil {
			t.Fatal(err)
		}
	}
	for _, a := range ns.Requests()[before:] {
		if a.Node == 0 {
			t.Fatal("a removed proxy got a request")
		}
	}
}

// TestCloseEndsCallsAndShutdownWaits checks that Close ends active calls, a write with ErrUnknown, and that Shutdown
// waits for them.
func TestCloseEndsCallsAndShutdownWaits(t *testing.T) {
	for _, c := range []struct {
		set  bool
		want error
	}{{false, ErrClosed}, {true, ErrUnknown}} {
		client, ns := newTestClient(t, 1, Options{}, always(scriptednode.Hang))
		ended := make(chan error, 1)
		go func() {
			_, err := client.Do(context.Background(), Request{Key: "k", Set: c.set})
			ended <- err
		}()
		testutil.WaitUntil(t, "it is in flight", func() bool { return len(ns.Requests()) == 1 })
		client.Close()
		if err := testutil.Receive(t, "the end", ended); !errors.Is(err, c.want) || !errors.Is(err, ErrClosed) {
			t.Fatalf("got %v", err)
		}
		if _, err := client.Get(context.Background(), "k"); !errors.Is(err, ErrClosed) {
			t.Fatal(err)
		}
	}
	client, ns := newTestClient(t, 1, Options{}, always(scriptednode.Slow))
	ended := make(chan error, 1)
	go func() {
		_, err := client.Get(context.Background(), "k")
		ended <- err
	}()
	testutil.WaitUntil(t, "it is in flight", func() bool { return len(ns.Requests()) == 1 })
	if err := client.Shutdown(context.Background()); err != nil {
		t.Fatal(err)
	}
	if err := testutil.Receive(t, "the end", ended); err != nil {
		t.Fatal(err)
	}
}

// TestHooksReportEachStep checks that the hooks report each step of a call, and an answer that arrives after its
// attempt was given up.
func TestHooksReportEachStep(t *testing.T) {
	var mu sync.Mutex
	var seen []string
	record := func(format string, a ...any) {
		mu.Lock()
		defer mu.Unlock()
		seen = append(seen, fmt.Sprintf(format, a...))
	}
	c, _ := newTestClient(t, 1, Options{Conns: 1, Trace: Trace{
		DialStart:    func(string) { record("dial") },
		DialDone:     func(_ string, _ time.Duration, err error) { record("dialed %v", err) },
		TryStart:     func(i TryInfo) { record("try %s %s %v", i.Op, i.Key, i.Repeat) },
		TryDone:      func(i TryInfo) { record("tried %s", i.Outcome) },
		LateAnswer:   func(i TryInfo) { record("late %s", i.Outcome) },
		CallDone:     func(i CallInfo) { record("call %s %s %d %v", i.Op, i.Key, i.Tries, i.Err) },
		Disconnected: func(_ string, err error) { record("gone %v", err) },
	}}, func(number int, _ scriptednode.ReceivedRequest) scriptednode.Reaction {
		if number == 0 {
			return scriptednode.Busy
		}
		return scriptednode.Slow
	})
	ctx, cancel := context.WithTimeout(context.Background(), 100*ms)
	defer cancel()
	if _, err := c.Get(ctx, "k"); !errors.Is(err, ErrDeadline) {
		t.Fatal(err)
	}
	testutil.WaitUntil(t, "the late answer, and the end of its connection", func() bool {
		mu.Lock()
		defer mu.Unlock()
		return len(seen) == 9
	})
	want := []string{
		"dial", "dialed <nil>",
		"try get k false", "tried refused",
		"try get k true", "tried silent",
		`call get k 2 mulleinpier: get "k": deadline exceeded after 2 tries: context deadline exceeded`,
		"late served", "gone <nil>",
	}
	if !slices.Equal(seen, want) {
		t.Fatalf("got  %q\nwant %q", seen, want)
	}
}
