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

// maxPendingRefetches limits the list sources that wait for a refetch.
const maxPendingRefetches = 8

// Config configures a [Core].
type Config struct {
	// ListSources are the sources of the endpoint list, in order of precedence. On the platform there is
	// exactly one.
	ListSources []discovery.SourceConfig
	Seed        uint64         // seed of the decision module's random numbers
	InitialList discovery.List // saved by an earlier run; may be empty
	Policy      policy.Settings
	Upstream    upstream.Limits
	MaxInFlight int // maximum number of requests in flight
	// ReconcileLists allows several sources. Package membership infers what they do not report, such as restarts,
	// and collapsed lists are refetched. Without it there is one source, whose list is passed on unchanged.
	ReconcileLists bool
	Membership     membership.Limits
	BinaryNodes    NodeSelector // nodes that speak the binary protocol
	Overload       OverloadConfig
	// TotalSleep returns how long the machine has slept since boot; nil if sleep is not counted.
	TotalSleep func() time.Duration
	LogCounts  bool // log a line of counts each second; excludes Overload, which resets the same counters
}

// NodeSelector selects nodes by their names and by their types.
type NodeSelector struct{ Names, Types []string }

func (s *NodeSelector) matches(node *membership.Node) bool {
	return slices.Contains(s.Names, node.Name) || slices.Contains(s.Types, node.Type)
}

// Core accepts requests and carries out the decisions of the decision module. See the package comment for
// its guarantees. Create it with [New]; it works while [Core.Run] runs.
type Core struct {
	listOnRequest  bool     // the endpoint list is requested only when the decision module asks for it
	reconcileLists bool     // see Config.ReconcileLists
	zones          []string // the decision module refers to zones and machine kinds by their index
	machineKinds   []string
	binaryNodes    NodeSelector
	logCounts      bool
	log            *slog.Logger
	recorder       *eventlog.Recorder
	pool           *upstream.Pool
	startedAt      time.Time
	listReceived   chan struct{} // closed once a list has been received

	// Signals to the goroutines of Run. All but refetchRequested are buffered for one signal.
	timerSet           chan struct{}
	subscribeRequested chan struct{}
	sourcesChanged     chan struct{}
	fetchRequested     chan struct{}
	refetchRequested   chan string // names of sources

	mu       sync.Mutex // guards all following fields
	rules    *rules
	balancer *policy.Balancer
	actions  []policy.Action // reused between events
	// pendingEvents are the events that handle has yet to pass on: executing actions can cause further events.
	// handling is set while they are being handled.
	pendingEvents []policy.Event
	handling      bool

	requests   map[uint64]*InFlightRequest
	requestIDs map[string]struct{} // the ids that clients gave to the requests in flight
	recent     recentRequests
	lastID     uint64 // the latest key in requests
	aborted    bool   // AbortAll was called: new requests are rejected

	endpoints endpointState
	timers    timers
	// timerCleanupAt is the number of timers at which those of ended requests are removed, if it is above
	// minTimerCleanup.
	timerCleanupAt int
	overload       overloadState
	counts         counts
	pause          pauseState
	takeover       TakeoverCoordinator // nil where keyed writes are not replicated
}

// rules are the settings that an arriving request is checked against. They are replaced as a whole, so that no
// request is checked against a mix of two configurations.
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

// tenant returns the index of a tenant. If no tenants are configured, all names have index 0.
func (r *rules) tenant(name string) (index int, known bool) {
	if len(r.tenants) == 0 {
		return 0, true
	}
	index, known = r.tenants[name]
	return index, known
}

// New returns a Core that starts with the nodes of the initial list. It fails if the policy settings are invalid.
func New(config *Config, log *slog.Logger) (*Core, error) {
	balancer, err := policy.New(config.Policy, config.Seed)
	if err != nil {
		return nil, err
	}
	c := &Core{
		listOnRequest:      config.Policy.EndpointsOnRequest,
		reconcileLists:     config.ReconcileLists,
		zones:              config.Policy.Zones,
		machineKinds:       config.Policy.MachineKinds,
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

// Reconfigure applies the policy, upstream and overload settings and MaxInFlight of another configuration. Requests
// that arrive from now on are checked against it. If it returns an error, it has changed nothing.
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

// Run runs the timers, the connections to nodes, the event log and the watches of endpoint lists until ctx ends.
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
		tasks.Go(func() { c.watchSources(ctx) })
	} else {
		tasks.Go(func() { c.watchList(ctx) })
		tasks.Go(func() { c.runListFetches(ctx) })
	}
	tasks.Wait()
}

// policyTime returns the time that the decision module uses: the Unix time at the core's start, advanced by the
// monotonic clock and by the machine's sleep. As it is Unix time, the start times in an endpoint list need no
// conversion.
func (c *Core) policyTime() time.Duration {
	started := time.Duration(c.startedAt.UnixNano())
	slept := time.Duration(c.pause.sleepOffset.Load())
	return started + c.monotonic() + slept
}

// monotonic returns the time since the core's start by the monotonic clock. Pauses, stalls and arrivals of
// requests are measured by it.
func (c *Core) monotonic() time.Duration { return time.Since(c.startedAt) }

// signal wakes the goroutine that receives from a buffered channel. It does nothing if a signal is pending already.
func signal(to chan<- struct{}) {
	select {
	case to <- struct{}{}:
	default:
	}
}
