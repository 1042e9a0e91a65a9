// Command mulleinpier is a proxy for the memcache protocols: it spreads keys over read-through cache nodes in front of
// one slow origin. This package parses the command line, catches signals and maps errors to exit codes; package daemon
// runs the proxy.
package main

import (
	"errors"
	"fmt"
	"io"
	"os"
	"os/signal"
	"runtime/debug"
	"runtime/pprof"
	"syscall"
	"time"

	"mulleinpier/internal/cli"
	"mulleinpier/internal/config"
	"mulleinpier/internal/daemon"
	"mulleinpier/internal/logqueue"
)

const programName = "mulleinpier"

// The exit codes.
const (
	exitOK     = 0
	exitFailed = 1
	exitUsage  = 2
)

// configOptions are the options of the commands that read a configuration file.
type configOptions struct {
	Config     string `required:"" help:"Path of the configuration file."`
	CPUProfile string `name:"cpuprofile" hidden:"" help:"Write a CPU profile to this file; for measurements."`
}

// commands are the commands with their options, from which kong derives the command line.
type commands struct {
	Serve    configOptions   `cmd:"" help:"Serve clients until SIGTERM."`
	Check    configOptions   `cmd:"" help:"Check a configuration and print all its errors."`
	Platform platformOptions `cmd:"" help:"Serve with the platform's configuration in the file that GW_CONFIG names."`
	Secret   struct {
		User string `required:"" help:"The name of the user."`
	} `cmd:"" help:"Read a secret from standard input and print the user's line for a users file."`
	Version struct{} `cmd:"" help:"Print the version."`
}

// platformOptions are the options of the command platform.
type platformOptions struct {
	Reduce bool `xor:"taken" help:"Reduce service by degradation levels under overload."`
	Counts bool `xor:"taken" help:"Log a line of counts each second."`
}

// stableInterval is the time between two reads of a configuration file. A reload applies the file only after two
// successive reads have returned the same text.
const stableInterval = 50 * time.Millisecond

// logCloseTimeout is how long the end of the process waits for a reader of standard error that is slow or absent.
const logCloseTimeout = 200 * time.Millisecond

var errUsage = cli.ErrUsage

func main() {
	// Signals must be caught first: until then they end the program, and so does a write to a log pipe that nobody
	// reads.
	signal.Ignore(syscall.SIGPIPE)
	hangups, terminations := make(chan os.Signal, 1), make(chan os.Signal, 2)
	signal.Notify(hangups, syscall.SIGHUP)
	signal.Notify(terminations, syscall.SIGTERM, os.Interrupt)
	log := logqueue.New(os.Stderr)
	err := run(os.Args[1:], os.Stdout, daemon.Options{
		Getenv:       os.Getenv,
		Log:          log,
		Hangups:      hangups,
		Terminations: terminations,
	})
	code := report(err, log)
	log.Close(logCloseTimeout)
	os.Exit(code)
}

// report writes an error of run to log, and returns the exit code.
func report(err error, log io.Writer) (code int) {
	switch {
	case errors.Is(err, errUsage):
		fmt.Fprintf(log, "%s: %v; see %s --help\n", programName, err, programName)
		return exitUsage
	case err != nil:
		fmt.Fprintf(log, "%s: %s\n", programName, oneLine(err))
		return exitFailed
	}
	return exitOK
}

// oneLine returns the text of an error as one line: the first of the joined errors, and the number of the others.
func oneLine(err error) string {
	list := config.Errors(err)
	if len(list) == 1 {
		return list[0].Error()
	}
	return fmt.Sprintf("%v (and %d more: see %s check)", list[0], len(list)-1, programName)
}

// run executes the command in args.
func run(args []string, out io.Writer, o daemon.Options) error {
	if len(args) == 0 {
		return runPlatformDefault(o)
	}
	var c commands
	const description = "A memcache proxy. Without a command, but with GW_CONFIG set, it runs the command platform."
	command, err := cli.Parse(&c, programName, description, args, out, o.Log)
	if err != nil || command == "" {
		return err
	}
	switch command {
	case "version":
		fmt.Fprintln(out, programName, version())
		return nil
	case "platform":
		return runPlatform(o, c.Platform)
	case "secret":
		return printSecret(c.Secret.User, os.Stdin, out)
	case "check":
		return check(c.Check.Config, out)
	default:
		return serve(c.Serve, o)
	}
}

// check prints all errors of a configuration, one on each line.
func check(file string, out io.Writer) error {
	_, err := config.Read(file)
	if err == nil {
		fmt.Fprintln(out, file, "is valid")
		return nil
	}
	list := config.Errors(err)
	for _, err := range list {
		fmt.Fprintln(out, err)
	}
	return fmt.Errorf("%s: %d error(s)", file, len(list))
}

// serve runs the daemon with the configuration file of the option --config.
func serve(options configOptions, o daemon.Options) error {
	if options.CPUProfile != "" {
		f, err := os.Create(options.CPUProfile)
		if err != nil {
			return err
		}
		defer f.Close()
		if err := pprof.StartCPUProfile(f); err != nil {
			return err
		}
		defer pprof.StopCPUProfile()
	}
	started := false
	o.LoadConfig = func() (*config.Config, error) {
		if started {
			return config.ReadStable(options.Config, func() { time.Sleep(stableInterval) })
		}
		started = true // the start reads the file once: the wait in ReadStable would delay it
		return config.Read(options.Config)
	}
	return daemon.Run(o)
}

// version returns the version and revision of the program, and the version of the Go toolchain.
func version() string {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return "unknown"
	}
	version := info.Main.Version
	for _, s := range info.Settings {
		if s.Key == "vcs.revision" {
			version += " " + s.Value
		}
	}
	return version + " " + info.GoVersion
}
