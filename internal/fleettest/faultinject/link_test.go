package faultinject

import (
	"io"
	"net"
	"sync"
	"testing"
	"time"

	"mulleinpier/internal/testutil"
)

// Invariant 2: data that a fault holds back arrives completely and in order once the fault ends, and none before.
func TestBlockedLinkDeliversLater(t *testing.T) {
	for _, name := range []string{"forth", "back", "cut"} {
		t.Run(name, func(t *testing.T) {
			l := openLink(t, startEcho(t))
			c, in := dial(t, l.Address())
			send(t, c, "a\n")
			wantLine(t, in, "a\n")
			before := time.Now()
			setFault(t, l, LinkFaults[name](0))
			send(t, c, "b\n")
			send(t, c, "c\n")
			wantSilence(t, c, in)
			if name == "cut" {
				if n, err := net.DialTimeout("tcp", l.Address(), 100*time.Millisecond); err == nil {
					n.Close()
					t.Error("a connection was opened over a cut link")
				}
			}
			setFault(t, l, Fault{})
			wantLine(t, in, "b\n")
			wantLine(t, in, "c\n")
			if !l.FaultySince(before) || l.FaultySince(time.Now()) {
				t.Error("FaultySince is wrong about the time of the fault")
			}
			c, in = dial(t, l.Address())
			send(t, c, "d\n")
			wantLine(t, in, "d\n")
		})
	}
}

func TestLinkDelaysAndResets(t *testing.T) {
	l := openLink(t, startEcho(t))
	c, in := dial(t, l.Address())
	setFault(t, l, LinkFaults["delay"](50*time.Millisecond))
	start := time.Now()
	send(t, c, "a\n")
	wantLine(t, in, "a\n")
	if took := time.Since(start); took < 100*time.Millisecond {
		t.Errorf("round trip in %v, want at least 100ms", took)
	}
	l.Reset()
	if _, err := in.ReadByte(); err == nil {
		t.Error("the connection is still open after a reset")
	}
}

// A link that duplicates sends what it receives on a new connection to the target twice, on two connections.
func TestLinkDuplicates(t *testing.T) {
	received := make(chan string, 10)
	target := startLineServer(t, func(c net.Conn, line string) {
		received <- line
		io.WriteString(c, "ok\n")
	})
	l := openLink(t, target)
	setFault(t, l, LinkFaults["twice"](0))
	c, in := dial(t, l.Address())
	send(t, c, "a\n")
	for range 2 {
		if got := testutil.Receive(t, "the line and its duplicate", received); got != "a" {
			t.Errorf("%q", got)
		}
	}
	wantLine(t, in, "ok\n")
	wantSilence(t, c, in) // the answer to the duplicate is dropped
}

// A connection may be opened just before the backlog is full, and wait there with all that its sender writes. If the
// sender then resets the connection, none of that is delivered once the link accepts connections again.
func TestResetConnectionInBacklogIsNotDelivered(t *testing.T) {
	giveUp := func(c *net.TCPConn) {
		c.SetLinger(0)
		c.Close()
	}
	received := make(chan string, 1000)
	target := startLineServer(t, func(_ net.Conn, line string) { received <- line })
	checkBacklog(t, target, giveUp, received)
}

// The same for a sender that closes its connection: the end of the connection arrives together with the data, so that
// the reader can see that nobody waits for an answer.
func TestClosedConnectionInBacklogIsSeenClosed(t *testing.T) {
	giveUp := func(c *net.TCPConn) { c.Close() }
	received := make(chan string, 1000)
	target := startLineServer(t, func(c net.Conn, line string) {
		if line == "fresh" || !wasClosed(c) {
			received <- line
		}
	})
	checkBacklog(t, target, giveUp, received)
}

// checkBacklog cuts links while connections are being opened, ends these connections by giveUp, and ends the cut. Only
// lines of connections that were opened after the cut may be received.
func checkBacklog(t *testing.T, target string, giveUp func(*net.TCPConn), received <-chan string) {
	t.Helper()
	written := 0
	for range 10 {
		l := openLink(t, target)
		conns := dialUntilCut(t, l)
		for _, c := range conns { // the last of them may wait in the backlog
			if _, err := io.WriteString(c, "given up\n"); err == nil {
				written++
			}
			giveUp(c)
		}
		setFault(t, l, Fault{})
		c, _ := dial(t, l.Address())
		send(t, c, "fresh\n")
		if got := testutil.Receive(t, "what was written after the cut", received); got != "fresh" {
			t.Errorf("%q was delivered", got)
		}
		c.Close()
		l.Close()
	}
	if written == 0 {
		t.Error("nothing was written on the connections that were given up")
	}
}

// dialUntilCut opens connections, four at a time, until it has cut the link. It returns those that were opened.
func dialUntilCut(t *testing.T, l *Link) (conns []*net.TCPConn) {
	t.Helper()
	var tasks sync.WaitGroup
	var mu sync.Mutex
	cut := make(chan struct{})
	dialOnce := func() {
		c, err := net.DialTimeout("tcp", l.Address(), 20*time.Millisecond)
		if err != nil {
			return
		}
		mu.Lock()
		defer mu.Unlock()
		conns = append(conns, c.(*net.TCPConn))
	}
	for range 4 {
		tasks.Go(func() {
			for {
				select {
				case <-cut:
					return
				default:
					dialOnce()
				}
			}
		})
	}
	time.Sleep(2 * time.Millisecond)
	setFault(t, l, LinkFaults["cut"](0))
	close(cut)
	tasks.Wait()
	return conns
}
