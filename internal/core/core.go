package core

import (
	"context"
	"log/slog"
	"slices"
	"sync"
	"time"

	"mulleinpier/internal/discovery"
	"mulleinpier/internal/eventlog"
	"mulleinpier/internal/membership"
	"mulleinpier/internal/meta"
	"mulleinpier/internal/upstream"
	"mulleinpier/policy"
)

// maxPendingRefetches bounds the list sources that wait to be fetched again.
const maxPendingRefetches = 8

// Config configures a core.
type Config struct {
	// ListSources are the sources of the endpoint list, in order of precedence. On the platform there is
	// exactly one.
	ListSources []discovery.SourceConfig
	Seed        uint64         // of the decision module's random draws
	InitialList discovery.List // known from an earlier run; may be empty
	Policy      policy.Settings
	Upstream    upstream.Limits
	MaxInFlight int // requests at a time
	// ReconcileLists has package membership infer what sources do not report, and question lists that
	// collapse. Without it the list of the only source is passed on as it is.
	ReconcileLists bool
	Membership     membership.Limits
	BinaryNodes    NodeSelector // nodes that speak the binary protocol
	Overload       OverloadConfig
	// TotalSleep returns how long the machine has slept since boot; nil where sleep is not counted.
	TotalSleep func() time.Duration
	LogCounts  bool // log a line of counts each second; excludes Overload, which reads the same counters
}

// NodeSelector selects nodes by their names and by their types.
type NodeSelector struct{ Names, Types []string }

// matches reports whether a node is selected.
func (s *NodeSelector) matches(node *membership.Node) bool {
	return slices.Contains(s.Names, node.Name) || slices.Contains(s.Types, node.Type)
}

// Core accepts requests and carries out the decisions of the decision module. See the package comment for
// its guarantees. It is created by [New] and works while [Core.Run] runs.
type Core struct {
	listOnRequest  bool     // the endpoint list comes only when the decision module requests it
	reconcileLists bool     // see Config.ReconcileLists
	zones          []string // the decision module refers to zones and kinds by their index
	kinds          []string
	binaryNodes    NodeSelector
	logCounts      bool
	log            *slog.Logger
	recorder       *eventlog.Recorder
	pool           *upstream.Pool
	startedAt      time.Time
	listReceived   chan struct{} // closed once a list has been received

	// Signals to the goroutines of Run, each with room for one.
	timerSet           chan struct{}
	subscribeRequested chan struct{}
	sourcesChanged     chan struct{}
	fetchRequested     chan struct{}
	refetchRequested   chan string // names of sources

	mu       sync.Mutex // guards what follows
	rules    *rules
	balancer *policy.Balancer
	actions  []policy.Action // reused between events
	// pendingEvents are events that carrying out actions has caused; handling is set while they are handled.
	pendingEvents []policy.Event
	handling      bool

	requests   map[uint64]*InFlightRequest
	requestIDs map[string]struct{} // the ids that clients gave to requests
	lastID     uint64              // of requests
	aborted    bool                // AbortAll was called: nothing is accepted any more

	endpoints endpointState
	timers    timers
	overload  overloadState
	counts    counts
	pause     pauseState
	takeover  TakeoverCoordinator // nil where keyed writes are not replicated
}

// rules are what a request is checked against when it arrives. They are replaced as a whole, so that no
// request meets half of two configurations.
type rules struct {
	policy      policy.Settings
	classes     map[string]int // indices by name
	tenants     map[string]int // indices by name
	maxInFlight int
}

func newRules(config *Config) *rules {
	r := &rules{
		policy:      config.Policy,
		classes:     make(map[string]int),
		tenants:     make(map[string]int),
		maxInFlight: config.MaxInFlight,
	}
	for i, class := range r.policy.Classes {
		r.classes[class.Name] = i
	}
	for i, tenant := range r.policy.Tenants {
		r.tenants[tenant.Name] = i
	}
	return r
}

// tenant returns the index of a tenant. Without configured tenants every name stands for the only one.
func (r *rules) tenant(name string) (index int, known bool) {
	if len(r.tenants) == 0 {
		return 0, true
	}
	index, known = r.tenants[name]
	return index, known
}

// New returns a core that knows the nodes of the initial list.
func New(config *Config, log *slog.Logger) (*Core, error) {
	balancer, err := policy.New(config.Policy, config.Seed)
	if err != nil {
		return nil, err
	}
	c := &Core{
		listOnRequest:      config.Policy.EndpointsOnRequest,
		reconcileLists:     config.ReconcileLists,
		zones:              config.Policy.Zones,
		kinds:              config.Policy.MachineKinds,
		binaryNodes:        config.BinaryNodes,
		logCounts:          config.LogCounts,
		log:                log,
		recorder:           eventlog.New(log),
		startedAt:          time.Now(),
		listReceived:       make(chan struct{}),
		timerSet:           make(chan struct{}, 1),
		subscribeRequested: make(chan struct{}, 1),
		sourcesChanged:     make(chan struct{}, 1),
		fetchRequested:     make(chan struct{}, 1),
		refetchRequested:   make(chan string, maxPendingRefetches),
		rules:              newRules(config),
		balancer:           balancer,
		requests:           make(map[uint64]*InFlightRequest),
		requestIDs:         make(map[string]struct{}),
		endpoints:          newEndpointState(config),
		overload:           newOverloadState(config),
	}
	c.pause.init(config.TotalSleep)
	c.pool = upstream.New(config.Upstream, meta.NodeDialect{}, c, log)
	c.pool.SetRecorder(c.recorder)
	if len(config.InitialList.Endpoints) > 0 || !config.ReconcileLists {
		c.applyList(c.newListCall(), config.InitialList, policy.EndpointsCached)
	}
	c.logTransitions(c.configureOverload(&config.Overload, c.policyTime()))
	return c, nil
}

// Reconfigure puts the rules of another configuration into force for what arrives from now on. Either all
// of them are in force, or none and the error says why.
func (c *Core) Reconfigure(next *Config) error {
	c.mu.Lock()
	if err := c.balancer.Reconfigure(next.Policy); err != nil {
		c.mu.Unlock()
		return err
	}
	c.rules = newRules(next)
	c.pool.SetLimits(next.Upstream)
	c.overload.listsPeriodic = listsArePeriodic(next)
	transitions := c.configureOverload(&next.Overload, c.policyTime())
	c.mu.Unlock()
	c.logTransitions(transitions)
	return nil
}

// Run runs the timers, the connections to nodes and the watch of the endpoint list until ctx ends.
func (c *Core) Run(ctx context.Context) {
	var tasks sync.WaitGroup
	tasks.Go(func() { c.recorder.Run(ctx) })
	tasks.Go(func() { c.pool.Run(ctx) })
	tasks.Go(func() { c.runTimers(ctx) })
	tasks.Go(func() { c.runListRefresh(ctx) })
	if c.logCounts {
		tasks.Go(func() { c.runCountLog(ctx) })
	}
	if c.reconcileLists {
		tasks.Go(func() { c.followSources(ctx) })
	} else {
		tasks.Go(func() { c.watchList(ctx) })
		tasks.Go(func() { c.runListFetches(ctx) })
	}
	tasks.Wait()
}

// policyTime returns the time that the decision module counts by: Unix time, so that the start times of an
// endpoint list need no mapping, advanced by the monotonic clock and by the machine's sleep.
func (c *Core) policyTime() time.Duration {
	started := time.Duration(c.startedAt.UnixNano())
	slept := time.Duration(c.pause.sleepOffset.Load())
	return started + c.monotonic() + slept
}

// monotonic returns the time since the core's start by the monotonic clock. Pauses, stalls and arrivals of
// requests are counted by it.
func (c *Core) monotonic() time.Duration { return time.Since(c.startedAt) }

// signal wakes the goroutine that receives from a channel, unless a signal to it is waiting already.
func signal(to chan<- struct{}) {
	select {
	case to <- struct{}{}:
	default:
	}
}
