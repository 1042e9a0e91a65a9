package overload

import (
	"math"
	"time"
)

// Signal is a measured quantity that may require a level.
type Signal uint8

// The signals.
const (
	LateReads       Signal = iota // share of the ended requests other than keyed writes that were not in time
	LateHandovers                 // share of the ended keyed writes that were not in time
	Rejections                    // share of the offered requests that were rejected
	OriginErrors                  // share of the misses and writes that failed
	OriginLatency                 // mean time that the origin adds, in latency objectives of the requests' classes
	TimerLag                      // largest delay of a timer in seconds
	Memory                        // share of the memory limit that is in use
	Sockets                       // share of the client connections that are in use
	EjectedNodes                  // share of the listed nodes that get no requests
	EndpointListAge               // seconds since the sources of the endpoint list last responded
	signalCount
)

// Threshold says at which values of a signal levels are entered and left.
type Threshold struct {
	Name  string                  // name of the signal in transitions and statistics
	Enter [levelCount - 1]float64 // entry thresholds by level, from Economy on; 0 if it never requires the level
	Exit  float64                 // exit threshold as a share of the entry threshold
}

// Thresholds are the conditions of entry and exit, by signal. Origin latency is a signal because it shows a brown-out
// before anything has failed. The thresholds for late and rejected requests start around the service objective (a
// tenth late). Those for memory end where the garbage collector can no longer stay below the limit; none requires
// Shelter, which frees no memory. Ejected nodes require Shelter only from three quarters on, as the other nodes still
// serve their keys.
var Thresholds = [signalCount]Threshold{
	LateReads:       {"late_reads", [...]float64{0.10, 0.25, 0.45, 0.75}, 0.6},
	LateHandovers:   {"late_handovers", [...]float64{0.12, 0.18, 0.25, 0.40}, 0.6},
	Rejections:      {"turned_away", [...]float64{0.05, 0.20, 0.40, 0.75}, 0.6},
	OriginErrors:    {"origin_failed", [...]float64{0.10, 0.25, 0.40, 0.60}, 0.6},
	OriginLatency:   {"origin_time", [...]float64{0.50, 0.90, 1.60, 0}, 0.6},
	TimerLag:        {"lag_s", [...]float64{0.05, 0.15, 0.40, 1}, 0.5},
	Memory:          {"memory", [...]float64{0.75, 0.85, 0.95, 0}, 0.88},
	Sockets:         {"sockets", [...]float64{0.75, 0.88, 0.95, 0}, 0.85},
	EjectedNodes:    {"nodes_out", [...]float64{0.15, 0.35, 0.50, 0.75}, 0.7},
	EndpointListAge: {"list_age_s", [...]float64{60, 0, 0, 0}, 0.5},
}

// String returns the signal's name, as used in transitions.
func (s Signal) String() string {
	if s < signalCount {
		return Thresholds[s].Name
	}
	return "none"
}

// Unknown is the value of a signal that is not available.
var Unknown = math.NaN()

// Signals are the values at one time, by Signal. A value that is negative or not finite counts as unknown.
type Signals [signalCount]float64

// UnknownSignals returns Signals with all values Unknown.
func UnknownSignals() (s Signals) {
	for i := range s {
		s[i] = Unknown
	}
	return s
}

// notOver is the value of signalState.overSince while the signal is below the level's entry threshold.
const notOver = -1

// signalState is the state of one signal. Its times are on the controller's own clock.
type signalState struct {
	value      float64 // the last known value
	known      bool
	receivedAt time.Duration
	required   Level                     // the level that the signal requires
	overSince  [levelCount]time.Duration // by level, since when value is at or above the entry threshold, or notOver
}

func (s *signalState) reset() {
	*s = signalState{}
	for i := range s.overSince {
		s.overSince[i] = notOver
	}
}

// update sets a new value, which may be unknown. After SignalTimeout without a known value the state is reset.
func (s *signalState) update(threshold *Threshold, value float64, now time.Duration, timings *Timings) {
	if math.IsNaN(value) || math.IsInf(value, 0) || value < 0 {
		if s.known && now-s.receivedAt > timings.SignalTimeout {
			s.reset()
		}
		return
	}
	s.known, s.receivedAt, s.value = true, now, value
	required := Full
	for level := Economy; level < levelCount; level++ {
		enter := threshold.Enter[level-1]
		switch {
		case enter <= 0:
			continue
		case s.value < enter:
			s.overSince[level] = notOver
		case s.overSince[level] == notOver:
			s.overSince[level] = now
		}
		entered := s.overSince[level] != notOver && now-s.overSince[level] >= timings.ConfirmFor
		stays := s.required >= level && s.value >= threshold.Exit*enter
		if entered || stays {
			required = level
		}
	}
	s.required = required
}
