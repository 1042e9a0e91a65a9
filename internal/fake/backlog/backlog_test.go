package backlog

import (
	"errors"
	"net"
	"testing"
	"time"
)

// TestFullBacklogDropsConnectionAttempts checks that connection attempts time out while the backlog is full, and
// succeed again once it is empty.
func TestFullBacklogDropsConnectionAttempts(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	fillers, err := Fill(l.(*net.TCPListener))
	if err != nil {
		t.Fatal(err)
	}
	c, err := net.DialTimeout("tcp", l.Addr().String(), 100*time.Millisecond)
	var netErr net.Error
	if !errors.As(err, &netErr) || !netErr.Timeout() {
		t.Errorf("a connection attempt ended with %v, %v", c, err)
	}
	for _, filler := range fillers {
		accepted, err := l.Accept()
		if err != nil {
			t.Fatal(err)
		}
		accepted.Close()
		filler.Close()
	}
	c, err = net.DialTimeout("tcp", l.Addr().String(), 10*time.Second)
	if err != nil {
		t.Fatal(err)
	}
	c.Close()
}
