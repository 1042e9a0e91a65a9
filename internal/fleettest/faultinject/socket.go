package faultinject

import (
	"net"

	"golang.org/x/sys/unix"
)

// reset closes a connection with a TCP reset.
func reset(c net.Conn) {
	c.(*net.TCPConn).SetLinger(0)
	c.Close()
}

// withDescriptor calls do with the file descriptor of a connection, and reports whether it has one.
func withDescriptor(c net.Conn, do func(fd int)) bool {
	raw, err := c.(*net.TCPConn).SyscallConn()
	if err != nil {
		return false
	}
	raw.Control(func(fd uintptr) { do(int(fd)) })
	return true
}

// cork makes the kernel hold back a partial segment until more data is written, the connection ends, or uncork.
func cork(c net.Conn) {
	withDescriptor(c, func(fd int) { unix.SetsockoptInt(fd, unix.IPPROTO_TCP, unix.TCP_CORK, 1) })
}

// uncork undoes cork: the kernel sends the data that it has held back.
func uncork(c net.Conn) {
	withDescriptor(c, func(fd int) { unix.SetsockoptInt(fd, unix.IPPROTO_TCP, unix.TCP_CORK, 0) })
}

// wasClosed reports whether the peer has closed a connection. It detects a close only if all received data was read.
func wasClosed(c net.Conn) bool {
	closed := false
	ok := withDescriptor(c, func(fd int) {
		n, _, err := unix.Recvfrom(fd, make([]byte, 1), unix.MSG_PEEK|unix.MSG_DONTWAIT)
		closed = err == nil && n == 0
	})
	return !ok || closed
}

// tcpClose is the TCP state of a connection that was reset (TCP_CLOSE on Linux).
const tcpClose = 7

// wasReset reports whether the peer has reset a connection, even if some received data is unread. On a real link, data
// that a fault holds back waits in the sender's kernel, which drops it when the sender resets the connection.
func wasReset(c net.Conn) bool {
	closed := true
	ok := withDescriptor(c, func(fd int) {
		info, err := unix.GetsockoptTCPInfo(fd, unix.IPPROTO_TCP, unix.TCP_INFO)
		closed = err != nil || info.State == tcpClose
	})
	return !ok || closed
}
