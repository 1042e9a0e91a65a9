package fleettest

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"strings"
	"sync"
	"time"

	"mulleinpier/internal/fake/endpointlist"
	"mulleinpier/internal/fleettest/faultinject"
)

// This file has a scenario's events put the rig's faults into the fleet, and knows whom they
// excuse.

// linkHost is where links begin: at an address whose ports nobody takes who is down for a while.
const linkHost = "127.0.0.4"

// resumeTime is how long before a deadline a stopped process has to continue at least to answer in time.
const resumeTime = 50 * time.Millisecond

// linkSet are the ways between parts of the fleet that a scenario has fail, one for each pair.
// Pairs that none has fail talk without one.
type linkSet struct {
	clients map[int]*faultinject.Link // by proxy; nil for no links of the kind
	list    map[int]*faultinject.Link // by proxy

	mu    sync.Mutex
	nodes map[int]map[string]*faultinject.Link // proxy, node
}

// prepare tells which links there are to be.
func (l *linkSet) prepare(s *Scenario) {
	for i := range s.Events {
		e := &s.Events[i]
		if e.Action != "link" {
			continue
		}
		switch e.LinkTo {
		case "clients":
			l.clients = make(map[int]*faultinject.Link)
		case "nodes":
			l.nodes = make(map[int]map[string]*faultinject.Link)
		case "list":
			l.list = make(map[int]*faultinject.Link)
		}
	}
}

// linkToProxy is where clients connect to a proxy.
func (l *linkSet) linkToProxy(d *proxyInstance) (string, error) {
	if l.clients == nil {
		return d.address, nil
	}
	link, err := faultinject.NewLink(linkHost, d.address)
	if err != nil {
		return "", err
	}
	l.clients[d.index] = link
	return link.Address(), nil
}

// nodeAddress is where a proxy finds a node.
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

// linkToList puts a link before the place of a proxy's list.
func (f *fleet) linkToList(proxy int, place string) (string, error) {
	before, rest, ok := strings.Cut(place, "discovery = \"")
	target, after, _ := strings.Cut(rest, "\"")
	if !ok {
		return "", errors.New("links to a list are for the platform's form")
	}
	if old := f.links.list[proxy]; old == nil {
		link, err := faultinject.NewLink(linkHost, target)
		if err != nil {
			return "", err
		}
		f.links.list[proxy] = link
	}
	return before + "discovery = \"" + f.links.list[proxy].Address() + "\"" + after, nil
}

// nodeLinkFaulty tells whether what came from a proxy to a node may have waited on its link since
// a time.
func (l *linkSet) nodeLinkFaulty(proxy int, node string, since time.Time) bool {
	l.mu.Lock()
	link := l.nodes[proxy][node]
	l.mu.Unlock()
	return link != nil && link.FaultySince(since.Add(-drainGrace))
}

// listLinkFaulty tells whether what a proxy was told may have waited on its list's link since a time.
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

// matching are the links that an event is about.
func (l *linkSet) matching(e *Event, names []string) (list []*faultinject.Link) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, proxy := range e.proxies() {
		switch e.LinkTo {
		case "clients":
			list = append(list, l.clients[proxy])
		case "list":
			list = append(list, l.list[proxy])
		default:
			for name, link := range l.nodes[proxy] {
				if len(e.Nodes) == 0 || slices.ContainsFunc(e.Nodes, func(i int) bool { return names[i] == name }) {
					list = append(list, link)
				}
			}
		}
	}
	return list
}

// proxies are those that a fault is about.
func (e *Event) proxies() []int {
	if len(e.Proxies) > 0 {
		return e.Proxies
	}
	return []int{e.Proxy}
}

// checkFault tells what is wrong with an event of the rig's kinds.
func (s *Scenario) checkFault(e *Event) error {
	if e.Action != "stop" && e.Action != "link" && e.Action != "starve" && e.Action != "crowd" {
		return nil
	}
	bad := func(i, n int) bool { return i < 0 || i >= n }
	switch {
	case slices.ContainsFunc(e.proxies(), func(i int) bool { return bad(i, s.Fleet.Proxies) }):
		return fmt.Errorf("%s: there is no such proxy: %v", e.Action, e.proxies())
	case slices.ContainsFunc(e.Nodes, func(i int) bool { return bad(i, s.Fleet.Nodes) }):
		return fmt.Errorf("%s: there is no such node: %v", e.Action, e.Nodes)
	case e.Duration <= 0 && e.FaultKind != "reset" || time.Duration(e.Duration) > 10*time.Minute:
		return fmt.Errorf("%s: for cannot be %v: want above 0, to 10m", e.Action, time.Duration(e.Duration))
	case e.Count > 10000:
		return fmt.Errorf("%s: times cannot be %d: want 10000 at most", e.Action, e.Count)
	case e.Action == "link" && !slices.Contains([]string{"clients", "nodes", "list"}, e.LinkTo):
		return fmt.Errorf("link: between cannot be %q: want clients, nodes or list", e.LinkTo)
	case e.Action == "link" && e.FaultKind != "reset" && faultinject.LinkFaults[e.FaultKind] == nil:
		return fmt.Errorf("link: there is no fault %q", e.FaultKind)
	case e.Action == "link" && e.LinkTo != "clients" && s.Fleet.Consul:
		return errors.New("link: with Consul only those to clients can fail")
	}
	return nil
}

// injectFault puts in a fault of the rig's kinds, until its end, and tells whether the event is one.
func (f *fleet) injectFault(ctx context.Context, e *Event) bool {
	var each func(ctx context.Context, d *proxyInstance) error
	switch e.Action {
	case "stop":
		schedule := faultinject.StopSchedule{Duration: time.Duration(e.Duration), Interval: time.Duration(e.Interval), Count: e.Count}
		each = func(ctx context.Context, d *proxyInstance) error { return d.stopBySchedule(ctx, schedule) }
	case "starve":
		each = func(ctx context.Context, d *proxyInstance) error {
			ctx, end := context.WithTimeout(ctx, time.Duration(e.Duration))
			defer end()
			return faultinject.StarveCPU(ctx, d.currentProcess().cmd.Process.Pid, max(e.Count, 1))
		}
	case "crowd":
		each = func(ctx context.Context, d *proxyInstance) error {
			ctx, end := context.WithTimeout(ctx, time.Duration(e.Duration))
			defer end()
			faultinject.FillBacklog(ctx, d.clientAddress, max(e.Count, 1))
			return nil
		}
	case "link":
		f.failLinks(ctx, e)
		return true
	default:
		return false
	}
	var tasks sync.WaitGroup
	for _, i := range e.proxies() {
		tasks.Go(func() {
			if err := each(ctx, f.proxies[i]); err != nil {
				f.addProblem("%s of proxy %d: %v", e.Action, i, err)
			}
		})
	}
	tasks.Wait()
	return true
}

// failLinks has links fail for a time.
func (f *fleet) failLinks(ctx context.Context, e *Event) {
	names := make([]string, len(f.nodes))
	for i, n := range f.nodes {
		names[i] = n.Name()
	}
	chosen := f.links.matching(e, names)
	if e.FaultKind == "reset" {
		for _, l := range chosen {
			l.Reset()
		}
		return
	}
	set := func(fault faultinject.Fault) { // at all at once: to fill a backlog takes 50 ms each
		var tasks sync.WaitGroup
		for _, l := range chosen {
			tasks.Go(func() {
				if err := l.SetFault(fault); err != nil {
					f.addProblem("link: %v", err)
				}
			})
		}
		tasks.Wait()
	}
	set(faultinject.LinkFaults[e.FaultKind](time.Duration(e.Delay)))
	sleep(ctx, time.Duration(e.Duration))
	set(faultinject.Fault{})
}

// stopBySchedule stops the proxy's process by a schedule.
func (d *proxyInstance) stopBySchedule(ctx context.Context, schedule faultinject.StopSchedule) error {
	at := -1
	note := func(from, to time.Time) {
		d.mu.Lock()
		defer d.mu.Unlock()
		if at >= 0 {
			d.stops[at].to = to
		} else {
			d.stops = append(d.stops, interval{from, to})
		}
		at = -1
	}
	if schedule.Count <= 1 { // its end is not known to those who ask meanwhile
		d.mu.Lock()
		at = len(d.stops)
		d.stops = append(d.stops, interval{from: time.Now(), to: time.Now().Add(time.Hour)})
		d.mu.Unlock()
	}
	return schedule.Run(ctx, d.currentProcess().cmd.Process.Pid, note)
}

// wasStopped tells whether the process stood still at a deadline, or until so shortly before it.
func (d *proxyInstance) wasStopped(deadline time.Time, wake time.Duration) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return slices.ContainsFunc(d.stops, func(s interval) bool { return s.from.Before(deadline) && s.to.After(deadline.Add(-wake)) })
}
