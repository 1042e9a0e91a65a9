// Package policy decides where a proxy in front of a fleet of cache servers
// sends its requests. A [Balancer] is fed [Event] values and answers each with
// [Action] values; it reads no clock and does no I/O, so that the same events
// always give the same actions. This file is the whole interface; the
// decisions are in policy.go.
package policy

import "time"

// Idempotency says what repeating a request of a class may do.
type Idempotency uint8

// The effects of a class.
const (
	Idempotent        Idempotency = iota // may be repeated freely
	IdempotentWithKey                    // servers of one group drop a repeat within the window
	NotIdempotent                        // must never run twice
)

// DedupScope names the servers that together drop repeats of a keyed request.
type DedupScope uint8

// The groups of a keyed class.
const (
	DedupScopeAll DedupScope = iota
	DedupScopeZone
	DedupScopeCell
)

// Class describes one class of requests.
type Class struct {
	Name             string
	Idempotency      Idempotency
	DedupScope       DedupScope    // for Keyed
	DedupWindow      time.Duration // for Keyed: how long repeats are dropped
	LatencyObjective time.Duration // an answer within it earns the full worth
	Deadline         time.Duration // how long a client waits across all its tries
	PriorityWeight   float64
	LateWeightShare  float64 // share of the worth after Aim, before Deadline
	Streamed         bool
}

// Tenant is a customer with a share of the fleet.
type Tenant struct {
	Name  string
	Quota float64 // requests a second over all proxies; 0 for no limit
}

// LoadReportMode says how servers report their load.
type LoadReportMode uint8

// The report modes.
const (
	LoadReportNone LoadReportMode = iota
	LoadReportInResponse
	LoadReportByHealthCheck
)

// Limits are what a deployment permits.
type Limits struct {
	MaxAttempts       int
	AllowHedging      bool // a request may have two attempts out at once
	AllowCancel       bool
	AllowHealthChecks bool
	MaxRetryAfter     time.Duration // 0: clients are given no advice
}

// Rules are the figures of the absolute rules.
type Rules struct {
	ResponseGrace    time.Duration // how late a final answer may still be
	MaxPollInterval  time.Duration // a list not asked for this long counts as known
	DrainGrace       time.Duration
	SlowStartShare   float64       // a starting server's share of its capacity
	SlowStartWindow  time.Duration // and when it is warm at the latest
	OverloadMultiple float64
	OverloadWindow   time.Duration
}

// Costs are what a request's service is charged, as shares of its worth.
type Costs struct {
	OriginFetch float64 // a fetch from the origin
	CrossZone   float64 // an attempt in another zone
	Handshake   float64 // a connection that must be opened
	HealthCheck float64
}

// Settings configure a Balancer for one proxy of a deployment.
type Settings struct {
	ProxyCount           int // proxies in this tier
	ProxyIndex           int // index of this one
	Zones                []string
	Zone                 int // this proxy's zone
	MachineKinds         []string
	Classes              []Class
	Tenants              []Tenant
	OverQuotaFactor      float64 // worth of a request over its tenant's share
	EndpointsOnRequest   bool    // the list comes only when asked for
	RegisteredWeights    bool    // Member.Weight is a registered size
	CacheAside           bool    // a miss is sent on to the origin by the balancer
	OriginKind           int     // kind of the origin with Aside, else -1
	LoadReports          LoadReportMode
	Limits               Limits
	Rules                Rules
	Costs                Costs
	EventInterval        time.Duration // least time between two batches of events
	ConnectionsPerServer float64       // connections that each server keeps for this proxy; 0 for as many as it wants
}

// Event is something a Balancer is told: one of the types below.
type Event interface{ event() }

// EndpointUpdateKind says what a ListUpdate holds.
type EndpointUpdateKind uint8

// The kinds of list updates.
const (
	EndpointsDelta       EndpointUpdateKind = iota // changed entries only
	EndpointsFull                                  // the whole list
	EndpointsCached                                // the whole list as last held, maybe outdated
	EndpointsUnavailable                           // a call failed or the subscription broke
)

// EndpointState is the state of a server in the list.
type EndpointState uint8

// The modes of a server.
const (
	Serving EndpointState = iota
	Draining
	Removed
)

// Endpoint is a server as the list names it.
type Endpoint struct {
	Server          string
	Zone            int
	MachineKind     int
	Cell            int
	State           EndpointState
	Weight          float64
	StartedAt       time.Duration // time of its last start, 0 for long ago
	NoDeduplication bool          // it drops no repeats, and so gets no keyed requests
}

// DegradationLevel says how far service is reduced; the levels are decided elsewhere, from what the
// proxy as a whole sees, and what each means for a request here.
type DegradationLevel uint8

// The levels of service. Each keeps what the ones before it do, but that from handovers on
// late fetches are none of the good: they are what makes handovers late.
const (
	LevelFull      DegradationLevel = iota
	LevelEconomy                    // no second copies, retries paid for
	LevelLate                       // reads that no record names may come after their aim
	LevelHandovers                  // keyed requests pass all gates, and reads fetch only as far as those stay in time
	LevelShelter                    // of the others only those whose key a record names
)

// ProcessPaused tells that the proxy stood still until now. What was out meanwhile tells nothing of
// servers, and what fades with time has not faded.
type ProcessPaused struct{ Duration time.Duration }

// LevelChange puts a level of service into force.
type LevelChange struct{ Level DegradationLevel }

// Counters counts what became of requests and attempts.
type Counters struct {
	Reads, LateReads                   int     // requests but keyed ones that were sent and ended, of them not served within their aim
	Handovers, LateHandovers           int     // the same of keyed ones
	Offered, Rejected                  int     // requests at the gates, of them turned away there; none that a level turned away
	Fetches, FailedFetches             int     // reads that no record named and writes that ended, of them by an error or silence
	TimedFetches                       int     // fetches and writes that were served and measured
	FetchTimeSum                       float64 // what the origin added to them, in aims of their classes
	Servers, Ejected                   int     // listed now, of them set aside
	DeadlineRejections, WaitsForServer int     // turned away as hopeless; waits for a server
}

// EndpointUpdate brings news of the server list.
type EndpointUpdate struct {
	Version   uint64
	Kind      EndpointUpdateKind
	Endpoints []Endpoint // shared, not to be changed
}

// Arrival is a new request; the Balancer owes it one final answer.
type Arrival struct {
	ID       uint64
	Class    int
	Tenant   int
	Key      string        // "" for none
	Deadline time.Duration // time at which the client gives up this try
	Write    bool
	IsRetry  bool // marked by the client as a repetition
}

// StreamStarted tells that an attempt has begun to stream its answer.
type StreamStarted struct {
	ID      uint64
	Attempt int
	Server  string
	Took    time.Duration
}

// Result is how an attempt or a probe ended.
type Result uint8

// The results.
const (
	Served Result = iota
	Errored
	Rejected // rejected unseen
	TimedOut
	ConnectFailed
	Reset
	Cancelled
	NotSent
	NotFound               // no value is stored there
	Malformed              // what came can't be read; it may have run
	ConnectionLimitReached // no further connection was taken; never run
)

// CacheStatus is what a server told of an answer.
type CacheStatus uint8

// The notes.
const (
	CacheUnknown CacheStatus = iota
	CacheHit
	CacheMiss
	CacheMissCoalesced // a miss while the key's fetch is out
)

// LoadReport is a server's load report; a negative figure was not reported.
type LoadReport struct {
	InFlight, Queue, Utilization, Rate, ErrorRate, X0, X1 float64

	Latency time.Duration
}

// Outcome ends an attempt; each Send gets exactly one.
type Outcome struct {
	ID          uint64
	Attempt     int
	Server      string
	Result      Result
	Took        time.Duration
	Final       bool // the request has ended
	CacheStatus CacheStatus
	LoadReport  *LoadReport // nil for none
}

// ClientLeft tells that a request's client has left.
type ClientLeft struct{ ID uint64 }

// TimerFired is the return of a SetTimer.
type TimerFired struct{ Token uint64 }

// HealthCheckResult ends a probe.
type HealthCheckResult struct {
	Server     string
	Result     Result
	Took       time.Duration
	LoadReport *LoadReport
}

// PeerMessage is a message of another proxy; it is ignored.
type PeerMessage struct {
	From int
	Data []byte
}

func (EndpointUpdate) event()    {}
func (Arrival) event()           {}
func (StreamStarted) event()     {}
func (Outcome) event()           {}
func (ClientLeft) event()        {}
func (TimerFired) event()        {}
func (HealthCheckResult) event() {}
func (PeerMessage) event()       {}
func (LevelChange) event()       {}
func (ProcessPaused) event()     {}

// ActionKind says what an Action asks for.
type ActionKind uint8

// The kinds of actions, with the fields each uses.
const (
	Send           ActionKind = iota // ID, Server, After as time-out (0: none)
	Cancel                           // ID, Attempt
	Reject                           // ID, After as advice to the client
	Fail                             // ID
	SetTimer                         // Token, After
	Subscribe                        // to the list's changes
	FetchEndpoints                   // once
	HealthCheck                      // Server
	CloseIdle                        // Server: close the idle connections to it
)

// Action is something a Balancer wants done, at once and in order.
type Action struct {
	Kind    ActionKind
	ID      uint64
	Attempt int
	Server  string
	Token   uint64
	After   time.Duration
	Reason  Reason // of Send, Refuse and Fail
}
