package node

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"strings"
	"testing"
	"time"

	"mulleinpier/internal/binary"
	"mulleinpier/internal/fake/origin"
	"mulleinpier/internal/fake/rawclient"
	"mulleinpier/internal/testutil"
)

type testClient struct {
	t      *testing.T
	socket net.Conn
	in     *bufio.Reader
}

func startNode(t *testing.T, c Config) (*Node, *origin.Origin) {
	t.Helper()
	if c.Origin == nil {
		c.Origin = origin.New(origin.Config{Slots: 100, Queue: 100})
		t.Cleanup(c.Origin.Close)
	}
	if c.Group == nil {
		c.Group = NewGroup(time.Hour)
	}
	n, err := Start(c)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(n.Close)
	return n, c.Origin
}

func dial(t *testing.T, n *Node) *testClient {
	t.Helper()
	socket, err := net.Dial("tcp", n.Address())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { socket.Close() })
	socket.SetDeadline(time.Now().Add(testutil.Timeout))
	return &testClient{t, socket, bufio.NewReader(socket)}
}

func (c *testClient) send(format string, arguments ...any) {
	fmt.Fprintf(c.socket, format, arguments...)
}

// answer returns the next answer with its value, "" at the end of the connection.
func (c *testClient) answer() string {
	c.t.Helper()
	line, err := c.in.ReadString('\n')
	if errors.Is(err, os.ErrDeadlineExceeded) {
		c.t.Fatal("no answer")
	}
	var size int
	if n, _ := fmt.Sscanf(line, "VA %d", &size); n == 1 && size < 1<<20 {
		value := make([]byte, size+len("\r\n"))
		io.ReadFull(c.in, value)
		line += string(value)
	}
	return line
}

// isSilent reports whether the client receives nothing for 100 ms.
func (c *testClient) isSilent() bool {
	c.socket.SetDeadline(time.Now().Add(100 * time.Millisecond))
	_, err := c.in.Peek(1)
	c.socket.SetDeadline(time.Now().Add(testutil.Timeout))
	return errors.Is(err, os.ErrDeadlineExceeded)
}

func TestReadThroughCachesValue(t *testing.T) {
	n, o := startNode(t, Config{Name: "n", ReportLoad: true})
	client := dial(t, n)
	for i, flag := range []string{"h0", "h1", "h1"} {
		client.send("mg k v O%d Pc=read,d=1000\r\n", i)
		firstLine := fmt.Sprintf(" O%d %s Linflight=", i, flag)
		if got := client.answer(); !strings.Contains(got, firstLine) || !strings.Contains(got, "\r\nk n ") {
			t.Errorf("answered %q, want %s", got, flag)
		}
	}
	if s := n.Stats(); s.Hits != 2 || s.Misses != 1 || o.Stats().Fetches != 1 {
		t.Errorf("counted %+v", s)
	}
}

// TestGroupDropsRepeatedWrites checks that two nodes of a group execute two writes with the same idempotency key only
// once (guarantee 2), and that a write invalidates the copies that other nodes have cached.
func TestGroupDropsRepeatedWrites(t *testing.T) {
	group := NewGroup(time.Hour)
	a, o := startNode(t, Config{Name: "a", Group: group})
	b, _ := startNode(t, Config{Name: "b", Group: group, Origin: o})
	clientA, clientB := dial(t, a), dial(t, b)
	clientB.send("mg k v O1 Pc=read\r\n")
	clientB.answer()
	clientA.send("ms k 2 O2 Pc=write,k=x\r\nhi\r\n")
	first := clientA.answer()
	clientB.send("ms k 2 O3 Pc=write,k=x\r\nhi\r\n")
	second := clientB.answer()
	if _, receipt, ok := strings.Cut(first, " c"); !ok || second != "HD O3 c"+receipt {
		t.Errorf("the repeat was answered %q after %q", second, first)
	}
	if o.EffectCount("k", "x") != 1 || b.Stats().Repeats != 1 {
		t.Errorf("executed %d times", o.EffectCount("k", "x"))
	}
	if b.HasCached("k") {
		t.Error("a cached copy survived the write")
	}
}

// TestRepeatAfterWindowIsExecuted checks that a duplicate write after the deduplication window is executed. If nodes
// dropped it, fault tests would not detect a proxy that retries too late.
func TestRepeatAfterWindowIsExecuted(t *testing.T) {
	n, o := startNode(t, Config{Group: NewGroup(time.Nanosecond)})
	client := dial(t, n)
	for i := range 2 {
		client.send("ms k 2 O%d Pc=write,k=x\r\nhi\r\n", i)
		client.answer()
	}
	if o.EffectCount("k", "x") != 2 {
		t.Errorf("executed %d times, want 2", o.EffectCount("k", "x"))
	}
}

const lateDelay = 50 * time.Millisecond

// secondAnswerCheck returns a check that a request's second answer has a prefix, and that it comes when the next
// request has arrived, before the answer to that.
func secondAnswerCheck(prefix string) func(t *testing.T, n *Node, c *testClient) {
	return func(t *testing.T, _ *Node, c *testClient) {
		if got := c.answer(); !strings.HasPrefix(got, "VA ") || !c.isSilent() {
			t.Errorf("answered %q, or twice at once", got)
		}
		c.send("mg k v O2 Pc=read\r\n")
		if got := c.answer(); !strings.HasPrefix(got, prefix) {
			t.Errorf("the second answer is %q, want %q", got, prefix)
		}
		if got := c.answer(); !strings.Contains(got, " O2 ") {
			t.Errorf("the next request was answered %q", got)
		}
	}
}

// faultChecks check, for each fault, what a client receives that has sent a request after the fault was set.
var faultChecks = map[FaultKind]func(t *testing.T, n *Node, c *testClient){
	NoFault: func(t *testing.T, _ *Node, c *testClient) {
		if got := c.answer(); !strings.HasPrefix(got, "VA ") {
			t.Errorf("answered %q", got)
		}
	},
	Stall: func(t *testing.T, n *Node, c *testClient) {
		if !c.isSilent() || !dial(t, n).isSilent() {
			t.Error("a stalled node sent something")
		}
		n.SetFault(Fault{})
		if got := c.answer(); !strings.HasPrefix(got, "VA ") {
			t.Errorf("after the stall: %q", got)
		}
	},
	Reset: func(t *testing.T, _ *Node, c *testClient) {
		if got := c.answer(); got != "" {
			t.Errorf("answered %q, want a reset", got)
		}
	},
	Late: func(t *testing.T, _ *Node, c *testClient) {
		sent := time.Now()
		if c.answer(); time.Since(sent) < lateDelay {
			t.Errorf("answered after %v", time.Since(sent))
		}
	},
	Busy: func(t *testing.T, _ *Node, c *testClient) {
		if got := c.answer(); got != "SERVER_ERROR busy\r\n" {
			t.Errorf("answered %q", got)
		}
	},
	Garbage: func(t *testing.T, _ *Node, c *testClient) {
		if got := c.answer(); !strings.HasPrefix(got, "VA 3000000000 ") {
			t.Errorf("answered %q", got)
		}
	},
	SecondBusy:   secondAnswerCheck("SERVER_ERROR busy\r\n"),
	SecondFailed: secondAnswerCheck("SERVER_ERROR failed\r\n"),
	SecondAbsent: secondAnswerCheck("EN\r\n"),
	SecondCopy:   secondAnswerCheck("VA 64 O1 "),
	ProcessDown: func(t *testing.T, n *Node, c *testClient) {
		if got := c.answer(); got != "" {
			t.Errorf("answered %q", got)
		}
		if socket, err := net.Dial("tcp", n.Address()); err == nil {
			socket.Close()
			t.Error("a connection was accepted")
		}
	},
	MachineDown: func(t *testing.T, n *Node, c *testClient) {
		if !c.isSilent() {
			t.Error("an unreachable machine sent something")
		}
		if socket, err := net.DialTimeout("tcp", n.Address(), 100*time.Millisecond); err == nil {
			socket.Close()
			t.Error("a connection was accepted")
		}
	},
}

// TestFaultIsVisibleToClient checks that a client observes the effect of each fault on its socket (guarantee 4), and
// that the node serves requests again once the fault has ended.
func TestFaultIsVisibleToClient(t *testing.T) {
	for _, kind := range Faults {
		t.Run("fault "+string(kind), func(t *testing.T) {
			check := faultChecks[kind]
			if check == nil {
				t.Fatal("the fault has no check")
			}
			n, _ := startNode(t, Config{})
			c := dial(t, n)
			c.send("mg k v O0 Pc=read\r\n")
			c.answer()
			if err := n.SetFault(Fault{Kind: kind, Delay: lateDelay}); err != nil {
				t.Fatal(err)
			}
			c.send("mg k v O1 Pc=read\r\n")
			check(t, n, c)

			if err := n.SetFault(Fault{}); err != nil {
				t.Fatal(err)
			}
			c = dial(t, n)
			c.send("mg k v Oagain Pc=read\r\n")
			if got := c.answer(); !strings.HasPrefix(got, "VA ") {
				t.Errorf("after the fault it answered %q", got)
			}
		})
	}
}

// TestFaultAffectsOneRequestInN checks that OneIn sets the share of affected requests, which fault tests rely on.
func TestFaultAffectsOneRequestInN(t *testing.T) {
	n, _ := startNode(t, Config{})
	n.SetFault(Fault{Kind: Busy, OneIn: 3})
	client := dial(t, n)
	busy := 0
	for i := range 12 {
		client.send("mg k v O%d Pc=read\r\n", i)
		if client.answer() == "SERVER_ERROR busy\r\n" {
			busy++
		}
	}
	if busy != 4 {
		t.Errorf("%d of 12 rejected, want 4", busy)
	}
}

// TestQueueConnectionsAndCacheAreBounded checks that a node limits its executing and queued requests, its connections
// and its cache (guarantee 1).
func TestQueueConnectionsAndCacheAreBounded(t *testing.T) {
	n, _ := startNode(t, Config{Slots: 1, Queue: 2, ServiceTime: time.Hour, MaxConns: 1})
	client := dial(t, n)
	for i := range 5 {
		client.send("mg k v O%d Pc=read\r\n", i)
	}
	testutil.WaitUntil(t, "two requests to be rejected", func() bool { return n.Stats().Busy == 2 })
	if socket, err := net.Dial("tcp", n.Address()); err == nil { // an error means that the node reset it early
		defer socket.Close()
		socket.SetDeadline(time.Now().Add(testutil.Timeout))
		if b, err := io.ReadAll(socket); len(b) > 0 || errors.Is(err, os.ErrDeadlineExceeded) {
			t.Errorf("a connection beyond MaxConns was answered %q, %v", b, err)
		}
	}
	c := newCache(2)
	for _, key := range []string{"a", "b", "a", "c"} {
		c.add(key)
	}
	if !c.touch("a") || c.touch("b") || !c.touch("c") || len(c.elements) != 2 {
		t.Errorf("the cache holds %v", c.elements)
	}
}

// TestColdNodeCollapsesUnderOverload checks that a cold node collapses when it gets far more requests than its reduced
// capacity allows (guarantee 3). Fault tests detect by the collapse that a proxy overloads a cold node.
func TestColdNodeCollapsesUnderOverload(t *testing.T) {
	c := Config{
		Slots:              2,
		Queue:              1000,
		ServiceTime:        100 * time.Millisecond,
		Cold:               true,
		ColdCapacityShare:  0.1,
		WarmUpTime:         time.Hour,
		CollapseTime:       time.Hour,
		CollapseLoadFactor: 0.001, // of the 7200 requests that it can execute in an hour: 7.2 requests
	}
	n, _ := startNode(t, c)
	client := dial(t, n)
	for i := range 7 {
		client.send("mg k v O%d Pc=read\r\n", i)
	}
	testutil.WaitUntil(t, "seven requests to arrive", func() bool { return n.Stats().Requests == 7 })
	if n.Stats().Collapsed {
		t.Fatal("the node collapsed under a load below the limit")
	}
	client.send("mg k v O8 Pc=read\r\n")
	testutil.WaitUntil(t, "the node to collapse", func() bool { return n.Stats().Collapsed })
	if err := n.Restart(); err != nil {
		t.Fatal(err)
	}
	if n.Stats().Collapsed || n.Started().IsZero() || n.HasCached("k") {
		t.Error("a restart did not reset the node")
	}
}

func TestDrainingNodeRejectsRequests(t *testing.T) {
	n, _ := startNode(t, Config{})
	n.SetDraining(true)
	client := dial(t, n)
	client.send("mg k v O1 Pc=read\r\n")
	if got := client.answer(); got != "SERVER_ERROR busy\r\n" {
		t.Errorf("answered %q", got)
	}
}

// TestBinaryNodeSpeaksOnlyBinary checks reads, writes, misses, rejections and malformed answers in the binary protocol,
// and that a meta command gets no answer.
func TestBinaryNodeSpeaksOnlyBinary(t *testing.T) {
	n, o := startNode(t, Config{Name: "b", Binary: true, MissingKeyPrefix: "none", LedgerByValue: true})
	client := dial(t, n)
	next := func(status binary.Status) rawclient.Response {
		t.Helper()
		r, err := rawclient.ReadResponse(client.in)
		if err != nil || r.Status != status || r.Opaque != 5 {
			t.Fatalf("%+v, %v, want status %#x", r, err, status)
		}
		return r
	}
	client.send("%s", rawclient.AppendKeyOnly(nil, binary.Get, "k", 5))
	if r := next(binary.OK); !strings.HasPrefix(r.Value, "k b 1 ") {
		t.Errorf("read %q", r.Value)
	}
	client.send("%s", rawclient.AppendKeyOnly(nil, binary.Get, "none", 5))
	next(binary.NotFound)
	client.send("%s", rawclient.AppendSet(nil, binary.Set, "k", "v", 5, 0))
	if r := next(binary.OK); r.CAS == 0 || o.EffectCount("k", "v") != 1 {
		t.Errorf("receipt %d, executed %d times", r.CAS, o.EffectCount("k", "v"))
	}
	n.SetDraining(true)
	client.send("%s", rawclient.AppendKeyOnly(nil, binary.Get, "k", 5))
	next(binary.Busy)
	n.SetDraining(false)
	n.SetFault(Fault{Kind: Garbage})
	client.send("%s", rawclient.AppendKeyOnly(nil, binary.Get, "k", 5))
	if r, err := rawclient.ReadResponse(client.in); err == nil {
		t.Errorf("a malformed answer was read as %+v", r)
	}
	client = dial(t, n)
	client.send("mg k v O1 Pc=read,t=acme,d=480\r\n")
	if got := client.answer(); got != "" {
		t.Errorf("a meta command was answered %q", got)
	}
}
