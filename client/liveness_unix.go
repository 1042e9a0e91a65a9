//go:build unix

package client

import (
	"errors"
	"io"
	"net"
	"syscall"
)

// newLivenessCheck returns a function that checks, without blocking, whether a connection without pending requests can
// be written to. It returns an error if the peer has closed the connection or has sent unrequested bytes. Only the
// holder of reading may call it.
func newLivenessCheck(socket net.Conn) func() error {
	withDescriptor, ok := socket.(syscall.Conn)
	if !ok {
		return func() error { return nil }
	}
	raw, err := withDescriptor.SyscallConn()
	if err != nil {
		return func() error { return err }
	}
	// These variables and the closure are created once, so that a check does not allocate.
	var buffer [1]byte
	var n int
	var peekErr error
	peek := func(fd uintptr) bool {
		n, _, peekErr = syscall.Recvfrom(int(fd), buffer[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		return true
	}
	return func() error {
		if err := raw.Read(peek); err != nil {
			return err
		}
		switch {
		case errors.Is(peekErr, syscall.EAGAIN) || errors.Is(peekErr, syscall.EINTR):
			return nil
		case peekErr != nil:
			return peekErr
		case n == 0:
			return io.EOF
		}
		return errMalformedAnswer
	}
}
