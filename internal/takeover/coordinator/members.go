package coordinator

import (
	"context"
	"maps"
	"sync"
	"time"

	"mulleinpier/internal/peer"
	"mulleinpier/internal/takeover"
)

// updateMembers updates the known members from the fleet's list, and handles members that were lost, have returned or
// are new.
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

// updateMember handles the current state of another proxy.
func (c *Coordinator) updateMember(ctx context.Context, s peer.MemberState, tasks *sync.WaitGroup) {
	owner := takeover.Owner{Name: s.Name, Incarnation: s.Incarnation}
	m := c.members[s.Name]
	if m != nil && m.Incarnation != s.Incarnation { // a new process with that name: the previous one is lost
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

// updateSelf records whether the fleet lists this process as gone. Other proxies sent no writes to this one while the
// fleet listed it as gone, so the registry must be notified of the return.
func (c *Coordinator) updateSelf(s peer.State) {
	gone := s == peer.Gone
	if c.selfGone && !gone {
		c.handleRegistryEvent(takeover.Rejoined{})
	}
	c.selfGone = gone
}

// addMember adds another proxy and starts the goroutine that sends messages to it.
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

// forgetMembers removes the members that the fleet no longer lists, so that short-lived names don't accumulate.
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

// ownerLost handles the loss of a process: claims stop waiting for its responses, and its writes are orphaned.
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

// holdersOf returns a write's holders besides this proxy, which are the best ranked members that are not gone, and the
// names of the gone members ranked before them, which might know more about the write.
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

// rankedMembers returns all other proxies, best holder of the write first.
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
