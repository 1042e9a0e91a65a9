package fleettest

import (
	"context"
	"fmt"
	"os"
	"slices"
	"sync"
	"time"

	"mulleinpier/internal/fake/endpointlist"
	"mulleinpier/internal/fake/node"
	"mulleinpier/internal/fleettest/faultinject"
)

// Options say how to play a scenario.
type Options struct {
	// ProxyCommand starts a proxy; its configuration's path is put behind.
	ProxyCommand []string
	// Folder takes configurations and logs. It must exist.
	Folder string
	// Progress, if set, is told what happens while it happens.
	Progress func(format string, a ...any)
}

// RunScenario plays a scenario to its end, or until ctx ends, and tells how it went. An
// error means that it could not be played; broken rules are in the report.
func RunScenario(ctx context.Context, s *Scenario, o Options) (*Report, error) {
	if o.Progress == nil {
		o.Progress = func(string, ...any) {}
	}
	f, err := startFleet(s, o.ProxyCommand, o.Folder, o.Progress)
	if err != nil {
		return nil, err
	}
	defer f.close()
	began := time.Now()
	t := newRecorder(s.Phases, began)
	c := newWorkload(f, t)
	if err := c.openLibrary(); err != nil {
		return nil, err
	}
	ctx, stop := context.WithTimeout(ctx, s.length())
	defer stop()
	stops := slices.ContainsFunc(s.Events, func(e Event) bool { return e.Action == "stop" })
	report := &Report{ProcessesStopped: stops, Scenario: s.Name, Description: s.Description, Proxies: s.Fleet.Proxies, Nodes: s.Fleet.Nodes}
	fetches := make([]int, len(s.Phases)+1)
	var tasks sync.WaitGroup
	tasks.Go(func() { c.run(ctx) })
	tasks.Go(func() { t.watchLag(ctx) })
	tasks.Go(func() { f.runEvents(ctx, began) })
	at := time.Duration(0)
	for i, p := range s.Phases {
		o.Progress("%s: %d proxies, %v", p.Name, len(f.proxies), time.Duration(p.Duration))
		at += time.Duration(p.Duration)
		sleep(ctx, time.Until(began.Add(at)))
		fetches[i+1] = f.origin.Stats().Fetches
		if i == 0 {
			f.footprints(&report.FirstFootprints)
		}
		o.Progress("%s", t.summary(i))
	}
	tasks.Wait()
	f.footprints(&report.LastFootprints)
	report.LevelChanges = f.levelChanges(began)
	f.stop()
	// What a proxy still had out at a node may take effect yet.
	waitUntilSteady(func() int { return f.origin.Stats().Writes })
	report.fill(f, t, fetches)
	return report, nil
}

// waitUntilSteady waits until a count has stood still for a while.
func waitUntilSteady(count func() int) {
	last, since := count(), time.Now()
	for until := time.Now().Add(10 * time.Second); time.Now().Before(until) && time.Since(since) < time.Second; {
		time.Sleep(50 * time.Millisecond)
		if now := count(); now != last {
			last, since = now, time.Now()
		}
	}
}

func sleep(ctx context.Context, d time.Duration) { faultinject.Sleep(ctx, d) }

func (f *fleet) footprints(into *[]Footprint) {
	for _, d := range f.proxies {
		*into = append(*into, d.currentProcess().footprint())
	}
}

// runEvents has the events happen in their time, and returns when all are over.
func (f *fleet) runEvents(ctx context.Context, began time.Time) {
	events := slices.Clone(f.scenario.Events)
	slices.SortStableFunc(events, func(a, b Event) int { return int(a.At - b.At) })
	var tasks sync.WaitGroup
	defer tasks.Wait()
	for _, e := range events {
		sleep(ctx, time.Until(began.Add(time.Duration(e.At))))
		if ctx.Err() != nil {
			return
		}
		f.progress("%.1f s: %s", time.Since(began).Seconds(), e)
		tasks.Go(func() { f.runEvent(ctx, e) })
	}
}

// String says an event as the progress does.
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
func (f *fleet) chosenProxies(e Event) []*proxyInstance {
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

func (f *fleet) runEvent(ctx context.Context, e Event) {
	each := func(do func(*proxyInstance)) {
		var tasks sync.WaitGroup
		for _, d := range f.chosenProxies(e) {
			tasks.Go(func() { do(d) })
		}
		tasks.Wait()
	}
	n := f.nodes[e.Node]
	if f.injectFault(ctx, &e) {
		return
	}
	switch e.Action {
	case "wave":
		for i, d := range f.proxies {
			begun := time.Now()
			mode := e.Mode
			if mode == "" { // by turns
				mode = restartModes[1+i%2]
			}
			d.restart(mode)
			sleep(ctx, time.Duration(e.Interval)-time.Since(begun))
			if ctx.Err() != nil {
				f.addProblem("the wave was cut short at proxy %d", i)
				return
			}
		}
	case "restart":
		each(func(d *proxyInstance) { d.restart(e.Mode) })
	case "kill":
		each((*proxyInstance).kill)
	case "hangup":
		each(func(d *proxyInstance) { d.reload(e.ConfigVariant, e.Count, time.Duration(e.Interval)) })
	case "drain":
		f.updateNode(e.Node, func(x *endpointlist.Entry) { x.Status = "draining" })
	case "undrain":
		f.updateNode(e.Node, func(x *endpointlist.Entry) { x.Status = "up" })
	case "remove":
		f.updateNode(e.Node, func(x *endpointlist.Entry) { x.Status = "removed" })
	case "cold":
		if err := n.Restart(); err != nil {
			f.addProblem("node %d: %v", e.Node, err)
		}
		f.updateNode(e.Node, func(x *endpointlist.Entry) { x.Status, x.StartedMillis = "up", n.Started().UnixMilli() })
	case "fault":
		if err := n.SetFault(node.Fault{Kind: node.FaultKind(e.FaultKind), OneIn: e.OneIn, Delay: time.Duration(e.Delay)}); err != nil {
			f.addProblem("node %d: %v", e.Node, err)
		}
	case "list-down":
		kind := e.FaultKind
		if kind == "" {
			kind = "quiet"
		}
		f.directory.setFault(kind)
	case "list-up":
		f.directory.setFault("")
	case "flap":
		f.flap(e.Node, e.Count, time.Duration(e.Interval), ctx.Done())
	case "die":
		if err := n.SetFault(node.Fault{Kind: node.ProcessDown}); err != nil {
			f.addProblem("node %d: %v", e.Node, err)
		}
	case "rename":
		old := f.nodes[e.Node].Name()
		if err := n.RestartAs(old + "x"); err != nil {
			f.addProblem("node %d: %v", e.Node, err)
		}
		f.updateNode(e.Node, func(x *endpointlist.Entry) { x.Status = "removed" })
		f.updateNode(e.Node, func(x *endpointlist.Entry) {
			x.Name, x.Status, x.StartedMillis = old+"x", "up", n.Started().UnixMilli()
		})
	case "reborn":
		if err := n.Restart(); err != nil {
			f.addProblem("node %d: %v", e.Node, err)
		}
	case "brown":
		f.origin.SetServiceTime(time.Duration(e.Delay))
	case "dark", "light":
		for i, n := range f.nodes {
			if f.scenario.Fleet.Zones[i%len(f.scenario.Fleet.Zones)] != e.Zone {
				continue
			}
			var err error
			if e.Action == "dark" {
				err = n.SetFault(node.Fault{Kind: node.ProcessDown})
			} else if err = n.Restart(); err == nil {
				f.updateNode(i, func(x *endpointlist.Entry) { x.Status, x.StartedMillis = "up", n.Started().UnixMilli() })
			}
			if err != nil {
				f.addProblem("node %d: %v", i, err)
			}
		}
	case "leave", "return":
		for i := range e.Count {
			f.updateNode(i, func(x *endpointlist.Entry) {
				x.Status = map[string]string{"leave": "removed", "return": "up"}[e.Action]
			})
		}
	}
}

// HoldFleet holds a fleet until ctx ends. It tells of each proxy and node by tell.
func HoldFleet(ctx context.Context, s *Scenario, o Options, tell func(line string)) error {
	f, err := startFleet(s, o.ProxyCommand, o.Folder, func(string, ...any) {})
	if err != nil {
		return err
	}
	defer f.close()
	for _, d := range f.proxies {
		tell("proxy " + d.address)
	}
	for _, place := range f.directory.addresses() {
		tell(place)
	}
	for _, n := range f.nodes {
		tell("node " + n.Name() + " " + n.Address())
	}
	tell("ready")
	<-ctx.Done()
	f.stop()
	if f.crashes > 0 {
		return fmt.Errorf("%d proxies ended badly: %s", f.crashes, f.problems)
	}
	return nil
}

// TempFolder makes a folder for a rehearsal.
func TempFolder() (path string, remove func(), err error) {
	path, err = os.MkdirTemp("", "fleettest-")
	return path, func() { os.RemoveAll(path) }, err
}
