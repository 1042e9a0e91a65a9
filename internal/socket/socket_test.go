package socket

import (
	"net"
	"testing"

	"mulleinpier/internal/testutil"
)

// connectedPair returns both ends of a TCP connection.
func connectedPair(t *testing.T) (local, peer *net.TCPConn) {
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

// checkPeerClosed checks that PeerClosed returns false until the peer, after sending the unread bytes, ends the
// connection.
func checkPeerClosed(t *testing.T, unread string, end func(*net.TCPConn)) {
	local, peer := connectedPair(t)
	if PeerClosed(local) || Readable(local) {
		t.Error("an idle connection counts as closed or readable")
	}
	if unread != "" {
		peer.Write([]byte(unread))
		testutil.WaitUntil(t, "the bytes to arrive", func() bool { return Readable(local) })
		if PeerClosed(local) {
			t.Error("a connection with unread bytes counts as closed")
		}
	}
	end(peer)
	testutil.WaitUntil(t, "the end to be detected", func() bool { return PeerClosed(local) })
}

// TestPeerClosed checks that PeerClosed detects a close, a half close and a reset by the peer, with and without unread
// bytes before it, and a close by this end. Otherwise a closed connection would be used as if it were open.
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
			t.Run(name+" after "+unread, func(t *testing.T) { checkPeerClosed(t, unread, end) })
		}
	}
	local, _ := connectedPair(t)
	if local.Close(); !PeerClosed(local) {
		t.Error("a connection that was closed here counts as open")
	}
}
