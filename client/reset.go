package client

import "net"

// lingerer is a socket that can discard undelivered data when it is closed, as [net.TCPConn] can.
type lingerer interface {
	SetLinger(seconds int) error
}

// connWrapper is a connection on top of another one, such as [crypto/tls.Conn].
type connWrapper interface {
	NetConn() net.Conn
}

// closeWithReset closes a connection so that the kernel discards what it has not delivered and resets the connection.
// After a plain close the kernel would deliver that data as soon as a broken network link is restored, long after the
// requests in it were given up. A connection that offers no way to reset it is closed plainly.
func closeWithReset(socket net.Conn) {
	for inner := socket; inner != nil; {
		if l, ok := inner.(lingerer); ok {
			l.SetLinger(0)
			inner.Close() // before the wrapper, which could send more, as TLS does
			break
		}
		wrapper, ok := inner.(connWrapper)
		if !ok {
			break
		}
		inner = wrapper.NetConn()
	}
	socket.Close()
}
