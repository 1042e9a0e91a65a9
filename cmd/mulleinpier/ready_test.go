package main

import (
	"context"
	"os"
	"path/filepath"
	"syscall"
	"testing"

	"mulleinpier/internal/fake/node"
	"mulleinpier/internal/lease/agent"
	"mulleinpier/internal/testutil"
)

// lockedVoter is a daemon with a voter whose file another process has locked, as a predecessor that still drains does.
type lockedVoter struct {
	*testDaemon
	fleet agent.Fleet
	file  *os.File
}

// newLockedVoter returns a daemon of a fleet with one voter, which requires a permit to drain. It is not started yet.
func newLockedVoter(t *testing.T) *lockedVoter {
	t.Helper()
	v := &lockedVoter{testDaemon: newTestDaemon(t, node.Config{})}
	v.fleet = agent.Fleet{Name: "test", Voters: []agent.VoterAddress{{Name: "v", Address: freeAddress(t)}}}
	statePath := filepath.Join(t.TempDir(), "memory")
	if err := agent.InitVoter(statePath, &v.fleet); err != nil {
		t.Fatal(err)
	}
	file, err := os.OpenFile(statePath, os.O_RDWR, 0)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { file.Close() })
	if err := syscall.Flock(int(file.Fd()), syscall.LOCK_EX); err != nil {
		t.Fatal(err)
	}
	v.file = file
	v.configure("[start]\nwait_for_nodes = \"100ms\"\n" + peersConfig("wait", "v", v.fleet, statePath))
	return v
}

// TestVoterWaitsForPredecessor checks that a daemon is ready and serves although its voter has to wait for its file,
// and that the voter votes once the predecessor has closed the file.
func TestVoterWaitsForPredecessor(t *testing.T) {
	d := newLockedVoter(t)
	d.start()
	d.awaitNotified("READY=1")
	c := d.connect()
	c.serveReads(10)
	waitLine(t, d.lines, `msg="voter start delayed"`)
	d.file.Close()
	leases := leaseClient(t, d.fleet)
	testutil.WaitUntil(t, "the voter to lead", func() bool {
		state, err := leases.LeaderState(context.Background())
		return err == nil && state.IsLeader
	})
	d.signal(syscall.SIGTERM)
	waitLine(t, d.lines, `msg="permit granted"`)
	d.awaitExit()
}

// TestReadyMeansServing checks that a daemon that has reported READY answers a request in time, and that a termination
// right after READY waits for a permit.
func TestReadyMeansServing(t *testing.T) {
	d := newLockedVoter(t)
	d.start()
	d.awaitNotified("READY=1")
	c := d.connect()
	c.send("mg k v O1 Pc=read,d=500\r\n")
	c.expect("VA ")
	d.signal(syscall.SIGTERM)
	d.awaitNotified("STATUS=asking to drain")
	waitLine(t, d.lines, `msg="permit requested"`)
	c.serveReads(10)
	d.signal(syscall.SIGTERM) // the second termination starts the drain without a permit
	d.awaitNotified("STOPPING=1")
	d.awaitExit()
}
