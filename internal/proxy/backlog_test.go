package proxy

import (
	"fmt"
	"net"
	"os"
	"strings"
	"syscall"
	"testing"
	"time"

	"mulleinpier/internal/testutil"
)

// TestTimeInBacklogCounts checks that the time that a connection waits in the backlog counts towards the timeout of its
// request. All places for clients are taken, so the connection waits with an unread request; without counting that
// time, the response would come after the timeout.
func TestTimeInBacklogCounts(t *testing.T) {
	const (
		wait    = 600 * time.Millisecond
		unread  = 350 * time.Millisecond
		allowed = wait + 200*time.Millisecond // a timeout counted from the read would end after wait+unread
	)
	h := startHarnessWith(t, 64, withUnsafeClass, startNode(t, func(c nodeCommand) {
		if strings.HasPrefix(c.id, "warm") {
			c.serve()
		}
	}))
	occupiers := []*client{h.connect()}
	for i := range 500 { // warm up, or the requests that hang would reduce admission
		occupiers[0].sendRead(fmt.Sprint("warm", i))
		occupiers[0].expectValue(fmt.Sprint("warm", i))
	}
	occupiers[0].sendRead("occupier")
	for i := range h.server.maxClients - 1 {
		u := h.connect()
		u.sendRead(fmt.Sprint("occupier", i))
		occupiers = append(occupiers, u)
	}
	testutil.WaitUntil(t, "all places to be taken", func() bool {
		n, open := h.server.Load()
		return n >= h.server.maxClients && open == len(occupiers)
	})
	waiting := h.connect()
	start := time.Now()
	waiting.send("mg k v Owaiting Pc=read,t=shops,d=%d\r\n", wait.Milliseconds())
	time.Sleep(unread)
	occupiers[0].socket.Close()
	got := waiting.line()
	if took := time.Since(start); !strings.HasPrefix(got, "SERVER_ERROR") || took > allowed {
		t.Errorf("got %q after %v, for a wait of %v", got, took, wait)
	}
}

// TestOnlyCloseOrDeadlineEndsAccepting checks that only a closed listener or its deadline ends the accept loop. If a
// network error that accept(2) returns, such as ETIMEDOUT, ended the loop, no further client would be served.
func TestOnlyCloseOrDeadlineEndsAccepting(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	listener.(*net.TCPListener).SetDeadline(time.Unix(1, 0))
	if _, err := listener.Accept(); !endsAccepting(err) {
		t.Errorf("%v does not end accepting", err)
	}
	listener.Close()
	if _, err := listener.Accept(); !endsAccepting(err) {
		t.Errorf("%v does not end accepting", err)
	}
	for _, errno := range []syscall.Errno{
		syscall.ETIMEDOUT, syscall.ECONNABORTED, syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM,
		syscall.EPROTO, syscall.EPERM, syscall.ENETDOWN, syscall.EHOSTUNREACH, syscall.ENETUNREACH, syscall.EOPNOTSUPP,
	} {
		err := &net.OpError{Op: "accept", Net: "tcp", Err: os.NewSyscallError("accept4", errno)}
		if endsAccepting(err) {
			t.Errorf("%v ends accepting", err)
		}
	}
}
