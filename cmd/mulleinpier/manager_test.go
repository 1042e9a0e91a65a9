package main

import (
	"net"
	"path/filepath"
	"syscall"
	"testing"
	"time"

	"mulleinpier/internal/fake/node"
)

// TestUnresponsiveServiceManager checks that a service manager that does not read, or whose socket does not exist, does
// not block the daemon: it serves, reloads and terminates.
func TestUnresponsiveServiceManager(t *testing.T) {
	path := filepath.Join(t.TempDir(), "unresponsive")
	manager, err := net.ListenUnixgram("unixgram", &net.UnixAddr{Name: path, Net: "unixgram"})
	if err != nil {
		t.Fatal(err)
	}
	defer manager.Close()
	filler, err := net.DialUnix("unixgram", nil, manager.LocalAddr().(*net.UnixAddr))
	if err != nil {
		t.Fatal(err)
	}
	defer filler.Close()
	for full := false; !full; { // write until the socket's buffer is full
		filler.SetWriteDeadline(time.Now().Add(50 * time.Millisecond))
		_, err := filler.Write(make([]byte, 1024))
		full = err != nil
	}
	for _, manager := range []string{path, filepath.Join(t.TempDir(), "nobody")} {
		d := newTestDaemon(t, node.Config{})
		d.startWithManager(manager, "WATCHDOG_USEC=20000")
		waitLine(t, d.lines, "service manager notification failed")
		c := d.connect()
		c.send("mg k v O1 Pc=read,d=2000\r\n")
		c.expect("VA ")
		d.signal(syscall.SIGHUP)
		waitLine(t, d.lines, "configuration reloaded")
		d.signal(syscall.SIGTERM)
		d.awaitExit()
	}
}
