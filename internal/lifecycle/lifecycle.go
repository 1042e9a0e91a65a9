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
	Starting              State = iota // nothing is told ready yet
	StartingReloadQueued               // the same
	Serving                            // all is in force
	Reloading                          // a configuration is being read
	ReloadingReloadQueued              // the same
	AwaitingPermit                     // it serves on until it may drain
	Draining                           // nothing new is taken, what is open is answered
	Stopping                           // the same, and no longer than what is open now may take
	Stopped                            // the end
	states
)

// Event is something that happens to a daemon.
type Event uint8

// The events.
const (
	Hangup         Event = iota // SIGHUP
	Terminate                   // SIGTERM or SIGINT
	Started                     // clients can be served
	StartFailed                 // they never will be
	ConfigValid                 // the configuration has been read, and can be meant
	ConfigInvalid               // it can't be
	ServingEnded                // all that was taken is answered, all clients are closed
	WatchdogTick                // the service manager's watchdog wants a sign
	DrainPermitted              // it may drain, by leave of the fleet or without
	events
)

// Action is something that a daemon has to do, at once and in order.
type Action uint8

// The actions.
const (
	NotifyReady      Action = iota // to the service manager
	NotifyReloading                // to the service manager
	NotifyStopping                 // to the service manager
	NotifyWatchdog                 // to the service manager's watchdog
	ReadConfig                     // the configuration; ReadGood or ReadBad follows
	ApplyConfig                    // what was read, whole; a refusal is logged and changes nothing
	DiscardConfig                  // what was read
	LogReloadIgnored               // a signal means nothing any more
	RequestPermit                  // the fleet whether this process may drain; Permitted follows
	StartDrain                     // Answered follows
	ShortenDrain                   // the drain
	Exit                           // with zero
	ExitFailed                     // with one
)

type step struct {
	to State
	do []Action
}

func on(to State, do ...Action) step { return step{to, do} }

// table is the whole of the decisions: a row a state, an entry an event.
var table = [states][events]step{
	Starting: {
		Hangup:         on(StartingReloadQueued),
		Terminate:      on(Draining, NotifyStopping, StartDrain),
		Started:        on(Serving, NotifyReady),
		StartFailed:    on(Stopped, ExitFailed),
		ConfigValid:    on(Starting, DiscardConfig),
		ConfigInvalid:  on(Starting),
		ServingEnded:   on(Stopped, ExitFailed), // it never came up
		WatchdogTick:   on(Starting, NotifyWatchdog),
		DrainPermitted: on(Starting),
	},
	StartingReloadQueued: {
		Hangup:         on(StartingReloadQueued),
		Terminate:      on(Draining, NotifyStopping, StartDrain),
		Started:        on(Reloading, NotifyReady, NotifyReloading, ReadConfig),
		StartFailed:    on(Stopped, ExitFailed),
		ConfigValid:    on(StartingReloadQueued, DiscardConfig),
		ConfigInvalid:  on(StartingReloadQueued),
		ServingEnded:   on(Stopped, ExitFailed),
		WatchdogTick:   on(StartingReloadQueued, NotifyWatchdog),
		DrainPermitted: on(StartingReloadQueued),
	},
	Serving: {
		Hangup:         on(Reloading, NotifyReloading, ReadConfig),
		Terminate:      on(AwaitingPermit, RequestPermit),
		Started:        on(Serving),
		StartFailed:    on(Stopped, ExitFailed),
		ConfigValid:    on(Serving, DiscardConfig),
		ConfigInvalid:  on(Serving),
		ServingEnded:   on(Stopped, ExitFailed), // it ended unasked
		WatchdogTick:   on(Serving, NotifyWatchdog),
		DrainPermitted: on(Serving),
	},
	Reloading: {
		Hangup:         on(ReloadingReloadQueued), // the file may have changed since it was read
		Terminate:      on(AwaitingPermit, RequestPermit),
		Started:        on(Reloading),
		StartFailed:    on(Stopped, ExitFailed),
		ConfigValid:    on(Serving, ApplyConfig, NotifyReady),
		ConfigInvalid:  on(Serving, NotifyReady),
		ServingEnded:   on(Stopped, ExitFailed),
		WatchdogTick:   on(Reloading, NotifyWatchdog),
		DrainPermitted: on(Reloading),
	},
	ReloadingReloadQueued: {
		Hangup:         on(ReloadingReloadQueued), // one more read heeds all of them
		Terminate:      on(AwaitingPermit, RequestPermit),
		Started:        on(ReloadingReloadQueued),
		StartFailed:    on(Stopped, ExitFailed),
		ConfigValid:    on(Reloading, ApplyConfig, ReadConfig), // or hangups without a pause would keep all of them from being heeded
		ConfigInvalid:  on(Reloading, ReadConfig),
		ServingEnded:   on(Stopped, ExitFailed),
		WatchdogTick:   on(ReloadingReloadQueued, NotifyWatchdog),
		DrainPermitted: on(ReloadingReloadQueued),
	},
	AwaitingPermit: {
		Hangup:         on(AwaitingPermit, LogReloadIgnored),
		Terminate:      on(Draining, NotifyStopping, StartDrain), // it is not to wait any longer
		Started:        on(AwaitingPermit),
		StartFailed:    on(Stopped, Exit),
		ConfigValid:    on(AwaitingPermit, DiscardConfig),
		ConfigInvalid:  on(AwaitingPermit),
		ServingEnded:   on(Stopped, ExitFailed), // it ended unasked
		WatchdogTick:   on(AwaitingPermit, NotifyWatchdog),
		DrainPermitted: on(Draining, NotifyStopping, StartDrain),
	},
	Draining: {
		Hangup:         on(Draining, LogReloadIgnored),
		Terminate:      on(Stopping, ShortenDrain),
		Started:        on(Draining),
		StartFailed:    on(Stopped, Exit), // there was nothing to drain
		ConfigValid:    on(Draining, DiscardConfig),
		ConfigInvalid:  on(Draining),
		ServingEnded:   on(Stopped, Exit),
		WatchdogTick:   on(Draining, NotifyWatchdog),
		DrainPermitted: on(Draining),
	},
	Stopping: {
		Hangup:         on(Stopping, LogReloadIgnored),
		Terminate:      on(Stopping),
		Started:        on(Stopping),
		StartFailed:    on(Stopped, Exit),
		ConfigValid:    on(Stopping, DiscardConfig),
		ConfigInvalid:  on(Stopping),
		ServingEnded:   on(Stopped, Exit),
		WatchdogTick:   on(Stopping, NotifyWatchdog),
		DrainPermitted: on(Stopping),
	},
	Stopped: {
		Hangup:         on(Stopped),
		Terminate:      on(Stopped),
		Started:        on(Stopped),
		StartFailed:    on(Stopped),
		ConfigValid:    on(Stopped, DiscardConfig),
		ConfigInvalid:  on(Stopped),
		ServingEnded:   on(Stopped),
		WatchdogTick:   on(Stopped),
		DrainPermitted: on(Stopped),
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
