// Command rehearse plays a fleet of real proxy processes between stand-ins on
// loopback, and tells whether the rules held.
package main

import (
	"context"
	"encoding/json"
	"errors"
	"flag"
	"fmt"
	"io"
	"net"
	"os"
	"os/signal"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"syscall"
	"time"

	"mulleinpier/internal/config"
	"mulleinpier/internal/lease/agent"
	"mulleinpier/internal/notify"
	"mulleinpier/internal/rehearse"
	"mulleinpier/internal/standin/double"
	"mulleinpier/internal/standin/relay"
)

const usage = `Usage:
  rehearse --list               the built-in scenarios
  rehearse wave [--short]       twenty proxies in rolling waves (six, under a minute)
  rehearse play NAME|FILE       any scenario
  rehearse up [--scenario NAME] hold a small fleet until interrupted
  rehearse cost [--runs N] [--requests N]
                                CPU of a proxy beside a byte relay
  rehearse times [--runs N]     from exec to ready, from SIGTERM to exit
  rehearse consul               a fleet whose list comes from Consul agents, which fail in every way
  rehearse degrade [--short]    overloads without and with levels of reduced service, same seeds (one, 25 s)
  rehearse clients [--short]    tills that use the client library beside such as the operators describe, in five
                                troubles (two, 30 s); --tills N of each kind, 1,000 if left out;
                                --trouble restart|only|kill|gone|outage for one
  rehearse still [--short] [--at 1,3,6] [--trouble WORDS] [--seed N]
                                processes that stand still, links that are cut: each trouble at three of twelve
                                proxies, or at so many (one scenario, 45 s)
  rehearse lease [--short] [--seed N] [--careless]
                                one task among eight processes, with faults between them, two minutes (25 s);
                                --careless: at a resource that compares no numbers
  rehearse members              what following 2,000 nodes with 50 changes a second costs
  rehearse conform              the conformance suite: both dialects of clients by both of nodes
  rehearse sight --fault none|lose|double|drain [--every N]
                                play a proxy with a fault put in, one in N
Everywhere:
  --program FILE   the proxy, yarrowspan beside this program if left out
  --json FILE      write the report there too
  --keep FOLDER    keep configurations and logs there
  --quiet          tell no progress
  --consul         proxies follow stand-in Consul agents, one a zone
  --binary         one client and one node in four speak the binary protocol
  --library        one client in four uses the client library
Exit: 0 the rules held, 1 one broke or the rehearsal failed, 2 bad usage.
`

var (
	errUsage  = errors.New("bad usage")
	errBroken = errors.New("a rule broke")
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	err := run(ctx, os.Args[1:], os.Stdout, os.Stderr)
	switch {
	case errors.Is(err, errUsage):
		fmt.Fprintf(os.Stderr, "rehearse: %v\n%s", err, usage)
		os.Exit(2)
	case errors.Is(err, errBroken):
		os.Exit(1)
	case err != nil:
		fmt.Fprintln(os.Stderr, "rehearse:", err)
		os.Exit(1)
	}
}

// settings are the flags of all commands.
type settings struct {
	program, json, keep, scenario, fault, trouble, at string
	seed                                              uint64
	short, quiet, binary, consul, library, careless   bool
	runs, requests, every, tills                      int
}

// printer is a report of any command.
type printer interface{ Print(io.Writer) }

func run(ctx context.Context, args []string, out, progress io.Writer) error {
	if len(args) == 0 {
		return fmt.Errorf("%w: no command", errUsage)
	}
	if args[0] == "--list" || args[0] == "-list" {
		for _, s := range rehearse.List() {
			fmt.Fprintf(out, "%-12s %s\n", s[0], s[1])
		}
		return nil
	}
	command := args[0]
	switch command { // these two play a part in a rehearsal
	case "double":
		return playDouble(ctx, args[1:], progress)
	case "relay":
		return playRelay(ctx, args[1:])
	case "holder":
		return playHolder(ctx, args[1:])
	}
	var s settings
	flags := flag.NewFlagSet(command, flag.ContinueOnError)
	flags.SetOutput(io.Discard)
	flags.StringVar(&s.program, "program", "", "")
	flags.StringVar(&s.json, "json", "", "")
	flags.StringVar(&s.keep, "keep", "", "")
	flags.StringVar(&s.scenario, "scenario", "up", "")
	flags.StringVar(&s.fault, "fault", "", "")
	flags.StringVar(&s.trouble, "trouble", "", "")
	flags.StringVar(&s.at, "at", "3", "")
	flags.Uint64Var(&s.seed, "seed", 1, "")
	flags.BoolVar(&s.careless, "careless", false, "")
	flags.BoolVar(&s.short, "short", false, "")
	flags.BoolVar(&s.consul, "consul", false, "")
	flags.BoolVar(&s.binary, "binary", false, "")
	flags.BoolVar(&s.library, "library", false, "")
	flags.BoolVar(&s.quiet, "quiet", false, "")
	flags.IntVar(&s.runs, "runs", 5, "")
	flags.IntVar(&s.requests, "requests", 20000, "")
	flags.IntVar(&s.every, "every", 0, "")
	flags.IntVar(&s.tills, "tills", 1000, "")
	rest, err := interleaved(flags, args[1:])
	if err != nil {
		return fmt.Errorf("%w: %s: %w", errUsage, command, err)
	}
	names := 0
	if command == "play" {
		names = 1
	}
	if len(rest) != names {
		return fmt.Errorf("%w: %s takes %d names, not %d", errUsage, command, names, len(rest))
	}
	if s.runs < 1 || s.runs > 1000 || s.requests < 1 || s.requests > 1e7 || s.every < 0 {
		return fmt.Errorf("%w: runs want 1 to 1000, requests 1 to 10000000, every no less than 0", errUsage)
	}
	o, done, err := s.options(progress)
	if err != nil {
		return err
	}
	defer done()
	switch command {
	case "wave":
		name := "wave"
		if s.short {
			name = "wave-short"
		}
		return s.play(ctx, name, o, out)
	case "play":
		return s.play(ctx, rest[0], o, out)
	case "consul":
		return s.play(ctx, "consul", o, out)
	case "sight":
		if !slices.Contains(double.Faults, s.fault) {
			return fmt.Errorf("%w: sight --fault cannot be %q: want one of %s", errUsage, s.fault, strings.Join(double.Faults, ", "))
		}
		self, err := os.Executable()
		if err != nil {
			return err
		}
		if s.every == 0 { // so that some are put in, whatever the fault
			s.every = usualEvery[s.fault]
		}
		o.Program = []string{self, "double", s.fault, fmt.Sprint(s.every)}
		err = s.play(ctx, "sight", o, out)
		if put, counted := injected(o.Folder); counted {
			fmt.Fprintf(progress, "put in: %d\n", put)
		}
		return err
	case "up":
		scenario, err := rehearse.Load(s.scenario)
		if err != nil {
			return fmt.Errorf("%w: %w", errUsage, err)
		}
		s.adapt(scenario)
		return rehearse.Up(ctx, scenario, o, func(line string) { fmt.Fprintln(out, line) })
	case "cost":
		self, err := os.Executable()
		if err != nil {
			return err
		}
		report, err := rehearse.Cost(ctx, rehearse.CostOptions{Proxy: o.Program, Relay: []string{self, "relay"}, Folder: o.Folder,
			Profiled: func(path string) []string { return []string{o.Program[0], "serve", "--cpuprofile", path, "--config"} },
			Runs:     s.runs, Requests: s.requests, Conns: []int{1, 8, 64}, Progress: o.Progress})
		if err != nil {
			return err
		}
		return s.print(report, out)
	case "members":
		report, err := rehearse.Members(ctx, rehearse.MembersOptions{Options: o, Nodes: 2000, Changes: 50, For: 20 * time.Second})
		if err != nil {
			return err
		}
		return s.print(report, out)
	case "degrade":
		names := rehearse.DegradeScenarios
		if s.short {
			names = []string{"degrade-short"}
		}
		if s.scenario != "up" {
			names = []string{s.scenario}
		}
		report, err := rehearse.Degrade(ctx, names, o)
		if err != nil {
			return err
		}
		return s.judge(report, out)
	case "clients":
		report, err := rehearse.Clients(ctx, rehearse.ClientsOptions{Options: o, Clients: s.tills, Only: s.trouble, Short: s.short})
		if err != nil {
			return err
		}
		return s.judge(report, out)
	case "still":
		if s.short {
			return s.play(ctx, "still-short", o, out)
		}
		at, err := proxyCounts(s.at)
		if err != nil {
			return err
		}
		report, err := rehearse.Still(ctx, rehearse.StillOptions{Options: o, At: at, Only: s.trouble, Seed: s.seed})
		if err != nil {
			return err
		}
		return s.judge(report, out)
	case "lease":
		self, err := os.Executable()
		if err != nil {
			return err
		}
		length := 2 * time.Minute
		if s.short {
			length = 25 * time.Second
		}
		report, err := rehearse.Lease(ctx, rehearse.LeaseOptions{Options: o, Holder: []string{self, "holder"}, For: length, Seed: s.seed, Careless: s.careless})
		if err != nil {
			return err
		}
		return s.judge(report, out)
	case "conform":
		report, err := rehearse.Conform(ctx, o)
		if err != nil {
			return err
		}
		return s.judge(report, out)
	case "times":
		report, err := rehearse.Times(o.Program, o.Folder, s.runs)
		if err != nil {
			return err
		}
		return s.print(report, out)
	}
	return fmt.Errorf("%w: there is no command %q", errUsage, command)
}

// usualEvery is how often a fault is put in by default: lose and drain befall any
// request, double handovers only.
var usualEvery = map[string]int{double.None: 1, double.Lose: 500, double.Twice: 100, double.Drains: 500}

// proxyCounts reads a list of numbers of proxies.
func proxyCounts(text string) (list []int, err error) {
	for part := range strings.SplitSeq(text, ",") {
		n, err := strconv.Atoi(part)
		if err != nil || n < 1 || n > 12 {
			return nil, fmt.Errorf("%w: --at cannot be %q: want numbers of 1 to 12, by commas", errUsage, text)
		}
		list = append(list, n)
	}
	return list, nil
}

// injected sums up what doubles have logged at their ends.
func injected(folder string) (put int, counted bool) {
	logs, err := filepath.Glob(filepath.Join(folder, "p*.log"))
	if err != nil {
		return 0, false
	}
	for _, log := range logs {
		text, err := os.ReadFile(log)
		if err != nil {
			continue
		}
		for line := range strings.Lines(string(text)) {
			var n int
			if _, err := fmt.Sscanf(line, "injected=%d", &n); err == nil {
				put, counted = put+n, true
			}
		}
	}
	return put, counted
}

// interleaved parses flags that may stand before and behind names.
func interleaved(flags *flag.FlagSet, args []string) (names []string, err error) {
	for {
		if err := flags.Parse(args); err != nil {
			return nil, err
		}
		if flags.NArg() == 0 {
			return names, nil
		}
		names, args = append(names, flags.Arg(0)), flags.Args()[1:]
	}
}

func (s *settings) options(progress io.Writer) (o rehearse.Options, done func(), err error) {
	done = func() {}
	if s.program == "" {
		self, err := os.Executable()
		if err != nil {
			return o, done, err
		}
		s.program = filepath.Join(filepath.Dir(self), "yarrowspan")
	}
	if _, err := os.Stat(s.program); err != nil {
		return o, done, fmt.Errorf("%w: the proxy: %w (build it, or name it with --program)", errUsage, err)
	}
	o.Program = []string{s.program, "serve", "--config"}
	o.Progress = func(string, ...any) {}
	if !s.quiet {
		o.Progress = func(format string, a ...any) {
			fmt.Fprintf(progress, "%s %s\n", time.Now().Format("15:04:05"), fmt.Sprintf(format, a...))
		}
	}
	if o.Folder = s.keep; s.keep != "" {
		return o, done, os.MkdirAll(s.keep, 0o755)
	}
	o.Folder, done, err = rehearse.TempFolder()
	return o, done, err
}

// adapt has a scenario be played as the flags say.
func (s *settings) adapt(scenario *rehearse.Scenario) {
	if s.binary {
		scenario.WithBinary()
	}
	if s.consul {
		scenario.Fleet.Consul = true
	}
	if s.library {
		scenario.WithLibrary()
	}
}

func (s *settings) play(ctx context.Context, name string, o rehearse.Options, out io.Writer) error {
	scenario, err := rehearse.Load(name)
	if err != nil {
		return fmt.Errorf("%w: %w", errUsage, err)
	}
	s.adapt(scenario)
	report, err := rehearse.Play(ctx, scenario, o)
	if err != nil {
		return err
	}
	return s.judge(report, out)
}

// judge prints a report, and fails where it tells of a breach.
func (s *settings) judge(report interface {
	printer
	OK() bool
}, out io.Writer) error {
	if err := s.print(report, out); err != nil {
		return err
	}
	if !report.OK() {
		return errBroken
	}
	return nil
}

func (s *settings) print(report printer, out io.Writer) error {
	report.Print(out)
	if s.json == "" {
		return nil
	}
	text, err := json.MarshalIndent(report, "", " ")
	if err != nil {
		return err
	}
	return os.WriteFile(s.json, append(text, '\n'), 0o644)
}

// playDouble is a proxy with a fault put in: double FAULT EVERY CONFIG.
func playDouble(ctx context.Context, args []string, log io.Writer) error {
	var every int
	if len(args) != 3 || !slices.Contains(double.Faults, args[0]) {
		return fmt.Errorf("%w: double FAULT EVERY CONFIG", errUsage)
	}
	if _, err := fmt.Sscan(args[1], &every); err != nil {
		return fmt.Errorf("%w: double: every %q", errUsage, args[1])
	}
	c, err := config.Read(args[2])
	if err != nil {
		return err
	}
	manager, err := notify.FromEnvironment(os.Getenv)
	if err != nil {
		return err
	}
	listener, err := net.Listen("tcp", c.Proxy.Listen)
	if err != nil {
		return err
	}
	d := double.Serve(ctx, double.Config{Listener: listener, List: c.Proxy.Places[0].Address, Fault: args[0], Every: every,
		Window: 1500 * time.Millisecond}, func() { manager.Tell(notify.Ready) })
	fmt.Fprintf(log, "injected=%d\n", d.Injected())
	return nil
}

// playHolder holds a task over and over: holder JUDGE SEED FLEET VOTER=ADDRESS...
func playHolder(ctx context.Context, args []string) error {
	if len(args) < 4 {
		return fmt.Errorf("%w: holder takes a judge, a number, a fleet and its voters", errUsage)
	}
	seed, err := strconv.ParseUint(args[1], 10, 64)
	if err != nil {
		return fmt.Errorf("%w: holder: seed %q", errUsage, args[1])
	}
	f := agent.Fleet{Name: args[2]}
	for _, v := range args[3:] {
		name, address, _ := strings.Cut(v, "=")
		f.Voters = append(f.Voters, agent.Peer{Name: name, Address: address})
	}
	manager, err := notify.FromEnvironment(os.Getenv)
	if err != nil {
		return err
	}
	manager.Tell(notify.Ready)
	return rehearse.ActAsHolder(ctx, args[0], seed, f)
}

// playRelay is a byte relay: relay ADDRESS TO.
func playRelay(ctx context.Context, args []string) error {
	if len(args) != 2 {
		return fmt.Errorf("%w: relay ADDRESS TO", errUsage)
	}
	manager, err := notify.FromEnvironment(os.Getenv)
	if err != nil {
		return err
	}
	listener, err := net.Listen("tcp", args[0])
	if err != nil {
		return err
	}
	stop := context.AfterFunc(ctx, func() { listener.Close() })
	defer stop()
	manager.Tell(notify.Ready)
	relay.Serve(listener, args[1])
	return nil
}
