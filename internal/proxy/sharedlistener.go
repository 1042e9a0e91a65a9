package proxy

import (
	"errors"
	"net"
	"os"
	"syscall"
	"time"
)

// This file accepts connections by their descriptors: where the listener is shared with other processes, and where
// nothing may wait.

// maxDuplicates bounds the tries to duplicate a listener while another process makes it blocking.
const maxDuplicates = 100

// pollableDuplicate returns a duplicate of a listener for which deadlines work. They do not for one that is blocking as
// it is duplicated, which another process may make it at any time.
func pollableDuplicate(l *net.TCPListener) (*os.File, error) {
	raw, err := l.SyscallConn()
	if err != nil {
		return nil, err
	}
	for range maxDuplicates {
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

// acceptShared is AcceptTCP for a listener whose flags are shared with other processes: passing it to a further process
// makes it blocking in this one too, and no deadline reaches an accept that blocks. So it is made non-blocking again
// right before each accept.
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

// acceptOnce accepts a connection from a listener's descriptor, without waiting if that is non-blocking. Connections
// that have ended in the backlog are passed over.
func acceptOnce(fd int) (accepted int, err error) {
	for {
		accepted, _, err = syscall.Accept4(fd, syscall.SOCK_NONBLOCK|syscall.SOCK_CLOEXEC)
		if !errors.Is(err, syscall.ECONNABORTED) && !errors.Is(err, syscall.EINTR) {
			return accepted, os.NewSyscallError("accept4", err)
		}
	}
}

// newTCPConn returns an accepted connection by its descriptor, which it takes over.
func newTCPConn(fd int) (*net.TCPConn, error) {
	file := os.NewFile(uintptr(fd), "")
	defer file.Close()
	socket, err := net.FileConn(file)
	if err != nil {
		return nil, err
	}
	return socket.(*net.TCPConn), nil
}
