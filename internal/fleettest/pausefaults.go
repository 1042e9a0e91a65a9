package fleettest

import "time"

// pauseFault is one fault, or several together, at some of the proxies. Its name is part of reports, and is what flags
// select by.
type pauseFault struct {
	name     string
	duration time.Duration
	// events are what happens, with times that count from the fault's start.
	events func(proxies []int) []Event
	drift  float64 // of the proxies' clocks
}

// seconds is a duration of a scenario.
func seconds(s float64) tomlDuration { return tomlDuration(s * float64(time.Second)) }

// stopped is a stop of proxies for a number of seconds, with other events meanwhile.
func stopped(name string, length float64, more ...Event) pauseFault {
	return pauseFault{
		name:     name,
		duration: time.Duration(seconds(length)),
		events: func(proxies []int) []Event {
			return append([]Event{{Action: "stop", Proxies: proxies, Duration: seconds(length)}}, more...)
		},
	}
}

// linked is a fault of the proxies' links for a number of seconds.
func linked(name, linkTo, kind string, length float64, delay time.Duration) pauseFault {
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

// and is two faults together.
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

// withEach adds an event of each of the proxies.
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

// The faults that are neither a single stop nor a link's.
var (
	bursts = pauseFault{
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
	starved = pauseFault{
		name:     "core withheld",
		duration: 4 * time.Second,
		events: func(proxies []int) []Event {
			return []Event{{Action: "starve", Proxies: proxies, Duration: seconds(4), Count: 3}}
		},
	}
	crowded = pauseFault{
		name:     "backlog full",
		duration: 3 * time.Second,
		events: func(proxies []int) []Event {
			return []Event{{Action: "crowd", Proxies: proxies, Duration: seconds(3), Count: 600}}
		},
	}
	stalled = pauseFault{
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
	killed = pauseFault{
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

// linkPauseFaults are the faults of links, one of each kind.
func linkPauseFaults() []pauseFault {
	return []pauseFault{
		linked("clients cut 3 s", linkToClients, "cut", 3, 0),
		linked("clients' requests held 3 s", linkToClients, "forth", 3, 0),
		linked("answers to clients held 3 s", linkToClients, "back", 3, 0),
		linked("clients reset", linkToClients, linkReset, 1, 0),
		linked("nodes cut 3 s", linkToNodes, "cut", 3, 0),
		linked("nodes' answers held 3 s", linkToNodes, "back", 3, 0),
		linked("nodes 100 ms away", linkToNodes, "delay", 4, 100*time.Millisecond),
	}
}

// pauseFaults are the faults that are played by default.
func pauseFaults() []pauseFault {
	drifting := stopped("stop 1.6 s, clocks 5% off", 1.6)
	drifting.drift = 0.05
	after1s := seconds(1)
	restart := Event{At: after1s, Action: "restart", Mode: modeGap}
	reload := Event{At: after1s, Action: "hangup", ConfigVariant: configSame, Count: 3, Interval: seconds(0.2)}
	list := []pauseFault{
		stopped("stop 0.2 s", 0.2),
		stopped("stop 1 s", 1),
		stopped("stop 1.6 s", 1.6),
		stopped("stop 3 s", 3),
		stopped("stop 6 s", 6),
		stopped("stop 30 s", 30),
		bursts,
		starved,
		crowded,
		stalled,
		killed,
		drifting,
		stopped("stop 3 s, drain meanwhile", 3, Event{At: after1s, Action: "drain", Node: 3}),
		stopped("stop 3 s, node replaced", 3, Event{At: after1s, Action: "cold", Node: 4}),
		stopped("stop 3 s, node gone", 3, Event{At: after1s, Action: "remove", Node: 5}),
		stopped("stop 3 s, another at a node's address", 3, Event{At: after1s, Action: "rename", Node: 6}),
		stopped("stop 3 s, SIGTERM waiting", 3).withEach(restart),
		stopped("stop 3 s, SIGHUP waiting", 3).withEach(reload),
		linked("clients stopped 3 s, SIGTERM meanwhile", linkToClients, "cut", 3, 0).withEach(restart),
	}
	list = append(list, linkPauseFaults()...)
	listHeld := linked("list answers held 6 s", linkToList, "back", 6, 0)
	drainAfterHalf := Event{At: seconds(0.5), Action: "drain", Node: 3}
	return append(list,
		listHeld.and(stopped("stop 1 s, drain meanwhile", 1, drainAfterHalf)),
		stopped("stop 3 s", 3).and(crowded),
		stopped("stop 3 s", 3).and(stalled),
		stopped("stop 1.6 s", 1.6).and(linked("nodes cut 3 s", linkToNodes, "cut", 3, 0)),
		stopped("stop 3 s", 3).and(listHeld),
	)
}

// pauseFaultPairs are all pairs of faults, each at the same proxies at the same time.
func pauseFaultPairs() (list []pauseFault) {
	single := append([]pauseFault{stopped("stop 1.6 s", 1.6), starved, crowded, stalled, killed}, linkPauseFaults()...)
	single = append(single, linked("list answers held 3 s", linkToList, "back", 3, 0))
	for i, t := range single {
		for _, u := range single[i+1:] {
			switch {
			case t.name == killed.name && u.name != stalled.name: // a killed process has no links
			case u.name == killed.name && t.name != stalled.name:
			case t.linkTo() != "" && t.linkTo() == u.linkTo(): // a link has one fault at a time
			default:
				list = append(list, t.and(u))
			}
		}
	}
	return list
}

// linkTo returns the other end of the links that a fault concerns, "" for none.
func (t pauseFault) linkTo() string { return t.events([]int{0})[0].LinkTo }
