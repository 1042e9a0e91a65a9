// Command mulleinpier is a memcache proxy that spreads keys over cache nodes
// reading through to one slow origin.
package main

import (
	"bufio"
	"crypto/rand"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"os"
	"os/signal"
	"runtime/debug"
	"runtime/pprof"
	"strings"
	"syscall"
	"time"

	"mulleinpier/internal/cli"
	"mulleinpier/internal/config"
	"mulleinpier/internal/daemon"
	"mulleinpier/internal/proxy"
	"mulleinpier/internal/sasl"
)

// configured is a command that reads a configuration.
type configured struct {
	Config     string `required:"" help:"The configuration's file."`
	CPUProfile string `name:"cpuprofile" hidden:"" help:"Write a profile there; for measurements."`
}

type commands struct {
	Serve    configured `cmd:"" help:"Serve clients until SIGTERM."`
	Check    configured `cmd:"" help:"Tell all that is wrong with a configuration."`
	Platform struct {
		Reduce bool `xor:"taken" help:"With levels of reduced service."`
		Counts bool `xor:"taken" help:"With a line a second of what went through."`
	} `cmd:"" help:"Serve as the platform has it, as without a command."`
	Secret struct {
		User string `required:"" help:"Whose secret it is."`
	} `cmd:"" help:"Read a secret and print its line for a file of users."`
	Version struct{} `cmd:"" help:"Tell the version."`
}

// settleTime is how long a configuration must have stood still to be reloaded.
const settleTime = 50 * time.Millisecond

// levelVariable names the level of logging where there is no configuration of the daemon's own: debug, info, warn or error.
const (
	levelVariable = "MULLEINPIER_LOG_LEVEL"
	// formerLevelVariable is the name that the variable had before; it is read for one release more.
	formerLevelVariable = "YARROWSPAN_LOG_LEVEL"
)

// errUsage is the error of words that can't be meant.
var errUsage = cli.ErrUsage

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
		fmt.Fprintf(os.Stderr, "mulleinpier: %v; see mulleinpier --help\n", err)
		os.Exit(2)
	case err != nil:
		fmt.Fprintln(os.Stderr, "mulleinpier:", oneLine(err))
		os.Exit(1)
	}
}

// oneLine says an error in one line: its first defect and how many more there are.
func oneLine(err error) string {
	defects := config.Errors(err)
	if len(defects) == 1 {
		return defects[0].Error()
	}
	return fmt.Sprintf("%v (and %d more: see mulleinpier check)", defects[0], len(defects)-1)
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
	if len(args) == 0 { // the platform's start, which needs no parser
		if o.Getenv("GW_CONFIG") == "" {
			return fmt.Errorf("%w: no command, and GW_CONFIG is not set", errUsage)
		}
		o.Platform, o.LoadConfig = true, platform(o.Getenv)
		return daemon.Run(o)
	}
	var c commands
	chosen, err := cli.Parse(&c, "mulleinpier", "A memcache proxy. With GW_CONFIG set and no command it serves as the platform has it.", args, out, o.Log)
	if err != nil || chosen == "" {
		return err
	}
	switch chosen {
	case "version":
		fmt.Fprintln(out, "mulleinpier", version())
		return nil
	case "platform":
		load := platform(o.Getenv)
		o.Platform, o.LoadConfig = true, func() (*config.Config, error) {
			read, err := load()
			if err == nil {
				read.Proxy.Overload.Enabled = c.Platform.Reduce
				read.Proxy.LogCounts = c.Platform.Counts
			}
			return read, err
		}
		return daemon.Run(o)
	case "secret":
		return secret(c.Secret.User, os.Stdin, out)
	case "check":
		return check(c.Check.Config, out)
	}
	file := c.Serve.Config
	if c.Serve.CPUProfile != "" {
		f, err := os.Create(c.Serve.CPUProfile)
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
	o.LoadConfig = func() (*config.Config, error) {
		if begun { // a start is late enough without the wait
			return config.ReadStable(file, func() { time.Sleep(settleTime) })
		}
		begun = true
		return config.Read(file)
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
	line, err := sasl.FormatUser(user, strings.TrimRight(text, "\r\n"), sasl.DefaultIterations, salt)
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
	level, warnings := logLevel(getenv)
	return func() (*config.Config, error) {
		c, err := proxy.ReadPlatformConfig(func(name string) string {
			if begun && name != "GW_CONFIG" {
				return ""
			}
			return getenv(name)
		})
		begun = true
		return &config.Config{Proxy: c, Log: config.Log{Level: level}, Warnings: warnings}, err
	}
}

// logLevel reads the platform's level of logging from the environment; a text that is no level means info.
func logLevel(getenv func(string) string) (level slog.Level, warnings []string) {
	text := getenv(levelVariable)
	if former := getenv(formerLevelVariable); text == "" && former != "" {
		text = former
		warnings = append(warnings, formerLevelVariable+" is deprecated, set "+levelVariable)
	}
	if level.UnmarshalText([]byte(text)) != nil {
		return slog.LevelInfo, warnings
	}
	return level, warnings
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
