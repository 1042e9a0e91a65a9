package faultinject

import (
	"io"
	"net"
	"sync"
	"testing"
	"time"

	"mulleinpier/internal/testutil"
)

// TestBlockedLinkDeliversLater checks that data that a fault holds back arrives completely and in order once the fault
// ends, and not before (invariant 2: a link forwards what it receives completely and in order, or ends the connection).
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

// TestLinkDuplicates checks that a link with the fault "twice" sends what it receives on a new connection to the target
// on two connections, and drops the answer on the second one.
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

// TestResetConnectionInBacklogIsNotDelivered checks that a link delivers no data of a connection that its sender reset
// while the link was cut. Such a connection may have been opened just before the backlog was full, and wait in it with
// all the data that its sender wrote.
func TestResetConnectionInBacklogIsNotDelivered(t *testing.T) {
	giveUp := func(c *net.TCPConn) {
		c.SetLinger(0)
		c.Close()
	}
	received := make(chan string, 1000)
	target := startLineServer(t, func(_ net.Conn, line string) { received <- line })
	checkBacklog(t, target, giveUp, received)
}

// TestClosedConnectionInBacklogIsSeenClosed checks that, if a sender closes its connection while the link is cut, the
// end of the connection reaches the target together with the data. The target can then detect that no client waits for
// an answer.
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

// checkBacklog cuts links while connections are being opened, ends these connections by giveUp, and ends the cut. The
// target may send to received only the lines of connections that were opened after the end of the cut.
func checkBacklog(t *testing.T, target string, giveUp func(*net.TCPConn), received <-chan string) {
	t.Helper()
	written := 0
	for range 10 {
		l := openLink(t, target)
		conns := dialUntilCut(t, l)
		for _, c := range conns { // the last connections may wait in the backlog
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

// dialUntilCut opens connections, four at a time, until it has cut the link, and returns the connections.
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
