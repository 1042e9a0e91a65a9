package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"mulleinpier/internal/fake/node"
	"mulleinpier/internal/fake/origin"
	"mulleinpier/internal/testutil"
)

// rig is a daemon of its own process between stand-in nodes and a test's clients.
type rig struct {
	t       *testing.T
	nodes   []*node.Node
	center  *origin.Origin
	path    string
	address string
	cmd     *exec.Cmd
	lines   <-chan string
	told    chan string // lines that the service manager was told
	ended   chan error

	mu   sync.Mutex
	seen map[string]int // ids, by how often nodes have seen them
}

// newRig starts stand-ins, and writes a configuration that names an address
// which is free; start starts the daemon.
func newRig(t *testing.T, n node.Config) *rig {
	t.Helper()
	r := &rig{t: t, center: origin.New(origin.Config{Slots: 64, Queue: 1024}), seen: make(map[string]int),
		told: make(chan string, 1000), ended: make(chan error, 1)}
	t.Cleanup(r.center.Close)
	group := node.NewGroup(1500 * time.Millisecond)
	for i := range 2 {
		c := n
		c.Name, c.Origin, c.Group, c.Slots, c.Queue = fmt.Sprint("n", i), r.center, group, 64, 1024
		c.OnRequest = func(_, id, _ string, _ time.Time) {
			r.mu.Lock()
			defer r.mu.Unlock()
			r.seen[id]++
		}
		started, err := node.Start(c)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(started.Close)
		r.nodes = append(r.nodes, started)
	}
	// No connection goes out from this address, so none can take the port.
	free, err := net.Listen("tcp", "127.0.0.3:0")
	if err != nil {
		t.Fatal(err)
	}
	r.address = free.Addr().String()
	free.Close()
	r.path = filepath.Join(t.TempDir(), "daemon.toml")
	r.configure("")
	return r
}

// text is a configuration of the rig's, with more behind.
func (r *rig) text(more string) string {
	return fmt.Sprintf("listen = %q\nnodes.addresses = [%q, %q]\n%s", r.address, r.nodes[0].Address(), r.nodes[1].Address(), more)
}

func (r *rig) configure(more string) { replace(r.t, r.path, []byte(r.text(more))) }

// start starts the daemon, with a service manager that the test hears.
func (r *rig) start(env ...string) {
	r.t.Helper()
	manager, err := net.ListenUnixgram("unixgram", &net.UnixAddr{Name: filepath.Join(r.t.TempDir(), "notify"), Net: "unixgram"})
	if err != nil {
		r.t.Fatal(err)
	}
	r.t.Cleanup(func() { manager.Close() })
	go func() {
		buf := make([]byte, 4096)
		for {
			n, err := manager.Read(buf)
			if err != nil {
				return
			}
			for line := range strings.SplitSeq(string(buf[:n]), "\n") {
				select {
				case r.told <- line:
				default: // nobody listens any more
				}
			}
		}
	}()
	r.startUnder(manager.LocalAddr().String(), env...)
}

func (r *rig) startUnder(manager string, env ...string) {
	r.t.Helper()
	r.cmd = exec.Command(os.Args[0], "serve", "--config", r.path)
	r.cmd.Env = append(append(os.Environ(), "MULLEINPIER_RUN=1", "GW_CONFIG=", "NOTIFY_SOCKET="+manager), env...)
	r.run()
}

func (r *rig) run() {
	r.t.Helper()
	out, err := r.cmd.StderrPipe()
	if err != nil {
		r.t.Fatal(err)
	}
	if err := r.cmd.Start(); err != nil {
		r.t.Fatal(err)
	}
	lines := make(chan string, 10000)
	r.lines = lines
	cmd, ended := r.cmd, make(chan error, 1)
	r.ended = ended
	go func() {
		defer close(lines)
		for in := bufio.NewScanner(out); in.Scan(); {
			lines <- in.Text()
		}
		ended <- cmd.Wait()
	}()
	r.t.Cleanup(func() { cmd.Process.Kill() })
}

// hear waits until the service manager was told a line that begins so.
func (r *rig) hear(start string) {
	r.t.Helper()
	for !strings.HasPrefix(testutil.Receive(r.t, "the service manager to be told "+start, r.told), start) {
	}
}

func (r *rig) signal(s syscall.Signal) {
	r.t.Helper()
	if err := r.cmd.Process.Signal(s); err != nil {
		r.t.Fatal(err)
	}
}

// end waits for the daemon's end, which must be a good one.
func (r *rig) end() {
	r.t.Helper()
	if err := testutil.Receive(r.t, "the daemon to end", r.ended); err != nil {
		r.t.Errorf("the daemon ended with %v", err)
	}
}

func (r *rig) sawTimes(id string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.seen[id]
}

// caller is a client's connection.
type caller struct {
	t      *testing.T
	socket net.Conn
	in     *bufio.Reader
}

func (r *rig) call() *caller {
	r.t.Helper()
	socket, err := net.Dial("tcp", r.address)
	if err != nil {
		r.t.Fatal(err)
	}
	r.t.Cleanup(func() { socket.Close() })
	socket.SetDeadline(time.Now().Add(testutil.Timeout))
	return &caller{r.t, socket, bufio.NewReader(socket)}
}

func (c *caller) send(format string, a ...any) { fmt.Fprintf(c.socket, format, a...) }

// line returns the next line; "" stands for the end of the connection.
func (c *caller) line() string {
	c.t.Helper()
	line, err := c.in.ReadString('\n')
	if err != nil && !errors.Is(err, io.EOF) && !errors.Is(err, syscall.ECONNRESET) {
		c.t.Fatalf("neither an answer nor an end: %v", err)
	}
	return strings.TrimSuffix(line, "\r\n")
}

// expect reads an answer, whose value, if it has one, is passed over.
func (c *caller) expect(start string) {
	c.t.Helper()
	got := c.line()
	if !strings.HasPrefix(got, start) {
		c.t.Errorf("answered %q, want %q", got, start)
	}
	if strings.HasPrefix(got, "VA ") {
		c.line()
	}
}

// TestReloadDuringDrainIsIgnored guards against a reload that revives a daemon
// which ends, or that stops its drain half-way.
func TestReloadDuringDrainIsIgnored(t *testing.T) {
	r := newRig(t, node.Config{})
	r.start()
	r.hear("READY=1")
	r.nodes[0].SetFault(node.Fault{Kind: node.Stall})
	r.nodes[1].SetFault(node.Fault{Kind: node.Stall})
	c := r.call()
	c.send("mg k v O1 Pc=read,d=20000\r\n")
	testutil.WaitUntil(t, "the read to be at a node", func() bool { return r.sawTimes("1") > 0 })
	r.signal(syscall.SIGTERM)
	r.hear("STOPPING=1")
	r.configure("[[tenant]]\nname = \"only\"\n")
	r.signal(syscall.SIGHUP)
	waitLine(t, r.lines, "configuration reload ignored")
	r.nodes[0].SetFault(node.Fault{})
	r.nodes[1].SetFault(node.Fault{})
	c.expect("VA ")
	c.expect("")
	c.socket.Close()
	r.end()
	for len(r.told) > 0 {
		if line := <-r.told; strings.HasPrefix(line, "RELOADING") || strings.HasPrefix(line, "READY") {
			t.Errorf("told %q while it ended", line)
		}
	}
}

// TestTenReloadsInASecond guards against reloads that are lost, or that end the
// daemon, when they come faster than they are done: the last file is in force
// after the last READY.
func TestTenReloadsInASecond(t *testing.T) {
	r := newRig(t, node.Config{})
	r.start()
	r.hear("READY=1")
	for i := range 10 {
		r.configure(fmt.Sprintf("[[class]]\nname = \"c%d\"\n", i))
		r.signal(syscall.SIGHUP)
	}
	testutil.WaitUntil(t, "the last configuration to be in force", func() bool {
		c := r.call()
		defer c.socket.Close()
		c.send("mg k v O1 Pc=c9,d=1000\r\n")
		return strings.HasPrefix(c.line(), "VA ")
	})
	r.signal(syscall.SIGTERM)
	r.end()
}

// TestBadReloadChangesNothing guards against half of a configuration in force:
// a file that is broken, vanished, half written, empty, or that asks for what
// can't change, is told in the log, and the old one stays entire.
func TestBadReloadChangesNothing(t *testing.T) {
	r := newRig(t, node.Config{})
	good := "[[class]]\nname = \"old\"\n"
	r.configure(good)
	r.start()
	r.hear("READY=1")
	fresh := "[[class]]\nname = \"new\"\n"
	for _, c := range []struct {
		name, line string
		spoil      func()
	}{
		{"broken", "configuration reload failed", func() { r.configure(fresh + "[limits\n") }},
		{"unknown key", "class[0].colour is unknown", func() { r.configure(fresh + "colour = 1\n") }},
		{"vanished", "configuration reload failed", func() { os.Remove(r.path) }},
		{"half", "configuration reload failed", func() { replace(t, r.path, []byte(r.text(fresh))[:30]) }},
		{"empty", "is empty", func() { replace(t, r.path, nil) }},
		{"a folder", "configuration reload failed", func() { os.Remove(r.path); os.Mkdir(r.path, 0o700) }},
		{"other memory", "configuration reload rejected", func() { os.Remove(r.path); r.configure(fresh + "[limits]\nmemory_mb = 128\n") }},
		{"other address", "configuration reload rejected", func() {
			replace(t, r.path, []byte(strings.Replace(r.text(fresh), "127.0.0.3", "127.0.0.4", 1)))
		}},
		{"other zones", "configuration reload rejected", func() {
			replace(t, r.path, []byte("zones = [\"z\"]\nzone = \"z\"\n"+r.text(fresh)))
		}},
	} {
		c.spoil()
		r.signal(syscall.SIGHUP)
		waitLine(t, r.lines, c.line)
		user := r.call()
		user.send("mg k v O1 Pc=new,d=1000\r\nmg k v O2 Pc=old,d=1000\r\n")
		if got := user.line(); got != "CLIENT_ERROR unknown class" {
			t.Errorf("%s: of the refused file the class is in force: %q", c.name, got)
		}
		user.expect("VA ")
		user.socket.Close()
	}
	r.configure(fresh)
	r.signal(syscall.SIGHUP)
	waitLine(t, r.lines, "configuration reloaded")
	user := r.call()
	user.send("mg k v O1 Pc=new,d=1000\r\n")
	user.expect("VA ")
	r.signal(syscall.SIGTERM)
	r.end()
}

// TestReloadLeavesOpenRequestsTheirRules guards against a reload that takes the
// class from under a request, or its time.
func TestReloadLeavesOpenRequestsTheirRules(t *testing.T) {
	r := newRig(t, node.Config{})
	r.configure("[[class]]\nname = \"old\"\ndeadline = \"30s\"\n")
	r.start()
	r.hear("READY=1")
	for _, n := range r.nodes {
		n.SetFault(node.Fault{Kind: node.Stall})
	}
	open := r.call()
	open.send("mg k v O1 Pc=old,d=30000\r\n")
	testutil.WaitUntil(t, "the read to be at a node", func() bool { return r.sawTimes("1") > 0 })
	r.configure("[[class]]\nname = \"new\"\naim = \"1ms\"\ndeadline = \"1ms\"\n")
	r.signal(syscall.SIGHUP)
	r.hear("RELOADING=1")
	r.hear("READY=1")
	late := r.call()
	late.send("mg k v O2 Pc=old,d=1000\r\n")
	late.expect("CLIENT_ERROR unknown class")
	for _, n := range r.nodes {
		n.SetFault(node.Fault{})
	}
	open.expect("VA ")
	r.signal(syscall.SIGTERM)
	r.end()
}

// TestDrainWithAPipelineThatNeverPauses guards against a client that always has
// commands out: the drain must end, and all that a node has seen be answered.
func TestDrainWithAPipelineThatNeverPauses(t *testing.T) {
	r := newRig(t, node.Config{ServiceTime: 5 * time.Millisecond})
	r.start()
	r.hear("READY=1")
	c := r.call()
	go func() { // until the connection is closed
		for i := 0; ; i++ {
			if _, err := fmt.Fprintf(c.socket, "mg k%d v O%d Pc=read,d=2000\r\n", i%10, i); err != nil {
				return
			}
		}
	}()
	answered := make(chan int, 1)
	first := make(chan struct{})
	go func() {
		n := 0
		for ; ; n++ {
			line, err := c.in.ReadString('\n')
			if err != nil {
				break
			}
			if n == 0 {
				close(first)
			}
			var size int
			if strings.HasPrefix(line, "VA ") {
				fmt.Sscanf(line, "VA %d", &size)
				if _, err := c.in.Discard(size + 2); err != nil || !strings.Contains(line, fmt.Sprintf(" O%d", n)) {
					break
				}
			}
		}
		answered <- n
	}()
	testutil.Receive(t, "an answer", func() <-chan struct{} {
		done := make(chan struct{}, 1)
		go func() { <-first; done <- struct{}{} }()
		return done
	}())
	r.signal(syscall.SIGTERM)
	r.end()
	n := testutil.Receive(t, "the end of the answers", answered)
	r.mu.Lock()
	defer r.mu.Unlock()
	for id := range r.seen {
		var i int
		if fmt.Sscan(id, &i); i >= n {
			t.Errorf("request %s was at a node, and only %d were answered", id, n)
		}
	}
	if n == 0 || len(r.seen) == 0 {
		t.Errorf("%d answered, %d seen", n, len(r.seen))
	}
}

// TestDrainWithAClientThatNeverReads guards against answers that nobody takes:
// they must not hold a drain for longer than any answer may take.
func TestDrainWithAClientThatNeverReads(t *testing.T) {
	r := newRig(t, node.Config{ValueSize: 60 << 10})
	r.start()
	r.hear("READY=1")
	c := r.call()
	c.socket.(*net.TCPConn).SetReadBuffer(4 << 10)
	go func() {
		for i := 0; ; i++ {
			if _, err := fmt.Fprintf(c.socket, "mg k v O%d Pc=read,d=2000\r\n", i); err != nil {
				return
			}
		}
	}()
	testutil.WaitUntil(t, "reads to be at the nodes", func() bool { return r.nodes[0].Stats().Requests+r.nodes[1].Stats().Requests > 10 })
	r.signal(syscall.SIGTERM)
	r.end()
}

// TestTerminationBeforeTheListenerIsUp guards against a signal that comes while
// the start waits, and against one that the daemon then forgets.
func TestTerminationBeforeTheListenerIsUp(t *testing.T) {
	r := newRig(t, node.Config{})
	other, err := net.Listen("tcp", r.address)
	if err != nil {
		t.Fatal(err)
	}
	defer other.Close()
	r.configure("[start]\nwait_for_address = \"60s\"\n")
	r.start("WATCHDOG_USEC=20000")
	r.hear("WATCHDOG=1") // it handles events, and waits for the address
	r.signal(syscall.SIGTERM)
	r.hear("STOPPING=1")
	r.end()
}

// TestHangupDuringTheStartIsHeeded guards against a reload that is lost as it
// comes before the daemon is ready.
func TestHangupDuringTheStartIsHeeded(t *testing.T) {
	r := newRig(t, node.Config{})
	other, err := net.Listen("tcp", r.address)
	if err != nil {
		t.Fatal(err)
	}
	r.configure("[start]\nwait_for_address = \"60s\"\n")
	r.start("WATCHDOG_USEC=20000")
	r.hear("WATCHDOG=1")
	r.signal(syscall.SIGHUP)
	r.hear("STATUS=starting, to reload")
	r.configure("[[class]]\nname = \"new\"\n[start]\nwait_for_address = \"60s\"\n")
	other.Close()
	r.hear("READY=1")
	r.hear("RELOADING=1")
	r.hear("READY=1")
	c := r.call()
	c.send("mg k v O1 Pc=new,d=1000\r\n")
	c.expect("VA ")
	r.signal(syscall.SIGTERM)
	r.end()
}

// TestHangupsFromTheFirstMoment guards the way in which no hangup is lost, nor deadly,
// from exec on: started with SIGHUP ignored, the program takes it over as soon as
// it can, and reads its configuration after that.
func TestHangupsFromTheFirstMoment(t *testing.T) {
	r := newRig(t, node.Config{})
	for range 5 {
		r.configure("")
		r.cmd = exec.Command(os.Args[0], "serve", "--config", r.path)
		r.cmd.Env = append(os.Environ(), "MULLEINPIER_RUN=1", "GW_CONFIG=")
		signal.Ignore(syscall.SIGHUP) // and so does what is started
		r.run()
		signal.Reset(syscall.SIGHUP)
		ready := make(chan struct{})
		hung := make(chan struct{})
		go func() { // without a pause, from before the exec until it serves
			defer close(hung)
			for {
				select {
				case <-ready:
					return
				default:
					r.cmd.Process.Signal(syscall.SIGHUP)
				}
			}
		}()
		r.configure("[[class]]\nname = \"new\"\n")
		waitLine(t, r.lines, "listener opened")
		waitLine(t, r.lines, "configuration reloaded")
		close(ready)
		<-hung
		c := r.call()
		c.send("mg k v O1 Pc=new,d=2000\r\n")
		c.expect("VA ")
		c.socket.Close()
		r.signal(syscall.SIGTERM)
		r.end()
	}
}

// TestSecondTerminationEndsWithWhatIsOpen guards against a hurried end that drops
// what was taken, or that still takes more.
func TestSecondTerminationEndsWithWhatIsOpen(t *testing.T) {
	r := newRig(t, node.Config{ValueSize: 60 << 10})
	r.configure("[[class]]\nname = \"read\"\ndeadline = \"60s\"\n")
	r.start()
	r.hear("READY=1")
	// This one takes no answer, and its class would let it hold the drain for a minute.
	deaf := r.call()
	deaf.socket.(*net.TCPConn).SetReadBuffer(4 << 10)
	for i, stuck := 0, false; !stuck; i++ { // until the proxy reads no more of it
		deaf.socket.SetWriteDeadline(time.Now().Add(500 * time.Millisecond))
		_, err := fmt.Fprintf(deaf.socket, "mg k v Od%d Pc=read,d=60000\r\n", i)
		stuck = err != nil
	}
	for _, n := range r.nodes {
		n.SetFault(node.Fault{Kind: node.Stall})
	}
	c := r.call()
	c.send("mg k v O1 Pc=read,d=1500\r\n")
	testutil.WaitUntil(t, "the read to be at a node", func() bool { return r.sawTimes("1") > 0 })
	r.signal(syscall.SIGTERM)
	r.hear("STOPPING=1")
	r.signal(syscall.SIGTERM)
	c.expect("SERVER_ERROR ") // by its deadline, not by the class's
	c.expect("")
	c.socket.Close()
	r.end()
}

// TestDeafServiceManagerHoldsNothingUp guards against a manager that reads
// nothing, and against one that is not there.
func TestDeafServiceManagerHoldsNothingUp(t *testing.T) {
	path := filepath.Join(t.TempDir(), "deaf")
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
	for full := false; !full; { // until no message finds room any more
		filler.SetWriteDeadline(time.Now().Add(50 * time.Millisecond))
		_, err := filler.Write(make([]byte, 1024))
		full = err != nil
	}
	for _, manager := range []string{path, filepath.Join(t.TempDir(), "nobody")} {
		r := newRig(t, node.Config{})
		r.startUnder(manager, "WATCHDOG_USEC=20000")
		waitLine(t, r.lines, "service manager notification failed")
		c := r.call()
		c.send("mg k v O1 Pc=read,d=2000\r\n")
		c.expect("VA ")
		r.signal(syscall.SIGHUP)
		waitLine(t, r.lines, "configuration reloaded")
		r.signal(syscall.SIGTERM)
		r.end()
	}
}

// TestSuccessorAtTheSameAddress guards against a new process that gives up while
// the old one still has the address, and against an old one that drops what it
// has while the new one serves.
func TestSuccessorAtTheSameAddress(t *testing.T) {
	r := newRig(t, node.Config{})
	r.configure("[start]\nwait_for_address = \"60s\"\n")
	r.start()
	r.hear("READY=1")
	for _, n := range r.nodes {
		n.SetFault(node.Fault{Kind: node.Stall})
	}
	before := r.call()
	before.send("mg k v O1 Pc=read,d=2000\r\n")
	testutil.WaitUntil(t, "the read to be at a node", func() bool { return r.sawTimes("1") > 0 })
	old, oldEnded := r.cmd, r.ended
	r.start()
	old.Process.Signal(syscall.SIGTERM)
	r.hear("READY=1")
	for _, n := range r.nodes {
		n.SetFault(node.Fault{})
	}
	after := r.call()
	after.send("mg k v O2 Pc=read,d=2000\r\n")
	after.expect("VA ")
	if got := before.line(); !strings.Contains(got, " O1") && !strings.HasPrefix(got, "SERVER_ERROR ") {
		t.Errorf("the old process answered %q", got)
	}
	before.socket.Close()
	if err := testutil.Receive(t, "the old process to end", oldEnded); err != nil {
		t.Errorf("the old process ended with %v", err)
	}
	r.signal(syscall.SIGTERM)
	r.end()
}

// TestPassedListenerLosesNobody guards the service manager's way of holding the
// address: while processes follow one another, each connection comes up, and
// what is asked first on it is answered.
func TestPassedListenerLosesNobody(t *testing.T) {
	r := newRig(t, node.Config{})
	listener, err := net.Listen("tcp", r.address)
	if err != nil {
		t.Fatal(err)
	}
	file, err := listener.(*net.TCPListener).File()
	if err != nil {
		t.Fatal(err)
	}
	defer file.Close()
	listener.Close()
	pass := func() {
		r.cmd = exec.Command("/bin/sh", "-c", `LISTEN_PID=$$ LISTEN_FDS=1 exec "$0" "$@"`, os.Args[0], "serve", "--config", r.path)
		r.cmd.Env = append(os.Environ(), "MULLEINPIER_RUN=1", "GW_CONFIG=")
		r.cmd.ExtraFiles = []*os.File{file}
		r.run()
		waitLine(t, r.lines, "listener opened")
	}
	pass()
	stop := make(chan struct{})
	var callers sync.WaitGroup
	var mu sync.Mutex
	lost, answered := map[string]int{}, 0
	for worker := range 4 {
		callers.Go(func() {
			for i := 0; ; i++ {
				select {
				case <-stop:
					return
				default:
				}
				line, err := once(r.address, fmt.Sprintf("w%d.%d", worker, i))
				mu.Lock()
				if answered++; !strings.HasPrefix(line, "VA ") {
					lost[fmt.Sprint(line, err)]++
				}
				mu.Unlock()
			}
		})
	}
	for range 6 {
		old, oldEnded := r.cmd, r.ended
		pass()
		old.Process.Signal(syscall.SIGTERM)
		if err := testutil.Receive(t, "the old process to end", oldEnded); err != nil {
			t.Errorf("the old process ended with %v", err)
		}
	}
	close(stop)
	callers.Wait()
	if len(lost) > 0 || answered == 0 {
		t.Errorf("of %d new connections these got no answer: %v", answered, lost)
	}
	r.signal(syscall.SIGTERM)
	r.end()
}

// once asks for one read over a connection of its own.
func once(address, id string) (string, error) {
	socket, err := net.Dial("tcp", address)
	if err != nil {
		return "", err
	}
	defer socket.Close()
	socket.SetDeadline(time.Now().Add(testutil.Timeout))
	fmt.Fprintf(socket, "mg k v O%s Pc=read,d=2000\r\n", id)
	return bufio.NewReader(socket).ReadString('\n')
}

// TestBadStartsSayWhyInOneLine guards against a start that fails without a
// clear word, or with a page of them.
func TestBadStartsSayWhyInOneLine(t *testing.T) {
	r := newRig(t, node.Config{})
	taken, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer taken.Close()
	folder := t.TempDir()
	write := func(name, text string) string {
		path := filepath.Join(folder, name)
		replace(t, path, []byte(text))
		return path
	}
	nodes := "nodes.addresses = [\"127.0.0.1:1\"]\n"
	for _, c := range []struct {
		name string
		args []string
		env  string
		want string
	}{
		{"no file", []string{"serve", "--config", filepath.Join(folder, "none")}, "", "no such file"},
		{"empty file", []string{"serve", "--config", write("empty", "")}, "", "is empty"},
		{"no syntax", []string{"serve", "--config", write("syntax", "listen = ")}, "", "toml: line 1"},
		{"unknown key", []string{"serve", "--config", write("key", "listen = \":0\"\nport = 3\n"+nodes)}, "", "port is unknown"},
		{"many wrong", []string{"serve", "--config", write("many", "listen = 3\nport = 3\n")}, "", "(and 2 more: see mulleinpier check)"},
		{"address taken", []string{"serve", "--config", write("taken", fmt.Sprintf("listen = %q\n%s", taken.Addr(), nodes))}, "",
			"address already in use"},
		{"two sockets passed", []string{"serve", "--config", r.path}, "LISTEN_FDS=2", "LISTEN_FDS cannot be \"2\""},
		{"manager's address", []string{"serve", "--config", r.path}, "NOTIFY_SOCKET=here", "NOTIFY_SOCKET cannot be \"here\""},
		{"no configuration", []string{"serve"}, "", "missing flags: --config=STRING"},
		{"no such command", []string{"dance"}, "", "unexpected argument dance"},
		{"no command", nil, "", "no command, and GW_CONFIG is not set"},
	} {
		cmd := exec.Command("/bin/sh", append([]string{"-c", `LISTEN_PID=$$ exec "$0" "$@"`, os.Args[0]}, c.args...)...)
		cmd.Env = append(os.Environ(), "MULLEINPIER_RUN=1", "GW_CONFIG=")
		if c.env != "" {
			cmd.Env = append(cmd.Env, c.env)
		}
		out, err := cmd.CombinedOutput()
		first, rest, _ := strings.Cut(string(out), "\n")
		var exit *exec.ExitError
		if !errors.As(err, &exit) || exit.ExitCode() <= 0 {
			t.Errorf("%s: ended with %v", c.name, err)
		}
		if !strings.HasPrefix(first, "mulleinpier: ") || !strings.Contains(first, c.want) ||
			rest != "" && !strings.HasPrefix(rest, "Usage:") {
			t.Errorf("%s: said %q, want one line with %q", c.name, out, c.want)
		}
	}
}

// TestCheckTellsAllErrors guards against a check that stops at the first.
func TestCheckTellsAllErrors(t *testing.T) {
	path := filepath.Join(t.TempDir(), "bad.toml")
	replace(t, path, []byte("listen = 3\nport = 3\n[limits]\nmemory_mb = 1\n"))
	cmd := exec.Command(os.Args[0], "check", "--config", path)
	cmd.Env = append(os.Environ(), "MULLEINPIER_RUN=1", "GW_CONFIG=")
	out, err := cmd.Output()
	if err == nil {
		t.Error("a bad configuration passed the check")
	}
	for _, want := range []string{"listen cannot be 3: want a text", "port is unknown", "limits.memory_mb cannot be 1: want a whole number from 32",
		"nodes has no source"} {
		if !strings.Contains(string(out), path+": "+want) {
			t.Errorf("%q is not told: %s", want, out)
		}
	}
}

// TestNodeFileIsFollowed guards the watched file: a drain in it is heeded, and a
// file that is broken, gone or half there changes nothing.
func TestNodeFileIsFollowed(t *testing.T) {
	r := newRig(t, node.Config{})
	nodes := filepath.Join(filepath.Dir(r.path), "nodes.toml")
	both := func(status string) []byte {
		return fmt.Appendf(nil, "[[node]]\nname = \"n0\"\naddress = %q\nstatus = %q\n[[node]]\nname = \"n1\"\naddress = %q\n", r.nodes[0].Address(),
			status, r.nodes[1].Address())
	}
	replace(t, nodes, both("up"))
	replace(t, r.path, fmt.Appendf(nil, "listen = %q\nnodes.file = \"nodes.toml\"\n", r.address))
	r.start()
	r.hear("READY=1")
	serial := 0
	reach := func(want int) (others int) { // reads until that node was asked for one
		before := [2]int{r.nodes[0].Stats().Requests, r.nodes[1].Stats().Requests}
		testutil.WaitUntil(t, fmt.Sprintf("a read at node %d", want), func() bool {
			c := r.call()
			defer c.socket.Close()
			serial++
			c.send("mg k%d v Os%d Pc=read,d=2000\r\n", serial, serial)
			c.expect("VA ")
			return r.nodes[want].Stats().Requests > before[want]
		})
		return r.nodes[1-want].Stats().Requests - before[1-want]
	}
	reach(0)
	reach(1)
	replace(t, nodes, both("draining"))
	testutil.WaitUntil(t, "the drain to be heeded", func() bool {
		before := r.nodes[0].Stats().Requests
		for range 20 {
			reach(1)
		}
		return r.nodes[0].Stats().Requests == before
	})
	for _, text := range []string{"[[node", "", "[[node]]\nname = \"n0\"\n", string(both("upside"))} {
		replace(t, nodes, []byte(text))
		waitLine(t, r.lines, "endpoint list: ")
		for range 10 {
			if others := reach(1); others > 0 {
				t.Errorf("with the file %q the draining node was sent to", text)
			}
		}
	}
	replace(t, nodes, both("up"))
	reach(0)
	r.signal(syscall.SIGTERM)
	r.end()
}
