package coordinator

import (
	"context"
	"maps"
	"sync"
	"time"

	"mulleinpier/internal/peer"
	"mulleinpier/internal/takeover"
)

// updateMembers takes the fleet's members as they are now.
func (c *Coordinator) updateMembers(ctx context.Context, list []peer.MemberState, tasks *sync.WaitGroup) {
	c.forgetMembers(list)
	for _, s := range list {
		if s.Name == c.options.Self.Name {
			c.updateSelf(s.State)
			continue
		}
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
			c.tellRegistry(takeover.OwnerReturned{Owner: owner})
		}
		if m == nil && s.State != peer.Gone && s.Address != "" {
			c.addMember(ctx, s, tasks)
		}
	}
}

// updateSelf notes whether the others take this process for gone: then it was passed over meanwhile.
func (c *Coordinator) updateSelf(s peer.State) {
	gone := s == peer.Gone
	if c.selfGone && !gone {
		c.tellRegistry(takeover.Rejoined{})
	}
	c.selfGone = gone
}

// addMember starts to carry messages to another proxy.
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
	tasks.Go(func() { c.carry(ctx, m) })
}

// forgetMembers lets go of those whom the fleet has forgotten, so that names that come and go don't pile up.
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

// ownerLost says that a process is gone: no response of it is waited for, and its writes are orphaned.
func (c *Coordinator) ownerLost(o takeover.Owner) {
	for _, cl := range c.claims {
		if _, awaited := cl.awaited[o.Name]; awaited {
			delete(cl.awaited, o.Name)
			cl.HolderGone(o.Name)
			c.decide(cl)
		}
	}
	c.tellRegistry(takeover.OwnerLost{Owner: o})
}

// holders returns a write's holders beside this proxy: the best ranked members that live; and the names of those before
// them that are gone, which might know more.
func (c *Coordinator) holders(id string) (list []*member, gone []string) {
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
