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
	"strconv"
	"time"

	"mulleinpier/internal/connlimit"
	"mulleinpier/internal/discovery"
	"mulleinpier/internal/overload"
	"mulleinpier/internal/simwire"
)

const (
	// platformNodeConnections is the number of connections that a node of the platform accepts from all proxies
	// together. Nodes accept some more, but do not report how many.
	platformNodeConnections = 30
	// Defaults in milliseconds for time-outs that are missing or zero in the settings.
	defaultConnectTimeoutMillis = 1000.0
	defaultIdleTimeoutMillis    = 10000.0
	maxMillis                   = 1e12 // larger times do not fit into a time.Duration
)

// platformFile is the platform's configuration file, in JSON.
type platformFile struct {
	Name      string          `json:"name"`
	Listen    string          `json:"listen"`
	Discovery string          `json:"discovery"`
	Seed      string          `json:"seed"`
	Limits    platformLimits  `json:"limits"`
	Known     json.RawMessage `json:"known"`
	Settings  json.RawMessage `json:"settings"`
}

type platformLimits struct {
	Cores    float64 `json:"cores"`
	MemoryMB int     `json:"memory_mb"`
	Sockets  int     `json:"sockets"`
}

// platformSettings are the settings for connections and requests in flight; package simwire reads the others.
type platformSettings struct {
	Limits struct {
		ConnectTimeoutMillis float64 `json:"ConnectTimeout"`
		IdleTimeoutMillis    float64 `json:"ConnIdle"`
		StreamsPerConnection int     `json:"StreamsPerConn"`
		MaxInFlight          int     `json:"MostHeld"`
	} `json:"Limits"`
}

// ReadPlatformConfig reads the configuration file that the environment variable GW_CONFIG names. GW_LISTEN and
// GW_DISCOVERY override the file's listen and discovery if they are not empty.
func ReadPlatformConfig(getenv func(string) string) (*Config, error) {
	path := getenv("GW_CONFIG")
	if path == "" {
		return nil, errors.New("GW_CONFIG is not set")
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("GW_CONFIG: %w", err)
	}
	var file platformFile
	if err := json.Unmarshal(text, &file); err != nil {
		return nil, fmt.Errorf("GW_CONFIG: %w", err)
	}
	file.Listen = cmp.Or(getenv("GW_LISTEN"), file.Listen)
	file.Discovery = cmp.Or(getenv("GW_DISCOVERY"), file.Discovery)
	c, err := file.config()
	if err != nil {
		return nil, fmt.Errorf("GW_CONFIG: %w", err)
	}
	return c, nil
}

// config returns the proxy configuration that the file describes, with resources allocated.
func (f *platformFile) config() (*Config, error) {
	c := &Config{
		Name:           f.Name,
		Listen:         f.Listen,
		Cores:          f.Limits.Cores,
		MemoryBytes:    f.Limits.MemoryMB * bytesPerMB,
		MaxDescriptors: f.Limits.Sockets,
	}
	c.ListSources = []discovery.SourceConfig{{Address: f.Discovery}}
	if _, _, err := net.SplitHostPort(c.Listen); err != nil {
		return nil, fmt.Errorf("listen: %w", err)
	}
	if _, _, err := net.SplitHostPort(f.Discovery); err != nil {
		return nil, fmt.Errorf("discovery: %w", err)
	}
	c.Seed = parseSeed(f.Seed)
	var err error
	if len(f.Known) > 0 && string(f.Known) != "null" {
		if c.InitialList, err = discovery.Parse(f.Known); err != nil {
			return nil, fmt.Errorf("known: %w", err)
		}
	}
	if c.Policy, err = simwire.ParseSettings(string(f.Settings)); err != nil {
		return nil, err
	}
	c.Overload.Timings = overload.DefaultTimings
	limits, err := platformResourceLimits(f.Settings, c.Policy.ProxyCount)
	if err != nil {
		return nil, err
	}
	c.Policy.ConnectionsPerServer = limits.ConnectionShare.PerProxy()
	return c, c.AllocateResources(limits)
}

// parseSeed parses a hexadecimal seed. Any other text is hashed to a seed.
func parseSeed(text string) uint64 {
	if seed, err := strconv.ParseUint(text, 16, 64); err == nil {
		return seed
	}
	hash := fnv.New64a()
	hash.Write([]byte(text))
	return hash.Sum64()
}

// platformResourceLimits reads the limits for connections and requests from settings. Limits that are missing or zero
// get conservative defaults, except MaxInFlight, which is then bounded by the memory only.
func platformResourceLimits(settings json.RawMessage, proxies int) (ResourceLimits, error) {
	var in platformSettings
	if err := json.Unmarshal(settings, &in); err != nil {
		return ResourceLimits{}, fmt.Errorf("settings: %w", err)
	}
	l := in.Limits
	if l.ConnectTimeoutMillis < 0 || l.IdleTimeoutMillis < 0 || l.StreamsPerConnection < 0 || l.MaxInFlight < 0 {
		return ResourceLimits{}, errors.New(
			"settings: Limits has a negative ConnectTimeout, ConnIdle, StreamsPerConn or MostHeld")
	}
	if l.ConnectTimeoutMillis > maxMillis || l.IdleTimeoutMillis > maxMillis {
		return ResourceLimits{}, fmt.Errorf(
			"settings: Limits has a ConnectTimeout of %g ms and a ConnIdle of %g ms, the range is up to %g ms",
			l.ConnectTimeoutMillis, l.IdleTimeoutMillis, float64(maxMillis))
	}
	millis := func(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }
	return ResourceLimits{
		ConnectTimeout:       millis(cmp.Or(l.ConnectTimeoutMillis, defaultConnectTimeoutMillis)),
		NodeIdleTimeout:      millis(cmp.Or(l.IdleTimeoutMillis, defaultIdleTimeoutMillis)),
		StreamsPerConnection: cmp.Or(l.StreamsPerConnection, 1),
		ConnectionsPerNode:   max(platformNodeConnections/max(proxies, 1), 1),
		MaxInFlight:          cmp.Or(l.MaxInFlight, math.MaxInt),
		ConnectionShare:      connlimit.Capacity{ConnectionsPerNode: platformNodeConnections, Proxies: proxies},
	}, nil
}
