// Command fleettest plays a fleet of real proxy processes between stand-ins on
// loopback, and tells whether the rules held.
package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"os/signal"
	"path/filepath"
	"strings"
	"syscall"
	"time"

	"github.com/alecthomas/kong"

	"mulleinpier/internal/cli"
	"mulleinpier/internal/config"
	"mulleinpier/internal/fake/faultyproxy"
	"mulleinpier/internal/fake/relay"
	"mulleinpier/internal/fleettest"
	"mulleinpier/internal/lease/agent"
	"mulleinpier/internal/sdnotify"
)

// everywhere are the flags of all commands.
type everywhere struct {
	Program string `help:"The proxy; mulleinpier beside this program if left out."`
	JSON    string `help:"Write the report there too."`
	Keep    string `help:"Keep configurations and logs in that folder."`
	Quiet   bool   `help:"Tell no progress."`
	Consul  bool   `help:"Proxies follow stand-in Consul agents, one a zone."`
	Binary  bool   `help:"One client and one node in four speak the binary protocol."`
	Library bool   `help:"One client in four uses the client library."`
}

type waveCommand struct {
	Short   bool `help:"Six proxies, under a minute."`
	Permits bool `help:"Restarts by leave of the fleet, two at a time, while voters die; under a minute."`
}

type playCommand struct {
	Name string `arg:"" help:"A built-in scenario, or a file."`
}

type upCommand struct {
	Scenario string `default:"up" help:"What fleet to hold."`
}

type costCommand struct {
	Runs     int  `default:"5" help:"1 to 1000."`
	Requests int  `default:"20000" help:"1 to 10000000."`
	Peers    bool `help:"The proxy is one of a fleet that knows itself, with three voters beside it."`
}

type timesCommand struct {
	Runs int `default:"5" help:"1 to 1000."`
}

type degradeCommand struct {
	Short    bool   `help:"One scenario, 25 s."`
	Scenario string `help:"One scenario alone."`
}

type clientsCommand struct {
	Short   bool   `help:"Two troubles, 30 s."`
	Tills   int    `default:"1000" help:"Tills of each kind."`
	Trouble string `help:"One alone: restart, only, kill, gone or outage."`
}

type stillCommand struct {
	Short   bool   `help:"One scenario, 45 s."`
	At      []int  `default:"3" help:"At how many of the twelve proxies, by commas."`
	Trouble string `help:"Troubles whose names hold it."`
	Seed    uint64 `default:"1"`
	Pairs   bool   `help:"All pairs of faults in place of the usual troubles."`
	Beside  int    `default:"1" help:"How many plays run at a time."`
}

type leaseCommand struct {
	Short    bool   `help:"25 s in place of two minutes."`
	Seed     uint64 `default:"1"`
	Careless bool   `help:"At a resource that compares no numbers."`
	Gaps     int    `help:"Measure so many times of each kind how long a task is without a holder, instead."`
}

type takeoverCommand struct {
	Short   bool          `help:"25 s of faults in place of two minutes, at a quarter of the rate."`
	Holders int           `default:"1" help:"Other proxies that hold a work, 0 to 2."`
	Mode    string        `default:"strict" enum:"plain,strict" help:"plain, where tills that ask again late are not safe, or strict."`
	Rate    float64       `default:"1700" help:"Requests a second."`
	For     time.Duration `default:"2m" help:"How long faults are put in."`
	Seed    uint64        `default:"1"`
}

type peersCommand struct {
	Instances int `default:"12" help:"4 to 99, three of which vote."`
	Times     int `default:"20" help:"Of each trouble; 0 for rest alone."`
}

type sightCommand struct {
	Fault string `required:"" enum:"none,lose,double,drain" help:"What is put in: none, lose, double or drain."`
	Every int    `help:"In one request of so many."`
}

type doubleCommand struct {
	Fault  string `arg:"" enum:"none,lose,double,drain"`
	Every  int    `arg:""`
	Config string `arg:""`
}

type relayCommand struct {
	Address string `arg:""`
	To      string `arg:""`
}

type holderCommand struct {
	Task   string   `required:""`
	Stay   bool     `help:"It gives the task back at SIGUSR1 alone."`
	Drift  float64  `help:"Of its clock."`
	Judge  string   `arg:""`
	Who    uint64   `arg:""`
	Fleet  string   `arg:""`
	Voters []string `arg:""`
}

// listFlag prints the built-in scenarios in place of a command.
type listFlag bool

// BeforeReset implements kong's hook, which comes before a missing command is told.
func (listFlag) BeforeReset(app *kong.Kong) error {
	for _, s := range fleettest.BuiltInScenarios() {
		fmt.Fprintf(app.Stdout, "%-12s %s\n", s[0], s[1])
	}
	app.Exit(0)
	return nil
}

type commands struct {
	everywhere
	List listFlag `help:"List the built-in scenarios."`

	Wave     waveCommand     `cmd:"" help:"Twenty proxies in rolling waves."`
	Play     playCommand     `cmd:"" help:"Any scenario."`
	Up       upCommand       `cmd:"" help:"Hold a small fleet until interrupted."`
	Cost     costCommand     `cmd:"" help:"CPU of a proxy beside a byte relay."`
	Times    timesCommand    `cmd:"" help:"From exec to ready, from SIGTERM to exit."`
	Agents   struct{}        `cmd:"" name:"consul" help:"A fleet whose list comes from Consul agents, which fail in every way."`
	Degrade  degradeCommand  `cmd:"" help:"Overloads without and with levels of reduced service, same seeds."`
	Clients  clientsCommand  `cmd:"" help:"Tills that use the library beside such as the operators describe, in five troubles."`
	Still    stillCommand    `cmd:"" help:"Processes that stand still, links that are cut: each trouble at some of twelve proxies."`
	Lease    leaseCommand    `cmd:"" help:"One task among eight processes, with faults between them, two minutes."`
	Takeover takeoverCommand `cmd:"" help:"Proxies killed, stopped and cut off with handovers in hand."`
	Peers    peersCommand    `cmd:"" help:"Instances that know each other: when ends, stops and cuts are known, what rest costs."`
	Members  struct{}        `cmd:"" help:"What following 2,000 nodes with 50 changes a second costs."`
	Conform  struct{}        `cmd:"" help:"The conformance suite: both dialects of clients by both of nodes."`
	Sight    sightCommand    `cmd:"" help:"Play a proxy with a fault put in."`
	AsDouble doubleCommand   `cmd:"" name:"double" hidden:"" help:"Be a proxy with a fault put in."`
	AsRelay  relayCommand    `cmd:"" name:"relay" hidden:"" help:"Be a byte relay."`
	AsHolder holderCommand   `cmd:"" name:"holder" hidden:"" help:"Hold a task over and over."`
}

var (
	errUsage  = cli.ErrUsage
	errBroken = errors.New("a rule broke")
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	err := run(ctx, os.Args[1:], os.Stdout, os.Stderr)
	switch {
	case errors.Is(err, errUsage):
		fmt.Fprintf(os.Stderr, "fleettest: %v; see fleettest --help\n", err)
		os.Exit(2)
	case errors.Is(err, errBroken):
		os.Exit(1)
	case err != nil:
		fmt.Fprintln(os.Stderr, "fleettest:", err)
		os.Exit(1)
	}
}

// printer is a report of any command.
type printer interface{ Print(io.Writer) }

func run(ctx context.Context, args []string, out, progress io.Writer) error {
	var c commands
	chosen, err := cli.Parse(&c, "fleettest", "Plays a fleet of real proxy processes between stand-ins on loopback, and tells whether the rules held. "+
		"Exit: 0 they did, 1 one broke or the test failed, 2 bad usage.", args, out, progress)
	if err != nil || chosen == "" {
		return err
	}
	command, _, _ := strings.Cut(chosen, " ")
	switch command { // these play a part in a rehearsal
	case "double":
		return c.AsDouble.run(ctx, progress)
	case "relay":
		return c.AsRelay.run(ctx)
	case "holder":
		return c.AsHolder.run(ctx)
	}
	o, done, err := c.options(progress)
	if err != nil {
		return err
	}
	defer done()
	self, err := os.Executable()
	if err != nil {
		return err
	}
	report, err := c.play(ctx, command, self, o, out, progress)
	if err != nil || report == nil {
		return err
	}
	if err := c.print(report, out); err != nil {
		return err
	}
	if judged, ok := report.(interface{ OK() bool }); ok && !judged.OK() {
		return errBroken
	}
	return nil
}

// play carries out a command, and returns its report.
func (c *commands) play(ctx context.Context, command, self string, o fleettest.Options, out, progress io.Writer) (printer, error) {
	within := func(what string, n, least, most int) error {
		if n < least || n > most {
			return fmt.Errorf("%w: --%s cannot be %d: want %d to %d", errUsage, what, n, least, most)
		}
		return nil
	}
	switch command {
	case "wave":
		if c.Wave.Permits && c.Wave.Short {
			return c.scenario(ctx, "wave-permits-short", o)
		}
		if c.Wave.Permits {
			return c.scenario(ctx, "wave-permits", o)
		}
		if c.Wave.Short {
			return c.scenario(ctx, "wave-short", o)
		}
		return c.scenario(ctx, "wave", o)
	case "play":
		return c.scenario(ctx, c.Play.Name, o)
	case "consul":
		return c.scenario(ctx, "consul", o)
	case "sight":
		every := c.Sight.Every
		if every == 0 { // so that some are put in, whatever the fault
			every = usualEvery[c.Sight.Fault]
		}
		if err := within("every", every, 1, 1e6); err != nil {
			return nil, err
		}
		o.ProxyCommand = []string{self, "double", c.Sight.Fault, fmt.Sprint(every)}
		report, err := c.scenario(ctx, "sight", o)
		if put, counted := injected(o.Folder); counted {
			fmt.Fprintf(progress, "put in: %d\n", put)
		}
		return report, err
	case "up":
		scenario, err := fleettest.LoadScenario(c.Up.Scenario)
		if err != nil {
			return nil, fmt.Errorf("%w: %w", errUsage, err)
		}
		c.adapt(scenario)
		return nil, fleettest.HoldFleet(ctx, scenario, o, func(line string) { fmt.Fprintln(out, line) })
	case "cost":
		if err := errors.Join(within("runs", c.Cost.Runs, 1, 1000), within("requests", c.Cost.Requests, 1, 1e7)); err != nil {
			return nil, err
		}
		return fleettest.MeasureCost(ctx, fleettest.CostOptions{ProxyCommand: o.ProxyCommand, RelayCommand: []string{self, "relay"}, Folder: o.Folder,
			ProfiledProxyCommand: func(path string) []string {
				return []string{o.ProxyCommand[0], "serve", "--cpuprofile", path, "--config"}
			},
			Peers: c.Cost.Peers,
			Runs:  c.Cost.Runs, Requests: c.Cost.Requests, Conns: []int{1, 8, 64}, Progress: o.Progress})
	case "members":
		return fleettest.MeasureMembership(ctx, fleettest.MembersOptions{Options: o, Nodes: 2000, ChangesPerSecond: 50, Duration: 20 * time.Second})
	case "degrade":
		names := fleettest.DegradationScenarios
		if c.Degrade.Short {
			names = []string{"degrade-short"}
		}
		if c.Degrade.Scenario != "" {
			names = []string{c.Degrade.Scenario}
		}
		return fleettest.RunDegradation(ctx, names, o)
	case "clients":
		return fleettest.RunClients(ctx, fleettest.ClientsOptions{Options: o, Clients: c.Clients.Tills, OnlyFault: c.Clients.Trouble, Short: c.Clients.Short})
	case "still":
		if c.Still.Short {
			return c.scenario(ctx, "still-short", o)
		}
		errs := []error{within("beside", c.Still.Beside, 1, 16)}
		for _, at := range c.Still.At {
			errs = append(errs, within("at", at, 1, 12))
		}
		if err := errors.Join(errs...); err != nil {
			return nil, err
		}
		return fleettest.RunPauses(ctx, fleettest.PauseOptions{Options: o, ProxyCounts: c.Still.At, OnlyFault: c.Still.Trouble, Seed: c.Still.Seed,
			AllPairs: c.Still.Pairs, Parallel: c.Still.Beside})
	case "lease":
		if c.Lease.Gaps > 0 {
			return fleettest.MeasureLeaseGaps(ctx, fleettest.LeaseGapsOptions{Options: o, HolderCommand: []string{self, "holder"}, Repetitions: c.Lease.Gaps})
		}
		length := 2 * time.Minute
		if c.Lease.Short {
			length = 25 * time.Second
		}
		return fleettest.RunLease(ctx, fleettest.LeaseOptions{Options: o, HolderCommand: []string{self, "holder"}, Duration: length, Seed: c.Lease.Seed, Unfenced: c.Lease.Careless})
	case "peers":
		if err := errors.Join(within("instances", c.Peers.Instances, 4, 99), within("times", c.Peers.Times, 0, 1000)); err != nil {
			return nil, err
		}
		return fleettest.RunPeers(ctx, fleettest.PeersOptions{Options: o, Instances: c.Peers.Instances, Repetitions: c.Peers.Times})
	case "takeover":
		if err := within("holders", c.Takeover.Holders, 0, 2); err != nil {
			return nil, err
		}
		length, rate := c.Takeover.For, c.Takeover.Rate
		if c.Takeover.Short {
			length, rate = 25*time.Second, rate/4
		}
		return fleettest.RunTakeover(ctx, fleettest.TakeoverOptions{Options: o, Duration: length, Rate: rate, Holders: c.Takeover.Holders, Mode: c.Takeover.Mode, Seed: c.Takeover.Seed})
	case "conform":
		return fleettest.RunConformance(ctx, o)
	}
	if err := within("runs", c.Times.Runs, 1, 1000); err != nil {
		return nil, err
	}
	return fleettest.MeasureStartStop(o.ProxyCommand, o.Folder, c.Times.Runs)
}

// usualEvery is how often a fault is put in by default: lose and drain befall any
// request, double handovers only.
var usualEvery = map[string]int{faultyproxy.NoFault: 1, faultyproxy.LoseAnswer: 500, faultyproxy.DuplicateWrite: 100, faultyproxy.UseDraining: 500}

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

func (s *everywhere) options(progress io.Writer) (o fleettest.Options, done func(), err error) {
	done = func() {}
	if s.Program == "" {
		self, err := os.Executable()
		if err != nil {
			return o, done, err
		}
		s.Program = filepath.Join(filepath.Dir(self), "mulleinpier")
	}
	if _, err := os.Stat(s.Program); err != nil {
		return o, done, fmt.Errorf("%w: the proxy: %w (build it, or name it with --program)", errUsage, err)
	}
	o.ProxyCommand = []string{s.Program, "serve", "--config"}
	o.Progress = func(string, ...any) {}
	if !s.Quiet {
		o.Progress = func(format string, a ...any) {
			fmt.Fprintf(progress, "%s %s\n", time.Now().Format("15:04:05"), fmt.Sprintf(format, a...))
		}
	}
	if o.Folder = s.Keep; s.Keep != "" {
		return o, done, os.MkdirAll(s.Keep, 0o755)
	}
	o.Folder, done, err = fleettest.TempFolder()
	return o, done, err
}

// adapt has a scenario be played as the flags say.
func (s *everywhere) adapt(scenario *fleettest.Scenario) {
	if s.Binary {
		scenario.WithBinary()
	}
	if s.Consul {
		scenario.Fleet.Consul = true
	}
	if s.Library {
		scenario.WithLibrary()
	}
}

// scenario plays one scenario.
func (s *everywhere) scenario(ctx context.Context, name string, o fleettest.Options) (printer, error) {
	scenario, err := fleettest.LoadScenario(name)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", errUsage, err)
	}
	s.adapt(scenario)
	return fleettest.RunScenario(ctx, scenario, o)
}

func (s *everywhere) print(report printer, out io.Writer) error {
	report.Print(out)
	if s.JSON == "" {
		return nil
	}
	text, err := json.MarshalIndent(report, "", " ")
	if err != nil {
		return err
	}
	return os.WriteFile(s.JSON, append(text, '\n'), 0o644)
}

func (c *doubleCommand) run(ctx context.Context, log io.Writer) error {
	read, err := config.Read(c.Config)
	if err != nil {
		return err
	}
	manager, err := sdnotify.FromEnvironment(os.Getenv)
	if err != nil {
		return err
	}
	listener, err := net.Listen("tcp", read.Proxy.Listen)
	if err != nil {
		return err
	}
	d := faultyproxy.Serve(ctx, faultyproxy.Config{Listener: listener, ListAddress: read.Proxy.ListSources[0].Address, Fault: c.Fault, OneIn: c.Every,
		Window: 1500 * time.Millisecond}, func() { manager.Notify(sdnotify.Ready) })
	fmt.Fprintf(log, "injected=%d\n", d.Injected())
	return nil
}

func (c *holderCommand) run(ctx context.Context) error {
	f := agent.Fleet{Name: c.Fleet}
	for _, v := range c.Voters {
		name, address, _ := strings.Cut(v, "=")
		f.Voters = append(f.Voters, agent.VoterAddress{Name: name, Address: address})
	}
	manager, err := sdnotify.FromEnvironment(os.Getenv)
	if err != nil {
		return err
	}
	o := fleettest.HolderOptions{CheckerAddress: c.Judge, HolderID: c.Who, Fleet: f, Task: c.Task, ClockDrift: c.Drift}
	if c.Stay {
		back := make(chan os.Signal, 1)
		signal.Notify(back, syscall.SIGUSR1)
		o.Release = back
	}
	manager.Notify(sdnotify.Ready)
	return fleettest.RunHolder(ctx, o)
}

func (c *relayCommand) run(ctx context.Context) error {
	manager, err := sdnotify.FromEnvironment(os.Getenv)
	if err != nil {
		return err
	}
	listener, err := net.Listen("tcp", c.Address)
	if err != nil {
		return err
	}
	stop := context.AfterFunc(ctx, func() { listener.Close() })
	defer stop()
	manager.Notify(sdnotify.Ready)
	relay.Serve(listener, c.To)
	return nil
}
