// Package fleettest plays fleets of real proxy processes between fake nodes, origins and lists on loopback, with a
// simulated workload and injected faults, and reports whether the rules held. A scenario says what fleet and workload
// there are, and what happens when.
//
// The checker (judge.go, drains.go, leasechecker in lease.go) trusts no proxy: it sees requests at the clients, at the
// nodes and at the origin, and counts a fault's effects as excused only while the fault lasts. A test owns all its
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

// tomlDuration is a duration as a scenario writes it: "1.5s".
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

// Scenario is one test. The tags are the keys of scenario files.
type Scenario struct {
	Name        string        `toml:"-"`
	Description string        `toml:"about"`
	Seed        uint64        `toml:"seed"`
	Fleet       FleetSettings `toml:"fleet"`
	Load        LoadSettings  `toml:"load"`
	Phases      []Phase       `toml:"phase"`
	Events      []Event       `toml:"event"`
}

// FleetSettings describe the fleet.
type FleetSettings struct {
	Proxies int      `toml:"proxies"`
	Nodes   int      `toml:"nodes"`
	Zones   []string `toml:"zones"`

	// Of a node.
	Slots            int          `toml:"slots"` // requests in work at a time
	Queue            int          `toml:"queue"`
	ServiceTime      tomlDuration `toml:"work"`         // of a request
	Capacity         int          `toml:"capacity"`     // keys in its cache
	Connections      int          `toml:"connections"`  // that it accepts
	DedupWindow      tomlDuration `toml:"window"`       // in which nodes drop repeats
	BinaryNodeEvery  int          `toml:"binary_nodes"` // every so many-th node speaks binary; 0 for none
	MissingKeyPrefix string       `toml:"lacks"`        // the origin has no key that starts with it

	OriginSlots       int          `toml:"origin_slots"`
	OriginQueue       int          `toml:"origin_queue"`
	OriginServiceTime tomlDuration `toml:"origin_work"`

	// Of a proxy.
	MemoryMB            int  `toml:"memory_mb"`
	MaxSockets          int  `toml:"sockets"`
	ConnectionsPerNode  int  `toml:"connections_per_node"`
	PassedListenerEvery int  `toml:"passed_socket"` // every so many-th proxy inherits its listener; 0 for none
	Binary              bool `toml:"binary"`        // it accepts binary clients too
	Consul              bool `toml:"consul"`        // it follows a Consul agent, one a zone
	DegradationOff      bool `toml:"unreduced"`     // it never reduces its service

	// SuspendAt is how long after a proxy's start its machine seems to be suspended, SuspendDuration for how long; 0
	// for no suspension.
	SuspendAt       tomlDuration `toml:"sleep_at"`
	SuspendDuration tomlDuration `toml:"sleep_for"`
	// ClockDrift is the share by which the clock that counts suspensions drifts from the other; at every other proxy
	// it lags.
	ClockDrift float64 `toml:"drift"`
	// RestartPermits is how many proxies may restart at once, by permits of the fleet, of which the first three are
	// voters; 0 for proxies that do not know each other.
	RestartPermits int `toml:"permits"`
	// TakeoverMode, plain or strict, has the proxies of such a fleet record writes at TakeoverHolders others.
	TakeoverMode    string `toml:"takeover"`
	TakeoverHolders int    `toml:"holders"`
	// Leaderless has the proxies of such a fleet find no voter.
	Leaderless bool `toml:"leaderless"`
}

// LoadSettings describe the workload.
type LoadSettings struct {
	Rate           float64 `toml:"rate"`      // requests a second, without retries
	HandoverShare  float64 `toml:"handovers"` // of requests
	Keys           int     `toml:"keys"`      // that are read
	Skew           float64 `toml:"skew"`      // of their popularity, above 1
	OneOffKeyShare float64 `toml:"one_off"`   // of reads: for keys that are read once

	Retries               int     `toml:"retries"`
	MarkedRetryShare      float64 `toml:"marked"` // of clients: they mark retries
	HonourRetryAfterShare float64 `toml:"honour"` // of clients: they observe a refusal's advice
	// LateRetries is how often a client asks again for a write with an unknown outcome, 2 to 10 s later each time;
	// LateRetryShare the share of clients that retry only then.
	LateRetries    int     `toml:"again"`
	LateRetryShare float64 `toml:"late"`

	Pipelines     int `toml:"pipelines"` // connections that pipeline reads, in addition
	PipelineDepth int `toml:"depth"`

	Tenants      []string `toml:"tenants"`
	TenantQuota  int      `toml:"quota"`   // of a tenant, requests a second over all proxies
	BinaryShare  float64  `toml:"binary"`  // of requests: from binary clients, as every other pipeline
	LibraryShare float64  `toml:"library"` // of the others: through the client library
}

// The shares that the flags --binary and --library stand for.
const (
	binaryShare     = 0.25
	binaryNodeEvery = 4
	libraryShare    = 0.25
)

// WithBinary has one client in four, if there are clients, and one node in four speak binary.
func (s *Scenario) WithBinary() {
	s.Fleet.Binary = true
	s.Fleet.BinaryNodeEvery = binaryNodeEvery
	s.Load.BinaryShare = binaryShare
}

// WithLibrary has one client in four use the client library.
func (s *Scenario) WithLibrary() { s.Load.LibraryShare = libraryShare }

// Phase is a part of the workload whose results are counted together.
type Phase struct {
	Name              string       `toml:"name"`
	Duration          tomlDuration `toml:"for"`
	RateFactor        float64      `toml:"rate"`   // of the load's rate; 0 stands for 1
	RateSwing         float64      `toml:"swing"`  // amplitude of a sine, as a share of the rate
	SwingPeriod       tomlDuration `toml:"period"` // of the sine
	FirstTenantFactor float64      `toml:"flood"`  // by which the first tenant exceeds its part; 0 stands for 1
}

// rate is the rate at a time since the phase started, as a factor of the load's.
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

// Event is what happens to the fleet at a time. See eventActions for the actions and the fields that they use.
type Event struct {
	At            tomlDuration `toml:"at"`
	Action        string       `toml:"do"`
	Proxy         int          `toml:"proxy"` // number of a proxy; -1 for all
	Node          int          `toml:"node"`  // number of a node
	Mode          string       `toml:"mode"`  // of restarts; "" for both by turns
	Interval      tomlDuration `toml:"every"`
	Count         int          `toml:"times"`
	ConfigVariant string       `toml:"with"`
	FaultKind     string       `toml:"kind"`
	Delay         tomlDuration `toml:"by"`
	OneIn         int          `toml:"part"` // a fault concerns one request in so many
	Zone          string       `toml:"zone"`
	Duration      tomlDuration `toml:"for"`
	// Proxies, of stop, link, starve and crowd, are several proxies in place of Proxy.
	Proxies []int `toml:"proxies"`
	// Nodes, of links to nodes, are some nodes; none for all.
	Nodes  []int  `toml:"nodes"`
	LinkTo string `toml:"between"` // clients, nodes or list: the other end of links of proxies
}

// proxies are the numbers of the proxies that a fault concerns.
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

// BuiltInScenarios returns the names of the built-in scenarios, with what they are about.
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

// defaultScenario has the settings that a file leaves out.
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
			return nil, fmt.Errorf("scenario %s: neither built in nor a file that can be read", name)
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

// length is the duration of all phases.
func (s *Scenario) length() (total time.Duration) {
	for _, p := range s.Phases {
		total += time.Duration(p.Duration)
	}
	return total
}
