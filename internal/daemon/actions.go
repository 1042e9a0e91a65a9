package daemon

import (
	"errors"
	"fmt"
	"runtime"

	"mulleinpier/internal/config"
	"mulleinpier/internal/lifecycle"
	"mulleinpier/internal/sdnotify"
)

// perform executes an action of the state machine.
func (d *daemon) perform(action lifecycle.Action) {
	switch action {
	case lifecycle.NotifyReady, lifecycle.NotifyReloading, lifecycle.NotifyStopping, lifecycle.NotifyWatchdog:
		d.notify(d.notification(action))
	case lifecycle.ReadConfig:
		d.tasks.Go(d.readConfig)
	case lifecycle.ApplyConfig:
		d.applyConfig(d.pending)
	case lifecycle.DiscardConfig:
		d.pending = nil
	case lifecycle.LogReloadIgnored:
		if d.log != nil {
			d.log.Warn("configuration reload ignored")
		}
	case lifecycle.RequestPermit:
		d.requestDrainPermit()
	case lifecycle.StartDrain:
		d.fleet.startDrain()
		d.drain()
	case lifecycle.ShortenDrain:
		if d.server != nil {
			d.server.ShortenDrain()
		}
	case lifecycle.Exit:
		d.exitErr = nil
	case lifecycle.ExitFailed:
		if d.exitErr == nil {
			d.exitErr = errors.New("the proxy stopped serving unexpectedly")
		}
	}
}

// notification returns the message that an action sends to the service manager.
func (d *daemon) notification(action lifecycle.Action) string {
	switch action {
	case lifecycle.NotifyReady:
		return sdnotify.Ready + "\n" + d.status()
	case lifecycle.NotifyReloading:
		return sdnotify.Reloading()
	case lifecycle.NotifyStopping:
		return sdnotify.Stopping
	default:
		return sdnotify.WatchdogPing + "\n" + d.status()
	}
}

// readConfig is the task that reads a new configuration. It first waits for a permit to reload, if one is needed.
func (d *daemon) readConfig() {
	permit := d.fleet.awaitPermit("reload")
	defer permit.release()
	c, err := d.LoadConfig()
	report := taskReport{event: lifecycle.ConfigValid, config: c, err: err}
	if err != nil {
		report.event = lifecycle.ConfigInvalid
	}
	d.reports <- report
}

// requestDrainPermit starts the task that waits for a permit to drain, if one is needed. It also sends the status to
// the service manager: the kernel merges pending signals, so the sender of a second termination has to know that the
// first has been received.
func (d *daemon) requestDrainPermit() {
	if !d.fleet.needsPermit() {
		d.handle(lifecycle.DrainPermitted)
		return
	}
	d.notify(d.status())
	d.tasks.Go(func() {
		d.fleet.keepPermit(d.fleet.awaitPermit("drain"))
		d.reports <- taskReport{event: lifecycle.DrainPermitted}
	})
}

// applyConfig applies a configuration completely or, if it is rejected, not at all. With Platform set, it applies only
// the address of the endpoint list.
func (d *daemon) applyConfig(c *config.Config) {
	d.pending = nil
	if d.Platform {
		d.server.ReloadSources(c.Proxy)
		return
	}
	if err := d.server.Reload(c.Proxy); err != nil {
		d.log.Error("configuration reload rejected", "error", err)
		return
	}
	d.logLevel.Set(c.Log.Level)
	d.fleet.reconfigure(c)
	d.log.Info("configuration reloaded", "sources", c.Proxy.SourceNames())
}

// status returns the message with the status text. It reads counts under the locks that all requests take, so a daemon
// whose requests are deadlocked there does not notify the watchdog.
func (d *daemon) status() string {
	text := d.machine.State().String()
	if d.server != nil {
		clients, inFlight := d.server.Load()
		text += fmt.Sprintf(", clients=%d open=%d goroutines=%d", clients, inFlight, runtime.NumGoroutine())
	}
	return sdnotify.Status(text)
}

// notify sends a message to the service manager. It logs only the first failure after the logger has been created.
func (d *daemon) notify(message string) {
	err := d.manager.Notify(message)
	if err == nil || d.notifyFailureLogged || d.log == nil {
		return
	}
	d.notifyFailureLogged = true
	d.log.Warn("service manager notification failed", "error", err)
}
