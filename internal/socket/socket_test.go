package socket

import (
	"net"
	"testing"

	"mulleinpier/internal/testutil"
)

// connectedPair returns both ends of a connection.
func connectedPair(t *testing.T) (near, far *net.TCPConn) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	dialed, err := net.Dial("tcp", listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { dialed.Close() })
	accepted, err := listener.Accept()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { accepted.Close() })
	return accepted.(*net.TCPConn), dialed.(*net.TCPConn)
}

// testEnd checks that a peer counts as present until it ends a connection, and as gone afterwards.
func testEnd(t *testing.T, unread string, end func(*net.TCPConn)) {
	near, far := connectedPair(t)
	if PeerClosed(near) || Readable(near) {
		t.Error("an idle connection is taken for ended")
	}
	if unread != "" {
		far.Write([]byte(unread))
		testutil.WaitUntil(t, "the bytes to arrive", func() bool { return Readable(near) })
		if PeerClosed(near) {
			t.Error("a connection with unread bytes is taken for ended")
		}
	}
	end(far)
	testutil.WaitUntil(t, "the end to be detected", func() bool { return PeerClosed(near) })
}

// TestPeerClosed guards against a peer that has gone and is taken for present: each way of going, with and
// without unread bytes before it.
func TestPeerClosed(t *testing.T) {
	for name, end := range map[string]func(*net.TCPConn){
		"close":      func(c *net.TCPConn) { c.Close() },
		"half close": func(c *net.TCPConn) { c.CloseWrite() },
		"reset": func(c *net.TCPConn) {
			c.SetLinger(0)
			c.Close()
		},
	} {
		for _, unread := range []string{"", "mn\r\n"} {
			t.Run(name+" after "+unread, func(t *testing.T) { testEnd(t, unread, end) })
		}
	}
	near, _ := connectedPair(t)
	if near.Close(); !PeerClosed(near) {
		t.Error("a connection that was closed here is taken for open")
	}
}
