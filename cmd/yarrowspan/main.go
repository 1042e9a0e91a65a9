// Command yarrowspan is a memcache proxy that spreads keys over cache nodes
// reading through to one slow origin.
package main

import (
	"bufio"
	"crypto/rand"
	"errors"
	"flag"
	"fmt"
	"io"
	"os"
	"os/signal"
	"runtime/debug"
	"runtime/pprof"
	"strings"
	"syscall"
	"time"

	"mulleinpier/internal/config"
	"mulleinpier/internal/daemon"
	"mulleinpier/internal/proxy"
	"mulleinpier/internal/sasl"
)

const usage = `Usage:
  yarrowspan serve --config FILE   serve clients until SIGTERM
  yarrowspan check --config FILE   tell all that is wrong with a configuration
  yarrowspan secret --user NAME    read a secret and print its line for a file of users
  yarrowspan version               tell the version
  yarrowspan platform              as without a command; --reduce with levels of reduced service,
                                   --counts with a line a second of what went through
With GW_CONFIG set and no command, yarrowspan serves as the platform has it.
`

// settleTime is how long a configuration must have stood still to be reloaded.
const settleTime = 50 * time.Millisecond

// errUsage is the error of words that can't be meant.
var errUsage = errors.New("bad usage")

func main() {
	// First of all: until they are caught, signals end the program, and so does
	// a reader of the log that goes away.
	signal.Ignore(syscall.SIGPIPE)
	hangups, terminations := make(chan os.Signal, 1), make(chan os.Signal, 2)
	signal.Notify(hangups, syscall.SIGHUP)
	signal.Notify(terminations, syscall.SIGTERM, os.Interrupt)
	err := run(os.Args[1:], os.Stdout, daemon.Options{Getenv: os.Getenv, Log: os.Stderr, Hangups: hangups,
		Terminations: terminations})
	switch {
	case errors.Is(err, errUsage):
		fmt.Fprintf(os.Stderr, "yarrowspan: %v\n%s", err, usage)
		os.Exit(2)
	case err != nil:
		fmt.Fprintln(os.Stderr, "yarrowspan:", oneLine(err))
		os.Exit(1)
	}
}

// oneLine says an error in one line: its first defect and how many more there are.
func oneLine(err error) string {
	defects := config.Errors(err)
	if len(defects) == 1 {
		return defects[0].Error()
	}
	return fmt.Sprintf("%v (and %d more: see yarrowspan check)", defects[0], len(defects)-1)
}

// check prints all that is wrong with a configuration, a line each.
func check(file string, out io.Writer) error {
	_, err := config.Read(file)
	if err == nil {
		fmt.Fprintln(out, file, "is good")
		return nil
	}
	defects := config.Errors(err)
	for _, defect := range defects {
		fmt.Fprintln(out, defect)
	}
	return fmt.Errorf("%s: %d wrong", file, len(defects))
}

func run(args []string, out io.Writer, o daemon.Options) error {
	if len(args) == 0 {
		if o.Getenv("GW_CONFIG") == "" {
			return fmt.Errorf("%w: no command, and GW_CONFIG is not set", errUsage)
		}
		o.Platform, o.Load = true, platform(o.Getenv)
		return daemon.Run(o)
	}
	flags := flag.NewFlagSet(args[0], flag.ContinueOnError)
	flags.SetOutput(io.Discard)
	file := flags.String("config", "", "")
	user := flags.String("user", "", "")
	profile := flags.String("cpuprofile", "", "") // for measurements
	reduce := flags.Bool("reduce", false, "")
	counts := flags.Bool("counts", false, "")
	if err := flags.Parse(args[1:]); err != nil {
		return fmt.Errorf("%w: %s: %w", errUsage, args[0], err)
	}
	if flags.NArg() > 0 {
		return fmt.Errorf("%w: %s takes no %q", errUsage, args[0], flags.Arg(0))
	}
	switch {
	case args[0] == "version":
		fmt.Fprintln(out, "yarrowspan", version())
		return nil
	case *reduce && *counts: // both take what the decision module has counted
		return fmt.Errorf("%w: --reduce and --counts exclude each other", errUsage)
	case args[0] == "platform":
		load := platform(o.Getenv)
		o.Platform, o.Load = true, func() (*config.Config, error) {
			c, err := load()
			if err == nil {
				c.Proxy.Service.On = *reduce
				c.Proxy.Counts = *counts
			}
			return c, err
		}
		return daemon.Run(o)
	case args[0] == "secret":
		return secret(*user, os.Stdin, out)
	case args[0] != "serve" && args[0] != "check":
		return fmt.Errorf("%w: there is no command %q", errUsage, args[0])
	case *file == "":
		return fmt.Errorf("%w: %s needs --config FILE", errUsage, args[0])
	case args[0] == "check":
		return check(*file, out)
	}
	if *profile != "" {
		f, err := os.Create(*profile)
		if err != nil {
			return err
		}
		defer f.Close()
		if err := pprof.StartCPUProfile(f); err != nil {
			return err
		}
		defer pprof.StopCPUProfile()
	}
	begun := false
	o.Load = func() (*config.Config, error) {
		if begun { // a start is late enough without the wait
			return config.ReadSettled(*file, func() { time.Sleep(settleTime) })
		}
		begun = true
		return config.Read(*file)
	}
	return daemon.Run(o)
}

// secret prints the line of a user whose secret is the first line of in.
func secret(user string, in io.Reader, out io.Writer) error {
	text, err := bufio.NewReader(io.LimitReader(in, sasl.MaxSecret+2)).ReadString('\n')
	if err != nil && err != io.EOF {
		return err
	}
	var salt [16]byte
	rand.Read(salt[:])
	line, err := sasl.Line(user, strings.TrimRight(text, "\r\n"), sasl.Iterations, salt)
	if err != nil {
		return fmt.Errorf("%w: secret: %w", errUsage, err)
	}
	fmt.Fprintln(out, line)
	return nil
}

// platform reads the platform's configuration. Environment variables go before
// the file at the start only: they can't have changed since, so at a reload the
// file alone counts.
func platform(getenv func(string) string) func() (*config.Config, error) {
	begun := false
	return func() (*config.Config, error) {
		c, err := proxy.ReadConfig(func(name string) string {
			if begun && name != "GW_CONFIG" {
				return ""
			}
			return getenv(name)
		})
		begun = true
		return &config.Config{Proxy: c}, err
	}
}

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
