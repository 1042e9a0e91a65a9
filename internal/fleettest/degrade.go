package fleettest

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"text/tabwriter"
	"time"

	"mulleinpier/internal/overload"
)

// LevelChange is one change of a proxy's degradation level, as the proxy recorded it. At is the time since the start of
// the test, in seconds.
type LevelChange struct {
	At float64 `json:"at_s"`
	overload.Transition
}

// levelChanges returns the level changes that each proxy recorded. A proxy that does not answer has an empty list.
func (f *fleet) levelChanges(start time.Time) (all [][]LevelChange) {
	for _, d := range f.proxies {
		records, err := readLevelChanges(d.address)
		if err != nil {
			f.progress("proxy %d: reading its degradation levels: %v", d.index, err)
		}
		var list []LevelChange
		for _, r := range records {
			list = append(list, LevelChange{At: time.Duration(int64(r.At) - start.UnixNano()).Seconds(), Transition: r})
		}
		all = append(all, list)
	}
	return all
}

var errStats = errors.New("malformed line in the answer to stats")

// readLevelChanges reads from a proxy's statistics the level changes that it has recorded, the oldest first.
func readLevelChanges(address string) (records []overload.Transition, err error) {
	socket, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return nil, err
	}
	defer socket.Close()
	socket.SetDeadline(time.Now().Add(2 * time.Second))
	fmt.Fprint(socket, "stats service\r\n")
	for in := bufio.NewReader(socket); ; {
		line, err := in.ReadString('\n')
		if err != nil {
			return nil, err
		}
		line = strings.TrimRight(line, "\r\n")
		if line == "END" {
			return records, nil
		}
		name, value, ok := strings.Cut(strings.TrimPrefix(line, "STAT "), " ")
		if !ok {
			return nil, errStats
		}
		if strings.HasPrefix(name, "service_change_") {
			var r overload.Transition
			if err := json.Unmarshal([]byte(value), &r); err != nil {
				return nil, err
			}
			records = append([]overload.Transition{r}, records...)
		}
	}
}

// DegradationReport compares scenarios without and with degradation levels, with the same seeds.
type DegradationReport struct {
	Pairs []DegradationPair `json:"pairs"`
}

// DegradationPair is the reports of one scenario, run without and with degradation levels.
type DegradationPair struct {
	WithoutLevels *Report `json:"without"`
	WithLevels    *Report `json:"with"`
}

// DegradationScenarios are the names of the scenarios that are run by default.
var DegradationScenarios = []string{
	"degrade-swing",
	"degrade-origin",
	"degrade-late",
	"degrade-zone",
	"degrade-flood",
	"degrade-two",
}

// RunDegradation runs all scenarios at the same time, and each of them twice in turn: with and without degradation
// levels, in any order. The fleet of such a scenario takes a quarter of a core.
func RunDegradation(ctx context.Context, names []string, o Options) (*DegradationReport, error) {
	report := &DegradationReport{Pairs: make([]DegradationPair, len(names))}
	errs := make([]error, len(names))
	var tasks sync.WaitGroup
	for i, name := range names {
		tasks.Go(func() { errs[i] = report.Pairs[i].run(ctx, name, o) })
	}
	tasks.Wait()
	return report, errors.Join(errs...)
}

func (p *DegradationPair) run(ctx context.Context, name string, o Options) error {
	for levelsOff, into := range map[bool]**Report{true: &p.WithoutLevels, false: &p.WithLevels} {
		s, err := LoadScenario(name)
		if err != nil {
			return err
		}
		s.Fleet.DegradationOff = levelsOff
		runOptions := o
		runOptions.Folder = filepath.Join(o.Folder, fmt.Sprintf("%s-%v", s.Name, !levelsOff))
		if err := os.MkdirAll(runOptions.Folder, 0o755); err != nil {
			return err
		}
		runOptions.Progress = func(format string, a ...any) {
			o.Progress("%s, reduced %v: %s", s.Name, !levelsOff, fmt.Sprintf(format, a...))
		}
		if *into, err = RunScenario(ctx, s, runOptions); err != nil {
			return err
		}
	}
	return nil
}

// OK reports whether all rules held, and every level change has a cause.
func (r *DegradationReport) OK() bool {
	for _, p := range r.Pairs {
		if !p.WithoutLevels.OK() || !p.WithLevels.OK() {
			return false
		}
		for _, changes := range p.WithLevels.LevelChanges {
			for _, c := range changes {
				if c.Cause == "" {
					return false
				}
			}
		}
	}
	return len(r.Pairs) > 0
}

// total sums up the counts of all phases.
func (r *Report) total() (sum PhaseReport) {
	for _, p := range r.Phases {
		sum.Handovers += p.Handovers
		sum.HandoversInTime += p.HandoversInTime
		sum.OfferedWeight += p.OfferedWeight
		sum.ServedWeight += p.ServedWeight
		sum.Offered += p.Offered
		sum.InTime += p.InTime
		sum.Retries += p.Retries
		sum.Fetches += p.Fetches
	}
	return sum
}

// summarizeChanges counts the level changes of all proxies. It returns the worst level, and how many seconds after the
// start of the last phase the last proxy was back at full service; -1 if one was not.
func (r *Report) summarizeChanges() (n int, worst overload.Level, fullAfter float64) {
	lastPhaseStart := 0.0
	for _, p := range r.Phases[:max(len(r.Phases)-1, 0)] {
		lastPhaseStart += p.Seconds
	}
	for _, list := range r.LevelChanges {
		n += len(list)
		for _, c := range list {
			worst = max(worst, c.Level)
		}
		if len(list) == 0 {
			continue
		}
		if last := list[len(list)-1]; last.Level != overload.Full {
			fullAfter = -1
		} else if fullAfter >= 0 {
			fullAfter = max(fullAfter, last.At-lastPhaseStart)
		}
	}
	return n, worst, fullAfter
}

func ratio(a, b float64) float64 { return a / max(b, 1e-9) }

// Print writes the report as tables, its verdict last.
func (r *DegradationReport) Print(out io.Writer) {
	w := tabwriter.NewWriter(out, 0, 4, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(w, "scenario\treduced\thandovers\tin time\tworth\tearned\treads in time\tretries\tfetches\tchanges\t"+
		"worst level\tfull after s\t")
	for _, p := range r.Pairs {
		for _, x := range []struct {
			reduced string
			r       *Report
		}{{"no", p.WithoutLevels}, {"yes", p.WithLevels}} {
			s := x.r.total()
			n, worst, fullAfter := x.r.summarizeChanges()
			fmt.Fprintf(w, "%s\t%s\t%d\t%.4f\t%.0f\t%.4f\t%.4f\t%d\t%d\t%d\t%s\t%.1f\t\n",
				x.r.Scenario, x.reduced, s.Handovers,
				ratio(float64(s.HandoversInTime), float64(s.Handovers)),
				s.OfferedWeight,
				ratio(s.ServedWeight, s.OfferedWeight),
				ratio(float64(s.InTime-s.HandoversInTime), float64(s.Offered-s.Handovers)),
				s.Retries, s.Fetches, n, worst, fullAfter)
		}
	}
	w.Flush()
	fmt.Fprintln(out, "by phase: handovers in time, worth earned, without and with")
	w = tabwriter.NewWriter(out, 0, 4, 2, ' ', tabwriter.AlignRight)
	for _, p := range r.Pairs {
		for i, a := range p.WithoutLevels.Phases {
			b := p.WithLevels.Phases[i]
			fmt.Fprintf(w, "%s\t%s\t%.3f\t%.3f\t%.3f\t%.3f\t\n",
				p.WithLevels.Scenario, a.Name,
				ratio(float64(a.HandoversInTime), float64(a.Handovers)),
				ratio(float64(b.HandoversInTime), float64(b.Handovers)),
				ratio(a.ServedWeight, a.OfferedWeight),
				ratio(b.ServedWeight, b.OfferedWeight))
		}
	}
	w.Flush()
	for _, p := range r.Pairs {
		for i, list := range p.WithLevels.LevelChanges {
			for _, c := range list {
				fmt.Fprintf(out, "  %s proxy %d %6.1f s: %s to %s by %s %.3f (bound %.3f)\n",
					p.WithLevels.Scenario, i, c.At, c.From, c.To, c.Cause, c.Value, c.Threshold)
			}
		}
		for _, x := range []*Report{p.WithoutLevels, p.WithLevels} {
			fmt.Fprintf(out, "%s: %s\n", x.Scenario, x.Verdict())
			if !x.OK() {
				for _, problem := range x.Problems {
					fmt.Fprintln(out, "  "+strings.ReplaceAll(problem, "\n", " | "))
				}
			}
		}
	}
	verdict := "ok"
	if !r.OK() {
		verdict = "BROKEN"
	}
	fmt.Fprintf(out, "verdict: %s scenarios=%d\n", verdict, len(r.Pairs))
}
