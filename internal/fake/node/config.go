package node

import (
	"cmp"
	"time"

	"mulleinpier/internal/fake/origin"
)

// Config describes a node. A zero field has the default that is given with it.
type Config struct {
	Name             string
	Slots            int           // requests in work at a time; 8
	Queue            int           // requests that may wait; 64
	ServiceTime      time.Duration // of one request, plus or minus a quarter; 0
	Capacity         int           // keys in the cache; 4096
	MaxConns         int           // 64; more connections are reset
	IdleTimeout      time.Duration // of connections; 15 s
	ValueSize        int           // bytes; 64
	ReportLoad       bool          // answers report the load
	Binary           bool          // it speaks the binary protocol, and nothing else
	MissingKeyPrefix string        // the origin has no key that starts with it; "" for none such
	// LedgerByValue has the origin's ledger distinguish writes by their values, for tests whose clients write each
	// value once: so a repeat shows under whatever idempotency key it came.
	LedgerByValue bool

	Cold               bool          // it starts now, with an empty cache
	ColdCapacityShare  float64       // share of its capacity at a cold start; 0.3
	WarmUpTime         time.Duration // until it has its full capacity; 8.6 s
	CollapseLoadFactor float64       // a cold node collapses at this multiple of its capacity over CollapseTime; 3
	CollapseTime       time.Duration // 2 s

	Seed   uint64
	Origin *origin.Origin // needed
	Group  *Group         // needed
	// OnRequest, if set, is called for each request with its id ("" if its dialect has none), its value, and when its
	// first byte came.
	OnRequest func(node, id, value string, at time.Time)
}

// The defaults of a node; the times of the cold start are those of the platform's nodes.
const (
	defaultSlots              = 8
	defaultQueue              = 64
	defaultCapacity           = 4096
	defaultMaxConns           = 64
	defaultValueSize          = 64
	defaultIdleTimeout        = 15 * time.Second
	defaultColdCapacityShare  = 0.3
	defaultWarmUpTime         = 8600 * time.Millisecond
	defaultCollapseLoadFactor = 3
	defaultCollapseTime       = 2 * time.Second
)

func (c *Config) applyDefaults() {
	c.Slots = cmp.Or(c.Slots, defaultSlots)
	c.Queue = cmp.Or(c.Queue, defaultQueue)
	c.Capacity = cmp.Or(c.Capacity, defaultCapacity)
	c.MaxConns = cmp.Or(c.MaxConns, defaultMaxConns)
	c.ValueSize = cmp.Or(c.ValueSize, defaultValueSize)
	c.IdleTimeout = cmp.Or(c.IdleTimeout, defaultIdleTimeout)
	c.ColdCapacityShare = cmp.Or(c.ColdCapacityShare, defaultColdCapacityShare)
	c.WarmUpTime = cmp.Or(c.WarmUpTime, defaultWarmUpTime)
	c.CollapseLoadFactor = cmp.Or(c.CollapseLoadFactor, defaultCollapseLoadFactor)
	c.CollapseTime = cmp.Or(c.CollapseTime, defaultCollapseTime)
}

// Stats count the requests and connections of a node. Repeats are writes that were dropped as repeats; Collapsed is
// whether the node was overloaded while cold.
type Stats struct {
	Requests, Hits, Misses, Writes, Repeats, Busy int
	Conns, MaxConns                               int
	Collapsed                                     bool
}
