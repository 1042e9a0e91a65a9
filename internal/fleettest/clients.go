package fleettest

import (
	"context"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"text/tabwriter"
	"time"

	"mulleinpier/client"
	"mulleinpier/internal/delay"
	"mulleinpier/internal/fake/origin"
	"mulleinpier/internal/loadgen"
)

// ClientsReport compares clients that use the library with naive ones.
type ClientsReport struct {
	Runs []ClientsRun `json:"plays"`
}

// ClientsRun is the result of one fault with one kind of clients, or with both kinds on the same fleet.
type ClientsRun struct {
	Name            string            `json:"name"`
	Description     string            `json:"about"`
	Results         []*loadgen.Result `json:"results"`
	DuplicateWrites map[string]int    `json:"doubled"` // handovers that took effect more than once, by kind of client
	Crashes         int               `json:"crashes"`
	Problems        []string          `json:"problems"`
	Fetches         int               `json:"fetches"` // at the origin
}

// clientFault is a fault that is injected at the start of the phase "trouble". before, during and after are the
// durations of the phases around it.
type clientFault struct {
	name, description     string
	proxies               int
	before, during, after time.Duration
	together              bool    // both kinds of clients run at the same time, on the same fleet
	rate                  float64 // requests per second of each kind of clients
	slots                 int     // of each node; a slot serves 40 requests a second
	inject                func(ctx context.Context, f *fleet)
}

// rampUpTime is the duration of the first phase, in which all clients start.
const rampUpTime = 2 * time.Second

func (t *clientFault) phases() []loadgen.Phase {
	return []loadgen.Phase{
		{Name: "start", Duration: rampUpTime},
		{Name: "calm", Duration: t.before},
		{Name: "trouble", Duration: t.during},
		{Name: "after", Duration: t.after},
	}
}

// ClientsOptions configures RunClients.
type ClientsOptions struct {
	Options
	Clients   int    // number of clients of each kind
	OnlyFault string // name of one fault, "" for all
	Short     bool   // the first two faults, at a lower rate and for less time
}

// clientsScenario returns the scenario of a clients test: its fleet and its phases.
func clientsScenario(t *clientFault) *Scenario {
	s, err := LoadScenario("up")
	if err != nil {
		panic(err) // the scenario is built in, and a test loads it
	}
	s.Name, s.Description, s.Seed = "clients-"+t.name, t.description, 11
	s.Fleet.Proxies, s.Fleet.Nodes, s.Fleet.Zones = t.proxies, 8, []string{"a"}
	s.Fleet.Slots, s.Fleet.Queue, s.Fleet.ServiceTime = t.slots, 32, tomlDuration(25*time.Millisecond)
	s.Fleet.OriginSlots, s.Fleet.OriginQueue, s.Fleet.OriginServiceTime = 32, 256, tomlDuration(40*time.Millisecond)
	s.Fleet.MaxSockets, s.Fleet.MemoryMB, s.Fleet.ConnectionsPerNode, s.Fleet.Connections = 8192, 128, 8, 128
	for _, p := range t.phases() {
		s.Phases = append(s.Phases, Phase{Name: p.Name, Duration: tomlDuration(p.Duration)})
	}
	return s
}

// RunClients injects each fault with both kinds of clients, either one kind after the other or both at the same time.
func RunClients(ctx context.Context, o ClientsOptions) (*ClientsReport, error) {
	report := &ClientsReport{}
	for _, t := range o.faults() {
		if o.OnlyFault != "" && o.OnlyFault != t.name {
			continue
		}
		if t.together {
			p, err := o.runFault(ctx, &t, loadgen.Library, loadgen.Naive)
			if err != nil {
				return nil, err
			}
			report.Runs = append(report.Runs, *p)
			continue
		}
		for _, kind := range []loadgen.Kind{loadgen.Library, loadgen.Naive} {
			p, err := o.runFault(ctx, &t, kind)
			if err != nil {
				return nil, err
			}
			report.Runs = append(report.Runs, *p)
		}
	}
	return report, nil
}

func (o *ClientsOptions) runFault(ctx context.Context, t *clientFault, kinds ...loadgen.Kind) (*ClientsRun, error) {
	s := clientsScenario(t)
	folder := filepath.Join(o.Folder, fmt.Sprint(t.name, "-", kinds[0]))
	if err := os.MkdirAll(folder, 0o755); err != nil {
		return nil, err
	}
	o.Progress("%s: %s; %d clients each of %v", t.name, t.description, o.Clients, kinds)
	f, err := startFleet(s, o.ProxyCommand, folder, o.Progress)
	if err != nil {
		return nil, err
	}
	defer f.close()
	p := &ClientsRun{
		Name:            t.name,
		Description:     t.description,
		Results:         make([]*loadgen.Result, len(kinds)),
		DuplicateWrites: make(map[string]int),
	}
	var addresses []string
	for _, d := range f.proxies {
		addresses = append(addresses, d.clientAddress)
	}
	var tasks sync.WaitGroup
	errs := make([]error, len(kinds))
	for i, kind := range kinds {
		c := o.loadConfig(t, f, kind)
		c.Addresses = addresses
		c.Options.Window = time.Duration(s.Fleet.DedupWindow)
		tasks.Go(func() { p.Results[i], errs[i] = loadgen.Run(ctx, c) })
	}
	tasks.Go(func() {
		delay.Wait(ctx, rampUpTime+t.before)
		t.inject(ctx, f)
	})
	tasks.Wait()
	for _, err := range errs {
		if err != nil {
			return nil, err
		}
	}
	f.stop()
	waitUntilSteady(func() int { return f.origin.Stats().Writes })
	p.Fetches = f.origin.Stats().Fetches
	p.countDuplicates(f.origin.DuplicateEffects())
	f.mu.Lock()
	defer f.mu.Unlock()
	p.Crashes, p.Problems = f.crashes, append(p.Problems, f.problems...)
	return p, nil
}

// loadConfig returns the load of one kind of clients. Its addresses and its dedup window are not set yet.
func (o *ClientsOptions) loadConfig(t *clientFault, f *fleet, kind loadgen.Kind) loadgen.Config {
	return loadgen.Config{
		Kind:           kind,
		Clients:        o.Clients,
		Rate:           t.rate,
		HandoverShare:  0.06,
		Keys:           3000,
		Skew:           1.2,
		Seed:           3,
		SeenByNode:     f.seenByNode,
		RecentlyKilled: f.recentlyKilled,
		Phases:         t.phases(),
		Options:        client.Options{StartSpread: time.Second},
	}
}

// maxDuplicateProblems limits the number of duplicate writes that a run describes.
const maxDuplicateProblems = 20

// countDuplicates counts writes that took effect more than once, by the kind of client that sent them. The key of an
// effect begins with the initial of the kind.
func (p *ClientsRun) countDuplicates(effects []origin.Effect) {
	for _, e := range effects {
		name := e.Record + " " + e.Key
		for _, kind := range []loadgen.Kind{loadgen.Library, loadgen.Naive} {
			if strings.HasPrefix(e.Key, strings.ToUpper(string(kind[:1]))) {
				name = string(kind)
			}
		}
		p.DuplicateWrites[name]++
		if name == string(loadgen.Library) && len(p.Problems) < maxDuplicateProblems {
			p.Problems = append(p.Problems, describeDuplicate(&e))
		}
	}
}

// recentlyKilled reports whether the proxy at an address was killed so recently that a request may have been in flight
// at it.
func (f *fleet) recentlyKilled(address string) bool {
	for _, d := range f.proxies {
		if d.clientAddress == address {
			d.mu.Lock()
			killedAt := d.killedAt
			d.mu.Unlock()
			return time.Since(killedAt) < processTimeout
		}
	}
	return false
}

// Limits that library clients must keep.
const (
	// maxDialPeakFactor bounds the dials in the busiest 50 ms of the fault phase of a restart, as a multiple of the
	// mean number in 50 ms of that phase.
	maxDialPeakFactor  = 3
	maxTriesPerRequest = 1.1
)

// violations describes the rules and limits that were broken. The limits on requests apply to library clients only.
func (p *ClientsRun) violations() (list []string) {
	add := func(format string, a ...any) { list = append(list, p.Name+": "+fmt.Sprintf(format, a...)) }
	if p.Crashes > 0 {
		add("%d crashes", p.Crashes)
	}
	for _, r := range p.Results {
		if r.Kind != loadgen.Library {
			continue
		}
		if n := p.DuplicateWrites[string(loadgen.Library)]; n > 0 {
			add("%d handovers were carried out twice", n)
		}
		for _, f := range r.Phases {
			if f.Lost > 0 {
				add("%s: %d requests lost", f.Phase, f.Lost)
			}
			if f.Offered > 0 && f.TriesPerRequest() > maxTriesPerRequest {
				add("%s: %.3f tries for each request", f.Phase, f.TriesPerRequest())
			}
		}
		if phase := r.Phases[2]; p.Name == "restart" &&
			float64(phase.DialsBusiest50ms) > maxDialPeakFactor*phase.DialsMean50ms {
			add("%d attempts to connect in the busiest 50 ms, %.1f on average",
				phase.DialsBusiest50ms, phase.DialsMean50ms)
		}
	}
	return list
}

// OK reports whether there were runs, and none broke a rule or a limit.
func (r *ClientsReport) OK() bool {
	for i := range r.Runs {
		if len(r.Runs[i].violations()) > 0 {
			return false
		}
	}
	return len(r.Runs) > 0
}

// Print writes the report as tables, its verdict last.
func (r *ClientsReport) Print(out io.Writer) {
	w := tabwriter.NewWriter(out, 0, 4, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(w, "trouble\ttills\tphase\toffered\tin time\tlate\trefused\tfailed\tunknown\ttries each\t"+
		"goodput\thandovers\tin time\tp50 ms\tp99 ms\tdials\tin vain\tbusiest 50 ms\tmean\ttimes\tlost\t")
	for _, p := range r.Runs {
		for _, x := range p.Results {
			for _, f := range x.Phases {
				fmt.Fprintf(w, "%s\t%s\t%s\t%d\t%d\t%d\t%d\t%d\t%d\t%.3f\t",
					p.Name, x.Kind, f.Phase,
					f.Offered, f.InTime, f.Late, f.Refused, f.Failed, f.Unknown, f.TriesPerRequest())
				fmt.Fprintf(w, "%.0f\t%d\t%d\t%.1f\t%.1f\t%d\t%d\t%d\t%.1f\t%.1f\t%d\t\n",
					f.Goodput(), f.Handovers, f.HandoversInTime, f.P50, f.P99,
					f.Dials, f.DialFails, f.DialsBusiest50ms, f.DialsMean50ms,
					float64(f.DialsBusiest50ms)/max(f.DialsMean50ms, 1e-9), f.Lost)
			}
		}
	}
	w.Flush()
	verdict := "ok"
	if !r.OK() {
		verdict = "BROKEN"
	}
	duplicates := make(map[string]int)
	for _, p := range r.Runs {
		fmt.Fprintf(out, "%s: %s; doubled %v, %d fetches\n", p.Name, p.Description, p.DuplicateWrites, p.Fetches)
		for kind, n := range p.DuplicateWrites {
			duplicates[kind] += n
		}
		for _, x := range p.Results {
			crossed, excused, overdue := 0, 0, 0
			for _, f := range x.Phases {
				crossed += f.CrossedClose
				excused += f.KilledInFlight
				overdue += f.Overdue
			}
			fmt.Fprintf(out, "  %s: no breach: %d crossed a close, %d were out at a killed proxy, "+
				"%d answered just after they were given up, %d not offered\n",
				x.Kind, crossed, excused, overdue, x.NotOffered)
			for _, s := range x.LostSamples {
				fmt.Fprintln(out, "  "+s)
			}
		}
		for _, s := range append(p.violations(), p.Problems...) {
			fmt.Fprintln(out, "  "+strings.ReplaceAll(s, "\n", " | "))
		}
	}
	fmt.Fprintf(out, "verdict: %s plays=%d doubled_library=%d doubled_brief=%d\n",
		verdict, len(r.Runs), duplicates[string(loadgen.Library)], duplicates[string(loadgen.Naive)])
}
