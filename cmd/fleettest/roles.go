package main

import (
	"context"
	"fmt"
	"io"
	"net"
	"os"
	"os/signal"
	"strings"
	"syscall"
	"time"

	"mulleinpier/internal/config"
	"mulleinpier/internal/fake/faultyproxy"
	"mulleinpier/internal/fake/relay"
	"mulleinpier/internal/fleettest"
	"mulleinpier/internal/lease/agent"
	"mulleinpier/internal/sdnotify"
)

// The hidden commands run processes that a test starts from this program: a proxy with a planted defect, a byte relay,
// or a process that acquires a task.

type doubleCommand struct {
	Fault  string `arg:"" enum:"none,lose,double,drain"`
	Every  int    `arg:""`
	Config string `arg:""`
}

// nodesDedupWindow is the window within which the nodes of the scenario sight drop duplicate writes.
const nodesDedupWindow = 1500 * time.Millisecond

func (c *doubleCommand) run(ctx context.Context, log io.Writer) error {
	settings, err := config.Read(c.Config)
	if err != nil {
		return err
	}
	manager, err := sdnotify.FromEnvironment(os.Getenv)
	if err != nil {
		return err
	}
	listener, err := net.Listen("tcp", settings.Proxy.Listen)
	if err != nil {
		return err
	}
	proxy := faultyproxy.Serve(ctx, faultyproxy.Config{
		Listener:    listener,
		ListAddress: settings.Proxy.ListSources[0].Address,
		Fault:       c.Fault,
		OneIn:       c.Every,
		Window:      nodesDedupWindow,
	}, func() { manager.Notify(sdnotify.Ready) })
	fmt.Fprintf(log, injectedFormat+"\n", proxy.Injected())
	return nil
}

type relayCommand struct {
	Address string `arg:""`
	To      string `arg:""`
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

type holderCommand struct {
	Task   string   `required:""`
	Stay   bool     `help:"Release the task only on SIGUSR1."`
	Drift  float64  `help:"Drift of the process's clock, as a fraction."`
	Judge  string   `arg:""`
	Who    uint64   `arg:""`
	Fleet  string   `arg:""`
	Voters []string `arg:""`
}

func (c *holderCommand) run(ctx context.Context) error {
	fleet := agent.Fleet{Name: c.Fleet}
	for _, voter := range c.Voters {
		name, address, _ := strings.Cut(voter, "=")
		fleet.Voters = append(fleet.Voters, agent.VoterAddress{Name: name, Address: address})
	}
	manager, err := sdnotify.FromEnvironment(os.Getenv)
	if err != nil {
		return err
	}
	o := fleettest.HolderOptions{
		CheckerAddress: c.Judge,
		HolderID:       c.Who,
		Fleet:          fleet,
		Task:           c.Task,
		ClockDrift:     c.Drift,
	}
	if c.Stay {
		release := make(chan os.Signal, 1)
		signal.Notify(release, syscall.SIGUSR1)
		o.Release = release
	}
	manager.Notify(sdnotify.Ready)
	return fleettest.RunHolder(ctx, o)
}
