package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"mulleinpier/internal/fake/node"
	"mulleinpier/internal/fake/origin"
	"mulleinpier/internal/testutil"
)

// testDaemon is a daemon that runs in a separate process, with fake nodes.
type testDaemon struct {
	t        *testing.T
	nodes    []*node.Node
	origin   *origin.Origin
	path     string // path of the configuration file
	address  string // address that clients connect to
	process  *exec.Cmd
	stderr   *os.File      // standard error of the process; a pipe whose lines go to lines if nil
	lines    <-chan string // lines of the daemon's log
	notified chan string   // lines that the service manager has received
	exited   chan error

	mu           sync.Mutex
	requestsSeen map[string]int // number of times that nodes have received a request, by request ID
}

// newTestDaemon starts two nodes and writes a configuration with a free address. The method start starts the daemon.
func newTestDaemon(t *testing.T, n node.Config) *testDaemon {
	t.Helper()
	n.Slots, n.Queue = 64, 1024
	return newTestDaemonWith(t, 2, n)
}

// newTestDaemonWith is like newTestDaemon with a number of nodes.
func newTestDaemonWith(t *testing.T, nodes int, n node.Config) *testDaemon {
	t.Helper()
	d := &testDaemon{
		t:            t,
		origin:       origin.New(origin.Config{Slots: 64, Queue: 1024}),
		requestsSeen: make(map[string]int),
		notified:     make(chan string, 1000),
		exited:       make(chan error, 1),
	}
	t.Cleanup(d.origin.Close)
	group := node.NewGroup(1500 * time.Millisecond)
	for i := range nodes {
		c := n
		c.Name = fmt.Sprint("n", i)
		c.Origin, c.Group = d.origin, group
		c.OnRequest = func(_, id, _ string, _ time.Time) {
			d.mu.Lock()
			defer d.mu.Unlock()
			d.requestsSeen[id]++
		}
		started, err := node.Start(c)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(started.Close)
		d.nodes = append(d.nodes, started)
	}
	d.address = freeAddress(t)
	d.path = filepath.Join(t.TempDir(), "daemon.toml")
	d.configure("")
	return d
}

// configText returns a configuration that consists of the address, the nodes and the text more.
func (d *testDaemon) configText(more string) string {
	var addresses []string
	for _, n := range d.nodes {
		addresses = append(addresses, strconv.Quote(n.Address()))
	}
	const format = "listen = %q\nnodes.addresses = [%s]\n%s"
	return fmt.Sprintf(format, d.address, strings.Join(addresses, ", "), more)
}

// configure writes the configuration file with the result of configText.
func (d *testDaemon) configure(more string) { replaceFile(d.t, d.path, []byte(d.configText(more))) }

// start starts the daemon with a fake service manager, which passes the messages it receives to d.notified.
func (d *testDaemon) start(env ...string) {
	d.t.Helper()
	address := &net.UnixAddr{Name: filepath.Join(d.t.TempDir(), "notify"), Net: "unixgram"}
	manager, err := net.ListenUnixgram("unixgram", address)
	if err != nil {
		d.t.Fatal(err)
	}
	d.t.Cleanup(func() { manager.Close() })
	go d.receiveNotifications(manager)
	d.startWithManager(manager.LocalAddr().String(), env...)
}

// receiveNotifications passes the lines that the service manager receives to d.notified until its socket is closed.
func (d *testDaemon) receiveNotifications(manager *net.UnixConn) {
	buffer := make([]byte, 4096)
	for {
		n, err := manager.Read(buffer)
		if err != nil {
			return
		}
		for line := range strings.SplitSeq(string(buffer[:n]), "\n") {
			select {
			case d.notified <- line:
			default: // the buffer is full: the test has stopped reading notifications
			}
		}
	}
}

// startWithManager starts the daemon with NOTIFY_SOCKET set to the address of a service manager.
func (d *testDaemon) startWithManager(manager string, env ...string) {
	d.t.Helper()
	d.process = exec.Command(os.Args[0], "serve", "--config", d.path)
	d.process.Env = append(append(os.Environ(), "MULLEINPIER_RUN=1", "GW_CONFIG=", "NOTIFY_SOCKET="+manager), env...)
	d.run()
}

// run starts d.process, sends the lines of its log to d.lines, and sends the result of its exit to d.exited.
func (d *testDaemon) run() {
	d.t.Helper()
	out := d.logOutput()
	if err := d.process.Start(); err != nil {
		d.t.Fatal(err)
	}
	lines := make(chan string, 10000)
	d.lines = lines
	process, exited := d.process, make(chan error, 1)
	d.exited = exited
	go func() {
		defer close(lines)
		for in := bufio.NewScanner(out); in.Scan(); {
			lines <- in.Text()
		}
		exited <- process.Wait()
	}()
	d.t.Cleanup(func() { process.Process.Kill() })
}

// logOutput sets the standard error of d.process, and returns what the test reads of it.
func (d *testDaemon) logOutput() io.Reader {
	d.t.Helper()
	if d.stderr != nil {
		d.process.Stderr = d.stderr
		return strings.NewReader("")
	}
	out, err := d.process.StderrPipe()
	if err != nil {
		d.t.Fatal(err)
	}
	return out
}

// awaitNotified waits until the service manager has received a line with a prefix. It discards the lines before.
func (d *testDaemon) awaitNotified(prefix string) {
	d.t.Helper()
	for {
		line := testutil.Receive(d.t, "a notification "+prefix, d.notified)
		if strings.HasPrefix(line, prefix) {
			return
		}
	}
}

func (d *testDaemon) signal(s syscall.Signal) {
	d.t.Helper()
	if err := d.process.Process.Signal(s); err != nil {
		d.t.Fatal(err)
	}
}

// awaitExit waits for the process to exit, and fails the test if its exit status is not 0.
func (d *testDaemon) awaitExit() {
	d.t.Helper()
	if err := testutil.Receive(d.t, "the daemon to exit", d.exited); err != nil {
		d.t.Errorf("the daemon exited with %v", err)
	}
}

// timesSeen returns the number of times that nodes have received the request with an ID.
func (d *testDaemon) timesSeen(id string) int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.requestsSeen[id]
}

// client is a client with one connection to the daemon.
type client struct {
	t      *testing.T
	socket net.Conn
	in     *bufio.Reader
}

func (d *testDaemon) connect() *client {
	d.t.Helper()
	socket, err := net.Dial("tcp", d.address)
	if err != nil {
		d.t.Fatal(err)
	}
	d.t.Cleanup(func() { socket.Close() })
	socket.SetDeadline(time.Now().Add(testutil.Timeout))
	return &client{d.t, socket, bufio.NewReader(socket)}
}

func (c *client) send(format string, a ...any) { fmt.Fprintf(c.socket, format, a...) }

// line returns the next line, or "" at the end of the connection.
func (c *client) line() string {
	c.t.Helper()
	line, err := c.in.ReadString('\n')
	if err != nil && !errors.Is(err, io.EOF) && !errors.Is(err, syscall.ECONNRESET) {
		c.t.Fatalf("neither a response nor the end of the connection: %v", err)
	}
	return strings.TrimSuffix(line, "\r\n")
}

// expect reads a response and fails the test unless it has a prefix. It skips the line of the value, if there is one.
func (c *client) expect(prefix string) {
	c.t.Helper()
	got := c.line()
	if !strings.HasPrefix(got, prefix) {
		c.t.Errorf("got %q, want %q", got, prefix)
	}
	if strings.HasPrefix(got, "VA ") {
		c.line()
	}
}
