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

// This file plays processes that stand still and links that fail, one trouble at a time, and
// lays out what each cost.

// pauseFault is one fault, or several together, at some of the proxies.
type pauseFault struct {
	name     string
	duration time.Duration
	// events are what happens, with times that count from the trouble's beginning.
	events func(proxies []int) []Event
	drift  float64 // of the proxies' clocks
}

// seconds is a scenario's span.
func seconds(s float64) tomlDuration { return tomlDuration(s * float64(time.Second)) }

// stopped is a trouble of proxies that stand still, and of what else happens meanwhile.
func stopped(name string, length float64, more ...Event) pauseFault {
	return pauseFault{name: name, duration: time.Duration(seconds(length)), events: func(proxies []int) []Event {
		return append([]Event{{Action: "stop", Proxies: proxies, Duration: seconds(length)}}, more...)
	}}
}

// linked is a trouble of the proxies' links.
func linked(name, between, kind string, length float64, by time.Duration) pauseFault {
	return pauseFault{name: name, duration: time.Duration(seconds(length)), events: func(proxies []int) []Event {
		return []Event{{Action: "link", Proxies: proxies, LinkTo: between, FaultKind: kind, Duration: seconds(length), Delay: tomlDuration(by)}}
	}}
}

// and is two troubles together.
func (t pauseFault) and(u pauseFault) pauseFault {
	return pauseFault{name: t.name + " + " + u.name, duration: max(t.duration, u.duration), drift: max(t.drift, u.drift), events: func(proxies []int) []Event {
		return append(t.events(proxies), u.events(proxies)...)
	}}
}

// eachProxy has an event befall every one of the proxies.
func eachProxy(t pauseFault, e Event) pauseFault {
	events := t.events
	t.events = func(proxies []int) (list []Event) {
		list = events(proxies)
		for _, p := range proxies {
			e.Proxy = p
			list = append(list, e)
		}
		return list
	}
	return t
}

// The faults that are neither a stop nor a link's.
var (
	bursts = pauseFault{name: "bursts of 50 ms in 60", duration: 10 * time.Second, events: func(proxies []int) []Event {
		return []Event{{Action: "stop", Proxies: proxies, Duration: seconds(0.05), Interval: seconds(0.06), Count: 166}}
	}}
	starved = pauseFault{name: "core withheld", duration: 4 * time.Second, events: func(proxies []int) []Event {
		return []Event{{Action: "starve", Proxies: proxies, Duration: seconds(4), Count: 3}}
	}}
	crowded = pauseFault{name: "backlog full", duration: 3 * time.Second, events: func(proxies []int) []Event {
		return []Event{{Action: "crowd", Proxies: proxies, Duration: seconds(3), Count: 600}}
	}}
	stalled = pauseFault{name: "nodes stopped 3 s", duration: 3 * time.Second, events: func([]int) []Event {
		return []Event{{Action: "fault", Node: 1, FaultKind: "stall"}, {Action: "fault", Node: 2, FaultKind: "stall"}, {At: seconds(3), Action: "fault", Node: 1}, {At: seconds(3), Action: "fault", Node: 2}}
	}}
	killed = pauseFault{name: "killed", duration: time.Second, events: func(proxies []int) (list []Event) {
		for _, p := range proxies {
			list = append(list, Event{Action: "kill", Proxy: p})
		}
		return list
	}}
)

// linkPauseFaults are the faults of links, one a kind.
func linkPauseFaults() []pauseFault {
	return []pauseFault{linked("clients cut 3 s", "clients", "cut", 3, 0), linked("clients' requests held 3 s", "clients", "forth", 3, 0),
		linked("answers to clients held 3 s", "clients", "back", 3, 0), linked("clients reset", "clients", "reset", 1, 0),
		linked("nodes cut 3 s", "nodes", "cut", 3, 0), linked("nodes' answers held 3 s", "nodes", "back", 3, 0),
		linked("nodes 100 ms away", "nodes", "delay", 4, 100*time.Millisecond)}
}

// pauseFaults are what `rehearse still` plays.
func pauseFaults() []pauseFault {
	drifting := stopped("stop 1.6 s, clocks 5% off", 1.6)
	drifting.drift = 0.05
	list := []pauseFault{
		stopped("stop 0.2 s", 0.2), stopped("stop 1 s", 1), stopped("stop 1.6 s", 1.6), stopped("stop 3 s", 3), stopped("stop 6 s", 6),
		stopped("stop 30 s", 30), bursts, starved, crowded, stalled, killed, drifting,
		stopped("stop 3 s, drain meanwhile", 3, Event{At: seconds(1), Action: "drain", Node: 3}),
		stopped("stop 3 s, node replaced", 3, Event{At: seconds(1), Action: "cold", Node: 4}),
		stopped("stop 3 s, node gone", 3, Event{At: seconds(1), Action: "remove", Node: 5}),
		stopped("stop 3 s, another at a node's address", 3, Event{At: seconds(1), Action: "rename", Node: 6}),
		eachProxy(stopped("stop 3 s, SIGTERM waiting", 3), Event{At: seconds(1), Action: "restart", Mode: "gap"}),
		eachProxy(stopped("stop 3 s, SIGHUP waiting", 3), Event{At: seconds(1), Action: "hangup", ConfigVariant: "same", Count: 3, Interval: seconds(0.2)}),
		eachProxy(linked("clients stopped 3 s, SIGTERM meanwhile", "clients", "cut", 3, 0), Event{At: seconds(1), Action: "restart", Mode: "gap"}),
	}
	list = append(list, linkPauseFaults()...)
	return append(list,
		linked("list answers held 6 s", "list", "back", 6, 0).and(stopped("stop 1 s, drain meanwhile", 1, Event{At: seconds(0.5), Action: "drain", Node: 3})),
		stopped("stop 3 s", 3).and(crowded), stopped("stop 3 s", 3).and(stalled), stopped("stop 1.6 s", 1.6).and(linked("nodes cut 3 s", "nodes", "cut", 3, 0)),
		stopped("stop 3 s", 3).and(linked("list answers held 6 s", "list", "back", 6, 0)))
}

// pauseFaultPairs are all pairs of faults, each at the same proxies at the same time.
func pauseFaultPairs() (list []pauseFault) {
	alone := append([]pauseFault{stopped("stop 1.6 s", 1.6), starved, crowded, stalled, killed}, linkPauseFaults()...)
	alone = append(alone, linked("list answers held 3 s", "list", "back", 3, 0))
	for i, t := range alone {
		for _, u := range alone[i+1:] {
			switch {
			case t.name == killed.name && u.name != stalled.name: // who is dead has no links
			case u.name == killed.name && t.name != stalled.name:
			case linkOf(t) != "" && linkOf(t) == linkOf(u): // a link has one fault at a time
			default:
				list = append(list, t.and(u))
			}
		}
	}
	return list
}

// linkOf tells which links a trouble is about, "" for none.
func linkOf(t pauseFault) string {
	e := t.events([]int{0})
	return e[0].LinkTo
}

// PauseOptions say what to play.
type PauseOptions struct {
	Options
	ProxyCounts []int  // at how many proxies each trouble is played; three if left out
	OnlyFault   string // troubles whose names hold it
	Seed        uint64
	// AllPairs has all pairs of faults be played in place of the usual troubles; Beside, how many plays run at a time.
	AllPairs bool
	Parallel int
}

// pauseProxies is how many proxies there are.
const pauseProxies = 12

// calmBefore and calmAfter are what a trouble has round it.
const (
	calmBefore = 3 * time.Second
	calmAfter  = 6 * time.Second
)

// scenario is a trouble at so many proxies.
func (t pauseFault) scenario(at int, seed uint64) (*Scenario, error) {
	s, err := LoadScenario("still")
	if err != nil {
		return nil, err
	}
	s.Name, s.Description, s.Seed = t.name, fmt.Sprintf("%s at %d of %d proxies", t.name, at, pauseProxies), seed
	s.Load.Rate, s.Load.HandoverShare = 600, 0.3
	s.Fleet.Proxies, s.Fleet.ClockDrift = pauseProxies, t.drift
	s.Phases = []Phase{{Name: "calm", Duration: tomlDuration(calmBefore)}, {Name: "trouble", Duration: tomlDuration(t.duration)}, {Name: "after", Duration: tomlDuration(calmAfter)}}
	proxies := make([]int, at)
	for i := range proxies {
		proxies[i] = i * pauseProxies / at
	}
	s.Events = nil
	for _, e := range t.events(proxies) {
		e.At += tomlDuration(calmBefore)
		s.Events = append(s.Events, e)
	}
	return s, s.check()
}

// PauseRow is what one trouble cost.
type PauseRow struct {
	Fault           string  `json:"trouble"`
	Proxies         int     `json:"proxies"`
	InTimePercent   float64 `json:"in_time_percent"` // from the trouble's beginning on
	RecoverySeconds float64 `json:"back_s"`          // from the trouble's end until all is as before
	Report          *Report `json:"report"`
}

// PauseReport is of all troubles.
type PauseReport struct {
	Rows        []PauseRow `json:"rows"`
	VerdictLine string     `json:"verdict"`
}

// RunPauses plays all troubles.
func RunPauses(ctx context.Context, o PauseOptions) (*PauseReport, error) {
	if len(o.ProxyCounts) == 0 {
		o.ProxyCounts = []int{3}
	}
	troubles := pauseFaults()
	if o.AllPairs {
		troubles = pauseFaultPairs()
	}
	r := &PauseReport{}
	type play struct {
		scenario *Scenario
		end      time.Duration // of the trouble
	}
	var todo []play
	for _, t := range troubles {
		if !strings.Contains(t.name, o.OnlyFault) {
			continue
		}
		for _, at := range o.ProxyCounts {
			s, err := t.scenario(at, max(o.Seed, 1))
			if err != nil {
				return nil, err
			}
			todo, r.Rows = append(todo, play{s, calmBefore + t.duration}), append(r.Rows, PauseRow{Fault: t.name, Proxies: at})
		}
	}
	errs := make([]error, len(todo))
	next := make(chan int)
	var tasks sync.WaitGroup
	for range max(o.Parallel, 1) {
		tasks.Go(func() {
			for i := range next {
				o := o.Options
				o.Folder = filepath.Join(o.Folder, fmt.Sprint("still-", i))
				errs[i] = r.Rows[i].play(ctx, todo[i].scenario, todo[i].end, o)
			}
		})
	}
	for i := range todo {
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

// play plays one trouble, which is over after a time, and fills its row.
func (row *PauseRow) play(ctx context.Context, s *Scenario, end time.Duration, o Options) error {
	if ctx.Err() != nil {
		return nil // told once
	}
	if err := os.MkdirAll(o.Folder, 0o755); err != nil {
		return err
	}
	report, err := RunScenario(ctx, s, o)
	if err != nil {
		return fmt.Errorf("%s: %w", row.Fault, err)
	}
	row.InTimePercent, row.RecoverySeconds, row.Report = inTimeShare(report.Phases[1:]), report.backAfter(end), report
	return nil
}

func inTimeShare(phases []PhaseReport) float64 {
	all := PhaseReport{}
	for _, p := range phases {
		all.Offered, all.InTime = all.Offered+p.Offered, all.InTime+p.InTime
	}
	return all.InTimePercent()
}

// backAfter is how long after a time the share in time was last under 98 per cent in a
// stretch of the course.
func (r *Report) backAfter(end time.Duration) (back float64) {
	for i, c := range r.Timeline {
		from := time.Duration(i) * timelineTick
		if c.Offered > 0 && from >= end && float64(c.InTime) < 0.98*float64(c.Offered) {
			back = (from + timelineTick - end).Seconds()
		}
	}
	return back
}

// sum adds up a figure of all reports.
func (r *PauseReport) sum(of func(*Report) int) (n int) {
	for _, row := range r.Rows {
		n += of(row.Report)
	}
	return n
}

// OK tells whether all rules held in all troubles.
func (r *PauseReport) OK() bool {
	return len(r.Rows) > 0 && r.sum(func(r *Report) int {
		if r.OK() {
			return 0
		}
		return 1
	}) == 0
}

// Verdict is the closing line.
func (r *PauseReport) Verdict() string {
	word := "ok"
	if !r.OK() {
		word = "BROKEN"
	}
	return fmt.Sprintf("verdict: %s requests=%d lost=%d doubled=%d late_drains=%d crashes=%d stopped=%d", word,
		r.sum(func(r *Report) int { return r.Requests }), r.sum(func(r *Report) int { return r.Lost }),
		r.sum(func(r *Report) int { return r.DuplicateWrites }), r.sum(func(r *Report) int { return r.LateDrains }),
		r.sum(func(r *Report) int { return r.Crashes }), r.sum(func(r *Report) int { return r.InFlightAtStopped }))
}

// Print writes the table, its verdict last.
func (r *PauseReport) Print(out io.Writer) {
	w := tabwriter.NewWriter(out, 0, 4, 2, ' ', 0)
	fmt.Fprintln(w, "trouble\tproxies\tin time\tlost\tstopped\tsevered\tdoubled\tlate drains\trefused\tunknown\tback after s")
	for _, row := range r.Rows {
		p := row.Report
		refused, failed := 0, 0
		for _, x := range p.Phases[1:] {
			refused, failed = refused+x.Refused, failed+x.Failed
		}
		fmt.Fprintf(w, "%s\t%d\t%.2f%%\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%.2f\n", row.Fault, row.Proxies, row.InTimePercent, p.Lost, p.InFlightAtStopped, p.InFlightAtCutLink, p.DuplicateWrites,
			p.LateDrains, refused, failed, row.RecoverySeconds)
	}
	w.Flush()
	for _, row := range r.Rows {
		for i, p := range row.Report.Problems {
			if i < 5 {
				fmt.Fprintf(out, "  %s at %d: %s\n", row.Fault, row.Proxies, strings.ReplaceAll(p, "\n", " | "))
			}
		}
	}
	fmt.Fprintln(out, r.Verdict())
}
