// Command yarrowspan is a memcache proxy that spreads keys over cache nodes
// reading through to one slow origin.
package main

import (
	"context"
	"fmt"
	"log/slog"
	"math"
	"os"
	"os/signal"
	"runtime"
	"runtime/debug"
	"sync"
	"syscall"

	"wrenroute/internal/proxy"
)

func main() {
	if err := run(); err != nil {
		fmt.Fprintln(os.Stderr, "yarrowspan:", err)
		os.Exit(1)
	}
}

func run() error {
	// First of all: until they are caught, signals end the program, and so does
	// a reader of the log that goes away.
	signal.Ignore(syscall.SIGPIPE)
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	config, err := proxy.ReadConfig(os.Getenv)
	if err != nil {
		return err
	}
	runtime.GOMAXPROCS(max(int(math.Ceil(config.Cores)), 1))
	// Collecting seldom saves CPU while memory is plenty; the limit sees to the rest.
	debug.SetGCPercent(400)
	debug.SetMemoryLimit(int64(config.Memory) / 10 * 6)
	log := slog.New(slog.NewTextHandler(os.Stderr, nil)).With("proxy", config.Name)
	server, err := proxy.Listen(config, log)
	if err != nil {
		return err
	}
	log.Info("listening", "address", server.Address().String())
	serving, done := context.WithCancel(context.Background())
	var reloads sync.WaitGroup
	reloads.Go(func() { reload(serving, hangups, server, log) })
	server.Serve(ctx)
	done()
	reloads.Wait()
	log.Info("all answered")
	return nil
}

// reload reads the configuration anew at each hangup, until ctx ends. A bad one
// is logged, and the old stays in force. The environment is that of the
// start and can't have changed, so the file alone counts.
func reload(ctx context.Context, hangups <-chan os.Signal, server *proxy.Server, log *slog.Logger) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-hangups:
		}
		config, err := proxy.ReadConfig(func(name string) string {
			if name == "GW_CONFIG" {
				return os.Getenv(name)
			}
			return ""
		})
		if err != nil {
			log.Error("reload failed, the old configuration stays", "error", err)
			continue
		}
		server.Reload(config)
	}
}
