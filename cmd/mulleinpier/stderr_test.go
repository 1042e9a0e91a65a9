package main

import (
	"bufio"
	"errors"
	"os"
	"os/exec"
	"strings"
	"syscall"
	"testing"
	"time"

	"mulleinpier/internal/fake/node"
	"mulleinpier/internal/testutil"
)

// earliestKill is the time after SIGTERM at which a process may be killed: the longest deadline and 0.7 s.
const earliestKill = 3*time.Second + 700*time.Millisecond

// fullPipe returns a pipe whose buffer is full.
func fullPipe(t *testing.T) (reader, writer *os.File) {
	t.Helper()
	reader, writer, err := os.Pipe()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		reader.Close()
		writer.Close()
	})
	writer.SetWriteDeadline(time.Now().Add(100 * time.Millisecond))
	for err == nil {
		_, err = writer.Write([]byte(strings.Repeat(".", 1023) + "\n"))
	}
	if !errors.Is(err, os.ErrDeadlineExceeded) {
		t.Fatal(err)
	}
	return reader, writer
}

// unwritableOutputs open a standard error to which nothing can be written.
var unwritableOutputs = map[string]func(t *testing.T) *os.File{
	"unread pipe": func(t *testing.T) *os.File {
		_, writer := fullPipe(t)
		return writer
	},
	"closed pipe": func(t *testing.T) *os.File {
		reader, writer := fullPipe(t)
		reader.Close()
		return writer
	},
	"full disk": func(t *testing.T) *os.File {
		file, err := os.OpenFile("/dev/full", os.O_WRONLY, 0)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { file.Close() })
		return file
	},
}

// TestUnwritableLogDelaysNothing checks that a daemon whose log lines cannot be written starts, serves, reloads and
// ends in time. At level debug each request logs several lines.
func TestUnwritableLogDelaysNothing(t *testing.T) {
	for name, open := range unwritableOutputs {
		t.Run(name, func(t *testing.T) {
			d := newTestDaemon(t, node.Config{})
			d.stderr = open(t)
			d.configure("[log]\nlevel = \"debug\"\n")
			d.start()
			d.awaitNotified("READY=1")
			c := d.connect()
			c.serveReads(100)
			d.signal(syscall.SIGHUP)
			d.awaitNotified("RELOADING=1")
			d.awaitNotified("READY=1")
			c.serveReads(100)
			terminatedAt := time.Now()
			d.signal(syscall.SIGTERM)
			d.awaitExit()
			if took := time.Since(terminatedAt); took > earliestKill {
				t.Errorf("ended %v after SIGTERM", took)
			}
		})
	}
}

// serveReads sends reads one after another and expects each to be served.
func (c *client) serveReads(count int) {
	c.t.Helper()
	for range count {
		c.send("mg k v O1 Pc=read,d=2000\r\n")
		c.expect("VA ")
	}
}

// TestDroppedLogLinesAreReported checks that a daemon reports how many log lines it dropped while nobody read them, and
// continues to log. All lines up to the end of the process are written if there is a reader.
func TestDroppedLogLinesAreReported(t *testing.T) {
	d := newTestDaemon(t, node.Config{})
	reader, writer := fullPipe(t)
	d.stderr = writer
	d.configure("[log]\nlevel = \"debug\"\n")
	d.start()
	d.awaitNotified("READY=1")
	c := d.connect()
	c.serveReads(2000) // lines of more than the queue's 1 MiB
	messages := make(chan string, 100000)
	writer.Close() // the process has its own descriptor
	go func() {
		defer close(messages)
		for in := bufio.NewScanner(reader); in.Scan(); {
			messages <- in.Text()
		}
	}()
	waitLine(t, messages, "msg=\"listener opened\"")
	report := waitLine(t, messages, "msg=\"log lines dropped\" proxy=")
	if !strings.Contains(report, "level=WARN") || strings.HasSuffix(report, "count=0") {
		t.Errorf("reported %q", report)
	}
	c.serveReads(1)
	d.signal(syscall.SIGTERM)
	waitLine(t, messages, "msg=\"drain completed\"")
	d.awaitExit()
}

// TestFailedStartWithUnwritableLogExits checks that a start that fails ends the process although its error cannot be
// written.
func TestFailedStartWithUnwritableLogExits(t *testing.T) {
	for name, open := range unwritableOutputs {
		t.Run(name, func(t *testing.T) {
			process := exec.Command(os.Args[0], "serve", "--config", "/nonexistent")
			process.Env = append(os.Environ(), "MULLEINPIER_RUN=1", "GW_CONFIG=")
			process.Stderr = open(t)
			if err := process.Start(); err != nil {
				t.Fatal(err)
			}
			t.Cleanup(func() { process.Process.Kill() })
			ended := make(chan error, 1)
			go func() { ended <- process.Wait() }()
			testutil.Receive(t, "the process to end", ended)
			if code := process.ProcessState.ExitCode(); code != exitFailed {
				t.Errorf("exit code %d, want %d", code, exitFailed)
			}
		})
	}
}
