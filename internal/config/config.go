// Package config reads the daemon's own configuration, a TOML file.
//
// Guarantees:
//
//  1. All errors of a file are reported together, each with the file, the key, the value and what is allowed.
//  2. A configuration is returned completely or not at all.
//  3. Only this package knows the names of the file's keys; other packages use their own Go names for the settings.
//
// The package keeps no state and starts no goroutine. Package daemon applies the configuration.
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

// DeprecatedVariable is an environment variable that is set under a former name, and the name that replaces it.
type DeprecatedVariable struct{ Name, Replacement string }

// Config is the configuration of the daemon.
type Config struct {
	Proxy        *proxy.Config
	Registration *consul.Registration // registration of the proxy in Consul; nil if it is not registered
	Log          Log
	Startup      Startup
	Peers        *Peers // nil if the proxy is not part of a fleet
	// Deprecated lists the environment variables that were read under a deprecated name. The daemon logs these
	// variables once it listens.
	Deprecated []DeprecatedVariable
}

// defaultName is the proxy's name if the file sets none. It is the former name of the program and must not change: it
// identifies a proxy in Consul's catalogue, and the lease holders that a process left before an upgrade.
const defaultName = "yarrowspan"

// Peers configures the fleet: the voters of its leases, and the roles of this process.
type Peers struct {
	Fleet     agent.Fleet
	VoterName string // name of this voter; "" if this process does not vote
	StatePath string // path of the voter's stored state
	Permit    Permit
	// Listen is the address for replication of writes, HOST:PORT; "" without takeover.
	Listen string
	// Advertise is the address at which other proxies reach Listen.
	Advertise string
	Takeover  Takeover
	// TotalSleep overrides how long the machine has slept in total, for fault tests; nil to read the machine's clocks.
	TotalSleep func() time.Duration
}

// Takeover configures how writes with an idempotency key survive the loss of this proxy.
type Takeover struct {
	Enabled        bool
	Replicas       int  // number of other proxies that each write is replicated to
	RequireReplica bool // reject a write that cannot be replicated; if false, it is sent without a replica
}

// Permit configures whether this process needs a permit of the fleet before it drains or reloads.
type Permit struct {
	Enabled  bool
	Timeout  time.Duration // longest wait for a permit, unless Required is set
	Required bool          // wait without limit; if false, the operation proceeds without a permit after Timeout
}

// Log configures the level and the format of the log.
type Log struct {
	Level slog.Level
	JSON  bool // JSON format; if false, text
}

// Startup bounds the waits during a start.
type Startup struct {
	EndpointListTimeout time.Duration // wait for the endpoint list; then the daemon reports ready without it
	BindTimeout         time.Duration // wait for another process to release the address
}

// Read reads the file at path, and the node file that the file may name. Its error joins one error for each defect; see
// [Errors].
func Read(path string) (*Config, error) {
	text, err := readFile(path)
	if err != nil {
		return nil, err
	}
	return parseConfig(path, text)
}

// maxStableReads is the number of reads after which a file that keeps changing is an error.
const maxStableReads = 20

// ReadStable is like Read for a file that another process may be writing: the part written so far may be valid, but
// incomplete. It reads the file until two successive reads return the same text, and calls wait between reads. It
// returns an error if a read fails, or if the file still changes after 20 reads.
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

// Errors returns the errors that Read has joined in err, or a list of err alone if it joins none.
func Errors(err error) []error {
	var joined interface{ Unwrap() []error }
	if errors.As(err, &joined) {
		return joined.Unwrap()
	}
	return []error{err}
}

// reader converts the parsed file into a configuration.
type reader struct {
	config *Config
	top    *table
	errors *errorList
	dir    string // directory of the file; paths in the file are relative to it
}

// parseConfig parses the text of the file at path.
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
		dir:    filepath.Dir(path),
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

// path resolves a path from the file: a relative path is relative to the file's directory.
func (r *reader) path(name string) string {
	if filepath.IsAbs(name) {
		return name
	}
	return filepath.Join(r.dir, name)
}

// optionalPath is like path, but returns "" for "".
func (r *reader) optionalPath(name string) string {
	if name == "" {
		return ""
	}
	return r.path(name)
}

func (r *reader) readLog() {
	t := r.top.table("log")
	level := t.text("level", "info", oneOf("debug", "info", "warn", "error"))
	format := t.text("format", "text", oneOf("text", "json"))
	log := &r.config.Log
	log.JSON = format == "json"
	if err := log.Level.UnmarshalText([]byte(level)); err != nil {
		log.Level = slog.LevelInfo // t.text has added the error
	}
	t.rejectUnknown()
}

// readStartup reads the table start. Without wait_for_address, a start fails immediately if the address is in use.
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
