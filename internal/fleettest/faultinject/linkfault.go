package faultinject

import "time"

// Direction is a fault of one direction of a link.
type Direction struct {
	Blocked        bool          // nothing is forwarded; received data is delivered when the fault ends
	Delay          time.Duration // added to each chunk of data
	BytesPerSecond int           // 0 means unlimited
}

// Fault is a fault of a link. The zero value means no fault: data is forwarded without delay.
type Fault struct {
	Forward, Backward Direction // from the connecting side to the target, and back
	BacklogFull       bool      // no new connections can be opened
	// Duplicate opens a second connection to the target for each new connection. The link sends the forward data on
	// both, and drops the answers on the second one.
	Duplicate bool
}

// slowRate is the rate of a slow link in bytes per second.
const slowRate = 4 << 10

// LinkFaults maps the names that scenarios use to faults. by is the delay of the fault "delay".
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
