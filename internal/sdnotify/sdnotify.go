// Package sdnotify implements the service manager's notification protocol and socket passing, as described in the
// manual pages sd_notify(3) and sd_listen_fds(3).
//
// The common library for this protocol writes without a timeout, so a manager that stops reading would block the
// daemon. Here a message that cannot be written in time is dropped with an error, and the daemon goes on.
//
// The package has no global state and starts no goroutine.
package sdnotify

import (
	"fmt"
	"net"
	"os"
	"strconv"
	"time"

	"golang.org/x/sys/unix"
)

// writeTimeout bounds a write to a manager that does not read.
const writeTimeout = 100 * time.Millisecond

// The messages without parameters.
const (
	Ready        = "READY=1"
	Stopping     = "STOPPING=1"
	WatchdogPing = "WATCHDOG=1"
)

// Reloading returns the message that announces a reload. The message contains the time of the monotonic clock, unless
// the clock cannot be read.
func Reloading() string {
	var now unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_MONOTONIC, &now); err != nil {
		return "RELOADING=1"
	}
	return fmt.Sprintf("RELOADING=1\nMONOTONIC_USEC=%d", now.Nano()/int64(time.Microsecond))
}

// Status returns the message that sets the human-readable status of the service.
func Status(text string) string { return "STATUS=" + text }

// Notifier sends messages to the service manager. The zero value has no manager and sends nothing.
type Notifier struct {
	address *net.UnixAddr
	// WatchdogInterval is the longest time between two WatchdogPings that the manager allows; zero if it expects none.
	WatchdogInterval time.Duration
}

// FromEnvironment returns a Notifier for the service manager that started this process, as NOTIFY_SOCKET and the
// WATCHDOG variables describe it. It returns an error if one of them is invalid.
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

// Notify sends a message. The write is canceled with an error after writeTimeout (100 ms). Without a manager, Notify
// does nothing.
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
