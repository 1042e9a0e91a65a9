package fleettest

import (
	"context"
	"errors"
	"slices"
	"strings"
	"sync"
	"time"

	"mulleinpier/internal/delay"
	"mulleinpier/internal/fake/endpointlist"
	"mulleinpier/internal/fleettest/faultinject"
)

// linkHost is the loopback address on which links listen. No outgoing connection uses it, so no other socket takes a
// port while the owner of the port is down.
const linkHost = "127.0.0.4"

// The other ends of the proxies' links, as scenarios name them.
const (
	linkToClients = "clients"
	linkToNodes   = "nodes"
	linkToList    = "list"
)

// linkReset is the fault that resets all connections of a link.
const linkReset = "reset"

// linkSet holds the links between the parts of a fleet, one for each pair of parts. If no link of a kind fails in the
// scenario, there are no links of that kind, and the parts connect directly.
type linkSet struct {
	clients map[int]*faultinject.Link // by proxy; nil if there are no links to clients
	list    map[int]*faultinject.Link // by proxy; nil if there are no links to the list

	mu    sync.Mutex
	nodes map[int]map[string]*faultinject.Link // by proxy and node name
}

// prepare creates the maps of the kinds of links that a scenario needs.
func (l *linkSet) prepare(s *Scenario) {
	for i := range s.Events {
		if s.Events[i].Action != "link" {
			continue
		}
		switch s.Events[i].LinkTo {
		case linkToClients:
			l.clients = make(map[int]*faultinject.Link)
		case linkToNodes:
			l.nodes = make(map[int]map[string]*faultinject.Link)
		case linkToList:
			l.list = make(map[int]*faultinject.Link)
		}
	}
}

// linkToProxy returns the address at which clients connect to a proxy: the address of a new link or, if links to
// clients never fail, the proxy's own.
func (l *linkSet) linkToProxy(p *proxyInstance) (string, error) {
	if l.clients == nil {
		return p.address, nil
	}
	link, err := faultinject.NewLink(linkHost, p.address)
	if err != nil {
		return "", err
	}
	l.clients[p.index] = link
	return link.Address(), nil
}

// nodeAddress returns the address at which a proxy connects to a node: the address of the link between the two or, if
// links to nodes never fail, the node's own.
func (f *fleet) nodeAddress(proxy int, e *endpointlist.Entry) string {
	l := &f.links
	if l.nodes == nil {
		return e.Address
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.nodes[proxy] == nil {
		l.nodes[proxy] = make(map[string]*faultinject.Link)
	}
	link := l.nodes[proxy][e.Name]
	if link == nil {
		var err error
		if link, err = faultinject.NewLink(linkHost, e.Address); err != nil {
			f.addProblem("%v", err)
			return e.Address
		}
		l.nodes[proxy][e.Name] = link
	}
	return link.Address()
}

// linkToList inserts a link between a proxy and its endpoint list: it replaces the list's address in the discovery part
// of the proxy's configuration.
func (f *fleet) linkToList(proxy int, config string) (string, error) {
	const key = "discovery = \""
	before, rest, ok := strings.Cut(config, key)
	target, after, _ := strings.Cut(rest, "\"")
	if !ok {
		return "", errors.New("links to the list need the platform's endpoint list, not Consul")
	}
	if f.links.list[proxy] == nil {
		link, err := faultinject.NewLink(linkHost, target)
		if err != nil {
			return "", err
		}
		f.links.list[proxy] = link
	}
	return before + key + f.links.list[proxy].Address() + "\"" + after, nil
}

// nodeLinkFaulty reports whether a fault of the link may have delayed a request from a proxy to a node: whether the
// link has a fault now, or its fault changed later than drainGrace before since.
func (l *linkSet) nodeLinkFaulty(proxy int, node string, since time.Time) bool {
	l.mu.Lock()
	link := l.nodes[proxy][node]
	l.mu.Unlock()
	return link != nil && link.FaultySince(since.Add(-drainGrace))
}

// listLinkFaulty reports whether a fault of the link may have delayed a notification to a proxy, by the same rule as
// nodeLinkFaulty.
func (l *linkSet) listLinkFaulty(proxy int, since time.Time) bool {
	link := l.list[proxy]
	return link != nil && link.FaultySince(since.Add(-drainGrace))
}

func (l *linkSet) close() {
	for _, link := range l.clients {
		link.Close()
	}
	for _, link := range l.list {
		link.Close()
	}
	for _, byNode := range l.nodes {
		for _, link := range byNode {
			link.Close()
		}
	}
}

// matching returns the links that an event affects. names contains the name of each node, by node number.
func (l *linkSet) matching(e *Event, names []string) (list []*faultinject.Link) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, proxy := range e.proxies() {
		switch e.LinkTo {
		case linkToClients:
			list = append(list, l.clients[proxy])
		case linkToList:
			list = append(list, l.list[proxy])
		default:
			for name, link := range l.nodes[proxy] {
				if e.affectsNode(name, names) {
					list = append(list, link)
				}
			}
		}
	}
	return list
}

// affectsNode reports whether an event of links to nodes affects the links to the node with this name. names are the
// names of all nodes, by number.
func (e *Event) affectsNode(name string, names []string) bool {
	return len(e.Nodes) == 0 || slices.ContainsFunc(e.Nodes, func(i int) bool { return names[i] == name })
}

// failLinks injects the fault of an event into its links, and ends it after the event's duration or when ctx ends.
func (f *fleet) failLinks(ctx context.Context, e *Event) {
	names := make([]string, len(f.nodes))
	for i, n := range f.nodes {
		names[i] = n.Name()
	}
	links := f.links.matching(e, names)
	if e.FaultKind == linkReset {
		for _, l := range links {
			l.Reset()
		}
		return
	}
	f.setFaults(links, faultinject.LinkFaults[e.FaultKind](time.Duration(e.Delay)))
	delay.Wait(ctx, time.Duration(e.Duration))
	f.setFaults(links, faultinject.Fault{})
}

// setFaults sets the fault of several links concurrently, because filling a backlog takes 50 ms.
func (f *fleet) setFaults(links []*faultinject.Link, fault faultinject.Fault) {
	var tasks sync.WaitGroup
	for _, l := range links {
		tasks.Go(func() {
			if err := l.SetFault(fault); err != nil {
				f.addProblem("link: %v", err)
			}
		})
	}
	tasks.Wait()
}
