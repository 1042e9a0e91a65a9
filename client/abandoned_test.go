package client

import (
	"context"
	"crypto/tls"
	"errors"
	"net"
	"sync"
	"syscall"
	"testing"
	"time"

	"mulleinpier/internal/fake/link"
	"mulleinpier/internal/fake/scriptednode"
	"mulleinpier/internal/testutil"
)

// linkedProxies are scripted proxies, each behind a link.
type linkedProxies struct {
	*scriptednode.Nodes
	links map[string]*link.Link // by address
}

// newLinkedProxies starts proxies that carry out each request.
func newLinkedProxies(t *testing.T, count int) *linkedProxies {
	t.Helper()
	nodes, err := scriptednode.Start(scriptednode.Meta, count, always(scriptednode.Serve))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(nodes.Close)
	proxies := &linkedProxies{Nodes: nodes, links: make(map[string]*link.Link)}
	for i := range count {
		l, err := link.Start(nodes.Address(i))
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(l.Close)
		proxies.links[l.Address()] = l
	}
	return proxies
}

// source lists the addresses of the links.
func (p *linkedProxies) source() Source {
	var list []string
	for address := range p.links {
		list = append(list, address)
	}
	return Static(list...)
}

// cutFirstWrite returns a hook that cuts the link of the first write, just before it is sent.
func (p *linkedProxies) cutFirstWrite() func(TryInfo) {
	var once sync.Once
	return func(info TryInfo) {
		if info.Op == opSet {
			once.Do(p.links[info.Proxy].Cut)
		}
	}
}

// connect makes the client open its first connection. A link resets one that is opened during a cut.
func (p *linkedProxies) connect(t *testing.T, c *Client) {
	t.Helper()
	if _, err := c.Get(context.Background(), "order"); err != nil {
		t.Fatal(err)
	}
}

// checkWrites restores all links, closes the client, waits until everything that was sent has arrived, and checks how
// many writes the proxies have carried out.
func (p *linkedProxies) checkWrites(t *testing.T, c *Client, want int) {
	t.Helper()
	for _, l := range p.links {
		l.Restore()
	}
	c.Close()
	for _, l := range p.links {
		l.CloseWhenDelivered()
	}
	testutil.WaitUntil(t, "the proxies have read all", func() bool {
		_, open := p.ConnectionCounts()
		return open == 0
	})
	writes := 0
	for _, r := range p.Requests() {
		if r.Value != "" {
			writes++
		}
	}
	if writes != want {
		t.Fatalf("proxies carried out %d writes, want %d: %+v", writes, want, p.Requests())
	}
}

// TestTimedOutWriteIsNotDeliveredLate guards against a second effect: a keyed write is sent to a proxy that is cut off,
// times out and is retried elsewhere. Its first attempt must not reach its proxy once the link is restored.
func TestTimedOutWriteIsNotDeliveredLate(t *testing.T) {
	proxies := newLinkedProxies(t, 2)
	c := open(t, Options{Proxies: proxies.source(), Spread: ms, Trace: Trace{TryStart: proxies.cutFirstWrite()}})
	proxies.connect(t, c)
	answer, err := c.Do(context.Background(), Request{Key: "order", Value: []byte("signed"), Set: true})
	if err != nil || answer.Tries != 2 {
		t.Fatalf("%+v, %v", answer, err)
	}
	proxies.checkWrites(t, c, 1)
}

// TestUnansweredWriteNeverRunsAfterSettled guards against a write that is reported as not carried out and runs later: a
// write of any effect is sent to a proxy that is cut off. Once its outcome is settled, it must not reach the proxy.
func TestUnansweredWriteNeverRunsAfterSettled(t *testing.T) {
	const wait = 300 * ms
	for name, class := range map[string]Class{
		"idempotent": {Name: "put", Effect: Safe, Wait: wait},
		"keyed":      {Name: "write", Effect: Keyed, Wait: wait},
		"unsafe":     {Name: "plain", Effect: Unsafe, Wait: wait},
	} {
		for how, callTime := range map[string]time.Duration{"timeout": time.Hour, "canceled": 50 * ms} {
			t.Run(name+" "+how, func(t *testing.T) {
				t.Parallel()
				proxies := newLinkedProxies(t, 1)
				c := open(t, Options{
					Proxies:    proxies.source(),
					Write:      class,
					RetryRatio: -1, // no retries
					Trace:      Trace{TryStart: proxies.cutFirstWrite()},
				})
				proxies.connect(t, c)
				ctx, cancel := context.WithCancel(context.Background())
				stop := time.AfterFunc(callTime, cancel)
				defer stop.Stop()
				defer cancel()
				if _, err := c.Set(ctx, "order", []byte("signed")); err == nil {
					t.Fatal("served over a link that is cut")
				}
				testutil.WaitUntil(t, "the connection is closed", func() bool { return c.Stats().Conns == 0 })
				proxies.checkWrites(t, c, 0)
			})
		}
	}
}

// TestClosedClientDeliversNothingLate guards against a write that runs after its caller has been told that the client
// is closed: its bytes must not follow when the link is restored.
func TestClosedClientDeliversNothingLate(t *testing.T) {
	proxies := newLinkedProxies(t, 1)
	c := open(t, Options{Proxies: proxies.source(), Trace: Trace{TryStart: proxies.cutFirstWrite()}})
	proxies.connect(t, c)
	ended := make(chan error, 1)
	go func() {
		_, err := c.Set(context.Background(), "order", []byte("signed"))
		ended <- err
	}()
	testutil.WaitUntil(t, "the write is in flight", func() bool { return c.Stats().InFlight == 1 })
	time.Sleep(50 * ms) // the write has been passed to the kernel
	c.Close()
	if err := testutil.Receive(t, "the end of the call", ended); !errors.Is(err, ErrUnknown) {
		t.Fatal(err)
	}
	proxies.checkWrites(t, c, 0)
}

// TestCanceledWriteKeepsItsConnection guards against lost calls of others: a caller that cancels a write which its
// proxy is working on must not end the connection that other calls use.
func TestCanceledWriteKeepsItsConnection(t *testing.T) {
	c, ns := newTestClient(t, 1, Options{Conns: 1, Write: Plain, RetryRatio: -1}, first(scriptednode.Slow))
	ctx, cancel := context.WithCancel(context.Background())
	canceled := make(chan error, 1)
	go func() {
		_, err := c.Set(ctx, "first", []byte("1"))
		canceled <- err
	}()
	testutil.WaitUntil(t, "the first write has arrived", func() bool { return len(ns.Requests()) == 1 })
	other := make(chan error, 1)
	go func() {
		_, err := c.Set(context.Background(), "second", []byte("2"))
		other <- err
	}()
	testutil.WaitUntil(t, "the second write is in flight", func() bool { return c.Stats().InFlight == 2 })
	cancel()
	if err := testutil.Receive(t, "the end of the cancelled call", canceled); !errors.Is(err, ErrUnknown) {
		t.Fatal(err)
	}
	if err := testutil.Receive(t, "the end of the other call", other); err != nil {
		t.Fatal(err)
	}
	if all, _ := ns.ConnectionCounts(); all != 1 {
		t.Fatalf("%d connections", all)
	}
}

// wrappedConn hides the methods of a connection beyond those of net.Conn.
type wrappedConn struct {
	net.Conn
	inner net.Conn
}

// NetConn returns the connection below.
func (w wrappedConn) NetConn() net.Conn { return w.inner }

// TestWrappedConnectionsAreReset guards against late delivery where Options.Dial wraps connections, as TLS does.
func TestWrappedConnectionsAreReset(t *testing.T) {
	for name, wrap := range map[string]func(net.Conn) net.Conn{
		"wrapper": func(c net.Conn) net.Conn { return wrappedConn{c, c} },
		"TLS":     func(c net.Conn) net.Conn { return tls.Client(c, &tls.Config{InsecureSkipVerify: true}) },
	} {
		t.Run(name, func(t *testing.T) {
			listener := testutil.Listen(t)
			socket, err := net.Dial("tcp", listener.Addr().String())
			if err != nil {
				t.Fatal(err)
			}
			accepted, err := listener.Accept()
			if err != nil {
				t.Fatal(err)
			}
			defer accepted.Close()
			closeWithReset(wrap(socket))
			accepted.SetReadDeadline(time.Now().Add(testutil.Timeout))
			if _, err := accepted.Read(make([]byte, 1)); !errors.Is(err, syscall.ECONNRESET) {
				t.Fatalf("the peer sees %v, want a reset", err)
			}
		})
	}
}
