package main

import (
	"context"
	"errors"
	"time"

	"mulleinpier/internal/fleettest"
)

type costCommand struct {
	Runs     int  `default:"5" help:"Number of runs, 1 to 1000."`
	Requests int  `default:"20000" help:"Number of requests in each measurement, 1 to 10000000."`
	Peers    bool `help:"The proxy is a member of a fleet with three voters."`
}

// costConns lists the numbers of connections for which costs are measured.
var costConns = []int{1, 8, 64}

func (c *costCommand) run(ctx context.Context, test *testRun) (report, error) {
	err := errors.Join(checkBounds("runs", c.Runs, 1, 1000), checkBounds("requests", c.Requests, 1, 1e7))
	if err != nil {
		return nil, err
	}
	program := test.options.ProxyCommand[0]
	return fleettest.MeasureCost(ctx, fleettest.CostOptions{
		ProxyCommand: test.options.ProxyCommand,
		ProfiledProxyCommand: func(path string) []string {
			return []string{program, "serve", "--cpuprofile", path, "--config"}
		},
		RelayCommand: []string{test.self, "relay"},
		Folder:       test.options.Folder,
		Peers:        c.Peers,
		Runs:         c.Runs,
		Requests:     c.Requests,
		Conns:        costConns,
		Progress:     test.options.Progress,
	})
}

type timesCommand struct {
	Runs int `default:"5" help:"Number of runs, 1 to 1000."`
}

func (c *timesCommand) run(_ context.Context, test *testRun) (report, error) {
	if err := checkBounds("runs", c.Runs, 1, 1000); err != nil {
		return nil, err
	}
	return fleettest.MeasureStartStop(test.options.ProxyCommand, test.options.Folder, c.Runs)
}

type membersCommand struct{}

func (membersCommand) run(ctx context.Context, test *testRun) (report, error) {
	return fleettest.MeasureMembership(ctx, fleettest.MembersOptions{
		Options:          test.options,
		Nodes:            2000,
		ChangesPerSecond: 50,
		Duration:         20 * time.Second,
	})
}

type stillCommand struct {
	Short   bool   `help:"Run one short scenario, 45 s."`
	At      []int  `default:"3" help:"At how many of the twelve proxies to inject each fault, separated by commas."`
	Trouble string `help:"Run only faults whose names contain this."`
	Seed    uint64 `default:"1"`
	Pairs   bool   `help:"Run all pairs of faults instead of the default faults."`
	Beside  int    `default:"1" help:"How many tests to run at a time."`
}

func (c *stillCommand) run(ctx context.Context, test *testRun) (report, error) {
	if c.Short {
		return test.runScenario(ctx, "still-short")
	}
	errs := []error{checkBounds("beside", c.Beside, 1, 16)}
	for _, at := range c.At {
		errs = append(errs, checkBounds("at", at, 1, 12))
	}
	if err := errors.Join(errs...); err != nil {
		return nil, err
	}
	return fleettest.RunPauses(ctx, fleettest.PauseOptions{
		Options:     test.options,
		ProxyCounts: c.At,
		OnlyFault:   c.Trouble,
		Seed:        c.Seed,
		AllPairs:    c.Pairs,
		Parallel:    c.Beside,
	})
}
