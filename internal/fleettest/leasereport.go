package fleettest

import (
	"fmt"
	"io"
	"text/tabwriter"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// LeaseGap summarizes the times without an action on a task after faults or releases of one kind.
type LeaseGap struct {
	Cause string  `json:"after"`
	Count int64   `json:"times"`
	P50   float64 `json:"p50_ms"`
	P90   float64 `json:"p90_ms"`
	P99   float64 `json:"p99_ms"`
	Max   float64 `json:"most_ms"`
}

// LeaseReport is the result of RunLease.
type LeaseReport struct {
	Seconds          float64    `json:"seconds"`
	Actions          int        `json:"acts"`     // completed and accepted by the resource
	HighestToken     uint64     `json:"numbers"`  // highest fencing token
	Overlaps         int        `json:"overlaps"` // pairs of actions under different tokens at the same time
	TokenRegressions int        `json:"backward"` // committed actions under a lower token than the one before
	RejectedByToken  int        `json:"refused"`  // messages that the resource rejected for their old tokens
	ConcurrentStarts int        `json:"beside"`   // actions that began while another was in progress
	Faults           int        `json:"faults"`
	Crashes          int        `json:"crashes"`
	Requests         int        `json:"requests"` // of clients, at the voters
	Lost             int        `json:"lost"`
	DuplicateWrites  int        `json:"doubled"`
	Gaps             []LeaseGap `json:"waits"`
	Problems         []string   `json:"problems"`
	VerdictLine      string     `json:"verdict"` // the last line of the printed report
}

// OK reports whether all rules held, and there were both actions and requests.
func (r *LeaseReport) OK() bool {
	broken := r.Overlaps + r.TokenRegressions + r.Lost + r.DuplicateWrites + r.Crashes
	return broken == 0 && r.Actions > 0 && r.Requests > 0
}

// Verdict is the last line of the printed report.
func (r *LeaseReport) Verdict() string {
	return fmt.Sprintf("verdict: %s acts=%d overlaps=%d backward=%d lost=%d doubled=%d crashes=%d",
		verdictWord(r), r.Actions, r.Overlaps, r.TokenRegressions, r.Lost, r.DuplicateWrites, r.Crashes)
}

// Print writes the report, its verdict last.
func (r *LeaseReport) Print(out io.Writer) {
	printGaps(out, r.Gaps)
	fmt.Fprintf(out, "%d requests at the voters meanwhile\n", r.Requests)
	fmt.Fprintf(out, "%d faults in %.0f s, tokens up to %d; %d actions began beside one that a stop or a cut had left "+
		"open, %d messages were rejected for their tokens\n",
		r.Faults, r.Seconds, r.HighestToken, r.ConcurrentStarts, r.RejectedByToken)
	for _, p := range r.Problems {
		fmt.Fprintln(out, "  "+p)
	}
	fmt.Fprintln(out, r.Verdict())
}

// fill fills in the report after the test. served is what the clients saw.
func (t *leaseTest) fill(served *Report) *LeaseReport {
	c, r := t.checker, t.report
	c.mu.Lock()
	defer c.mu.Unlock()
	r.Actions = len(c.committed)
	r.HighestToken = c.highestToken
	r.Overlaps = c.countOverlaps()
	r.TokenRegressions = c.tokenRegressions
	r.RejectedByToken = c.rejected
	r.ConcurrentStarts = c.concurrentStarts
	r.Requests = served.Requests
	r.Lost = served.Lost
	r.DuplicateWrites = served.DuplicateWrites
	r.Crashes += served.Crashes + served.LateDrains + served.WrongAnswers
	r.Problems = append(r.Problems, served.Problems...)
	for _, cause := range []string{causeReleased, causeKilled, causeStopped, causeLinkCut} {
		if h := c.gaps[cause]; h != nil {
			r.Gaps = append(r.Gaps, gapOf(cause, h))
		}
	}
	r.VerdictLine = r.Verdict()
	return r
}

// gapOf summarises a histogram of microseconds in milliseconds.
func gapOf(cause string, h *hdrhistogram.Histogram) LeaseGap {
	millis := func(micros int64) float64 { return float64(micros) / 1000 }
	return LeaseGap{
		Cause: cause,
		Count: h.TotalCount(),
		P50:   millis(h.ValueAtQuantile(50)),
		P90:   millis(h.ValueAtQuantile(90)),
		P99:   millis(h.ValueAtQuantile(99)),
		Max:   millis(h.Max()),
	}
}

func printGaps(out io.Writer, gaps []LeaseGap) {
	w := tabwriter.NewWriter(out, 0, 4, 2, ' ', 0)
	fmt.Fprintln(w, "without an action after\ttimes\tp50 ms\tp90 ms\tp99 ms\tmost ms")
	for _, g := range gaps {
		fmt.Fprintf(w, "%s\t%d\t%.1f\t%.1f\t%.1f\t%.1f\n", g.Cause, g.Count, g.P50, g.P90, g.P99, g.Max)
	}
	w.Flush()
}
