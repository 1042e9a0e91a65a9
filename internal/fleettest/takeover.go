package fleettest

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"os"
	"path/filepath"
	"sync"
	"text/tabwriter"
	"time"

	"mulleinpier/internal/delay"
	"mulleinpier/internal/fleettest/faultinject"
)

// This file tests takeover: proxies are killed, stopped and cut off with handovers in flight. The test counts handovers
// that were carried out twice, and handovers whose clients never learned the outcome.

// The modes of takeover in configurations.
const (
	takeoverPlain  = "plain"
	takeoverStrict = "strict"
)

// TakeoverOptions configures RunTakeover.
type TakeoverOptions struct {
	Options
	Duration time.Duration // of the phase with faults
	Rate     float64       // requests a second
	Holders  int           // number of other proxies that record each write; 0 for none
	Mode     string        // plain or strict
	Seed     uint64
}

// TakeoverReport is the result of RunTakeover.
type TakeoverReport struct {
	Run         *Report        `json:"play"`
	Handovers   int            `json:"handovers"`
	TakenOver   int            `json:"taken"`  // writes that a proxy took over from another
	Faults      map[string]int `json:"faults"` // by kind
	HandoverP50 float64        `json:"handovers_p50_ms"`
	VerdictLine string         `json:"verdict"`
}

// OK reports whether all rules held, and clients sent handovers.
func (r *TakeoverReport) OK() bool { return r.Run.OK() && r.Handovers > 0 }

// Verdict is the last line of the printed report.
func (r *TakeoverReport) Verdict() string {
	verdict := "ok"
	if !r.OK() {
		verdict = "BROKEN"
	}
	p := r.Run
	return fmt.Sprintf("verdict: %s requests=%d handovers=%d taken=%d unknown=%d "+
		"lost=%d doubled=%d late_drains=%d crashes=%d",
		verdict, p.Requests, r.Handovers, r.TakenOver,
		p.UnknownOutcomes, p.Lost, p.DuplicateWrites, p.LateDrains, p.Crashes)
}

// Print writes the report, its verdict last.
func (r *TakeoverReport) Print(out io.Writer) {
	w := tabwriter.NewWriter(out, 0, 4, 2, ' ', 0)
	fmt.Fprintln(w, "phase\toffered\tin time\tlate\trefused\tfailed\thandovers\tin time")
	for _, p := range r.Run.Phases {
		fmt.Fprintf(w, "%s\t%d\t%d\t%d\t%d\t%d\t%d\t%d\n",
			p.Name, p.Offered, p.InTime, p.Late, p.Refused, p.Failed, p.Handovers, p.HandoversInTime)
	}
	w.Flush()
	fmt.Fprintf(out, "faults %v; %d out at killed proxies, %d at stopped ones, %d over cut links; "+
		"the test itself was %.0f ms late at the most\n",
		r.Faults, r.Run.KilledInFlight, r.Run.InFlightAtStopped, r.Run.InFlightAtCutLink, r.Run.MaxLagMillis)
	for _, p := range r.Run.Problems {
		fmt.Fprintln(out, "  "+p)
	}
	fmt.Fprintln(out, r.Verdict())
}

// openPeerAddress reserves the address at which the proxy listens for its peers, and puts a link in front of it.
func (p *proxyInstance) openPeerAddress() error {
	l, err := p.fleet.ports.reserve()
	if err != nil {
		return err
	}
	p.peerAddress = l.Addr().String()
	l.Close()
	if p.fleet.peerLinks == nil {
		p.fleet.peerLinks = make(map[int]*faultinject.Link)
	}
	link, err := faultinject.NewLink(linkHost, p.peerAddress)
	if err != nil {
		return err
	}
	p.fleet.peerLinks[p.index] = link
	p.advertisedPeerAddress = link.Address()
	return nil
}

// originPeriod is the time for which the origin keeps its speed. The origin is slow in every third period.
const originPeriod = 15 * time.Second

// Durations of the phases before and after the faults.
const (
	takeoverCalm  = 4 * time.Second
	takeoverAfter = 4 * time.Second
)

func takeoverScenario(o TakeoverOptions) (*Scenario, error) {
	s, err := LoadScenario("still")
	if err != nil {
		return nil, err
	}
	s.Name = "takeover"
	s.Description = "proxies killed, stopped and cut off with handovers in hand"
	s.Seed = max(o.Seed, 1)
	s.Fleet.RestartPermits = 1
	s.Fleet.TakeoverMode = o.Mode
	s.Fleet.TakeoverHolders = o.Holders
	if o.Holders == 0 {
		s.Fleet.TakeoverMode = ""
	}
	s.Fleet.Slots = 64
	s.Fleet.Queue = 512
	s.Fleet.OriginSlots = 4096
	s.Fleet.OriginQueue = 8192
	s.Fleet.Zones = []string{"a", "b", "c"}
	s.Load.Rate = o.Rate
	s.Load.HandoverShare = 0.2
	s.Load.LateRetries = 4
	s.Load.LateRetryShare = 1.0 / 3
	s.Phases = []Phase{
		{Name: "calm", Duration: tomlDuration(takeoverCalm)},
		{Name: "faults", Duration: tomlDuration(o.Duration)},
		{Name: "after", Duration: tomlDuration(takeoverAfter)},
	}
	// This event is never executed. It makes the fleet put links between clients and proxies.
	s.Events = []Event{{
		At:        tomlDuration(takeoverCalm),
		Action:    "link",
		LinkTo:    "clients",
		FaultKind: "reset",
		Proxies:   []int{0},
	}}
	return s, s.check()
}

// RunTakeover runs a takeover test, and returns an error if it could not run. Broken rules are in the report.
func RunTakeover(ctx context.Context, o TakeoverOptions) (*TakeoverReport, error) {
	s, err := takeoverScenario(o)
	if err != nil {
		return nil, err
	}
	f, err := startFleet(s, o.ProxyCommand, o.Folder, func(string, ...any) {})
	if err != nil {
		return nil, err
	}
	defer f.close()
	delay.Wait(ctx, time.Second)
	report := &TakeoverReport{Faults: make(map[string]int)}
	start := time.Now()
	r := newRecorder(s.Phases, start)
	w := newWorkload(f, r)
	runCtx, stop := context.WithTimeout(ctx, s.length())
	defer stop()
	var tasks sync.WaitGroup
	tasks.Go(func() { w.run(runCtx) })
	tasks.Go(func() { r.watchLag(runCtx) })
	delay.Wait(runCtx, takeoverCalm)
	f.injectRandomFaults(runCtx, start.Add(takeoverCalm+o.Duration), rand.New(rand.NewPCG(s.Seed, 11)), report.Faults)
	f.origin.SetServiceTime(time.Duration(s.Fleet.OriginServiceTime))
	tasks.Wait() // also waits for late retries
	f.stop()
	waitUntilSteady(func() int { return f.origin.Stats().Writes })
	report.Run = &Report{Scenario: s.Name, Description: s.Description, Proxies: s.Fleet.Proxies, Nodes: s.Fleet.Nodes}
	report.Run.fill(f, r, make([]int, len(s.Phases)+1))
	for _, p := range report.Run.Phases {
		report.Handovers += p.Handovers
	}
	if report.TakenOver, err = countTakenOver(o.Folder, len(f.proxies)); err != nil {
		return nil, err
	}
	report.VerdictLine = report.Verdict()
	return report, ctx.Err()
}

// countTakenOver counts the writes that proxies logged as taken over.
func countTakenOver(folder string, proxies int) (int, error) {
	var n int
	for i := range proxies {
		text, err := os.ReadFile(filepath.Join(folder, fmt.Sprintf("p%d.log", i)))
		if err != nil {
			return 0, err
		}
		n += bytes.Count(text, []byte(`msg="write taken over"`))
	}
	return n, nil
}

// injectRandomFaults kills, stops or cuts off a proxy every 2 s, even while another proxy still recovers, and makes the
// origin slow in every third originPeriod.
func (f *fleet) injectRandomFaults(ctx context.Context, until time.Time, rng *rand.Rand, faults map[string]int) {
	var tasks sync.WaitGroup
	defer tasks.Wait()
	start := time.Now()
	recoversAt := make(map[int]time.Time)
	for time.Until(until) > 2*time.Second && ctx.Err() == nil {
		if period := int(time.Since(start) / originPeriod); period%3 == 2 {
			f.origin.SetServiceTime(1200*time.Millisecond + time.Duration(rng.Int64N(int64(800*time.Millisecond))))
		} else {
			f.origin.SetServiceTime(time.Duration(f.scenario.Fleet.OriginServiceTime))
		}
		i := rng.IntN(len(f.proxies))
		for time.Now().Before(recoversAt[i]) {
			i = rng.IntN(len(f.proxies))
		}
		recoversAt[i] = time.Now().Add(4 * time.Second)
		p := f.proxies[i]
		kinds := []string{"kill", "stop", "clients cut", "others cut"}
		if f.peerLinks == nil {
			kinds = kinds[:3]
		}
		kind := kinds[rng.IntN(len(kinds))]
		faults[kind]++
		tasks.Go(func() {
			switch kind {
			case "kill":
				p.kill()
			case "stop":
				err := p.stopBySchedule(ctx, faultinject.StopSchedule{Duration: 3 * time.Second})
				if err != nil && ctx.Err() == nil {
					f.addProblem("stop of proxy %d: %v", i, err)
				}
			case "clients cut":
				f.cutFor(ctx, f.links.clients[i])
			case "others cut":
				f.cutFor(ctx, f.peerLinks[i])
			}
		})
		delay.Wait(ctx, 2*time.Second)
	}
}

// cutFor cuts a link for three seconds.
func (f *fleet) cutFor(ctx context.Context, l *faultinject.Link) {
	if err := l.SetFault(faultinject.LinkFaults["cut"](0)); err != nil {
		f.addProblem("link: %v", err)
	}
	delay.Wait(ctx, 3*time.Second)
	if err := l.SetFault(faultinject.Fault{}); err != nil {
		f.addProblem("link: %v", err)
	}
}
