package sdnotify

import (
	"errors"
	"fmt"
	"net"
	"os"
	"strconv"

	"golang.org/x/sys/unix"
)

// firstPassedDescriptor is the first file descriptor that a service manager passes to a process (SD_LISTEN_FDS_START).
const firstPassedDescriptor = 3

// Listener returns the TCP listener that the service manager passed to this process, or nil if it passed none. More
// than one socket is an error.
func Listener(getenv func(string) string) (*net.TCPListener, error) {
	count := getenv("LISTEN_FDS")
	if count == "" || getenv("LISTEN_PID") != strconv.Itoa(os.Getpid()) {
		return nil, nil
	}
	if count != "1" {
		return nil, fmt.Errorf("LISTEN_FDS cannot be %q: want 1", count)
	}
	unix.CloseOnExec(firstPassedDescriptor)
	file := os.NewFile(firstPassedDescriptor, "passed listener")
	if file == nil {
		return nil, errors.New("LISTEN_FDS: no descriptor was passed")
	}
	defer file.Close()
	listener, err := net.FileListener(file) // duplicates the descriptor and makes it non-blocking
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
