// Command mulleinpier is a proxy for the memcache protocols: it spreads keys over read-through cache nodes before
// one slow origin. This package parses the command line, catches signals and maps errors to exit codes; package
// daemon does the rest.
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
)

const programName = "mulleinpier"

// The exit codes other than success.
const (
	exitFailed = 1
	exitUsage  = 2
)

// configOptions are the options of a command that reads a configuration.
type configOptions struct {
	Config     string `required:"" help:"The configuration's file."`
	CPUProfile string `name:"cpuprofile" hidden:"" help:"Write a CPU profile to this file; for measurements."`
}

// commands are the commands with their options.
type commands struct {
	Serve    configOptions   `cmd:"" help:"Serve clients until SIGTERM."`
	Check    configOptions   `cmd:"" help:"Print all errors of a configuration."`
	Platform platformOptions `cmd:"" help:"Serve as the platform has it, as without a command."`
	Secret   struct {
		User string `required:"" help:"The name of the user."`
	} `cmd:"" help:"Read a secret and print its line for a file of users."`
	Version struct{} `cmd:"" help:"Print the version."`
}

// platformOptions are the options of the command platform.
type platformOptions struct {
	Reduce bool `xor:"taken" help:"With levels of reduced service."`
	Counts bool `xor:"taken" help:"With a log line of counts a second."`
}

// stableInterval is the time between two reads of a configuration that must agree before it is reloaded.
const stableInterval = 50 * time.Millisecond

// errUsage is the error of an invalid command line.
var errUsage = cli.ErrUsage

func main() {
	// First of all: until they are caught, signals end the program, and so does a write to a log without a reader.
	signal.Ignore(syscall.SIGPIPE)
	hangups, terminations := make(chan os.Signal, 1), make(chan os.Signal, 2)
	signal.Notify(hangups, syscall.SIGHUP)
	signal.Notify(terminations, syscall.SIGTERM, os.Interrupt)
	err := run(os.Args[1:], os.Stdout, daemon.Options{
		Getenv:       os.Getenv,
		Log:          os.Stderr,
		Hangups:      hangups,
		Terminations: terminations,
	})
	switch {
	case errors.Is(err, errUsage):
		fmt.Fprintf(os.Stderr, "%s: %v; see %s --help\n", programName, err, programName)
		os.Exit(exitUsage)
	case err != nil:
		fmt.Fprintf(os.Stderr, "%s: %s\n", programName, oneLine(err))
		os.Exit(exitFailed)
	}
}

// oneLine returns an error in one line: the first that is joined, and how many more there are.
func oneLine(err error) string {
	list := config.Errors(err)
	if len(list) == 1 {
		return list[0].Error()
	}
	return fmt.Sprintf("%v (and %d more: see %s check)", list[0], len(list)-1, programName)
}

// run runs the command that args name.
func run(args []string, out io.Writer, o daemon.Options) error {
	if len(args) == 0 {
		return runPlatformDefault(o)
	}
	var c commands
	const description = "A memcache proxy. With GW_CONFIG set and no command it serves as the platform has it."
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

// check prints all errors of a configuration, a line each.
func check(file string, out io.Writer) error {
	_, err := config.Read(file)
	if err == nil {
		fmt.Fprintln(out, file, "is good")
		return nil
	}
	list := config.Errors(err)
	for _, err := range list {
		fmt.Fprintln(out, err)
	}
	return fmt.Errorf("%s: %d wrong", file, len(list))
}

// serve runs the daemon with a configuration of its own.
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
		started = true // the wait would only delay the start
		return config.Read(options.Config)
	}
	return daemon.Run(o)
}

// version returns the version of the program and of the tool chain.
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
