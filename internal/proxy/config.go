package proxy

import (
	"encoding/json"
	"errors"
	"fmt"
	"hash/fnv"
	"net"
	"os"
	"reflect"
	"slices"
	"strconv"
	"time"

	"wrenroute/internal/discovery"
	"wrenroute/internal/upstream"
	"wrenroute/internal/wire"
	"wrenroute/policy"
)

// Config is what a proxy is told, and what follows from it.
type Config struct {
	Name, Listen, Discovery string
	Seed                    uint64
	Cores                   float64
	Memory                  int // bytes

	Known       discovery.List
	Policy      policy.Settings
	Upstream    upstream.Limits
	MostHeld    int
	Clients     int // connections at most
	BodyBytes   int
	AnswerBytes int
}

const (
	// Descriptors for all but clients and nodes: discovery, listener, poller, log.
	ownDescriptors = 32
	// A node takes thirty and some connections from all proxies together, which
	// it tells nobody; each proxy keeps to its part of so many.
	nodeTable = 30
	// Memory set aside for each request that may be held.
	requestBytes = 16 << 10
)

// ReadConfig reads the file named by the variable GW_CONFIG; GW_LISTEN and
// GW_DISCOVERY, if getenv knows them, go before what it says.
func ReadConfig(getenv func(string) string) (*Config, error) {
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
	c := &Config{Name: in.Name, Listen: in.Listen, Discovery: in.Discovery, Cores: in.Limits.Cores,
		Memory: in.Limits.MemoryMB << 20}
	if v := getenv("GW_LISTEN"); v != "" {
		c.Listen = v
	}
	if v := getenv("GW_DISCOVERY"); v != "" {
		c.Discovery = v
	}
	if _, _, err := net.SplitHostPort(c.Listen); err != nil {
		return nil, fmt.Errorf("GW_CONFIG: listen: %w", err)
	}
	if _, _, err := net.SplitHostPort(c.Discovery); err != nil {
		return nil, fmt.Errorf("GW_CONFIG: discovery: %w", err)
	}
	if c.Seed, err = strconv.ParseUint(in.Seed, 16, 64); err != nil {
		sum := fnv.New64a() // any other text will do as well
		sum.Write([]byte(in.Seed))
		c.Seed = sum.Sum64()
	}
	if len(in.Known) > 0 {
		if c.Known, err = discovery.Parse(in.Known); err != nil {
			return nil, fmt.Errorf("GW_CONFIG: known: %w", err)
		}
	}
	if c.Policy, err = wire.ParseSettings(string(in.Settings)); err != nil {
		return nil, fmt.Errorf("GW_CONFIG: %w", err)
	}
	if err := c.limits(in.Settings, in.Limits.Sockets); err != nil {
		return nil, fmt.Errorf("GW_CONFIG: %w", err)
	}
	return c, nil
}

// fixed names what differs in next and can't be changed in service.
func (c *Config) fixed(next *Config) (changed []string) {
	for name, differs := range map[string]bool{
		"name":     c.Name != next.Name,
		"listen":   c.Listen != next.Listen,
		"limits":   c.Cores != next.Cores || c.Memory != next.Memory || c.Clients != next.Clients,
		"settings": c.MostHeld != next.MostHeld || !reflect.DeepEqual(c.Policy, next.Policy),
	} {
		if differs {
			changed = append(changed, name)
		}
	}
	slices.Sort(changed)
	return changed
}

// limits shares out descriptors and memory.
func (c *Config) limits(settings json.RawMessage, sockets int) error {
	var in struct {
		Limits struct {
			ConnectTimeout, ConnIdle float64 // milliseconds
			StreamsPerConn, MostHeld int
		}
	}
	if err := json.Unmarshal(settings, &in); err != nil {
		return fmt.Errorf("settings: %w", err)
	}
	l := in.Limits
	switch {
	case sockets < 2*ownDescriptors:
		return fmt.Errorf("limits: sockets cannot be %d", sockets)
	case c.Memory < 32<<20:
		return fmt.Errorf("limits: memory_mb cannot be %d", c.Memory>>20)
	case c.Cores <= 0:
		return fmt.Errorf("limits: cores cannot be %v", c.Cores)
	case l.ConnectTimeout <= 0 || l.ConnIdle <= 0 || l.StreamsPerConn < 1 || l.MostHeld < 1:
		return errors.New("settings: Limits has no positive ConnectTimeout, ConnIdle, StreamsPerConn and MostHeld")
	}
	c.MostHeld = min(l.MostHeld, c.Memory/requestBytes)
	toNodes := (sockets - ownDescriptors) / 2
	c.Clients = sockets - ownDescriptors - toNodes
	c.BodyBytes, c.AnswerBytes = c.Memory/8, c.Memory/8
	longest := time.Second
	for _, class := range c.Policy.Classes {
		longest = max(longest, class.Deadline)
	}
	idle := time.Duration(l.ConnIdle * float64(time.Millisecond))
	c.Upstream = upstream.Limits{PerNode: max(nodeTable/max(c.Policy.Proxies, 1), 1), All: toNodes,
		Streams: l.StreamsPerConn, Connect: time.Duration(l.ConnectTimeout * float64(time.Millisecond)),
		Idle: idle / 2, Silent: longest + longest/2}
	return nil
}
