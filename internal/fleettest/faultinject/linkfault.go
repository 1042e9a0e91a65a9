package faultinject

import "time"

// Direction is a fault of one direction of a link.
type Direction struct {
	Blocked        bool          // nothing passes; what comes waits and is delivered when the fault ends
	Delay          time.Duration // by which each piece passes later
	BytesPerSecond int           // 0 for no bound
}

// Fault is a fault of a link. The zero value passes everything on.
type Fault struct {
	Forward, Backward Direction // from who connects to the target, and back
	BacklogFull       bool      // no new connection comes up
	// Duplicate sends what goes forward on a new connection on a second one too, whose answers are dropped.
	Duplicate bool
}

// slowRate is the rate of a slow link in bytes a second.
const slowRate = 4 << 10

// LinkFaults are the faults by the names that scenarios have for them. by is the delay of those that delay.
var LinkFaults = map[string]func(by time.Duration) Fault{
	"": func(time.Duration) Fault { return Fault{} },
	"cut": func(time.Duration) Fault {
		return Fault{Forward: Direction{Blocked: true}, Backward: Direction{Blocked: true}, BacklogFull: true}
	},
	"forth": func(time.Duration) Fault { return Fault{Forward: Direction{Blocked: true}} },
	"back":  func(time.Duration) Fault { return Fault{Backward: Direction{Blocked: true}} },
	"delay": func(by time.Duration) Fault {
		return Fault{Forward: Direction{Delay: by}, Backward: Direction{Delay: by}}
	},
	"twice": func(time.Duration) Fault { return Fault{Duplicate: true} },
	"slow": func(time.Duration) Fault {
		return Fault{Forward: Direction{BytesPerSecond: slowRate}, Backward: Direction{BytesPerSecond: slowRate}}
	},
}
