package fleettest

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"text/tabwriter"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"mulleinpier/internal/clock"
	"mulleinpier/internal/fleettest/faultinject"
	"mulleinpier/internal/lease"
	"mulleinpier/internal/lease/agent"
)

// This file plays leases among real processes: proxies that vote, holders that act under one task at a resource
// that judges, and faults between all of them.

// LeaseOptions say what to play.
type LeaseOptions struct {
	Options
	HolderCommand []string // how a holder is started: the judge's address, a fleet and voters are put behind
	Duration      time.Duration
	Seed          uint64
	// Unfenced has the resource compare no numbers: what a stop between look and act then does is seen.
	Unfenced bool
}

const (
	leaseVoters   = 3
	leaseHolders  = 5
	leaseTask     = "act"
	LeaseDuration = time.Second // of what holders take
)

// act is what a holder did at the resource.
type act struct {
	number     uint64
	begin, end time.Time
}

// judge is a resource that compares numbers, and that believes nobody.
type judge struct {
	listener net.Listener
	tasks    sync.WaitGroup

	mu        sync.Mutex
	careless  bool
	highest   uint64
	who       int // that acted last
	open      map[*act]bool
	last      time.Time // of the latest begin or end
	committed []act
	refused   int // begins and ends under a number that is not the highest
	beside    int // begins while another act was open: the hole, which the numbers close
	backward  int // commits under a number lower than one committed before
	waits     map[string]*hdrhistogram.Histogram
	gap       time.Duration // without an act before the highest number's first
	pending   string        // what last befell the holder
	since     time.Time
	conns     map[net.Conn]struct{}
}

func newJudge() (*judge, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	j := &judge{listener: l, open: make(map[*act]bool), waits: make(map[string]*hdrhistogram.Histogram), conns: make(map[net.Conn]struct{})}
	j.tasks.Go(func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			j.mu.Lock()
			j.conns[c] = struct{}{}
			j.mu.Unlock()
			j.tasks.Go(func() { j.hear(c) })
		}
	})
	return j, nil
}

// hear takes a holder's acts: begin N, end N, each answered by ok or refused.
func (j *judge) hear(c net.Conn) {
	defer func() {
		j.mu.Lock()
		delete(j.conns, c)
		j.mu.Unlock()
		c.Close()
	}()
	var a *act
	for in := bufio.NewScanner(c); in.Scan(); {
		var what string
		var number uint64
		var who int
		fmt.Sscan(in.Text(), &what, &number, &who)
		ok := false
		now := time.Now()
		j.mu.Lock()
		switch {
		case number < j.highest && !j.careless:
			j.refused++
			delete(j.open, a)
		case what == "begin":
			ok = true
			if number > j.highest {
				j.waited(now)
				j.gap = now.Sub(j.last)
			}
			if len(j.open) > 0 {
				j.beside++
			}
			j.highest, j.who = max(j.highest, number), who
			a = &act{number: number, begin: now}
			j.open[a] = true
		case what == "end" && a != nil && j.open[a]:
			ok = true
			a.end = now
			delete(j.open, a)
			if n := len(j.committed); n > 0 && j.committed[n-1].number > number {
				j.backward++
			}
			j.committed = append(j.committed, *a)
		}
		j.last = now
		j.mu.Unlock()
		word := "refused\n"
		if ok {
			word = "ok\n"
		}
		if _, err := io.WriteString(c, word); err != nil {
			break
		}
	}
	j.mu.Lock()
	delete(j.open, a)
	j.mu.Unlock()
}

// befell notes what befalls a process: if it is the holder, the time until the next one counts for it.
func (j *judge) befell(what string, process int) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if process == j.who && time.Since(j.last) < 100*time.Millisecond {
		j.pending, j.since = what, time.Now()
	}
}

// holder is the process that acted last.
func (j *judge) holder() int {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.who
}

// waited counts the time until a new holder's first act. j.mu is held.
func (j *judge) waited(now time.Time) {
	what, since := j.pending, j.since
	if what == "" {
		what, since = "given back", j.last
	}
	j.pending = ""
	if since.IsZero() {
		return
	}
	if j.waits[what] == nil {
		j.waits[what] = hdrhistogram.New(1, int64(time.Minute/time.Microsecond), 3)
	}
	j.waits[what].RecordValue(max(now.Sub(since).Microseconds(), 1))
}

func (j *judge) close() {
	j.listener.Close()
	j.mu.Lock()
	for c := range j.conns {
		c.Close()
	}
	j.mu.Unlock()
	j.tasks.Wait()
}

// overlaps counts committed acts under different numbers that ran at the same time.
func (j *judge) overlaps() (n int) {
	for i := range j.committed {
		for k := i + 1; k < len(j.committed) && k < i+64; k++ { // in order of their ends
			if a, b := &j.committed[i], &j.committed[k]; a.number != b.number && b.begin.Before(a.end) {
				n++
			}
		}
	}
	return n
}

// LeaseGap is how long a task was without an act after something.
type LeaseGap struct {
	Cause string  `json:"after"`
	Count int64   `json:"times"`
	P50   float64 `json:"p50_ms"`
	P90   float64 `json:"p90_ms"`
	P99   float64 `json:"p99_ms"`
	Max   float64 `json:"most_ms"`
}

// LeaseReport is what a play found.
type LeaseReport struct {
	Seconds          float64    `json:"seconds"`
	Actions          int        `json:"acts"`
	HighestToken     uint64     `json:"numbers"`
	Overlaps         int        `json:"overlaps"`
	TokenRegressions int        `json:"backward"`
	RejectedByToken  int        `json:"refused"`
	ConcurrentStarts int        `json:"beside"`
	Faults           int        `json:"faults"`
	Crashes          int        `json:"crashes"`
	Requests         int        `json:"requests"` // of clients, at the voters, which serve meanwhile
	Lost             int        `json:"lost"`
	DuplicateWrites  int        `json:"doubled"`
	Gaps             []LeaseGap `json:"waits"`
	Problems         []string   `json:"problems"`
	VerdictLine      string     `json:"verdict"`
}

// OK tells whether nothing broke, and enough was seen.
func (r *LeaseReport) OK() bool {
	return r.Overlaps+r.TokenRegressions+r.Lost+r.DuplicateWrites+r.Crashes == 0 && r.Actions > 0 && r.Requests > 0
}

// Verdict is the closing line.
func (r *LeaseReport) Verdict() string {
	word := "ok"
	if !r.OK() {
		word = "BROKEN"
	}
	return fmt.Sprintf("verdict: %s acts=%d overlaps=%d backward=%d lost=%d doubled=%d crashes=%d", word, r.Actions, r.Overlaps, r.TokenRegressions, r.Lost, r.DuplicateWrites, r.Crashes)
}

// Print writes the report, its verdict last.
func (r *LeaseReport) Print(out io.Writer) {
	printWaits(out, r.Gaps)
	fmt.Fprintf(out, "%d requests at the voters meanwhile\n", r.Requests)
	fmt.Fprintf(out, "%d faults in %.0f s, numbers up to %d; %d begins beside an act that a stop or a cut had left open, %d words refused for their numbers\n",
		r.Faults, r.Seconds, r.HighestToken, r.ConcurrentStarts, r.RejectedByToken)
	for _, p := range r.Problems {
		fmt.Fprintln(out, "  "+p)
	}
	fmt.Fprintln(out, r.Verdict())
}

// leasePlay is a play under way.
type leasePlay struct {
	o     LeaseOptions
	rng   *rand.Rand
	judge *judge
	fleet *fleet // its proxies are the voters
	real  []agent.VoterAddress
	ways  map[[2]int]*faultinject.Link // from a process (voters first, then holders) to a voter

	mu      sync.Mutex
	holders []*process
	report  *LeaseReport
}

// leaseScenario is what the voters serve meanwhile.
func leaseScenario(length time.Duration, seed uint64) (*Scenario, error) {
	s, err := LoadScenario("still")
	if err != nil {
		return nil, err
	}
	s.Name, s.Description, s.Seed = "lease", "one task among eight processes", seed
	s.Fleet.Proxies, s.Fleet.Nodes, s.Fleet.RestartPermits = leaseVoters, 6, 1
	s.Fleet.ClockDrift = lease.DefaultParameters.MaxClockDrift
	s.Load.Rate = 150
	s.Phases, s.Events = []Phase{{Name: "all", Duration: tomlDuration(length)}}, nil
	return s, s.check()
}

// RunLease plays leases.
func RunLease(ctx context.Context, o LeaseOptions) (*LeaseReport, error) {
	if o.Progress == nil {
		o.Progress = func(string, ...any) {}
	}
	j, err := newJudge()
	if err != nil {
		return nil, err
	}
	defer j.close()
	j.careless = o.Unfenced
	p := &leasePlay{o: o, rng: rand.New(rand.NewPCG(o.Seed, 9)), judge: j, ways: make(map[[2]int]*faultinject.Link), report: &LeaseReport{Seconds: o.Duration.Seconds()},
		holders: make([]*process, leaseHolders)}
	defer p.close()
	s, err := leaseScenario(o.Duration, max(o.Seed, 1))
	if err != nil {
		return nil, err
	}
	if p.fleet, err = startFleetWithVoterView(s, o.ProxyCommand, o.Folder, o.Progress, p.open); err != nil {
		return nil, err
	}
	defer p.fleet.close()
	for i := range p.holders {
		if err := p.start(i); err != nil {
			return nil, err
		}
	}
	began := time.Now()
	t := newRecorder(s.Phases, began)
	c := newWorkload(p.fleet, t)
	ctx, stop := context.WithTimeout(ctx, o.Duration)
	defer stop()
	var tasks sync.WaitGroup
	tasks.Go(func() { c.run(ctx) })
	tasks.Go(func() { t.watchLag(ctx) })
	p.trouble(ctx)
	sleep(ctx, time.Until(began.Add(o.Duration)))
	tasks.Wait()
	p.end()
	waitUntilSteady(func() int { return p.fleet.origin.Stats().Writes })
	served := &Report{}
	served.fill(p.fleet, t, make([]int, len(s.Phases)+1))
	return p.fill(served), nil
}

// open puts a link on every way to the voters.
func (p *leasePlay) open(real []agent.VoterAddress) (voterView, error) {
	p.real = real
	for from := range leaseVoters + leaseHolders {
		for to, v := range real {
			if from == to {
				continue
			}
			link, err := faultinject.NewLink(linkHost, v.Address)
			if err != nil {
				return nil, err
			}
			p.ways[[2]int{from, to}] = link
		}
	}
	return p.seen, nil
}

// seen are the voters as a process finds them.
func (p *leasePlay) seen(from int) (list []agent.VoterAddress) {
	for to, v := range p.real {
		if link := p.ways[[2]int{from, to}]; link != nil {
			v.Address = link.Address()
		}
		list = append(list, v)
	}
	return list
}

// start starts a holder.
func (p *leasePlay) start(i int) error {
	x, err := startHolder(p.o.HolderCommand, p.judge, leaseVoters+i, leaseTask, false, p.seen(leaseVoters+i), p.o.Folder)
	if err != nil {
		return err
	}
	p.mu.Lock()
	p.holders[i] = x
	p.mu.Unlock()
	return x.awaitReady()
}

// startHolder starts a process that holds a task over and over, or stays with it.
func startHolder(program []string, j *judge, who int, task string, stays bool, voters []agent.VoterAddress, folder string) (*process, error) {
	argv := append(append([]string(nil), program...), "--task="+task, fmt.Sprintf("--stay=%v", stays), fmt.Sprintf("--drift=%v", lease.DefaultParameters.MaxClockDrift*float64(1-2*(who%2))), j.listener.Addr().String(), fmt.Sprint(who), permitFleet)
	for _, v := range voters {
		argv = append(argv, v.Name+"="+v.Address)
	}
	return startProcess(argv, nil, filepath.Join(folder, fmt.Sprintf("h%d.log", who)))
}

func (p *leasePlay) problem(format string, a ...any) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.report.Crashes++; len(p.report.Problems) < 20 {
		p.report.Problems = append(p.report.Problems, fmt.Sprintf(format, a...))
	}
}

// trouble puts in faults, one after another and some together, until ctx ends. Never two of three voters are
// ended or stopped for long at a time by it; what faults meet on the ways may well leave none that leads.
func (p *leasePlay) trouble(ctx context.Context) {
	var tasks sync.WaitGroup
	defer tasks.Wait()
	sleep(ctx, time.Second)
	for ctx.Err() == nil {
		i, span := p.rng.IntN(leaseVoters+leaseHolders), time.Duration(100+p.rng.IntN(3400))*time.Millisecond
		kind := p.rng.IntN(6)
		if at := p.judge.holder(); at > 0 && p.rng.IntN(2) == 0 {
			i = at
		}
		var from, to int
		if from, to = p.rng.IntN(leaseVoters+leaseHolders), p.rng.IntN(leaseVoters); from == to {
			from = max(p.judge.holder(), leaseVoters)
		}
		fault := []string{"cut", "forth", "back", "delay", "reset", "slow", "twice"}[p.rng.IntN(7)]
		p.report.Faults++
		busy := make(chan struct{})
		tasks.Go(func() {
			defer close(busy)
			switch kind {
			case 0:
				p.kill(i)
			case 1:
				p.stop(ctx, i, span)
			case 2:
				if i < leaseVoters {
					p.fillDisk(ctx, i, span)
					return
				}
				p.fail(ctx, from, to, fault, span)
			default:
				p.fail(ctx, from, to, fault, span)
			}
		})
		if kind <= 2 && i < leaseVoters { // one voter at a time
			<-busy
		}
		sleep(ctx, time.Duration(200+p.rng.IntN(800))*time.Millisecond)
	}
}

func (p *leasePlay) kill(i int) {
	if i < leaseVoters {
		p.fleet.proxies[i].kill()
		return
	}
	i -= leaseVoters
	p.mu.Lock()
	x := p.holders[i]
	p.mu.Unlock()
	p.judge.befell("holder killed", leaseVoters+i)
	x.end(syscall.SIGKILL)
	if err := p.start(i); err != nil {
		p.problem("holder %d: %v", i, err)
	}
}

func (p *leasePlay) stop(ctx context.Context, i int, span time.Duration) {
	if i < leaseVoters {
		if err := p.fleet.proxies[i].stopBySchedule(ctx, faultinject.StopSchedule{Duration: span}); err != nil && ctx.Err() == nil {
			p.problem("stop of voter %d: %v", i, err)
		}
		return
	}
	p.mu.Lock()
	pid := p.holders[i-leaseVoters].cmd.Process.Pid
	p.mu.Unlock()
	p.judge.befell("holder stopped", i)
	faultinject.StopSchedule{Duration: span}.Run(ctx, pid, func(_, _ time.Time) {}) // one that has been killed meanwhile can't be
}

// fillDisk has a voter's disk be full for a while. It stands down, serves on, and votes again once started anew.
func (p *leasePlay) fillDisk(ctx context.Context, i int, span time.Duration) {
	d := p.fleet.proxies[i]
	if err := faultinject.FullDisk(ctx, d.currentProcess().cmd.Process.Pid, span); err != nil {
		p.problem("voter %d: %v", i, err)
	}
	if ctx.Err() == nil {
		d.kill()
	}
}

func (p *leasePlay) fail(ctx context.Context, from, to int, kind string, span time.Duration) {
	link := p.ways[[2]int{from, to}]
	if from >= leaseVoters {
		p.judge.befell("holder's way cut", from)
	}
	if kind == "reset" {
		link.Reset()
		return
	}
	if link.SetFault(faultinject.LinkFaults[kind](150*time.Millisecond)) == nil {
		if kind == "twice" { // which is for new connections
			link.Reset()
		}
		sleep(ctx, span)
		link.SetFault(faultinject.Fault{})
	}
}

// end has all processes end as they do by themselves.
func (p *leasePlay) end() {
	var tasks sync.WaitGroup
	for i, x := range p.holders {
		tasks.Go(func() {
			if x.hasCrashed() {
				p.problem("holder %d had ended unasked: %v: %s", i, x.err, logTail(x.logPath))
			} else if err := x.end(syscall.SIGTERM); err != nil {
				p.problem("holder %d: %v: %s", i, err, logTail(x.logPath))
			}
		})
	}
	tasks.Wait()
	p.fleet.stop()
}

func (p *leasePlay) close() {
	for _, x := range p.holders {
		if x != nil && !isClosed(x.exited) {
			x.end(syscall.SIGKILL)
		}
	}
	for _, link := range p.ways {
		link.Close()
	}
}

func (p *leasePlay) fill(served *Report) *LeaseReport {
	j, r := p.judge, p.report
	j.mu.Lock()
	defer j.mu.Unlock()
	r.Actions, r.HighestToken, r.Overlaps, r.TokenRegressions, r.RejectedByToken, r.ConcurrentStarts = len(j.committed), j.highest, j.overlaps(), j.backward, j.refused, j.beside
	r.Requests, r.Lost, r.DuplicateWrites = served.Requests, served.Lost, served.DuplicateWrites
	r.Crashes += served.Crashes + served.LateDrains + served.WrongAnswers
	r.Problems = append(r.Problems, served.Problems...)
	for _, what := range []string{"given back", "holder killed", "holder stopped", "holder's way cut"} {
		if h := j.waits[what]; h != nil {
			r.Gaps = append(r.Gaps, waitOf(what, h))
		}
	}
	r.VerdictLine = r.Verdict()
	return r
}

func waitOf(what string, h *hdrhistogram.Histogram) LeaseGap {
	ms := func(us int64) float64 { return float64(us) / 1000 }
	return LeaseGap{what, h.TotalCount(), ms(h.ValueAtQuantile(50)), ms(h.ValueAtQuantile(90)), ms(h.ValueAtQuantile(99)), ms(h.Max())}
}

// printWaits writes times without an act as a table.
func printWaits(out io.Writer, waits []LeaseGap) {
	w := tabwriter.NewWriter(out, 0, 4, 2, ' ', 0)
	fmt.Fprintln(w, "without an act after\ttimes\tp50 ms\tp90 ms\tp99 ms\tmost ms")
	for _, x := range waits {
		fmt.Fprintf(w, "%s\t%d\t%.1f\t%.1f\t%.1f\t%.1f\n", x.Cause, x.Count, x.P50, x.P90, x.P99, x.Max)
	}
	w.Flush()
}

// HolderOptions say how a holder's process behaves.
type HolderOptions struct {
	CheckerAddress string
	HolderID       uint64
	Fleet          agent.Fleet
	Task           string
	ClockDrift     float64          // of its clock
	Release        <-chan os.Signal // it gives the task back when told so; nil for after a while, by itself
}

// RunHolder is a holder's process: it takes the task, acts for a while at the judge, gives it back, over and over,
// until ctx ends.
func RunHolder(ctx context.Context, o HolderOptions) error {
	agent.OverrideTotalSleep(clock.SimulatedSleep(0, 0, o.ClockDrift))
	client, err := agent.NewClient(o.Fleet)
	if err != nil {
		return err
	}
	defer client.Close()
	rng := rand.New(rand.NewPCG(o.HolderID, uint64(os.Getpid())))
	for ctx.Err() == nil {
		h, err := client.Hold(ctx, o.Task, "holder"+fmt.Sprint(o.HolderID), LeaseDuration, true)
		if err != nil {
			return err
		}
		if _, err := h.Await(ctx); err == nil {
			span, end := context.WithCancel(ctx)
			if o.Release == nil {
				span, end = context.WithTimeout(ctx, time.Duration(300+rng.IntN(1500))*time.Millisecond)
			}
			for span.Err() == nil && !told(o.Release) {
				if h.RunGuarded(span, func(ctx context.Context, number uint64) error {
					return actOnce(ctx, o.CheckerAddress, number, o.HolderID, rng)
				}) != nil {
					break
				}
			}
			end()
		}
		h.Close()
	}
	return nil
}

// told tells whether a signal has come.
func told(c <-chan os.Signal) bool {
	select {
	case <-c: // a nil channel never has one
		return true
	default:
		return false
	}
}

// actOnce does one act at the judge.
func actOnce(ctx context.Context, judge string, number, who uint64, rng *rand.Rand) error {
	c, err := net.DialTimeout("tcp", judge, time.Second)
	if err != nil {
		return err
	}
	defer c.Close()
	c.SetDeadline(time.Now().Add(5 * time.Second))
	in := bufio.NewReader(c)
	for _, word := range []string{"begin", "end"} {
		if _, err := fmt.Fprintf(c, "%s %d %d\n", word, number, who); err != nil {
			return err
		}
		answer, err := in.ReadString('\n')
		if err != nil {
			return err
		}
		if strings.TrimSpace(answer) != "ok" {
			return fmt.Errorf("%s %d: %s", word, number, strings.TrimSpace(answer))
		}
		sleep(ctx, time.Duration(1+rng.IntN(10))*time.Millisecond)
	}
	return nil
}
