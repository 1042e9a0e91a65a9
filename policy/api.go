package policy

import "time"

// Event is an input of a Balancer: one of the types below.
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
	Cell            int // the servers of one cell drop each other's repeats with DedupScopeCell
	State           EndpointState
	Weight          float64       // registered size, used with Settings.RegisteredWeights
	StartedAt       time.Duration // time of its last start, 0 for long ago
	NoDeduplication bool          // it does not deduplicate by key, so it gets no request that relies on it
}

// DegradationLevel says how far service is reduced. Package overload decides the level from what the proxy as a
// whole sees; this package decides what it means for a request.
type DegradationLevel uint8

// The levels of degradation. Each keeps the measures of the ones before it, except that from LevelHandovers on a late
// fetch no longer counts as served in time: late fetches are what delays handovers.
const (
	LevelFull      DegradationLevel = iota
	LevelEconomy                    // no hedged requests; each retry is paid from the retry budget
	LevelLate                       // a read that is likely a cache miss may exceed its latency objective
	LevelHandovers                  // keyed requests pass all gates; reads fetch only as far as those stay in time
	LevelShelter                    // of the other requests only those whose key a cache is expected to hold
)

// ProcessPaused reports that the process was paused until now. What was in flight meanwhile says nothing about
// servers, and estimates that decay with time have not decayed.
type ProcessPaused struct{ Duration time.Duration }

// LevelChange puts a level of degradation into force.
type LevelChange struct{ Level DegradationLevel }

// EndpointUpdate brings a change of the endpoint list.
type EndpointUpdate struct {
	Version   uint64
	Kind      EndpointUpdateKind
	Endpoints []Endpoint // shared; must not be modified
}

// Arrival is a new request; the Balancer owes it one final answer.
type Arrival struct {
	ID       uint64
	Class    int           // index into Settings.Classes
	Tenant   int           // index into Settings.Tenants; any other value for none
	Key      string        // "" for none
	Deadline time.Duration // time at which the client gives up on this attempt
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

// The results.
const (
	Served Result = iota
	Errored
	Rejected // by the server, before it did any work
	TimedOut
	ConnectFailed
	Reset
	Cancelled
	NotSent
	NotFound               // no value is stored there
	Malformed              // the answer cannot be parsed; the request may have run
	ConnectionLimitReached // no further connection was accepted; the request did not run
)

// CacheStatus is what a server reported about how it found its answer.
type CacheStatus uint8

// The cache statuses.
const (
	CacheUnknown CacheStatus = iota
	CacheHit
	CacheMiss
	CacheMissCoalesced // a miss that waited for a fetch of the same key already in flight
)

// LoadReport is a server's load report; a negative value was not reported. No decision uses it.
type LoadReport struct {
	InFlight    float64 // requests
	Queue       float64 // requests that wait
	Utilization float64
	Rate        float64 // requests a second
	ErrorRate   float64 // errors a second
	X0, X1      float64 // without a meaning that the protocol defines
	Latency     time.Duration
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

// ClientLeft reports that a request's client has disconnected or given up.
type ClientLeft struct{ ID uint64 }

// TimerFired is the return of a SetTimer.
type TimerFired struct{ Token uint64 }

// HealthCheckResult ends a health check.
type HealthCheckResult struct {
	Server     string
	Result     Result
	Took       time.Duration
	LoadReport *LoadReport
}

// PeerMessage is a message of another proxy. It is ignored: the simulator's wire has such messages.
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
	Send           ActionKind = iota // ID, Server, After as timeout (0: none)
	Cancel                           // ID, Attempt
	Reject                           // ID, After as Retry-After for the client
	Fail                             // ID
	SetTimer                         // Token, After
	Subscribe                        // to changes of the endpoint list
	FetchEndpoints                   // once
	HealthCheck                      // Server
	CloseIdle                        // Server: close the idle connections to it
)

// Action is something that a Balancer wants done, at once and in order.
type Action struct {
	Kind    ActionKind
	ID      uint64
	Attempt int
	Server  string
	Token   uint64
	After   time.Duration
	Reason  Reason // of Send, Reject and Fail
}
