package peer

import (
	"slices"
	"time"
)

// maxReplacedIncarnations bounds the incarnations of a member that are known to have been replaced.
const maxReplacedIncarnations = 8

// Event is an input of a [Detector].
type Event interface{ event() }

type (
	// Heartbeat is a member's sign of life.
	Heartbeat struct {
		Member       Member
		ConnectionID uint64 // of the connection that it came on
	}
	// ConnectionLost says that a connection has ended.
	ConnectionLost struct{ ConnectionID uint64 }
	// Tick has the silences checked. It must come at least every half of Parameters.PauseThreshold.
	Tick struct{}
)

func (Heartbeat) event()      {}
func (ConnectionLost) event() {}
func (Tick) event()           {}

// HeartbeatResult is what a heartbeat came to. The numbers are sent between processes.
type HeartbeatResult uint8

// The results.
const (
	Accepted       HeartbeatResult = iota
	Replaced                       // another process of that name has taken this one's place
	NameTaken                      // another process of that name has it still
	TooManyMembers                 // there is no room for the member
)

var resultNames = [...]string{
	Accepted:       "accepted",
	Replaced:       "replaced",
	NameTaken:      "name taken",
	TooManyMembers: "too many members",
}

// String returns the result as logs have it.
func (r HeartbeatResult) String() string {
	if int(r) < len(resultNames) {
		return resultNames[r]
	}
	return "unknown"
}

// watchedMember is a member as a watcher knows it.
type watchedMember struct {
	member         Member
	state          State
	stateSince     time.Duration
	lastHeartbeat  time.Duration
	connectionID   uint64        // of the last heartbeat
	connectionLost time.Duration // when that connection ended, 0 while it is open
	replaced       []uint64      // incarnations, the latest last
	changedVersion uint64        // the version that last changed the member
}

// Detector is one watcher's opinion of all members. The zero value is not usable.
type Detector struct {
	parameters Parameters
	members    map[string]*watchedMember // by name
	version    uint64
	// completeVersion is the version that last removed a member: a list of changes since an older one would lack that.
	completeVersion uint64
	lastEvent       time.Duration
}

// NewDetector returns a watcher that knows nobody.
func NewDetector(parameters Parameters, now time.Duration) *Detector {
	return &Detector{parameters: parameters, members: make(map[string]*watchedMember), lastEvent: now}
}

// Version returns the version of the opinion, which rises with every change.
func (d *Detector) Version() uint64 { return d.version }

// Members returns what the watcher knows of all members, by name.
func (d *Detector) Members() []MemberState {
	list, _ := d.ChangedSince(0)
	return list
}

// ChangedSince returns what the watcher knows of the members that have changed since a version, or, if complete, of all
// members.
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

// Handle handles an event that occurs at now. The result is that of a heartbeat, and Accepted for other events.
func (d *Detector) Handle(now time.Duration, event Event) HeartbeatResult {
	d.excuseOwnPause(now)
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

// updateState makes a member that is silent or disconnected suspect and then gone, and forgets it in the end.
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

// excuseOwnPause moves all start times of timeouts forward by a time in which this watcher was paused itself.
func (d *Detector) excuseOwnPause(now time.Duration) {
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

// heartbeat records a member's sign of life, unless another process has its name.
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
		m.noteReplaced()
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

// noteReplaced records that another process takes the place of the member's present one.
func (m *watchedMember) noteReplaced() {
	m.replaced = append(m.replaced, m.member.Incarnation)
	if len(m.replaced) > maxReplacedIncarnations {
		m.replaced = m.replaced[1:]
	}
}

// NextTick returns when the next Tick is due at the latest.
func (d *Detector) NextTick(now time.Duration) time.Duration {
	next := now + d.parameters.PauseThreshold/2
	for _, m := range d.members {
		if m.connectionLost > 0 && m.state != Gone {
			next = min(next, m.connectionLost+d.parameters.ReconnectGrace)
		}
	}
	return max(next, now)
}
