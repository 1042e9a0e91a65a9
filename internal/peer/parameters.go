package peer

import "time"

// Parameters are the settings that must be the same for all watchers and instances.
type Parameters struct {
	// HeartbeatInterval is the time between two heartbeats as long as nothing changes.
	HeartbeatInterval time.Duration
	// ReconnectGrace is how long an instance whose connection has closed may take to reconnect before it is gone.
	ReconnectGrace time.Duration
	// SuspectAfter and GoneAfter are the times since its last heartbeat after which a member is suspect or gone.
	SuspectAfter time.Duration
	GoneAfter    time.Duration
	// PauseThreshold is the time between two events at a watcher from which the watcher itself counts as paused.
	PauseThreshold time.Duration
	// ForgetAfter is how long a member that is gone stays listed.
	ForgetAfter time.Duration
	MaxMembers  int
}

// DefaultParameters are the parameters in production. An instance that pauses for 300 ms sends no heartbeat for at most
// 450 ms, plus a few milliseconds for the network, so it becomes suspect but not gone.
var DefaultParameters = Parameters{
	HeartbeatInterval: 150 * time.Millisecond,
	ReconnectGrace:    60 * time.Millisecond,
	SuspectAfter:      400 * time.Millisecond,
	GoneAfter:         600 * time.Millisecond,
	PauseThreshold:    100 * time.Millisecond,
	ForgetAfter:       10 * time.Minute,
	MaxMembers:        1024,
}
