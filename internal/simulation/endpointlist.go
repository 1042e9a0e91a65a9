package simulation

import (
	"time"

	"mulleinpier/policy"
)

// endpoints returns the current endpoint list.
func (f *Fleet) endpoints() (list []policy.Endpoint) {
	for _, name := range f.names {
		if endpoint := f.nodes[name].Endpoint; endpoint.State != policy.Removed {
			list = append(list, endpoint)
		}
	}
	return list
}

// announce sends changes of the endpoint list to all subscribed proxies; others get them with their next call.
func (f *Fleet) announce(changed []policy.Endpoint) {
	f.listVersion++
	for _, p := range f.proxies {
		if p.subscribed {
			f.scheduleAfter(f.MessageDelay, func() { p.updateEndpoints(policy.EndpointsDelta, changed) })
		}
	}
}

// subscribe handles a proxy's call to the endpoint list service, which drops calls above CallsPerSecond.
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
