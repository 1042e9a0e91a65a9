package simulation

import (
	"slices"
	"time"

	"mulleinpier/internal/connlimit"
	"mulleinpier/policy"
)

// proxy is one instance of the modules, with the parts of a real proxy that they need.
type proxy struct {
	fleet      *Fleet
	index      int
	balancer   *policy.Balancer
	dead       bool
	inFlight   map[uint64]*proxyRequest
	endpoints  map[string]policy.Endpoint // by server, as the proxy last received them
	subscribed bool                       // the proxy gets changes of the endpoint list

	budget       connlimit.Budget
	connections  map[string]*connection // by node
	recentlyUsed []string               // nodes of connections, the most recently used last
}

// proxyRequest is a request at a proxy, from its arrival until it is answered and its attempts are done.
type proxyRequest struct {
	*clientRequest
	id       uint64
	proxy    *proxy
	deadline time.Duration
	ended    bool
	attempts []*attempt
}

type attempt struct {
	request       *proxyRequest
	number        int
	node          *node
	sentAt        time.Duration
	hasConnection bool
	done          bool
}

// seedsPerPlan separates the seeds of the instances of different plans.
const seedsPerPlan = 1000

// startProxy starts or restarts an instance. A new instance has no state but the current endpoint list, which it gets
// as a cached list.
func (f *Fleet) startProxy(index int) error {
	settings := f.Settings
	if settings.ProxyCount == 0 {
		settings.ProxyCount = f.Proxies
	}
	settings.ProxyIndex, settings.Zone = index, index%len(settings.Zones)
	seed := f.Seed*seedsPerPlan + f.lastEvent + uint64(index)
	b, err := policy.New(settings, seed)
	if err != nil {
		return err
	}
	p := &proxy{
		fleet:       f,
		index:       index,
		balancer:    b,
		inFlight:    make(map[uint64]*proxyRequest),
		connections: make(map[string]*connection),
		endpoints:   make(map[string]policy.Endpoint),
	}
	p.budget.SetCapacity(connlimit.Capacity{
		ConnectionsPerNode: f.Node.MaxConnections,
		Proxies:            settings.ProxyCount,
	})
	f.proxies[index] = p
	p.updateEndpoints(policy.EndpointsCached, f.endpoints())
	return nil
}

// KillProxies kills instances without notice, as SIGKILL does, and starts new ones after downtime.
func (f *Fleet) KillProxies(downtime time.Duration, indices ...int) {
	for _, i := range indices {
		f.proxies[i].kill()
		f.scheduleAfter(downtime, func() {
			if err := f.startProxy(i); err != nil {
				f.violation("%v", err)
			}
		})
	}
}

func (p *proxy) kill() {
	f := p.fleet
	p.dead = true
	for name, c := range p.connections {
		f.nodes[name].connections--
		c.inUse = 0
	}
	for _, id := range p.sortedIDs() {
		r := p.inFlight[id]
		r.ended = true
		f.scheduleAfter(f.MessageDelay, func() { f.handleFailure(r.clientRequest) })
	}
}

// sortedIDs returns the IDs of the requests in flight in ascending order, so that runs are reproducible.
func (p *proxy) sortedIDs() []uint64 {
	ids := make([]uint64, 0, len(p.inFlight))
	for id := range p.inFlight {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

func (p *proxy) updateEndpoints(kind policy.EndpointUpdateKind, endpoints []policy.Endpoint) {
	if p.dead {
		return
	}
	if kind == policy.EndpointsFull || kind == policy.EndpointsCached {
		clear(p.endpoints)
	}
	for _, endpoint := range endpoints {
		if endpoint.State == policy.Removed {
			delete(p.endpoints, endpoint.Server)
		} else {
			p.endpoints[endpoint.Server] = endpoint
		}
	}
	p.handle(policy.EndpointUpdate{Version: p.fleet.listVersion, Kind: kind, Endpoints: endpoints})
	for _, name := range slices.Clone(p.recentlyUsed) {
		if !p.isServing(name) && p.connections[name].inUse == 0 {
			p.closeConnection(name)
		}
	}
}

// isServing reports whether the endpoint list of the proxy has a node as serving.
func (p *proxy) isServing(name string) bool {
	endpoint, ok := p.endpoints[name]
	return ok && endpoint.State == policy.Serving
}

// accept handles a request that arrives from a client, and schedules the check that it is answered in time.
func (p *proxy) accept(c *clientRequest, deadline time.Duration) {
	f := p.fleet
	f.lastID++
	r := &proxyRequest{clientRequest: c, id: f.lastID, proxy: p, deadline: deadline}
	p.inFlight[r.id] = r
	f.schedule(deadline+f.Settings.Rules.ResponseGrace, func() {
		if !r.ended {
			f.violation("proxy %d did not answer request %d in time", p.index, c.id)
		}
	})
	p.handle(policy.Arrival{
		ID:       r.id,
		Class:    c.class,
		Tenant:   noTenant,
		Key:      c.key,
		Deadline: deadline,
		Write:    c.write,
	})
}

const noTenant = -1

// handle passes an event to the balancer and carries out its actions.
func (p *proxy) handle(e policy.Event) {
	if p.dead {
		return
	}
	f := p.fleet
	for _, a := range p.balancer.Handle(f.now, e, nil) {
		r := p.inFlight[a.ID]
		switch a.Kind {
		case policy.Send:
			p.send(r, f.nodes[a.Server])
		case policy.Cancel:
			cancelled := r.attempts[a.Attempt]
			f.scheduleAfter(0, func() { f.complete(cancelled, policy.Cancelled, policy.CacheUnknown) })
		case policy.Reject, policy.Fail:
			p.answer(r, a)
		case policy.SetTimer:
			f.scheduleAfter(max(a.After, f.Settings.EventInterval), func() {
				p.handle(policy.TimerFired{Token: a.Token})
			})
		case policy.Subscribe:
			f.scheduleAfter(f.MessageDelay, func() { f.subscribe(p) })
		case policy.CloseIdle:
			if c := p.connections[a.Server]; c != nil && c.inUse == 0 {
				p.closeConnection(a.Server)
			}
		}
	}
}

// answer ends a request with a Reject or a Fail action and notifies its client. A second answer is a violation.
func (p *proxy) answer(r *proxyRequest, a policy.Action) {
	f := p.fleet
	if r.ended {
		f.violation("proxy %d answered request %d twice", p.index, r.clientRequest.id)
		return
	}
	r.ended = true
	if a.Kind == policy.Reject {
		f.counters().Rejected++
		f.scheduleAfter(f.MessageDelay, func() { f.handleRejection(r.clientRequest, a.After) })
	} else {
		f.counters().Failed++
		f.scheduleAfter(f.MessageDelay, func() { f.handleFailure(r.clientRequest) })
	}
	p.forget(r)
}

// forget deletes a request if it has ended and no attempt of it is in flight.
func (p *proxy) forget(r *proxyRequest) {
	for _, a := range r.attempts {
		if !a.done {
			return
		}
	}
	if r.ended {
		delete(p.inFlight, r.id)
	}
}

// complete reports the end of an attempt to its proxy, after the message delay if a node reports it.
func (f *Fleet) complete(a *attempt, result policy.Result, status policy.CacheStatus) {
	fromNode := result != policy.Cancelled && result != policy.NotSent && a.hasConnection
	if fromNode {
		f.scheduleAfter(f.MessageDelay, func() { a.request.proxy.completed(a, result, status) })
		return
	}
	a.request.proxy.completed(a, result, status)
}

// completed handles the end of an attempt and ignores further ones.
func (p *proxy) completed(a *attempt, result policy.Result, status policy.CacheStatus) {
	f, r := p.fleet, a.request
	if a.done || p.dead {
		return
	}
	a.done = true
	if c := p.connections[a.node.Server]; c != nil && a.hasConnection {
		c.inUse--
		p.closeExcess()
	}
	if result == policy.Served && !r.ended {
		r.ended = true
		f.scheduleAfter(f.MessageDelay, func() { f.handleServed(r.clientRequest) })
	}
	p.handle(policy.Outcome{
		ID:          r.id,
		Attempt:     a.number,
		Server:      a.node.Server,
		Result:      result,
		CacheStatus: status,
		Took:        f.now - a.sentAt,
		Final:       r.ended,
	})
	p.forget(r)
}
