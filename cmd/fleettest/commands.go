package main

import (
	"context"
	"fmt"
	"time"

	"github.com/alecthomas/kong"

	"mulleinpier/internal/fleettest"
)

// commands are the verbs. The names of fields in this and the structs of the verbs are names of verbs, flags and
// arguments.
type commands struct {
	commonFlags
	List listFlag `help:"List the built-in scenarios."`

	Wave     waveCommand     `cmd:"" help:"Restart twenty proxies in rolling waves."`
	Play     playCommand     `cmd:"" help:"Play any scenario."`
	Up       upCommand       `cmd:"" help:"Hold a small fleet until interrupted."`
	Cost     costCommand     `cmd:"" help:"Measure the CPU time of a proxy and of a byte relay."`
	Times    timesCommand    `cmd:"" help:"Measure the time from exec to ready, and from SIGTERM to exit."`
	Agents   consulCommand   `cmd:"" name:"consul" help:"A fleet whose list comes from failing Consul agents."`
	Degrade  degradeCommand  `cmd:"" help:"Overloads without and with degradation levels, same seeds."`
	Clients  clientsCommand  `cmd:"" help:"Clients that use the library beside naive ones, in five faults."`
	Still    stillCommand    `cmd:"" help:"Paused processes and cut links: each fault at some of twelve proxies."`
	Lease    leaseCommand    `cmd:"" help:"One task among eight processes, with faults between them, two minutes."`
	Takeover takeoverCommand `cmd:"" help:"Proxies killed, stopped and cut off with handovers in flight."`
	Peers    peersCommand    `cmd:"" help:"Members of a fleet: how soon failures are detected, and what idling costs."`
	Members  membersCommand  `cmd:"" help:"Measure what following 2,000 nodes with 50 changes a second costs."`
	Conform  conformCommand  `cmd:"" help:"The conformance suite: both client dialects by both node dialects."`
	Sight    sightCommand    `cmd:"" help:"Play a proxy with a planted defect, which has to be detected."`

	// Processes that a test starts from this program.
	AsDouble doubleCommand `cmd:"" name:"double" hidden:"" help:"Be a proxy with a planted defect."`
	AsRelay  relayCommand  `cmd:"" name:"relay" hidden:"" help:"Be a byte relay."`
	AsHolder holderCommand `cmd:"" name:"holder" hidden:"" help:"Acquire a task over and over."`
}

// play carries out a verb, and returns its report, nil for none.
func (c *commands) play(ctx context.Context, verb string, test *testRun) (report, error) {
	verbs := map[string]interface {
		play(ctx context.Context, test *testRun) (report, error)
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
	return v.play(ctx, test)
}

// listFlag prints the built-in scenarios in place of a command.
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
	Short   bool `help:"Six proxies, under a minute."`
	Permits bool `help:"Restart by permits of the fleet, two at a time, while voters fail; under a minute."`
}

func (c *waveCommand) play(ctx context.Context, test *testRun) (report, error) {
	name := "wave"
	if c.Permits {
		name += "-permits"
	}
	if c.Short {
		name += "-short"
	}
	return test.playScenario(ctx, name)
}

type playCommand struct {
	Name string `arg:"" help:"A built-in scenario, or a file."`
}

func (c *playCommand) play(ctx context.Context, test *testRun) (report, error) {
	return test.playScenario(ctx, c.Name)
}

type upCommand struct {
	Scenario string `default:"up" help:"Scenario of the fleet to hold."`
}

func (c *upCommand) play(ctx context.Context, test *testRun) (report, error) {
	scenario, err := test.loadScenario(c.Scenario)
	if err != nil {
		return nil, err
	}
	return nil, fleettest.HoldFleet(ctx, scenario, test.options, func(line string) { fmt.Fprintln(test.out, line) })
}

type consulCommand struct{}

func (consulCommand) play(ctx context.Context, test *testRun) (report, error) {
	return test.playScenario(ctx, "consul")
}

type degradeCommand struct {
	Short    bool   `help:"One scenario, 25 s."`
	Scenario string `help:"One scenario alone."`
}

func (c *degradeCommand) play(ctx context.Context, test *testRun) (report, error) {
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
	Short   bool   `help:"Two faults, 30 s."`
	Tills   int    `default:"1000" help:"Clients of each kind."`
	Trouble string `help:"One fault alone: restart, only, kill, gone or outage."`
}

func (c *clientsCommand) play(ctx context.Context, test *testRun) (report, error) {
	return fleettest.RunClients(ctx, fleettest.ClientsOptions{
		Options:   test.options,
		Clients:   c.Tills,
		OnlyFault: c.Trouble,
		Short:     c.Short,
	})
}

type leaseCommand struct {
	Short    bool   `help:"25 s in place of two minutes."`
	Seed     uint64 `default:"1"`
	Careless bool   `help:"At a resource that checks no fencing tokens."`
	Gaps     int    `help:"Instead, measure so many times of each kind how long a task is without a holder."`
}

const (
	leaseDuration      = 2 * time.Minute
	leaseDurationShort = 25 * time.Second
)

func (c *leaseCommand) play(ctx context.Context, test *testRun) (report, error) {
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
	Short   bool          `help:"25 s of faults in place of two minutes, at a quarter of the rate."`
	Holders int           `default:"1" help:"Other proxies that record a write, 0 to 2."`
	Mode    string        `default:"strict" enum:"plain,strict" help:"plain (late retries are not safe) or strict."`
	Rate    float64       `default:"1700" help:"Requests a second."`
	For     time.Duration `default:"2m" help:"Duration of the faults."`
	Seed    uint64        `default:"1"`
}

const (
	takeoverDurationShort = 25 * time.Second
	takeoverRateShort     = 0.25 // of the rate
)

func (c *takeoverCommand) play(ctx context.Context, test *testRun) (report, error) {
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
	Instances int `default:"12" help:"4 to 99, three of which vote."`
	Times     int `default:"20" help:"Repetitions of each fault; 0 to measure idling alone."`
}

func (c *peersCommand) play(ctx context.Context, test *testRun) (report, error) {
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

func (conformCommand) play(ctx context.Context, test *testRun) (report, error) {
	return fleettest.RunConformance(ctx, test.options)
}
