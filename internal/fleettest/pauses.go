package fleettest

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"text/tabwriter"
	"time"
)

// This file tests paused processes and failing links, one fault or pair of faults per test, and reports the effects of
// each.

// PauseOptions select the faults, and say how to run their tests.
type PauseOptions struct {
	Options
	ProxyCounts []int  // each fault is tested at each of these numbers of proxies; empty means 3
	OnlyFault   string // only faults whose names contain this
	Seed        uint64 // 0 means 1
	AllPairs    bool   // all pairs of faults instead of the default faults
	Parallel    int    // number of tests that run at the same time; 0 means 1
}

const (
	pauseProxies         = 12
	defaultPauseProxies  = 3
	pauseRate            = 600
	pauseHandoverShare   = 0.3
	beforePause          = 3 * time.Second
	afterPause           = 6 * time.Second
	recoveredShare       = 0.98 // an interval with a lower share of requests in time is not recovered
	maxProblemsPerReport = 5
)

// scenario returns a scenario with the fault at a number of proxies.
func (t pauseFault) scenario(count int, seed uint64) (*Scenario, error) {
	s, err := LoadScenario("still")
	if err != nil {
		return nil, err
	}
	s.Name = t.name
	s.Description = fmt.Sprintf("%s at %d of %d proxies", t.name, count, pauseProxies)
	s.Seed = seed
	s.Load.Rate = pauseRate
	s.Load.HandoverShare = pauseHandoverShare
	s.Fleet.Proxies = pauseProxies
	s.Fleet.ClockDrift = t.drift
	s.Phases = []Phase{
		{Name: "calm", Duration: tomlDuration(beforePause)},
		{Name: "trouble", Duration: tomlDuration(t.duration)},
		{Name: "after", Duration: tomlDuration(afterPause)},
	}
	proxies := make([]int, count)
	for i := range proxies {
		proxies[i] = i * pauseProxies / count
	}
	s.Events = nil
	for _, e := range t.events(proxies) {
		e.At += tomlDuration(beforePause)
		s.Events = append(s.Events, e)
	}
	return s, s.check()
}

// PauseRow is the result of one fault at a number of proxies.
type PauseRow struct {
	Fault           string  `json:"trouble"`
	Proxies         int     `json:"proxies"`
	InTimePercent   float64 `json:"in_time_percent"` // of requests from the start of the fault
	RecoverySeconds float64 `json:"back_s"`          // from the end of the fault until requests are in time again
	Report          *Report `json:"report"`
}

// PauseReport holds the results of all faults.
type PauseReport struct {
	Rows        []PauseRow `json:"rows"`
	VerdictLine string     `json:"verdict"` // the last line of the printed report
}

// pauseTest is a test that is to be run.
type pauseTest struct {
	scenario *Scenario
	faultEnd time.Duration // since the start of the test
}

// RunPauses runs a test for each selected fault and number of proxies. An error means that some tests could not be run;
// broken rules are in the report.
func RunPauses(ctx context.Context, o PauseOptions) (*PauseReport, error) {
	r := &PauseReport{}
	tests, err := r.plan(&o)
	if err != nil {
		return nil, err
	}
	errs := make([]error, len(tests))
	next := make(chan int)
	var tasks sync.WaitGroup
	for range max(o.Parallel, 1) {
		tasks.Go(func() {
			for i := range next {
				options := o.Options
				options.Folder = filepath.Join(o.Folder, fmt.Sprint("still-", i))
				errs[i] = r.Rows[i].run(ctx, tests[i], options)
			}
		})
	}
	for i := range tests {
		next <- i
	}
	close(next)
	tasks.Wait()
	if err := errors.Join(append(errs, ctx.Err())...); err != nil {
		return nil, err
	}
	r.VerdictLine = r.Verdict()
	return r, nil
}

// plan returns the tests to be run, and adds a row to the report for each.
func (r *PauseReport) plan(o *PauseOptions) (tests []pauseTest, err error) {
	counts := o.ProxyCounts
	if len(counts) == 0 {
		counts = []int{defaultPauseProxies}
	}
	faults := pauseFaults()
	if o.AllPairs {
		faults = pauseFaultPairs()
	}
	for _, t := range faults {
		if !strings.Contains(t.name, o.OnlyFault) {
			continue
		}
		for _, count := range counts {
			s, err := t.scenario(count, max(o.Seed, 1))
			if err != nil {
				return nil, err
			}
			tests = append(tests, pauseTest{scenario: s, faultEnd: beforePause + t.duration})
			r.Rows = append(r.Rows, PauseRow{Fault: t.name, Proxies: count})
		}
	}
	return tests, nil
}

// run runs a test and fills in its row.
func (row *PauseRow) run(ctx context.Context, test pauseTest, o Options) error {
	if ctx.Err() != nil {
		return nil // RunPauses reports the end of ctx once
	}
	if err := os.MkdirAll(o.Folder, 0o755); err != nil {
		return err
	}
	report, err := RunScenario(ctx, test.scenario, o)
	if err != nil {
		return fmt.Errorf("%s: %w", row.Fault, err)
	}
	row.InTimePercent = inTimePercent(report.Phases[1:])
	row.RecoverySeconds = report.recoveryAfter(test.faultEnd)
	row.Report = report
	return nil
}

// inTimePercent returns the percentage of the requests in the given phases that were answered in time.
func inTimePercent(phases []PhaseReport) float64 {
	total := PhaseReport{}
	for _, p := range phases {
		total.Offered += p.Offered
		total.InTime += p.InTime
	}
	return total.InTimePercent()
}

// recoveryAfter returns the seconds from end to the end of the last interval of the timeline in which too few requests
// were answered in time; 0 if there is no such interval.
func (r *Report) recoveryAfter(end time.Duration) (recovery float64) {
	for i, c := range r.Timeline {
		from := time.Duration(i) * timelineTick
		if c.Offered > 0 && from >= end && float64(c.InTime) < recoveredShare*float64(c.Offered) {
			recovery = (from + timelineTick - end).Seconds()
		}
	}
	return recovery
}

// sum adds up a figure over all reports.
func (r *PauseReport) sum(of func(*Report) int) (n int) {
	for _, row := range r.Rows {
		n += of(row.Report)
	}
	return n
}

// OK reports whether all rules held in all tests.
func (r *PauseReport) OK() bool {
	for _, row := range r.Rows {
		if !row.Report.OK() {
			return false
		}
	}
	return len(r.Rows) > 0
}

// Verdict is the last line of the printed report.
func (r *PauseReport) Verdict() string {
	return fmt.Sprintf("verdict: %s requests=%d lost=%d doubled=%d late_drains=%d crashes=%d stopped=%d",
		verdictWord(r),
		r.sum(func(r *Report) int { return r.Requests }),
		r.sum(func(r *Report) int { return r.Lost }),
		r.sum(func(r *Report) int { return r.DuplicateWrites }),
		r.sum(func(r *Report) int { return r.LateDrains }),
		r.sum(func(r *Report) int { return r.Crashes }),
		r.sum(func(r *Report) int { return r.InFlightAtStopped }))
}

// Print writes the report as a table, its verdict last.
func (r *PauseReport) Print(out io.Writer) {
	w := tabwriter.NewWriter(out, 0, 4, 2, ' ', 0)
	fmt.Fprint(w, "trouble\tproxies\tin time\tlost\tstopped\tsevered\tdoubled\t")
	fmt.Fprintln(w, "late drains\trefused\tunknown\tback after s")
	for _, row := range r.Rows {
		p := row.Report
		refused, failed := 0, 0
		for _, x := range p.Phases[1:] {
			refused += x.Refused
			failed += x.Failed
		}
		fmt.Fprintf(w, "%s\t%d\t%.2f%%\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%.2f\n",
			row.Fault, row.Proxies, row.InTimePercent, p.Lost, p.InFlightAtStopped, p.InFlightAtCutLink,
			p.DuplicateWrites, p.LateDrains, refused, failed, row.RecoverySeconds)
	}
	w.Flush()
	for _, row := range r.Rows {
		problems := row.Report.Problems
		for _, p := range problems[:min(len(problems), maxProblemsPerReport)] {
			fmt.Fprintf(out, "  %s at %d: %s\n", row.Fault, row.Proxies, strings.ReplaceAll(p, "\n", " | "))
		}
	}
	fmt.Fprintln(out, r.Verdict())
}
