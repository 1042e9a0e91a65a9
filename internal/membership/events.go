package membership

import "time"

// Event is an input of a Reconciler: one of the types below.
type Event interface{ event() }

// ListReceived delivers a list from a source: the complete list, or its changes, which name the nodes that left.
type ListReceived struct {
	Source   string
	Complete bool
	// Refetched is set if the list is the response to a Refetch. Only such a list can confirm that nodes are gone.
	Refetched bool
	Nodes     []Node
}

// RefetchFailed reports that a Refetch returned no usable list.
type RefetchFailed struct{ Source string }

// SourcesChanged replaces the sources, in order of precedence. The reports of a source that is no longer configured
// count until each configured one has delivered a complete list.
type SourcesChanged struct{ Sources []Source }

// Observation is the outcome of using a connection to a node.
type Observation uint8

// The observations.
const (
	Answered Observation = iota // the node sent a response of any kind
	Failed                      // no connection could be established, or one was closed unexpectedly
)

// ConnectionObserved reports an observation of a connection to a node.
type ConnectionObserved struct {
	Node        string
	Observation Observation
}

// TimerFired reports that the delay of a SetTimer has passed.
type TimerFired struct{}

func (ListReceived) event()       {}
func (RefetchFailed) event()      {}
func (SourcesChanged) event()     {}
func (ConnectionObserved) event() {}
func (TimerFired) event()         {}

// Action is an output of a Reconciler, to be carried out in order: one of the types below.
type Action interface{ action() }

// Change publishes the new state of a node. A node that is Gone must be dropped.
type Change struct {
	Node
	Source   string // the source that decided the node's state
	Previous Status // Gone for a new node
}

// Refetch requests the complete list of a source again, bypassing any cache in between.
type Refetch struct{ Source string }

// SetTimer requests a TimerFired after a delay. A later SetTimer does not cancel an earlier one.
type SetTimer struct{ After time.Duration }

func (Change) action()   {}
func (Refetch) action()  {}
func (SetTimer) action() {}
