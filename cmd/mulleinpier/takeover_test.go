package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"mulleinpier/internal/fake/node"
	"mulleinpier/internal/lease/agent"
	"mulleinpier/internal/peer"
	"mulleinpier/internal/takeover"
	"mulleinpier/internal/takeover/coordinator"
	"mulleinpier/internal/testutil"
)

// startTakeoverFleet starts a voter and the named proxies of one fleet. The proxies share their nodes and replicate
// writes to each other. addresses are the proxies' addresses for replication.
func startTakeoverFleet(t *testing.T, names ...string) (proxies []*testDaemon, addresses []string) {
	t.Helper()
	v := newTestDaemon(t, node.Config{})
	statePath := filepath.Join(t.TempDir(), "memory")
	fleet := agent.Fleet{Name: "test", Voters: []agent.VoterAddress{{Name: "v", Address: freeAddress(t)}}}
	if err := agent.InitVoter(statePath, &fleet); err != nil {
		t.Fatal(err)
	}
	v.configure("name = \"v\"\n" + peersConfig("none", "v", fleet, statePath))
	v.start()
	v.awaitNotified("READY=1")
	for i, name := range names {
		d := newTestDaemon(t, node.Config{})
		if i > 0 {
			d.nodes, d.origin = proxies[0].nodes, proxies[0].origin
		}
		addresses = append(addresses, freeAddress(t))
		const format = "name = %q\n%slisten = %q\ntakeover = \"strict\"\nholders = 1\n"
		d.configure(fmt.Sprintf(format, name, peersConfig("none", "", fleet, ""), addresses[i]))
		d.start()
		d.awaitNotified("READY=1")
		proxies = append(proxies, d)
	}
	c, err := agent.NewClient(fleet)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(c.Close)
	testutil.WaitUntil(t, "all proxies to be alive", func() bool {
		list, _ := c.Members(context.Background())
		n := 0
		for _, m := range list {
			if m.State == peer.Alive && m.Address != "" {
				n++
			}
		}
		return n == len(names)
	})
	return proxies, addresses
}

// handover sends a write with an idempotency key until it is not rejected. It returns the response, with id in place of
// the ID of the attempt.
func (d *testDaemon) handover(id, key, value, flags string) (response string) {
	d.t.Helper()
	attempts := 0
	testutil.WaitUntil(d.t, "handover "+id+" to be accepted", func() bool {
		attempts++
		c := d.connect()
		defer c.socket.Close()
		attemptID := fmt.Sprint(id, ".", attempts)
		c.send("ms order %d O%s Pc=write,k=%s,d=5000%s\r\n%s\r\n", len(value), attemptID, key, flags, value)
		response = strings.Replace(c.line(), " O"+attemptID, " O"+id, 1) // the receipt keeps the attempt's ID
		return !strings.HasPrefix(response, "SERVER_ERROR busy")
	})
	return response
}

// TestReceiptSurvivesProxy checks that the outcome of a handover outlives the proxy that completed it. The test kills
// that proxy and retries the write at another proxy for longer than nodes drop duplicates: each retry gets the same
// receipt, nothing takes effect twice, and the key is not accepted for another value.
func TestReceiptSurvivesProxy(t *testing.T) {
	proxies, addresses := startTakeoverFleet(t, "a", "b")
	a, b := proxies[0], proxies[1]
	first := a.handover("x", "k1", "v", "")
	if !strings.HasPrefix(first, "HD ") {
		t.Fatalf("got %q", first)
	}
	testutil.WaitUntil(t, "the other proxy to have the outcome", func() bool {
		response, err := http.Get("http://" + addresses[1] + coordinator.WritesPath)
		if err != nil {
			return false
		}
		defer response.Body.Close()
		var list []takeover.WriteStatus
		return json.NewDecoder(response.Body).Decode(&list) == nil && len(list) == 1 && list[0].State == "served"
	})
	a.signal(syscall.SIGKILL)
	<-a.exited
	for range 4 { // 2 s, longer than the dedup window of 1.5 s
		if again := b.handover("x", "k1", "v", ",r=1"); again != first {
			t.Errorf("a repeat got %q, want the first response, %q", again, first)
		}
		time.Sleep(500 * time.Millisecond)
	}
	if other := b.handover("x", "k1", "w", ""); strings.HasPrefix(other, "HD ") {
		t.Errorf("another value with the same key got %q", other)
	}
	if s := b.origin.Stats(); s.Effects != 1 || s.Duplicates != 0 {
		t.Errorf("%+v: want one effect", s)
	}
	b.signal(syscall.SIGTERM)
	b.awaitExit()
}

// TestWriteIsTakenOver checks that another proxy completes a handover whose proxy was killed while the write was in
// flight at a stalled node, and that a retry at the other proxy gets the outcome.
func TestWriteIsTakenOver(t *testing.T) {
	proxies, _ := startTakeoverFleet(t, "a", "b")
	a, b := proxies[0], proxies[1]
	if got := a.handover("warm", "k0", "v", ""); !strings.HasPrefix(got, "HD ") {
		t.Fatalf("got %q", got)
	}
	for _, n := range a.nodes {
		n.SetFault(node.Fault{Kind: node.Stall})
	}
	c := a.connect()
	c.send("ms order 1 Olost Pc=write,k=k1,d=5000\r\nv\r\n")
	testutil.WaitUntil(t, "the write to reach a node", func() bool { return a.timesSeen("lost") > 0 })
	a.signal(syscall.SIGKILL)
	<-a.exited
	for _, n := range a.nodes {
		n.SetFault(node.Fault{})
	}
	waitLine(t, b.lines, "write taken over")
	if got := b.handover("again", "k1", "v", ",r=1"); !strings.HasPrefix(got, "HD ") {
		t.Errorf("got %q", got)
	}
	if s := b.origin.Stats(); s.Effects != 2 || s.Duplicates != 0 {
		t.Errorf("%+v: want two effects", s)
	}
	b.signal(syscall.SIGTERM)
	b.awaitExit()
}
