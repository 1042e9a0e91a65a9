package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"time"

	"mulleinpier/internal/fleettest"
)

// commonFlags are the flags that all commands have.
type commonFlags struct {
	Program string `help:"Path of the proxy program; by default mulleinpier beside this program."`
	JSON    string `help:"Also write the report to this file, as JSON."`
	Keep    string `help:"Keep configurations and logs in this folder."`
	Quiet   bool   `help:"Print no progress."`
	Consul  bool   `help:"Proxies discover nodes from fake Consul agents, one per zone."`
	Binary  bool   `help:"One client and one node in four speak the binary protocol."`
	Library bool   `help:"One client in four uses the client library."`
}

// report is the report of any command. If it also has a method OK() bool, that method reports whether the rules held.
type report interface{ Print(io.Writer) }

// testRun holds the settings with which a command runs a fleet.
type testRun struct {
	flags    *commonFlags
	options  fleettest.Options
	self     string // path of this program, which tests also start as a proxy, relay or lease holder
	out      io.Writer
	progress io.Writer
}

// newTest returns a testRun for the flags. done removes the test's folder, unless --keep is set.
func (f *commonFlags) newTest(out, progress io.Writer) (t *testRun, done func(), err error) {
	self, err := os.Executable()
	if err != nil {
		return nil, nil, err
	}
	program := f.Program
	if program == "" {
		program = filepath.Join(filepath.Dir(self), "mulleinpier")
	}
	if _, err := os.Stat(program); err != nil {
		return nil, nil, fmt.Errorf("%w: the proxy program: %w (build it, or set --program)", errUsage, err)
	}
	t = &testRun{flags: f, self: self, out: out, progress: progress}
	t.options.ProxyCommand = []string{program, "serve", "--config"}
	t.options.Progress = func(format string, a ...any) {
		if !f.Quiet {
			fmt.Fprintf(progress, "%s %s\n", time.Now().Format(time.TimeOnly), fmt.Sprintf(format, a...))
		}
	}
	t.options.Folder, done, err = f.openFolder()
	return t, done, err
}

// openFolder creates the folder for configurations and logs. done removes the folder if it is temporary.
func (f *commonFlags) openFolder() (path string, done func(), err error) {
	if f.Keep == "" {
		return fleettest.TempFolder()
	}
	return f.Keep, func() {}, os.MkdirAll(f.Keep, 0o755)
}

// loadScenario loads a scenario and applies the flags to it.
func (t *testRun) loadScenario(name string) (*fleettest.Scenario, error) {
	scenario, err := fleettest.LoadScenario(name)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", errUsage, err)
	}
	if t.flags.Binary {
		scenario.WithBinary()
	}
	if t.flags.Consul {
		scenario.Fleet.Consul = true
	}
	if t.flags.Library {
		scenario.WithLibrary()
	}
	return scenario, nil
}

func (t *testRun) runScenario(ctx context.Context, name string) (report, error) {
	scenario, err := t.loadScenario(name)
	if err != nil {
		return nil, err
	}
	return fleettest.RunScenario(ctx, scenario, t.options)
}

// finish prints a report, writes it to the file that --json names, and returns errBroken if a rule was broken.
func (t *testRun) finish(r report) error {
	r.Print(t.out)
	if t.flags.JSON != "" {
		text, err := json.MarshalIndent(r, "", " ")
		if err != nil {
			return err
		}
		if err := os.WriteFile(t.flags.JSON, append(text, '\n'), 0o644); err != nil {
			return err
		}
	}
	if checked, ok := r.(interface{ OK() bool }); ok && !checked.OK() {
		return errBroken
	}
	return nil
}

// checkBounds returns a usage error if the value of a flag is out of bounds.
func checkBounds(flag string, value, lowest, highest int) error {
	if value < lowest || value > highest {
		return fmt.Errorf("%w: --%s cannot be %d: want %d to %d", errUsage, flag, value, lowest, highest)
	}
	return nil
}
