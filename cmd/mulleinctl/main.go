// Command mulleinctl reads and writes order keys through proxies, and puts a load on them, as an operator
// at a terminal does.
package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"os/signal"
	"strings"
	"syscall"
	"text/tabwriter"
	"time"

	"mulleinpier/client"
	"mulleinpier/internal/cli"
	"mulleinpier/internal/lease"
	"mulleinpier/internal/lease/agent"
	"mulleinpier/internal/loadgen"
)

// Exit codes, so that scripts can tell what to do next; docs/operators/client.md lists them.
const (
	exitFailed  = 1 // failed, or no proxy could be reached: again is harmless
	exitUsage   = 2
	exitMiss    = 3 // there is no such key
	exitRefused = 4 // again is harmless, later
	exitUnknown = 5 // the write may have been carried out
)

// where says whom to ask.
type where struct {
	Proxies []string      `short:"p" help:"Proxies, host:port, separated by commas."`
	File    string        `help:"A file that lists proxies, one a line, in place of --proxies."`
	Wait    time.Duration `default:"2s" help:"How long to wait at the most."`
	Tenant  string        `help:"Tenant to ask as."`
	Trace   bool          `help:"Tell each try on standard error."`
}

func (w *where) options(log io.Writer) (o client.Options, err error) {
	switch {
	case w.File != "" && len(w.Proxies) > 0:
		return o, fmt.Errorf("%w: --proxies and --file: want one of them", errUsage)
	case w.File != "":
		o.Proxies = client.File(w.File)
	case len(w.Proxies) > 0:
		o.Proxies = client.Static(w.Proxies...)
	default:
		return o, fmt.Errorf("%w: --proxies or --file is needed", errUsage)
	}
	o.Tenant = w.Tenant
	o.Read, o.Write = client.Read, client.Write
	o.Read.Wait, o.Write.Wait = w.Wait, w.Wait
	o.Trace.List = func(_ []string, err error) {
		if err != nil {
			fmt.Fprintln(log, "mulleinctl: list of proxies:", err)
		}
	}
	if w.Trace {
		o.Trace.TryDone = func(i client.TryInfo) {
			fmt.Fprintf(log, "%s %s: try %s at %s, repeat %v: %s after %v of %v\n", i.Op, i.Key, i.ID, i.Proxy, i.Repeat, i.Outcome, i.Took.Round(time.Microsecond), i.Wait)
		}
		o.Trace.DialDone = func(proxy string, took time.Duration, err error) {
			fmt.Fprintf(log, "connect to %s: %v after %v\n", proxy, err, took.Round(time.Microsecond))
		}
	}
	return o, nil
}

type getCommand struct {
	where
	Keys []string `arg:"" help:"Keys to read."`
}

type setCommand struct {
	where
	Key         string `arg:"" help:"Key to write."`
	Value       string `arg:"" optional:"" help:"Value; standard input if left out."`
	Class       string `default:"write" help:"Class of the proxies' configuration."`
	Effect      string `default:"keyed" enum:"keyed,unsafe,safe" help:"What a repeat does: keyed (dropped), unsafe or safe."`
	Idempotency string `help:"Idempotency key of a keyed write; one is made up if left out."`
}

type loadCommand struct {
	Proxies   []string      `short:"p" required:"" help:"Proxies, host:port, separated by commas."`
	Kind      string        `default:"library" enum:"library,brief" help:"How tills behave: library (this client) or brief (at once or after a short fixed wait, no advice heeded)."`
	Clients   int           `default:"100" help:"Tills."`
	Rate      float64       `default:"100" help:"Requests a second over all tills."`
	For       time.Duration `default:"10s" help:"How long; an hour at most."`
	Handovers float64       `default:"0.05" help:"Share of writes."`
	Keys      int           `default:"5000" help:"Keys that reads ask for."`
	Skew      float64       `default:"1.1" help:"Skew of their popularity, above 1."`
	Tenant    string        `help:"Tenant to ask as."`
	Seed      uint64        `default:"1" help:"Seed of keys and times."`
	JSON      string        `help:"Write the figures there too."`
}

type commands struct {
	Get  getCommand  `cmd:"" help:"Read keys."`
	Set  setCommand  `cmd:"" help:"Write a key."`
	Load loadCommand `cmd:"" help:"Put a load on proxies, and tell what became of it."`

	Fleet fleetCommand `cmd:"" help:"Instances that know each other."`
	Work  workCommand  `cmd:"" help:"Works in hand, held for other proxies."`
	Lease leaseCommand `cmd:"" help:"Leases for tasks that one process does for the whole fleet."`
}

var errUsage = cli.ErrUsage

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	err := run(ctx, os.Args[1:], os.Stdin, os.Stdout, os.Stderr)
	if err != nil {
		fmt.Fprintln(os.Stderr, "mulleinctl:", err)
	}
	stop()
	os.Exit(code(err))
}

// code is the exit code for an error.
func code(err error) int {
	switch {
	case err == nil:
		return 0
	case errors.Is(err, errUsage) || errors.Is(err, client.ErrInvalid):
		return exitUsage
	case errors.Is(err, client.ErrMiss):
		return exitMiss
	case errors.Is(err, client.ErrUnknown):
		return exitUnknown
	case errors.Is(err, client.ErrRefused):
		return exitRefused
	case errors.Is(err, lease.ErrHeld):
		return exitTaken
	case errors.Is(err, agent.ErrLeaseLost):
		return exitLost
	}
	return exitFailed
}

func run(ctx context.Context, args []string, in io.Reader, out, log io.Writer) error {
	var c commands
	chosen, err := cli.Parse(&c, "mulleinctl", "Reads and writes order keys through mulleinpier proxies.", args, out, log)
	if err != nil || chosen == "" {
		return err
	}
	switch chosen {
	case "get <keys>":
		return c.Get.run(ctx, out, log)
	case "set <key>", "set <key> <value>":
		return c.Set.run(ctx, in, out, log)
	}
	if verb, ok := strings.CutPrefix(chosen, "lease "); ok {
		verb, _, _ = strings.Cut(verb, " ")
		return c.Lease.run(ctx, verb, out, log)
	}
	if chosen == "fleet list" {
		return c.Fleet.List.run(ctx, out)
	}
	if chosen == "work list" {
		return c.Work.List.run(ctx, out)
	}
	return c.Load.run(ctx, out)
}

func (c *getCommand) run(ctx context.Context, out, log io.Writer) error {
	o, err := c.options(log)
	if err != nil {
		return err
	}
	l, err := client.New(o)
	if err != nil {
		return fmt.Errorf("%w: %w", errUsage, err)
	}
	defer l.Close()
	var worst error
	for _, key := range c.Keys {
		value, err := l.Get(ctx, key)
		if err != nil {
			fmt.Fprintln(log, err)
			if worst == nil || code(err) != exitMiss {
				worst = err
			}
			continue
		}
		fmt.Fprintf(out, "%s\n", value)
	}
	return worst
}

func (c *setCommand) run(ctx context.Context, in io.Reader, out, log io.Writer) error {
	o, err := c.options(log)
	if err != nil {
		return err
	}
	value := []byte(c.Value)
	if c.Value == "" {
		if value, err = io.ReadAll(io.LimitReader(in, 1<<20)); err != nil {
			return err
		}
	}
	l, err := client.New(o)
	if err != nil {
		return fmt.Errorf("%w: %w", errUsage, err)
	}
	defer l.Close()
	effect := map[string]client.Effect{"keyed": client.Keyed, "unsafe": client.Unsafe, "safe": client.Safe}[c.Effect]
	a, err := l.Do(ctx, client.Request{Key: c.Key, Value: value, Set: true, Idempotency: c.Idempotency,
		Class: client.Class{Name: c.Class, Effect: effect, Wait: c.Wait}})
	if err != nil {
		var e *client.Error
		if errors.As(err, &e) && errors.Is(err, client.ErrUnknown) {
			fmt.Fprintf(log, "mulleinctl: it may have been carried out, or may be until %s: read %s then, and write again only if it is not there\n", e.Settled.Format(time.TimeOnly), c.Key)
		}
		return err
	}
	fmt.Fprintln(out, a.Receipt)
	return nil
}

func (c *loadCommand) run(ctx context.Context, out io.Writer) error {
	r, err := loadgen.Run(ctx, loadgen.Config{Kind: loadgen.Kind(c.Kind), Addresses: c.Proxies, Clients: c.Clients, Rate: c.Rate, HandoverShare: c.Handovers,
		Phases: []loadgen.Phase{{Name: "all", Duration: c.For}}, Keys: c.Keys, Skew: c.Skew, Tenant: c.Tenant, Seed: c.Seed})
	if err != nil {
		return fmt.Errorf("%w: %w", errUsage, err)
	}
	f := r.Phases[0]
	w := tabwriter.NewWriter(out, 0, 4, 2, ' ', 0)
	for _, row := range []struct {
		name   string
		figure any
	}{{"offered", f.Offered}, {"in time", f.InTime}, {"late", f.Late}, {"refused", f.Refused}, {"failed", f.Failed}, {"unknown", f.Unknown},
		{"tries each", fmt.Sprintf("%.3f", f.TriesPerRequest())}, {"in time a second", fmt.Sprintf("%.1f", f.Goodput())}, {"p50 ms", f.P50}, {"p99 ms", f.P99},
		{"connections opened", f.Dials}, {"in vain", f.DialFails}, {"in the busiest 50 ms", f.DialsBusiest50ms}} {
		fmt.Fprintf(w, "%s\t%v\n", row.name, row.figure)
	}
	w.Flush()
	if c.JSON == "" {
		return nil
	}
	text, err := json.MarshalIndent(r, "", " ")
	if err != nil {
		return err
	}
	return os.WriteFile(c.JSON, append(text, '\n'), 0o644)
}
