package client

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"runtime"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"mulleinpier/client/internal/retry"
	"mulleinpier/internal/fake/scriptednode"
	"mulleinpier/internal/meta"
	"mulleinpier/internal/testutil"
)

const ms = time.Millisecond

// proxies starts stand-in proxies, and a client of them that must leave nothing behind.
func proxies(t *testing.T, n int, o Options, react func(number int, a scriptednode.ReceivedRequest) scriptednode.Reaction) (*Client, *scriptednode.Nodes) {
	t.Helper()
	ns, err := scriptednode.Start(scriptednode.Meta, n, react)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(ns.Close)
	if o.Proxies == nil {
		var list []string
		for i := range n {
			list = append(list, ns.Address(i))
		}
		o.Proxies = Static(list...)
	}
	return open(t, o), ns
}

// living are the clients that are not closed yet.
var living atomic.Int64

func open(t *testing.T, o Options) *Client {
	t.Helper()
	living.Add(1)
	c, err := New(o)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		c.Close()
		if living.Add(-1) == 0 { // Close waits for all of them
			if left := goroutines(); left != "" {
				t.Errorf("left after Close:\n%s", left)
			}
		}
		if s := c.Stats(); s.Conns+s.InFlight+s.Waiting != 0 || s.Calls != s.endedCalls() {
			t.Errorf("after Close: %+v", s)
		}
	})
	return c
}

// goroutines returns the stacks of those that clients started: callers that are just told of the end don't count.
func goroutines() (left string) {
	stacks := make([]byte, 4<<20)
	for s := range strings.SplitSeq(string(stacks[:runtime.Stack(stacks, true)]), "\n\n") {
		if strings.Contains(s, "mulleinpier/client.") && !strings.Contains(s, "client.(*Client).Do(") && !strings.Contains(s, "testing.tRunner") && !strings.Contains(s, "client.Test") {
			left += s + "\n\n"
		}
	}
	return left
}

func serve(int, scriptednode.ReceivedRequest) scriptednode.Reaction { return scriptednode.Serve }

// first has the first requests be met by some reactions, and serves the others.
func first(reactions ...scriptednode.Reaction) func(int, scriptednode.ReceivedRequest) scriptednode.Reaction {
	return func(number int, _ scriptednode.ReceivedRequest) scriptednode.Reaction {
		if number < len(reactions) {
			return reactions[number]
		}
		return scriptednode.Serve
	}
}

func TestGetAndSet(t *testing.T) {
	var told, unnamed atomic.Int64
	trace := Trace{CallDone: func(i CallInfo) {
		told.Add(1)
		if i.Op == "" || i.Key == "" || i.Tries != 1 || i.Took <= 0 {
			unnamed.Add(1)
		}
	}}
	c, ns := proxies(t, 2, Options{Tenant: "acme", Trace: trace}, func(_ int, a scriptednode.ReceivedRequest) scriptednode.Reaction {
		if a.Key == "none" {
			return scriptednode.Miss
		}
		return scriptednode.Serve
	})
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
	for _, a := range ns.Requests() {
		isSet := a.Value != ""
		if a.Tenant != "acme" || a.Retry || (a.Class == "write") != isSet || (a.Idempotency != "") != isSet || a.Wait <= 0 || a.Wait > Write.Wait {
			t.Fatalf("%+v", a)
		}
	}
	if told.Load() != 8 || unnamed.Load() > 0 {
		t.Fatalf("%d calls told, %d without what they were", told.Load(), unnamed.Load())
	}
	if s := c.Stats(); s.Calls != 8 || s.Served != 6 || s.Missing != 2 || s.Tries != 8 || s.Retries != 0 {
		t.Fatalf("%+v", s)
	}
}

// What a call's tries come to, outcome by outcome, for a read and a keyed and an unsafe
// write: how many a proxy sees, and the error at the end.
func TestOutcomes(t *testing.T) {
	for _, c := range []struct {
		reaction           scriptednode.Reaction
		read, keyed, plain error // of one such reaction, then served
		again              bool  // an unsafe one is sent again
	}{
		{reaction: scriptednode.Serve},
		{reaction: scriptednode.Busy, again: true},
		{reaction: scriptednode.Invalid, read: ErrInvalid, keyed: ErrInvalid, plain: ErrInvalid},
		{reaction: scriptednode.Fail, plain: ErrUnknown},
		{reaction: scriptednode.Reset, plain: ErrUnknown},
		{reaction: scriptednode.TruncatedAnswer, plain: ErrUnknown},
		{reaction: scriptednode.Hang, plain: ErrUnknown},
		{reaction: scriptednode.Garbage, plain: ErrUnknown},
		{reaction: scriptednode.OtherAnswer, plain: ErrUnknown},
		{reaction: scriptednode.EndlessValue, plain: ErrUnknown},
	} {
		for _, call := range []struct {
			name string
			r    Request
			want error
		}{{"read", Request{Key: "k"}, c.read}, {"keyed", Request{Key: "k", Set: true, Value: []byte("v")}, c.keyed},
			{"unsafe", Request{Key: "k", Set: true, Value: []byte("v"), Class: Class{"plain", Unsafe, 700 * ms, 0}}, c.plain}} {
			if c.reaction == scriptednode.EndlessValue && call.r.Set {
				continue // a receipt has no length; the stand-in's value to a write is an answer to another command
			}
			t.Run(string(c.reaction)+"/"+call.name, func(t *testing.T) {
				t.Parallel()
				client, ns := proxies(t, 2, Options{}, first(c.reaction))
				a, err := client.Do(context.Background(), call.r)
				if call.want == nil && err != nil || !errors.Is(err, call.want) {
					t.Fatalf("got %v, want %v", err, call.want)
				}
				asked := ns.Requests()
				repeated := c.reaction != scriptednode.Serve && call.want == nil
				if len(asked) != a.Tries || (len(asked) > 1) != repeated {
					t.Fatalf("%d tries seen, %d told, repeated %v", len(asked), a.Tries, repeated)
				}
				for i, x := range asked {
					if x.Retry != (i > 0) || x.Idempotency != asked[0].Idempotency || i > 0 && (x.ID == asked[0].ID || x.Wait >= asked[0].Wait && c.reaction == scriptednode.Hang) {
						t.Fatalf("try %d: %+v after %+v", i, x, asked[0])
					}
				}
				var e *Error
				if errors.Is(err, ErrUnknown) && (!errors.As(err, &e) || e.Settled.IsZero()) {
					t.Fatalf("%+v", e)
				}
			})
		}
	}
}

// A handover whose answer is lost late, against a window of 1.5 s: within it the call goes on under the
// same key, past it the caller is told that the outcome is unknown, and nothing more is sent.
func TestHandoverWhoseAnswerIsLost(t *testing.T) {
	for _, c := range []struct {
		after time.Duration
		want  error
	}{{100 * ms, nil}, {1000 * ms, nil}, {1400 * ms, nil}, {1460 * ms, ErrUnknown}, {1490 * ms, ErrUnknown}, {1600 * ms, ErrUnknown}} {
		t.Run(c.after.String(), func(t *testing.T) {
			t.Parallel()
			// The margin is shrunk so that a try is waited for to just before the window's end, less
			// the 50 ms under which none is worth sending.
			client, ns := proxies(t, 1, Options{Margin: 1, RetryRatio: -1, Spread: ms}, func(number int, _ scriptednode.ReceivedRequest) scriptednode.Reaction {
				if number == 0 {
					time.Sleep(c.after)
					return scriptednode.Reset
				}
				return scriptednode.Serve
			})
			begun := time.Now()
			_, err := client.Set(context.Background(), "order", []byte("signed"))
			if c.want == nil && err != nil || !errors.Is(err, c.want) {
				t.Fatalf("got %v, want %v", err, c.want)
			}
			asked := ns.Requests()
			for _, x := range asked[1:] {
				if late := x.At.Add(x.Wait).Sub(asked[0].At); late > 1500*ms {
					t.Fatalf("a try that may be begun %v after the first", late)
				}
			}
			if err != nil {
				var e *Error
				if !errors.As(err, &e) || e.Settled.Before(begun.Add(1450*ms)) || e.Idempotency != asked[0].Idempotency || len(asked) != 1 {
					t.Fatalf("%+v, %d tries", e, len(asked))
				}
			}
		})
	}
}

// Resolve waits until nothing can begin any more, and reads.
func TestResolve(t *testing.T) {
	c, ns := proxies(t, 1, Options{Window: 300 * ms, RetryRatio: -1}, func(number int, a scriptednode.ReceivedRequest) scriptednode.Reaction {
		if a.Value != "" {
			return scriptednode.Fail
		}
		return scriptednode.Serve
	})
	_, err := c.Set(context.Background(), "order", []byte("signed"))
	var e *Error
	if !errors.As(err, &e) || !errors.Is(err, ErrUnknown) {
		t.Fatal(err)
	}
	done, err := c.Resolve(context.Background(), fmt.Errorf("till: %w", err), func(v []byte) bool { return string(v) == scriptednode.Value("order") })
	if !done || err != nil {
		t.Fatal(done, err)
	}
	if asked := ns.Requests(); asked[len(asked)-1].At.Before(e.Settled.Add(-5 * ms)) {
		t.Fatalf("read %v before it was settled", e.Settled.Sub(asked[len(asked)-1].At))
	}
	if _, err := c.Resolve(context.Background(), ErrRefused, nil); !errors.Is(err, ErrInvalid) {
		t.Fatal(err)
	}
}

// A proxy that answers busy 1000 to all for three seconds is asked a few times, whatever its
// clients want; and once it serves again, so are they.
func TestAdviceIsKeptByTheProcess(t *testing.T) {
	var calm atomic.Bool
	c, ns := proxies(t, 1, Options{}, func(int, scriptednode.ReceivedRequest) scriptednode.Reaction {
		if calm.Load() {
			return scriptednode.Serve
		}
		return scriptednode.BusyRetryAfter
	})
	refused := 0
	for end := time.Now().Add(3 * time.Second); time.Now().Before(end); time.Sleep(5 * ms) {
		begun := time.Now()
		ctx, cancel := context.WithTimeout(context.Background(), 500*ms)
		_, err := c.Get(ctx, "k")
		cancel()
		var e *Error
		if !errors.Is(err, ErrRefused) || !errors.As(err, &e) || e.RetryAfter <= 0 {
			t.Fatalf("got %v", err)
		}
		if took := time.Since(begun); took > 400*ms { // it is known at once that a second won't do
			t.Fatalf("told after %v", took)
		}
		refused++
	}
	if n := len(ns.Requests()); n > 10 || refused < 30 { // three at first, one a second from then on
		t.Fatalf("asked %d times, for %d calls", n, refused)
	}
	calm.Store(true)
	testutil.WaitUntil(t, "served again", func() bool {
		_, err := c.Get(context.Background(), "k")
		return err == nil
	})
}

// A call with time enough waits as long as it was advised.
func TestAdviceIsKeptByTheCall(t *testing.T) {
	c, ns := proxies(t, 1, Options{Read: Class{"read", Safe, 2 * time.Second, 0}, RetryRatio: 1}, first(scriptednode.Serve, scriptednode.BusyRetryAfter))
	if _, err := c.Get(context.Background(), "k"); err != nil { // pays for the retry
		t.Fatal(err)
	}
	if _, err := c.Get(context.Background(), "k"); err != nil {
		t.Fatal(err)
	}
	if asked := ns.Requests(); len(asked) != 3 || asked[2].At.Sub(asked[1].At) < time.Second {
		t.Fatalf("%d tries", len(asked))
	}
}

// A proxy that accepts and says nothing: reads go on at the other, and soon to it alone.
func TestSilentProxy(t *testing.T) {
	var c *Client
	c, ns := proxies(t, 2, Options{Read: Class{"read", Safe, time.Second, 0}, RetryRatio: 1}, func(_ int, a scriptednode.ReceivedRequest) scriptednode.Reaction {
		if a.Node == 0 {
			return scriptednode.Hang
		}
		return scriptednode.Serve
	})
	for range 200 {
		if _, err := c.Get(context.Background(), "k"); err != nil {
			t.Fatal(err)
		}
	}
	silent := 0
	for _, a := range ns.Requests() {
		if a.Node == 0 {
			silent++
		}
	}
	if silent > 10 {
		t.Fatalf("the silent one was asked %d times", silent)
	}
}

// All proxies are gone for a while: calls end by their deadline at the latest, and all is well
// once they are back.
func TestAllProxiesGoneAndBack(t *testing.T) {
	c, ns := proxies(t, 2, Options{Read: Class{"read", Safe, 500 * ms, 0}}, serve)
	if _, err := c.Get(context.Background(), "k"); err != nil {
		t.Fatal(err)
	}
	ns.Stop(0)
	ns.Stop(1)
	failed := 0
	for end := time.Now().Add(5 * time.Second); time.Now().Before(end); time.Sleep(20 * ms) {
		begun := time.Now()
		if _, err := c.Get(context.Background(), "k"); !errors.Is(err, ErrUnavailable) && !errors.Is(err, ErrDeadline) && !errors.Is(err, ErrFailed) {
			t.Fatalf("got %v", err)
		}
		if took := time.Since(begun); took > 10*time.Second {
			t.Fatalf("took %v", took)
		}
		failed++
	}
	if dials := c.Stats().Dials; dials > 60 || failed < 5 {
		t.Fatalf("%d attempts to connect for %d calls", dials, failed)
	}
	for i := range 2 {
		if err := ns.Restart(i); err != nil {
			t.Fatal(err)
		}
	}
	testutil.WaitUntil(t, "served again", func() bool {
		_, err := c.Get(context.Background(), "k")
		return err == nil
	})
}

// A proxy that half closes what idles costs no call anything, also an unsafe one.
func TestHalfClose(t *testing.T) {
	c, ns := proxies(t, 2, Options{Write: Plain, Spread: ms}, serve)
	for range 20 {
		if _, err := c.Set(context.Background(), "k", nil); err != nil {
			t.Fatal(err)
		}
		ns.HalfClose(0)
		ns.HalfClose(1)
		testutil.WaitUntil(t, "the connections are closed", func() bool { return c.Stats().Conns == 0 })
	}
}

// A context that is cancelled before the list, while connecting, while waiting for room, while the request is
// written, while its answer is due, and in a pause: the call ends, and says what is known.
func TestContextCancelledInEachState(t *testing.T) {
	cancelled := func(t *testing.T, c *Client, r Request, when func() bool, want error) {
		t.Helper()
		ctx, cancel := context.WithCancel(context.Background())
		ended := make(chan error, 1)
		go func() {
			_, err := c.Do(ctx, r)
			ended <- err
		}()
		testutil.WaitUntil(t, "the state", when)
		cancel()
		if err := testutil.Receive(t, "the end", ended); !errors.Is(err, want) || !errors.Is(err, context.Canceled) {
			t.Fatalf("got %v, want %v", err, want)
		}
	}
	write := Request{Key: "k", Set: true, Value: []byte("v"), Class: Class{"write", Keyed, time.Minute, 0}}
	patient := Options{Read: Class{"read", Safe, time.Minute, 0}, Window: time.Minute, Tries: 2}
	t.Run("no list", func(t *testing.T) {
		o := patient
		o.Proxies = silentSource{}
		c := open(t, o)
		cancelled(t, c, write, func() bool { return c.Stats().Waiting == 1 }, context.Canceled)
	})
	t.Run("connecting", func(t *testing.T) {
		o := patient
		o.Dial = blockedDial
		c, _ := proxies(t, 1, o, serve)
		cancelled(t, c, write, func() bool { return c.Stats().Waiting == 1 }, context.Canceled)
	})
	t.Run("room", func(t *testing.T) {
		o := patient
		o.Conns, o.Depth = 1, 1
		c, _ := proxies(t, 1, o, func(int, scriptednode.ReceivedRequest) scriptednode.Reaction { return scriptednode.Hang })
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		var other sync.WaitGroup
		other.Go(func() { c.Get(ctx, "other") })
		defer other.Wait()
		defer cancel()
		testutil.WaitUntil(t, "the other is out", func() bool { return c.Stats().InFlight == 1 })
		cancelled(t, c, write, func() bool { return c.Stats().Waiting == 1 }, context.Canceled)
	})
	t.Run("writing", func(t *testing.T) {
		o := patient
		o.Conns, o.Depth = 1, 256
		c, _ := proxies(t, 1, o, func(int, scriptednode.ReceivedRequest) scriptednode.Reaction { return scriptednode.Hang }) // it reads no further
		big := write
		big.Value = make([]byte, meta.MaxValue)
		ctx, cancel := context.WithCancel(context.Background())
		var others sync.WaitGroup
		for range 200 {
			others.Go(func() { c.Do(ctx, big) })
		}
		testutil.WaitUntil(t, "all are out", func() bool { return c.Stats().InFlight == 200 })
		cancelled(t, c, big, func() bool { return c.Stats().InFlight == 201 }, ErrUnknown)
		cancel()
		others.Wait()
	})
	t.Run("answer", func(t *testing.T) {
		c, ns := proxies(t, 1, patient, func(int, scriptednode.ReceivedRequest) scriptednode.Reaction { return scriptednode.Hang })
		cancelled(t, c, write, func() bool { return len(ns.Requests()) == 1 }, ErrUnknown)
		cancelled(t, c, Request{Key: "k"}, func() bool { return c.Stats().InFlight == 1 }, context.Canceled)
	})
	t.Run("pause", func(t *testing.T) {
		c, ns := proxies(t, 1, patient, func(int, scriptednode.ReceivedRequest) scriptednode.Reaction { return scriptednode.BusyRetryAfter })
		cancelled(t, c, write, func() bool { return len(ns.Requests()) == 1 && c.Stats().InFlight == 0 }, context.Canceled)
	})
}

type silentSource struct{}

func (silentSource) Follow(ctx context.Context, _ func([]string)) error {
	<-ctx.Done()
	return ctx.Err()
}

// A list that empties stays as it was; a proxy that leaves it gets nothing new.
func TestListThatEmpties(t *testing.T) {
	path := filepath.Join(t.TempDir(), "proxies")
	var told atomic.Int64
	var empty atomic.Int64
	o := Options{Proxies: fileSource{path, 10 * ms}, Trace: Trace{List: func(list []string, err error) {
		if err != nil {
			empty.Add(1)
		} else {
			told.Add(1)
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
	write("127.0.0.1:1 # no one's\n")
	c, ns := proxies(t, 2, o, serve)
	testutil.WaitUntil(t, "the first list", func() bool { return told.Load() == 1 })
	write(ns.Address(0) + "\n" + ns.Address(1) + "\n")
	testutil.WaitUntil(t, "the second list", func() bool { return told.Load() == 2 })
	if _, err := c.Get(context.Background(), "k"); err != nil {
		t.Fatal(err)
	}
	write("# none\n")
	testutil.WaitUntil(t, "the empty list", func() bool { return empty.Load() > 0 })
	for range 20 {
		if _, err := c.Get(context.Background(), "k"); err != nil {
			t.Fatal(err)
		}
	}
	write(ns.Address(1) + "\n")
	testutil.WaitUntil(t, "the last list", func() bool { return told.Load() == 3 })
	before := len(ns.Requests())
	for range 20 {
		if _, err := c.Get(context.Background(), "k"); err != nil {
			t.Fatal(err)
		}
	}
	for _, a := range ns.Requests()[before:] {
		if a.Node == 0 {
			t.Fatal("one that has left the list was asked")
		}
	}
}

// The wall clock is set forward while a handover is out: its window may be over, so it is
// not sent again.
func TestClockSteps(t *testing.T) {
	var step atomic.Int64
	real := systemClock()
	o := Options{clock: func() retry.Timestamp {
		now := real()
		now.Wall += time.Duration(step.Load())
		return now
	}}
	for _, c := range []struct {
		by   time.Duration
		want error
	}{{-time.Hour, nil}, {time.Hour, ErrUnknown}} {
		step.Store(0)
		client, _ := proxies(t, 1, o, func(number int, _ scriptednode.ReceivedRequest) scriptednode.Reaction {
			if number == 0 {
				step.Store(int64(c.by))
				return scriptednode.Reset
			}
			return scriptednode.Serve
		})
		if _, err := client.Set(context.Background(), "k", nil); c.want == nil && err != nil || !errors.Is(err, c.want) {
			t.Fatalf("by %v: got %v, want %v", c.by, err, c.want)
		}
	}
}

// Ten thousand goroutines on one client: bounded connections, each call its own answer.
func TestTenThousandGoroutines(t *testing.T) {
	c, ns := proxies(t, 3, Options{Read: Class{"read", Safe, time.Minute, 0}}, serve)
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
	if all, _ := ns.Accepted(); failed.Load() > 0 || all > 12 {
		t.Fatalf("%d failed, over %d connections", failed.Load(), all)
	}
}

// More calls than may wait are refused at once.
func TestWaitingIsBounded(t *testing.T) {
	c := open(t, Options{Proxies: silentSource{}, MaxWaiting: 10, Read: Class{"read", Safe, 300 * ms, 0}})
	var tasks sync.WaitGroup
	var refused, deadline atomic.Int64
	for range 30 {
		tasks.Go(func() {
			_, err := c.Get(context.Background(), "k")
			if errors.Is(err, ErrRefused) {
				refused.Add(1)
			} else if errors.Is(err, ErrDeadline) && errors.Is(err, context.DeadlineExceeded) || errors.Is(err, ErrUnavailable) {
				deadline.Add(1)
			}
		})
	}
	tasks.Wait()
	if refused.Load() != 20 || deadline.Load() != 10 {
		t.Fatalf("%d refused, %d over", refused.Load(), deadline.Load())
	}
}

// Close ends what is under way, a write as unknown; Shutdown waits for it.
func TestCloseAndShutdown(t *testing.T) {
	for _, c := range []struct {
		set  bool
		want error
	}{{false, ErrClosed}, {true, ErrUnknown}} {
		client, ns := proxies(t, 1, Options{}, func(int, scriptednode.ReceivedRequest) scriptednode.Reaction { return scriptednode.Hang })
		ended := make(chan error, 1)
		go func() {
			_, err := client.Do(context.Background(), Request{Key: "k", Set: c.set})
			ended <- err
		}()
		testutil.WaitUntil(t, "it is out", func() bool { return len(ns.Requests()) == 1 })
		client.Close()
		if err := testutil.Receive(t, "the end", ended); !errors.Is(err, c.want) || !errors.Is(err, ErrClosed) {
			t.Fatalf("got %v", err)
		}
		if _, err := client.Get(context.Background(), "k"); !errors.Is(err, ErrClosed) {
			t.Fatal(err)
		}
	}
	client, ns := proxies(t, 1, Options{}, func(int, scriptednode.ReceivedRequest) scriptednode.Reaction { return scriptednode.Slow })
	ended := make(chan error, 1)
	go func() {
		_, err := client.Get(context.Background(), "k")
		ended <- err
	}()
	testutil.WaitUntil(t, "it is out", func() bool { return len(ns.Requests()) == 1 })
	if err := client.Shutdown(context.Background()); err != nil {
		t.Fatal(err)
	}
	if err := testutil.Receive(t, "the end", ended); err != nil {
		t.Fatal(err)
	}
}

// What can't be sent is told before anything is; options that can't be are told all at once.
func TestInvalid(t *testing.T) {
	c, ns := proxies(t, 1, Options{}, serve)
	for _, r := range []Request{{}, {Key: "a b"}, {Key: "a\r\nms"}, {Key: strings.Repeat("k", 251)}, {Key: "k", Set: true, Value: make([]byte, meta.MaxValue+1)},
		{Key: "k", Value: []byte{}}, {Key: "k", Class: Class{"a,b=c", Safe, time.Second, 0}}, {Key: "k", Tenant: "a b"}, {Key: "k", Set: true, Idempotency: "a,b"},
		{Key: "k", Set: true, Class: Plain, Idempotency: "k"}, {Key: "k", Class: Class{"read", 7, time.Second, 0}}} {
		if _, err := c.Do(context.Background(), r); !errors.Is(err, ErrInvalid) {
			t.Fatalf("%.40v: %v", r, err)
		}
	}
	if n := len(ns.Requests()); n != 0 {
		t.Fatalf("%d were sent", n)
	}
	_, err := New(Options{Tries: -1, Subset: 1000, Spread: -1, Idle: -1, Tenant: " ", Read: Class{Name: "x"}, Window: 2 * time.Hour})
	if err == nil || strings.Count(err.Error(), "\n") != 7 {
		t.Fatalf("%v", err)
	}
}

// Connections that idle are closed, and nothing wakes up for them.
func TestIdleConnectionsAreClosed(t *testing.T) {
	c, _ := proxies(t, 2, Options{Idle: 20 * ms}, serve)
	for range 3 {
		if _, err := c.Get(context.Background(), "k"); err != nil {
			t.Fatal(err)
		}
		testutil.WaitUntil(t, "closed", func() bool { return c.Stats().Conns == 0 })
	}
}

// Hooks tell of all that happens to a call, and of an answer that came too late.
func TestTrace(t *testing.T) {
	var mu sync.Mutex
	var seen []string
	note := func(format string, a ...any) {
		mu.Lock()
		defer mu.Unlock()
		seen = append(seen, fmt.Sprintf(format, a...))
	}
	c, _ := proxies(t, 1, Options{Conns: 1, Trace: Trace{
		DialStart:    func(string) { note("dial") },
		DialDone:     func(_ string, _ time.Duration, err error) { note("dialled %v", err) },
		TryStart:     func(i TryInfo) { note("try %s %s %v", i.Op, i.Key, i.Repeat) },
		TryDone:      func(i TryInfo) { note("tried %s", i.Outcome) },
		LateAnswer:   func(i TryInfo) { note("late %s", i.Outcome) },
		CallDone:     func(i CallInfo) { note("call %s %s %d %v", i.Op, i.Key, i.Tries, i.Err) },
		Disconnected: func(_ string, err error) { note("gone %v", err) },
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
	want := "dial|dialled <nil>|try get k false|tried refused|try get k true|tried silent|call get k 2 mulleinpier: get \"k\": deadline exceeded after 2 tries: context deadline exceeded|late served|gone <nil>"
	if got := strings.Join(seen, "|"); got != want {
		t.Fatalf("got  %s\nwant %s", got, want)
	}
}

// A proxy that has ended an idle connection is noticed before an unsafe write goes out on it, however soon: no
// sweep comes between.
func TestEndedConnectionIsNoticedBeforeAWrite(t *testing.T) {
	for range 20 {
		c, ns := proxies(t, 1, Options{Write: Plain, Spread: ms, Idle: time.Hour}, serve)
		if _, err := c.Set(context.Background(), "k", nil); err != nil {
			t.Fatal(err)
		}
		ns.HalfClose(0)
		time.Sleep(5 * ms) // its end crosses the loopback
		if _, err := c.Set(context.Background(), "k", nil); err != nil {
			t.Fatal(err)
		}
	}
}

// What was still to be written when its connection ended never ran: an unsafe write of that kind is sent
// again, one that was written is not.
func TestUnwrittenIsSentAgain(t *testing.T) {
	near, far := net.Pipe() // takes nothing that its reader does not ask for
	var dials atomic.Int64
	ns, err := scriptednode.Start(scriptednode.Meta, 1, serve)
	if err != nil {
		t.Fatal(err)
	}
	defer ns.Close()
	c := open(t, Options{Proxies: Static("a:1"), Conns: 1, Spread: ms, Write: Class{"plain", Unsafe, time.Minute, 0}, Tries: 2,
		Dial: func(ctx context.Context, network, _ string) (net.Conn, error) {
			if dials.Add(1) == 1 {
				return near, nil
			}
			return (&net.Dialer{}).DialContext(ctx, network, ns.Address(0))
		}})
	ended := make(chan error, 2)
	set := func(key string) {
		_, err := c.Set(context.Background(), key, nil)
		ended <- err
	}
	go set("first")
	testutil.WaitUntil(t, "the first is out", func() bool { return c.Stats().InFlight == 1 })
	go set("second") // behind the first, which nobody reads
	testutil.WaitUntil(t, "the second is out", func() bool { return c.Stats().InFlight == 2 })
	buf := make([]byte, 1024)
	if n, err := far.Read(buf); err != nil || !bytes.HasPrefix(buf[:n], []byte("ms first ")) || bytes.Contains(buf[:n], []byte("second")) {
		t.Fatalf("%q, %v", buf[:n], err)
	}
	far.Close()
	var unknown, served int
	for range 2 {
		switch err := testutil.Receive(t, "an end", ended); {
		case err == nil:
			served++
		case errors.Is(err, ErrUnknown):
			unknown++
		default:
			t.Fatal(err)
		}
	}
	if asked := ns.Requests(); unknown != 1 || served != 1 || len(asked) != 1 || asked[0].Key != "second" {
		t.Fatalf("%d unknown, %d served, %+v", unknown, served, asked)
	}
}

// A connection on which a try was given up for want of an answer takes no more: what is put behind would wait too.
func TestSilentConnectionTakesNoMore(t *testing.T) {
	c, ns := proxies(t, 1, Options{Conns: 2, Read: Class{"read", Safe, 300 * ms, 0}, RetryRatio: -1}, first(scriptednode.Hang))
	if _, err := c.Get(context.Background(), "k"); !errors.Is(err, ErrDeadline) {
		t.Fatal(err)
	}
	for range 5 {
		if _, err := c.Get(context.Background(), "k"); err != nil {
			t.Fatal(err)
		}
	}
	if all, _ := ns.Accepted(); all != 2 {
		t.Fatalf("%d connections", all)
	}
}

// Proxies that refuse nine in ten, and give no advice, are spared most of what would be refused again; once
// they take all, all goes out.
func TestPaceSparesAServiceWithoutRoom(t *testing.T) {
	var calm atomic.Bool
	c, ns := proxies(t, 1, Options{Tries: 1, Conns: 1}, func(number int, _ scriptednode.ReceivedRequest) scriptednode.Reaction {
		if number%10 == 0 || calm.Load() {
			return scriptednode.Serve
		}
		return scriptednode.Busy
	})
	calls := 1500
	for range calls {
		var e *Error
		if _, err := c.Get(context.Background(), "k"); err != nil && (!errors.Is(err, ErrRefused) || !errors.As(err, &e)) {
			t.Fatal(err)
		}
		time.Sleep(ms)
	}
	withheld := int(c.Stats().Throttled)
	if n := len(ns.Requests()); n+withheld != calls || withheld < calls/3 || n < calls/20 {
		t.Fatalf("%d asked and %d withheld of %d", n, withheld, calls)
	}
	calm.Store(true)
	testutil.WaitUntil(t, "a hundred served in a row", func() bool {
		for range 100 {
			if _, err := c.Get(context.Background(), "k"); err != nil {
				return false
			}
		}
		return true
	})
}
