package peer

import (
	"fmt"
	"time"
)

const ms = time.Millisecond

// simulatedFleet is some members and watchers in virtual time: each member sends heartbeats to each watcher that it is
// not cut off from.
type simulatedFleet struct {
	now                 time.Duration
	watchers            []*Detector
	view                *View
	knownVersions       []uint64     // of the watchers' reports, as the view has them
	stoppedWatchers     map[int]bool // by place
	unreachableWatchers map[int]bool // whose reports the view does not get
	members             []*simulatedMember
	changes             []string // of the view, as "name state"
	reportedMembers     int      // in all reports
}

type simulatedMember struct {
	Member
	silent     bool
	cutOffFrom map[int]bool // watchers that it does not reach
	result     HeartbeatResult
}

func newFleet(watchers int, names ...string) *simulatedFleet {
	f := &simulatedFleet{
		view:                NewView(DefaultParameters, watchers, 0),
		knownVersions:       make([]uint64, watchers),
		stoppedWatchers:     map[int]bool{},
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

// run simulates a span in steps of 10 ms: heartbeats, ticks and reports.
func (f *simulatedFleet) run(d time.Duration) {
	for until := f.now + d; f.now < until; f.now += 10 * ms {
		for i, w := range f.watchers {
			if f.stoppedWatchers[i] {
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
				f.noteChanges(f.view.Merge(f.now, fmt.Sprint(i), Report{complete, list}))
			}
		}
		f.noteChanges(f.view.Tick(f.now))
	}
}

func (f *simulatedFleet) noteChanges(changes []Change) {
	for _, c := range changes {
		f.changes = append(f.changes, fmt.Sprint(c.Name, " ", c.State))
	}
}

// endProcess closes a member's connections, as the end of its process does.
func (f *simulatedFleet) endProcess(m *simulatedMember) {
	m.silent = true
	for i, w := range f.watchers {
		if !f.stoppedWatchers[i] {
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

// timeUntil returns how long it takes until a member is in a state, a second at the most.
func (f *simulatedFleet) timeUntil(name string, s State) time.Duration {
	from := f.now
	for f.state(name) != s && f.now-from < time.Second {
		f.run(10 * ms)
	}
	return f.now - from
}
