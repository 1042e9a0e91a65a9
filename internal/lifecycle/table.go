package lifecycle

// transition is the result of an event in a state.
type transition struct {
	next    State
	actions []Action
}

func to(next State, actions ...Action) transition { return transition{next, actions} }

// table holds all transitions: a row for each state, an entry for each event.
var table = [stateCount][eventCount]transition{
	Starting: {
		Hangup:         to(StartingReloadQueued),
		Terminate:      to(Draining, NotifyStopping, StartDrain),
		Started:        to(Serving, NotifyReady),
		StartFailed:    to(Stopped, ExitFailed),
		ConfigValid:    to(Starting, DiscardConfig),
		ConfigInvalid:  to(Starting),
		ServingEnded:   to(Stopped, ExitFailed), // serving ended before the daemon was ready
		WatchdogTick:   to(Starting, NotifyWatchdog),
		DrainPermitted: to(Starting),
	},
	StartingReloadQueued: {
		Hangup:         to(StartingReloadQueued),
		Terminate:      to(Draining, NotifyStopping, StartDrain),
		Started:        to(Reloading, NotifyReady, NotifyReloading, ReadConfig),
		StartFailed:    to(Stopped, ExitFailed),
		ConfigValid:    to(StartingReloadQueued, DiscardConfig),
		ConfigInvalid:  to(StartingReloadQueued),
		ServingEnded:   to(Stopped, ExitFailed),
		WatchdogTick:   to(StartingReloadQueued, NotifyWatchdog),
		DrainPermitted: to(StartingReloadQueued),
	},
	Serving: {
		Hangup:         to(Reloading, NotifyReloading, ReadConfig),
		Terminate:      to(AwaitingPermit, RequestPermit),
		Started:        to(Serving),
		StartFailed:    to(Stopped, ExitFailed),
		ConfigValid:    to(Serving, DiscardConfig),
		ConfigInvalid:  to(Serving),
		ServingEnded:   to(Stopped, ExitFailed), // serving ended without a termination
		WatchdogTick:   to(Serving, NotifyWatchdog),
		DrainPermitted: to(Serving),
	},
	Reloading: {
		Hangup:         to(ReloadingReloadQueued), // the file may have changed since it was read
		Terminate:      to(AwaitingPermit, RequestPermit),
		Started:        to(Reloading),
		StartFailed:    to(Stopped, ExitFailed),
		ConfigValid:    to(Serving, ApplyConfig, NotifyReady),
		ConfigInvalid:  to(Serving, NotifyReady),
		ServingEnded:   to(Stopped, ExitFailed),
		WatchdogTick:   to(Reloading, NotifyWatchdog),
		DrainPermitted: to(Reloading),
	},
	ReloadingReloadQueued: {
		Hangup:      to(ReloadingReloadQueued), // one more read covers all hangups so far
		Terminate:   to(AwaitingPermit, RequestPermit),
		Started:     to(ReloadingReloadQueued),
		StartFailed: to(Stopped, ExitFailed),
		// The configuration is applied although another read is due: otherwise a continuous stream of hangups would
		// prevent any configuration from coming into force.
		ConfigValid:    to(Reloading, ApplyConfig, ReadConfig),
		ConfigInvalid:  to(Reloading, ReadConfig),
		ServingEnded:   to(Stopped, ExitFailed),
		WatchdogTick:   to(ReloadingReloadQueued, NotifyWatchdog),
		DrainPermitted: to(ReloadingReloadQueued),
	},
	AwaitingPermit: {
		Hangup:         to(AwaitingPermit, LogReloadIgnored),
		Terminate:      to(Draining, NotifyStopping, StartDrain), // a second termination does not wait for the permit
		Started:        to(AwaitingPermit),
		StartFailed:    to(Stopped, Exit),
		ConfigValid:    to(AwaitingPermit, DiscardConfig),
		ConfigInvalid:  to(AwaitingPermit),
		ServingEnded:   to(Stopped, ExitFailed), // the drain had not begun
		WatchdogTick:   to(AwaitingPermit, NotifyWatchdog),
		DrainPermitted: to(Draining, NotifyStopping, StartDrain),
	},
	Draining: {
		Hangup:         to(Draining, LogReloadIgnored),
		Terminate:      to(Stopping, ShortenDrain),
		Started:        to(Draining),
		StartFailed:    to(Stopped, Exit), // no proxy had started, so nothing had to be drained
		ConfigValid:    to(Draining, DiscardConfig),
		ConfigInvalid:  to(Draining),
		ServingEnded:   to(Stopped, Exit),
		WatchdogTick:   to(Draining, NotifyWatchdog),
		DrainPermitted: to(Draining),
	},
	Stopping: {
		Hangup:         to(Stopping, LogReloadIgnored),
		Terminate:      to(Stopping),
		Started:        to(Stopping),
		StartFailed:    to(Stopped, Exit),
		ConfigValid:    to(Stopping, DiscardConfig),
		ConfigInvalid:  to(Stopping),
		ServingEnded:   to(Stopped, Exit),
		WatchdogTick:   to(Stopping, NotifyWatchdog),
		DrainPermitted: to(Stopping),
	},
	Stopped: {
		Hangup:         to(Stopped),
		Terminate:      to(Stopped),
		Started:        to(Stopped),
		StartFailed:    to(Stopped),
		ConfigValid:    to(Stopped, DiscardConfig),
		ConfigInvalid:  to(Stopped),
		ServingEnded:   to(Stopped),
		WatchdogTick:   to(Stopped),
		DrainPermitted: to(Stopped),
	},
}
