package fleettest

import (
	"context"
	"fmt"
	"os"
	"slices"
	"sync"
	"time"

	"mulleinpier/internal/delay"
)

// Options say how to run a scenario.
type Options struct {
	// ProxyCommand starts a proxy. The path of the proxy's configuration is appended.
	ProxyCommand []string
	// Folder receives configurations and logs. It must exist.
	Folder string
	// Progress, if set, is called with messages about the progress. Calls may be concurrent.
	Progress func(format string, a ...any)
}

// RunScenario runs a scenario to its end, or until ctx ends. An error means that it could not be run; broken rules are
// in the report.
func RunScenario(ctx context.Context, s *Scenario, o Options) (*Report, error) {
	if o.Progress == nil {
		o.Progress = func(string, ...any) {}
	}
	f, err := startFleet(s, o.ProxyCommand, o.Folder, o.Progress)
	if err != nil {
		return nil, err
	}
	defer f.close()
	start := time.Now()
	r := newRecorder(s.Phases, start)
	w := newWorkload(f, r)
	if err := w.openLibrary(); err != nil {
		return nil, err
	}
	report := &Report{
		Scenario:         s.Name,
		Description:      s.Description,
		Proxies:          s.Fleet.Proxies,
		Nodes:            s.Fleet.Nodes,
		ProcessesStopped: slices.ContainsFunc(s.Events, func(e Event) bool { return e.Action == "stop" }),
	}
	ctx, stop := context.WithTimeout(ctx, s.length())
	defer stop()
	var tasks sync.WaitGroup
	tasks.Go(func() { w.run(ctx) })
	tasks.Go(func() { r.watchLag(ctx) })
	tasks.Go(func() { f.runEvents(ctx, start) })
	fetches := f.awaitPhases(ctx, r, report)
	tasks.Wait()
	report.LastFootprints = f.footprints()
	report.LevelChanges = f.levelChanges(start)
	f.stop()
	// Requests that are still in flight at nodes may take effect after the proxies have ended.
	waitUntilSteady(func() int { return f.origin.Stats().Writes })
	report.fill(f, r, fetches)
	return report, nil
}

// awaitPhases waits for the end of each phase. It returns the origin's count of fetches at the start and at the end of
// each phase.
func (f *fleet) awaitPhases(ctx context.Context, r *recorder, report *Report) (fetches []int) {
	fetches = []int{0}
	end := r.startedAt
	for i, p := range r.phases {
		f.progress("%s: %d proxies, %v", p.Name, len(f.proxies), time.Duration(p.Duration))
		end = end.Add(time.Duration(p.Duration))
		delay.Wait(ctx, time.Until(end))
		fetches = append(fetches, f.origin.Stats().Fetches)
		if i == 0 {
			report.FirstFootprints = f.footprints()
		}
		f.progress("%s", r.summary(i))
	}
	return fetches
}

const (
	steadyTime    = time.Second
	steadyTimeout = 10 * time.Second
	steadyPoll    = 50 * time.Millisecond
)

// waitUntilSteady waits until a count has not changed for steadyTime, at most steadyTimeout.
func waitUntilSteady(count func() int) {
	last, since := count(), time.Now()
	timeout := time.Now().Add(steadyTimeout)
	for time.Now().Before(timeout) && time.Since(since) < steadyTime {
		time.Sleep(steadyPoll)
		if now := count(); now != last {
			last, since = now, time.Now()
		}
	}
}

// footprints returns the footprints of all proxies, by number.
func (f *fleet) footprints() (list []Footprint) {
	for _, p := range f.proxies {
		list = append(list, p.currentProcess().footprint())
	}
	return list
}

// HoldFleet starts a fleet and keeps it running until ctx ends. It passes the addresses of the proxies, the Consul
// agents and the nodes to printLine, and then "ready".
func HoldFleet(ctx context.Context, s *Scenario, o Options, printLine func(line string)) error {
	f, err := startFleet(s, o.ProxyCommand, o.Folder, func(string, ...any) {})
	if err != nil {
		return err
	}
	defer f.close()
	for _, p := range f.proxies {
		printLine("proxy " + p.address)
	}
	for _, address := range f.directory.addresses() {
		printLine(address)
	}
	for _, n := range f.nodes {
		printLine("node " + n.Name() + " " + n.Address())
	}
	printLine("ready")
	<-ctx.Done()
	f.stop()
	if f.crashes > 0 {
		return fmt.Errorf("%d proxies crashed or did not shut down cleanly: %s", f.crashes, f.problems)
	}
	return nil
}

// TempFolder creates a temporary folder for a test. remove deletes it with its content.
func TempFolder() (path string, remove func(), err error) {
	path, err = os.MkdirTemp("", "fleettest-")
	return path, func() { os.RemoveAll(path) }, err
}
