package socket

import (
	"net"
	"testing"

	"mulleinpier/internal/testutil"
)

// pair returns both ends of a connection.
func pair(t *testing.T) (near, far *net.TCPConn) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	dialled, err := net.Dial("tcp", listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	accepted, err := listener.Accept()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { dialled.Close(); accepted.Close() })
	return accepted.(*net.TCPConn), dialled.(*net.TCPConn)
}

// TestEndIsSeen guards against an other end that has gone and passes for present: each way of
// going, with and without bytes before it that nobody has read.
func TestEndIsSeen(t *testing.T) {
	for name, end := range map[string]func(*net.TCPConn){
		"close":      func(c *net.TCPConn) { c.Close() },
		"half close": func(c *net.TCPConn) { c.CloseWrite() },
		"reset":      func(c *net.TCPConn) { c.SetLinger(0); c.Close() },
	} {
		for _, before := range []string{"", "mn\r\n"} {
			t.Run(name+" behind "+before, func(t *testing.T) {
				near, far := pair(t)
				if PeerClosed(near) || Readable(near) {
					t.Error("an idle connection passes for ended")
				}
				if before != "" {
					far.Write([]byte(before))
					testutil.WaitUntil(t, "the bytes to come", func() bool { return Readable(near) })
					if PeerClosed(near) {
						t.Error("a connection with unread bytes passes for ended")
					}
				}
				end(far)
				testutil.WaitUntil(t, "the end to be seen", func() bool { return PeerClosed(near) })
			})
		}
	}
	near, _ := pair(t)
	if near.Close(); !PeerClosed(near) {
		t.Error("a connection closed here is not ended")
	}
}
