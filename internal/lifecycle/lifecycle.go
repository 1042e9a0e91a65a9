// Package lifecycle decides what a signal or another event means in each state of a daemon. A [Machine] does no I/O,
// starts no goroutine and reads no clock: the same events always give the same actions, and one table holds all
// decisions. Its state belongs to the caller.
//
// Invariants, each guarded by a test:
//
//  1. Every state handles every event, and no event is lost: a hangup that cannot be handled yet leads to a reload
//     as soon as possible.
//  2. A daemon that drains never returns to serving, and never reads a configuration again.
//  3. From every state the events Terminate, Terminate, ServingEnded lead to Stopped.
//  4. The service manager is notified of readiness once before any reload, and each NotifyReloading is followed by
//     NotifyReady or NotifyStopping.
//  5. A daemon that is terminated keeps serving until it is permitted to drain; a second termination starts the drain
//     without a permit.
//  6. A configuration is applied only in the state that requested it.
package lifecycle

import "fmt"

// State is the state of a daemon. The zero value is Starting.
type State uint8

// The states. In a state whose name ends in ReloadQueued, a hangup has been received that still requires a reload.
const (
	Starting              State = iota // not ready yet
	StartingReloadQueued               // like Starting
	Serving                            // ready, the configuration is in force
	Reloading                          // serving while a configuration is being read
	ReloadingReloadQueued              // like Reloading
	AwaitingPermit                     // serving until the drain is permitted
	Draining                           // no new requests are accepted, requests in flight are answered
	Stopping                           // like Draining, but bounded by the deadlines of the requests in flight
	Stopped                            // the final state
	stateCount
)

// Event is a signal, a result of a task or another occurrence that a daemon handles.
type Event uint8

// The events.
const (
	Hangup         Event = iota // SIGHUP
	Terminate                   // SIGTERM or SIGINT
	Started                     // clients can be served
	StartFailed                 // clients will never be served
	ConfigValid                 // the configuration has been read and is valid
	ConfigInvalid               // the configuration could not be read, or is invalid
	ServingEnded                // all requests are answered, all client connections are closed
	WatchdogTick                // the service manager's watchdog expects a notification
	DrainPermitted              // the drain may begin, with or without a permit of the fleet
	eventCount
)

// Action is something that a daemon has to do. A daemon must perform the actions immediately, in the order in which
// Handle returns them.
type Action uint8

// The actions.
const (
	NotifyReady      Action = iota // notify the service manager that the daemon is ready
	NotifyReloading                // notify the service manager that a reload begins
	NotifyStopping                 // notify the service manager that the drain begins
	NotifyWatchdog                 // notify the watchdog of the service manager
	ReadConfig                     // start to read the configuration; ConfigValid or ConfigInvalid follows
	ApplyConfig                    // apply the configuration that was read, completely or, if rejected, not at all
	DiscardConfig                  // discard the configuration that was read
	LogReloadIgnored               // log that a hangup during the drain has no effect
	RequestPermit                  // request the fleet's permit to drain; DrainPermitted follows
	StartDrain                     // start the drain; ServingEnded follows
	ShortenDrain                   // bound the drain by the deadlines of the requests in flight
	Exit                           // exit with status 0
	ExitFailed                     // exit with status 1
)

// Machine is the state machine of one daemon. The zero value is in state Starting. It is not safe for concurrent use.
type Machine struct{ state State }

// State returns the state after the last event, and Starting before the first.
func (m *Machine) State() State { return m.state }

// Handle applies an event to the state and returns the actions to perform, in order. The caller must not change the
// returned slice, which is shared.
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

// String returns the name of the state as shown in the status text for the service manager.
func (s State) String() string {
	if s < stateCount {
		return stateNames[s]
	}
	return fmt.Sprint("state ", uint8(s))
}
