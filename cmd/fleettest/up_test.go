package main

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"mulleinpier/internal/fake/rawclient"
	"mulleinpier/internal/fake/scriptednode"
	"mulleinpier/internal/testutil"
)

// runningFleet is a fleet that the program runs until it is interrupted.
type runningFleet struct {
	cmd      *exec.Cmd
	problems bytes.Buffer // what the program wrote to standard error
	proxies  []string     // addresses of the proxies
	nodes    int
}

// runFleet starts the command up, and waits until the fleet is ready.
func runFleet(t *testing.T, args ...string) *runningFleet {
	t.Helper()
	f := &runningFleet{cmd: exec.Command(filepath.Join(bin, "fleettest"), append([]string{"up"}, args...)...)}
	f.cmd.Stderr = &f.problems
	out, err := f.cmd.StdoutPipe()
	if err != nil {
		t.Fatal(err)
	}
	if err := f.cmd.Start(); err != nil {
		t.Fatal(err)
	}
	lines := make(chan string, 100)
	go func() {
		defer close(lines)
		for in := bufio.NewScanner(out); in.Scan(); {
			lines <- in.Text()
		}
	}()
	for {
		line := testutil.Receive(t, "the fleet to be ready", lines)
		words := strings.Fields(line)
		switch {
		case line == "ready":
			return f
		case words[0] == "proxy" && len(words) == 2:
			f.proxies = append(f.proxies, words[1])
		case words[0] == "node" && len(words) == 3:
			f.nodes++
		default:
			t.Errorf("printed %q", line)
		}
	}
}

// interrupt interrupts the program, and fails the test if it exits with an error.
func (f *runningFleet) interrupt(t *testing.T) {
	t.Helper()
	f.cmd.Process.Signal(syscall.SIGINT)
	if err := f.cmd.Wait(); err != nil {
		t.Errorf("interrupted, it ended with %v: %s", err, &f.problems)
	}
}

// TestUpHoldsAFleet checks that the command up runs a fleet that serves clients of both dialects until it is
// interrupted.
func TestUpHoldsAFleet(t *testing.T) {
	fleet := runFleet(t, "--binary")
	if len(fleet.proxies) == 0 || fleet.nodes == 0 {
		t.Fatalf("%d proxies and %d nodes", len(fleet.proxies), fleet.nodes)
	}
	address := fleet.proxies[len(fleet.proxies)-1]
	checkMetaClient(t, address)
	checkBinaryClient(t, address)
	fleet.interrupt(t)
}

func checkMetaClient(t *testing.T, address string) {
	t.Helper()
	socket, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	defer socket.Close()
	socket.SetDeadline(time.Now().Add(testutil.Timeout))
	fmt.Fprint(socket, "mg order v O1 Pc=read\r\nms order 2 O2 Pc=write,k=1\r\nhi\r\n")
	in := bufio.NewReader(socket)
	for _, want := range []string{"VA 64 O1", "order ", "HD O2 c"} {
		if line, err := in.ReadString('\n'); !strings.HasPrefix(line, want) {
			t.Errorf("answered %q, %v, want %q", line, err, want)
		}
	}
}

// checkBinaryClient checks that a binary client can read and write a key without authentication.
func checkBinaryClient(t *testing.T, address string) {
	t.Helper()
	c, err := rawclient.Dial(scriptednode.Binary, address, testutil.Timeout)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Socket.Close()
	c.Read("any")
	c.Write("any", "x", rawclient.NonIdempotent, "")
	for _, want := range []string{"value 64 bytes", "stored "} {
		if got, err := c.Next(); err != nil || !strings.HasPrefix(got.String(), want) {
			t.Errorf("a binary client was answered %q, %v, want %q", got, err, want)
		}
	}
}

// TestUpPrintsConsulAgents checks that with --consul the command up prints the address of a Consul agent that lists the
// nodes.
func TestUpPrintsConsulAgents(t *testing.T) {
	cmd := exec.Command(filepath.Join(bin, "fleettest"), "up", "--consul")
	out, err := cmd.StdoutPipe()
	if err != nil {
		t.Fatal(err)
	}
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	agent := ""
	for in := bufio.NewScanner(out); in.Scan() && in.Text() != "ready"; {
		if words := strings.Fields(in.Text()); words[0] == "agent" && len(words) == 2 {
			agent = words[1]
		}
	}
	answer, err := http.Get("http://" + agent + "/v1/health/service/cache")
	if err != nil {
		t.Fatal(err)
	}
	defer answer.Body.Close()
	var list []any
	if err := json.NewDecoder(answer.Body).Decode(&list); err != nil || len(list) != 4 {
		t.Errorf("the agent listed %d nodes, want 4: %v", len(list), err)
	}
	cmd.Process.Signal(syscall.SIGINT)
	if err := cmd.Wait(); err != nil {
		t.Errorf("interrupted, it ended with %v", err)
	}
}
