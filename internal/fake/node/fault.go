package node

import (
	"fmt"
	"slices"
	"time"

	"mulleinpier/internal/fake/backlog"
)

// FaultKind is a way in which a node fails.
type FaultKind string

// The kinds of faults.
const (
	NoFault FaultKind = ""
	Stall   FaultKind = "stall"   // nothing is started or answered, but connections are accepted
	Reset   FaultKind = "reset"   // the connection is reset once a request has been executed
	Late    FaultKind = "late"    // an answer is delayed by Fault.Delay
	Busy    FaultKind = "busy"    // requests are rejected without being executed
	Garbage FaultKind = "garbage" // the request is executed, the answer is malformed
	// The next four send a second answer after the regular one, when the next request on the connection has arrived. In
	// the meta protocol only the copy names the request that it belongs to.
	SecondBusy   FaultKind = "second-busy"
	SecondFailed FaultKind = "second-failed"
	SecondAbsent FaultKind = "second-absent" // no such key; only after a read
	SecondCopy   FaultKind = "second-copy"
	ProcessDown  FaultKind = "refuse" // the process is down: connections are reset and refused
	MachineDown  FaultKind = "vanish" // the machine is unreachable: nothing is sent, connection attempts time out
)

// Faults lists all kinds of faults.
var Faults = []FaultKind{
	NoFault, Stall, Reset, Late, Busy, Garbage, SecondBusy, SecondFailed, SecondAbsent, SecondCopy,
	ProcessDown, MachineDown,
}

// Fault is a fault of a node and the share of requests that it affects. The zero value is no fault.
type Fault struct {
	Kind  FaultKind
	OneIn int           // faults of single requests affect one request in this many; 0 and 1 mean all
	Delay time.Duration // of Late
}

// ParseFault returns the kind of fault with the given name, or an error if there is none.
func ParseFault(name string) (FaultKind, error) {
	kind := FaultKind(name)
	if !slices.Contains(Faults, kind) {
		return kind, fmt.Errorf("no fault is named %q: want one of %q", name, Faults)
	}
	return kind, nil
}

// affectsSingleRequests reports whether requests are affected one by one, as opposed to the node as a whole.
func (k FaultKind) affectsSingleRequests() bool {
	switch k {
	case Reset, Late, Busy, Garbage, SecondBusy, SecondFailed, SecondAbsent, SecondCopy:
		return true
	}
	return false
}

// SetFault replaces the node's present fault. The zero Fault ends it. An error means that the listener could not be
// opened or its backlog could not be filled.
func (n *Node) SetFault(f Fault) error {
	n.mu.Lock()
	defer n.mu.Unlock()
	before := n.fault.Kind
	n.fault = f
	n.faultEligible = 0
	n.silenceChanged.Broadcast()
	if before == MachineDown {
		n.shutDown() // the connections do not survive an outage of the machine
	}
	switch {
	case f.Kind == ProcessDown:
		n.shutDown()
	case f.Kind == MachineDown:
		return n.fillBacklog()
	case n.listener == nil && !n.closed:
		return n.listen(n.address)
	}
	n.startQueued()
	return nil
}

// isSilent reports whether the node sends nothing at all. n.mu is held.
func (n *Node) isSilent() bool {
	return !n.closed && (n.fault.Kind == Stall || n.fault.Kind == MachineDown)
}

// nextFault counts a request and returns the fault that affects it, or NoFault. n.mu is held.
func (n *Node) nextFault() FaultKind {
	if !n.fault.Kind.affectsSingleRequests() {
		return NoFault
	}
	n.faultEligible++
	if n.fault.OneIn > 1 && n.faultEligible%n.fault.OneIn != 0 {
		return NoFault
	}
	return n.fault.Kind
}

// fillBacklog stops accepting and fills the listen backlog, so that the kernel drops further connection attempts.
// n.mu is held.
func (n *Node) fillBacklog() (err error) {
	listener := n.listener
	if listener == nil {
		return fmt.Errorf("fake node %q: its process is down and has no listen backlog", n.config.Name)
	}
	n.listener = nil                      // accept then registers none of the connections that fill the backlog
	listener.SetDeadline(time.Unix(1, 0)) // makes accept return; the socket stays open
	n.backlogFill, err = backlog.Fill(listener)
	n.listener = listener
	if err != nil {
		return fmt.Errorf("fake node %q: %w", n.config.Name, err)
	}
	return nil
}

// emptyBacklog closes the connections that fillBacklog opened. n.mu is held.
func (n *Node) emptyBacklog() {
	for _, c := range n.backlogFill {
		c.Close()
	}
	n.backlogFill = nil
}
