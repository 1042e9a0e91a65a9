package faultinject

import (
	"bufio"
	"context"
	"io"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"testing"
	"time"

	"mulleinpier/internal/testutil"
)

// echo answers each line by itself, until the test ends.
func echo(t *testing.T) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { listener.Close() })
	go func() {
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				io.Copy(c, c)
			}()
		}
	}()
	return listener.Addr().String()
}

// target hands each line of each connection to take, until the test ends.
func target(t *testing.T, take func(c net.Conn, line string)) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { listener.Close() })
	go func() {
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				for in := bufio.NewScanner(c); in.Scan(); {
					take(c, in.Text())
				}
			}()
		}
	}()
	return listener.Addr().String()
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

func say(t *testing.T, c net.Conn, text string) {
	t.Helper()
	if _, err := io.WriteString(c, text); err != nil {
		t.Fatal(err)
	}
}

func hear(t *testing.T, in *bufio.Reader, want string) {
	t.Helper()
	if got, err := in.ReadString('\n'); err != nil || got != want {
		t.Fatalf("%q, %v; want %q", got, err, want)
	}
}

// TestLinkHoldsAndDelivers guards invariant 2: what a fault holds back comes whole and in order once it ends,
// and nothing comes before.
func TestLinkHoldsAndDelivers(t *testing.T) {
	for _, kind := range []string{"forth", "back", "cut"} {
		t.Run(kind, func(t *testing.T) {
			l, err := NewLink("127.0.0.1", echo(t))
			if err != nil {
				t.Fatal(err)
			}
			defer l.Close()
			c, in := dial(t, l.Address())
			say(t, c, "a\n")
			hear(t, in, "a\n")
			before := time.Now()
			if err := l.SetFault(LinkFaults[kind](0)); err != nil {
				t.Fatal(err)
			}
			say(t, c, "b\n")
			say(t, c, "c\n")
			c.SetReadDeadline(time.Now().Add(100 * time.Millisecond))
			if got, err := in.ReadString('\n'); err == nil {
				t.Fatalf("%q came through", got)
			}
			c.SetReadDeadline(time.Now().Add(testutil.Timeout))
			if kind == "cut" {
				if n, err := net.DialTimeout("tcp", l.Address(), 100*time.Millisecond); err == nil {
					n.Close()
					t.Error("a connection came up")
				}
			}
			if err := l.SetFault(Fault{}); err != nil {
				t.Fatal(err)
			}
			hear(t, in, "b\n")
			hear(t, in, "c\n")
			if !l.FaultySince(before) || l.FaultySince(time.Now()) {
				t.Error("its trouble is not known")
			}
			again, in := dial(t, l.Address())
			say(t, again, "d\n")
			hear(t, in, "d\n")
		})
	}
}

func TestLinkDelaysAndResets(t *testing.T) {
	l, err := NewLink("127.0.0.1", echo(t))
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	c, in := dial(t, l.Address())
	if err := l.SetFault(LinkFaults["delay"](50 * time.Millisecond)); err != nil {
		t.Fatal(err)
	}
	from := time.Now()
	say(t, c, "a\n")
	hear(t, in, "a\n")
	if took := time.Since(from); took < 100*time.Millisecond {
		t.Errorf("there and back in %v", took)
	}
	l.Reset()
	if _, err := in.ReadByte(); err == nil {
		t.Error("still open after a reset")
	}
}

// TestStopEnds guards invariant 1: a process stands for as long as it is told to, and goes on, also when
// the rehearsal ends before.
func TestStopEnds(t *testing.T) {
	cmd := exec.Command("sleep", "60")
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	defer cmd.Wait()
	defer cmd.Process.Kill()
	var stands []time.Duration
	told := func(from, to time.Time) { stands = append(stands, to.Sub(from)) }
	if err := (StopSchedule{Duration: 50 * time.Millisecond, Interval: 60 * time.Millisecond, Count: 3}).Run(context.Background(), cmd.Process.Pid, told); err != nil {
		t.Fatal(err)
	}
	for _, d := range stands {
		if d < 50*time.Millisecond {
			t.Errorf("stood for %v", d)
		}
	}
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- StopSchedule{Duration: time.Hour}.Run(ctx, cmd.Process.Pid, told) }()
	testutil.WaitUntil(t, "the process to stand", func() bool { return IsStopped(cmd.Process.Pid) })
	cancel()
	testutil.Receive(t, "the stop to end", ended)
	testutil.WaitUntil(t, "the process to go on", func() bool { return !IsStopped(cmd.Process.Pid) })
	if len(stands) != 4 {
		t.Errorf("%d stops told", len(stands))
	}
}

func TestCrowdAndStarveEnd(t *testing.T) {
	cmd := exec.Command("sleep", "60")
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	defer cmd.Wait()
	defer cmd.Process.Kill()
	ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
	defer cancel()
	if err := StarveCPU(ctx, cmd.Process.Pid, 1); err != nil {
		t.Error(err)
	}
	ctx, cancel = context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	if up := FillBacklog(ctx, echo(t), 5); up != 5 {
		t.Errorf("%d connections, want 5", up)
	}
}

// TestWhatComesUpAsALinkIsCutIsNotDelivered guards rehearsals against a fault of the rig's own: a connection
// that comes up in the moment before the backlog is full waits there with all that its sender wrote, and the
// sender has long given it up with a reset when the link takes connections again.
//
// One that has closed has its end come with what it wrote, so that whoever reads it can see that.
func TestWhatComesUpAsALinkIsCutIsNotDelivered(t *testing.T) {
	for name, reset := range map[string]bool{"reset": true, "closed": false} {
		t.Run(name, func(t *testing.T) { comesUpAsCut(t, reset) })
	}
}

func comesUpAsCut(t *testing.T, reset bool) {
	heard := make(chan string, 1000)
	target := target(t, func(c net.Conn, line string) {
		if reset || line == "fresh" || !closing(c) {
			heard <- line
		}
	})
	up := 0
	for range 10 {
		l, err := NewLink("127.0.0.1", target)
		if err != nil {
			t.Fatal(err)
		}
		var tasks sync.WaitGroup
		var mu sync.Mutex
		var waiting []*net.TCPConn
		cut := make(chan struct{})
		for range 4 { // who wants to connect, over and over
			tasks.Go(func() {
				for {
					select {
					case <-cut:
						return
					default:
					}
					if c, err := net.DialTimeout("tcp", l.Address(), 20*time.Millisecond); err == nil {
						mu.Lock()
						waiting = append(waiting, c.(*net.TCPConn))
						mu.Unlock()
					}
				}
			})
		}
		time.Sleep(2 * time.Millisecond)
		if err := l.SetFault(LinkFaults["cut"](0)); err != nil {
			t.Fatal(err)
		}
		close(cut)
		tasks.Wait()
		for _, c := range waiting { // the latest of them may wait in the backlog
			if _, err := io.WriteString(c, "given up\n"); err == nil {
				up++
			}
			if reset {
				c.SetLinger(0)
			}
			c.Close()
		}
		if err := l.SetFault(Fault{}); err != nil {
			t.Fatal(err)
		}
		c, err := net.Dial("tcp", l.Address())
		if err != nil {
			t.Fatal(err)
		}
		say(t, c, "fresh\n")
		if got := testutil.Receive(t, "what was written after the cut", heard); got != "fresh" {
			t.Errorf("%q came through", got)
		}
		c.Close()
		l.Close()
	}
	if up == 0 {
		t.Error("nothing was written by those given up")
	}
}

// TestFullDiskEnds has a process write to a file: nothing more comes while its disk is full, and then it does.
func TestFullDiskEnds(t *testing.T) {
	path := filepath.Join(t.TempDir(), "out")
	cmd := exec.Command("sh", "-c", "trap '' XFSZ; while :; do echo line >> "+path+"; sleep 0.01; done")
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	defer cmd.Wait()
	defer cmd.Process.Kill()
	size := func() int64 {
		info, err := os.Stat(path)
		if err != nil {
			return 0
		}
		return info.Size()
	}
	testutil.WaitUntil(t, "a first line", func() bool { return size() > 0 })
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- FullDisk(ctx, cmd.Process.Pid, time.Hour) }()
	last, same := int64(-1), 0
	testutil.WaitUntil(t, "the file to grow no more", func() bool {
		time.Sleep(50 * time.Millisecond)
		if now := size(); now == last {
			same++
		} else {
			last, same = now, 0
		}
		return same >= 4
	})
	cancel()
	if err := testutil.Receive(t, "the fault to end", ended); err != nil {
		t.Error(err)
	}
	testutil.WaitUntil(t, "the file to grow again", func() bool { return size() > last })
}

// TestLinkDeliversTwice has what comes on a new connection come to the target on two.
func TestLinkDeliversTwice(t *testing.T) {
	heard := make(chan string, 10)
	target := target(t, func(c net.Conn, line string) {
		heard <- line
		io.WriteString(c, "ok\n")
	})
	l, err := NewLink("127.0.0.1", target)
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	if err := l.SetFault(LinkFaults["twice"](0)); err != nil {
		t.Fatal(err)
	}
	c, in := dial(t, l.Address())
	say(t, c, "a\n")
	for range 2 {
		if got := testutil.Receive(t, "it to come twice", heard); got != "a" {
			t.Errorf("%q", got)
		}
	}
	hear(t, in, "ok\n")
	c.SetReadDeadline(time.Now().Add(100 * time.Millisecond))
	if got, err := in.ReadString('\n'); err == nil {
		t.Errorf("a second answer: %q", got)
	}
}
