package policy

import "time"

// Event is an input of a [Balancer]: one of the event types below.
type Event interface{ event() }

// EndpointUpdateKind says what an EndpointUpdate holds.
type EndpointUpdateKind uint8

// The kinds of endpoint updates.
const (
	EndpointsDelta       EndpointUpdateKind = iota // changed entries only
	EndpointsFull                                  // the complete list
	EndpointsCached                                // the complete list as last known, possibly outdated
	EndpointsUnavailable                           // a call failed or the subscription broke
)

// EndpointState is the state of a server in the endpoint list.
type EndpointState uint8

// The states of a server.
const (
	Serving EndpointState = iota
	Draining
	Removed
)

// Endpoint is a server as the endpoint list describes it.
type Endpoint struct {
	Server          string
	Zone            int // index into Settings.Zones
	MachineKind     int // index into Settings.MachineKinds
	Cell            int // with DedupScopeCell the servers of one cell deduplicate together
	State           EndpointState
	Weight          float64       // registered size, used with Settings.RegisteredWeights
	StartedAt       time.Duration // time of its last start; 0 if that was long ago
	NoDeduplication bool          // the server has no deduplication by idempotency key, so it gets no keyed request
}

// DegradationLevel says how far service is reduced. Package overload decides the level from the signals of the whole
// proxy; this package decides what the level means for a request.
type DegradationLevel uint8

// The levels of degradation. Each keeps the measures of the levels before it, with one exception: from LevelHandovers
// on a late fetch no longer counts as served in time, because late fetches are what delays handovers.
const (
	LevelFull      DegradationLevel = iota
	LevelEconomy                    // no hedging; retries need the budget, except after failures unrelated to load
	LevelLate                       // likely cache misses may exceed their latency objective
	LevelHandovers                  // keyed requests pass all gates; reads fetch only while keyed requests are in time
	LevelShelter                    // at most a quarter of other likely cache misses are admitted
)

// ProcessPaused reports that this process was paused for Duration and has just resumed. Latencies of attempts that were
// in flight say nothing about servers, and the counts of the admission gates do not decay during the pause.
type ProcessPaused struct{ Duration time.Duration }

// LevelChange sets the degradation level.
type LevelChange struct{ Level DegradationLevel }

// EndpointUpdate reports a change of the endpoint list, or that the list is unavailable.
type EndpointUpdate struct {
	Version   uint64
	Kind      EndpointUpdateKind
	Endpoints []Endpoint // shared; must not be modified
}

// Arrival is a new request. The Balancer ends each Arrival exactly once (guarantee 2 of the package).
type Arrival struct {
	ID       uint64
	Class    int           // index into Settings.Classes
	Tenant   int           // index into Settings.Tenants; any other value means no tenant
	Key      string        // "" for none
	Deadline time.Duration // time at which the client stops waiting; its retry is a new Arrival
	Write    bool
	IsRetry  bool // marked by the client as a retry
}

// StreamStarted reports that an attempt has begun to stream its answer.
type StreamStarted struct {
	ID      uint64
	Attempt int
	Server  string
	Took    time.Duration
}

// Result is how an attempt or a health check ended.
type Result uint8

// The results of attempts and health checks.
const (
	Served Result = iota
	Errored
	Rejected // rejected by the server before it did any work
	TimedOut
	ConnectFailed
	Reset
	Cancelled
	NotSent
	NotFound               // the server stores no value for the key
	Malformed              // the answer cannot be parsed; the request may have run
	ConnectionLimitReached // the server accepted no further connection; the request did not run
)

// CacheStatus says whether a server answered from its cache, as it reported it.
type CacheStatus uint8

// The cache statuses.
const (
	CacheUnknown CacheStatus = iota
	CacheHit
	CacheMiss
	CacheMissCoalesced // a miss that waited for a fetch of the same key already in flight
)

// LoadReport is a server's report of its load; a negative value was not reported. No decision uses it.
type LoadReport struct {
	InFlight    float64 // requests
	Queue       float64 // requests waiting
	Utilization float64
	Rate        float64 // requests a second
	ErrorRate   float64 // errors a second
	X0, X1      float64 // the protocol defines no meaning for them
	Latency     time.Duration
}

// Outcome reports the end of an attempt. The caller reports exactly one for each Send.
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

// ClientLeft reports that a request's client has disconnected or given up.
type ClientLeft struct{ ID uint64 }

// TimerFired reports that the timer set by the SetTimer with this Token has expired.
type TimerFired struct{ Token uint64 }

// HealthCheckResult reports the end of a health check. No decision uses it.
type HealthCheckResult struct {
	Server     string
	Result     Result
	Took       time.Duration
	LoadReport *LoadReport
}

// PeerMessage is a message from another proxy. It is ignored, and exists because the simulator's protocol has such
// messages.
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

// ActionKind says what an Action requests.
type ActionKind uint8

// The kinds of actions, with the fields that each uses.
const (
	Send           ActionKind = iota // ID, Server, After as timeout (0: none), Repeat
	Cancel                           // ID, Attempt
	Reject                           // ID, After as Retry-After for the client
	Fail                             // ID
	SetTimer                         // Token, After
	Subscribe                        // subscribe to changes of the endpoint list
	FetchEndpoints                   // fetch the endpoint list once
	HealthCheck                      // Server
	CloseIdle                        // Server: close the idle connections to it
)

// Action is an instruction of a Balancer to its caller, who carries actions out immediately and in order.
type Action struct {
	Kind    ActionKind
	ID      uint64
	Attempt int
	Server  string
	Token   uint64
	After   time.Duration
	Reason  Reason // of Send, Reject and Fail
	// Repeat marks a Send after an attempt that may have been executed, of a class that is IdempotentWithKey. It must
	// reach its server before servers forget the request's key, or never.
	Repeat bool
}
