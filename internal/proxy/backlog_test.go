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

// TestTimeInBacklogCounts: a request waits unread on a connection that waits to be accepted, as all places are
// taken. The time of its client passes.
func TestTimeInBacklogCounts(t *testing.T) {
	const (
		wait    = 600 * time.Millisecond
		unread  = 350 * time.Millisecond
		allowed = wait + 200*time.Millisecond // counted from the reading it would be wait+unread
	)
	h := startHarnessWith(t, 64, withUnsafeClass, startNode(t, func(c nodeCommand) {
		if strings.HasPrefix(c.id, "warm") {
			c.serve()
		}
	}))
	takers := []*client{h.connect()}
	for i := range 500 { // warms up, or admission would be reduced by what hangs
		takers[0].sendRead(fmt.Sprint("warm", i))
		takers[0].expectValue(fmt.Sprint("warm", i))
	}
	takers[0].sendRead("taker")
	for i := range h.server.maxClients - 1 {
		u := h.connect()
		u.sendRead(fmt.Sprint("taker", i))
		takers = append(takers, u)
	}
	testutil.WaitUntil(t, "all places to be taken", func() bool {
		n, open := h.server.Load()
		return n >= h.server.maxClients && open == len(takers)
	})
	waiting := h.connect()
	start := time.Now()
	waiting.send("mg k v Owaiting Pc=read,t=shops,d=%d\r\n", wait.Milliseconds())
	time.Sleep(unread)
	takers[0].socket.Close()
	got := waiting.line()
	if took := time.Since(start); !strings.HasPrefix(got, "SERVER_ERROR") || took > allowed {
		t.Errorf("got %q after %v, for a wait of %v", got, took, wait)
	}
}

// TestOnlyCloseOrDeadlineEndsAccepting: network errors that accept(2) returns, ETIMEDOUT among them, must not end
// the accept loop, or no client would ever be served again.
func TestOnlyCloseOrDeadlineEndsAccepting(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	listener.(*net.TCPListener).SetDeadline(time.Unix(1, 0))
	if _, err := listener.Accept(); !endsAccepting(err) {
		t.Errorf("%v does not end it", err)
	}
	listener.Close()
	if _, err := listener.Accept(); !endsAccepting(err) {
		t.Errorf("%v does not end it", err)
	}
	for _, errno := range []syscall.Errno{
		syscall.ETIMEDOUT, syscall.ECONNABORTED, syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM,
		syscall.EPROTO, syscall.EPERM, syscall.ENETDOWN, syscall.EHOSTUNREACH, syscall.ENETUNREACH, syscall.EOPNOTSUPP,
	} {
		err := &net.OpError{Op: "accept", Net: "tcp", Err: os.NewSyscallError("accept4", errno)}
		if endsAccepting(err) {
			t.Errorf("%v ends it", err)
		}
	}
}
