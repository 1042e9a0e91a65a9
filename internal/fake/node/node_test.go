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

type peer struct {
	t      *testing.T
	socket net.Conn
	in     *bufio.Reader
}

func start(t *testing.T, c Config) (*Node, *origin.Origin) {
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

func dial(t *testing.T, n *Node) *peer {
	t.Helper()
	socket, err := net.Dial("tcp", n.Address())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { socket.Close() })
	socket.SetDeadline(time.Now().Add(testutil.Timeout))
	return &peer{t, socket, bufio.NewReader(socket)}
}

func (p *peer) send(format string, a ...any) { fmt.Fprintf(p.socket, format, a...) }

// answer returns an answer with its value, "" for the end of the connection.
func (p *peer) answer() string {
	p.t.Helper()
	line, err := p.in.ReadString('\n')
	if errors.Is(err, os.ErrDeadlineExceeded) {
		p.t.Fatal("no answer")
	}
	var size int
	if n, _ := fmt.Sscanf(line, "VA %d", &size); n == 1 && size < 1<<20 {
		value := make([]byte, size+2)
		io.ReadFull(p.in, value)
		line += string(value)
	}
	return line
}

func TestReadsThroughOnceAndKeeps(t *testing.T) {
	n, o := start(t, Config{Name: "n", ReportLoad: true})
	p := dial(t, n)
	for i, flag := range []string{"h0", "h1", "h1"} {
		p.send("mg k v O%d Pc=read,d=1000\r\n", i)
		if got := p.answer(); !strings.Contains(got, fmt.Sprintf(" O%d %s Linflight=", i, flag)) || !strings.Contains(got, "\r\nk n ") {
			t.Errorf("answered %q, want %s", got, flag)
		}
	}
	if s := n.Stats(); s.Hits != 2 || s.Misses != 1 || o.Stats().Fetches != 1 {
		t.Errorf("counted %+v", s)
	}
}

// TestRepeatsAreDroppedByAllNodes guards the window that writes rely on, and that
// what a write changed is not kept.
func TestRepeatsAreDroppedByAllNodes(t *testing.T) {
	group := NewGroup(time.Hour)
	a, o := start(t, Config{Name: "a", Group: group})
	b, _ := start(t, Config{Name: "b", Group: group, Origin: o})
	pa, pb := dial(t, a), dial(t, b)
	pb.send("mg k v O1 Pc=read\r\n")
	pb.answer()
	pa.send("ms k 2 O2 Pc=write,k=x\r\nhi\r\n")
	first := pa.answer()
	pb.send("ms k 2 O3 Pc=write,k=x\r\nhi\r\n")
	second := pb.answer()
	if _, receipt, ok := strings.Cut(first, " c"); !ok || second != "HD O3 c"+receipt {
		t.Errorf("the repeat was answered %q after %q", second, first)
	}
	if o.EffectCount("k", "x") != 1 || b.Stats().Repeats != 1 {
		t.Errorf("carried out %d times", o.EffectCount("k", "x"))
	}
	if b.HasCached("k") {
		t.Error("a copy outlived the write")
	}
}

// TestForgottenRepeatIsCarriedOutAgain guards against a stand-in that hides what
// a proxy does too late.
func TestForgottenRepeatIsCarriedOutAgain(t *testing.T) {
	n, o := start(t, Config{Group: NewGroup(time.Nanosecond)})
	p := dial(t, n)
	for i := range 2 {
		p.send("ms k 2 O%d Pc=write,k=x\r\nhi\r\n", i)
		p.answer()
	}
	if o.EffectCount("k", "x") != 2 {
		t.Errorf("carried out %d times, want 2", o.EffectCount("k", "x"))
	}
}

// TestEachFaultIsCaused guards the faults: each shows at the socket as what it
// stands for, and is over when it is lifted.
func TestEachFaultIsCaused(t *testing.T) {
	well := func(t *testing.T, n *Node) {
		t.Helper()
		if err := n.SetFault(Fault{}); err != nil {
			t.Fatal(err)
		}
		p := dial(t, n)
		p.send("mg k v Owell Pc=read\r\n")
		if got := p.answer(); !strings.HasPrefix(got, "VA ") {
			t.Errorf("well again, it answered %q", got)
		}
	}
	silent := func(p *peer) bool {
		p.socket.SetDeadline(time.Now().Add(100 * time.Millisecond))
		_, err := p.in.Peek(1)
		p.socket.SetDeadline(time.Now().Add(testutil.Timeout))
		return errors.Is(err, os.ErrDeadlineExceeded)
	}
	for _, kind := range Faults {
		t.Run("fault "+string(kind), func(t *testing.T) {
			n, _ := start(t, Config{})
			before := dial(t, n)
			before.send("mg k v O0 Pc=read\r\n")
			before.answer()
			if err := n.SetFault(Fault{Kind: kind, Delay: 50 * time.Millisecond}); err != nil {
				t.Fatal(err)
			}
			before.send("mg k v O1 Pc=read\r\n")
			switch kind {
			case NoFault:
				if got := before.answer(); !strings.HasPrefix(got, "VA ") {
					t.Errorf("answered %q", got)
				}
			case Stall:
				if !silent(before) || !silent(dial(t, n)) {
					t.Error("a stalled node spoke")
				}
				n.SetFault(Fault{})
				if got := before.answer(); !strings.HasPrefix(got, "VA ") {
					t.Errorf("after the stall: %q", got)
				}
			case Reset:
				if got := before.answer(); got != "" {
					t.Errorf("answered %q, want a reset", got)
				}
			case Late:
				begun := time.Now()
				if before.answer(); time.Since(begun) < 50*time.Millisecond {
					t.Errorf("answered after %v", time.Since(begun))
				}
			case Busy:
				if got := before.answer(); got != "SERVER_ERROR busy\r\n" {
					t.Errorf("answered %q", got)
				}
			case Garbage:
				if got := before.answer(); !strings.HasPrefix(got, "VA 3000000000 ") {
					t.Errorf("answered %q", got)
				}
			case ProcessDown:
				if got := before.answer(); got != "" {
					t.Errorf("answered %q", got)
				}
				if c, err := net.Dial("tcp", n.Address()); err == nil {
					c.Close()
					t.Error("a connection came up")
				}
			case MachineDown:
				if !silent(before) {
					t.Error("a vanished machine spoke")
				}
				if c, err := net.DialTimeout("tcp", n.Address(), 100*time.Millisecond); err == nil {
					c.Close()
					t.Error("a connection came up")
				}
			}
			well(t, n)
		})
	}
}

// TestFaultsBefallTheirPart guards counts that scenarios rely on.
func TestFaultsBefallTheirPart(t *testing.T) {
	n, _ := start(t, Config{})
	n.SetFault(Fault{Kind: Busy, OneIn: 3})
	p := dial(t, n)
	busy := 0
	for i := range 12 {
		p.send("mg k v O%d Pc=read\r\n", i)
		if p.answer() == "SERVER_ERROR busy\r\n" {
			busy++
		}
	}
	if busy != 4 {
		t.Errorf("%d of 12 turned away, want 4", busy)
	}
}

// TestBoundsHold guards the queue, the table of connections and the cache.
func TestBoundsHold(t *testing.T) {
	n, _ := start(t, Config{Slots: 1, Queue: 2, ServiceTime: time.Hour, MaxConns: 1})
	p := dial(t, n)
	for i := range 5 {
		p.send("mg k v O%d Pc=read\r\n", i)
	}
	testutil.WaitUntil(t, "two to be turned away", func() bool { return n.Stats().Busy == 2 })
	if socket, err := net.Dial("tcp", n.Address()); err == nil { // else it is reset as it comes up
		defer socket.Close()
		socket.SetDeadline(time.Now().Add(testutil.Timeout))
		if b, err := io.ReadAll(socket); len(b) > 0 || errors.Is(err, os.ErrDeadlineExceeded) {
			t.Errorf("a connection past the table was answered %q, %v", b, err)
		}
	}
	c := newCache(2)
	for _, key := range []string{"a", "b", "a", "c"} {
		c.add(key)
	}
	if !c.has("a") || c.has("b") || !c.has("c") || len(c.elements) != 2 {
		t.Errorf("the cache holds %v", c.elements)
	}
}

// TestColdNodeFallsWhenOverrun guards the fourth rule's witness: a cold node does
// less, and one that is sent far more than it can do falls and stays down.
func TestColdNodeFallsWhenOverrun(t *testing.T) {
	c := Config{Slots: 2, Queue: 1000, ServiceTime: 100 * time.Millisecond, Cold: true, ColdCapacityShare: 0.1, WarmUpTime: time.Hour, CollapseTime: time.Hour,
		CollapseLoadFactor: 0.001} // 7.2 requests in the hour
	n, _ := start(t, c)
	p := dial(t, n)
	for i := range 7 {
		p.send("mg k v O%d Pc=read\r\n", i)
	}
	testutil.WaitUntil(t, "seven to have come", func() bool { return n.Stats().Requests == 7 })
	if n.Stats().Collapsed {
		t.Fatal("it fell within what it stands")
	}
	p.send("mg k v O8 Pc=read\r\n")
	testutil.WaitUntil(t, "the node to fall", func() bool { return n.Stats().Collapsed })
	if err := n.Restart(); err != nil {
		t.Fatal(err)
	}
	if n.Stats().Collapsed || n.Started().IsZero() || n.HasCached("k") {
		t.Error("a restart left something behind")
	}
}

func TestDrainingNodeTurnsAway(t *testing.T) {
	n, _ := start(t, Config{})
	n.SetDraining(true)
	p := dial(t, n)
	p.send("mg k v O1 Pc=read\r\n")
	if got := p.answer(); got != "SERVER_ERROR busy\r\n" {
		t.Errorf("answered %q", got)
	}
}

// TestBinaryNodeSpeaksNothingElse guards the other dialect: reads, writes, misses,
// refusals and noise as binary nodes say them.
func TestBinaryNodeSpeaksNothingElse(t *testing.T) {
	n, o := start(t, Config{Name: "b", Binary: true, MissingKeyPrefix: "none", LedgerByValue: true})
	p := dial(t, n)
	next := func(status binary.Status) rawclient.Response {
		t.Helper()
		r, err := rawclient.ReadResponse(p.in)
		if err != nil || r.Status != status || r.Opaque != 5 {
			t.Fatalf("%+v, %v, want status %#x", r, err, status)
		}
		return r
	}
	p.send("%s", rawclient.AppendKeyOnly(nil, binary.Get, "k", 5))
	if r := next(binary.OK); !strings.HasPrefix(r.Value, "k b 1 ") {
		t.Errorf("read %q", r.Value)
	}
	p.send("%s", rawclient.AppendKeyOnly(nil, binary.Get, "none", 5))
	next(binary.NotFound)
	p.send("%s", rawclient.AppendSet(nil, binary.Set, "k", "v", 5, 0))
	if r := next(binary.OK); r.CAS == 0 || o.EffectCount("k", "v") != 1 {
		t.Errorf("receipt %d, carried out %d times", r.CAS, o.EffectCount("k", "v"))
	}
	n.SetDraining(true)
	p.send("%s", rawclient.AppendKeyOnly(nil, binary.Get, "k", 5))
	next(binary.Busy)
	n.SetDraining(false)
	n.SetFault(Fault{Kind: Garbage})
	p.send("%s", rawclient.AppendKeyOnly(nil, binary.Get, "k", 5))
	if r, err := rawclient.ReadResponse(p.in); err == nil {
		t.Errorf("noise was read as %+v", r)
	}
	p = dial(t, n)
	p.send("mg k v O1 Pc=read,t=acme,d=480\r\n")
	if got := p.answer(); got != "" {
		t.Errorf("the other dialect was answered %q", got)
	}
}
