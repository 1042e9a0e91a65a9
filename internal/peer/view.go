package peer

import (
	"cmp"
	"slices"
	"time"
)

// View is one instance's view of all members, derived from the watchers' reports. Use [NewView] to create one.
type View struct {
	parameters    Parameters
	watchers      int
	opinions      map[string]*opinion // by watcher's name
	members       map[string]MemberState
	isolated      bool
	isolatedSince time.Duration // when isolated last changed
}

// Report is a watcher's report on all members if it is complete, and otherwise on those that have changed since its
// last report.
type Report struct {
	Complete bool
	Members  []MemberState
}

// opinion is a watcher's latest reported state of all members.
type opinion struct {
	updated time.Duration // when the last report arrived
	members map[string]MemberState
}

// Change is a member that is new or has changed. Previous is the zero State for a new member.
type Change struct {
	MemberState
	Previous State
}

// NewView returns an isolated view without members, for the given number of watchers.
func NewView(parameters Parameters, watchers int, now time.Duration) *View {
	return &View{
		parameters:    parameters,
		watchers:      watchers,
		opinions:      make(map[string]*opinion),
		members:       make(map[string]MemberState),
		isolated:      true,
		isolatedSince: now,
	}
}

// majority returns the number of watchers that have to agree.
func (v *View) majority() int { return v.watchers/2 + 1 }

// Merge merges a watcher's report that arrived at now into the view, and returns the resulting changes.
func (v *View) Merge(now time.Duration, watcher string, report Report) []Change {
	o := v.opinions[watcher]
	if o == nil {
		if !report.Complete {
			return nil // changes to a list that was never received
		}
		o = &opinion{}
		v.opinions[watcher] = o
	}
	o.updated = now
	if report.Complete {
		o.members = make(map[string]MemberState, len(report.Members))
	}
	for _, s := range report.Members {
		if _, known := o.members[s.Name]; known || len(o.members) < v.parameters.MaxMembers {
			o.members[s.Name] = s
		}
	}
	return v.Tick(now)
}

// Tick recomputes the view at now, when reports may have expired, and returns the resulting changes.
func (v *View) Tick(now time.Duration) (changes []Change) {
	v.updateIsolated(now)
	if v.isolated {
		return nil
	}
	for _, name := range v.knownNames() {
		s, known := v.majorityState(now, name)
		old := v.members[name]
		switch {
		case !known && old.Name != "": // no watcher lists it any more
			delete(v.members, name)
		case known && (old.Name == "" || s.State != old.State || s.Member != old.Member):
			v.members[name] = s
			changes = append(changes, Change{s, old.State})
		}
	}
	return changes
}

func (v *View) updateIsolated(now time.Duration) {
	fresh := 0
	for _, o := range v.opinions {
		if v.isFresh(now, o) {
			fresh++
		}
	}
	if isolated := fresh < v.majority(); isolated != v.isolated {
		v.isolated, v.isolatedSince = isolated, now
	}
}

func (v *View) isFresh(now time.Duration, o *opinion) bool {
	return now-o.updated < v.parameters.GoneAfter
}

// knownNames returns the names of all members in the view and in reports, sorted.
func (v *View) knownNames() (list []string) {
	for name := range v.members {
		list = append(list, name)
	}
	for _, o := range v.opinions {
		for name := range o.members {
			list = append(list, name)
		}
	}
	slices.Sort(list)
	return slices.Compact(list)
}

// votes count the fresh reports on one process of a member.
type votes struct {
	member       MemberState
	alive, total int
}

// isBetter reports whether a process takes precedence over another with its name: more watchers report it as alive,
// more watchers report it at all, or its incarnation is higher, in this order.
func (v *votes) isBetter(other *votes) bool {
	return cmp.Or(
		cmp.Compare(v.alive, other.alive),
		cmp.Compare(v.total, other.total),
		cmp.Compare(v.member.Incarnation, other.member.Incarnation),
	) > 0
}

// countVotes counts the fresh reports on a member by incarnation, and returns the votes for the best one. A watcher
// that does not know the latest process yet reports the name as gone under an earlier incarnation, so gone counts the
// reports of Gone for all incarnations.
func (v *View) countVotes(now time.Duration, name string) (best *votes, gone int) {
	processes := make(map[uint64]*votes)
	for _, o := range v.opinions {
		s, ok := o.members[name]
		if !ok || !v.isFresh(now, o) {
			continue
		}
		p := processes[s.Incarnation]
		if p == nil {
			p = &votes{member: s}
			processes[s.Incarnation] = p
		}
		p.total++
		switch s.State {
		case Alive:
			p.alive++
			p.member.Leaving = p.member.Leaving || s.Leaving
		case Gone:
			gone++
		}
	}
	for _, p := range processes {
		if best == nil || p.isBetter(best) {
			best = p
		}
	}
	return best, gone
}

// majorityState returns a member's state by majority of the watchers, and whether any fresh report has the member.
func (v *View) majorityState(now time.Duration, name string) (MemberState, bool) {
	best, gone := v.countVotes(now, name)
	if best == nil {
		return MemberState{}, false
	}
	s := best.member
	old, known := v.members[name]
	switch {
	case best.alive >= v.majority():
		s.State = Alive
	case gone >= v.majority():
		s.State = Gone
	case known && old.Incarnation == s.Incarnation && old.State == Gone: // only a majority of Alive revives a member
		s.State = Gone
	default:
		s.State = Suspect
	}
	return s, true
}

// Isolated reports whether fewer than a majority of the watchers have reported within GoneAfter, and when that last
// changed.
func (v *View) Isolated() (isolated bool, since time.Duration) { return v.isolated, v.isolatedSince }

// Members returns all known members, sorted by name.
func (v *View) Members() (list []MemberState) {
	for _, s := range v.members {
		list = append(list, s)
	}
	sortByName(list)
	return list
}
