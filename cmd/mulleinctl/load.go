package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"text/tabwriter"
	"time"

	"mulleinpier/internal/loadgen"
)

type loadCommand struct {
	Proxies   []string      `short:"p" required:"" help:"Proxies, host:port, separated by commas."`
	Kind      string        `default:"library" enum:"library,brief" help:"Clients: library, or brief (fixed delays)."`
	Clients   int           `default:"100" help:"Number of clients."`
	Rate      float64       `default:"100" help:"Requests per second over all clients."`
	For       time.Duration `default:"10s" help:"Duration of the load, at most one hour."`
	Handovers float64       `default:"0.05" help:"Share of requests that are writes."`
	Keys      int           `default:"5000" help:"Number of keys that are read."`
	Skew      float64       `default:"1.1" help:"Skew of the keys' popularity, above 1."`
	Tenant    string        `help:"Tenant of the requests."`
	Seed      uint64        `default:"1" help:"Seed for random keys and times."`
	JSON      string        `help:"Also write the results to this file, as JSON."`
}

func (c *loadCommand) run(ctx context.Context, out io.Writer) error {
	result, err := loadgen.Run(ctx, loadgen.Config{
		Kind:          loadgen.Kind(c.Kind),
		Addresses:     c.Proxies,
		Clients:       c.Clients,
		Rate:          c.Rate,
		HandoverShare: c.Handovers,
		Phases:        []loadgen.Phase{{Name: "all", Duration: c.For}},
		Keys:          c.Keys,
		Skew:          c.Skew,
		Tenant:        c.Tenant,
		Seed:          c.Seed,
	})
	if err != nil {
		return fmt.Errorf("%w: %w", errUsage, err)
	}
	if err := printLoad(out, &result.Phases[0]); err != nil {
		return err
	}
	if c.JSON == "" {
		return nil
	}
	text, err := json.MarshalIndent(result, "", " ")
	if err != nil {
		return err
	}
	return os.WriteFile(c.JSON, append(text, '\n'), 0o644)
}

// printLoad prints the results as a table with one figure per row.
func printLoad(out io.Writer, r *loadgen.PhaseResult) error {
	w := tabwriter.NewWriter(out, 0, 4, 2, ' ', 0)
	for _, row := range []struct {
		name   string
		figure any
	}{
		{"offered", r.Offered},
		{"in time", r.InTime},
		{"late", r.Late},
		{"refused", r.Refused},
		{"failed", r.Failed},
		{"unknown", r.Unknown},
		{"tries each", fmt.Sprintf("%.3f", r.TriesPerRequest())},
		{"in time a second", fmt.Sprintf("%.1f", r.Goodput())},
		{"p50 ms", r.P50},
		{"p99 ms", r.P99},
		{"connections opened", r.Dials},
		{"in vain", r.DialFails},
		{"in the busiest 50 ms", r.DialsBusiest50ms},
	} {
		fmt.Fprintf(w, "%s\t%v\n", row.name, row.figure)
	}
	return w.Flush()
}
