package client

import (
	"context"
	"errors"
	"net"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"mulleinpier/internal/fake/scriptednode"
	"mulleinpier/internal/testutil"
)

// TestSilentProxy checks that reads are retried at the other proxy if one of two accepts connections but never answers,
// and that later reads soon go directly to the proxy that answers.
func TestSilentProxy(t *testing.T) {
	o := Options{Read: Class{Name: "read", Effect: Safe, Wait: time.Second}, RetryRatio: 1}
	c, ns := newTestClient(t, 2, o, func(_ int, r scriptednode.ReceivedRequest) scriptednode.Reaction {
		if r.Node == 0 {
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
		t.Fatalf("%d requests went to the silent proxy", silent)
	}
}

// TestAllProxiesGoneAndBack checks that calls end by their deadline while all proxies are down, and are served again
// once the proxies are back.
func TestAllProxiesGoneAndBack(t *testing.T) {
	o := Options{Read: Class{Name: "read", Effect: Safe, Wait: 500 * ms}}
	c, ns := newTestClient(t, 2, o, always(scriptednode.Serve))
	if _, err := c.Get(context.Background(), "k"); err != nil {
		t.Fatal(err)
	}
	ns.Stop(0)
	ns.Stop(1)
	failed := 0
	for end := time.Now().Add(5 * time.Second); time.Now().Before(end); time.Sleep(20 * ms) {
		start := time.Now()
		_, err := c.Get(context.Background(), "k")
		if !errors.Is(err, ErrUnavailable) && !errors.Is(err, ErrDeadline) && !errors.Is(err, ErrFailed) {
			t.Fatalf("got %v", err)
		}
		if took := time.Since(start); took > 10*time.Second {
			t.Fatalf("took %v", took)
		}
		failed++
	}
	if dials := c.Stats().Dials; dials > 60 || failed < 5 {
		t.Fatalf("%d dials for %d calls", dials, failed)
	}
	for i := range 2 {
		if err := ns.Restart(i); err != nil {
			t.Fatal(err)
		}
	}
	testutil.WaitUntil(t, "a call is served again", func() bool {
		_, err := c.Get(context.Background(), "k")
		return err == nil
	})
}

// TestHalfClosedConnectionsFailNoCall checks that no call fails because a proxy half-closes idle connections, not even
// an unsafe write.
func TestHalfClosedConnectionsFailNoCall(t *testing.T) {
	c, ns := newTestClient(t, 2, Options{Write: Plain, Spread: ms}, always(scriptednode.Serve))
	for range 20 {
		if _, err := c.Set(context.Background(), "k", nil); err != nil {
			t.Fatal(err)
		}
		ns.HalfClose(0)
		ns.HalfClose(1)
		testutil.WaitUntil(t, "the connections are closed", func() bool { return c.Stats().Conns == 0 })
	}
}

// TestIdleConnectionsAreClosed checks that idle connections are closed and that later calls are served on new ones.
func TestIdleConnectionsAreClosed(t *testing.T) {
	c, _ := newTestClient(t, 2, Options{Idle: 20 * ms}, always(scriptednode.Serve))
	for range 3 {
		if _, err := c.Get(context.Background(), "k"); err != nil {
			t.Fatal(err)
		}
		testutil.WaitUntil(t, "the connections are closed", func() bool { return c.Stats().Conns == 0 })
	}
}

// TestClosedConnectionIsNoticedBeforeAWrite checks that an unsafe write is not sent on an idle connection that the
// proxy has closed, even if no sweep has noticed the close before.
func TestClosedConnectionIsNoticedBeforeAWrite(t *testing.T) {
	for range 20 {
		c, ns := newTestClient(t, 1, Options{Write: Plain, Spread: ms, Idle: time.Hour}, always(scriptednode.Serve))
		if _, err := c.Set(context.Background(), "k", nil); err != nil {
			t.Fatal(err)
		}
		ns.HalfClose(0)
		time.Sleep(5 * ms) // the proxy's close has arrived after this time
		if _, err := c.Set(context.Background(), "k", nil); err != nil {
			t.Fatal(err)
		}
	}
}

// TestUnwrittenRequestIsSentAgain checks that an unsafe write that was not written when its connection ended is sent
// again, since it never ran, and that one that was written is not.
func TestUnwrittenRequestIsSentAgain(t *testing.T) {
	clientEnd, proxyEnd := net.Pipe() // a write blocks until the other end reads it
	var dials atomic.Int64
	ns, err := scriptednode.Start(scriptednode.Meta, 1, always(scriptednode.Serve))
	if err != nil {
		t.Fatal(err)
	}
	defer ns.Close()
	c := open(t, Options{
		Proxies: Static("a:1"),
		Conns:   1,
		Spread:  ms,
		Write:   Class{Name: "plain", Effect: Unsafe, Wait: time.Minute},
		Tries:   2,
		Dial: func(ctx context.Context, network, _ string) (net.Conn, error) {
			if dials.Add(1) == 1 {
				return clientEnd, nil
			}
			return (&net.Dialer{}).DialContext(ctx, network, ns.Address(0))
		},
	})
	ended := make(chan error, 2)
	set := func(key string) {
		_, err := c.Set(context.Background(), key, nil)
		ended <- err
	}
	go set("first")
	testutil.WaitUntil(t, "the first is in flight", func() bool { return c.Stats().InFlight == 1 })
	go set("second") // queued behind the first request, which the proxy does not read
	testutil.WaitUntil(t, "the second is in flight", func() bool { return c.Stats().InFlight == 2 })
	buf := make([]byte, 1024)
	n, err := proxyEnd.Read(buf)
	written := string(buf[:n])
	if err != nil || !strings.HasPrefix(written, "ms first ") || strings.Contains(written, "second") {
		t.Fatalf("%q, %v", written, err)
	}
	proxyEnd.Close()
	var unknown, served int
	for range 2 {
		switch err := testutil.Receive(t, "the end of a call", ended); {
		case err == nil:
			served++
		case errors.Is(err, ErrUnknown):
			unknown++
		default:
			t.Fatal(err)
		}
	}
	if requests := ns.Requests(); unknown != 1 || served != 1 || len(requests) != 1 || requests[0].Key != "second" {
		t.Fatalf("%d unknown, %d served, %+v", unknown, served, requests)
	}
}

// TestNoRequestsAfterATimeout checks that a connection on which an attempt timed out takes no more requests, because
// they would wait behind the unanswered one.
func TestNoRequestsAfterATimeout(t *testing.T) {
	o := Options{Conns: 2, Read: Class{Name: "read", Effect: Safe, Wait: 300 * ms}, RetryRatio: -1}
	c, ns := newTestClient(t, 1, o, first(scriptednode.Hang))
	if _, err := c.Get(context.Background(), "k"); !errors.Is(err, ErrDeadline) {
		t.Fatal(err)
	}
	for range 5 {
		if _, err := c.Get(context.Background(), "k"); err != nil {
			t.Fatal(err)
		}
	}
	if all, _ := ns.ConnectionCounts(); all != 2 {
		t.Fatalf("%d connections", all)
	}
}
