package faultinject

import (
	"net"

	"golang.org/x/sys/unix"
)

// reset ends a connection with a reset.
func reset(c net.Conn) {
	c.(*net.TCPConn).SetLinger(0)
	c.Close()
}

// control calls do with the descriptor of a connection, and reports whether there is one.
func control(c net.Conn, do func(fd int)) bool {
	raw, err := c.(*net.TCPConn).SyscallConn()
	if err != nil {
		return false
	}
	raw.Control(func(fd uintptr) { do(int(fd)) })
	return true
}

// holdBack has the kernel send what is written only together with what follows, or the end.
func holdBack(c net.Conn) {
	control(c, func(fd int) { unix.SetsockoptInt(fd, unix.IPPROTO_TCP, unix.TCP_CORK, 1) })
}

// letGo undoes holdBack.
func letGo(c net.Conn) {
	control(c, func(fd int) { unix.SetsockoptInt(fd, unix.IPPROTO_TCP, unix.TCP_CORK, 0) })
}

// wasClosed reports whether the peer has closed a connection of which everything has been read.
func wasClosed(c net.Conn) bool {
	closed := false
	ok := control(c, func(fd int) {
		n, _, err := unix.Recvfrom(fd, make([]byte, 1), unix.MSG_PEEK|unix.MSG_DONTWAIT)
		closed = err == nil && n == 0
	})
	return !ok || closed
}

// tcpClose is the state of a connection that was reset (Linux's TCP_CLOSE).
const tcpClose = 7

// wasReset reports whether the peer has reset a connection, whatever of it is unread: what a fault holds back waits in
// the sender's kernel, which drops it with a reset.
func wasReset(c net.Conn) bool {
	closed := true
	ok := control(c, func(fd int) {
		info, err := unix.GetsockoptTCPInfo(fd, unix.IPPROTO_TCP, unix.TCP_INFO)
		closed = err != nil || info.State == tcpClose
	})
	return !ok || closed
}
