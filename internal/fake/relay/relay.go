// Package relay is a plain byte relay that serves as the baseline of measurements. It does not parse what it forwards:
// what a proxy costs more than the relay is the cost of its decisions.
package relay

import (
	"io"
	"net"
	"sync"
)

const bufferSize = 16 << 10 // bytes, for each direction of a connection

// Serve accepts connections from a listener and forwards each over its own connection to the target address. It returns
// once the listener is closed and all connections have ended.
func Serve(listener net.Listener, target string) {
	var connections sync.WaitGroup
	defer connections.Wait()
	for {
		client, err := listener.Accept()
		if err != nil {
			return
		}
		connections.Go(func() { forward(client, target) })
	}
}

// forward copies in both directions until both have ended.
func forward(client net.Conn, target string) {
	defer client.Close()
	server, err := net.Dial("tcp", target)
	if err != nil {
		return
	}
	defer server.Close()
	var answers sync.WaitGroup
	answers.Go(func() { copyAll(client, server) })
	copyAll(server, client)
	answers.Wait()
}

// copyAll copies until the source closes its sending side, and then closes the sending side to the destination. It
// copies in user space, as a proxy that parses what it forwards has to: the wrappers hide the methods through which
// io.CopyBuffer would leave the copying to the kernel.
func copyAll(destination, source net.Conn) {
	io.CopyBuffer(struct{ io.Writer }{destination}, struct{ io.Reader }{source}, make([]byte, bufferSize))
	destination.(*net.TCPConn).CloseWrite()
}
