package faultinject

import (
	"bufio"
	"io"
	"net"
	"os/exec"
	"testing"
	"time"

	"mulleinpier/internal/testutil"
)

// startEcho starts a server that sends back all data that it receives, and returns its address.
func startEcho(t *testing.T) string {
	t.Helper()
	return testutil.ServeConnections(t, func(c net.Conn) {
		defer c.Close()
		io.Copy(c, c)
	})
}

// startLineServer starts a server that calls handle with each line that it receives, and returns its address.
func startLineServer(t *testing.T, handle func(c net.Conn, line string)) string {
	t.Helper()
	return testutil.ServeConnections(t, func(c net.Conn) {
		defer c.Close()
		for in := bufio.NewScanner(c); in.Scan(); {
			handle(c, in.Text())
		}
	})
}

// openLink opens a link to target, which is closed at the end of the test.
func openLink(t *testing.T, target string) *Link {
	t.Helper()
	l, err := NewLink("127.0.0.1", target)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(l.Close)
	return l
}

func setFault(t *testing.T, l *Link, f Fault) {
	t.Helper()
	if err := l.SetFault(f); err != nil {
		t.Fatal(err)
	}
}

func dial(t *testing.T, address string) (net.Conn, *bufio.Reader) {
	t.Helper()
	c, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	c.SetDeadline(time.Now().Add(testutil.Timeout))
	return c, bufio.NewReader(c)
}

func send(t *testing.T, c net.Conn, text string) {
	t.Helper()
	if _, err := io.WriteString(c, text); err != nil {
		t.Fatal(err)
	}
}

func wantLine(t *testing.T, in *bufio.Reader, want string) {
	t.Helper()
	if got, err := in.ReadString('\n'); err != nil || got != want {
		t.Fatalf("%q, %v; want %q", got, err, want)
	}
}

// wantSilence fails the test if a line arrives within 100 ms.
func wantSilence(t *testing.T, c net.Conn, in *bufio.Reader) {
	t.Helper()
	c.SetReadDeadline(time.Now().Add(100 * time.Millisecond))
	if got, err := in.ReadString('\n'); err == nil {
		t.Fatalf("got %q, want no line", got)
	}
	c.SetReadDeadline(time.Now().Add(testutil.Timeout))
}

// startProcess starts a process that is killed at the end of the test. It returns the process id.
func startProcess(t *testing.T, name string, args ...string) (pid int) {
	t.Helper()
	cmd := exec.Command(name, args...)
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		cmd.Process.Kill()
		cmd.Wait()
	})
	return cmd.Process.Pid
}
