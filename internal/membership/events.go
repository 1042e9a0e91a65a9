package membership

import "time"

// Event is an input of a Reconciler: one of the types below.
type Event interface{ event() }

// ListReceived is a list from a source: all of it, or what has changed. A change names the nodes that left.
type ListReceived struct {
	Source   string
	Complete bool
	// Refetched is set if the list is the response to a Refetch: it can confirm that nodes are gone.
	Refetched bool
	Nodes     []Node
}

// RefetchFailed reports that a Refetch got no usable response.
type RefetchFailed struct{ Source string }

// SourcesChanged gives the sources from now on, in order of precedence. The reports of a source that is no longer
// configured count until each new one has delivered a complete list.
type SourcesChanged struct{ Sources []Source }

// Observation is what connections observe of a node.
type Observation uint8

// The observations.
const (
	Answered Observation = iota // it answered, in whatever way
	Failed                      // no connection could be established, or one was closed unexpectedly
)

// ConnectionObserved reports what connections have observed of a node.
type ConnectionObserved struct {
	Node        string
	Observation Observation
}

// TimerFired reports that the time of a SetTimer has passed.
type TimerFired struct{}

func (ListReceived) event()       {}
func (RefetchFailed) event()      {}
func (SourcesChanged) event()     {}
func (ConnectionObserved) event() {}
func (TimerFired) event()         {}

// Action is an output of a Reconciler, to be carried out in order: one of the types below.
type Action interface{ action() }

// Change publishes a node as it is from now on. One that is Gone is to be forgotten.
type Change struct {
	Node
	Source   string // the source that decided it
	Previous Status // Gone for a new node
}

// Refetch asks for the complete list of a source once more, bypassing whatever the source may have cached.
type Refetch struct{ Source string }

// SetTimer asks for a TimerFired. A later SetTimer does not cancel an earlier one.
type SetTimer struct{ After time.Duration }

func (Change) action()   {}
func (Refetch) action()  {}
func (SetTimer) action() {}
