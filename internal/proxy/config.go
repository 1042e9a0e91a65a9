// Package proxy is the proxy proper: its listeners, the connections of its clients
// through their lives, and its configuration.
package proxy

import (
	"cmp"
	"encoding/json"
	"errors"
	"fmt"
	"hash/fnv"
	"math"
	"net"
	"os"
	"reflect"
	"slices"
	"strconv"
	"strings"
	"time"

	"mulleinpier/internal/connlimit"
	"mulleinpier/internal/core"
	"mulleinpier/internal/discovery"
	"mulleinpier/internal/frontend/binary"
	"mulleinpier/internal/overload"
	"mulleinpier/internal/simwire"
	"mulleinpier/internal/upstream"
	"mulleinpier/policy"
)

// Config is what a proxy is told, and what follows from it. Both readers, of the
// platform's file here and of the daemon's own in package config, fill it in and
// end with Share.
type Config struct {
	core.Config
	Name, Listen        string
	Cores               float64
	MemoryBytes         int // bytes
	MaxDescriptors      int // descriptors
	MaxClients          int // connections at most
	RequestBudgetBytes  int
	ResponseBudgetBytes int
	Binary              *BinaryConfig // nil where no binary clients are served
}

// BinaryConfig says how clients of the binary protocol are served.
type BinaryConfig struct {
	// Listen is an address of their own; "" if they come to that of all, where the first
	// byte tells them.
	Listen string
	Rules  binary.Rules
}

// The names of the listeners, as routes have them.
const (
	MainListener   = "main"
	BinaryListener = "binary"
)

// SourceNames names the places of the list, for a log.
func (c *Config) SourceNames() string {
	var names []string
	for _, p := range c.ListSources {
		names = append(names, p.String())
	}
	return strings.Join(names, ", ")
}

// binaryListen is the address of binary clients' own listener, "" for none.
func (c *Config) binaryListen() string {
	if c.Binary == nil {
		return ""
	}
	return c.Binary.Listen
}

// binaryRules are those of binary clients, nil for none.
func (c *Config) binaryRules() *binary.Rules {
	if c.Binary == nil {
		return nil
	}
	return &c.Binary.Rules
}

const (
	// Descriptors for all but clients and nodes: discovery, listener, poller, log.
	ownDescriptors = 32
	// A node takes thirty and some connections from all proxies together, which
	// it tells nobody; each proxy keeps to its part of so many.
	nodeTable = 30
	// Milliseconds for a connection to come up, and for one to stand idle, where the settings tell none.
	assumedConnect = 1000.0
	assumedIdle    = 10000.0
	// Memory set aside for each request that may be held.
	requestBytes = 16 << 10
)

// ReadPlatformConfig reads the file named by the variable GW_CONFIG; GW_LISTEN and
// GW_DISCOVERY, if getenv knows them, go before what it says.
func ReadPlatformConfig(getenv func(string) string) (*Config, error) {
	path := getenv("GW_CONFIG")
	if path == "" {
		return nil, errors.New("GW_CONFIG is not set")
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("GW_CONFIG: %w", err)
	}
	var in struct {
		Name, Listen, Discovery, Seed string
		Limits                        struct {
			Cores    float64
			MemoryMB int `json:"memory_mb"`
			Sockets  int
		}
		Known    json.RawMessage
		Settings json.RawMessage
	}
	if err := json.Unmarshal(text, &in); err != nil {
		return nil, fmt.Errorf("GW_CONFIG: %w", err)
	}
	c := &Config{Name: in.Name, Listen: in.Listen, Cores: in.Limits.Cores, MemoryBytes: in.Limits.MemoryMB << 20,
		MaxDescriptors: in.Limits.Sockets}
	c.ListSources = []discovery.SourceConfig{{Address: in.Discovery}}
	if v := getenv("GW_LISTEN"); v != "" {
		c.Listen = v
	}
	if v := getenv("GW_DISCOVERY"); v != "" {
		c.ListSources[0].Address = v
	}
	if _, _, err := net.SplitHostPort(c.Listen); err != nil {
		return nil, fmt.Errorf("GW_CONFIG: listen: %w", err)
	}
	if _, _, err := net.SplitHostPort(c.ListSources[0].Address); err != nil {
		return nil, fmt.Errorf("GW_CONFIG: discovery: %w", err)
	}
	if c.Seed, err = strconv.ParseUint(in.Seed, 16, 64); err != nil {
		sum := fnv.New64a() // any other text will do as well
		sum.Write([]byte(in.Seed))
		c.Seed = sum.Sum64()
	}
	if len(in.Known) > 0 && string(in.Known) != "null" {
		if c.InitialList, err = discovery.Parse(in.Known); err != nil {
			return nil, fmt.Errorf("GW_CONFIG: known: %w", err)
		}
	}
	if c.Policy, err = simwire.ParseSettings(string(in.Settings)); err != nil {
		return nil, fmt.Errorf("GW_CONFIG: %w", err)
	}
	c.Overload.Limits = overload.DefaultTimings
	bounds, err := platformBounds(in.Settings, c.Policy.ProxyCount)
	if err == nil {
		c.Policy.ConnectionsPerServer = bounds.ConnectionShare.PerProxy()
		err = c.AllocateResources(bounds)
	}
	if err != nil {
		return nil, fmt.Errorf("GW_CONFIG: %w", err)
	}
	return c, nil
}

// ChangesNeedingRestart names what differs in next and can't be changed in service.
func (c *Config) ChangesNeedingRestart(next *Config) (changed []string) {
	for name, differs := range map[string]bool{
		"name":     c.Name != next.Name,
		"listen":   c.Listen != next.Listen,
		"limits":   c.Cores != next.Cores || c.MemoryBytes != next.MemoryBytes || c.MaxDescriptors != next.MaxDescriptors,
		"settings": c.MaxInFlight != next.MaxInFlight || !reflect.DeepEqual(c.Policy, next.Policy),
	} {
		if differs {
			changed = append(changed, name)
		}
	}
	slices.Sort(changed)
	return changed
}

// ResourceLimits are what connections and held requests may take.
type ResourceLimits struct {
	ConnectTimeout       time.Duration      // for a connection to a node to come up
	NodeIdleTimeout      time.Duration      // after which nodes close one that stands idle
	StreamsPerConnection int                // requests on one connection to a node
	ConnectionsPerNode   int                // connections to one node
	MaxInFlight          int                // requests
	ConnectionShare      connlimit.Capacity // of the connections that nodes take
}

func platformBounds(settings json.RawMessage, proxies int) (ResourceLimits, error) {
	var in struct {
		Limits struct {
			ConnectTimeout, ConnIdle float64 // milliseconds
			StreamsPerConn, MostHeld int
		}
	}
	if err := json.Unmarshal(settings, &in); err != nil {
		return ResourceLimits{}, fmt.Errorf("settings: %w", err)
	}
	l := in.Limits
	if l.ConnectTimeout < 0 || l.ConnIdle < 0 || l.StreamsPerConn < 0 || l.MostHeld < 0 {
		return ResourceLimits{}, errors.New("settings: Limits has a negative ConnectTimeout, ConnIdle, StreamsPerConn or MostHeld")
	}
	// What is not told, or zero, is assumed with care.
	l.ConnectTimeout, l.ConnIdle = cmp.Or(l.ConnectTimeout, assumedConnect), cmp.Or(l.ConnIdle, assumedIdle)
	l.StreamsPerConn, l.MostHeld = cmp.Or(l.StreamsPerConn, 1), cmp.Or(l.MostHeld, math.MaxInt)
	millis := func(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }
	return ResourceLimits{ConnectTimeout: millis(l.ConnectTimeout), NodeIdleTimeout: millis(l.ConnIdle), StreamsPerConnection: l.StreamsPerConn,
		ConnectionsPerNode: max(nodeTable/max(proxies, 1), 1), MaxInFlight: l.MostHeld,
		ConnectionShare: connlimit.Capacity{ConnectionsPerNode: nodeTable, Proxies: proxies}}, nil
}

// Least figures of the limits.
const (
	MinDescriptors = 2 * ownDescriptors
	MinMemoryBytes = 32 << 20 // bytes
)

// AllocateResources shares out descriptors and memory. It returns an error where they
// are too few for any share.
func (c *Config) AllocateResources(b ResourceLimits) error {
	switch {
	case c.MaxDescriptors < MinDescriptors:
		return fmt.Errorf("limits: sockets cannot be %d", c.MaxDescriptors)
	case c.MemoryBytes < MinMemoryBytes:
		return fmt.Errorf("limits: memory_mb cannot be %d", c.MemoryBytes>>20)
	case c.Cores <= 0:
		return fmt.Errorf("limits: cores cannot be %v", c.Cores)
	}
	c.MaxInFlight = min(b.MaxInFlight, c.MemoryBytes/requestBytes)
	toNodes := (c.MaxDescriptors - ownDescriptors) / 2
	c.MaxClients = c.MaxDescriptors - ownDescriptors - toNodes
	c.RequestBudgetBytes, c.ResponseBudgetBytes = c.MemoryBytes/8, c.MemoryBytes/8
	longest := max(time.Second, longestDeadline(&c.Policy))
	c.Upstream = upstream.Limits{MaxPerNode: b.ConnectionsPerNode, MaxConnections: toNodes, MaxPipelined: b.StreamsPerConnection, ConnectTimeout: b.ConnectTimeout,
		IdleTimeout: b.NodeIdleTimeout / 2, SilenceTimeout: longest + longest/2, FleetShare: b.ConnectionShare}
	return nil
}

// longestDeadline is the longest of all classes.
func longestDeadline(set *policy.Settings) (longest time.Duration) {
	for _, class := range set.Classes {
		longest = max(longest, class.Deadline)
	}
	return longest
}
