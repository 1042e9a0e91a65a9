package frontend

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"mulleinpier/internal/core"
	"mulleinpier/internal/socket"
	"mulleinpier/internal/testutil"
)

// echo is a dialect whose commands are lines, each answered at once.
type echo struct{ conn *Conn }

func (e echo) ServeCommand() (bool, error) {
	line, err := e.conn.In.ReadSlice('\n')
	if err == nil {
		e.conn.AddSlot(new(Slot)).Finish([]byte(strings.ToUpper(string(line))))
	}
	return false, err
}

func (e echo) TimeoutAnswer() []byte { return nil }

// pair returns a client whose connection nothing serves, and its other end.
func pair(t *testing.T) (*Conn, *net.TCPConn) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	peer, err := net.Dial("tcp", listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { peer.Close() })
	socket, err := listener.Accept()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { socket.Close() })
	host := &Host{Core: new(core.Core), BodyBudget: NewBudget(1 << 20), AnswerBudget: NewBudget(1 << 20),
		NewSession: func(c *Conn, _ byte) Session { return echo{c} }}
	return New(host, socket.(*net.TCPConn), host.Core.Now()), peer.(*net.TCPConn)
}

// TestUnreadRequestIsNoIdling guards against a proxy that was short of its core: a
// client whose request has come, but is not read yet, must not be closed.
func TestUnreadRequestIsNoIdling(t *testing.T) {
	c, peer := pair(t)
	fmt.Fprint(peer, "mn\r\n")
	testutil.WaitUntil(t, "the request to come", func() bool { return socket.Readable(c.socket) })
	c.CloseIdle()
	if got := c.prepareNextCommand(); got != keepReading || c.closeIfIdle {
		t.Errorf("with a request unread the connection is at %d", got)
	}
	c.Drain()
	if got := c.prepareNextCommand(); got != keepReading {
		t.Errorf("in a drain, with a request unread, the connection is at %d", got)
	}
}

// TestRequestInTheReadersHandsIsNoIdling guards against a close over a request that
// the reader has read and could not tell of yet, as when it waits for the lock
// or for the core. On the bench it once lost ten requests at a stroke.
func TestRequestInTheReadersHandsIsNoIdling(t *testing.T) {
	for name, end := range map[string]func(*Conn){"idle": (*Conn).CloseIdle, "drain": (*Conn).Drain} {
		c, peer := pair(t)
		served := make(chan struct{}, 1)
		go func() {
			c.Serve()
			served <- struct{}{}
		}()
		in := bufio.NewReader(peer)
		peer.SetDeadline(time.Now().Add(testutil.Timeout))
		ask := func() {
			if line, err := in.ReadString('\n'); line != "MN\r\n" {
				t.Errorf("%s: answered %q, %v", name, line, err)
			}
		}
		fmt.Fprint(peer, "mn\r\n")
		ask()
		ended := make(chan struct{}, 1)
		for held := false; !held; { // until the reader has read and waits for the lock
			c.mu.Lock()
			go func() {
				end(c)
				ended <- struct{}{}
			}()
			fmt.Fprint(peer, "mn\r\n")
			for range 100 {
				if held = !socket.Readable(c.socket); held {
					break
				}
				time.Sleep(time.Millisecond)
			}
			c.mu.Unlock()
			ask()
			testutil.Receive(t, "the close", ended)
			if c.draining { // once is all there is
				break
			}
		}
		peer.Close()
		testutil.Receive(t, "the end", served)
	}
}

// TestAnswerInWritingIsNoIdling guards against a close over an answer that is being
// written, to a client that has idled for long before it asked.
func TestAnswerInWritingIsNoIdling(t *testing.T) {
	c, peer := pair(t)
	c.lastAnswerAt = time.Now().Add(-time.Hour)
	c.socket.SetWriteBuffer(4 << 10)
	peer.SetReadBuffer(64 << 10)
	r := c.AddSlot(new(Slot))
	done := make(chan struct{})
	go func() {
		c.writeAnswers()
		done <- struct{}{}
	}()
	value := strings.Repeat("v", 1<<19)
	r.Finish([]byte(value))
	testutil.WaitUntil(t, "the answer to be in writing", func() bool { return !c.WriteBlockedSince().IsZero() })
	if _, idle := c.IdleSince(); idle {
		t.Error("a connection whose answer is being written counts as idle")
	}
	c.CloseIdle()
	if c.closeIfIdle {
		t.Error("a connection whose answer is being written is closed")
	}
	got := make([]byte, len(value))
	peer.SetReadDeadline(time.Now().Add(testutil.Timeout))
	if n, err := io.ReadFull(peer, got); err != nil {
		t.Errorf("%d bytes of the answer came: %v", n, err)
	}
	testutil.WaitUntil(t, "the write to end", func() bool { return c.WriteBlockedSince().IsZero() })
	c.mu.Lock()
	c.gone = true
	c.changed.Broadcast()
	c.mu.Unlock()
	testutil.Receive(t, "the writer's end", done)
}
