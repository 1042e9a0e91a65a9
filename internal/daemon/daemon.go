// Package daemon runs a proxy as a service: it carries out what package lifecycle decides on signals and events, reads
// configurations, notifies the service manager, and joins the fleet.
//
// Guarantees:
//
//  1. No request waits for the service manager, the fleet, its leases or a reload.
//  2. A configuration is applied completely or not at all; a failed reload leaves the former one in force.
//  3. Run returns only when every goroutine that it started has ended.
//
// It does not decide what a state means (package lifecycle does), nor does it handle requests (package proxy does).
//
// The goroutine of [Run] owns the daemon's state. Tasks (serving, reading a configuration, waiting for a permit) run in
// goroutines of their own and report to it over one channel. The fleet's membership has a lock of its own.
package daemon

import (
	"context"
	"io"
	"log/slog"
	"os"
	"sync"
	"time"

	"mulleinpier/internal/config"
	"mulleinpier/internal/lifecycle"
	"mulleinpier/internal/proxy"
	"mulleinpier/internal/sdnotify"
)

// Options tell what to run.
type Options struct {
	// LoadConfig reads the configuration, at the start and at each hangup.
	LoadConfig func() (*config.Config, error)
	// Platform applies of a new configuration only what the platform changes in service. Without it a new configuration
	// is applied completely or refused.
	Platform bool
	// Getenv returns environment variables; the service manager sets some.
	Getenv func(string) string
	// Log is where log lines are written.
	Log io.Writer
	// Hangups brings SIGHUP. It must have a buffer of one, so that none is lost while it is not read: one is enough, as
	// a read of the configuration covers all hangups before it.
	Hangups <-chan os.Signal
	// Terminations brings SIGTERM and SIGINT. It must have a buffer of two for the same reason; a third has no effect.
	Terminations <-chan os.Signal
}

// daemon is the state of Run. Its fields belong to the goroutine of Run, except where a comment says otherwise.
type daemon struct {
	Options
	machine  lifecycle.Machine
	manager  *sdnotify.Notifier
	logLevel slog.LevelVar // safe for concurrent use
	log      *slog.Logger  // nil until a configuration has been read
	server   *proxy.Server // nil until it listens
	drain    context.CancelFunc
	tasks    sync.WaitGroup
	reports  chan taskReport // from tasks; safe for concurrent use
	pending  *config.Config  // valid and not applied yet
	exitErr  error
	// notifyFailureLogged is set once a failed notification has been logged.
	notifyFailureLogged bool
	fleet               fleetMember // safe for concurrent use
}

// taskReport is what a task reports: an event, or the server that it has started.
type taskReport struct {
	event  lifecycle.Event
	server *proxy.Server // with log: it listens; no event
	log    *slog.Logger
	config *config.Config // with ConfigValid
	err    error          // with ConfigInvalid and StartFailed
}

// minWatchdogInterval bounds how often the watchdog is notified.
const minWatchdogInterval = time.Millisecond

// Run serves until it is terminated, and returns nil when all accepted requests are answered. The error of a failed
// start names what is wrong.
func Run(o Options) error {
	manager, err := sdnotify.FromEnvironment(o.Getenv)
	if err != nil {
		return err
	}
	inherited, err := sdnotify.Listener(o.Getenv)
	if err != nil {
		return err
	}
	ctx, drain := context.WithCancel(context.Background())
	d := &daemon{Options: o, manager: manager, drain: drain, reports: make(chan taskReport)}
	d.tasks.Go(func() { d.serve(ctx, inherited) })
	d.handleEvents()
	drain()
	d.awaitTasks()
	return d.exitErr
}

// handleEvents handles signals, reports and watchdog ticks until the daemon is stopped.
func (d *daemon) handleEvents() {
	var watchdog <-chan time.Time
	if d.manager.WatchdogInterval > 0 {
		ticker := time.NewTicker(max(d.manager.WatchdogInterval/2, minWatchdogInterval))
		defer ticker.Stop()
		watchdog = ticker.C
	}
	for d.machine.State() != lifecycle.Stopped {
		select {
		case <-d.Hangups:
			d.handle(lifecycle.Hangup)
		case <-d.Terminations:
			d.handle(lifecycle.Terminate)
		case <-watchdog:
			d.handle(lifecycle.WatchdogTick)
		case report := <-d.reports:
			d.handleReport(report)
		}
	}
}

// awaitTasks waits until all tasks have ended, and discards their reports: none has a meaning any more.
func (d *daemon) awaitTasks() {
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		d.tasks.Wait()
	}()
	for {
		select {
		case <-d.reports:
		case <-ended:
			return
		}
	}
}

func (d *daemon) handleReport(report taskReport) {
	if report.server != nil {
		d.server, d.log = report.server, report.log
		if d.machine.State() == lifecycle.Stopping {
			d.server.ShortenDrain() // that was requested before there was a server
		}
		return
	}
	switch report.event {
	case lifecycle.ConfigValid:
		d.pending = report.config
	case lifecycle.ConfigInvalid:
		for _, err := range config.Errors(report.err) {
			d.log.Error("configuration reload failed", "error", err)
		}
	case lifecycle.StartFailed:
		d.exitErr = report.err
	}
	d.handle(report.event)
}

func (d *daemon) handle(e lifecycle.Event) {
	for _, action := range d.machine.Handle(e) {
		d.perform(action)
	}
}
