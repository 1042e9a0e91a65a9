package main

import (
	"errors"
	"net"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"strings"
	"syscall"
	"testing"

	"mulleinpier/internal/fake/node"
)

// TestTerminationBeforeListening checks that a daemon that waits for its address, which another process uses, can be
// terminated.
func TestTerminationBeforeListening(t *testing.T) {
	d := newTestDaemon(t, node.Config{})
	other, err := net.Listen("tcp", d.address)
	if err != nil {
		t.Fatal(err)
	}
	defer other.Close()
	d.configure("[start]\nwait_for_address = \"60s\"\n")
	d.start("WATCHDOG_USEC=20000")
	d.awaitNotified("WATCHDOG=1") // the daemon handles events while it waits for the address
	d.signal(syscall.SIGTERM)
	d.awaitNotified("STOPPING=1")
	d.awaitExit()
}

// TestHangupDuringStart checks that a hangup that arrives before the daemon is ready leads to a reload once it is
// ready.
func TestHangupDuringStart(t *testing.T) {
	d := newTestDaemon(t, node.Config{})
	other, err := net.Listen("tcp", d.address)
	if err != nil {
		t.Fatal(err)
	}
	d.configure("[start]\nwait_for_address = \"60s\"\n")
	d.start("WATCHDOG_USEC=20000")
	d.awaitNotified("WATCHDOG=1")
	d.signal(syscall.SIGHUP)
	d.awaitNotified("STATUS=starting, to reload")
	d.configure("[[class]]\nname = \"new\"\n[start]\nwait_for_address = \"60s\"\n")
	other.Close()
	d.awaitNotified("READY=1")
	d.awaitNotified("RELOADING=1")
	d.awaitNotified("READY=1")
	c := d.connect()
	c.send("mg k v O1 Pc=new,d=1000\r\n")
	c.expect("VA ")
	d.signal(syscall.SIGTERM)
	d.awaitExit()
}

// TestHangupsFromExecOn checks that hangups between exec and the start of serving neither end the process nor are lost.
// The program is started with SIGHUP ignored; it catches the signal first and reads its configuration afterwards.
func TestHangupsFromExecOn(t *testing.T) {
	d := newTestDaemon(t, node.Config{})
	for range 5 {
		d.configure("")
		d.process = exec.Command(os.Args[0], "serve", "--config", d.path)
		d.process.Env = append(os.Environ(), "MULLEINPIER_RUN=1", "GW_CONFIG=")
		signal.Ignore(syscall.SIGHUP) // the process inherits this setting
		d.run()
		signal.Reset(syscall.SIGHUP)
		ready, stopped := make(chan struct{}), make(chan struct{})
		go func() { // sends hangups continuously until the daemon serves
			defer close(stopped)
			for {
				select {
				case <-ready:
					return
				default:
					d.process.Process.Signal(syscall.SIGHUP)
				}
			}
		}()
		d.configure("[[class]]\nname = \"new\"\n")
		waitLine(t, d.lines, "listener opened")
		waitLine(t, d.lines, "configuration reloaded")
		close(ready)
		<-stopped
		c := d.connect()
		c.send("mg k v O1 Pc=new,d=2000\r\n")
		c.expect("VA ")
		c.socket.Close()
		d.signal(syscall.SIGTERM)
		d.awaitExit()
	}
}

// failedStart is a command line that must fail.
type failedStart struct {
	name string
	args []string // FILE stands for the path of the file
	file string   // text of the file, in which TAKEN stands for an address in use
	env  string   // an environment variable to set, NAME=VALUE; "" for none
	want string   // text that the error must contain
}

const nodesLine = "nodes.addresses = [\"127.0.0.1:1\"]\n"

var failedStarts = []failedStart{
	{"no file", []string{"serve", "--config", "none"}, "", "", "no such file"},
	{"empty file", []string{"serve", "--config", "FILE"}, "", "", "is empty"},
	{"no syntax", []string{"serve", "--config", "FILE"}, "listen = ", "", "toml: line 1"},
	{"unknown key", []string{"serve", "--config", "FILE"}, "listen = \":0\"\nport = 3\n" + nodesLine, "",
		"port is unknown"},
	{"many errors", []string{"serve", "--config", "FILE"}, "listen = 3\nport = 3\n", "",
		"(and 2 more: see mulleinpier check)"},
	{"address in use", []string{"serve", "--config", "FILE"}, "listen = \"TAKEN\"\n" + nodesLine, "",
		"address already in use"},
	{"two sockets passed", []string{"serve", "--config", "FILE"}, "listen = \":0\"\n" + nodesLine, "LISTEN_FDS=2",
		"LISTEN_FDS cannot be \"2\""},
	{"manager's address", []string{"serve", "--config", "FILE"}, "listen = \":0\"\n" + nodesLine, "NOTIFY_SOCKET=here",
		"NOTIFY_SOCKET cannot be \"here\""},
	{"no configuration", []string{"serve"}, "", "", "missing flags: --config=STRING"},
	{"unknown command", []string{"dance"}, "", "", "unexpected argument dance"},
	{"no command", nil, "", "", "no command, and GW_CONFIG is not set"},
}

// TestFailedStartsNameCauseInOneLine checks that each failed start prints an error of one line that names the cause.
func TestFailedStartsNameCauseInOneLine(t *testing.T) {
	taken, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer taken.Close()
	for _, start := range failedStarts {
		t.Run(start.name, func(t *testing.T) { start.expect(t, taken.Addr().String()) })
	}
}

// expect runs the command line and fails the test unless it fails with the expected error. taken is an address in use.
func (s *failedStart) expect(t *testing.T, taken string) {
	t.Helper()
	path := filepath.Join(t.TempDir(), "file")
	replaceFile(t, path, []byte(strings.ReplaceAll(s.file, "TAKEN", taken)))
	args := []string{"-c", `LISTEN_PID=$$ exec "$0" "$@"`, os.Args[0]}
	for _, arg := range s.args {
		args = append(args, strings.ReplaceAll(arg, "FILE", path))
	}
	cmd := exec.Command("/bin/sh", args...)
	cmd.Env = append(os.Environ(), "MULLEINPIER_RUN=1", "GW_CONFIG=")
	if s.env != "" {
		cmd.Env = append(cmd.Env, s.env)
	}
	out, err := cmd.CombinedOutput()
	var exit *exec.ExitError
	if !errors.As(err, &exit) || exit.ExitCode() <= 0 {
		t.Errorf("exited with %v", err)
	}
	first, rest, _ := strings.Cut(string(out), "\n")
	isOneLine := rest == "" || strings.HasPrefix(rest, "Usage:")
	if !strings.HasPrefix(first, "mulleinpier: ") || !strings.Contains(first, s.want) || !isOneLine {
		t.Errorf("printed %q, want one line with %q", out, s.want)
	}
}

// TestCheckPrintsAllErrors checks that the command check prints all errors of a configuration, not only the first.
func TestCheckPrintsAllErrors(t *testing.T) {
	path := filepath.Join(t.TempDir(), "bad.toml")
	replaceFile(t, path, []byte("listen = 3\nport = 3\n[limits]\nmemory_mb = 1\n"))
	cmd := exec.Command(os.Args[0], "check", "--config", path)
	cmd.Env = append(os.Environ(), "MULLEINPIER_RUN=1", "GW_CONFIG=")
	out, err := cmd.Output()
	if err == nil {
		t.Error("an invalid configuration passed the check")
	}
	for _, want := range []string{
		"listen cannot be 3: want a string",
		"port is unknown",
		"limits.memory_mb cannot be 1: want a whole number from 32",
		"nodes has no source",
	} {
		if !strings.Contains(string(out), path+": "+want) {
			t.Errorf("%q is not printed: %s", want, out)
		}
	}
}
