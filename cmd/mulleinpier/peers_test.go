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

// freeAddress returns an address with a free port. No connection uses its host as the source address, so no connection
// can occupy the port.
func freeAddress(t *testing.T) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.3:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	return l.Addr().String()
}

// peersConfig returns the table peers of a configuration. The process is the given voter with its state at statePath,
// or does not vote if voter is "".
func peersConfig(permit, voter string, fleet agent.Fleet, statePath string) string {
	text := fmt.Sprintf("[peers]\nfleet = %q\npermit = %q\npermit_wait = \"200ms\"\nvoters = [", fleet.Name, permit)
	for _, v := range fleet.Voters {
		text += fmt.Sprintf("%q, ", v.Name+"="+v.Address)
	}
	text += "]\n"
	if voter != "" {
		text += fmt.Sprintf("voter = %q\nmemory = %q\n", voter, statePath)
	}
	return text
}

// TestDrainWithoutVoters checks that a daemon can drain although the fleet has lost its voters. With permit = "go" the
// daemon drains without a permit after the timeout. With "wait" it keeps serving until a second termination.
func TestDrainWithoutVoters(t *testing.T) {
	fleet := agent.Fleet{Name: "test"}
	for i := range 3 {
		fleet.Voters = append(fleet.Voters, agent.VoterAddress{Name: fmt.Sprint("v", i), Address: freeAddress(t)})
	}
	for _, permit := range []string{"go", "wait"} {
		t.Run(permit, func(t *testing.T) {
			d := newTestDaemon(t, node.Config{})
			d.configure(peersConfig(permit, "", fleet, ""))
			d.start()
			d.awaitNotified("READY=1")
			c := d.connect()
			c.send("mg a v O0 Pc=read\r\n")
			c.expect("VA ")
			d.signal(syscall.SIGTERM)
			if permit == "go" {
				waitLine(t, d.lines, "permit skipped")
				d.awaitNotified("STOPPING=1")
				d.awaitExit()
				return
			}
			time.Sleep(time.Second)
			for i := range 3 { // the daemon keeps serving and accepts new clients
				c := d.connect()
				c.send("mg a v Olater%d Pc=read\r\n", i)
				c.expect("VA ")
			}
			d.signal(syscall.SIGTERM)
			d.awaitNotified("STOPPING=1")
			d.awaitExit()
		})
	}
}

// TestTerminationIsAcknowledged checks that the daemon's status tells the sender of a termination that it was received.
// The sender needs this to know when to send a second one: the kernel merges two terminations that arrive while the
// process is stopped.
func TestTerminationIsAcknowledged(t *testing.T) {
	fleet := agent.Fleet{Name: "test", Voters: []agent.VoterAddress{{Name: "v0", Address: freeAddress(t)}}}
	d := newTestDaemon(t, node.Config{})
	d.configure(peersConfig("wait", "", fleet, ""))
	d.start()
	d.awaitNotified("READY=1")
	d.pause()
	d.signal(syscall.SIGTERM)
	d.signal(syscall.SIGTERM)
	d.signal(syscall.SIGCONT)
	d.awaitNotified("STATUS=asking to drain")
	d.signal(syscall.SIGTERM)
	d.awaitNotified("STOPPING=1")
	d.awaitExit()
}

// TestVoterMovesDuringLease checks that a reload can move the only voter to another address while a task is held: the
// grant keeps its token, a later grant gets a higher one, and client connections stay open.
func TestVoterMovesDuringLease(t *testing.T) {
	d := newTestDaemon(t, node.Config{})
	statePath := filepath.Join(t.TempDir(), "memory")
	fleet := agent.Fleet{Name: "test", Voters: []agent.VoterAddress{{Name: "v", Address: freeAddress(t)}}}
	if err := agent.InitVoter(statePath, &fleet); err != nil {
		t.Fatal(err)
	}
	d.configure(peersConfig("none", "v", fleet, statePath))
	d.start()
	d.awaitNotified("READY=1")
	c := d.connect()
	ctx, cancel := context.WithTimeout(context.Background(), testutil.Timeout)
	defer cancel()
	acquire := lease.Command{Kind: lease.Acquire, Task: "x", Holder: "h", Nonce: 1, Duration: time.Minute}
	reply, err := leaseClient(t, fleet).Execute(ctx, acquire)
	if err != nil || reply.Token == 0 {
		t.Fatalf("%+v, %v", reply, err)
	}
	fleet.Voters = []agent.VoterAddress{{Name: "v", Address: freeAddress(t)}}
	d.configure(peersConfig("none", "v", fleet, statePath))
	d.signal(syscall.SIGHUP)
	waitLine(t, d.lines, "configuration reloaded")
	testutil.WaitUntil(t, "the voter at its new address", func() bool {
		s, err := leaseClient(t, fleet).LeaderState(ctx)
		if err != nil || !s.IsLeader {
			return false
		}
		task := s.StateMachine.Tasks["x"]
		return task != nil && len(task.Grants) == 1 && task.Grants[0].Token == reply.Token
	})
	acquire.Task, acquire.Nonce = "y", 2
	next, err := leaseClient(t, fleet).Execute(ctx, acquire)
	if err != nil || next.Token <= reply.Token {
		t.Errorf("%+v after %+v, %v", next, reply, err)
	}
	c.send("mg a v O0 Pc=read\r\n") // send on the connection that was opened before the reload
	c.expect("VA ")
	d.signal(syscall.SIGTERM)
	d.awaitExit()
}

// leaseClient returns a new lease client of a fleet.
func leaseClient(t *testing.T, fleet agent.Fleet) *agent.Client {
	t.Helper()
	c, err := agent.NewClient(fleet)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(c.Close)
	return c
}

// TestSuccessorReleasesPermit checks that the permit of each restarted process is released as soon as its successor is
// ready, long before the permit expires. It restarts a daemon repeatedly in a fleet that permits one restart at a time.
func TestSuccessorReleasesPermit(t *testing.T) {
	d := newTestDaemon(t, node.Config{})
	v := newTestDaemon(t, node.Config{})
	statePath := filepath.Join(t.TempDir(), "memory")
	fleet := agent.Fleet{Name: "test", Voters: []agent.VoterAddress{{Name: "v", Address: freeAddress(t)}}}
	if err := agent.InitVoter(statePath, &fleet); err != nil {
		t.Fatal(err)
	}
	v.configure(peersConfig("none", "v", fleet, statePath))
	v.start()
	v.awaitNotified("READY=1")
	d.configure(peersConfig("wait", "", fleet, ""))
	for range 3 {
		d.start()
		d.awaitNotified("READY=1")
		d.signal(syscall.SIGTERM)
		waitLine(t, d.lines, `msg="permit granted"`)
		d.awaitExit()
	}
	d.start()
	d.awaitNotified("READY=1")
	c := leaseClient(t, fleet)
	testutil.WaitUntil(t, "the permit to be released", func() bool {
		s, err := c.LeaderState(context.Background())
		return err == nil && s.StateMachine.LastToken == 3 && len(s.StateMachine.Tasks[lease.PermitTask].Grants) == 0
	})
	d.signal(syscall.SIGTERM)
	d.awaitExit()
	v.signal(syscall.SIGTERM)
	v.awaitExit()
}
