package relay

import (
	"io"
	"net"
	"testing"
	"time"

	"mulleinpier/internal/testutil"
)

// TestForwardsBytesAndCloses checks that the relay forwards the bytes of both directions, and that if one side stops
// sending, the other side reaches the end of its input.
func TestForwardsBytesAndCloses(t *testing.T) {
	server := testutil.Listen(t)
	go func() {
		c, err := server.Accept()
		if err != nil {
			return
		}
		defer c.Close()
		io.Copy(c, c) // ends when the client has stopped sending
	}()
	relay := testutil.Listen(t)
	served := make(chan struct{}, 1)
	go func() {
		Serve(relay, server.Addr().String())
		served <- struct{}{}
	}()
	client, err := net.Dial("tcp", relay.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer client.Close()
	client.SetDeadline(time.Now().Add(testutil.Timeout))
	if _, err := io.WriteString(client, "text"); err != nil {
		t.Fatal(err)
	}
	if err := client.(*net.TCPConn).CloseWrite(); err != nil {
		t.Fatal(err)
	}
	echo, err := io.ReadAll(client)
	if err != nil || string(echo) != "text" {
		t.Errorf("received %q, %v", echo, err)
	}
	relay.Close()
	testutil.Receive(t, "the relay to end", served)
}
