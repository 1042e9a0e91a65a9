package simulation

import (
	"slices"
	"time"

	"mulleinpier/internal/connlimit"
	"mulleinpier/policy"
)

// proxy is one instance of the modules, with the little of the proxy proper that they need.
type proxy struct {
	fleet   *Fleet
	index   int
	modules *policy.Balancer
	budget  connlimit.Budget
	dead    bool
	open    map[uint64]*held
	conns   map[string]*conn
	order   []string                   // of conns, the one used last at the end
	told    map[string]policy.Endpoint // that are listed
	listens bool                       // to news of the list
}

type conn struct{ out int }

// held is a request that a proxy owes an answer.
type held struct {
	*ask
	id       uint64
	proxy    *proxy
	deadline time.Duration
	over     bool
	attempts []*attempt
}

type attempt struct {
	request *held
	number  int
	node    *node
	sent    time.Duration
	conn    bool // it holds a place on one
	done    bool
}

// begin starts an instance anew: what it knew is lost but the list.
func (f *Fleet) begin(i int) error {
	set := f.Settings
	if set.ProxyCount == 0 {
		set.ProxyCount = f.Proxies
	}
	set.ProxyIndex, set.Zone = i, i%len(set.Zones)
	b, err := policy.New(set, f.Seed*1000+f.turn+uint64(i))
	if err != nil {
		return err
	}
	p := &proxy{fleet: f, index: i, modules: b, open: make(map[uint64]*held), conns: make(map[string]*conn),
		told: make(map[string]policy.Endpoint)}
	p.budget.SetCapacity(connlimit.Capacity{ConnectionsPerNode: f.Node.MaxConnections, Proxies: set.ProxyCount})
	f.proxies[i] = p
	p.hear(policy.EndpointsCached, f.members())
	return nil
}

// KillProxies ends instances as if by a signal that can't be caught; new ones begin after down.
func (f *Fleet) KillProxies(down time.Duration, indices ...int) {
	for _, i := range indices {
		p := f.proxies[i]
		p.dead = true
		for name, c := range p.conns {
			f.nodes[name].conns--
			c.out = 0
		}
		for _, id := range f.sorted(p.open) {
			h := p.open[id]
			h.over = true
			f.after(f.MessageDelay, func() { f.broke(h.ask) })
		}
		f.after(down, func() {
			if err := f.begin(i); err != nil {
				f.broken("%v", err)
			}
		})
	}
}

// members is the list as it stands.
func (f *Fleet) members() []policy.Endpoint {
	var list []policy.Endpoint
	for _, name := range f.names {
		if m := f.nodes[name].Endpoint; m.State != policy.Removed {
			list = append(list, m)
		}
	}
	return list
}

// tell brings news of the list to all that subscribe; those that don't learn them by a call.
func (f *Fleet) tell(news []policy.Endpoint) {
	f.version++
	for _, p := range f.proxies {
		if p.listens {
			f.after(f.MessageDelay, func() { p.hear(policy.EndpointsDelta, news) })
		}
	}
}

// subscribe is a call to the list service: it answers so many a second and breaks off the others.
func (p *proxy) subscribe() {
	f := p.fleet
	for len(f.calls) > 0 && f.now-f.calls[0] >= time.Second {
		f.calls = f.calls[1:]
	}
	f.count().EndpointListCalls++
	if f.EndpointList.CallsPerSecond > 0 && float64(len(f.calls)) >= f.EndpointList.CallsPerSecond {
		f.count().EndpointListCallsLost++
		f.after(2*f.MessageDelay, func() { p.hear(policy.EndpointsUnavailable, nil) })
		return
	}
	f.calls = append(f.calls, f.now)
	f.after(2*f.MessageDelay, func() {
		p.listens = true
		p.hear(policy.EndpointsFull, f.members())
	})
}

func (p *proxy) hear(kind policy.EndpointUpdateKind, members []policy.Endpoint) {
	if p.dead {
		return
	}
	if kind == policy.EndpointsFull || kind == policy.EndpointsCached {
		clear(p.told)
	}
	for _, m := range members {
		if m.State == policy.Removed {
			delete(p.told, m.Server)
		} else {
			p.told[m.Server] = m
		}
	}
	p.handle(policy.EndpointUpdate{Version: p.fleet.version, Kind: kind, Endpoints: members})
	for _, name := range slices.Clone(p.order) {
		if m, ok := p.told[name]; (!ok || m.State != policy.Serving) && p.conns[name].out == 0 {
			p.close(name)
		}
	}
}

// take is a request of a client.
func (p *proxy) take(r *ask, deadline time.Duration) {
	f := p.fleet
	f.nextID++
	h := &held{ask: r, id: f.nextID, proxy: p, deadline: deadline}
	p.open[h.id] = h
	// Every accepted request gets its answer, or its client is seen to go without.
	f.at(deadline+f.Settings.Rules.ResponseGrace, func() {
		if !h.over {
			f.broken("proxy %d owes %d an answer", p.index, r.id)
		}
	})
	p.handle(policy.Arrival{ID: h.id, Class: r.class, Tenant: -1, Key: r.key, Deadline: deadline, Write: r.write})
}

func (p *proxy) handle(e policy.Event) {
	if p.dead {
		return
	}
	f := p.fleet
	for _, a := range p.modules.Handle(f.now, e, nil) {
		h := p.open[a.ID]
		switch a.Kind {
		case policy.Send:
			p.send(h, f.nodes[a.Server])
		case policy.Cancel:
			y := h.attempts[a.Attempt]
			f.after(0, func() { f.end(y, policy.Cancelled, policy.CacheUnknown) })
		case policy.Reject, policy.Fail:
			p.answer(h, a.Kind, a.After)
		case policy.SetTimer:
			f.after(max(a.After, f.Settings.EventInterval), func() { p.handle(policy.TimerFired{Token: a.Token}) })
		case policy.Subscribe:
			f.after(f.MessageDelay, p.subscribe)
		case policy.CloseIdle:
			if c := p.conns[a.Server]; c != nil && c.out == 0 {
				p.close(a.Server)
			}
		}
	}
}

// answer gives a client its final answer, once.
func (p *proxy) answer(h *held, kind policy.ActionKind, advice time.Duration) {
	f := p.fleet
	if h.over {
		f.broken("proxy %d answers %d twice", p.index, h.ask.id)
		return
	}
	h.over = true
	if kind == policy.Reject {
		f.count().Rejected++
		f.after(f.MessageDelay, func() { f.refused(h.ask, advice) })
	} else {
		f.count().Failed++
		f.after(f.MessageDelay, func() { f.failed(h.ask) })
	}
	p.forget(h)
}

func (p *proxy) forget(h *held) {
	for _, a := range h.attempts {
		if !a.done {
			return
		}
	}
	if h.over {
		delete(p.open, h.id)
	}
}

// send takes an attempt to a node, over a connection that is open or a new one.
func (p *proxy) send(h *held, n *node) {
	f := p.fleet
	a := &attempt{request: h, number: len(h.attempts), node: n, sent: f.now}
	h.attempts = append(h.attempts, a)
	if m, ok := p.told[n.Server]; !ok || m.State != policy.Serving {
		f.broken("proxy %d sends to %s, which it knows to be drained or gone", p.index, n.Server)
	}
	way := f.MessageDelay
	if c := p.conns[n.Server]; c == nil {
		f.count().Handshakes++
		way *= 3
		switch {
		case n.trouble == Unreachable:
			f.count().SendsToUnreachable++
			f.after(2*f.MessageDelay, func() { f.end(a, policy.ConnectFailed, policy.CacheUnknown) })
			return
		case f.Node.MaxConnections > 0 && n.conns >= f.Node.MaxConnections:
			f.count().ConnectionsRejected++
			f.after(way+f.MessageDelay, func() {
				p.budget.Rejected(f.now, len(p.conns), len(p.told))
				p.trim()
				f.end(a, policy.ConnectionLimitReached, policy.CacheUnknown)
			})
			return
		}
		p.conns[n.Server] = &conn{}
		n.conns++
		f.Peak.Connections = max(f.Peak.Connections, n.conns)
	}
	p.use(n.Server)
	p.conns[n.Server].out++
	a.conn = true
	f.after(way, func() {
		if !a.done && p.modules.MaySend(f.now, h.id, a.number) {
			f.reach(n, a)
		} else {
			f.end(a, policy.NotSent, policy.CacheUnknown)
		}
	})
	p.trim()
}

// use marks a connection as the one used last.
func (p *proxy) use(name string) {
	p.order = append(without(p.order, name), name)
}

// trim closes idle connections beyond the proxy's share, those first that were not used for longest.
func (p *proxy) trim() {
	most := p.budget.Limit(p.fleet.now, len(p.told))
	for i := 0; i < len(p.order) && len(p.order) > most; {
		if name := p.order[i]; p.conns[name].out == 0 {
			p.close(name)
		} else {
			i++
		}
	}
}

func without(names []string, name string) []string {
	if i := slices.Index(names, name); i >= 0 {
		return slices.Delete(names, i, i+1)
	}
	return names
}

func (p *proxy) close(name string) {
	p.order = without(p.order, name)
	delete(p.conns, name)
	p.fleet.nodes[name].conns--
}

// drop is the end of the connection to a node that was lost.
func (p *proxy) drop(n *node) {
	if p.dead || p.conns[n.Server] == nil {
		return
	}
	f := p.fleet
	p.close(n.Server)
	for _, id := range f.sorted(p.open) {
		for _, a := range p.open[id].attempts {
			if a.node == n && !a.done {
				a.conn = false
				f.after(f.MessageDelay, func() { f.end(a, policy.Reset, policy.CacheUnknown) })
			}
		}
	}
}

// end brings the end of an attempt back to its proxy, once.
func (f *Fleet) end(a *attempt, result policy.Result, note policy.CacheStatus) {
	if result != policy.Cancelled && result != policy.NotSent && a.conn {
		f.after(f.MessageDelay, func() { f.ended(a, result, note) })
		return
	}
	f.ended(a, result, note)
}

func (f *Fleet) ended(a *attempt, result policy.Result, note policy.CacheStatus) {
	h := a.request
	p := h.proxy
	if a.done || p.dead {
		return
	}
	a.done = true
	if c := p.conns[a.node.Server]; c != nil && a.conn {
		c.out--
		p.trim()
	}
	if result == policy.Served && !h.over {
		h.over = true
		f.after(f.MessageDelay, func() { f.served(h.ask) })
	}
	p.handle(policy.Outcome{ID: h.id, Attempt: a.number, Server: a.node.Server, Result: result, CacheStatus: note,
		Took: f.now - a.sent, Final: h.over})
	p.forget(h)
}
