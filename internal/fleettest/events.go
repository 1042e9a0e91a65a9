package fleettest

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"time"

	"mulleinpier/internal/delay"
	"mulleinpier/internal/fake/endpointlist"
	"mulleinpier/internal/fake/node"
)

// eventActions describes the actions of events. The capitalised words are fields of Event.
var eventActions = map[string]string{
	"wave":    "restarts all proxies one after another, one each Interval, by Mode",
	"restart": "restarts one proxy, Proxies, or all at the same time, by Mode",
	"kill":    "kills a proxy and starts it again",
	"hangup":  "writes a proxy's configuration in a ConfigVariant and sends SIGHUP, Count times, Interval apart",
	"drain":   "has the directory report that a node drains",
	"undrain": "has the directory report that a node is up again",
	"cold":    "restarts a node with an empty cache, and has the directory report it",
	"remove":  "takes a node out of the directory",
	"fault":   "sets the fault of a node by FaultKind, OneIn and Delay; no FaultKind ends it",
	"list-down": "takes the directory down; for Consul agents, FaultKind says how they fail (quiet, empty, part, " +
		"leaderless, rewind and others)",
	"list-up": "ends the fault of the directory",
	"flap":    "removes a node from the directory and adds it again, Count times, for an Interval each",
	"die":     "ends a node's process; the directory does not report it",
	"rename": "ends a node's process and starts one with another name and an empty cache at its address; the " +
		"directory reports both",
	"reborn": "starts a node's process again at its address with an empty cache; the directory does not report it",
	"leave":  "removes the first Count nodes from the directory; their processes keep running",
	"return": "adds the first Count nodes to the directory again",
	"brown":  "sets the origin's service time to Delay; without Delay, to the scenario's",
	"dark":   "ends the processes of all nodes of a Zone; the directory does not report it",
	"light":  "starts the nodes of a Zone again with empty caches, and has the directory report it",
	"stop":   "stops proxies (SIGSTOP) for Duration and continues them, Count times, one each Interval",
	"link": "makes links between proxies and LinkTo (clients, nodes or list) fail by FaultKind (cut, forth, back, " +
		"delay, slow, reset) and Delay, for Duration",
	"starve": "takes CPU time from proxies for Duration, by Count busy processes on the core of each",
	"crowd":  "opens Count connections to each proxy and keeps them idle for Duration",
}

// runEvents starts each event at its time, and returns when all events have ended. If ctx ends, it starts no further
// events.
func (f *fleet) runEvents(ctx context.Context, start time.Time) {
	events := slices.Clone(f.scenario.Events)
	slices.SortStableFunc(events, func(a, b Event) int { return int(a.At - b.At) })
	var tasks sync.WaitGroup
	defer tasks.Wait()
	for _, e := range events {
		delay.Wait(ctx, time.Until(start.Add(time.Duration(e.At))))
		if ctx.Err() != nil {
			return
		}
		f.progress("%.1f s: %s", time.Since(start).Seconds(), e)
		tasks.Go(func() { f.runEvent(ctx, &e) })
	}
}

// String describes an event in progress messages.
func (e Event) String() string {
	text := e.Action
	for _, part := range []string{e.Mode, e.ConfigVariant, e.LinkTo, e.FaultKind} {
		if part != "" {
			text += " " + part
		}
	}
	switch e.Action {
	case "restart", "kill", "hangup":
		if len(e.Proxies) > 0 {
			return text + fmt.Sprintf(" proxies %v", e.Proxies)
		}
		if e.Proxy >= 0 {
			return text + fmt.Sprintf(" proxy %d", e.Proxy)
		}
		return text + " all proxies"
	case "stop", "link", "starve", "crowd":
		return text + fmt.Sprintf(" proxies %v", e.proxies())
	case "drain", "undrain", "cold", "remove", "fault", "flap", "die", "reborn", "rename":
		return text + fmt.Sprintf(" node %d", e.Node)
	}
	return text
}

// chosenProxies returns the proxies that an event affects.
func (f *fleet) chosenProxies(e *Event) []*proxyInstance {
	if e.Proxy < 0 {
		return f.proxies
	}
	if len(e.Proxies) > 0 {
		var list []*proxyInstance
		for _, i := range e.Proxies {
			list = append(list, f.proxies[i])
		}
		return list
	}
	return f.proxies[e.Proxy : e.Proxy+1]
}

// forEachProxy calls do concurrently for each proxy that an event affects, and waits for all calls.
func (f *fleet) forEachProxy(e *Event, do func(*proxyInstance)) {
	var tasks sync.WaitGroup
	for _, p := range f.chosenProxies(e) {
		tasks.Go(func() { do(p) })
	}
	tasks.Wait()
}

// runEvent runs an event. If the event has a duration, it returns at the end of the event.
func (f *fleet) runEvent(ctx context.Context, e *Event) {
	switch e.Action {
	case "stop", "starve", "crowd":
		f.injectFault(ctx, e)
	case "link":
		f.failLinks(ctx, e)
	case "wave":
		f.runWave(ctx, e)
	case "restart":
		f.forEachProxy(e, func(p *proxyInstance) { p.restart(e.Mode) })
	case "kill":
		f.forEachProxy(e, (*proxyInstance).kill)
	case "hangup":
		f.forEachProxy(e, func(p *proxyInstance) { p.reload(e.ConfigVariant, e.Count, time.Duration(e.Interval)) })
	case "list-down":
		kind := e.FaultKind
		if kind == "" {
			kind = "quiet"
		}
		f.directory.setFault(kind)
	case "list-up":
		f.directory.setFault("")
	case "brown":
		f.origin.SetServiceTime(time.Duration(e.Delay))
	case "dark", "light":
		f.runZoneEvent(e)
	case "leave", "return":
		f.setStatusOfFirst(e.Count, map[string]string{"leave": "removed", "return": "up"}[e.Action])
	default:
		if err := f.runNodeEvent(ctx, e); err != nil {
			f.addProblem("node %d: %v", e.Node, err)
		}
	}
}

// runWave restarts all proxies one after another. If the event has no mode, it alternates between the two modes.
func (f *fleet) runWave(ctx context.Context, e *Event) {
	for i, p := range f.proxies {
		start := time.Now()
		mode := e.Mode
		if mode == "" {
			mode = restartModes[1+i%2]
		}
		p.restart(mode)
		delay.Wait(ctx, time.Duration(e.Interval)-time.Since(start))
		if ctx.Err() != nil {
			f.addProblem("the wave was cut short at proxy %d", i)
			return
		}
	}
}

// runNodeEvent runs an event of one node. If a restart fails, it still updates the directory before it returns the
// error.
func (f *fleet) runNodeEvent(ctx context.Context, e *Event) error {
	n := f.nodes[e.Node]
	switch e.Action {
	case "drain":
		f.setStatus(e.Node, "draining")
	case "undrain":
		f.setStatus(e.Node, "up")
	case "remove":
		f.setStatus(e.Node, "removed")
	case "cold":
		err := n.Restart()
		f.reportStarted(e.Node, n.Name())
		return err
	case "fault":
		return n.SetFault(node.Fault{
			Kind:  node.FaultKind(e.FaultKind),
			OneIn: e.OneIn,
			Delay: time.Duration(e.Delay),
		})
	case "flap":
		f.flap(e.Node, e.Count, time.Duration(e.Interval), ctx.Done())
	case "die":
		return n.SetFault(node.Fault{Kind: node.ProcessDown})
	case "rename":
		name := n.Name() + "x"
		err := n.RestartAs(name)
		f.setStatus(e.Node, "removed")
		f.reportStarted(e.Node, name)
		return err
	case "reborn":
		return n.Restart()
	}
	return nil
}

func (f *fleet) setStatus(i int, status string) {
	f.updateNode(i, func(e *endpointlist.Entry) { e.Status = status })
}

// reportStarted makes the directory report that the node i has started; its name may be new.
func (f *fleet) reportStarted(i int, name string) {
	f.updateNode(i, func(e *endpointlist.Entry) {
		e.Name = name
		e.Status = "up"
		e.StartedMillis = f.nodes[i].Started().UnixMilli()
	})
}

func (f *fleet) setStatusOfFirst(count int, status string) {
	for i := range count {
		f.setStatus(i, status)
	}
}

// runZoneEvent ends the processes of all nodes of a zone, or starts them again.
func (f *fleet) runZoneEvent(e *Event) {
	zones := f.scenario.Fleet.Zones
	for i, n := range f.nodes {
		if zones[i%len(zones)] != e.Zone {
			continue
		}
		var err error
		if e.Action == "dark" {
			err = n.SetFault(node.Fault{Kind: node.ProcessDown})
		} else if err = n.Restart(); err == nil {
			f.reportStarted(i, n.Name())
		}
		if err != nil {
			f.addProblem("node %d: %v", i, err)
		}
	}
}

// flap removes a node from the directory and adds it again, as often as times says. Once ended is closed, it no longer
// waits between the changes.
func (f *fleet) flap(i, times int, every time.Duration, ended <-chan struct{}) {
	for range times {
		for _, status := range []string{"removed", "up"} {
			f.setStatus(i, status)
			select {
			case <-ended:
			case <-time.After(every):
			}
		}
	}
}
