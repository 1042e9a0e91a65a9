package daemon

import (
	"bytes"
	"context"
	"errors"
	"io"
	"log/slog"
	"math"
	"net"
	"runtime"
	"runtime/debug"
	"sync"
	"syscall"
	"time"

	"mulleinpier/internal/config"
	"mulleinpier/internal/consul"
	"mulleinpier/internal/lifecycle"
	"mulleinpier/internal/proxy"
)

const (
	// bindRetryInterval is the delay between attempts to bind an address that another process uses.
	bindRetryInterval = 20 * time.Millisecond
	// gcPercent makes garbage collections rare, which saves CPU while memory is plentiful. When memory is short, the
	// memory limit triggers collections.
	gcPercent = 400
	// memoryLimitTenths is the share of the configured memory, in tenths, that the Go runtime may use. The rest, at
	// least minUncountedBytes, is for memory that the runtime does not count, such as the pages of the program.
	memoryLimitTenths = 6
	minUncountedBytes = 16 << 20
)

// serve is the task that starts the proxy and runs it until it has drained. It reports exactly one of StartFailed and
// ServingEnded.
func (d *daemon) serve(ctx context.Context, inherited *net.TCPListener) {
	c, err := d.LoadConfig()
	if err != nil {
		d.reports <- taskReport{event: lifecycle.StartFailed, err: err}
		return
	}
	limitRuntime(c.Proxy)
	log := d.newLogger(c)
	server, err := listen(ctx, c, inherited, log)
	if err != nil {
		d.reports <- taskReport{event: lifecycle.StartFailed, err: err}
		return
	}
	log.Info("listener opened", "address", server.Address().String())
	for _, v := range c.Deprecated {
		log.Warn("environment variable deprecated", "variable", v.Name, "replacement", v.Replacement)
	}
	d.reports <- taskReport{server: server, log: log}
	deregister := startRegistration(ctx, server, c, log)
	d.fleet.start(c, server.Core(), log)
	var ready sync.WaitGroup
	ready.Go(func() {
		if d.awaitStarted(ctx, server, c, log) {
			d.reports <- taskReport{event: lifecycle.Started}
			d.fleet.releasePredecessorPermits(ctx)
		}
	})
	server.Serve(ctx)
	ready.Wait()
	d.fleet.stop()
	deregister()
	log.Info("drain completed")
	d.reports <- taskReport{event: lifecycle.ServingEnded}
}

// limitRuntime applies the configured limits to the Go runtime.
func limitRuntime(c *proxy.Config) {
	runtime.GOMAXPROCS(max(int(math.Ceil(c.Cores)), 1))
	debug.SetGCPercent(gcPercent)
	debug.SetMemoryLimit(int64(min(c.MemoryBytes/10*memoryLimitTenths, c.MemoryBytes-minUncountedBytes)))
}

// newLogger returns a logger with the configured format, which also reports dropped log lines. Its level follows
// d.logLevel, which a reload can change.
func (d *daemon) newLogger(c *config.Config) *slog.Logger {
	d.logLevel.Set(c.Log.Level)
	d.Log.SetReport(func(dropped int) []byte {
		var line bytes.Buffer
		log := d.newLoggerTo(&line, c)
		log.Warn("log lines dropped", "count", dropped)
		return line.Bytes()
	})
	return d.newLoggerTo(d.Log, c)
}

// newLoggerTo returns a logger with the configured format that writes to out.
func (d *daemon) newLoggerTo(out io.Writer, c *config.Config) *slog.Logger {
	options := &slog.HandlerOptions{Level: &d.logLevel}
	var handler slog.Handler = slog.NewTextHandler(out, options)
	if c.Log.JSON {
		handler = slog.NewJSONHandler(out, options)
	}
	return slog.New(handler).With("proxy", c.Proxy.Name)
}

// listen opens the listener, or uses inherited if it is not nil. If another process uses the address, listen retries
// for up to BindTimeout, or until ctx is done.
func listen(
	ctx context.Context, c *config.Config, inherited *net.TCPListener, log *slog.Logger,
) (*proxy.Server, error) {
	deadline := time.Now().Add(c.Startup.BindTimeout)
	for {
		server, err := proxy.Listen(c.Proxy, inherited, log)
		if !errors.Is(err, syscall.EADDRINUSE) || ctx.Err() != nil || !time.Now().Before(deadline) {
			return server, err
		}
		time.Sleep(bindRetryInterval)
	}
}

// startRegistration registers the proxy in Consul once its endpoint list is ready, and keeps it registered until ctx is
// done. The returned function waits for ctx to be done and deregisters the proxy.
func startRegistration(
	ctx context.Context, server *proxy.Server, c *config.Config, log *slog.Logger,
) (deregister func()) {
	if c.Registration == nil {
		return func() {}
	}
	registrar := consul.NewRegistrar(*c.Registration, log)
	var task sync.WaitGroup
	registered := false
	task.Go(func() {
		select {
		case <-server.EndpointListReady():
			registered = true
			registrar.Run(ctx, server.CanServe)
		case <-ctx.Done():
		}
	})
	return func() {
		if task.Wait(); registered {
			registrar.Deregister()
		}
	}
}

// awaitStarted waits until clients can be served: until the endpoint list is known or EndpointListTimeout has passed.
// It does not wait on the platform or if the configuration has an initial list. It returns false if ctx is done.
func (d *daemon) awaitStarted(
	ctx context.Context, server *proxy.Server, c *config.Config, log *slog.Logger,
) (started bool) {
	if !d.Platform && len(c.Proxy.InitialList.Endpoints) == 0 {
		timeout := time.NewTimer(c.Startup.EndpointListTimeout)
		defer timeout.Stop()
		select {
		case <-server.EndpointListReady():
		case <-timeout.C:
			log.Warn("endpoint list delayed", "sources", c.Proxy.SourceNames())
		case <-ctx.Done():
			return false
		}
	}
	return ctx.Err() == nil
}
