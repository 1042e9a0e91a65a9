// Package daemon runs a proxy as a service: it carries out what lifecycle decides
// of signals and events, reads configurations, and speaks with the service manager.
// Whatever a request needs is elsewhere; whatever a state means is in lifecycle.
package daemon

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"math"
	"net"
	"os"
	"runtime"
	"runtime/debug"
	"sync"
	"syscall"
	"time"

	"mulleinpier/internal/config"
	"mulleinpier/internal/consul"
	"mulleinpier/internal/lifecycle"
	"mulleinpier/internal/proxy"
	"mulleinpier/internal/sdnotify"
)

// Options say what to run.
type Options struct {
	// LoadConfig reads the configuration, at the start and at each hangup.
	LoadConfig func() (*config.Config, error)
	// Platform follows of a new configuration only what the platform changes in
	// service; otherwise it is put into force whole or refused.
	Platform bool
	Getenv   func(string) string
	Log      io.Writer
	// Hangups and Terminations bring the signals. Each must be buffered, so that
	// none is lost while nobody reads: one place does for hangups, as a read of the
	// configuration heeds all that came before it, and two for terminations, as a
	// third means nothing.
	Hangups, Terminations <-chan os.Signal
}

// bindPause is the wait before an address that another process holds is tried again.
const bindPause = 20 * time.Millisecond

// daemon is the state of Run. Its fields belong to Run's goroutine, but for what
// is said otherwise.
type daemon struct {
	Options
	machine lifecycle.Machine
	manager *sdnotify.Notifier
	level   slog.LevelVar
	log     *slog.Logger // nil until the configuration has been read
	server  *proxy.Server
	drain   context.CancelFunc
	tasks   sync.WaitGroup
	news    chan news // of the tasks
	read    *config.Config
	exit    error
	muted   bool // the manager's deafness has been told
	peers   peers
}

// news is what a task has to tell.
type news struct {
	event  lifecycle.Event
	server *proxy.Server // with its logger: it listens
	log    *slog.Logger
	config *config.Config // with ReadGood
	err    error
}

// Run serves until it is told to end, and returns nil when all that was taken
// is answered. The error of a start that failed names what is wrong.
func Run(o Options) error {
	manager, err := sdnotify.FromEnvironment(o.Getenv)
	if err != nil {
		return err
	}
	passed, err := sdnotify.Listener(o.Getenv)
	if err != nil {
		return err
	}
	ctx, drain := context.WithCancel(context.Background())
	d := &daemon{Options: o, manager: manager, drain: drain, news: make(chan news)}
	d.tasks.Go(func() { d.serve(ctx, passed) })
	var pings <-chan time.Time
	if manager.WatchdogInterval > 0 {
		tick := time.NewTicker(max(manager.WatchdogInterval/2, time.Millisecond))
		defer tick.Stop()
		pings = tick.C
	}
	for d.machine.State() != lifecycle.Stopped {
		select {
		case <-d.Hangups:
			d.handle(lifecycle.Hangup)
		case <-d.Terminations:
			d.handle(lifecycle.Terminate)
		case <-pings:
			d.handle(lifecycle.WatchdogTick)
		case n := <-d.news:
			d.take(n)
		}
	}
	drain()
	// A task may have something to tell yet that means nothing any more.
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		d.tasks.Wait()
	}()
	for {
		select {
		case <-d.news:
		case <-ended:
			return d.exit
		}
	}
}

func (d *daemon) take(n news) {
	if n.server != nil {
		if d.server, d.log = n.server, n.log; d.machine.State() == lifecycle.Stopping {
			d.server.ShortenDrain() // what asked for it came before there was a server
		}
		return // no event: it is told ready later
	}
	switch n.event {
	case lifecycle.ConfigValid:
		d.read = n.config
	case lifecycle.ConfigInvalid:
		for _, err := range config.Errors(n.err) {
			d.log.Error("reload failed, the old configuration stays", "error", err)
		}
	case lifecycle.StartFailed:
		d.exit = n.err
	}
	d.handle(n.event)
}

func (d *daemon) handle(e lifecycle.Event) {
	for _, action := range d.machine.Handle(e) {
		d.do(action)
	}
}

func (d *daemon) do(action lifecycle.Action) {
	switch action {
	case lifecycle.NotifyReady:
		d.tell(sdnotify.Ready + "\n" + d.status())
	case lifecycle.NotifyReloading:
		d.tell(sdnotify.Reloading())
	case lifecycle.NotifyStopping:
		d.tell(sdnotify.Stopping)
	case lifecycle.NotifyWatchdog:
		d.tell(sdnotify.WatchdogPing + "\n" + d.status())
	case lifecycle.ReadConfig:
		d.tasks.Go(func() {
			permit := d.peers.ask("reload")
			defer permit.giveBack()
			c, err := d.LoadConfig()
			n := news{event: lifecycle.ConfigValid, config: c, err: err}
			if err != nil {
				n.event = lifecycle.ConfigInvalid
			}
			d.news <- n
		})
	case lifecycle.ApplyConfig:
		d.apply(d.read)
	case lifecycle.DiscardConfig:
		d.read = nil
	case lifecycle.LogReloadIgnored:
		d.warn("reload ignored: the daemon is ending", nil)
	case lifecycle.RequestPermit:
		if !d.peers.asks() {
			d.handle(lifecycle.DrainPermitted)
			return
		}
		d.tasks.Go(func() {
			d.peers.keep(d.peers.ask("drain"))
			d.news <- news{event: lifecycle.DrainPermitted}
		})
	case lifecycle.StartDrain:
		d.peers.leave()
		d.drain()
	case lifecycle.ShortenDrain:
		if d.server != nil {
			d.server.ShortenDrain()
		}
	case lifecycle.Exit:
		d.exit = nil
	case lifecycle.ExitFailed:
		if d.exit == nil {
			d.exit = errors.New("the proxy ended unasked")
		}
	}
}

// apply puts what was read into force, whole.
func (d *daemon) apply(c *config.Config) {
	d.read = nil
	if d.Platform {
		d.server.ReloadSources(c.Proxy)
		return
	}
	if err := d.server.Reload(c.Proxy); err != nil {
		d.log.Error("reload refused, the old configuration stays", "error", err)
		return
	}
	d.level.Set(c.Log.Level)
	d.peers.follow(c)
	d.log.Info("reloaded", "nodes", c.Proxy.SourceNames())
}

// status describes the daemon. It goes through the locks that all requests go
// through, so a proxy that is stuck gives no sign of life.
func (d *daemon) status() string {
	text := d.machine.State().String()
	if d.server != nil {
		clients, open := d.server.Load()
		text += fmt.Sprintf(", clients=%d open=%d goroutines=%d", clients, open, runtime.NumGoroutine())
	}
	return sdnotify.Status(text)
}

// tell tells the service manager. That it does not listen is logged, once.
func (d *daemon) tell(text string) {
	if err := d.manager.Notify(text); err != nil && !d.muted {
		d.muted = d.log != nil // else it is told once there is a log
		d.warn("the service manager does not listen", err)
	}
}

func (d *daemon) warn(text string, err error) {
	if d.log == nil {
		return // nothing has been read that says how to log
	}
	if err != nil {
		d.log.Warn(text, "error", err)
		return
	}
	d.log.Warn(text)
}

// serve is the task that starts the proxy and runs it to its end. It ends with
// exactly one of StartFailed and Answered.
func (d *daemon) serve(ctx context.Context, passed *net.TCPListener) {
	c, err := d.LoadConfig()
	if err != nil {
		d.news <- news{event: lifecycle.StartFailed, err: err}
		return
	}
	runtime.GOMAXPROCS(max(int(math.Ceil(c.Proxy.Cores)), 1))
	// Collecting seldom saves CPU while memory is plenty; the limit sees to the rest.
	debug.SetGCPercent(400)
	debug.SetMemoryLimit(int64(c.Proxy.MemoryBytes) / 10 * 6)
	d.level.Set(c.Log.Level)
	options := &slog.HandlerOptions{Level: &d.level}
	var handler slog.Handler = slog.NewTextHandler(d.Log, options)
	if c.Log.JSON {
		handler = slog.NewJSONHandler(d.Log, options)
	}
	log := slog.New(handler).With("proxy", c.Proxy.Name)
	server, err := listen(ctx, c, passed, log)
	if err != nil {
		d.news <- news{event: lifecycle.StartFailed, err: err}
		return
	}
	log.Info("listening", "address", server.Address().String())
	for _, warning := range c.Warnings {
		log.Warn(warning)
	}
	d.news <- news{server: server, log: log}
	var ready sync.WaitGroup
	ready.Go(func() { d.awaitNodes(ctx, server, c, log) })
	leave := d.register(ctx, server, c, log)
	d.peers.begin(c, server.Core(), log)
	server.Serve(ctx)
	ready.Wait()
	d.peers.end()
	leave()
	log.Info("all answered")
	d.news <- news{event: lifecycle.ServingEnded}
}

// register keeps the proxy in Consul's catalogue from when it can serve until the drain
// begins. What it returns takes the proxy out, once that has been told.
func (d *daemon) register(ctx context.Context, server *proxy.Server, c *config.Config, log *slog.Logger) (leave func()) {
	if c.Registration == nil {
		return func() {}
	}
	r := consul.NewRegistrar(*c.Registration, log)
	var task sync.WaitGroup
	entered := false
	task.Go(func() {
		select {
		case <-server.EndpointListReady():
			entered = true
			r.Run(ctx, server.CanServe)
		case <-ctx.Done():
		}
	})
	return func() {
		if task.Wait(); entered {
			r.Deregister()
		}
	}
}

// listen opens the address, waiting for a while for another process to leave it.
func listen(ctx context.Context, c *config.Config, passed *net.TCPListener, log *slog.Logger) (*proxy.Server, error) {
	until := time.Now().Add(c.Startup.BindTimeout)
	for {
		server, err := proxy.Listen(c.Proxy, passed, log)
		if !errors.Is(err, syscall.EADDRINUSE) || ctx.Err() != nil || !time.Now().Before(until) {
			return server, err
		}
		time.Sleep(bindPause)
	}
}

// awaitNodes tells that clients can be served: once the nodes are known, or
// have not been told for as long as the configuration allows. On the platform
// the proxy answers from the start.
func (d *daemon) awaitNodes(ctx context.Context, server *proxy.Server, c *config.Config, log *slog.Logger) {
	if !d.Platform && len(c.Proxy.InitialList.Endpoints) == 0 {
		late := time.NewTimer(c.Startup.EndpointListTimeout)
		defer late.Stop()
		select {
		case <-server.EndpointListReady():
		case <-late.C:
			log.Warn("no list of nodes yet", "source", c.Proxy.SourceNames())
		case <-ctx.Done():
			return
		}
	}
	if ctx.Err() == nil {
		d.news <- news{event: lifecycle.Started}
		d.peers.succeed(ctx)
	}
}
