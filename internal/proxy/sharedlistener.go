package proxy

import (
	"errors"
	"net"
	"os"
	"syscall"
	"time"
)

// This file runs accept4 on listeners' descriptors, to accept from a listener that is shared with other processes and
// to empty a backlog without waiting.

// maxDuplicateAttempts limits the attempts to duplicate a listener while another process keeps making it blocking.
const maxDuplicateAttempts = 100

// pollableDuplicate returns a duplicate of a listener's descriptor on which deadlines work. They do not work if the
// listener is blocking when it is duplicated, and another process can make it blocking at any time.
func pollableDuplicate(l *net.TCPListener) (*os.File, error) {
	raw, err := l.SyscallConn()
	if err != nil {
		return nil, err
	}
	for range maxDuplicateAttempts {
		controlErr := raw.Control(func(fd uintptr) { err = syscall.SetNonblock(int(fd), true) })
		if err = errors.Join(err, controlErr); err != nil {
			return nil, err
		}
		duplicate, err := l.File()
		if err != nil {
			return nil, err
		}
		if duplicate.SetDeadline(time.Time{}) == nil {
			return duplicate, nil
		}
		duplicate.Close()
	}
	return nil, os.ErrNoDeadline
}

// acceptShared replaces AcceptTCP for a listener whose status flags are shared with other processes. Passing the
// listener to a further process makes it blocking in this one too, and a deadline does not interrupt a blocking accept,
// so the listener is made non-blocking again right before each accept.
func (l *clientListener) acceptShared() (*net.TCPConn, error) {
	raw, err := l.shared.SyscallConn()
	if err != nil {
		return nil, err
	}
	var accepted int
	var acceptErr error
	err = raw.Read(func(fd uintptr) (done bool) {
		if acceptErr = syscall.SetNonblock(int(fd), true); acceptErr != nil {
			return true
		}
		accepted, acceptErr = acceptOnce(int(fd))
		return !errors.Is(acceptErr, syscall.EAGAIN)
	})
	if err = errors.Join(err, acceptErr); err != nil {
		return nil, err
	}
	return newTCPConn(accepted)
}

// acceptOnce accepts a connection from a listener's descriptor; it does not wait if the listener is non-blocking.
// Connections that were aborted in the backlog are skipped.
func acceptOnce(fd int) (accepted int, err error) {
	for {
		accepted, _, err = syscall.Accept4(fd, syscall.SOCK_NONBLOCK|syscall.SOCK_CLOEXEC)
		if !errors.Is(err, syscall.ECONNABORTED) && !errors.Is(err, syscall.EINTR) {
			return accepted, os.NewSyscallError("accept4", err)
		}
	}
}

// newTCPConn turns the descriptor of an accepted connection, which it owns from then on, into a net.TCPConn.
func newTCPConn(fd int) (*net.TCPConn, error) {
	file := os.NewFile(uintptr(fd), "")
	defer file.Close()
	socket, err := net.FileConn(file)
	if err != nil {
		return nil, err
	}
	return socket.(*net.TCPConn), nil
}
