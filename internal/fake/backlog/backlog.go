// Package backlog makes a listener unresponsive without closing it: while its backlog is full, the kernel drops further
// connection attempts, as if the machine were unreachable. It starts no goroutines.
package backlog

import (
	"errors"
	"fmt"
	"net"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// maxConnections is far more than the one or two connections that the kernel queues in a backlog of length 0.
	maxConnections = 16
	// dialTimeout is longer than a connection attempt on loopback takes if the kernel does not drop it.
	dialTimeout = 50 * time.Millisecond
)

// Fill shrinks the backlog of a listener and fills it. It returns the connections that fill the backlog; the caller
// must close them, even after an error. Nothing may accept connections from the listener during the call.
func Fill(listener *net.TCPListener) (fillers []net.Conn, err error) {
	if err := shrink(listener); err != nil {
		return nil, fmt.Errorf("shrink backlog of %s: %w", listener.Addr(), err)
	}
	address := listener.Addr().String()
	for range maxConnections {
		c, err := net.DialTimeout("tcp", address, dialTimeout)
		if err != nil {
			return fillers, nil // the backlog is full
		}
		fillers = append(fillers, c)
	}
	return fillers, fmt.Errorf("backlog of %s is not full after %d connections", address, maxConnections)
}

// shrink sets the length of the backlog to 0.
func shrink(listener *net.TCPListener) error {
	raw, err := listener.SyscallConn()
	if err != nil {
		return err
	}
	var listenErr error
	err = raw.Control(func(fd uintptr) { listenErr = unix.Listen(int(fd), 0) })
	return errors.Join(err, listenErr)
}
