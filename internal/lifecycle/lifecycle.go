// Package lifecycle decides what a signal or an event means in each state of a
// daemon. It does no I/O and reads no clock: the same events always give the same
// actions, and the whole of it is one table.
//
// Invariants, each guarded by a test of its name:
//
//  1. Every state has an answer to every event, and no event is lost: a hangup
//     that comes while it can't be heeded is heeded as soon as it can.
//  2. A daemon that drains never goes back to serving, and never reads a
//     configuration again.
//  3. From every state the events Terminate, Terminate, Answered lead to Stopped.
//  4. Ready is told once, before any reload, and each Reloading is followed by a
//     Ready or by Stopping.
//  5. A daemon that is told to end serves on until it may drain; being told again is leave enough.
//  6. A configuration is put into force only in the state that asked for it.
package lifecycle

import "fmt"

// State is where a daemon is in its life.
type State uint8

// The states. Those with Again have a hangup yet to heed.
const (
	Starting       State = iota // nothing is told ready yet
	StartingAgain               // the same
	Serving                     // all is in force
	Reloading                   // a configuration is being read
	ReloadingAgain              // the same
	Asking                      // it serves on until it may drain
	Draining                    // nothing new is taken, what is open is answered
	Stopping                    // the same, and no longer than what is open now may take
	Stopped                     // the end
	states
)

// Event is something that happens to a daemon.
type Event uint8

// The events.
const (
	Hangup      Event = iota // SIGHUP
	Terminate                // SIGTERM or SIGINT
	Started                  // clients can be served
	StartFailed              // they never will be
	ReadGood                 // the configuration has been read, and can be meant
	ReadBad                  // it can't be
	Answered                 // all that was taken is answered, all clients are closed
	Ping                     // the service manager's watchdog wants a sign
	Permitted                // it may drain, by leave of the fleet or without
	events
)

// Action is something that a daemon has to do, at once and in order.
type Action uint8

// The actions.
const (
	TellReady     Action = iota // to the service manager
	TellReloading               // to the service manager
	TellStopping                // to the service manager
	TellAlive                   // to the service manager's watchdog
	Read                        // the configuration; ReadGood or ReadBad follows
	Apply                       // what was read, whole; a refusal is logged and changes nothing
	Discard                     // what was read
	LogIgnored                  // a signal means nothing any more
	Ask                         // the fleet whether this process may drain; Permitted follows
	Drain                       // Answered follows
	Hurry                       // the drain
	Exit                        // with zero
	ExitFailed                  // with one
)

type step struct {
	to State
	do []Action
}

func on(to State, do ...Action) step { return step{to, do} }

// table is the whole of the decisions: a row a state, an entry an event.
var table = [states][events]step{
	Starting: {
		Hangup:      on(StartingAgain),
		Terminate:   on(Draining, TellStopping, Drain),
		Started:     on(Serving, TellReady),
		StartFailed: on(Stopped, ExitFailed),
		ReadGood:    on(Starting, Discard),
		ReadBad:     on(Starting),
		Answered:    on(Stopped, ExitFailed), // it never came up
		Ping:        on(Starting, TellAlive),
		Permitted:   on(Starting),
	},
	StartingAgain: {
		Hangup:      on(StartingAgain),
		Terminate:   on(Draining, TellStopping, Drain),
		Started:     on(Reloading, TellReady, TellReloading, Read),
		StartFailed: on(Stopped, ExitFailed),
		ReadGood:    on(StartingAgain, Discard),
		ReadBad:     on(StartingAgain),
		Answered:    on(Stopped, ExitFailed),
		Ping:        on(StartingAgain, TellAlive),
		Permitted:   on(StartingAgain),
	},
	Serving: {
		Hangup:      on(Reloading, TellReloading, Read),
		Terminate:   on(Asking, Ask),
		Started:     on(Serving),
		StartFailed: on(Stopped, ExitFailed),
		ReadGood:    on(Serving, Discard),
		ReadBad:     on(Serving),
		Answered:    on(Stopped, ExitFailed), // it ended unasked
		Ping:        on(Serving, TellAlive),
		Permitted:   on(Serving),
	},
	Reloading: {
		Hangup:      on(ReloadingAgain), // the file may have changed since it was read
		Terminate:   on(Asking, Ask),
		Started:     on(Reloading),
		StartFailed: on(Stopped, ExitFailed),
		ReadGood:    on(Serving, Apply, TellReady),
		ReadBad:     on(Serving, TellReady),
		Answered:    on(Stopped, ExitFailed),
		Ping:        on(Reloading, TellAlive),
		Permitted:   on(Reloading),
	},
	ReloadingAgain: {
		Hangup:      on(ReloadingAgain), // one more read heeds all of them
		Terminate:   on(Asking, Ask),
		Started:     on(ReloadingAgain),
		StartFailed: on(Stopped, ExitFailed),
		ReadGood:    on(Reloading, Apply, Read), // or hangups without a pause would keep all of them from being heeded
		ReadBad:     on(Reloading, Read),
		Answered:    on(Stopped, ExitFailed),
		Ping:        on(ReloadingAgain, TellAlive),
		Permitted:   on(ReloadingAgain),
	},
	Asking: {
		Hangup:      on(Asking, LogIgnored),
		Terminate:   on(Draining, TellStopping, Drain), // it is not to wait any longer
		Started:     on(Asking),
		StartFailed: on(Stopped, Exit),
		ReadGood:    on(Asking, Discard),
		ReadBad:     on(Asking),
		Answered:    on(Stopped, ExitFailed), // it ended unasked
		Ping:        on(Asking, TellAlive),
		Permitted:   on(Draining, TellStopping, Drain),
	},
	Draining: {
		Hangup:      on(Draining, LogIgnored),
		Terminate:   on(Stopping, Hurry),
		Started:     on(Draining),
		StartFailed: on(Stopped, Exit), // there was nothing to drain
		ReadGood:    on(Draining, Discard),
		ReadBad:     on(Draining),
		Answered:    on(Stopped, Exit),
		Ping:        on(Draining, TellAlive),
		Permitted:   on(Draining),
	},
	Stopping: {
		Hangup:      on(Stopping, LogIgnored),
		Terminate:   on(Stopping),
		Started:     on(Stopping),
		StartFailed: on(Stopped, Exit),
		ReadGood:    on(Stopping, Discard),
		ReadBad:     on(Stopping),
		Answered:    on(Stopped, Exit),
		Ping:        on(Stopping, TellAlive),
		Permitted:   on(Stopping),
	},
	Stopped: {
		Hangup:      on(Stopped),
		Terminate:   on(Stopped),
		Started:     on(Stopped),
		StartFailed: on(Stopped),
		ReadGood:    on(Stopped, Discard),
		ReadBad:     on(Stopped),
		Answered:    on(Stopped),
		Ping:        on(Stopped),
		Permitted:   on(Stopped),
	},
}

// Machine is a daemon's life. Its zero value is one that starts. It is not safe
// for concurrent use.
type Machine struct{ state State }

// State returns where it is.
func (m *Machine) State() State { return m.state }

// Handle takes one event and returns what is to be done. The result is
// shared and must not be changed.
func (m *Machine) Handle(e Event) []Action {
	s := table[m.state][e]
	m.state = s.to
	return s.do
}

var stateNames = [states]string{"starting", "starting, to reload", "serving", "reloading", "reloading, to reload again",
	"asking to drain", "draining", "stopping", "stopped"}

// String names a state as the log does.
func (s State) String() string {
	if s < states {
		return stateNames[s]
	}
	return fmt.Sprint("state ", uint8(s))
}
