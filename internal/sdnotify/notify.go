// Package sdnotify speaks the service manager's notification protocol and takes
// the sockets that it passes in, as the manual pages sd_notify(3) and
// sd_listen_fds(3) describe them.
//
// The common library for it writes without a time limit: a manager that reads
// nothing would stop the daemon. Here a message that finds no room in time is
// given up, and the daemon goes on.
package sdnotify

import (
	"errors"
	"fmt"
	"net"
	"os"
	"strconv"
	"time"

	"golang.org/x/sys/unix"
)

// writeTime bounds the wait for a manager that reads nothing.
const writeTime = 100 * time.Millisecond

// The states that are told. Reloading needs the time as well.
const (
	Ready        = "READY=1"
	Stopping     = "STOPPING=1"
	WatchdogPing = "WATCHDOG=1"
)

// Reloading returns the message that begins a reload.
func Reloading() string {
	var now unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_MONOTONIC, &now); err != nil {
		return "RELOADING=1"
	}
	return fmt.Sprintf("RELOADING=1\nMONOTONIC_USEC=%d", now.Nano()/1000)
}

// Status returns the message that describes the daemon to a person.
func Status(text string) string { return "STATUS=" + text }

// Notifier is the service manager. The zero value is none, and is told nothing.
type Notifier struct {
	address *net.UnixAddr
	// WatchdogInterval is how often it wants a sign of life; zero for never.
	WatchdogInterval time.Duration
}

// FromEnvironment finds the service manager that started this process. Words
// that can't be meant are an error.
func FromEnvironment(getenv func(string) string) (*Notifier, error) {
	m := &Notifier{}
	path := getenv("NOTIFY_SOCKET")
	if path == "" {
		return m, nil
	}
	if path[0] != '/' && path[0] != '@' {
		return nil, fmt.Errorf("NOTIFY_SOCKET cannot be %q: want a path or @NAME", path)
	}
	m.address = &net.UnixAddr{Name: path, Net: "unixgram"}
	if text := getenv("WATCHDOG_USEC"); text != "" {
		usec, err := strconv.ParseUint(text, 10, 40)
		if err != nil || usec == 0 {
			return nil, fmt.Errorf("WATCHDOG_USEC cannot be %q: want a number above 0", text)
		}
		if pid := getenv("WATCHDOG_PID"); pid == "" || pid == strconv.Itoa(os.Getpid()) {
			m.WatchdogInterval = time.Duration(usec) * time.Microsecond
		}
	}
	return m, nil
}

// Notify sends lines of state. It takes writeTime at most; with no manager it
// does nothing.
func (m *Notifier) Notify(text string) error {
	if m.address == nil {
		return nil
	}
	socket, err := net.DialUnix("unixgram", nil, m.address)
	if err != nil {
		return fmt.Errorf("service manager: %w", err)
	}
	defer socket.Close()
	socket.SetWriteDeadline(time.Now().Add(writeTime))
	if _, err := socket.Write([]byte(text)); err != nil {
		return fmt.Errorf("service manager: %w", err)
	}
	return nil
}

// firstPassed is the first descriptor that a manager passes in.
const firstPassed = 3

// Listener returns the one TCP listener that was passed in, or nil for none.
func Listener(getenv func(string) string) (*net.TCPListener, error) {
	count := getenv("LISTEN_FDS")
	if count == "" || getenv("LISTEN_PID") != strconv.Itoa(os.Getpid()) {
		return nil, nil
	}
	if count != "1" {
		return nil, fmt.Errorf("LISTEN_FDS cannot be %q: one socket is taken", count)
	}
	unix.CloseOnExec(firstPassed)
	file := os.NewFile(firstPassed, "passed listener")
	if file == nil {
		return nil, errors.New("LISTEN_FDS: no descriptor was passed")
	}
	defer file.Close()
	listener, err := net.FileListener(file) // a copy, non-blocking
	if err != nil {
		return nil, fmt.Errorf("LISTEN_FDS: %w", err)
	}
	tcp, ok := listener.(*net.TCPListener)
	if !ok {
		listener.Close()
		return nil, fmt.Errorf("LISTEN_FDS: a %s listener was passed, want tcp", listener.Addr().Network())
	}
	return tcp, nil
}
