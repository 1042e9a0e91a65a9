// Command fleettest plays a fleet of real proxy processes between fakes on loopback, with faults, and reports whether
// the rules held. Verbs, flags, JSON reports and exit codes are interfaces for scripts, which the files in
// testdata/recorded guard.
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
	exitBroken = 1 // a rule broke, or the test failed
	exitUsage  = 2
)

var (
	errUsage  = cli.ErrUsage
	errBroken = errors.New("a rule broke")
)

const description = "Plays a fleet of real proxy processes between fakes on loopback, and reports whether the rules " +
	"held. Exit: 0 they did, 1 one broke or the test failed, 2 bad usage."

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	err := run(ctx, os.Args[1:], os.Stdout, os.Stderr)
	stop()
	switch {
	case err == nil:
	case errors.Is(err, errUsage):
		fmt.Fprintf(os.Stderr, "fleettest: %v; see fleettest --help\n", err)
		os.Exit(exitUsage)
	case errors.Is(err, errBroken): // the report says which
		os.Exit(exitBroken)
	default:
		fmt.Fprintln(os.Stderr, "fleettest:", err)
		os.Exit(exitBroken)
	}
}

// run carries out the command in args.
func run(ctx context.Context, args []string, out, progress io.Writer) error {
	var c commands
	chosen, err := cli.Parse(&c, "fleettest", description, args, out, progress)
	if err != nil || chosen == "" { // "": help or the list was printed
		return err
	}
	verb, _, _ := strings.Cut(chosen, " ") // what follows are names of arguments
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
	report, err := c.play(ctx, verb, test)
	if err != nil || report == nil {
		return err
	}
	return test.finish(report)
}
