package loadgen

import (
	"errors"
	"fmt"
	"time"

	"mulleinpier/client"
)

// Kind is the behavior of clients.
type Kind string

// The kinds. Their values are stable: they appear in flags and JSON.
const (
	Library Kind = "library"
	Naive   Kind = "brief"
)

// Phase is a part of the load with its own counts.
type Phase struct {
	Name     string
	Duration time.Duration
}

// Config describes a load. Fields without a default are required, except Tenant, Seed, Options and the functions.
type Config struct {
	Kind           Kind
	Addresses      []string // addresses of the proxies
	Clients        int      // 1 to 10,000
	Rate           float64  // requests per second over all clients; at most 20,000
	Phases         []Phase  // the phases together last at most an hour
	HandoverShare  float64  // share of requests that are handovers, which are keyed writes
	Keys           int      // number of keys that are read
	Skew           float64  // exponent of the keys' popularity (Zipf), above 1
	Tenant         string
	Seed           uint64
	Options        client.Options // options of library clients; Run sets Proxies, Tenant and Trace
	ReadObjective  time.Duration  // reads that take longer count as late; 500 ms by default
	WriteObjective time.Duration  // handovers that take longer count as late; 750 ms by default

	// SeenByNode reports whether a node has received the try with an ID. RecentlyKilled reports whether the process of
	// a proxy has just been killed. Fault tests set both; without SeenByNode, no try counts as lost.
	SeenByNode     func(id string) bool
	RecentlyKilled func(proxy string) bool
}

// Limits of a load.
const (
	maxClients       = 10000
	maxRate          = 20000
	maxKeys          = 1e8
	maxDuration      = time.Hour
	maxInFlight      = 8192 // requests over all clients
	maxRecordedDials = 1 << 20
)

const (
	defaultReadObjective  = 500 * time.Millisecond
	defaultWriteObjective = 750 * time.Millisecond
)

// duration returns the duration of all phases.
func (c *Config) duration() (total time.Duration) {
	for _, p := range c.Phases {
		total += p.Duration
	}
	return total
}

func (c *Config) applyDefaults() {
	if c.ReadObjective == 0 {
		c.ReadObjective = defaultReadObjective
	}
	if c.WriteObjective == 0 {
		c.WriteObjective = defaultWriteObjective
	}
	if c.Options.Read == (client.Class{}) {
		c.Options.Read = client.Read
	}
	if c.Options.Write == (client.Class{}) {
		c.Options.Write = client.Write
	}
}

// check returns the first error in c. Its conditions on floating-point numbers also reject NaN.
func (c *Config) check() error {
	total := c.duration()
	switch {
	case c.Kind != Library && c.Kind != Naive:
		return fmt.Errorf("load: kind cannot be %q: want %s or %s", c.Kind, Library, Naive)
	case len(c.Addresses) == 0:
		return errors.New("load: addresses of proxies are missing: want at least one")
	case c.Clients < 1 || c.Clients > maxClients:
		return fmt.Errorf("load: clients cannot be %d: want 1 to %d", c.Clients, maxClients)
	case !(c.Rate > 0 && c.Rate <= maxRate):
		return fmt.Errorf("load: rate cannot be %v: want above 0 to %d", c.Rate, maxRate)
	case total <= 0 || total > maxDuration:
		return fmt.Errorf("load: duration cannot be %v: want above 0 to %v", total, maxDuration)
	case !(c.HandoverShare >= 0 && c.HandoverShare <= 1):
		return fmt.Errorf("load: handovers cannot be %v: want 0 to 1", c.HandoverShare)
	case c.Keys < 1 || c.Keys > maxKeys || !(c.Skew > 1):
		return fmt.Errorf("load: %d keys with skew %v: want 1 to %.0f keys, skew above 1", c.Keys, c.Skew, maxKeys)
	}
	return nil
}
