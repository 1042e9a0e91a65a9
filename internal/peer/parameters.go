package peer

import "time"

// Parameters are the rules that watchers and instances must have in common.
type Parameters struct {
	// HeartbeatInterval is the time between two heartbeats while nothing changes.
	HeartbeatInterval time.Duration
	// ReconnectGrace is how long after the end of its connection an instance may connect again without being gone.
	ReconnectGrace time.Duration
	// SuspectAfter and GoneAfter are the times without a heartbeat after which a member is suspect and gone.
	SuspectAfter time.Duration
	GoneAfter    time.Duration
	// PauseThreshold is the time between two events of a watcher from which it counts as paused itself.
	PauseThreshold time.Duration
	// ForgetAfter is how long a member that is gone is kept.
	ForgetAfter time.Duration
	MaxMembers  int
}

// DefaultParameters are the parameters of all processes in service. An instance that is paused for 300 ms sends no
// heartbeat for 450 ms at most, and a few milliseconds for the network: it is suspect, not gone.
var DefaultParameters = Parameters{
	HeartbeatInterval: 150 * time.Millisecond,
	ReconnectGrace:    60 * time.Millisecond,
	SuspectAfter:      400 * time.Millisecond,
	GoneAfter:         600 * time.Millisecond,
	PauseThreshold:    100 * time.Millisecond,
	ForgetAfter:       10 * time.Minute,
	MaxMembers:        1024,
}
