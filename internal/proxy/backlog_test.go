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

// TestTimeInTheBacklogCounts: a request waits unread, on a connection that waits to be accepted as all places
// are taken. Its client's time is running.
func TestTimeInTheBacklogCounts(t *testing.T) {
	const (
		wait    = 600 * time.Millisecond
		unread  = 350 * time.Millisecond
		allowed = wait + 200*time.Millisecond // counted from the reading it would be wait+unread
	)
	f := startFleetWith(t, 64, once, startNode(t, func(c command) {
		if strings.HasPrefix(c.id, "warm") {
			c.serve()
		}
	}))
	takers := []*user{f.connect()}
	for i := range 500 { // or gates would shut for what hangs
		takers[0].read(fmt.Sprint("warm", i))
		takers[0].expectValue(fmt.Sprint("warm", i))
	}
	takers[0].read("taker")
	for i := range f.server.maxClients - 1 {
		u := f.connect()
		u.read(fmt.Sprint("taker", i))
		takers = append(takers, u)
	}
	testutil.WaitUntil(t, "all places to be taken", func() bool { n, open := f.server.Load(); return n >= f.server.maxClients && open == len(takers) })
	waiting := f.connect()
	asked := time.Now()
	waiting.send("mg k v Owaiting Pc=read,t=shops,d=%d\r\n", wait.Milliseconds())
	time.Sleep(unread)
	takers[0].socket.Close()
	got := waiting.line()
	if took := time.Since(asked); !strings.HasPrefix(got, "SERVER_ERROR") || took > allowed {
		t.Errorf("answered %q after %v, for a wait of %v", got, took, wait)
	}
}

// TestOnlyItsOwnEndEndsAccepting: errors of the network that accept(2) hands out, ETIMEDOUT among them, must not end the
// listener's loop, or no client would ever be served again.
func TestOnlyItsOwnEndEndsAccepting(t *testing.T) {
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
	for _, errno := range []syscall.Errno{syscall.ETIMEDOUT, syscall.ECONNABORTED, syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM,
		syscall.EPROTO, syscall.EPERM, syscall.ENETDOWN, syscall.EHOSTUNREACH, syscall.ENETUNREACH, syscall.EOPNOTSUPP} {
		if err := (&net.OpError{Op: "accept", Net: "tcp", Err: os.NewSyscallError("accept4", errno)}); endsAccepting(err) {
			t.Errorf("%v ends it", err)
		}
	}
}
