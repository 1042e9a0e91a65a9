// Package relay is a byte relay: what a proxy would cost that decides nothing. Measurements compare with it. Serve owns
// its goroutines.
package relay

import (
	"io"
	"net"
	"sync"
)

// Serve passes each connection of a listener on to a new one to an address, until the listener is closed.
func Serve(listener net.Listener, to string) {
	var tasks sync.WaitGroup
	defer tasks.Wait()
	for {
		in, err := listener.Accept()
		if err != nil {
			return
		}
		tasks.Go(func() {
			defer in.Close()
			out, err := net.Dial("tcp", to)
			if err != nil {
				return
			}
			defer out.Close()
			var back sync.WaitGroup
			back.Go(func() { pass(in, out) })
			pass(out, in)
			back.Wait()
		})
	}
}

const bufferBytes = 16 << 10

// pass copies one direction, and its end. It copies in user space, as a proxy has to that reads what passes.
func pass(to, from net.Conn) {
	io.CopyBuffer(struct{ io.Writer }{to}, struct{ io.Reader }{from}, make([]byte, bufferBytes))
	to.(*net.TCPConn).CloseWrite()
}
