// Command fleettest runs a fleet of real proxy processes between fakes on loopback, with faults, and reports whether
// the rules held. Scripts depend on its commands, flags, JSON reports and exit codes; tests compare them with the files
// in testdata/recorded.
package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"os/signal"
	"strings"
	"syscall"

	"mulleinpier/internal/cli"
)

// The exit codes.
const (
	exitBroken = 1 // a rule was broken, or the test failed
	exitUsage  = 2
)

var (
	errUsage  = cli.ErrUsage
	errBroken = errors.New("a rule was broken")
)

const description = "Runs a fleet of real proxy processes between fakes on loopback, and reports whether the rules " +
	"held. Exit codes: 0 the rules held, 1 a rule was broken or the test failed, 2 bad usage."

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	err := run(ctx, os.Args[1:], os.Stdout, os.Stderr)
	stop()
	switch {
	case err == nil:
	case errors.Is(err, errUsage):
		fmt.Fprintf(os.Stderr, "fleettest: %v; see fleettest --help\n", err)
		os.Exit(exitUsage)
	case errors.Is(err, errBroken): // the printed report says which rule was broken
		os.Exit(exitBroken)
	default:
		fmt.Fprintln(os.Stderr, "fleettest:", err)
		os.Exit(exitBroken)
	}
}

// run parses args and runs the command in them.
func run(ctx context.Context, args []string, out, progress io.Writer) error {
	var c commands
	chosen, err := cli.Parse(&c, "fleettest", description, args, out, progress)
	if err != nil || chosen == "" { // chosen is "" after the help or the list of scenarios was printed
		return err
	}
	verb, _, _ := strings.Cut(chosen, " ") // the names of the arguments follow the verb
	switch verb {
	case "double":
		return c.AsDouble.run(ctx, progress)
	case "relay":
		return c.AsRelay.run(ctx)
	case "holder":
		return c.AsHolder.run(ctx)
	}
	test, done, err := c.newTest(out, progress)
	if err != nil {
		return err
	}
	defer done()
	report, err := c.run(ctx, verb, test)
	if err != nil || report == nil {
		return err
	}
	return test.finish(report)
}
