// Package daemon runs a proxy as a service: it performs the actions that package lifecycle returns for signals and
// events, reads configurations, notifies the service manager, and joins the fleet.
//
// Guarantees:
//
//  1. No request waits for the service manager, the fleet, its leases or a reload.
//  2. A configuration is applied completely or not at all; a failed reload leaves the former one in force.
//  3. Run returns only when every goroutine that it started has ended.
//
// The state transitions are in package lifecycle; requests are handled by package proxy.
//
// The goroutine that calls [Run] owns the daemon's state. Tasks (serving, reading a configuration, waiting for a
// permit) run in separate goroutines and report to it over one channel. The fleet membership has its own lock.
package daemon

import (
	"context"
	"log/slog"
	"os"
	"sync"
	"time"

	"mulleinpier/internal/config"
	"mulleinpier/internal/lifecycle"
	"mulleinpier/internal/logqueue"
	"mulleinpier/internal/proxy"
	"mulleinpier/internal/sdnotify"
)

// Options configure Run. LoadConfig, Getenv and Log are required.
type Options struct {
	// LoadConfig reads the configuration at the start, and again for each reload.
	LoadConfig func() (*config.Config, error)
	// Platform restricts a reload to what the platform changes at run time: the address of the endpoint list. If it is
	// false, a new configuration is applied completely or rejected.
	Platform bool
	// Getenv returns the value of an environment variable, such as those that the service manager sets.
	Getenv func(string) string
	// Log receives the log lines. The caller closes it after Run has returned.
	Log *logqueue.Queue
	// Hangups delivers SIGHUP. The channel must have a buffer of one, so that no hangup is lost while Run is busy. One
	// is enough, as one read of the configuration covers all hangups before it.
	Hangups <-chan os.Signal
	// Terminations delivers SIGTERM and SIGINT. The channel must have a buffer of two, so that neither of two
	// terminations is lost while Run is busy; a third one has no effect.
	Terminations <-chan os.Signal
}

// daemon is the state of Run. Only the goroutine of Run accesses its fields, unless a comment says otherwise.
type daemon struct {
	Options
	machine  lifecycle.Machine
	manager  *sdnotify.Notifier
	logLevel slog.LevelVar // safe for concurrent use
	log      *slog.Logger  // nil until a configuration has been read
	server   *proxy.Server // nil until the proxy listens
	drain    context.CancelFunc
	tasks    sync.WaitGroup
	reports  chan taskReport // reports of tasks; safe for concurrent use
	pending  *config.Config  // valid configuration that has not been applied yet
	exitErr  error           // error that Run returns
	// notifyFailureLogged is set once a failed notification has been logged.
	notifyFailureLogged bool
	fleet               fleetMember // safe for concurrent use
}

// taskReport is a report of a task to the goroutine of Run: either an event, or the server once it listens.
type taskReport struct {
	event  lifecycle.Event
	server *proxy.Server // set together with log once the server listens; event is then unused
	log    *slog.Logger
	config *config.Config // set for ConfigValid
	err    error          // set for ConfigInvalid and StartFailed
}

// minWatchdogInterval bounds how often the watchdog is notified.
const minWatchdogInterval = time.Millisecond

// Run starts the proxy and serves until it is terminated. It returns nil once all accepted requests are answered, or an
// error if the start failed or the proxy stopped unexpectedly.
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

// awaitTasks waits until all tasks have ended, and discards their reports, which have no effect on a stopped daemon.
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
			d.server.ShortenDrain() // the second termination came before the server existed
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
