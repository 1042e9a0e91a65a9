package main

import (
	"context"
	"fmt"
	"net"
	"path/filepath"
	"syscall"
	"testing"
	"time"

	"mulleinpier/internal/fake/node"
	"mulleinpier/internal/lease"
	"mulleinpier/internal/lease/agent"
	"mulleinpier/internal/testutil"
)

// nowhere is an address that nobody listens at, on a host that no connection goes out from.
func nowhere(t *testing.T) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.3:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	return l.Addr().String()
}

func peersOf(permit, voter string, fleet agent.Fleet, memory string) string {
	text := fmt.Sprintf("[peers]\nfleet = %q\npermit = %q\npermit_wait = \"200ms\"\nvoters = [", fleet.Name, permit)
	for _, v := range fleet.Voters {
		text += fmt.Sprintf("%q, ", v.Name+"="+v.Address)
	}
	text += "]\n"
	if voter != "" {
		text += fmt.Sprintf("voter = %q\nmemory = %q\n", voter, memory)
	}
	return text
}

// TestNoPermitToBeHad guards operators against a fleet that has lost its voters: a daemon that may go without drains
// after its wait, one that may not serves on, and drains when it is told twice.
func TestNoPermitToBeHad(t *testing.T) {
	fleet := agent.Fleet{Name: "test"}
	for i := range 3 {
		fleet.Voters = append(fleet.Voters, agent.VoterAddress{Name: fmt.Sprint("v", i), Address: nowhere(t)})
	}
	for _, permit := range []string{"go", "wait"} {
		t.Run(permit, func(t *testing.T) {
			r := newRig(t, node.Config{})
			r.configure(peersOf(permit, "", fleet, ""))
			r.start()
			r.hear("READY=1")
			c := r.call()
			c.send("mg a v O0 Pc=read\r\n")
			c.expect("VA ")
			r.signal(syscall.SIGTERM)
			if permit == "go" {
				waitLine(t, r.lines, "permit skipped")
				r.hear("STOPPING=1")
				r.end()
				return
			}
			time.Sleep(time.Second)
			for i := range 3 { // it serves on, and takes new clients
				c := r.call()
				c.send("mg a v Olater%d Pc=read\r\n", i)
				c.expect("VA ")
			}
			r.signal(syscall.SIGTERM)
			r.hear("STOPPING=1")
			r.end()
		})
	}
}

// TestVotersMoveInMidLease reloads the only voter with another address while a task is held: the grant goes on under
// its number, and no client notices.
func TestVotersMoveInMidLease(t *testing.T) {
	r := newRig(t, node.Config{})
	memory := filepath.Join(t.TempDir(), "memory")
	fleet := agent.Fleet{Name: "test", Voters: []agent.VoterAddress{{Name: "v", Address: nowhere(t)}}}
	if err := agent.InitVoter(memory, &fleet); err != nil {
		t.Fatal(err)
	}
	r.configure(peersOf("none", "v", fleet, memory))
	r.start()
	r.hear("READY=1")
	c := r.call()
	ctx, cancel := context.WithTimeout(context.Background(), testutil.Timeout)
	defer cancel()
	client := func() *agent.Client {
		c, err := agent.NewClient(fleet)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(c.Close)
		return c
	}
	reply, err := client().Execute(ctx, lease.Command{Kind: lease.Acquire, Task: "x", Holder: "h", Nonce: 1, Duration: time.Minute})
	if err != nil || reply.Token == 0 {
		t.Fatalf("%+v, %v", reply, err)
	}
	fleet.Voters = []agent.VoterAddress{{Name: "v", Address: nowhere(t)}}
	r.configure(peersOf("none", "v", fleet, memory))
	r.signal(syscall.SIGHUP)
	waitLine(t, r.lines, "configuration reloaded")
	testutil.WaitUntil(t, "the voter at its new address", func() bool {
		s, err := client().LeaderState(ctx)
		return err == nil && s.IsLeader && s.StateMachine.Tasks["x"] != nil && len(s.StateMachine.Tasks["x"].Grants) == 1 && s.StateMachine.Tasks["x"].Grants[0].Token == reply.Token
	})
	next, err := client().Execute(ctx, lease.Command{Kind: lease.Acquire, Task: "y", Holder: "h", Nonce: 2, Duration: time.Minute})
	if err != nil || next.Token <= reply.Token {
		t.Errorf("%+v after %+v, %v", next, reply, err)
	}
	c.send("mg a v O0 Pc=read\r\n") // over the connection of before
	c.expect("VA ")
	r.signal(syscall.SIGTERM)
	r.end()
}

// TestSuccessorGivesBack restarts a daemon by leave of a fleet that lets one go at a time: the permit of the first is
// free again as soon as the second is ready, long before it would run out.
func TestSuccessorGivesBack(t *testing.T) {
	r := newRig(t, node.Config{})
	v := newRig(t, node.Config{})
	memory := filepath.Join(t.TempDir(), "memory")
	fleet := agent.Fleet{Name: "test", Voters: []agent.VoterAddress{{Name: "v", Address: nowhere(t)}}}
	if err := agent.InitVoter(memory, &fleet); err != nil {
		t.Fatal(err)
	}
	v.configure(peersOf("none", "v", fleet, memory))
	v.start()
	v.hear("READY=1")
	r.configure(peersOf("wait", "", fleet, ""))
	for range 3 {
		r.start()
		r.hear("READY=1")
		r.signal(syscall.SIGTERM)
		waitLine(t, r.lines, `msg="permit granted"`)
		r.end()
	}
	r.start()
	r.hear("READY=1")
	c, err := agent.NewClient(fleet)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	testutil.WaitUntil(t, "the permit to be free", func() bool {
		s, err := c.LeaderState(context.Background())
		return err == nil && s.StateMachine.LastToken == 3 && len(s.StateMachine.Tasks[lease.PermitTask].Grants) == 0
	})
	r.signal(syscall.SIGTERM)
	r.end()
	v.signal(syscall.SIGTERM)
	v.end()
}
