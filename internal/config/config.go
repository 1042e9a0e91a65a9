// Package config reads the daemon's own configuration, a TOML file.
//
// Guarantees:
//
//  1. All that is wrong with a file is reported at once, each error with file, key, value and what is allowed.
//  2. A configuration is returned completely or not at all.
//  3. The settings' names end here: what other packages get has the terms of the field.
//
// The package keeps no state and starts no goroutine. It does not put a configuration into force; package daemon
// does.
package config

import (
	"errors"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"path/filepath"
	"time"

	"mulleinpier/internal/clock"
	"mulleinpier/internal/consul"
	"mulleinpier/internal/lease/agent"
	"mulleinpier/internal/proxy"
)

// DeprecatedVariable is an environment variable that was read under a former name.
type DeprecatedVariable struct{ Name, Replacement string }

// Config is the configuration of the daemon.
type Config struct {
	Proxy        *proxy.Config
	Registration *consul.Registration // of the proxy in Consul; nil for none
	Log          Log
	Startup      Startup
	Peers        *Peers // nil where proxies do not know each other
	// Deprecated are the environment variables in use whose names will be dropped; logged once the daemon listens.
	Deprecated []DeprecatedVariable
}

// defaultName is the daemon's former program name. It stays: it identifies a proxy in Consul's catalogue and the
// lease holders that it left before an upgrade.
const defaultName = "yarrowspan"

// Peers are the voters of the fleet's leases, and the part of this process in the fleet.
type Peers struct {
	Fleet     agent.Fleet
	VoterName string // of this voter, "" if it does not vote
	StatePath string // of the voter's stored state
	Permit    Permit
	// Listen is the address for replication of writes, HOST:PORT; "" for none.
	Listen string
	// Advertise is Listen as other proxies reach it.
	Advertise string
	Takeover  Takeover
	// TotalSleep overrides how long the machine has slept in all, for fault tests; nil for the machine's clocks.
	TotalSleep func() time.Duration
}

// Takeover tells how writes with an idempotency key survive the loss of this proxy.
type Takeover struct {
	Enabled        bool
	Replicas       int  // other proxies that hold a write
	RequireReplica bool // a write without a replica is rejected; else it is sent without
}

// Permit tells whether this process needs a permit of the fleet before it drains or reloads.
type Permit struct {
	Enabled  bool
	Timeout  time.Duration // of the wait for a permit
	Required bool          // the wait has no end; else the operation goes on without a permit after Timeout
}

// Log tells what is logged and how.
type Log struct {
	Level slog.Level
	JSON  bool
}

// Startup bounds the waits of a start.
type Startup struct {
	EndpointListTimeout time.Duration // after which the daemon is ready without a list
	BindTimeout         time.Duration // for another process to release the address
}

// Read reads the file at path, and the node file that it may name. Its error joins one error for each defect.
func Read(path string) (*Config, error) {
	text, err := readFile(path)
	if err != nil {
		return nil, err
	}
	return parseConfig(path, text)
}

// maxStableReads bounds the reads of a file that keeps changing.
const maxStableReads = 20

// ReadStable reads a file like Read, where the file may be being written at this moment: half of it may be valid,
// and say less. So the text is used once two reads in a row have returned the same; wait is called between them.
// A file that cannot be opened is an error at once.
func ReadStable(path string, wait func()) (*Config, error) {
	last, err := readFile(path)
	for range maxStableReads {
		if err != nil {
			return nil, err
		}
		wait()
		var text string
		if text, err = readFile(path); err == nil && text == last {
			return parseConfig(path, text)
		}
		last = text
	}
	return nil, fmt.Errorf("%s: is still being written", path)
}

// Errors returns the errors that Read has joined.
func Errors(err error) []error {
	var joined interface{ Unwrap() []error }
	if errors.As(err, &joined) {
		return joined.Unwrap()
	}
	return []error{err}
}

// reader reads a file into a configuration.
type reader struct {
	config *Config
	top    *table
	errors *errorList
	folder string // of the file; other paths are relative to it
}

// parseConfig reads a configuration from the text of the file at path.
func parseConfig(path, text string) (*Config, error) {
	list := &errorList{file: path}
	top, err := parse(text, list)
	if err != nil {
		return nil, err
	}
	r := &reader{
		config: &Config{Proxy: &proxy.Config{}},
		top:    top,
		errors: list,
		folder: filepath.Dir(path),
	}
	p := r.config.Proxy
	p.Seed = rand.Uint64()
	r.readIdentity()
	r.readSources()
	r.readClasses()
	r.readTenants()
	r.readBinary()
	limits := r.readLimits()
	r.readRules()
	r.readOverload()
	r.readCosts()
	r.readLog()
	r.readStartup()
	r.readPeers()
	r.readTest()
	top.rejectUnknown()
	if err := list.err(); err != nil {
		return nil, err
	}
	if err := p.AllocateResources(limits); err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	return r.config, nil
}

// path returns a path in the file as it is from the working folder: a relative one is relative to the file's folder.
func (r *reader) path(name string) string {
	if filepath.IsAbs(name) {
		return name
	}
	return filepath.Join(r.folder, name)
}

// optionalPath is path, with "" for none.
func (r *reader) optionalPath(name string) string {
	if name == "" {
		return ""
	}
	return r.path(name)
}

// readLog reads the table log.
func (r *reader) readLog() {
	t := r.top.table("log")
	level := t.text("level", "info", oneOf("debug", "info", "warn", "error"))
	format := t.text("format", "text", oneOf("text", "json"))
	log := &r.config.Log
	log.JSON = format == "json"
	if err := log.Level.UnmarshalText([]byte(level)); err != nil {
		log.Level = slog.LevelInfo // the error has been added
	}
	t.rejectUnknown()
}

// readStartup reads the table start.
func (r *reader) readStartup() {
	t := r.top.table("start")
	r.config.Startup = Startup{
		EndpointListTimeout: t.duration("wait_for_nodes", 5*time.Second, 0, time.Minute),
		BindTimeout:         t.duration("wait_for_address", 0, 0, time.Minute),
	}
	t.rejectUnknown()
}

// readTest reads the table test, by which fault tests simulate a machine that sleeps.
func (r *reader) readTest() {
	p := r.config.Proxy
	p.TotalSleep = clock.TotalSleep
	if !r.top.has("test") {
		return
	}
	t := r.top.table("test")
	sleepAt := t.duration("sleep_at", 0, 0, maxDuration)
	sleepFor := t.duration("sleep_for", 0, 0, maxDuration)
	p.TotalSleep = clock.SimulatedSleep(sleepAt, sleepFor, t.number("drift", 0, -0.5, 0.5))
	if r.config.Peers != nil {
		r.config.Peers.TotalSleep = p.TotalSleep
	}
	t.rejectUnknown()
}
