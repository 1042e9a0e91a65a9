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

// works starts proxies of one fleet before the same nodes, that hold each other's works, and a voter.
func works(t *testing.T, names ...string) (proxies []*rig, at []string) {
	t.Helper()
	v := newRig(t, node.Config{})
	memory := filepath.Join(t.TempDir(), "memory")
	fleet := agent.Fleet{Name: "test", Voters: []agent.VoterAddress{{Name: "v", Address: nowhere(t)}}}
	if err := agent.InitVoter(memory, &fleet); err != nil {
		t.Fatal(err)
	}
	v.configure("name = \"v\"\n" + peersOf("none", "v", fleet, memory))
	v.start()
	v.hear("READY=1")
	for i, name := range names {
		r := newRig(t, node.Config{})
		if i > 0 {
			r.nodes, r.center = proxies[0].nodes, proxies[0].center
		}
		at = append(at, nowhere(t))
		r.configure(fmt.Sprintf("name = %q\n%slisten = %q\ntakeover = \"strict\"\nholders = 1\n", name, peersOf("none", "", fleet, ""), at[i]))
		r.start()
		r.hear("READY=1")
		proxies = append(proxies, r)
	}
	c, err := agent.NewClient(fleet)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(c.Close)
	testutil.WaitUntil(t, "all to live", func() bool {
		list, _ := c.Members(context.Background())
		n := 0
		for _, m := range list {
			if m.State == peer.Alive && m.Address != "" {
				n++
			}
		}
		return n == len(names)
	})
	return proxies, at
}

// handover writes under a key until it is not refused, and returns the answer behind the try's id.
func (r *rig) handover(id, k, value, more string) (answer string) {
	r.t.Helper()
	tries := 0
	testutil.WaitUntil(r.t, "handover "+id+" to be taken", func() bool {
		tries++
		c := r.call()
		defer c.socket.Close()
		try := fmt.Sprint(id, ".", tries)
		c.send("ms order %d O%s Pc=write,k=%s,d=5000%s\r\n%s\r\n", len(value), try, k, more, value)
		answer = strings.ReplaceAll(c.line(), try, id)
		return !strings.HasPrefix(answer, "SERVER_ERROR busy")
	})
	return answer
}

// TestReceiptOutlivesItsProxy kills a proxy that has written a handover, and asks again at another for longer than nodes
// drop repeats: the same receipt comes, nothing is carried out twice, and the key is good for no other write.
func TestReceiptOutlivesItsProxy(t *testing.T) {
	proxies, at := works(t, "a", "b")
	a, b := proxies[0], proxies[1]
	first := a.handover("x", "k1", "v", "")
	if !strings.HasPrefix(first, "HD ") {
		t.Fatalf("answered %q", first)
	}
	testutil.WaitUntil(t, "the other to know what came of it", func() bool {
		answer, err := http.Get("http://" + at[1] + coordinator.WritesPath)
		if err != nil {
			return false
		}
		defer answer.Body.Close()
		var list []takeover.WriteStatus
		return json.NewDecoder(answer.Body).Decode(&list) == nil && len(list) == 1 && list[0].State == "served"
	})
	a.signal(syscall.SIGKILL)
	<-a.ended
	for range 4 { // two seconds, over a window of 1.5
		if again := b.handover("x", "k1", "v", ",r=1"); again != first {
			t.Errorf("answered %q, first %q", again, first)
		}
		time.Sleep(500 * time.Millisecond)
	}
	if other := b.handover("x", "k1", "w", ""); strings.HasPrefix(other, "HD ") {
		t.Errorf("another value under the key: %q", other)
	}
	if s := b.center.Stats(); s.Effects != 1 || s.Duplicates != 0 {
		t.Errorf("%+v: want one effect", s)
	}
	b.signal(syscall.SIGTERM)
	b.end()
}

// TestWorkIsTakenOver kills a proxy whose handover is at a node that takes its time: the other goes on with it, and who
// asks there after that gets what came of it.
func TestWorkIsTakenOver(t *testing.T) {
	proxies, _ := works(t, "a", "b")
	a, b := proxies[0], proxies[1]
	if got := a.handover("warm", "k0", "v", ""); !strings.HasPrefix(got, "HD ") {
		t.Fatalf("answered %q", got)
	}
	for _, n := range a.nodes {
		n.SetFault(node.Fault{Kind: node.Stall})
	}
	c := a.call()
	c.send("ms order 1 Olost Pc=write,k=k1,d=5000\r\nv\r\n")
	testutil.WaitUntil(t, "it to be at a node", func() bool { return a.sawTimes("lost") > 0 })
	a.signal(syscall.SIGKILL)
	<-a.ended
	for _, n := range a.nodes {
		n.SetFault(node.Fault{})
	}
	waitLine(t, b.lines, "write taken over")
	if got := b.handover("again", "k1", "v", ",r=1"); !strings.HasPrefix(got, "HD ") {
		t.Errorf("answered %q", got)
	}
	if s := b.center.Stats(); s.Effects != 2 || s.Duplicates != 0 {
		t.Errorf("%+v: want two effects", s)
	}
	b.signal(syscall.SIGTERM)
	b.end()
}
