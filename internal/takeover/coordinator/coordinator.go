package coordinator

import (
	"context"
	"log/slog"
	"net"
	"net/http"
	"sync"
	"time"

	"mulleinpier/internal/peer"
	"mulleinpier/internal/peer/rpc"
	"mulleinpier/internal/request"
	"mulleinpier/internal/takeover"
)

const (
	// maxQueuedInputs bounds the inbox but for writeFinished, which is always taken.
	maxQueuedInputs = 16384
	// tickInterval is the time between two ticks, at which timeouts are checked.
	tickInterval = 20 * time.Millisecond
	// pauseThreshold is the time between two ticks that counts as a pause of this process, as in package pause.
	pauseThreshold = 300 * time.Millisecond
	writeTimeout   = 2 * time.Second
	// maxConnections bounds the connections to each other proxy.
	maxConnections = 4
)

// Core is what a coordinator needs of the proxy that it belongs to.
type Core interface {
	// ClaimDecided passes on the verdict on a write; with Proceed the write may be sent for the time within. It reports
	// whether the request was still waiting for it.
	ClaimDecided(requestID uint64, verdict takeover.Verdict, within time.Duration, receipt string) bool
	// ResumeWrite sends a write that another proxy had in flight, which may be sent for the time within.
	ResumeWrite(in *request.Request, within time.Duration) (requestID uint64, ok bool)
}

// FleetMembers is who else is in the fleet.
type FleetMembers interface {
	// Members returns the members, whether they may be outdated, and a channel that is closed with the next change.
	Members() (list []peer.MemberState, isolated bool, changed <-chan struct{})
}

// Options configure a coordinator.
type Options struct {
	Fleet          string
	Self           takeover.Owner
	Zone           string
	Replicas       int  // holders beside this proxy
	RequireReplica bool // writes are rejected where none can be had
	Clock          func() time.Duration
	Log            *slog.Logger
}

// Coordinator is this proxy's part in takeovers. It is safe for concurrent use.
type Coordinator struct {
	options Options
	core    Core
	http    *http.Client

	mu     sync.Mutex
	inbox  []input
	wake   chan struct{}
	counts Counts

	// All else belongs to Run's goroutine.
	registry        *takeover.Registry
	claims          map[uint64]*claim    // undecided, by ID
	lastID          uint64               // of a claim, or of another proxy's request
	requesters      map[uint64]requester // of requests that the registry has not answered, by request ID
	permittedClaims map[uint64]*claim    // whose write the core may send, by its request ID
	members         map[string]*member   // by name
	gone            map[takeover.Owner]bool
	// presenceChanged is when a member was lost, or returned, by name.
	presenceChanged map[string]time.Duration
	selfGone        bool // the fleet's members list this process as gone
	isolated        bool
	resumedWrites   uint64 // writes so far
	lastTick        time.Duration
}

// input is an entry of the inbox, handled in the coordinator's goroutine.
type input interface{ handle(c *Coordinator) }

// New returns a coordinator that does nothing until Run.
func New(core Core, o Options) *Coordinator {
	return &Coordinator{
		options:         o,
		core:            core,
		http:            rpc.NewClient(maxConnections),
		wake:            make(chan struct{}, 1),
		registry:        takeover.NewRegistry(takeover.DefaultParameters, o.Self, o.Clock()),
		claims:          make(map[uint64]*claim),
		requesters:      make(map[uint64]requester),
		permittedClaims: make(map[uint64]*claim),
		members:         make(map[string]*member),
		gone:            make(map[takeover.Owner]bool),
		presenceChanged: make(map[string]time.Duration),
	}
}

// RequiresReplica reports whether a write is rejected where no holder can be had.
func (c *Coordinator) RequiresReplica() bool { return c.options.RequireReplica }

// Claim implements core.TakeoverCoordinator.
func (c *Coordinator) Claim(requestID uint64, in *request.Request, window time.Duration, expires time.Time) bool {
	write, err := newWrite(in, window)
	if err != nil {
		return false
	}
	return c.enqueue(writeArrived{requestID, write, in.Retry, expires})
}

// Complete implements core.TakeoverCoordinator. It always finds room: there are no more of these calls than writes that
// were claimed.
func (c *Coordinator) Complete(requestID uint64, outcome takeover.Outcome, receipt string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.appendInput(writeFinished{requestID, outcome, receipt})
}

// enqueue hands something to the coordinator's goroutine, unless there is no room.
func (c *Coordinator) enqueue(in input) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.inbox) >= maxQueuedInputs {
		return false
	}
	c.appendInput(in)
	return true
}

// appendInput adds to the inbox and wakes the coordinator's goroutine. c.mu is held.
func (c *Coordinator) appendInput(in input) {
	c.inbox = append(c.inbox, in)
	select {
	case c.wake <- struct{}{}:
	default:
	}
}

// takeInbox empties the inbox and returns what was in it.
func (c *Coordinator) takeInbox() []input {
	c.mu.Lock()
	defer c.mu.Unlock()
	inputs := c.inbox
	c.inbox = nil
	return inputs
}

// Run runs the coordinator on a listener of its own until ctx ends.
func (c *Coordinator) Run(ctx context.Context, listener net.Listener, fleet FleetMembers) {
	var tasks sync.WaitGroup
	server := rpc.NewServer(c.handler(), writeTimeout)
	tasks.Go(func() { server.Serve(listener) })
	c.loop(ctx, fleet, &tasks)
	server.Close()
	c.endClaims()
	for _, m := range c.members {
		m.stop()
	}
	tasks.Wait()
	c.http.CloseIdleConnections()
}

func (c *Coordinator) loop(ctx context.Context, fleet FleetMembers, tasks *sync.WaitGroup) {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	list, isolated, changed := fleet.Members()
	c.isolated, c.lastTick = isolated, c.options.Clock()
	c.updateMembers(ctx, list, tasks)
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
		case <-changed:
			list, isolated, changed = fleet.Members()
			if c.isolated && !isolated {
				c.handleRegistryEvent(takeover.Rejoined{})
			}
			c.isolated = isolated
			c.updateMembers(ctx, list, tasks)
		case <-c.wake:
			for _, in := range c.takeInbox() {
				in.handle(c)
			}
		case <-ticker.C:
			c.tick()
		}
	}
}

// endClaims answers all who wait, as the coordinator ends.
func (c *Coordinator) endClaims() {
	for _, in := range c.takeInbox() {
		if w, ok := in.(writeArrived); ok {
			c.core.ClaimDecided(w.requestID, takeover.Reject, 0, "")
		}
	}
	for _, cl := range c.claims {
		cl.ClientTimedOut()
		if cl.requestID != 0 {
			verdict, _ := cl.Verdict()
			c.core.ClaimDecided(cl.requestID, verdict, 0, cl.Receipt())
		}
	}
}

// tick checks what is due: in the registry, of holders that do not answer, and of clients whose time is over.
func (c *Coordinator) tick() {
	now := c.options.Clock()
	if now-c.lastTick >= pauseThreshold { // what the others sent meanwhile may be lost
		c.handleRegistryEvent(takeover.Rejoined{})
	}
	c.lastTick = now
	c.handleRegistryEvent(takeover.Tick{})
	for _, cl := range c.claims {
		c.replaceSilentHolders(cl, now)
		if now >= cl.deadline {
			cl.ClientTimedOut()
			c.handleRegistryEvent(takeover.WaiterLeft{ID: cl.write.ID, RequestID: cl.id})
		}
		c.decide(cl)
	}
}

// requester is who a request to the registry came from.
type requester struct {
	owner   takeover.Owner // another proxy
	claimID uint64         // of that proxy's claim, or of one of this proxy's own
	isSelf  bool
}

// handleRegistryEvent passes an event to the registry and carries out its actions, which may bring further events.
func (c *Coordinator) handleRegistryEvent(event takeover.Event) {
	for _, action := range c.registry.Handle(c.options.Clock(), event, nil) {
		switch a := action.(type) {
		case takeover.ClaimResponse:
			c.registryAnswered(a)
		case takeover.TakeOver:
			c.takeOver(a)
		}
	}
}

// registryAnswered passes the registry's response on to the requester.
func (c *Coordinator) registryAnswered(a takeover.ClaimResponse) {
	to, ok := c.requesters[a.RequestID]
	if !ok {
		return
	}
	if a.Decision != takeover.InProgress {
		delete(c.requesters, a.RequestID)
	}
	if to.isSelf {
		if cl := c.claims[to.claimID]; cl != nil {
			c.holderAnswered(cl, c.options.Self.Name, a)
		}
		return
	}
	if m := c.members[to.owner.Name]; m != nil && m.Owner == to.owner {
		m.queue(func(o *outbox) {
			o.responses = append(o.responses, claimResponse{
				ClaimID:          to.claimID,
				Decision:         a.Decision,
				Epoch:            a.Epoch,
				Age:              a.Age,
				Receipt:          a.Receipt,
				MayHaveForgotten: a.MayHaveForgotten,
				PreviousOwner:    a.PreviousOwner,
			})
		})
	}
}
