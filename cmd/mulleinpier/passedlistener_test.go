package main

import (
	"net"
	"os"
	"os/exec"
	"syscall"
	"testing"
	"time"

	"mulleinpier/internal/fake/node"
)

// listenerFile opens a listener at the daemon's address, and returns its file for passing it to processes.
func (d *testDaemon) listenerFile() *os.File {
	d.t.Helper()
	listener, err := net.Listen("tcp", d.address)
	if err != nil {
		d.t.Fatal(err)
	}
	defer listener.Close()
	file, err := listener.(*net.TCPListener).File()
	if err != nil {
		d.t.Fatal(err)
	}
	d.t.Cleanup(func() { file.Close() })
	return file
}

// startWithListener starts the daemon with a passed listener, as a service manager with socket activation does.
func (d *testDaemon) startWithListener(listener *os.File) {
	d.t.Helper()
	const script = `LISTEN_PID=$$ LISTEN_FDS=1 exec "$0" "$@"`
	d.process = exec.Command("/bin/sh", "-c", script, os.Args[0], "serve", "--config", d.path)
	d.process.Env = append(os.Environ(), "MULLEINPIER_RUN=1", "GW_CONFIG=")
	d.process.ExtraFiles = []*os.File{listener}
	d.run()
	waitLine(d.t, d.lines, "listener opened")
}

// TestBlockingPassedListenerDoesNotDelayDrain checks that the daemon drains in time although its passed listener is
// blocking. A service manager that passes the listener to the next process may make it blocking for this process too,
// as both share the flags of the open file; an accept on it could then not be interrupted.
func TestBlockingPassedListenerDoesNotDelayDrain(t *testing.T) {
	// A process may be killed 0.7 s plus the longest deadline of a class after SIGTERM.
	const killTime = 3200 * time.Millisecond
	d := newTestDaemon(t, node.Config{})
	file := d.listenerFile()
	d.startWithListener(file)
	if err := syscall.SetNonblock(int(file.Fd()), false); err != nil {
		t.Fatal(err)
	}
	c := d.connect() // after this connection the daemon waits in a blocking accept
	c.send("mg k v O1 Pc=read,d=2000\r\n")
	c.expect("VA ")
	terminatedAt := time.Now()
	d.signal(syscall.SIGTERM)
	c.expect("") // the daemon closes the idle connection
	c.socket.Close()
	d.awaitExit()
	if took := time.Since(terminatedAt); took > killTime {
		t.Errorf("the exit took %v, and the program is killed after %v", took, killTime)
	}
}
