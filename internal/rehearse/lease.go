package rehearse

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

	"mulleinpier/internal/lease/agent"
	"mulleinpier/internal/rehearse/rig"
)

// This file plays leases among real processes: proxies that vote, holders that act under one task at a resource
// that judges, and faults between all of them.

// LeaseOptions say what to play.
type LeaseOptions struct {
	Options
	Holder []string // how a holder is started: the judge's address, a fleet and voters are put behind
	For    time.Duration
	Seed   uint64
	// Careless has the resource compare no numbers: what a stop between look and act then does is seen.
	Careless bool
}

const (
	leaseVoters  = 3
	leaseHolders = 5
	leaseFleet   = "rehearsal"
	leaseTask    = "act"
	LeaseLength  = time.Second // of what holders take
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
	pending   string // what last befell the holder
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

// LeaseWait is how long a task was without an act after something.
type LeaseWait struct {
	After string  `json:"after"`
	Times int64   `json:"times"`
	P50   float64 `json:"p50_ms"`
	P90   float64 `json:"p90_ms"`
	Most  float64 `json:"most_ms"`
}

// LeaseReport is what a play found.
type LeaseReport struct {
	Seconds  float64     `json:"seconds"`
	Acts     int         `json:"acts"`
	Numbers  uint64      `json:"numbers"`
	Overlaps int         `json:"overlaps"`
	Backward int         `json:"backward"`
	Refused  int         `json:"refused"`
	Beside   int         `json:"beside"`
	Faults   int         `json:"faults"`
	Crashes  int         `json:"crashes"`
	Waits    []LeaseWait `json:"waits"`
	Problems []string    `json:"problems"`
	Closing  string      `json:"verdict"`
}

// OK tells whether nothing broke, and enough was seen.
func (r *LeaseReport) OK() bool { return r.Overlaps+r.Backward+r.Crashes == 0 && r.Acts > 0 }

// Verdict is the closing line. There is no load of clients beside it, so nothing can be lost or doubled.
func (r *LeaseReport) Verdict() string {
	word := "ok"
	if !r.OK() {
		word = "BROKEN"
	}
	return fmt.Sprintf("verdict: %s acts=%d overlaps=%d backward=%d crashes=%d", word, r.Acts, r.Overlaps, r.Backward, r.Crashes)
}

// Print writes the report, its verdict last.
func (r *LeaseReport) Print(out io.Writer) {
	w := tabwriter.NewWriter(out, 0, 4, 2, ' ', 0)
	fmt.Fprintln(w, "without an act after\ttimes\tp50 ms\tp90 ms\tmost ms")
	for _, x := range r.Waits {
		fmt.Fprintf(w, "%s\t%d\t%.1f\t%.1f\t%.1f\n", x.After, x.Times, x.P50, x.P90, x.Most)
	}
	w.Flush()
	fmt.Fprintf(out, "%d faults in %.0f s, numbers up to %d; %d begins beside an act that a stop or a cut had left open, %d words refused for their numbers\n",
		r.Faults, r.Seconds, r.Numbers, r.Beside, r.Refused)
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
	real  []agent.Peer
	ways  map[[2]int]*rig.Link // from a process (voters first, then holders) to a voter

	mu        sync.Mutex
	processes []*process
	report    *LeaseReport
}

// Lease plays leases.
func Lease(ctx context.Context, o LeaseOptions) (*LeaseReport, error) {
	if o.Progress == nil {
		o.Progress = func(string, ...any) {}
	}
	j, err := newJudge()
	if err != nil {
		return nil, err
	}
	defer j.close()
	j.careless = o.Careless
	p := &leasePlay{o: o, rng: rand.New(rand.NewPCG(o.Seed, 9)), judge: j, ways: make(map[[2]int]*rig.Link), report: &LeaseReport{Seconds: o.For.Seconds()},
		processes: make([]*process, leaseVoters+leaseHolders)}
	defer p.close()
	if err := p.open(); err != nil {
		return nil, err
	}
	for i := range p.processes {
		if err := p.start(i); err != nil {
			return nil, err
		}
	}
	began := time.Now()
	ctx, stop := context.WithTimeout(ctx, o.For)
	defer stop()
	p.trouble(ctx)
	sleep(ctx, time.Until(began.Add(o.For)))
	p.end()
	return p.fill(), nil
}

// open reserves the voters' addresses and puts a link on every way to them.
func (p *leasePlay) open() error {
	for i := range leaseVoters {
		l, err := net.Listen("tcp", proxyHost+":0")
		if err != nil {
			return err
		}
		p.real = append(p.real, agent.Peer{Name: fmt.Sprint("v", i), Address: l.Addr().String()})
		l.Close()
	}
	for from := range leaseVoters + leaseHolders {
		for to, v := range p.real {
			if from == to {
				continue
			}
			link, err := rig.NewLink(linkHost, v.Address)
			if err != nil {
				return err
			}
			p.ways[[2]int{from, to}] = link
		}
	}
	for i := range leaseVoters {
		f := agent.Fleet{Name: leaseFleet, Voters: p.real}
		if err := agent.Init(p.memory(i), &f); err != nil {
			return err
		}
		var voters []string
		for _, v := range p.seen(i) {
			voters = append(voters, v.Name+"="+v.Address)
		}
		text := fmt.Sprintf("name = \"p%d\"\nlisten = \"127.0.0.1:0\"\nnodes.addresses = [\"127.0.0.2:1\"]\n[peers]\nfleet = %q\nvoter = \"v%d\"\nmemory = %q\nvoters = %s\n",
			i, leaseFleet, i, p.memory(i), quoted(voters))
		if err := os.WriteFile(filepath.Join(p.o.Folder, fmt.Sprintf("p%d.toml", i)), []byte(text), 0o600); err != nil {
			return err
		}
	}
	return nil
}

func (p *leasePlay) memory(i int) string {
	return filepath.Join(p.o.Folder, fmt.Sprintf("v%d.memory", i))
}

// seen are the voters as a process finds them.
func (p *leasePlay) seen(from int) (list []agent.Peer) {
	for to, v := range p.real {
		if link := p.ways[[2]int{from, to}]; link != nil {
			v.Address = link.Address()
		}
		list = append(list, v)
	}
	return list
}

// start starts a process.
func (p *leasePlay) start(i int) error {
	argv := append(append([]string(nil), p.o.Program...), filepath.Join(p.o.Folder, fmt.Sprintf("p%d.toml", i)))
	if i >= leaseVoters {
		argv = append(append([]string(nil), p.o.Holder...), p.judge.listener.Addr().String(), fmt.Sprint(i), leaseFleet)
		for _, v := range p.seen(i) {
			argv = append(argv, v.Name+"="+v.Address)
		}
	}
	x, err := startProcess(argv, nil, filepath.Join(p.o.Folder, fmt.Sprintf("l%d.log", i)))
	if err != nil {
		return err
	}
	p.mu.Lock()
	p.processes[i] = x
	p.mu.Unlock()
	return x.awaitReady()
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
		i, span := p.rng.IntN(len(p.processes)), time.Duration(100+p.rng.IntN(3400))*time.Millisecond
		kind := p.rng.IntN(5)
		if at := p.judge.holder(); at > 0 && p.rng.IntN(2) == 0 {
			i = at
		}
		var from, to int
		if from, to = p.rng.IntN(len(p.processes)), p.rng.IntN(leaseVoters); from == to {
			from = max(p.judge.holder(), leaseVoters)
		}
		fault := []string{"cut", "forth", "back", "delay", "reset"}[p.rng.IntN(5)]
		p.report.Faults++
		busy := make(chan struct{})
		tasks.Go(func() {
			defer close(busy)
			switch kind {
			case 0:
				p.kill(i)
			case 1:
				p.stop(ctx, i, span)
			default:
				p.fail(ctx, from, to, fault, span)
			}
		})
		if kind <= 1 && i < leaseVoters { // one voter at a time
			<-busy
		}
		sleep(ctx, time.Duration(200+p.rng.IntN(800))*time.Millisecond)
	}
}

func (p *leasePlay) kill(i int) {
	p.mu.Lock()
	x := p.processes[i]
	p.mu.Unlock()
	if i >= leaseVoters {
		p.judge.befell("holder killed", i)
	}
	x.end(syscall.SIGKILL)
	if err := p.start(i); err != nil {
		p.problem("process %d: %v", i, err)
	}
}

func (p *leasePlay) stop(ctx context.Context, i int, span time.Duration) {
	p.mu.Lock()
	pid := p.processes[i].cmd.Process.Pid
	p.mu.Unlock()
	if i >= leaseVoters {
		p.judge.befell("holder stopped", i)
	}
	rig.Stop{For: span}.Do(ctx, pid, func(_, _ time.Time) {}) // one that has been killed meanwhile can't be
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
	if link.Set(rig.Faults[kind](150*time.Millisecond)) == nil {
		sleep(ctx, span)
		link.Set(rig.Fault{})
	}
}

// end has all processes end as they do by themselves.
func (p *leasePlay) end() {
	var tasks sync.WaitGroup
	for i := len(p.processes) - 1; i >= 0; i-- {
		x := p.processes[i]
		tasks.Go(func() {
			if x.crashed() {
				p.problem("process %d had ended unasked: %v: %s", i, x.err, tail(x.log))
			} else if err := x.end(syscall.SIGTERM); err != nil {
				p.problem("process %d: %v: %s", i, err, tail(x.log))
			}
		})
	}
	tasks.Wait()
}

func (p *leasePlay) close() {
	for _, x := range p.processes {
		if x != nil && !isClosed(x.exited) {
			x.end(syscall.SIGKILL)
		}
	}
	for _, link := range p.ways {
		link.Close()
	}
}

func (p *leasePlay) fill() *LeaseReport {
	j, r := p.judge, p.report
	j.mu.Lock()
	defer j.mu.Unlock()
	r.Acts, r.Numbers, r.Overlaps, r.Backward, r.Refused, r.Beside = len(j.committed), j.highest, j.overlaps(), j.backward, j.refused, j.beside
	for _, what := range []string{"given back", "holder killed", "holder stopped", "holder's way cut"} {
		if h := j.waits[what]; h != nil {
			ms := func(us int64) float64 { return float64(us) / 1000 }
			r.Waits = append(r.Waits, LeaseWait{what, h.TotalCount(), ms(h.ValueAtQuantile(50)), ms(h.ValueAtQuantile(90)), ms(h.Max())})
		}
	}
	r.Closing = r.Verdict()
	return r
}

// ActAsHolder is a holder's process: it takes the task, acts for a while at the judge, gives it back, over and over,
// until ctx ends.
func ActAsHolder(ctx context.Context, judge string, who uint64, f agent.Fleet) error {
	client, err := agent.NewClient(f)
	if err != nil {
		return err
	}
	defer client.Close()
	rng := rand.New(rand.NewPCG(who, uint64(os.Getpid())))
	for ctx.Err() == nil {
		h, err := client.Hold(ctx, leaseTask, "holder", LeaseLength, true)
		if err != nil {
			return err
		}
		if _, err := h.Await(ctx); err == nil {
			span, end := context.WithTimeout(ctx, time.Duration(300+rng.IntN(1500))*time.Millisecond)
			for span.Err() == nil {
				if h.Do(span, func(ctx context.Context, number uint64) error { return actOnce(ctx, judge, number, who, rng) }) != nil {
					break
				}
			}
			end()
		}
		h.Close()
	}
	return nil
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
