package coordinator

import (
	"context"
	"maps"
	"sync"
	"time"

	"mulleinpier/internal/peer"
	"mulleinpier/internal/takeover"
)

// updateMembers compares the fleet's members with those known, and handles what was lost, returned or is new.
func (c *Coordinator) updateMembers(ctx context.Context, list []peer.MemberState, tasks *sync.WaitGroup) {
	c.forgetMembers(list)
	for _, s := range list {
		if s.Name == c.options.Self.Name {
			c.updateSelf(s.State)
		} else {
			c.updateMember(ctx, s, tasks)
		}
	}
}

// updateMember handles what is known of another process.
func (c *Coordinator) updateMember(ctx context.Context, s peer.MemberState, tasks *sync.WaitGroup) {
	owner := takeover.Owner{Name: s.Name, Incarnation: s.Incarnation}
	m := c.members[s.Name]
	if m != nil && m.Incarnation != s.Incarnation { // another process of that name: the one before is lost
		c.ownerLost(m.Owner)
		m.stop()
		delete(c.members, s.Name)
		m = nil
	}
	switch {
	case s.State == peer.Gone && m != nil && !c.gone[owner]:
		c.gone[owner] = true
		c.presenceChanged[owner.Name] = c.options.Clock()
		c.ownerLost(owner)
	case s.State == peer.Alive && c.gone[owner]:
		delete(c.gone, owner)
		c.presenceChanged[owner.Name] = c.options.Clock()
		c.handleRegistryEvent(takeover.OwnerReturned{Owner: owner})
	}
	if m == nil && s.State != peer.Gone && s.Address != "" {
		c.addMember(ctx, s, tasks)
	}
}

// updateSelf notes whether the fleet lists this process as gone: until it returned, it was sent no writes.
func (c *Coordinator) updateSelf(s peer.State) {
	gone := s == peer.Gone
	if c.selfGone && !gone {
		c.handleRegistryEvent(takeover.Rejoined{})
	}
	c.selfGone = gone
}

// addMember adds another proxy, and starts the goroutine that sends it messages.
func (c *Coordinator) addMember(ctx context.Context, s peer.MemberState, tasks *sync.WaitGroup) {
	ctx, stop := context.WithCancel(ctx)
	m := &member{
		Candidate: takeover.Candidate{
			Owner: takeover.Owner{Name: s.Name, Incarnation: s.Incarnation},
			Zone:  s.Zone,
		},
		address: s.Address,
		stop:    stop,
		wake:    make(chan struct{}, 1),
	}
	c.members[s.Name] = m
	tasks.Go(func() { c.sendMessages(ctx, m) })
}

// forgetMembers removes the members that the fleet has forgotten, so that names that come and go don't pile up.
func (c *Coordinator) forgetMembers(list []peer.MemberState) {
	known := make(map[string]bool, len(list))
	for _, s := range list {
		known[s.Name] = true
	}
	for name, m := range c.members {
		if !known[name] {
			m.stop()
			delete(c.members, name)
		}
	}
	maps.DeleteFunc(c.presenceChanged, func(name string, _ time.Duration) bool { return !known[name] })
	maps.DeleteFunc(c.gone, func(o takeover.Owner, _ bool) bool {
		m := c.members[o.Name]
		return m == nil || m.Owner != o
	})
}

// ownerLost handles the loss of a process: no response of it is waited for any more, and its writes are orphaned.
func (c *Coordinator) ownerLost(o takeover.Owner) {
	for _, cl := range c.claims {
		if _, awaited := cl.awaited[o.Name]; awaited {
			delete(cl.awaited, o.Name)
			cl.HolderGone(o.Name)
			c.decide(cl)
		}
	}
	c.handleRegistryEvent(takeover.OwnerLost{Owner: o})
}

// holdersOf returns a write's holders beside this proxy: the best ranked members that live; and the names of those
// ranked before them that are gone, which might know more.
func (c *Coordinator) holdersOf(id string) (list []*member, gone []string) {
	for _, m := range c.rankedMembers(id) {
		switch {
		case len(list) >= c.options.Replicas:
			return list, gone
		case c.gone[m.Owner]:
			gone = append(gone, m.Name)
		default:
			list = append(list, m)
		}
	}
	return list, gone
}

// rankedMembers returns all other proxies, the best holders of a write first.
func (c *Coordinator) rankedMembers(id string) (list []*member) {
	var candidates []takeover.Candidate
	for _, m := range c.members {
		candidates = append(candidates, m.Candidate)
	}
	for _, candidate := range takeover.RankHolders(id, candidates) {
		list = append(list, c.members[candidate.Name])
	}
	return list
}
