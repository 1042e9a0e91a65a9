// Package fleettest runs fleets of real proxy processes on loopback, between fake nodes, origins and endpoint lists,
// with a simulated workload and injected faults, and reports whether the rules held. A scenario describes the fleet,
// the workload, and which events happen when.
//
// The checks (judge.go, drains.go, fencingchecker.go) do not trust the proxies: they observe requests at the clients,
// the nodes and the origin, and excuse the effects of a fault only while the fault lasts. A test owns all its
// processes, links and goroutines, and ends them before it returns.
package fleettest

import (
	"embed"
	"fmt"
	"io/fs"
	"math"
	"os"
	"path"
	"strings"
	"time"

	"github.com/BurntSushi/toml"
)

// tomlDuration is a duration that a scenario file gives as a string such as "1.5s". It cannot be negative.
type tomlDuration time.Duration

// UnmarshalText implements encoding.TextUnmarshaler.
func (d *tomlDuration) UnmarshalText(text []byte) error {
	parsed, err := time.ParseDuration(string(text))
	if err == nil && parsed < 0 {
		err = fmt.Errorf("duration %s is negative", text)
	}
	*d = tomlDuration(parsed)
	return err
}

// Scenario describes one test. The toml tags are the keys of scenario files.
type Scenario struct {
	Name        string        `toml:"-"`
	Description string        `toml:"about"`
	Seed        uint64        `toml:"seed"`
	Fleet       FleetSettings `toml:"fleet"`
	Load        LoadSettings  `toml:"load"`
	Phases      []Phase       `toml:"phase"`
	Events      []Event       `toml:"event"`
}

// FleetSettings are the number and the settings of the proxies, the nodes and the origin.
type FleetSettings struct {
	Proxies int      `toml:"proxies"`
	Nodes   int      `toml:"nodes"`
	Zones   []string `toml:"zones"`

	// Settings of each node.
	Slots            int          `toml:"slots"` // requests executed at a time
	Queue            int          `toml:"queue"`
	ServiceTime      tomlDuration `toml:"work"`         // per request
	Capacity         int          `toml:"capacity"`     // keys in its cache
	Connections      int          `toml:"connections"`  // open at a time; more are reset
	DedupWindow      tomlDuration `toml:"window"`       // within which nodes drop duplicate writes
	BinaryNodeEvery  int          `toml:"binary_nodes"` // every n-th node speaks binary; 0 means none
	MissingKeyPrefix string       `toml:"lacks"`        // the origin has no keys with this prefix

	OriginSlots       int          `toml:"origin_slots"`
	OriginQueue       int          `toml:"origin_queue"`
	OriginServiceTime tomlDuration `toml:"origin_work"`

	// Settings of each proxy.
	MemoryMB            int  `toml:"memory_mb"`
	MaxSockets          int  `toml:"sockets"`
	ConnectionsPerNode  int  `toml:"connections_per_node"`
	PassedListenerEvery int  `toml:"passed_socket"` // every n-th proxy inherits its listener; 0 means none
	Binary              bool `toml:"binary"`        // accepts binary clients too
	Consul              bool `toml:"consul"`        // discovers nodes from the Consul agent of its zone
	DegradationOff      bool `toml:"unreduced"`     // never leaves the full degradation level

	// SuspendAt is the time after a proxy's start at which its machine appears to be suspended, SuspendDuration for
	// how long; a SuspendDuration of 0 means no suspension.
	SuspendAt       tomlDuration `toml:"sleep_at"`
	SuspendDuration tomlDuration `toml:"sleep_for"`
	// ClockDrift is the fraction by which the clock that includes suspensions runs faster than the monotonic clock;
	// at proxies with odd numbers it runs slower instead.
	ClockDrift float64 `toml:"drift"`
	// RestartPermits is how many proxies may restart at the same time under the fleet's restart permits. The first
	// three proxies are the voters. 0 means that the proxies are not members of a fleet and do not know each other.
	RestartPermits int `toml:"permits"`
	// TakeoverMode, plain or strict, has each proxy of a fleet with restart permits record its writes at
	// TakeoverHolders other proxies.
	TakeoverMode    string `toml:"takeover"`
	TakeoverHolders int    `toml:"holders"`
	// Leaderless starts no voters in a fleet with restart permits, so that its proxies can reach none.
	Leaderless bool `toml:"leaderless"`
}

// LoadSettings are the settings of the workload. The fields named Share are fractions from 0 to 1.
type LoadSettings struct {
	Rate           float64 `toml:"rate"`      // requests per second, retries not included
	HandoverShare  float64 `toml:"handovers"` // of requests that are handovers
	Keys           int     `toml:"keys"`      // number of keys to read, and of keys to write
	Skew           float64 `toml:"skew"`      // exponent of the Zipf distribution of the keys; above 1
	OneOffKeyShare float64 `toml:"one_off"`   // of reads whose key is read only once

	Retries               int     `toml:"retries"`
	MarkedRetryShare      float64 `toml:"marked"` // of clients that mark retries
	HonourRetryAfterShare float64 `toml:"honour"` // of clients that wait as long as a rejection advises
	// LateRetries is how often a client repeats a write with an unknown outcome, 2 to 10 s later each time.
	// LateRetryShare is the share of clients that retry such a write only in this way, never sooner.
	LateRetries    int     `toml:"again"`
	LateRetryShare float64 `toml:"late"`

	Pipelines     int `toml:"pipelines"` // additional connections that pipeline reads
	PipelineDepth int `toml:"depth"`

	Tenants      []string `toml:"tenants"`
	TenantQuota  int      `toml:"quota"`   // of each tenant, in requests per second over all proxies
	BinaryShare  float64  `toml:"binary"`  // of requests from binary clients; above 0, also every second pipeline
	LibraryShare float64  `toml:"library"` // of the other requests that use the client library
}

// The settings that the flags --binary and --library select.
const (
	binaryShare     = 0.25
	binaryNodeEvery = 4
	libraryShare    = 0.25
)

// WithBinary makes one request in four and one node in four use the binary protocol.
func (s *Scenario) WithBinary() {
	s.Fleet.Binary = true
	s.Fleet.BinaryNodeEvery = binaryNodeEvery
	s.Load.BinaryShare = binaryShare
}

// WithLibrary makes one client in four, of those that do not speak binary, use the client library.
func (s *Scenario) WithLibrary() { s.Load.LibraryShare = libraryShare }

// Phase is a part of the workload whose results are counted together.
type Phase struct {
	Name              string       `toml:"name"`
	Duration          tomlDuration `toml:"for"`
	RateFactor        float64      `toml:"rate"`   // multiplies the load's rate; 0 means 1
	RateSwing         float64      `toml:"swing"`  // amplitude of a sine added to the rate, as a fraction of it
	SwingPeriod       tomlDuration `toml:"period"` // of the sine
	FirstTenantFactor float64      `toml:"flood"`  // multiplies the first tenant's rate; 0 means 1
}

// rate returns the factor by which the load's rate is multiplied at a time since the start of the phase.
func (p *Phase) rate(since time.Duration, tenants int) float64 {
	rate := p.RateFactor
	if rate == 0 {
		rate = 1
	}
	if p.RateSwing > 0 && p.SwingPeriod > 0 {
		rate *= 1 + p.RateSwing*math.Sin(2*math.Pi*float64(since)/float64(p.SwingPeriod))
	}
	if p.FirstTenantFactor > 1 && tenants > 0 {
		rate *= 1 + (p.FirstTenantFactor-1)/float64(tenants)
	}
	return rate
}

// Event is something that happens to the fleet at a given time. eventActions lists the actions and the fields that they
// use.
type Event struct {
	At            tomlDuration `toml:"at"`
	Action        string       `toml:"do"`
	Proxy         int          `toml:"proxy"` // number of a proxy; -1 means all
	Node          int          `toml:"node"`  // number of a node
	Mode          string       `toml:"mode"`  // of restarts; "" means that a wave alternates between both
	Interval      tomlDuration `toml:"every"`
	Count         int          `toml:"times"`
	ConfigVariant string       `toml:"with"`
	FaultKind     string       `toml:"kind"`
	Delay         tomlDuration `toml:"by"`
	OneIn         int          `toml:"part"` // a fault affects one request in this many
	Zone          string       `toml:"zone"`
	Duration      tomlDuration `toml:"for"`
	// Proxies lists several proxies and replaces Proxy, for restart, kill, hangup, stop, link, starve and crowd.
	Proxies []int `toml:"proxies"`
	// Nodes limits a fault of the links to nodes to some nodes; empty means all.
	Nodes  []int  `toml:"nodes"`
	LinkTo string `toml:"between"` // other end of the proxies' links: clients, nodes or list
}

// proxies returns the numbers of the proxies that a fault affects.
func (e *Event) proxies() []int {
	if len(e.Proxies) > 0 {
		return e.Proxies
	}
	return []int{e.Proxy}
}

// The modes of restarts.
const (
	modeGap     = "gap"     // the old process ends before the new one starts
	modeOverlap = "overlap" // the new process starts first
)

var restartModes = []string{"", modeGap, modeOverlap}

//go:embed scenarios/*.toml
var builtIn embed.FS

// BuiltInScenarios returns the name and the description of each built-in scenario.
func BuiltInScenarios() (list [][2]string) {
	files, err := fs.Glob(builtIn, "scenarios/*.toml")
	if err != nil {
		return nil
	}
	for _, file := range files {
		name := strings.TrimSuffix(path.Base(file), ".toml")
		if s, err := LoadScenario(name); err == nil {
			list = append(list, [2]string{name, s.Description})
		}
	}
	return list
}

// defaultScenario returns the defaults of the settings that a scenario file leaves out.
func defaultScenario(name string) *Scenario {
	return &Scenario{
		Name: name,
		Seed: 1,
		Fleet: FleetSettings{
			Proxies:            3,
			Nodes:              6,
			Zones:              []string{"a"},
			Slots:              8,
			Queue:              64,
			ServiceTime:        tomlDuration(20 * time.Millisecond),
			Capacity:           4096,
			Connections:        64,
			DedupWindow:        tomlDuration(1500 * time.Millisecond),
			OriginSlots:        64,
			OriginQueue:        256,
			OriginServiceTime:  tomlDuration(30 * time.Millisecond),
			MemoryMB:           64,
			MaxSockets:         512,
			ConnectionsPerNode: 2,
		},
		Load: LoadSettings{
			Rate:                  100,
			HandoverShare:         0.05,
			Keys:                  5000,
			Skew:                  1.1,
			Retries:               3,
			MarkedRetryShare:      0.5,
			HonourRetryAfterShare: 0.5,
			PipelineDepth:         8,
			TenantQuota:           1000,
		},
	}
}

// LoadScenario loads a built-in scenario, or one in a file.
func LoadScenario(name string) (*Scenario, error) {
	text, err := builtIn.ReadFile("scenarios/" + name + ".toml")
	if err != nil {
		if text, err = os.ReadFile(name); err != nil {
			return nil, fmt.Errorf("scenario %s: neither a built-in scenario nor a readable file", name)
		}
	}
	s := defaultScenario(strings.TrimSuffix(path.Base(name), ".toml"))
	meta, err := toml.Decode(string(text), s)
	if err != nil {
		return nil, fmt.Errorf("scenario %s: %w", name, err)
	}
	if unknown := meta.Undecoded(); len(unknown) > 0 {
		return nil, fmt.Errorf("scenario %s: unknown key %s", name, unknown[0])
	}
	if err := s.check(); err != nil {
		return nil, fmt.Errorf("scenario %s: %w", name, err)
	}
	return s, nil
}

// length returns the total duration of the phases.
func (s *Scenario) length() (total time.Duration) {
	for _, p := range s.Phases {
		total += time.Duration(p.Duration)
	}
	return total
}
