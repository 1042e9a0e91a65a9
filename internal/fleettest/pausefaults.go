package fleettest

import "time"

// pauseFault is a fault, or several at the same time, at some of the proxies. Reports show its name, and the flag
// --trouble selects faults by parts of the name.
type pauseFault struct {
	name     string
	duration time.Duration
	// events returns the events that make up the fault; their times count from its start.
	events func(proxies []int) []Event
	drift  float64 // ClockDrift of the fleet
}

func seconds(s float64) tomlDuration { return tomlDuration(s * float64(time.Second)) }

// newStopFault returns a fault that stops proxies for a number of seconds, with other events meanwhile.
func newStopFault(name string, length float64, more ...Event) pauseFault {
	return pauseFault{
		name:     name,
		duration: time.Duration(seconds(length)),
		events: func(proxies []int) []Event {
			return append([]Event{{Action: "stop", Proxies: proxies, Duration: seconds(length)}}, more...)
		},
	}
}

// newLinkFault returns a fault of the proxies' links that lasts a number of seconds.
func newLinkFault(name, linkTo, kind string, length float64, delay time.Duration) pauseFault {
	return pauseFault{
		name:     name,
		duration: time.Duration(seconds(length)),
		events: func(proxies []int) []Event {
			return []Event{{
				Action:    "link",
				Proxies:   proxies,
				LinkTo:    linkTo,
				FaultKind: kind,
				Duration:  seconds(length),
				Delay:     tomlDuration(delay),
			}}
		},
	}
}

// and returns a fault that consists of both faults, started at the same time.
func (t pauseFault) and(u pauseFault) pauseFault {
	return pauseFault{
		name:     t.name + " + " + u.name,
		duration: max(t.duration, u.duration),
		drift:    max(t.drift, u.drift),
		events: func(proxies []int) []Event {
			return append(t.events(proxies), u.events(proxies)...)
		},
	}
}

// withEach returns the fault with an additional event at each of its proxies.
func (t pauseFault) withEach(e Event) pauseFault {
	events := t.events
	t.events = func(proxies []int) (list []Event) {
		list = events(proxies)
		for _, p := range proxies {
			e.Proxy = p
			list = append(list, e)
		}
		return list
	}
	return t
}

// Faults that are neither a single stop nor a fault of a link.
var (
	burstsFault = pauseFault{
		name:     "bursts of 50 ms in 60",
		duration: 10 * time.Second,
		events: func(proxies []int) []Event {
			return []Event{{
				Action:   "stop",
				Proxies:  proxies,
				Duration: seconds(0.05),
				Interval: seconds(0.06),
				Count:    166,
			}}
		},
	}
	starvedFault = pauseFault{
		name:     "core withheld",
		duration: 4 * time.Second,
		events: func(proxies []int) []Event {
			return []Event{{Action: "starve", Proxies: proxies, Duration: seconds(4), Count: 3}}
		},
	}
	backlogFullFault = pauseFault{
		name:     "backlog full",
		duration: 3 * time.Second,
		events: func(proxies []int) []Event {
			return []Event{{Action: "crowd", Proxies: proxies, Duration: seconds(3), Count: 600}}
		},
	}
	stalledNodesFault = pauseFault{
		name:     "nodes stopped 3 s",
		duration: 3 * time.Second,
		events: func([]int) []Event {
			return []Event{
				{Action: "fault", Node: 1, FaultKind: "stall"},
				{Action: "fault", Node: 2, FaultKind: "stall"},
				{At: seconds(3), Action: "fault", Node: 1},
				{At: seconds(3), Action: "fault", Node: 2},
			}
		},
	}
	killedFault = pauseFault{
		name:     "killed",
		duration: time.Second,
		events: func(proxies []int) (list []Event) {
			for _, p := range proxies {
				list = append(list, Event{Action: "kill", Proxy: p})
			}
			return list
		},
	}
)

// linkPauseFaults returns the faults of links to clients and nodes.
func linkPauseFaults() []pauseFault {
	return []pauseFault{
		newLinkFault("clients cut 3 s", linkToClients, "cut", 3, 0),
		newLinkFault("clients' requests held 3 s", linkToClients, "forth", 3, 0),
		newLinkFault("answers to clients held 3 s", linkToClients, "back", 3, 0),
		newLinkFault("clients reset", linkToClients, linkReset, 1, 0),
		newLinkFault("nodes cut 3 s", linkToNodes, "cut", 3, 0),
		newLinkFault("nodes' answers held 3 s", linkToNodes, "back", 3, 0),
		newLinkFault("nodes 100 ms away", linkToNodes, "delay", 4, 100*time.Millisecond),
	}
}

// pauseFaults returns the faults that are tested by default.
func pauseFaults() []pauseFault {
	drifting := newStopFault("stop 1.6 s, clocks 5% off", 1.6)
	drifting.drift = 0.05
	after1s := seconds(1)
	restart := Event{At: after1s, Action: "restart", Mode: modeGap}
	reload := Event{At: after1s, Action: "hangup", ConfigVariant: configSame, Count: 3, Interval: seconds(0.2)}
	list := []pauseFault{
		newStopFault("stop 0.2 s", 0.2),
		newStopFault("stop 1 s", 1),
		newStopFault("stop 1.6 s", 1.6),
		newStopFault("stop 3 s", 3),
		newStopFault("stop 6 s", 6),
		newStopFault("stop 30 s", 30),
		burstsFault,
		starvedFault,
		backlogFullFault,
		stalledNodesFault,
		killedFault,
		drifting,
		newStopFault("stop 3 s, drain meanwhile", 3, Event{At: after1s, Action: "drain", Node: 3}),
		newStopFault("stop 3 s, node replaced", 3, Event{At: after1s, Action: "cold", Node: 4}),
		newStopFault("stop 3 s, node gone", 3, Event{At: after1s, Action: "remove", Node: 5}),
		newStopFault("stop 3 s, another at a node's address", 3, Event{At: after1s, Action: "rename", Node: 6}),
		newStopFault("stop 3 s, SIGTERM waiting", 3).withEach(restart),
		newStopFault("stop 3 s, SIGHUP waiting", 3).withEach(reload),
		newLinkFault("clients stopped 3 s, SIGTERM meanwhile", linkToClients, "cut", 3, 0).withEach(restart),
	}
	list = append(list, linkPauseFaults()...)
	listHeld := newLinkFault("list answers held 6 s", linkToList, "back", 6, 0)
	drainAfterHalf := Event{At: seconds(0.5), Action: "drain", Node: 3}
	return append(list,
		listHeld.and(newStopFault("stop 1 s, drain meanwhile", 1, drainAfterHalf)),
		newStopFault("stop 3 s", 3).and(backlogFullFault),
		newStopFault("stop 3 s", 3).and(stalledNodesFault),
		newStopFault("stop 1.6 s", 1.6).and(newLinkFault("nodes cut 3 s", linkToNodes, "cut", 3, 0)),
		newStopFault("stop 3 s", 3).and(listHeld),
	)
}

// pauseFaultPairs returns all possible pairs of faults, both at the same proxies at the same time.
func pauseFaultPairs() (list []pauseFault) {
	singleFaults := append([]pauseFault{
		newStopFault("stop 1.6 s", 1.6),
		starvedFault,
		backlogFullFault,
		stalledNodesFault,
		killedFault,
	}, linkPauseFaults()...)
	singleFaults = append(singleFaults, newLinkFault("list answers held 3 s", linkToList, "back", 3, 0))
	for i, t := range singleFaults {
		for _, u := range singleFaults[i+1:] {
			switch {
			case t.name == killedFault.name && u.name != stalledNodesFault.name: // a killed process has no links
			case u.name == killedFault.name && t.name != stalledNodesFault.name:
			case t.linkTo() != "" && t.linkTo() == u.linkTo(): // a link has one fault at a time
			default:
				list = append(list, t.and(u))
			}
		}
	}
	return list
}

// linkTo returns the other end of the links that a fault affects; "" if it affects none.
func (t pauseFault) linkTo() string { return t.events([]int{0})[0].LinkTo }
