// Package fleettest plays a fleet of real proxy processes between stand-in clients,
// nodes, origin and list, on loopback, and tells whether the rules held. A
// scenario says what fleet, what load and what befalls it when.
package fleettest

import (
	"embed"
	"errors"
	"fmt"
	"io/fs"
	"math"
	"os"
	"path"
	"slices"
	"strings"
	"time"

	"github.com/BurntSushi/toml"

	"mulleinpier/internal/fake/node"
)

// tomlDuration is a duration as a scenario writes it.
type tomlDuration time.Duration

func (s *tomlDuration) UnmarshalText(text []byte) error {
	d, err := time.ParseDuration(string(text))
	if err == nil && d < 0 {
		err = fmt.Errorf("duration %s is negative", text)
	}
	*s = tomlDuration(d)
	return err
}

// Scenario is one rehearsal.
type Scenario struct {
	Name        string        `toml:"-"`
	Description string        `toml:"about"`
	Seed        uint64        `toml:"seed"`
	Fleet       FleetSettings `toml:"fleet"`
	Load        LoadSettings  `toml:"load"`
	Phases      []Phase       `toml:"phase"`
	Events      []Event       `toml:"event"`
}

// FleetSettings says what there is.
type FleetSettings struct {
	Proxies             int          `toml:"proxies"`
	Nodes               int          `toml:"nodes"`
	Zones               []string     `toml:"zones"`
	Slots               int          `toml:"slots"`       // of a node
	Queue               int          `toml:"queue"`       // of a node
	ServiceTime         tomlDuration `toml:"work"`        // of a node for a request
	Capacity            int          `toml:"capacity"`    // keys that a node keeps
	Connections         int          `toml:"connections"` // that a node holds
	DedupWindow         tomlDuration `toml:"window"`      // in which nodes drop repeats
	OriginSlots         int          `toml:"origin_slots"`
	OriginQueue         int          `toml:"origin_queue"`
	OriginServiceTime   tomlDuration `toml:"origin_work"`
	MemoryMB            int          `toml:"memory_mb"`            // of a proxy
	MaxSockets          int          `toml:"sockets"`              // of a proxy
	ConnectionsPerNode  int          `toml:"connections_per_node"` // of a proxy
	PassedListenerEvery int          `toml:"passed_socket"`        // every so many-th proxy is passed its listener; 0 for none
	Binary              bool         `toml:"binary"`               // proxies take binary clients too
	BinaryNodeEvery     int          `toml:"binary_nodes"`         // every so many-th node speaks binary; 0 for none
	Consul              bool         `toml:"consul"`               // proxies follow Consul agents, one a zone
	DegradationOff      bool         `toml:"unreduced"`            // proxies don't reduce service
	SuspendAt           tomlDuration `toml:"sleep_at"`             // the proxies' machine seems to sleep, so long after a proxy's start
	SuspendDuration     tomlDuration `toml:"sleep_for"`            // and for so long; 0 for no sleep
	// ClockDrift is by how much of itself the clock that counts sleep runs off the other; every other proxy's lags.
	ClockDrift float64 `toml:"drift"`
	// RestartPermits is how many proxies may restart at once, by leave of the fleet, of which the first three are voters; 0 for
	// proxies that know nothing of each other.
	RestartPermits int `toml:"permits"`
	// TakeoverMode, plain or strict, has such a fleet's proxies hold works in hand at Holders others.
	TakeoverMode    string `toml:"takeover"`
	TakeoverHolders int    `toml:"holders"`
	// Leaderless has proxies of such a fleet find no voter at all.
	Leaderless       bool   `toml:"leaderless"`
	MissingKeyPrefix string `toml:"lacks"` // the origin has no key that begins so
}

// LoadSettings says what clients do.
type LoadSettings struct {
	Rate                  float64  `toml:"rate"`      // requests a second, first tries
	HandoverShare         float64  `toml:"handovers"` // share of them
	Keys                  int      `toml:"keys"`      // of reads
	Skew                  float64  `toml:"skew"`      // of their popularity, above 1
	OneOffKeyShare        float64  `toml:"one_off"`   // share of reads for keys wanted once
	Retries               int      `toml:"retries"`
	MarkedRetryShare      float64  `toml:"marked"`    // share of clients that mark retries
	HonourRetryAfterShare float64  `toml:"honour"`    // share of clients that heed a refusal's advice
	Pipelines             int      `toml:"pipelines"` // connections that pipeline reads, besides
	PipelineDepth         int      `toml:"depth"`     // of such a pipeline
	Tenants               []string `toml:"tenants"`
	TenantQuota           int      `toml:"quota"`   // of a tenant, requests a second over all proxies; 1000
	BinaryShare           float64  `toml:"binary"`  // share of requests from binary clients; every other pipeline is theirs too
	LateRetries           int      `toml:"again"`   // how often a till asks again for a handover whose outcome it doesn't know, 2 to 10 s later each time
	LateRetryShare        float64  `toml:"late"`    // share of tills that ask again only then
	LibraryShare          float64  `toml:"library"` // share of the others that come through the client library
}

// WithBinary has one client in four speak binary, if there are any, and one node in four.
func (s *Scenario) WithBinary() {
	s.Fleet.Binary, s.Fleet.BinaryNodeEvery, s.Load.BinaryShare = true, 4, 0.25
}

// WithLibrary has one client in four use the client library.
func (s *Scenario) WithLibrary() { s.Load.LibraryShare = 0.25 }

// Phase is a stretch of time whose figures stand together.
type Phase struct {
	Name              string       `toml:"name"`
	Duration          tomlDuration `toml:"for"`
	RateFactor        float64      `toml:"rate"`   // times the load's; 1
	RateSwing         float64      `toml:"swing"`  // share by which the rate swings round that
	SwingPeriod       tomlDuration `toml:"period"` // of the swing
	FirstTenantFactor float64      `toml:"flood"`  // times its part that the first tenant asks for; 1
}

// rate is the rate at a time since the phase began, in times of the load's.
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

// Event is something done to the fleet at a time.
type Event struct {
	At            tomlDuration `toml:"at"`
	Action        string       `toml:"do"`
	Proxy         int          `toml:"proxy"` // its number; -1 for all
	Node          int          `toml:"node"`  // its number
	Mode          string       `toml:"mode"`  // of restart and wave: old first (gap), or new first (overlap)
	Interval      tomlDuration `toml:"every"` // between the proxies of a wave, or the times of a hangup
	Count         int          `toml:"times"` // how often
	ConfigVariant string       `toml:"with"`  // of hangup: what the configuration is like
	FaultKind     string       `toml:"kind"`  // of fault
	Delay         tomlDuration `toml:"by"`    // of fault
	OneIn         int          `toml:"part"`  // of fault: one request in so many
	Zone          string       `toml:"zone"`  // of dark and light
	Duration      tomlDuration `toml:"for"`   // of stop, link, starve and crowd: how long
	// Of stop, link, starve and crowd: which proxies (none for that of Proxy), and of a link to
	// nodes which of them (none for all).
	Proxies []int  `toml:"proxies"`
	Nodes   []int  `toml:"nodes"`
	LinkTo  string `toml:"between"` // of link: clients, nodes or list, to each of which the proxies are linked
}

// what events there are, and what they do.
var eventActions = map[string]string{
	"wave":      "restarts all proxies one after another, Every apart, by Mode",
	"restart":   "restarts a proxy, or Proxies, or all at once, by Mode",
	"kill":      "kills a proxy outright and starts it again",
	"hangup":    "writes a proxy's configuration anew (With: same, quota, broken, gone, half, moved, fixed) and sends SIGHUP, Times times, Every apart",
	"drain":     "has the list tell that a node drains",
	"undrain":   "has the list tell that it is up again",
	"cold":      "restarts a node cold, and has the list tell it",
	"remove":    "takes a node out of the list",
	"fault":     "makes a node fail by Kind, for Part and By",
	"list-down": "takes the list service down; with Kind, has Consul agents fail so (quiet, empty, part, leaderless, rewind and others)",
	"flap":      "takes a node out of the list and enters it again, Times times, each for Every",
	"die":       "ends a node's process; nobody tells the list",
	"rename":    "ends a node's process, and starts another's, cold, of another name at its address; the list tells both",
	"reborn":    "starts a node's process anew, cold, at its address; nobody tells the list",
	"leave":     "takes the first Times nodes out of the list at once, their processes run on",
	"return":    "enters them again",
	"list-up":   "brings it back",
	"brown":     "has the origin take By for a piece of work; without By the usual",
	"dark":      "ends the processes of all nodes of a Zone; nobody tells the list",
	"light":     "starts them anew, cold, and has the list tell it",
	"stop":      "stops proxies (SIGSTOP) For a time and continues them, Times times, one each Every",
	"link":      "has the links Between proxies and clients, nodes or list fail by Kind (cut, forth, back, delay, slow, reset), By and For a time",
	"starve":    "takes the proxies' cores For a time, by Times busy threads beside each",
	"crowd":     "opens Times connections to proxies and holds them For a time, without a word",
}

// The modes of restarts.
const (
	modeGap     = "gap"     // the old process ends before the new one starts
	modeOverlap = "overlap" // the new process starts first
)

var restartModes = []string{"", modeGap, modeOverlap}
var configVariants = []string{
	"", configSame, configQuota, configBroken, configGone, configHalf, configMoved, configFixed,
}

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

// LoadScenario reads a built-in scenario, or one in a file.
func LoadScenario(name string) (*Scenario, error) {
	text, err := builtIn.ReadFile("scenarios/" + name + ".toml")
	if err != nil {
		if text, err = os.ReadFile(name); err != nil {
			return nil, fmt.Errorf("scenario %s: neither built in nor a file that can be read", name)
		}
	}
	s := &Scenario{Name: strings.TrimSuffix(path.Base(name), ".toml"), Seed: 1,
		Fleet: FleetSettings{Proxies: 3, Nodes: 6, Zones: []string{"a"}, Slots: 8, Queue: 64, ServiceTime: tomlDuration(20 * time.Millisecond),
			Capacity: 4096, Connections: 64, DedupWindow: tomlDuration(1500 * time.Millisecond), OriginSlots: 64, OriginQueue: 256,
			OriginServiceTime: tomlDuration(30 * time.Millisecond), MemoryMB: 64, MaxSockets: 512, ConnectionsPerNode: 2},
		Load: LoadSettings{Rate: 100, HandoverShare: 0.05, Keys: 5000, Skew: 1.1, Retries: 3, MarkedRetryShare: 0.5, HonourRetryAfterShare: 0.5, PipelineDepth: 8, TenantQuota: 1000}}
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

func (s *Scenario) check() error {
	f, l := &s.Fleet, &s.Load
	switch {
	case f.Proxies < 1 || f.Proxies > 99:
		return fmt.Errorf("fleet.proxies cannot be %d: want 1 to 99", f.Proxies)
	case f.Nodes < 1 || f.Nodes > 1000:
		return fmt.Errorf("fleet.nodes cannot be %d: want 1 to 1000", f.Nodes)
	case l.Rate < 0 || l.Rate > 20000:
		return fmt.Errorf("load.rate cannot be %v: want 0 to 20000", l.Rate)
	case l.BinaryShare < 0 || l.BinaryShare > 1 || l.BinaryShare > 0 && !f.Binary || f.BinaryNodeEvery < 0:
		return errors.New("load.binary wants 0 to 1, and fleet.binary; fleet.binary_nodes no less than 0")
	case l.LibraryShare < 0 || l.LibraryShare > 1:
		return fmt.Errorf("load.library cannot be %v: want 0 to 1", l.LibraryShare)
	case l.Skew <= 1 || l.Keys < 1 || l.PipelineDepth < 1 || l.PipelineDepth > 100 || l.Pipelines < 0 || l.Pipelines > 100:
		return errors.New("load: want skew above 1, keys from 1, depth 1 to 100, pipelines 0 to 100")
	case l.TenantQuota < 0:
		return fmt.Errorf("load.quota cannot be %d: want no less than 0", l.TenantQuota)
	case f.RestartPermits < 0 || f.RestartPermits > 0 && f.Proxies < permitVoters:
		return fmt.Errorf("fleet.permits cannot be %d: want 0 or more, and %d proxies", f.RestartPermits, permitVoters)
	case f.ClockDrift < 0 || f.ClockDrift > 0.5:
		return fmt.Errorf("fleet.drift cannot be %v: want 0 to 0.5", f.ClockDrift)
	case f.TakeoverMode != "" && (f.RestartPermits == 0 || f.TakeoverMode != "plain" && f.TakeoverMode != "strict" || f.TakeoverHolders < 1 || f.TakeoverHolders > 2):
		return fmt.Errorf("fleet.takeover cannot be %q with %d holders: want plain or strict, 1 or 2, and permits", f.TakeoverMode, f.TakeoverHolders)
	case l.LateRetries < 0 || l.LateRetries > 10 || l.LateRetryShare < 0 || l.LateRetryShare > 1:
		return errors.New("load: want again 0 to 10, late 0 to 1")
	case len(f.Zones) == 0:
		return errors.New("fleet.zones cannot be empty")
	case len(s.Phases) == 0:
		return errors.New("there is no phase")
	}
	if total := s.length(); total > 4*time.Hour {
		return fmt.Errorf("the phases last %v: want 4h at most", total)
	}
	for _, p := range s.Phases {
		if p.RateFactor < 0 || p.RateFactor > 100 || p.RateSwing < 0 || p.RateSwing > 1 || p.FirstTenantFactor < 0 || p.FirstTenantFactor > 100 || p.FirstTenantFactor > 1 && len(l.Tenants) == 0 {
			return fmt.Errorf("phase %s: want rate 0 to 100, swing 0 to 1, flood 0 to 100 and tenants for it", p.Name)
		}
	}
	for i, e := range s.Events {
		if err := s.checkFault(&e); err != nil {
			return fmt.Errorf("event %d: %w", i, err)
		}
		switch {
		case (e.Action == "dark" || e.Action == "light") && !slices.Contains(f.Zones, e.Zone):
			return fmt.Errorf("event %d: there is no zone %q", i, e.Zone)
		case eventActions[e.Action] == "":
			return fmt.Errorf("event %d: nothing is done by %q", i, e.Action)
		case !slices.Contains(restartModes, e.Mode) || !slices.Contains(configVariants, e.ConfigVariant):
			return fmt.Errorf("event %d: mode cannot be %q, or with cannot be %q", i, e.Mode, e.ConfigVariant)
		case e.Proxy < -1 || e.Proxy >= f.Proxies || e.Node < 0 || e.Node >= f.Nodes:
			return fmt.Errorf("event %d: there is no proxy %d, or no node %d", i, e.Proxy, e.Node)
		case slices.ContainsFunc(e.Proxies, func(i int) bool { return i < 0 || i >= f.Proxies }):
			return fmt.Errorf("event %d: there is no such proxy: %v", i, e.Proxies)
		case time.Duration(e.At) > s.length():
			return fmt.Errorf("event %d comes after the end", i)
		}
		if _, err := node.ParseFault(e.FaultKind); err != nil && e.Action != "list-down" && e.Action != "link" {
			return fmt.Errorf("event %d: %w", i, err)
		}
		if e.Count < 0 || e.Count > f.Nodes && (e.Action == "leave" || e.Action == "return") {
			return fmt.Errorf("event %d: times cannot be %d", i, e.Count)
		}
	}
	return nil
}

// length is that of all phases.
func (s *Scenario) length() (total time.Duration) {
	for _, p := range s.Phases {
		total += time.Duration(p.Duration)
	}
	return total
}
