package testutil

import (
	"net"
	"testing"
)

// Listen listens on a free port of 127.0.0.1 until the test ends.
func Listen(t testing.TB) net.Listener {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { listener.Close() })
	return listener
}

// ServeConnections listens on a free port until the test ends, and calls serve in a new goroutine for each connection.
// serve must close the connection.
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

// ReserveAddress returns an address with a free port. host must be a loopback address that no connection of the tests
// uses as its source, such as 127.0.0.6: otherwise a connection could occupy the port before the test listens on it.
func ReserveAddress(t testing.TB, host string) string {
	t.Helper()
	listener, err := net.Listen("tcp", net.JoinHostPort(host, "0"))
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	return listener.Addr().String()
}
