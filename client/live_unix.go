//go:build unix

package client

import (
	"io"
	"net"
	"syscall"
)

// liveness returns a function that tells, without waiting, whether a connection on which nothing is due can be
// written to: not if its peer has ended it, or has sent what nobody asked for. It is called by who reads.
func liveness(socket net.Conn) func() error {
	with, ok := socket.(syscall.Conn)
	if !ok {
		return func() error { return nil }
	}
	raw, err := with.SyscallConn()
	if err != nil {
		return func() error { return err }
	}
	var one [1]byte
	var n int
	var failed error
	peek := func(fd uintptr) bool {
		n, _, failed = syscall.Recvfrom(int(fd), one[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		return true
	}
	return func() error {
		if err := raw.Read(peek); err != nil {
			return err
		}
		switch {
		case failed == syscall.EAGAIN || failed == syscall.EINTR:
			return nil
		case failed != nil:
			return failed
		case n == 0:
			return io.EOF
		}
		return errSpoilt
	}
}
