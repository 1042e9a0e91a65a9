package peer

import (
	"slices"
	"time"
)

// maxReplacedIncarnations bounds the replaced incarnations that are remembered for a member.
const maxReplacedIncarnations = 8

// Event is an input of a [Detector].
type Event interface{ event() }

type (
	// Heartbeat reports that a member is alive.
	Heartbeat struct {
		Member       Member
		ConnectionID uint64 // ID of the connection on which the heartbeat arrived
	}
	// ConnectionLost reports that a connection has closed.
	ConnectionLost struct{ ConnectionID uint64 }
	// Tick checks the timeouts. The caller sends it at least every half of Parameters.PauseThreshold.
	Tick struct{}
)

func (Heartbeat) event()      {}
func (ConnectionLost) event() {}
func (Tick) event()           {}

// HeartbeatResult is a watcher's response to a heartbeat. The numeric values are sent between processes.
type HeartbeatResult uint8

// Every result but Accepted means that the heartbeat was rejected.
const (
	Accepted       HeartbeatResult = iota
	Replaced                       // another process with this name has replaced the sender
	NameTaken                      // another process with this name is neither gone nor leaving
	TooManyMembers                 // there are MaxMembers members already
)

var resultNames = [...]string{
	Accepted:       "accepted",
	Replaced:       "replaced",
	NameTaken:      "name taken",
	TooManyMembers: "too many members",
}

// String returns the result's name in logs.
func (r HeartbeatResult) String() string {
	if int(r) < len(resultNames) {
		return resultNames[r]
	}
	return "unknown"
}

// watchedMember is a watcher's record of a member.
type watchedMember struct {
	member         Member
	state          State
	stateSince     time.Duration
	lastHeartbeat  time.Duration
	connectionID   uint64        // connection of the last heartbeat
	connectionLost time.Duration // when that connection closed, 0 while it is open
	replaced       []uint64      // replaced incarnations, oldest first
	changedVersion uint64        // the version of the member's last change
}

// Detector is one watcher's opinion of all members. Use [NewDetector] to create one.
type Detector struct {
	parameters Parameters
	members    map[string]*watchedMember // by name
	version    uint64
	// completeVersion is the version that last removed a member. Changes since an older version can't be listed, as
	// the removal would be missing.
	completeVersion uint64
	lastEvent       time.Duration
}

// NewDetector returns a detector without members.
func NewDetector(parameters Parameters, now time.Duration) *Detector {
	return &Detector{parameters: parameters, members: make(map[string]*watchedMember), lastEvent: now}
}

// Version returns the version of the opinion, which increases with every change.
func (d *Detector) Version() uint64 { return d.version }

// Members returns all members and their states, sorted by name.
func (d *Detector) Members() []MemberState {
	list, _ := d.ChangedSince(0)
	return list
}

// ChangedSince returns the members that have changed since a version, sorted by name. It returns all members, and sets
// complete, for version 0 and if the changes since that version can't be listed.
func (d *Detector) ChangedSince(version uint64) (list []MemberState, complete bool) {
	complete = version == 0 || version < d.completeVersion || version > d.version
	for _, m := range d.members {
		if complete || m.changedVersion > version {
			list = append(list, MemberState{m.member, m.state})
		}
	}
	sortByName(list)
	return list, complete
}

// Handle processes an event that occurs at now. The result is Accepted for all events but a rejected heartbeat.
func (d *Detector) Handle(now time.Duration, event Event) HeartbeatResult {
	d.extendTimeoutsAfterPause(now)
	result := Accepted
	switch e := event.(type) {
	case Heartbeat:
		result = d.heartbeat(now, &e)
	case ConnectionLost:
		for _, m := range d.members {
			if m.connectionID == e.ConnectionID && m.connectionLost == 0 {
				m.connectionLost = now
			}
		}
	}
	for name, m := range d.members {
		d.updateState(now, name, m)
	}
	return result
}

// updateState marks a silent or disconnected member as suspect and later as gone, and removes it after ForgetAfter.
func (d *Detector) updateState(now time.Duration, name string, m *watchedMember) {
	p := &d.parameters
	silence := now - m.lastHeartbeat
	disconnected := m.connectionLost > 0
	switch {
	case m.state == Gone && now-m.stateSince >= p.ForgetAfter:
		delete(d.members, name)
		d.version++
		d.completeVersion = d.version
	case m.state == Gone:
	case silence >= p.GoneAfter || disconnected && now-m.connectionLost >= p.ReconnectGrace:
		d.setState(now, m, Gone)
	case silence >= p.SuspectAfter || disconnected:
		d.setState(now, m, Suspect)
	}
}

// extendTimeoutsAfterPause moves the start of every timeout forward by the time for which this watcher was paused,
// because it processed no heartbeats during the pause.
func (d *Detector) extendTimeoutsAfterPause(now time.Duration) {
	if gap := now - d.lastEvent; gap >= d.parameters.PauseThreshold {
		for _, m := range d.members {
			m.lastHeartbeat += gap
			if m.connectionLost > 0 {
				m.connectionLost += gap
			}
			m.stateSince += gap
		}
	}
	d.lastEvent = max(d.lastEvent, now)
}

func (d *Detector) setState(now time.Duration, m *watchedMember, s State) {
	if m.state != s {
		m.state, m.stateSince = s, now
		d.markChanged(m)
	}
}

func (d *Detector) markChanged(m *watchedMember) {
	d.version++
	m.changedVersion = d.version
}

// heartbeat records a heartbeat, unless the member was replaced, its name is taken or there are too many members.
func (d *Detector) heartbeat(now time.Duration, e *Heartbeat) HeartbeatResult {
	m := d.members[e.Member.Name]
	if m == nil {
		if len(d.members) >= d.parameters.MaxMembers {
			return TooManyMembers
		}
		m = &watchedMember{stateSince: now}
		d.members[e.Member.Name] = m
	} else if slices.Contains(m.replaced, e.Member.Incarnation) {
		return Replaced
	} else if m.member.Incarnation != e.Member.Incarnation {
		if m.state != Gone && !m.member.Leaving {
			return NameTaken
		}
		m.recordReplaced()
	}
	if m.member != e.Member {
		d.markChanged(m)
	}
	m.member = e.Member
	m.lastHeartbeat = now
	m.connectionID = e.ConnectionID
	m.connectionLost = 0
	d.setState(now, m, Alive)
	return Accepted
}

// recordReplaced records that another process replaces the member's present one.
func (m *watchedMember) recordReplaced() {
	m.replaced = append(m.replaced, m.member.Incarnation)
	if len(m.replaced) > maxReplacedIncarnations {
		m.replaced = m.replaced[1:]
	}
}

// NextTick returns the latest time at which the next Tick is due. It is not before now.
func (d *Detector) NextTick(now time.Duration) time.Duration {
	next := now + d.parameters.PauseThreshold/2
	for _, m := range d.members {
		if m.connectionLost > 0 && m.state != Gone {
			next = min(next, m.connectionLost+d.parameters.ReconnectGrace)
		}
	}
	return max(next, now)
}
