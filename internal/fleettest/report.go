package fleettest

import (
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
	"time"

	"mulleinpier/internal/fake/origin"
)

// Report is the result of running a scenario.
type Report struct {
	Scenario        string             `json:"scenario"`
	Description     string             `json:"about"`
	Proxies         int                `json:"proxies"`
	Nodes           int                `json:"nodes"`
	Phases          []PhaseReport      `json:"phases"`
	Timeline        []TimelineInterval `json:"course"` // intervals of 250 ms
	FirstFootprints []Footprint        `json:"start"`  // by proxy, at the end of the first phase
	LastFootprints  []Footprint        `json:"end"`    // by proxy
	LevelChanges    [][]LevelChange    `json:"levels"` // of degradation, by proxy
	Restarts        int                `json:"restarts"`
	Reloads         int                `json:"reloads"`

	RestartPermits int `json:"permits,omitempty"`   // number of proxies that may be down at the same time
	MaxDown        int `json:"most_down,omitempty"` // highest number of proxies that were down at the same time

	Requests             int      `json:"requests"` // attempts sent
	Lost                 int      `json:"lost"`
	DuplicateWrites      int      `json:"doubled"`
	LateDrains           int      `json:"late_drains"` // requests that reached a draining node later than drainGrace
	Crashes              int      `json:"crashes"`
	WrongAnswers         int      `json:"wrong"`
	CollapsedNodes       int      `json:"fallen"` // nodes that were overloaded while cold
	LateDrainMillis      float64  `json:"late_drains_by_ms"`
	LastAfterDrainMillis float64  `json:"last_at_a_drained_node_ms"`
	CrossedClose         int      `json:"crossed"` // attempts sent just as the proxy closed the idle connection
	KilledInFlight       int      `json:"excused"` // attempts in flight at a proxy that was killed
	ProcessesStopped     bool     `json:"stops"`   // the scenario has stop events
	InFlightAtStopped    int      `json:"stopped"` // attempts in flight at a stopped process at their deadlines
	UnknownOutcomes      int      `json:"unsure"`  // handovers whose clients never learned the outcome
	InFlightAtCutLink    int      `json:"severed"` // attempts in flight over a cut link
	Overdue              int      `json:"overdue"` // attempts answered after their deadlines, but within the tolerance
	MaxOverdueMillis     float64  `json:"overdue_by_ms"`
	MaxLagMillis         float64  `json:"lag_ms"` // longest wake-up delay of the test process itself
	FailedDials          int      `json:"unopened"`
	NotOffered           int      `json:"not_offered"` // requests not sent because maxInFlight were in flight
	Effects              int      `json:"effects"`     // distinct writes at the origin
	OriginFull           int      `json:"origin_full"`
	MaxConnsPerNode      int      `json:"most_connections_of_a_node"`
	Problems             []string `json:"problems"`
	VerdictLine          string   `json:"verdict"` // the last line of the printed report
}

// PhaseReport counts the requests that started in one phase, by result: in time, late, refused or failed. Latencies are
// those of served requests.
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
	Fetches int     `json:"fetches"` // by nodes at the origin
	Retries int     `json:"retries"`

	Handovers       int `json:"handovers"`
	HandoversInTime int `json:"handovers_in_time"`

	OfferedWeight float64 `json:"worth"`  // sum of the requests' weights
	ServedWeight  float64 `json:"earned"` // sum of the weights of served requests; late ones count less
}

// InTimePercent returns the percentage of the offered requests that were answered in time.
func (p *PhaseReport) InTimePercent() float64 {
	return 100 * float64(p.InTime) / float64(max(p.Offered, 1))
}

// maxDuplicateSamples limits the number of duplicate writes that a report describes.
const maxDuplicateSamples = 20

// fill fills in the counts and the verdict after a test. fetches are the origin's counts at the phase boundaries.
func (r *Report) fill(f *fleet, t *recorder, fetches []int) {
	r.fillRequests(t, fetches)
	stats := f.origin.Stats()
	r.DuplicateWrites = stats.Duplicates
	r.Effects = stats.Effects
	r.OriginFull = stats.QueueFull
	for _, n := range f.nodes {
		s := n.Stats()
		r.MaxConnsPerNode = max(r.MaxConnsPerNode, s.MaxConns)
		if s.Collapsed {
			r.CollapsedNodes++
			f.addProblem("node %s collapsed while cold", n.Name())
		}
	}
	for _, p := range f.proxies {
		r.Restarts += p.restarts
		r.Reloads += p.reloads
	}
	r.RestartPermits = f.scenario.Fleet.RestartPermits
	r.MaxDown = f.maxDown()
	f.mu.Lock()
	defer f.mu.Unlock()
	r.LateDrains = f.lateDrains
	r.LateDrainMillis = millis(f.maxLateDrain)
	r.LastAfterDrainMillis = millis(f.lastAfterDrain)
	r.Crashes = f.crashes
	r.Problems = append(r.Problems, f.problems...)
	for i, e := range f.origin.DuplicateEffects() {
		if i < maxDuplicateSamples {
			r.Problems = append(r.Problems, describeDuplicate(&e))
		}
	}
	r.VerdictLine = r.Verdict()
}

// fillRequests fills in the counts that the clients recorded.
func (r *Report) fillRequests(t *recorder, fetches []int) {
	phases, events := t.phaseReports()
	for i := range phases {
		phases[i].Fetches = fetches[i+1] - fetches[i]
	}
	r.Phases = phases
	r.Timeline = t.timeline
	r.Requests = events.requests
	r.Lost = events.lost
	r.WrongAnswers = events.wrongAnswers
	r.CrossedClose = events.crossedClose
	r.KilledInFlight = events.atKilledProxy
	r.InFlightAtStopped = events.atStoppedProxy
	r.InFlightAtCutLink = events.atCutLink
	r.UnknownOutcomes = events.unknownOutcomes
	r.Overdue = events.overdue
	r.MaxOverdueMillis = millis(events.maxOverdue)
	r.MaxLagMillis = millis(t.maxLag)
	r.FailedDials = t.failedDials
	r.NotOffered = t.notOfferedCount
	r.Problems = append(r.Problems, events.samples...)
}

func millis(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

// OK reports whether all rules held.
func (r *Report) OK() bool {
	broken := r.Lost + r.DuplicateWrites + r.LateDrains + r.Crashes + r.WrongAnswers + r.CollapsedNodes
	return broken == 0 && r.MaxDown <= r.RestartPermits
}

// verdictWord returns the word in verdict lines that says whether the rules held.
func verdictWord(r interface{ OK() bool }) string {
	if r.OK() {
		return "ok"
	}
	return "BROKEN"
}

// Verdict returns the last line of the printed report, which scripts read.
func (r *Report) Verdict() string {
	line := fmt.Sprintf("verdict: %s requests=%d lost=%d doubled=%d late_drains=%d crashes=%d",
		verdictWord(r), r.Requests, r.Lost, r.DuplicateWrites, r.LateDrains, r.Crashes)
	if r.ProcessesStopped {
		line += fmt.Sprintf(" stopped=%d", r.InFlightAtStopped)
	}
	return line
}

// Print writes the report as tables, its verdict last.
func (r *Report) Print(out io.Writer) {
	fmt.Fprintf(out, "%s: %s (%d proxies, %d nodes)\n", r.Scenario, r.Description, r.Proxies, r.Nodes)
	r.printPhases(out)
	r.printFootprints(out)
	fmt.Fprintf(out, "%d restarts, %d reloads; %d effects; origin full %d times; %d connections to a node at most\n",
		r.Restarts, r.Reloads, r.Effects, r.OriginFull, r.MaxConnsPerNode)
	fmt.Fprintf(out, "no breach: the last request came to a draining node %.0f ms after its drain was notified; ",
		r.LastAfterDrainMillis)
	fmt.Fprintf(out, "%d requests crossed a close, %d were in flight at a killed proxy, %d at a stopped one, "+
		"%d over a cut link, %d connections did not come up, ",
		r.CrossedClose, r.KilledInFlight, r.InFlightAtStopped, r.InFlightAtCutLink, r.FailedDials)
	fmt.Fprintf(out, "%d answers came up to %.0f ms after their deadline, %d requests were not offered; "+
		"the test itself was %.0f ms late at most\n",
		r.Overdue, r.MaxOverdueMillis, r.NotOffered, r.MaxLagMillis)
	if r.RestartPermits > 0 {
		fmt.Fprintf(out, "by permits of the fleet %d proxies were down at a time at most, of %d allowed\n",
			r.MaxDown, r.RestartPermits)
	}
	if r.WrongAnswers > 0 || r.CollapsedNodes > 0 {
		fmt.Fprintf(out, "besides: %d wrong answers, %d nodes collapsed\n", r.WrongAnswers, r.CollapsedNodes)
	}
	for _, p := range r.Problems {
		fmt.Fprintln(out, "  "+strings.ReplaceAll(p, "\n", " | "))
	}
	fmt.Fprintln(out, r.Verdict())
}

func (r *Report) printPhases(out io.Writer) {
	w := tabwriter.NewWriter(out, 0, 4, 2, ' ', tabwriter.AlignRight)
	fmt.Fprint(w, "phase\toffered\ta second\tin time\tshare\t")
	fmt.Fprintln(w, "late\trefused\tfailed\tp50 ms\tp99 ms\tfetches\tretries\t")
	for _, p := range r.Phases {
		fmt.Fprintf(w, "%s\t%d\t%.0f\t%d\t%.2f%%\t%d\t%d\t%d\t%.1f\t%.1f\t%d\t%d\t\n",
			p.Name, p.Offered, float64(p.Offered)/max(p.Seconds, 1e-9), p.InTime, p.InTimePercent(),
			p.Late, p.Refused, p.Failed, p.P50, p.P99, p.Fetches, p.Retries)
	}
	w.Flush()
}

func (r *Report) printFootprints(out io.Writer) {
	w := tabwriter.NewWriter(out, 0, 4, 2, ' ', tabwriter.AlignRight)
	fmt.Fprint(w, "proxy\tMB at first\tat the end\tdescriptors at first\tat the end\t")
	fmt.Fprintln(w, "goroutines at first\tat the end\t")
	for i := range min(len(r.FirstFootprints), len(r.LastFootprints)) {
		a, b := r.FirstFootprints[i], r.LastFootprints[i]
		fmt.Fprintf(w, "%d\t%.1f\t%.1f\t%d\t%d\t%d\t%d\t\n",
			i, a.ResidentMB, b.ResidentMB, a.Descriptors, b.Descriptors, a.Goroutines, b.Goroutines)
	}
	w.Flush()
}

func describeDuplicate(e *origin.Effect) string {
	return fmt.Sprintf("handover %s of %s was carried out again %v after the first time",
		e.Key, e.Record, e.Last.Sub(e.First).Round(time.Millisecond))
}
