package peer

import (
	"cmp"
	"slices"
	"time"
)

// View is what one instance holds of all, from the opinions of the watchers. The zero value is not usable.
type View struct {
	terms    Parameters
	watchers int
	opinions map[string]*opinion // by watcher
	members  map[string]MemberState
	blind    bool
	since    time.Duration // that it is blind, or not
}

type opinion struct {
	heard time.Duration
	list  map[string]MemberState
}

// Change is a member whose state, or process, has changed. Was is 0 for one that is new.
type Change struct {
	MemberState
	Previous State
}

// NewView returns the view of one that has heard nothing, with so many watchers.
func NewView(terms Parameters, watchers int, now time.Duration) *View {
	return &View{terms: terms, watchers: watchers, opinions: make(map[string]*opinion), members: make(map[string]MemberState), blind: true, since: now}
}

// majority is how many of the watchers have to agree.
func (v *View) majority() int { return v.watchers/2 + 1 }

// Merge takes a watcher's opinion at a time: of all, or of those of whom it has changed since it was told last.
func (v *View) Merge(now time.Duration, watcher string, whole bool, list []MemberState) []Change {
	o := v.opinions[watcher]
	if o == nil {
		if !whole {
			return nil // the rest was never heard
		}
		o = &opinion{}
		v.opinions[watcher] = o
	}
	o.heard = now
	if whole {
		o.list = make(map[string]MemberState, len(list))
	}
	for _, s := range list {
		if _, known := o.list[s.Name]; known || len(o.list) < v.terms.MaxMembers {
			o.list[s.Name] = s
		}
	}
	return v.Tick(now)
}

// Tick lets time pass.
func (v *View) Tick(now time.Duration) (changes []Change) {
	fresh := 0
	for _, o := range v.opinions {
		if now-o.heard < v.terms.GoneAfter {
			fresh++
		}
	}
	if blind := fresh < v.majority(); blind != v.blind {
		v.blind, v.since = blind, now
	}
	if v.blind {
		return nil
	}
	for _, name := range v.names() {
		s, known := v.judge(now, name)
		old := v.members[name]
		switch {
		case !known && old.Name != "": // forgotten by all
			delete(v.members, name)
		case known && (old.Name == "" || s.State != old.State || s.Member != old.Member):
			v.members[name] = s
			changes = append(changes, Change{s, old.State})
		}
	}
	return changes
}

// names are all that are known of, in order.
func (v *View) names() (list []string) {
	seen := make(map[string]bool)
	add := func(name string) {
		if !seen[name] {
			seen[name] = true
			list = append(list, name)
		}
	}
	for name := range v.members {
		add(name)
	}
	for _, o := range v.opinions {
		for name := range o.list {
			add(name)
		}
	}
	slices.Sort(list)
	return list
}

// judge counts the opinions that are fresh. Of several processes of one name the one counts that most watchers see
// alive.
func (v *View) judge(now time.Duration, name string) (MemberState, bool) {
	type run struct {
		seen         MemberState
		alive, votes int
	}
	runs, gone := make(map[uint64]*run), 0 // who has not heard of the latest process says of the name that it is gone
	for _, o := range v.opinions {
		s, ok := o.list[name]
		if !ok || now-o.heard >= v.terms.GoneAfter {
			continue
		}
		r := runs[s.Incarnation]
		if r == nil {
			r = &run{seen: s}
			runs[s.Incarnation] = r
		}
		r.votes++
		switch s.State {
		case Alive:
			r.alive++
			r.seen.Leaving = r.seen.Leaving || s.Leaving
		case Gone:
			gone++
		}
	}
	var best *run
	for _, r := range runs {
		if best == nil || cmp.Or(cmp.Compare(r.alive, best.alive), cmp.Compare(r.votes, best.votes), cmp.Compare(r.seen.Incarnation, best.seen.Incarnation)) > 0 {
			best = r
		}
	}
	if best == nil {
		return MemberState{}, false
	}
	s := best.seen
	old, known := v.members[name]
	switch {
	case best.alive >= v.majority():
		s.State = Alive
	case gone >= v.majority():
		s.State = Gone
	case known && old.Incarnation == s.Incarnation && old.State == Gone: // it comes back by a majority alone
		s.State = Gone
	default:
		s.State = Suspect
	}
	return s, true
}

// Isolated tells whether too few watchers are heard, and since when that is so, or is not.
func (v *View) Isolated() (bool, time.Duration) { return v.blind, v.since }

// Members are all that are known, by name.
func (v *View) Members() (list []MemberState) {
	for _, s := range v.members {
		list = append(list, s)
	}
	slices.SortFunc(list, func(a, b MemberState) int { return cmp.Compare(a.Name, b.Name) })
	return list
}
