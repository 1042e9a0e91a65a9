// Package lifecycle decides what a signal or another event means in each state of a daemon. A [Machine] does no I/O,
// starts no goroutine and reads no clock: the same events always give the same actions, and one table holds all
// decisions. Its state belongs to the caller.
//
// Invariants, each guarded by a test:
//
//  1. Every state has an answer to every event, and no event is lost: a hangup that cannot be served at once is served
//     as soon as it can be.
//  2. A daemon that drains never returns to serving, and never reads a configuration again.
//  3. From every state the events Terminate, Terminate, ServingEnded lead to Stopped.
//  4. The service manager is notified of readiness once before any reload, and each NotifyReloading is followed by
//     NotifyReady or NotifyStopping.
//  5. A daemon that is asked to terminate keeps serving until it is permitted to drain; a second termination starts the
//     drain without a permit.
//  6. A configuration is applied only in the state that requested it.
package lifecycle

import "fmt"

// State is the state of a daemon.
type State uint8

// The states. Those with ReloadQueued have a hangup that is still to be served.
const (
	Starting              State = iota // not ready yet
	StartingReloadQueued               // the same
	Serving                            // ready, the configuration is in force
	Reloading                          // a configuration is being read
	ReloadingReloadQueued              // the same
	AwaitingPermit                     // serving until the drain is permitted
	Draining                           // nothing new is accepted, open requests are answered
	Stopping                           // the same, bounded by the deadlines of the requests that are open now
	Stopped                            // the end
	stateCount
)

// Event is something that happens to a daemon.
type Event uint8

// The events.
const (
	Hangup         Event = iota // SIGHUP
	Terminate                   // SIGTERM or SIGINT
	Started                     // clients can be served
	StartFailed                 // clients will never be served
	ConfigValid                 // the configuration has been read and is valid
	ConfigInvalid               // it could not be read, or is not valid
	ServingEnded                // all requests are answered, all clients are closed
	WatchdogTick                // the service manager's watchdog expects a notification
	DrainPermitted              // the drain may begin, with a permit of the fleet or without
	eventCount
)

// Action is something that a daemon has to do, at once and in order.
type Action uint8

// The actions.
const (
	NotifyReady      Action = iota // to the service manager
	NotifyReloading                // to the service manager
	NotifyStopping                 // to the service manager
	NotifyWatchdog                 // to the service manager
	ReadConfig                     // ConfigValid or ConfigInvalid follows
	ApplyConfig                    // what was read, completely; a refusal is logged and changes nothing
	DiscardConfig                  // what was read
	LogReloadIgnored               // a hangup has no effect any more
	RequestPermit                  // of the fleet to drain; DrainPermitted follows
	StartDrain                     // ServingEnded follows
	ShortenDrain                   // to the deadlines of what is open
	Exit                           // with status 0
	ExitFailed                     // with status 1
)

// Machine is the state of one daemon. Its zero value is one that starts. It is not safe for concurrent use.
type Machine struct{ state State }

// State returns the current state.
func (m *Machine) State() State { return m.state }

// Handle takes an event and returns what has to be done. The result is shared and must not be changed.
func (m *Machine) Handle(e Event) []Action {
	t := table[m.state][e]
	m.state = t.next
	return t.actions
}

var stateNames = [stateCount]string{
	Starting:              "starting",
	StartingReloadQueued:  "starting, to reload",
	Serving:               "serving",
	Reloading:             "reloading",
	ReloadingReloadQueued: "reloading, to reload again",
	AwaitingPermit:        "asking to drain",
	Draining:              "draining",
	Stopping:              "stopping",
	Stopped:               "stopped",
}

// String returns the state as logs and the status text have it.
func (s State) String() string {
	if s < stateCount {
		return stateNames[s]
	}
	return fmt.Sprint("state ", uint8(s))
}
