package simulation

import (
	"time"

	"mulleinpier/policy"
)

// endpoints returns the endpoint list as it is now.
func (f *Fleet) endpoints() (list []policy.Endpoint) {
	for _, name := range f.names {
		if endpoint := f.nodes[name].Endpoint; endpoint.State != policy.Removed {
			list = append(list, endpoint)
		}
	}
	return list
}

// announce brings changes of the endpoint list to all proxies that are subscribed; the others get them by a call.
func (f *Fleet) announce(changed []policy.Endpoint) {
	f.listVersion++
	for _, p := range f.proxies {
		if p.subscribed {
			f.scheduleAfter(f.MessageDelay, func() { p.updateEndpoints(policy.EndpointsDelta, changed) })
		}
	}
}

// subscribe is a proxy's call to the service of the endpoint list, which answers so many a second and drops the others.
func (f *Fleet) subscribe(p *proxy) {
	for len(f.listCalls) > 0 && f.now-f.listCalls[0] >= time.Second {
		f.listCalls = f.listCalls[1:]
	}
	f.counters().EndpointListCalls++
	if limit := f.EndpointList.CallsPerSecond; limit > 0 && float64(len(f.listCalls)) >= limit {
		f.counters().EndpointListCallsLost++
		f.scheduleAfter(2*f.MessageDelay, func() { p.updateEndpoints(policy.EndpointsUnavailable, nil) })
		return
	}
	f.listCalls = append(f.listCalls, f.now)
	f.scheduleAfter(2*f.MessageDelay, func() {
		p.subscribed = true
		p.updateEndpoints(policy.EndpointsFull, f.endpoints())
	})
}
