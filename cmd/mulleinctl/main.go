// Command mulleinctl is the operators' command line: it reads and writes order keys through proxies, generates load on
// them, and manages the leases of a fleet. Scripts depend on verbs, flags, JSON output and exit codes; tests compare
// them with the files in testdata/recorded.
package main

import (
	"context"
	"fmt"
	"io"
	"os"
	"os/signal"
	"strings"
	"syscall"

	"mulleinpier/internal/cli"
)

// commands are the verbs of the command line. kong derives the names of verbs, flags and arguments from the names of
// the fields here and in the structs of the verbs.
type commands struct {
	Get  getCommand  `cmd:"" help:"Read keys."`
	Set  setCommand  `cmd:"" help:"Write a key."`
	Load loadCommand `cmd:"" help:"Generate load on proxies and report the results."`

	Fleet fleetCommand `cmd:"" help:"Show the members of a fleet."`
	Work  workCommand  `cmd:"" help:"Show the writes that a proxy has recorded."`
	Lease leaseCommand `cmd:"" help:"Manage leases for tasks that one process does for the whole fleet."`
}

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	err := run(ctx, os.Args[1:], os.Stdin, os.Stdout, os.Stderr)
	if err != nil {
		fmt.Fprintln(os.Stderr, "mulleinctl:", err)
	}
	stop()
	os.Exit(exitCode(err))
}

// run executes the command in args.
func run(ctx context.Context, args []string, in io.Reader, out, log io.Writer) error {
	var c commands
	const description = "Reads and writes keys through mulleinpier proxies, generates load, and manages leases."
	chosen, err := cli.Parse(&c, "mulleinctl", description, args, out, log)
	if err != nil || chosen == "" { // chosen is "" after help was printed
		return err
	}
	verb, rest, _ := strings.Cut(chosen, " ") // rest has the second verb, if any, and the names of the arguments
	switch verb {
	case "get":
		return c.Get.run(ctx, out, log)
	case "set":
		return c.Set.run(ctx, in, out, log)
	case "lease":
		verb, _, _ := strings.Cut(rest, " ")
		return c.Lease.run(ctx, verb, out, log)
	case "fleet":
		return c.Fleet.List.run(ctx, out)
	case "work":
		return c.Work.List.run(ctx, out)
	case "load":
		return c.Load.run(ctx, out)
	}
	return fmt.Errorf("%w: unknown command %q", errUsage, chosen)
}
