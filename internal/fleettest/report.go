package fleettest

import (
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
	"time"
)

// Report is what a rehearsal found.
type Report struct {
	Scenario        string             `json:"scenario"`
	Description     string             `json:"about"`
	Proxies         int                `json:"proxies"`
	Nodes           int                `json:"nodes"`
	Phases          []PhaseReport      `json:"phases"`
	Timeline        []TimelineInterval `json:"course"` // a quarter of a second each
	FirstFootprints []Footprint        `json:"start"`  // by proxy, at the end of the first phase
	LastFootprints  []Footprint        `json:"end"`
	LevelChanges    [][]LevelChange    `json:"levels"` // of service, by proxy
	Restarts        int                `json:"restarts"`
	Reloads         int                `json:"reloads"`

	RestartPermits int `json:"permits,omitempty"`   // how many proxies may be down by leave at a time
	MaxDown        int `json:"most_down,omitempty"` // and how many were

	Requests             int      `json:"requests"`
	Lost                 int      `json:"lost"`
	DuplicateWrites      int      `json:"doubled"`
	LateDrains           int      `json:"late_drains"`
	Crashes              int      `json:"crashes"`
	WrongAnswers         int      `json:"wrong"`
	CollapsedNodes       int      `json:"fallen"` // nodes that were pushed over
	LateDrainMillis      float64  `json:"late_drains_by_ms"`
	LastAfterDrainMillis float64  `json:"last_at_a_drained_node_ms"`
	CrossedClose         int      `json:"crossed"`
	KilledInFlight       int      `json:"excused"`
	ProcessesStopped     bool     `json:"stops"`   // processes were stopped
	InFlightAtStopped    int      `json:"stopped"` // requests out at them to beyond their deadlines
	UnknownOutcomes      int      `json:"unsure"`  // handovers whose tills never learnt what came of them
	InFlightAtCutLink    int      `json:"severed"`
	Overdue              int      `json:"overdue"`
	MaxOverdueMillis     float64  `json:"overdue_by_ms"`
	MaxLagMillis         float64  `json:"lag_ms"` // of the test itself, at the most
	FailedDials          int      `json:"unopened"`
	NotOffered           int      `json:"not_offered"`
	Effects              int      `json:"effects"`
	OriginFull           int      `json:"origin_full"`
	MaxConnsPerNode      int      `json:"most_connections_of_a_node"`
	Problems             []string `json:"problems"`
	VerdictLine          string   `json:"verdict"` // the closing line
}

// PhaseReport is of one phase. Offered counts first tries; each ended in time,
// late, refused or failed. Times are in milliseconds, of what was served.
type PhaseReport struct {
	Name    string  `json:"name"`
	Seconds float64 `json:"seconds"`
	Offered int     `json:"offered"`
	InTime  int     `json:"in_time"`
	Late    int     `json:"late"`
	Refused int     `json:"refused"`
	Failed  int     `json:"failed"`
	P50     float64 `json:"p50_ms"`
	P99     float64 `json:"p99_ms"`
	Fetches int     `json:"fetches"`
	Retries int     `json:"retries"`
	// Of handovers alone.
	Handovers       int `json:"handovers"`
	HandoversInTime int `json:"handovers_in_time"`
	// What was asked for and served is worth, as tallies count it.
	OfferedWeight float64 `json:"worth"`
	ServedWeight  float64 `json:"earned"`
}

// InTimePercent is the part of what was offered that was answered in time, in per cent.
func (p *PhaseReport) InTimePercent() float64 {
	return 100 * float64(p.InTime) / float64(max(p.Offered, 1))
}

func (r *Report) fill(f *fleet, t *recorder, fetches []int) {
	var rules eventCounts
	r.Phases, rules = t.phaseReports()
	r.Timeline = t.timeline
	for i := range r.Phases {
		r.Phases[i].Fetches = fetches[i+1] - fetches[i]
	}
	o := f.origin.Stats()
	r.Requests, r.Lost, r.WrongAnswers, r.CrossedClose, r.KilledInFlight = rules.requests, rules.lost, rules.wrongAnswers, rules.crossedClose, rules.atKilledProxy
	r.InFlightAtStopped, r.InFlightAtCutLink, r.UnknownOutcomes = rules.atStoppedProxy, rules.atCutLink, rules.unknownOutcomes
	r.Overdue, r.MaxOverdueMillis = rules.overdue, millis(rules.maxOverdue)
	r.MaxLagMillis = millis(t.maxLag)
	r.FailedDials, r.NotOffered = t.failedDials, t.notOfferedCount
	r.DuplicateWrites, r.Effects, r.OriginFull = o.Duplicates, o.Effects, o.QueueFull
	for _, n := range f.nodes {
		s := n.Stats()
		r.MaxConnsPerNode = max(r.MaxConnsPerNode, s.MaxConns)
		if s.Collapsed {
			r.CollapsedNodes++
			f.addProblem("node %s was pushed over while cold", n.Name())
		}
	}
	for _, d := range f.proxies {
		r.Restarts, r.Reloads = r.Restarts+d.restarts, r.Reloads+d.reloads
	}
	r.RestartPermits, r.MaxDown = f.scenario.Fleet.RestartPermits, f.maxDown()
	f.mu.Lock()
	defer f.mu.Unlock()
	r.LateDrains, r.LateDrainMillis, r.LastAfterDrainMillis, r.Crashes = f.lateDrains, millis(f.maxLateDrain), millis(f.lastAfterDrain), f.crashes
	r.Problems = append(append(r.Problems, rules.samples...), f.problems...)
	for i, e := range f.origin.DuplicateEffects() {
		if i < 20 {
			r.Problems = append(r.Problems, fmt.Sprintf("handover %s of %s was carried out again %v after the first time", e.Key, e.Record,
				e.Last.Sub(e.First).Round(time.Millisecond)))
		}
	}
	r.VerdictLine = r.Verdict()
}

func millis(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

// OK tells whether all rules held.
func (r *Report) OK() bool {
	return r.Lost+r.DuplicateWrites+r.LateDrains+r.Crashes+r.WrongAnswers+r.CollapsedNodes == 0 && r.MaxDown <= r.RestartPermits
}

// Verdict is the closing line.
func (r *Report) Verdict() string {
	word := "ok"
	if !r.OK() {
		word = "BROKEN"
	}
	line := fmt.Sprintf("verdict: %s requests=%d lost=%d doubled=%d late_drains=%d crashes=%d", word, r.Requests, r.Lost, r.DuplicateWrites,
		r.LateDrains, r.Crashes)
	if r.ProcessesStopped {
		line += fmt.Sprintf(" stopped=%d", r.InFlightAtStopped)
	}
	return line
}

// Print writes the report as tables, its verdict last.
func (r *Report) Print(out io.Writer) {
	fmt.Fprintf(out, "%s: %s (%d proxies, %d nodes)\n", r.Scenario, r.Description, r.Proxies, r.Nodes)
	w := tabwriter.NewWriter(out, 0, 4, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(w, "phase\toffered\ta second\tin time\tshare\tlate\trefused\tfailed\tp50 ms\tp99 ms\tfetches\tretries\t")
	for _, p := range r.Phases {
		fmt.Fprintf(w, "%s\t%d\t%.0f\t%d\t%.2f%%\t%d\t%d\t%d\t%.1f\t%.1f\t%d\t%d\t\n", p.Name, p.Offered, float64(p.Offered)/max(p.Seconds, 1e-9), p.InTime,
			p.InTimePercent(), p.Late, p.Refused, p.Failed, p.P50, p.P99, p.Fetches, p.Retries)
	}
	w.Flush()
	fmt.Fprintln(w, "proxy\tMB at first\tat the end\tdescriptors at first\tat the end\tgoroutines at first\tat the end\t")
	for i := range min(len(r.FirstFootprints), len(r.LastFootprints)) {
		a, b := r.FirstFootprints[i], r.LastFootprints[i]
		fmt.Fprintf(w, "%d\t%.1f\t%.1f\t%d\t%d\t%d\t%d\t\n", i, a.ResidentMB, b.ResidentMB, a.Descriptors, b.Descriptors, a.Goroutines, b.Goroutines)
	}
	w.Flush()
	fmt.Fprintf(out, "%d restarts, %d reloads; %d effects; origin full %d times; %d connections to a node at most\n", r.Restarts, r.Reloads,
		r.Effects, r.OriginFull, r.MaxConnsPerNode)
	fmt.Fprintf(out, "no breach: the last request came to a draining node %.0f ms after its drain was told; %d requests crossed a close, %d were out at a killed proxy, %d at one that stood still, %d over a cut link, %d connections did not come up, %d answers "+
		"came up to %.0f ms after their deadline, %d requests were not offered; the test itself was %.0f ms late at the most\n",
		r.LastAfterDrainMillis, r.CrossedClose, r.KilledInFlight, r.InFlightAtStopped, r.InFlightAtCutLink, r.FailedDials, r.Overdue, r.MaxOverdueMillis, r.NotOffered, r.MaxLagMillis)
	if r.RestartPermits > 0 {
		fmt.Fprintf(out, "by leave of the fleet %d proxies were down at a time at the most, of %d allowed\n", r.MaxDown, r.RestartPermits)
	}
	if r.WrongAnswers > 0 || r.CollapsedNodes > 0 {
		fmt.Fprintf(out, "besides: %d wrong answers, %d nodes pushed over\n", r.WrongAnswers, r.CollapsedNodes)
	}
	for _, p := range r.Problems {
		fmt.Fprintln(out, "  "+strings.ReplaceAll(p, "\n", " | "))
	}
	fmt.Fprintln(out, r.Verdict())
}
