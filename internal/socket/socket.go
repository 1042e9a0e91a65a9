// Package socket asks the kernel about a connection. Nothing here waits, or reads: each may be called while
// another goroutine reads or writes.
package socket

import (
	"errors"
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// Readable tells whether unread bytes, or a connection's end, wait in the kernel.
func Readable(c *net.TCPConn) bool {
	_, err := peek(c)
	return err == nil
}

// PeerClosed tells whether the other end has closed, half closed or reset a connection, whatever of what came
// before is unread, or this end has closed it.
func PeerClosed(c *net.TCPConn) bool {
	switch n, err := peek(c); {
	case errors.Is(err, syscall.EAGAIN), errors.Is(err, syscall.EINTR):
		return false
	case err != nil, n == 0: // a reset comes as an error, and n is -1 then
		return true
	}
	// Behind unread bytes only the state of the connection tells.
	raw, err := c.SyscallConn()
	if err != nil {
		return true
	}
	var ended bool
	failed := raw.Control(func(fd uintptr) {
		state := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLRDHUP}}
		n, err := unix.Poll(state, 0)
		ended = err == nil && n > 0 && state[0].Revents&(unix.POLLRDHUP|unix.POLLHUP|unix.POLLERR) != 0
	})
	return ended || failed != nil
}

func peek(c *net.TCPConn) (n int, err error) {
	raw, err := c.SyscallConn()
	if err != nil {
		return 0, err
	}
	failed := raw.Control(func(fd uintptr) {
		n, _, err = syscall.Recvfrom(int(fd), make([]byte, 1), syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	})
	return n, errors.Join(err, failed)
}
