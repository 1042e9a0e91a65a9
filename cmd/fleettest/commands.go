package main

import (
	"context"
	"fmt"
	"time"

	"github.com/alecthomas/kong"

	"mulleinpier/internal/fleettest"
)

// commands are the commands and common flags. kong derives the names of commands, flags and arguments from the names of
// the fields here and in the structs of the commands.
type commands struct {
	commonFlags
	List listFlag `help:"List the built-in scenarios."`

	Wave     waveCommand     `cmd:"" help:"Restart twenty proxies in rolling waves."`
	Play     playCommand     `cmd:"" help:"Run any scenario."`
	Up       upCommand       `cmd:"" help:"Run a small fleet until interrupted."`
	Cost     costCommand     `cmd:"" help:"Measure the CPU time of a proxy and of a byte relay."`
	Times    timesCommand    `cmd:"" help:"Measure the time from exec to ready, and from SIGTERM to exit."`
	Agents   consulCommand   `cmd:"" name:"consul" help:"Run a fleet that discovers nodes from failing Consul agents."`
	Degrade  degradeCommand  `cmd:"" help:"Run overloads without and with degradation levels, on the same seeds."`
	Clients  clientsCommand  `cmd:"" help:"Compare clients that use the library with naive ones, under five faults."`
	Still    stillCommand    `cmd:"" help:"Paused processes and failing links: each fault at some of twelve proxies."`
	Lease    leaseCommand    `cmd:"" help:"Eight processes compete for one task for two minutes, under faults."`
	Takeover takeoverCommand `cmd:"" help:"Kill, stop and cut off proxies while handovers are in flight."`
	Peers    peersCommand    `cmd:"" help:"Measure how soon fleet members detect failures, and their idle cost."`
	Members  membersCommand  `cmd:"" help:"Measure the cost of following 2,000 nodes with 50 changes per second."`
	Conform  conformCommand  `cmd:"" help:"Run the conformance suite with both client and both node dialects."`
	Sight    sightCommand    `cmd:"" help:"Run proxies with a planted defect, to show that it is detected."`

	// Processes that a test starts from this program.
	AsDouble doubleCommand `cmd:"" name:"double" hidden:"" help:"Run as a proxy with a planted defect."`
	AsRelay  relayCommand  `cmd:"" name:"relay" hidden:"" help:"Run as a byte relay."`
	AsHolder holderCommand `cmd:"" name:"holder" hidden:"" help:"Run as a process that repeatedly acquires a task."`
}

// run runs a command, and returns its report, or nil if the command has none.
func (c *commands) run(ctx context.Context, verb string, test *testRun) (report, error) {
	verbs := map[string]interface {
		run(ctx context.Context, test *testRun) (report, error)
	}{
		"wave":     &c.Wave,
		"play":     &c.Play,
		"up":       &c.Up,
		"cost":     &c.Cost,
		"times":    &c.Times,
		"consul":   &c.Agents,
		"degrade":  &c.Degrade,
		"clients":  &c.Clients,
		"still":    &c.Still,
		"lease":    &c.Lease,
		"takeover": &c.Takeover,
		"peers":    &c.Peers,
		"members":  &c.Members,
		"conform":  &c.Conform,
		"sight":    &c.Sight,
	}
	v := verbs[verb]
	if v == nil {
		return nil, fmt.Errorf("%w: unknown command %q", errUsage, verb)
	}
	return v.run(ctx, test)
}

// listFlag prints the built-in scenarios instead of running a command.
type listFlag bool

// BeforeReset implements kong's hook, which runs before a missing command is reported.
func (listFlag) BeforeReset(app *kong.Kong) error {
	for _, s := range fleettest.BuiltInScenarios() {
		fmt.Fprintf(app.Stdout, "%-12s %s\n", s[0], s[1])
	}
	app.Exit(0)
	return nil
}

type waveCommand struct {
	Short   bool `help:"Run a smaller fleet, in under a minute."`
	Permits bool `help:"Restart by restart permits, two at a time, while voters fail; under a minute."`
}

func (c *waveCommand) run(ctx context.Context, test *testRun) (report, error) {
	name := "wave"
	if c.Permits {
		name += "-permits"
	}
	if c.Short {
		name += "-short"
	}
	return test.runScenario(ctx, name)
}

type playCommand struct {
	Name string `arg:"" help:"Name of a built-in scenario, or path of a scenario file."`
}

func (c *playCommand) run(ctx context.Context, test *testRun) (report, error) {
	return test.runScenario(ctx, c.Name)
}

type upCommand struct {
	Scenario string `default:"up" help:"Scenario that describes the fleet."`
}

func (c *upCommand) run(ctx context.Context, test *testRun) (report, error) {
	scenario, err := test.loadScenario(c.Scenario)
	if err != nil {
		return nil, err
	}
	return nil, fleettest.HoldFleet(ctx, scenario, test.options, func(line string) { fmt.Fprintln(test.out, line) })
}

type consulCommand struct{}

func (consulCommand) run(ctx context.Context, test *testRun) (report, error) {
	return test.runScenario(ctx, "consul")
}

type degradeCommand struct {
	Short    bool   `help:"Run one short scenario, 25 s."`
	Scenario string `help:"Run only this scenario."`
}

func (c *degradeCommand) run(ctx context.Context, test *testRun) (report, error) {
	names := fleettest.DegradationScenarios
	if c.Short {
		names = []string{"degrade-short"}
	}
	if c.Scenario != "" {
		names = []string{c.Scenario}
	}
	return fleettest.RunDegradation(ctx, names, test.options)
}

type clientsCommand struct {
	Short   bool   `help:"Run two faults, 30 s."`
	Tills   int    `default:"1000" help:"Number of clients of each kind."`
	Trouble string `help:"Run only this fault: restart, only, kill, gone or outage."`
}

func (c *clientsCommand) run(ctx context.Context, test *testRun) (report, error) {
	return fleettest.RunClients(ctx, fleettest.ClientsOptions{
		Options:   test.options,
		Clients:   c.Tills,
		OnlyFault: c.Trouble,
		Short:     c.Short,
	})
}

type leaseCommand struct {
	Short    bool   `help:"Run 25 s instead of two minutes."`
	Seed     uint64 `default:"1"`
	Careless bool   `help:"Use a resource that does not check fencing tokens."`
	Gaps     int    `help:"Measure instead how long a task is without a holder, this often for each cause."`
}

const (
	leaseDuration      = 2 * time.Minute
	leaseDurationShort = 25 * time.Second
)

func (c *leaseCommand) run(ctx context.Context, test *testRun) (report, error) {
	holder := []string{test.self, "holder"}
	if c.Gaps > 0 {
		return fleettest.MeasureLeaseGaps(ctx, fleettest.LeaseGapsOptions{
			Options:       test.options,
			HolderCommand: holder,
			Repetitions:   c.Gaps,
		})
	}
	duration := leaseDuration
	if c.Short {
		duration = leaseDurationShort
	}
	return fleettest.RunLease(ctx, fleettest.LeaseOptions{
		Options:       test.options,
		HolderCommand: holder,
		Duration:      duration,
		Seed:          c.Seed,
		Unfenced:      c.Careless,
	})
}

type takeoverCommand struct {
	Short   bool          `help:"Run 25 s of faults instead of two minutes, at a quarter of the rate."`
	Holders int           `default:"1" help:"Number of other proxies that record each write, 0 to 2."`
	Mode    string        `default:"strict" enum:"plain,strict" help:"plain (late retries are not safe) or strict."`
	Rate    float64       `default:"1700" help:"Requests per second."`
	For     time.Duration `default:"2m" help:"Duration of the faults."`
	Seed    uint64        `default:"1"`
}

const (
	takeoverDurationShort = 25 * time.Second
	takeoverRateShort     = 0.25 // share of the rate
)

func (c *takeoverCommand) run(ctx context.Context, test *testRun) (report, error) {
	if err := checkBounds("holders", c.Holders, 0, 2); err != nil {
		return nil, err
	}
	o := fleettest.TakeoverOptions{
		Options:  test.options,
		Duration: c.For,
		Rate:     c.Rate,
		Holders:  c.Holders,
		Mode:     c.Mode,
		Seed:     c.Seed,
	}
	if c.Short {
		o.Duration = takeoverDurationShort
		o.Rate *= takeoverRateShort
	}
	return fleettest.RunTakeover(ctx, o)
}

type peersCommand struct {
	Instances int `default:"12" help:"Members of the fleet, 4 to 99, of which three are voters."`
	Times     int `default:"20" help:"Repetitions of each fault; 0 measures only the idle cost."`
}

func (c *peersCommand) run(ctx context.Context, test *testRun) (report, error) {
	if err := checkBounds("instances", c.Instances, 4, 99); err != nil {
		return nil, err
	}
	if err := checkBounds("times", c.Times, 0, 1000); err != nil {
		return nil, err
	}
	return fleettest.RunPeers(ctx, fleettest.PeersOptions{
		Options:     test.options,
		Instances:   c.Instances,
		Repetitions: c.Times,
	})
}

type conformCommand struct{}

func (conformCommand) run(ctx context.Context, test *testRun) (report, error) {
	return fleettest.RunConformance(ctx, test.options)
}
