package unresponsive

import (
	"errors"
	"net"
	"testing"
	"time"

	"mulleinpier/internal/testutil"
)

// TestConnectionWaitsForAccept checks that a connection attempt is dropped at first, and that Accept returns the
// client's connection, not one of those that filled the backlog.
func TestConnectionWaitsForAccept(t *testing.T) {
	n, err := Start()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(n.Close)
	c, err := net.DialTimeout("tcp", n.Address(), 100*time.Millisecond)
	var netErr net.Error
	if !errors.As(err, &netErr) || !netErr.Timeout() {
		t.Fatalf("a connection attempt ended with %v, %v", c, err)
	}
	dialled := make(chan net.Addr, 1)
	go func() {
		c, err := net.DialTimeout("tcp", n.Address(), testutil.Timeout)
		if err != nil {
			t.Error(err)
			return
		}
		defer c.Close()
		dialled <- c.LocalAddr()
	}()
	accepted, err := n.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer accepted.Close()
	if own := testutil.Receive(t, "the connection", dialled); accepted.RemoteAddr().String() != own.String() {
		t.Errorf("accepted the connection of %v, want %v", accepted.RemoteAddr(), own)
	}
}
