// Package policy decides where a proxy in front of a fleet of cache servers
// sends its requests. A [Balancer] is fed [Event] values and answers each with
// [Action] values; it reads no clock and does no I/O, so that the same events
// always give the same actions. This file is the whole interface; the
// decisions are in policy.go.
package policy

import "time"

// Effect says what repeating a request of a class may do.
type Effect uint8

// The effects of a class.
const (
	Safe   Effect = iota // may be repeated freely
	Keyed                // servers of one group drop a repeat within the window
	Unsafe               // must never run twice
)

// Group names the servers that together drop repeats of a keyed request.
type Group uint8

// The groups of a keyed class.
const (
	GroupAll Group = iota
	GroupZone
	GroupCell
)

// Class describes one class of requests.
type Class struct {
	Name     string
	Effect   Effect
	Group    Group         // for Keyed
	Window   time.Duration // for Keyed: how long repeats are dropped
	Aim      time.Duration // an answer within it earns the full worth
	Deadline time.Duration // how long a client waits across all its tries
	Worth    float64
	Late     float64 // share of the worth after Aim, before Deadline
	Streamed bool
}

// Tenant is a customer with a share of the fleet.
type Tenant struct {
	Name  string
	Quota float64 // requests a second over all proxies; 0 for no limit
}

// ReportMode says how servers report their load.
type ReportMode uint8

// The report modes.
const (
	ReportNone ReportMode = iota
	ReportAnswers
	ReportProbe
)

// Limits are what a deployment permits.
type Limits struct {
	MaxAttempts   int
	Duplicates    bool // a request may have two attempts out at once
	Cancel        bool
	Probes        bool
	MaxRetryAfter time.Duration // 0: clients are given no advice
}

// Rules are the figures of the absolute rules.
type Rules struct {
	AnswerSlack  time.Duration // how late a final answer may still be
	AskWithin    time.Duration // a list not asked for this long counts as known
	DrainGrace   time.Duration
	ColdShare    float64       // a starting server's share of its capacity
	ColdRamp     time.Duration // and when it is warm at the latest
	FallMultiple float64
	FallTime     time.Duration
}

// Prices are what a request's service is charged, as shares of its worth.
type Prices struct {
	Origin    float64 // a fetch from the origin
	CrossZone float64 // an attempt in another zone
	Handshake float64 // a connection that must be opened
	Probe     float64
}

// Settings configure a Balancer for one proxy of a deployment.
type Settings struct {
	Proxies   int // proxies in this tier
	Proxy     int // index of this one
	Zones     []string
	Zone      int // this proxy's zone
	Kinds     []string
	Classes   []Class
	Tenants   []Tenant
	OverShare float64 // worth of a request over its tenant's share
	AskList   bool    // the list comes only when asked for
	Weighted  bool    // Member.Weight is a registered size
	Aside     bool    // a miss is sent on to the origin by the balancer
	Origin    int     // kind of the origin with Aside, else -1
	Reports   ReportMode
	Limits    Limits
	Rules     Rules
	Prices    Prices
	Tick      time.Duration // least time between two batches of events
	Links     float64       // connections that each server keeps for this proxy; 0 for as many as it wants
}

// Event is something a Balancer is told: one of the types below.
type Event interface{ event() }

// ListKind says what a ListUpdate holds.
type ListKind uint8

// The kinds of list updates.
const (
	ListChanges ListKind = iota // changed entries only
	ListFull                    // the whole list
	ListStored                  // the whole list as last held, maybe outdated
	ListLost                    // a call failed or the subscription broke
)

// Mode is the state of a server in the list.
type Mode uint8

// The modes of a server.
const (
	Serving Mode = iota
	Draining
	Gone
)

// Member is a server as the list names it.
type Member struct {
	Server  string
	Zone    int
	Kind    int
	Cell    int
	Mode    Mode
	Weight  float64
	Started time.Duration // time of its last start, 0 for long ago
	Keyless bool          // it drops no repeats, and so gets no keyed requests
}

// Service says how far service is reduced; the levels are decided elsewhere, from what the
// proxy as a whole sees, and what each means for a request here.
type Service uint8

// The levels of service. Each keeps what the ones before it do, but that from handovers on
// late fetches are none of the good: they are what makes handovers late.
const (
	ServiceFull      Service = iota
	ServiceEconomy           // no second copies, retries paid for
	ServiceLate              // reads that no record names may come after their aim
	ServiceHandovers         // keyed requests pass all gates, and reads fetch only as far as those stay in time
	ServiceShelter           // of the others only those whose key a record names
)

// Stood tells that the proxy stood still until now. What was out meanwhile tells nothing of
// servers, and what fades with time has not faded.
type Stood struct{ For time.Duration }

// ServiceChange puts a level of service into force.
type ServiceChange struct{ Level Service }

// Condition counts what became of requests and attempts.
type Condition struct {
	Reads, LateReads       int     // requests but keyed ones that were sent and ended, of them not served within their aim
	Keyed, LateKeyed       int     // the same of keyed ones
	Asked, Turned          int     // requests at the gates, of them turned away there; none that a level turned away
	Fetches, FailedFetches int     // reads that no record named and writes that ended, of them by an error or silence
	Timed                  int     // fetches and writes that were served and measured
	FetchTime              float64 // what the origin added to them, in aims of their classes
	Servers, Out           int     // listed now, of them set aside
	Hopeless, Held         int     // turned away as hopeless; waits for a server
}

// ListUpdate brings news of the server list.
type ListUpdate struct {
	Version uint64
	Kind    ListKind
	Members []Member // shared, not to be changed
}

// Arrival is a new request; the Balancer owes it one final answer.
type Arrival struct {
	ID       uint64
	Class    int
	Tenant   int
	Key      string        // "" for none
	Deadline time.Duration // time at which the client gives up this try
	Write    bool
	Repeat   bool // marked by the client as a repetition
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
	Full // rejected unseen
	TimedOut
	ConnectFailed
	Reset
	Cancelled
	NotSent
	Missed // no value is stored there
	Spoilt // what came can't be read; it may have run
	NoRoom // no further connection was taken; never run
)

// Note is what a server told of an answer.
type Note uint8

// The notes.
const (
	NoteNone Note = iota
	NoteHit
	NoteMiss
	NoteMissShared // a miss while the key's fetch is out
)

// Report is a server's load report; a negative figure was not reported.
type Report struct {
	InFlight, Queue, Utilization, Rate, ErrorRate, X0, X1 float64

	Latency time.Duration
}

// Outcome ends an attempt; each Send gets exactly one.
type Outcome struct {
	ID      uint64
	Attempt int
	Server  string
	Result  Result
	Took    time.Duration
	Final   bool // the request has ended
	Note    Note
	Report  *Report // nil for none
}

// Departure tells that a request's client has left.
type Departure struct{ ID uint64 }

// Timer is the return of a SetTimer.
type Timer struct{ Token uint64 }

// ProbeResult ends a probe.
type ProbeResult struct {
	Server string
	Result Result
	Took   time.Duration
	Report *Report
}

// PeerMessage is a message of another proxy; it is ignored.
type PeerMessage struct {
	From int
	Data []byte
}

func (ListUpdate) event()    {}
func (Arrival) event()       {}
func (StreamStarted) event() {}
func (Outcome) event()       {}
func (Departure) event()     {}
func (Timer) event()         {}
func (ProbeResult) event()   {}
func (PeerMessage) event()   {}
func (ServiceChange) event() {}
func (Stood) event()         {}

// ActionKind says what an Action asks for.
type ActionKind uint8

// The kinds of actions, with the fields each uses.
const (
	Send      ActionKind = iota // ID, Server, After as time-out (0: none)
	Cancel                      // ID, Attempt
	Refuse                      // ID, After as advice to the client
	Fail                        // ID
	SetTimer                    // Token, After
	Subscribe                   // to the list's changes
	FetchList                   // once
	Probe                       // Server
	CloseIdle                   // Server: close the idle connections to it
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
