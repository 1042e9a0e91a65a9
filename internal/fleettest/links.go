package fleettest

import (
	"context"
	"errors"
	"slices"
	"strings"
	"sync"
	"time"

	"mulleinpier/internal/fake/endpointlist"
	"mulleinpier/internal/fleettest/faultinject"
)

// linkHost is where links listen: a loopback address whose ports are not taken while their owners are down.
const linkHost = "127.0.0.4"

// The other ends of links of proxies, as scenarios name them.
const (
	linkToClients = "clients"
	linkToNodes   = "nodes"
	linkToList    = "list"
)

// linkReset is the fault that resets all connections of a link.
const linkReset = "reset"

// linkSet holds the links between parts of the fleet, one for each pair. Pairs whose link never fails in a scenario
// have none, and connect directly.
type linkSet struct {
	clients map[int]*faultinject.Link // by proxy; nil for no links of the kind
	list    map[int]*faultinject.Link // by proxy

	mu    sync.Mutex
	nodes map[int]map[string]*faultinject.Link // by proxy and node
}

// prepare finds out which links a scenario needs.
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

// linkToProxy returns the address at which clients connect to a proxy.
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

// nodeAddress returns the address at which a proxy finds a node.
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

// linkToList puts a link before a proxy's list: it replaces the address in the part of the configuration about it.
func (f *fleet) linkToList(proxy int, config string) (string, error) {
	const key = "discovery = \""
	before, rest, ok := strings.Cut(config, key)
	target, after, _ := strings.Cut(rest, "\"")
	if !ok {
		return "", errors.New("links to a list need the platform's list")
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

// nodeLinkFaulty reports whether what came from a proxy to a node may have waited on its link since a time.
func (l *linkSet) nodeLinkFaulty(proxy int, node string, since time.Time) bool {
	l.mu.Lock()
	link := l.nodes[proxy][node]
	l.mu.Unlock()
	return link != nil && link.FaultySince(since.Add(-drainGrace))
}

// listLinkFaulty reports whether a notification of a proxy may have waited on its list's link since a time.
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

// matching returns the links that an event is about. names are those of the nodes.
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
				if e.concernsNode(name, names) {
					list = append(list, link)
				}
			}
		}
	}
	return list
}

// concernsNode reports whether an event of links to nodes is about one of them.
func (e *Event) concernsNode(name string, names []string) bool {
	return len(e.Nodes) == 0 || slices.ContainsFunc(e.Nodes, func(i int) bool { return names[i] == name })
}

// failLinks makes links fail for a time.
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
	sleep(ctx, time.Duration(e.Duration))
	f.setFaults(links, faultinject.Fault{})
}

// setFaults sets the fault of several links at once, because to fill a backlog takes 50 ms.
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
