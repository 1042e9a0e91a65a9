package peer

import "time"

// Parameters are the rules that watchers and instances must have in common.
type Parameters struct {
	// HeartbeatInterval separates two heartbeats while all is well.
	HeartbeatInterval time.Duration
	// ReconnectGrace is how long a connection that has ended may be replaced by another.
	ReconnectGrace time.Duration
	// SuspectAfter and GoneAfter are silences.
	SuspectAfter time.Duration
	GoneAfter    time.Duration
	// PauseThreshold is the time between two looks of a watcher from which it was paused itself.
	PauseThreshold time.Duration
	// ForgetAfter is how long a member that is gone is kept.
	ForgetAfter time.Duration
	MaxMembers  int
}

// DefaultParameters are the parameters in service. A pause of 300 ms is 450 ms of silence at the most, and a few
// milliseconds for the network.
var DefaultParameters = Parameters{
	HeartbeatInterval: 150 * time.Millisecond,
	ReconnectGrace:    60 * time.Millisecond,
	SuspectAfter:      400 * time.Millisecond,
	GoneAfter:         600 * time.Millisecond,
	PauseThreshold:    100 * time.Millisecond,
	ForgetAfter:       10 * time.Minute,
	MaxMembers:        1024,
}
