package node

import (
	"errors"
	"fmt"
	"net"
	"slices"
	"syscall"
	"time"

	"mulleinpier/internal/binary"
)

// FaultKind is a way in which a node fails. Its values are names in scenarios.
type FaultKind string

// The kinds of faults.
const (
	NoFault     FaultKind = ""
	Stall       FaultKind = "stall"   // nothing is started or answered, connections come up
	Reset       FaultKind = "reset"   // the connection is reset after a request has been carried out
	Late        FaultKind = "late"    // an answer comes later by Fault.Delay
	Busy        FaultKind = "busy"    // requests are rejected
	Garbage     FaultKind = "garbage" // a malformed answer; the request has been carried out
	ProcessDown FaultKind = "refuse"  // the process has ended: connections are reset and refused
	MachineDown FaultKind = "vanish"  // the machine is gone: no answers, no connections
)

// Faults are all kinds.
var Faults = []FaultKind{NoFault, Stall, Reset, Late, Busy, Garbage, ProcessDown, MachineDown}

// Fault is a fault, and the share of requests that it concerns. Reset, Late, Busy and Garbage concern one request in
// OneIn, all for 0 and 1.
type Fault struct {
	Kind  FaultKind
	OneIn int
	Delay time.Duration
}

// ParseFault returns the kind of that name.
func ParseFault(name string) (FaultKind, error) {
	k := FaultKind(name)
	if !slices.Contains(Faults, k) {
		return k, fmt.Errorf("no fault is named %q: want one of %q", name, Faults)
	}
	return k, nil
}

// SetFault makes the node fail from now on; the zero Fault ends that.
func (n *Node) SetFault(f Fault) error {
	n.mu.Lock()
	defer n.mu.Unlock()
	before := n.fault.Kind
	n.fault = f
	n.faultCount = 0
	n.stalled.Broadcast()
	if before == MachineDown {
		for _, c := range n.fillers {
			c.Close()
		}
		n.fillers = nil
		n.closeAllLocked() // a machine that is back knows none of its connections
	}
	switch {
	case f.Kind == ProcessDown:
		n.closeAllLocked()
	case f.Kind == MachineDown:
		return n.fillBacklogLocked()
	case n.listener == nil && !n.closed:
		return n.listenLocked(n.address)
	}
	n.startWaitingLocked()
	return nil
}

const (
	maxFillers        = 8 // that fill the backlog; the kernel accepts one or two more than it is told
	fillerDialTimeout = 50 * time.Millisecond
)

// fillBacklogLocked fills the backlog of the listener, from which nothing is accepted any more, so that no connection
// comes up. n.mu is held.
func (n *Node) fillBacklogLocked() error {
	raw, err := n.listener.SyscallConn()
	if err != nil {
		return err
	}
	own := n.listener
	n.listener = nil // its accept would take what fills it
	raw.Control(func(fd uintptr) { err = syscall.Listen(int(fd), 0) })
	if err != nil {
		return err
	}
	own.SetDeadline(time.Unix(1, 0)) // ends its accept; the socket stays
	n.listener = own
	for range maxFillers {
		c, err := net.DialTimeout("tcp", n.address, fillerDialTimeout)
		if err != nil {
			return nil // full
		}
		n.fillers = append(n.fillers, c)
	}
	return errors.New("node: the backlog does not fill")
}

// isSilentLocked reports whether the node answers nothing at all. n.mu is held.
func (n *Node) isSilentLocked() bool {
	return !n.closed && (n.fault.Kind == Stall || n.fault.Kind == MachineDown)
}

// garbage is a malformed answer.
func (n *Node) garbage(j *command) []byte {
	if n.config.Binary {
		h := binary.Header{Opcode: j.header.Opcode, Opaque: j.header.Opaque + 1, ExtrasLen: 4, BodyLen: 3000000000}
		return append(h.Append(nil, binary.ResponseMagic), "noise"...)
	}
	return []byte("VA 3000000000 O" + j.command.ID + "\r\n\x00noise")
}
