package fleettest

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"time"

	"mulleinpier/internal/fake/endpointlist"
	"mulleinpier/internal/fake/node"
)

// eventActions are the actions of events, with what they do.
var eventActions = map[string]string{
	"wave":    "restarts all proxies one after another, Interval apart, by Mode",
	"restart": "restarts a proxy, or Proxies, or all at once, by Mode",
	"kill":    "kills a proxy and starts it again",
	"hangup":  "writes a proxy's configuration in a ConfigVariant and sends SIGHUP, Count times, Interval apart",
	"drain":   "has the directory report that a node drains",
	"undrain": "has the directory report that it is up again",
	"cold":    "restarts a node cold, and has the directory report it",
	"remove":  "takes a node out of the directory",
	"fault":   "makes a node fail by FaultKind, OneIn and Delay",
	"list-down": "takes the directory down; with FaultKind, has Consul agents fail so (quiet, empty, part, " +
		"leaderless, rewind and others)",
	"list-up": "brings it back",
	"flap":    "takes a node out of the directory and enters it again, Count times, each for Interval",
	"die":     "ends a node's process; the directory does not report it",
	"rename": "ends a node's process, and starts another one, cold, of another name at its address; the directory " +
		"reports both",
	"reborn": "starts a node's process again, cold, at its address; the directory does not report it",
	"leave":  "takes the first Count nodes out of the directory at once; their processes run on",
	"return": "enters them again",
	"brown":  "has the origin take Delay for a piece of work; without Delay the usual time",
	"dark":   "ends the processes of all nodes of a Zone; the directory does not report it",
	"light":  "starts them again, cold, and has the directory report it",
	"stop":   "stops proxies (SIGSTOP) for Duration and continues them, Count times, one each Interval",
	"link": "has the links between proxies and LinkTo (clients, nodes or list) fail by FaultKind (cut, forth, back, " +
		"delay, slow, reset), Delay and for Duration",
	"starve": "takes the proxies' cores for Duration, by Count busy processes beside each",
	"crowd":  "opens Count connections to proxies and holds them silently for Duration",
}

// runEvents runs the events at their times, and returns when all have ended.
func (f *fleet) runEvents(ctx context.Context, start time.Time) {
	events := slices.Clone(f.scenario.Events)
	slices.SortStableFunc(events, func(a, b Event) int { return int(a.At - b.At) })
	var tasks sync.WaitGroup
	defer tasks.Wait()
	for _, e := range events {
		sleep(ctx, time.Until(start.Add(time.Duration(e.At))))
		if ctx.Err() != nil {
			return
		}
		f.progress("%.1f s: %s", time.Since(start).Seconds(), e)
		tasks.Go(func() { f.runEvent(ctx, &e) })
	}
}

// String describes an event for the progress.
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

// chosenProxies returns the proxies that an event is about.
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

// eachProxy calls do for each proxy that an event is about, at once.
func (f *fleet) eachProxy(e *Event, do func(*proxyInstance)) {
	var tasks sync.WaitGroup
	for _, p := range f.chosenProxies(e) {
		tasks.Go(func() { do(p) })
	}
	tasks.Wait()
}

// runEvent runs an event, until its end if it has one.
func (f *fleet) runEvent(ctx context.Context, e *Event) {
	switch e.Action {
	case "stop", "starve", "crowd":
		f.injectFault(ctx, e)
	case "link":
		f.failLinks(ctx, e)
	case "wave":
		f.runWave(ctx, e)
	case "restart":
		f.eachProxy(e, func(p *proxyInstance) { p.restart(e.Mode) })
	case "kill":
		f.eachProxy(e, (*proxyInstance).kill)
	case "hangup":
		f.eachProxy(e, func(p *proxyInstance) { p.reload(e.ConfigVariant, e.Count, time.Duration(e.Interval)) })
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

// runWave restarts all proxies one after another; without a mode by turns in both.
func (f *fleet) runWave(ctx context.Context, e *Event) {
	for i, p := range f.proxies {
		start := time.Now()
		mode := e.Mode
		if mode == "" {
			mode = restartModes[1+i%2]
		}
		p.restart(mode)
		sleep(ctx, time.Duration(e.Interval)-time.Since(start))
		if ctx.Err() != nil {
			f.addProblem("the wave was cut short at proxy %d", i)
			return
		}
	}
}

// runNodeEvent runs an event of one node. The directory reports what it has to also after an error.
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

// setStatus has the directory report a status of a node.
func (f *fleet) setStatus(i int, status string) {
	f.updateNode(i, func(e *endpointlist.Entry) { e.Status = status })
}

// reportStarted has the directory report that a node has started, under a name.
func (f *fleet) reportStarted(i int, name string) {
	f.updateNode(i, func(e *endpointlist.Entry) {
		e.Name = name
		e.Status = "up"
		e.StartedMillis = f.nodes[i].Started().UnixMilli()
	})
}

// setStatusOfFirst has the directory report a status of the first nodes.
func (f *fleet) setStatusOfFirst(count int, status string) {
	for i := range count {
		f.setStatus(i, status)
	}
}

// runZoneEvent ends or starts all nodes of a zone.
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

// flap takes a node out of the directory and enters it again, so many times or until ended is closed.
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
