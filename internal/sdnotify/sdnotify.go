// Package sdnotify speaks the service manager's notification protocol and takes the socket that it passes in, as
// the manual pages sd_notify(3) and sd_listen_fds(3) describe them.
//
// The common library for it writes without a time limit: a manager that reads nothing would block the daemon. Here
// a message that cannot be written in time is dropped with an error, and the daemon goes on.
//
// The package keeps no state but the manager's address and starts no goroutine.
package sdnotify

import (
	"fmt"
	"net"
	"os"
	"strconv"
	"time"

	"golang.org/x/sys/unix"
)

// writeTimeout bounds the wait for a manager that reads nothing.
const writeTimeout = 100 * time.Millisecond

// The messages without parameters.
const (
	Ready        = "READY=1"
	Stopping     = "STOPPING=1"
	WatchdogPing = "WATCHDOG=1"
)

// Reloading returns the message that begins a reload. It contains the current time.
func Reloading() string {
	var now unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_MONOTONIC, &now); err != nil {
		return "RELOADING=1"
	}
	return fmt.Sprintf("RELOADING=1\nMONOTONIC_USEC=%d", now.Nano()/int64(time.Microsecond))
}

// Status returns the message with a text that describes the daemon to a person.
func Status(text string) string { return "STATUS=" + text }

// Notifier notifies the service manager. The zero value has none and notifies nobody.
type Notifier struct {
	address *net.UnixAddr
	// WatchdogInterval is the time within which the manager expects a WatchdogPing, zero for none.
	WatchdogInterval time.Duration
}

// FromEnvironment returns a Notifier for the service manager that started this process. Invalid variables are an
// error.
func FromEnvironment(getenv func(string) string) (*Notifier, error) {
	n := &Notifier{}
	path := getenv("NOTIFY_SOCKET")
	if path == "" {
		return n, nil
	}
	if path[0] != '/' && path[0] != '@' {
		return nil, fmt.Errorf("NOTIFY_SOCKET cannot be %q: want a path or @NAME", path)
	}
	n.address = &net.UnixAddr{Name: path, Net: "unixgram"}
	if text := getenv("WATCHDOG_USEC"); text != "" {
		usec, err := strconv.ParseUint(text, 10, 40)
		if err != nil || usec == 0 {
			return nil, fmt.Errorf("WATCHDOG_USEC cannot be %q: want a number above 0", text)
		}
		if pid := getenv("WATCHDOG_PID"); pid == "" || pid == strconv.Itoa(os.Getpid()) {
			n.WatchdogInterval = time.Duration(usec) * time.Microsecond
		}
	}
	return n, nil
}

// Notify sends a message. It takes writeTimeout at most; without a manager it does nothing.
func (n *Notifier) Notify(message string) error {
	if n.address == nil {
		return nil
	}
	socket, err := net.DialUnix("unixgram", nil, n.address)
	if err != nil {
		return fmt.Errorf("service manager: %w", err)
	}
	defer socket.Close()
	socket.SetWriteDeadline(time.Now().Add(writeTimeout))
	if _, err := socket.Write([]byte(message)); err != nil {
		return fmt.Errorf("service manager: %w", err)
	}
	return nil
}
