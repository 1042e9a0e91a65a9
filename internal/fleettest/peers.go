package fleettest

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"regexp"
	"syscall"
	"text/tabwriter"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"mulleinpier/internal/fleettest/faultinject"
	"mulleinpier/internal/lease/agent"
)

// This file plays the members of a fleet: some of them end, are stopped or cut off, and the logs of the others show
// when that was detected. It also measures what membership costs without events.

// PeersOptions say what to play.
type PeersOptions struct {
	Options
	Instances   int
	Repetitions int // of each trouble; 0 for rest alone
}

// PeersReport is the result of a peers test.
type PeersReport struct {
	Instances      int                  `json:"instances"`
	DetectionTimes []PeersDetectionTime `json:"known"`
	IdleCosts      []PeersIdleCost      `json:"rest"`
	FalseDeaths    int                  `json:"false"`  // deaths of those that lived
	MissedDeaths   int                  `json:"missed"` // deaths that some never told
	Problems       []string             `json:"problems"`
}

// PeersDetectionTime is how long after a fault the other members detected it.
type PeersDetectionTime struct {
	Fault string  `json:"trouble"`
	Count int64   `json:"times"` // troubles by those who are to know
	P50   float64 `json:"p50_ms"`
	P99   float64 `json:"p99_ms"`
	Max   float64 `json:"most_ms"`
}

// PeersIdleCost is what a process uses in a second without events.
type PeersIdleCost struct {
	Process    string  `json:"who"`
	CPUMillis  float64 `json:"cpu_ms"`
	ResidentMB float64 `json:"mb"`
	Messages   float64 `json:"messages"` // of the process; known of voters
	Bytes      float64 `json:"bytes"`
	DiskSyncs  float64 `json:"saves"` // syncs of the disk
}

// OK reports whether no live member was reported dead, and every death was detected.
func (r *PeersReport) OK() bool { return r.FalseDeaths+r.MissedDeaths+len(r.Problems) == 0 }

// Print writes the report, its verdict last.
func (r *PeersReport) Print(out io.Writer) {
	w := tabwriter.NewWriter(out, 0, 4, 2, ' ', 0)
	if len(r.DetectionTimes) > 0 {
		fmt.Fprintln(w, "known to each of the others after\ttimes\tp50 ms\tp99 ms\tmost ms")
		for _, x := range r.DetectionTimes {
			fmt.Fprintf(w, "%s\t%d\t%.0f\t%.0f\t%.0f\n", x.Fault, x.Count, x.P50, x.P99, x.Max)
		}
		w.Flush()
	}
	fmt.Fprintf(w, "at rest, a second, of %d instances\tCPU ms\tMB\tmessages\tbytes of bodies\tsyncs\n", r.Instances)
	for _, x := range r.IdleCosts {
		fmt.Fprintf(w, "%s\t%.1f\t%.1f\t%.0f\t%.0f\t%.2f\n",
			x.Process, x.CPUMillis, x.ResidentMB, x.Messages, x.Bytes, x.DiskSyncs)
	}
	w.Flush()
	for _, p := range r.Problems {
		fmt.Fprintln(out, "  "+p)
	}
	word := "ok"
	if !r.OK() {
		word = "BROKEN"
	}
	fmt.Fprintf(out, "verdict: %s instances=%d false=%d missed=%d\n", word, r.Instances, r.FalseDeaths, r.MissedDeaths)
}

// peersTest is a test in progress.
type peersTest struct {
	o      PeersOptions
	fleet  *fleet
	links  [][]*faultinject.Link // from an instance to the voters
	report *PeersReport
}

// restTime is how long idling is measured.
const restTime = 8 * time.Second

// RunPeers plays the members of a fleet.
func RunPeers(ctx context.Context, o PeersOptions) (*PeersReport, error) {
	s, err := leaseScenario(time.Minute, 1)
	if err != nil {
		return nil, err
	}
	s.Fleet.Proxies = o.Instances
	s.Fleet.Nodes = 2
	if err := s.check(); err != nil {
		return nil, err
	}
	p := &peersTest{o: o, links: make([][]*faultinject.Link, o.Instances), report: &PeersReport{Instances: o.Instances}}
	defer p.close()
	quiet := func(string, ...any) {}
	p.fleet, err = startFleetWithVoterView(s, o.ProxyCommand, o.Folder, quiet, p.openLinks)
	if err != nil {
		return nil, err
	}
	defer p.fleet.close()
	sleep(ctx, 2*time.Second)
	if err := p.rest(ctx); err != nil {
		return nil, err
	}
	if o.Repetitions > 0 {
		p.play(ctx)
	}
	p.fleet.stop()
	p.report.Problems = append(p.report.Problems, p.fleet.problems...)
	return p.report, ctx.Err()
}

// openLinks puts links between instances and voters, where troubles are to be played.
func (p *peersTest) openLinks(voters []agent.VoterAddress) (voterView, error) {
	found := make([][]agent.VoterAddress, p.o.Instances)
	for i := range found {
		for at, v := range voters {
			if p.o.Repetitions > 0 && at != i {
				link, err := faultinject.NewLink(linkHost, v.Address)
				if err != nil {
					return nil, err
				}
				p.links[i] = append(p.links[i], link)
				v.Address = link.Address()
			}
			found[i] = append(found[i], v)
		}
	}
	return func(i int) []agent.VoterAddress { return found[i] }, nil
}

func (p *peersTest) close() {
	for _, list := range p.links {
		for _, l := range list {
			l.Close()
		}
	}
}

// rest measures instances while nothing happens.
func (p *peersTest) rest(ctx context.Context) error {
	c, err := agent.NewClient(p.fleet.voters)
	if err != nil {
		return err
	}
	defer c.Close()
	traffic := func() (messages, bytes, saves float64) {
		for _, s := range c.VoterStates(ctx) {
			messages += float64(s.Traffic.Messages)
			bytes += float64(s.Traffic.Bytes)
			saves += float64(s.DiskSyncs)
		}
		return messages, bytes, saves
	}
	cpu := make([]time.Duration, p.o.Instances)
	for i, d := range p.fleet.proxies {
		if cpu[i], err = cpuTime(d.currentProcess().cmd.Process.Pid); err != nil {
			return err
		}
	}
	messages, bytes, saves := traffic()
	sleep(ctx, restTime)
	messagesNow, bytesNow, savesNow := traffic()
	var voters, others PeersIdleCost
	voters.Process, others.Process = "a voter", "one that does not vote"
	for i, d := range p.fleet.proxies {
		into, of := &voters, float64(permitVoters)
		if i >= permitVoters {
			into, of = &others, float64(p.o.Instances-permitVoters)
		}
		pid := d.currentProcess().cmd.Process.Pid
		mb, _ := footprintOf(pid)
		now, err := cpuTime(pid)
		if err != nil {
			return err
		}
		into.CPUMillis += millis(now-cpu[i]) / restTime.Seconds() / of
		into.ResidentMB += mb / of
	}
	voters.Messages = (messagesNow - messages) / restTime.Seconds() / permitVoters
	voters.Bytes = (bytesNow - bytes) / restTime.Seconds() / permitVoters
	voters.DiskSyncs = (savesNow - saves) / restTime.Seconds() / permitVoters
	p.report.IdleCosts = append(p.report.IdleCosts, voters)
	if p.o.Instances > permitVoters {
		p.report.IdleCosts = append(p.report.IdleCosts, others)
	}
	return nil
}

// peersFault is a fault of one instance, and whether the others have to notice its death.
type peersFault struct {
	name   string
	death  bool
	inject func(d *proxyInstance) error
}

// faults returns the faults to inject, in turn.
func (p *peersTest) faults(ctx context.Context) []peersFault {
	return []peersFault{
		{"kill -9", true, func(d *proxyInstance) error {
			d.currentProcess().end(syscall.SIGKILL)
			sleep(ctx, time.Second)
			return d.start()
		}},
		{"stop of 300 ms", false, func(d *proxyInstance) error {
			return d.stopBySchedule(ctx, faultinject.StopSchedule{Duration: 300 * time.Millisecond})
		}},
		{"stop of 2 s", true, func(d *proxyInstance) error {
			return d.stopBySchedule(ctx, faultinject.StopSchedule{Duration: 2 * time.Second})
		}},
		{"cut off for 2 s", true, func(d *proxyInstance) error { return p.cut(ctx, d.index, "cut") }},
		{"answers held for 2 s", true, func(d *proxyInstance) error { return p.cut(ctx, d.index, "back") }},
		{"connections reset", false, func(d *proxyInstance) error {
			for _, l := range p.links[d.index] {
				l.Reset()
			}
			return nil
		}},
	}
}

// play injects faults into instances that do not vote, in turn, and reads what the others logged.
func (p *peersTest) play(ctx context.Context) {
	for _, fault := range p.faults(ctx) {
		known := hdrhistogram.New(1, int64(time.Minute/time.Millisecond), 3)
		for i := range p.o.Repetitions {
			if ctx.Err() != nil {
				return
			}
			victim := permitVoters + i%(p.o.Instances-permitVoters)
			from := time.Now()
			if err := fault.inject(p.fleet.proxies[victim]); err != nil {
				p.report.Problems = append(p.report.Problems, fmt.Sprintf("%s: %v", fault.name, err))
				return
			}
			sleep(ctx, time.Second)
			for other := range p.fleet.proxies {
				if other == victim {
					continue
				}
				at := p.gone(other, fmt.Sprint("p", victim), from)
				switch {
				case at.IsZero() && fault.death:
					p.report.MissedDeaths++
				case !at.IsZero() && !fault.death:
					p.report.FalseDeaths++
				case !at.IsZero():
					known.RecordValue(max(at.Sub(from).Milliseconds(), 1))
				}
			}
		}
		if fault.death {
			p.report.DetectionTimes = append(p.report.DetectionTimes, PeersDetectionTime{
				fault.name,
				known.TotalCount(),
				float64(known.ValueAtQuantile(50)),
				float64(known.ValueAtQuantile(99)),
				float64(known.Max()),
			})
		}
	}
}

// cut has an instance's ways to the voters fail for a while.
func (p *peersTest) cut(ctx context.Context, i int, kind string) error {
	var errs []error
	for _, l := range p.links[i] {
		errs = append(errs, l.SetFault(faultinject.LinkFaults[kind](0)))
	}
	sleep(ctx, 2*time.Second)
	for _, l := range p.links[i] {
		errs = append(errs, l.SetFault(faultinject.Fault{}))
	}
	return errors.Join(errs...)
}

var memberLine = regexp.MustCompile(`(?m)^time=(\S+) .*msg="member state changed" proxy=\S+ member=(\S+) state=gone `)

// gone is when an instance logged that another was gone, after a time; zero for never.
func (p *peersTest) gone(at int, name string, from time.Time) time.Time {
	text, err := os.ReadFile(p.fleet.proxies[at].currentProcess().logPath)
	if err != nil {
		return time.Time{}
	}
	for _, m := range memberLine.FindAllStringSubmatch(string(text), -1) {
		t, err := time.Parse(time.RFC3339Nano, m[1])
		if err == nil && m[2] == name && !t.Before(from.Truncate(time.Millisecond)) {
			return t
		}
	}
	return time.Time{}
}
