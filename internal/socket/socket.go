// Package socket reads the state of a TCP connection from the kernel.
//
// No function waits or consumes data, so each may be called while other goroutines read or write the connection. The
// package has no state and starts no goroutine.
package socket

import (
	"errors"
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// IsTimeout reports whether an error is a network time-out, as when the deadline of a connection has passed.
func IsTimeout(err error) bool {
	var netError net.Error
	return errors.As(err, &netError) && netError.Timeout()
}

// Readable reports whether unread bytes or the end of the connection are pending in the kernel.
func Readable(c *net.TCPConn) bool {
	_, err := peek(c)
	return err == nil
}

// PeerClosed reports whether the peer has closed, half closed or reset a connection, even if bytes sent before that are
// unread. It also returns true if this end has closed the connection.
func PeerClosed(c *net.TCPConn) bool {
	n, err := peek(c)
	switch {
	case errors.Is(err, syscall.EAGAIN), errors.Is(err, syscall.EINTR):
		return false
	case err != nil, n == 0: // recvfrom returns a reset as an error, with n = -1
		return true
	}
	return hangUpPending(c)
}

// hangUpPending reports whether the peer has ended the connection after bytes that are still unread. Peeking returns
// only those bytes, so it polls the state of the connection.
func hangUpPending(c *net.TCPConn) bool {
	const hangUp = unix.POLLRDHUP | unix.POLLHUP | unix.POLLERR
	raw, err := c.SyscallConn()
	if err != nil {
		return true
	}
	var pending bool
	err = raw.Control(func(fd uintptr) {
		state := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLRDHUP}}
		n, err := unix.Poll(state, 0)
		pending = err == nil && n > 0 && state[0].Revents&hangUp != 0
	})
	return pending || err != nil
}

// Unread returns the number of bytes that have arrived on a connection and are unread, and 0 if the kernel does not
// tell.
func Unread(c *net.TCPConn) (bytes int) { return queued(c, unix.SIOCINQ) }

// Undelivered returns the number of bytes written to a connection that the peer's machine has not received yet, and 0
// if the kernel does not tell.
func Undelivered(c *net.TCPConn) (bytes int) { return queued(c, unix.SIOCOUTQ) }

// queued returns the number of bytes in a queue of a connection that an ioctl request names, and 0 on an error.
func queued(c *net.TCPConn, request uint) (bytes int) {
	raw, err := c.SyscallConn()
	if err != nil {
		return 0
	}
	raw.Control(func(fd uintptr) {
		bytes, _ = unix.IoctlGetInt(int(fd), request) // 0 with an error
	})
	return bytes
}

// peek reads one byte of a connection without consuming it and without waiting. It returns EAGAIN if no byte is
// available.
func peek(c *net.TCPConn) (n int, err error) {
	raw, err := c.SyscallConn()
	if err != nil {
		return 0, err
	}
	controlErr := raw.Control(func(fd uintptr) {
		n, _, err = syscall.Recvfrom(int(fd), make([]byte, 1), syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	})
	return n, errors.Join(err, controlErr)
}
