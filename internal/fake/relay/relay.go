// Package relay is a bare byte relay that understands nothing: what a proxy would
// cost that had nothing to decide. Measurements stand beside it.
package relay

import (
	"io"
	"net"
	"sync"
)

// Serve passes each connection of a listener on to one of its own at an address,
// until the listener is closed.
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

// pass copies what comes and ends the other way with it. It copies in user
// space, as a proxy must that looks at what passes.
func pass(to, from net.Conn) {
	io.CopyBuffer(struct{ io.Writer }{to}, struct{ io.Reader }{from}, make([]byte, 16<<10))
	to.(*net.TCPConn).CloseWrite()
}
