package peer

import (
	"fmt"
	"time"
)

const ms = time.Millisecond

// simulatedFleet simulates members and watchers in virtual time. Each member sends heartbeats to each watcher that it
// is not cut off from.
type simulatedFleet struct {
	now                 time.Duration
	watchers            []*Detector
	view                *View
	knownVersions       []uint64     // versions of the reports that the view last got, by watcher
	pausedWatchers      map[int]bool // by index
	unreachableWatchers map[int]bool // by index: the view does not get their reports
	members             []*simulatedMember
	changes             []string // changes in the view, as "name state"
	reportedMembers     int      // total over all reports
}

type simulatedMember struct {
	Member
	silent     bool
	cutOffFrom map[int]bool // indexes of the watchers that it does not reach
	result     HeartbeatResult
}

func newFleet(watchers int, names ...string) *simulatedFleet {
	f := &simulatedFleet{
		view:                NewView(DefaultParameters, watchers, 0),
		knownVersions:       make([]uint64, watchers),
		pausedWatchers:      map[int]bool{},
		unreachableWatchers: map[int]bool{},
	}
	for range watchers {
		f.watchers = append(f.watchers, NewDetector(DefaultParameters, 0))
	}
	for i, name := range names {
		f.join(name, uint64(i+1))
	}
	return f
}

func (f *simulatedFleet) join(name string, incarnation uint64) *simulatedMember {
	m := &simulatedMember{Member: Member{Name: name, Incarnation: incarnation}, cutOffFrom: map[int]bool{}}
	f.members = append(f.members, m)
	return m
}

// run simulates heartbeats, ticks and reports for a duration, in steps of 10 ms.
func (f *simulatedFleet) run(d time.Duration) {
	for until := f.now + d; f.now < until; f.now += 10 * ms {
		for i, w := range f.watchers {
			if f.pausedWatchers[i] {
				continue
			}
			for _, m := range f.members {
				if !m.silent && !m.cutOffFrom[i] && f.now%DefaultParameters.HeartbeatInterval == 0 {
					m.result = w.Handle(f.now, Heartbeat{m.Member, m.Incarnation})
				}
			}
			w.Handle(f.now, Tick{})
			if !f.unreachableWatchers[i] {
				list, complete := w.ChangedSince(f.knownVersions[i])
				f.knownVersions[i] = w.Version()
				f.reportedMembers += len(list)
				f.recordChanges(f.view.Merge(f.now, fmt.Sprint(i), Report{complete, list}))
			}
		}
		f.recordChanges(f.view.Tick(f.now))
	}
}

func (f *simulatedFleet) recordChanges(changes []Change) {
	for _, c := range changes {
		f.changes = append(f.changes, fmt.Sprint(c.Name, " ", c.State))
	}
}

// endProcess ends a member's process, which closes its connections.
func (f *simulatedFleet) endProcess(m *simulatedMember) {
	m.silent = true
	for i, w := range f.watchers {
		if !f.pausedWatchers[i] {
			w.Handle(f.now, ConnectionLost{m.Incarnation})
		}
	}
}

func (f *simulatedFleet) state(name string) State {
	for _, s := range f.view.Members() {
		if s.Name == name {
			return s.State
		}
	}
	return 0
}

// timeUntil runs the simulation until a member is in a state, for a second at most, and returns how long that took.
func (f *simulatedFleet) timeUntil(name string, s State) time.Duration {
	from := f.now
	for f.state(name) != s && f.now-from < time.Second {
		f.run(10 * ms)
	}
	return f.now - from
}
