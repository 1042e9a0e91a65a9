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

	"mulleinpier/internal/delay"
	"mulleinpier/internal/fleettest/faultinject"
	"mulleinpier/internal/lease/agent"
)

// This file tests the membership of a fleet: members are killed, stopped or cut off, and the logs of the others show
// when they detected it. It also measures what membership costs without such events.

// PeersOptions configures RunPeers.
type PeersOptions struct {
	Options
	Instances   int // at least four; the first three vote
	Repetitions int // of each fault; 0 to measure only the cost without events
}

// PeersReport is the result of RunPeers.
type PeersReport struct {
	Instances      int                  `json:"instances"`
	DetectionTimes []PeersDetectionTime `json:"known"`
	IdleCosts      []PeersIdleCost      `json:"rest"`
	FalseDeaths    int                  `json:"false"`  // times that a member logged a live member as gone
	MissedDeaths   int                  `json:"missed"` // times that a member did not log a death
	Problems       []string             `json:"problems"`
}

// PeersDetectionTime summarizes the times from a fault until the other members logged that the victim was gone.
type PeersDetectionTime struct {
	Fault string  `json:"trouble"`
	Count int64   `json:"times"` // detections; each fault counts once for each member that logged it
	P50   float64 `json:"p50_ms"`
	P99   float64 `json:"p99_ms"`
	Max   float64 `json:"most_ms"`
}

// PeersIdleCost is the average resource use of a process without events. All fields but ResidentMB are per second.
type PeersIdleCost struct {
	Process    string  `json:"who"`
	CPUMillis  float64 `json:"cpu_ms"`
	ResidentMB float64 `json:"mb"`
	Messages   float64 `json:"messages"` // of a voter; 0 for other processes
	Bytes      float64 `json:"bytes"`    // of the bodies of messages
	DiskSyncs  float64 `json:"saves"`    // by a voter
}

// OK reports whether no live member was logged as gone, every death was detected, and nothing else went wrong.
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

type peersTest struct {
	o      PeersOptions
	fleet  *fleet
	links  [][]*faultinject.Link // by instance, to the voters
	report *PeersReport
}

// idleMeasureTime is the duration of the measurement of the cost without events.
const idleMeasureTime = 8 * time.Second

// RunPeers measures the cost of membership without events and, if there are repetitions, how soon members detect
// faults.
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
	noProgress := func(string, ...any) {}
	p.fleet, err = startFleetWithVoterView(s, o.ProxyCommand, o.Folder, noProgress, p.openLinks)
	if err != nil {
		return nil, err
	}
	defer p.fleet.close()
	delay.Wait(ctx, 2*time.Second)
	if err := p.measureIdle(ctx); err != nil {
		return nil, err
	}
	if o.Repetitions > 0 {
		p.injectFaults(ctx)
	}
	p.fleet.stop()
	p.report.Problems = append(p.report.Problems, p.fleet.problems...)
	return p.report, ctx.Err()
}

// openLinks puts a link between each instance and each voter but itself, if faults are to be injected.
func (p *peersTest) openLinks(voters []agent.VoterAddress) (voterView, error) {
	reachable := make([][]agent.VoterAddress, p.o.Instances)
	for i := range reachable {
		for voter, v := range voters {
			if p.o.Repetitions > 0 && voter != i {
				link, err := faultinject.NewLink(linkHost, v.Address)
				if err != nil {
					return nil, err
				}
				p.links[i] = append(p.links[i], link)
				v.Address = link.Address()
			}
			reachable[i] = append(reachable[i], v)
		}
	}
	return func(i int) []agent.VoterAddress { return reachable[i] }, nil
}

func (p *peersTest) close() {
	for _, list := range p.links {
		for _, l := range list {
			l.Close()
		}
	}
}

// measureIdle measures the instances while no faults are injected.
func (p *peersTest) measureIdle(ctx context.Context) error {
	c, err := agent.NewClient(p.fleet.voters)
	if err != nil {
		return err
	}
	defer c.Close()
	traffic := func() (messages, bytes, diskSyncs float64) {
		for _, s := range c.VoterStates(ctx) {
			messages += float64(s.Traffic.Messages)
			bytes += float64(s.Traffic.Bytes)
			diskSyncs += float64(s.DiskSyncs)
		}
		return messages, bytes, diskSyncs
	}
	cpu := make([]time.Duration, p.o.Instances)
	for i, d := range p.fleet.proxies {
		if cpu[i], err = cpuTime(d.currentProcess().cmd.Process.Pid); err != nil {
			return err
		}
	}
	messages, bytes, diskSyncs := traffic()
	delay.Wait(ctx, idleMeasureTime)
	messagesNow, bytesNow, diskSyncsNow := traffic()
	var voters, others PeersIdleCost
	voters.Process, others.Process = "a voter", "one that does not vote"
	for i, d := range p.fleet.proxies {
		cost, count := &voters, float64(permitVoters)
		if i >= permitVoters {
			cost, count = &others, float64(p.o.Instances-permitVoters)
		}
		pid := d.currentProcess().cmd.Process.Pid
		mb, _ := footprintOf(pid)
		now, err := cpuTime(pid)
		if err != nil {
			return err
		}
		cost.CPUMillis += millis(now-cpu[i]) / idleMeasureTime.Seconds() / count
		cost.ResidentMB += mb / count
	}
	voters.Messages = (messagesNow - messages) / idleMeasureTime.Seconds() / permitVoters
	voters.Bytes = (bytesNow - bytes) / idleMeasureTime.Seconds() / permitVoters
	voters.DiskSyncs = (diskSyncsNow - diskSyncs) / idleMeasureTime.Seconds() / permitVoters
	p.report.IdleCosts = append(p.report.IdleCosts, voters)
	if p.o.Instances > permitVoters {
		p.report.IdleCosts = append(p.report.IdleCosts, others)
	}
	return nil
}

// peersFault is a fault of one instance. If death is set, the other instances must log the instance as gone; otherwise
// they must not.
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
			delay.Wait(ctx, time.Second)
			return d.start()
		}},
		{"stop of 300 ms", false, func(d *proxyInstance) error {
			return d.stopBySchedule(ctx, faultinject.StopSchedule{Duration: 300 * time.Millisecond})
		}},
		{"stop of 2 s", true, func(d *proxyInstance) error {
			return d.stopBySchedule(ctx, faultinject.StopSchedule{Duration: 2 * time.Second})
		}},
		{"cut off for 2 s", true, func(d *proxyInstance) error { return p.failLinks(ctx, d.index, "cut") }},
		{"answers held for 2 s", true, func(d *proxyInstance) error { return p.failLinks(ctx, d.index, "back") }},
		{"connections reset", false, func(d *proxyInstance) error {
			for _, l := range p.links[d.index] {
				l.Reset()
			}
			return nil
		}},
	}
}

// injectFaults injects faults into instances that do not vote, one at a time, and reads what the others logged.
func (p *peersTest) injectFaults(ctx context.Context) {
	for _, fault := range p.faults(ctx) {
		detectionTimes := hdrhistogram.New(1, int64(time.Minute/time.Millisecond), 3)
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
			delay.Wait(ctx, time.Second)
			for other := range p.fleet.proxies {
				if other == victim {
					continue
				}
				at := p.goneLoggedAt(other, fmt.Sprint("p", victim), from)
				switch {
				case at.IsZero() && fault.death:
					p.report.MissedDeaths++
				case !at.IsZero() && !fault.death:
					p.report.FalseDeaths++
				case !at.IsZero():
					detectionTimes.RecordValue(max(at.Sub(from).Milliseconds(), 1))
				}
			}
		}
		if fault.death {
			p.report.DetectionTimes = append(p.report.DetectionTimes, PeersDetectionTime{
				fault.name,
				detectionTimes.TotalCount(),
				float64(detectionTimes.ValueAtQuantile(50)),
				float64(detectionTimes.ValueAtQuantile(99)),
				float64(detectionTimes.Max()),
			})
		}
	}
}

// failLinks makes the links of an instance to the voters fail for two seconds.
func (p *peersTest) failLinks(ctx context.Context, i int, kind string) error {
	var errs []error
	for _, l := range p.links[i] {
		errs = append(errs, l.SetFault(faultinject.LinkFaults[kind](0)))
	}
	delay.Wait(ctx, 2*time.Second)
	for _, l := range p.links[i] {
		errs = append(errs, l.SetFault(faultinject.Fault{}))
	}
	return errors.Join(errs...)
}

var goneLine = regexp.MustCompile(`(?m)^time=(\S+) .*msg="member state changed" proxy=\S+ member=(\S+) state=gone `)

// goneLoggedAt returns the time after from at which the instance observer logged that the member name was gone; the
// zero time if it did not log this.
func (p *peersTest) goneLoggedAt(observer int, name string, from time.Time) time.Time {
	text, err := os.ReadFile(p.fleet.proxies[observer].currentProcess().logPath)
	if err != nil {
		return time.Time{}
	}
	for _, m := range goneLine.FindAllStringSubmatch(string(text), -1) {
		t, err := time.Parse(time.RFC3339Nano, m[1])
		if err == nil && m[2] == name && !t.Before(from.Truncate(time.Millisecond)) {
			return t
		}
	}
	return time.Time{}
}
