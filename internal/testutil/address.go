package testutil

import (
	"net"
	"testing"
)

// Listen listens at a free port of the loopback host until the test ends.
func Listen(t testing.TB) net.Listener {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { listener.Close() })
	return listener
}

// ServeConnections calls serve with each connection to a free port, in a goroutine of its own, until the test ends.
// Closing the connection is up to serve.
func ServeConnections(t testing.TB, serve func(net.Conn)) (address string) {
	t.Helper()
	listener := Listen(t)
	go func() {
		for {
			connection, err := listener.Accept()
			if err != nil {
				return
			}
			go serve(connection)
		}
	}()
	return listener.Addr().String()
}

// ReserveAddress returns an address with a free port. The host must be a loopback address that no connection of the
// tests goes out from, such as 127.0.0.6: otherwise the port could be taken again before the test listens at it.
func ReserveAddress(t testing.TB, host string) string {
	t.Helper()
	listener, err := net.Listen("tcp", net.JoinHostPort(host, "0"))
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	return listener.Addr().String()
}
