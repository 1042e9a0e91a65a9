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
	config, err := proxy.ReadConfig(os.Getenv)
	if err != nil {
		return err
	}
	runtime.GOMAXPROCS(max(int(math.Ceil(config.Cores)), 1))
	// Collecting seldom saves CPU while memory is plenty; the limit sees to the rest.
	debug.SetGCPercent(400)
	debug.SetMemoryLimit(int64(config.Memory) / 10 * 6)
	log := slog.New(slog.NewTextHandler(os.Stderr, nil)).With("proxy", config.Name)
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	server, err := proxy.Listen(config, log)
	if err != nil {
		return err
	}
	log.Info("listening", "address", server.Address().String())
	server.Serve(ctx)
	log.Info("all answered")
	return nil
}
