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
	// maxQueuedInputs bounds the inbox. writeFinished is accepted even when it is full.
	maxQueuedInputs = 16384
	// tickInterval is the time between two checks of the timeouts.
	tickInterval = 20 * time.Millisecond
	// pauseThreshold is the time between two ticks from which this process counts as paused, as in package pause.
	pauseThreshold = 300 * time.Millisecond
	writeTimeout   = 2 * time.Second
	// maxConnections bounds the connections to each of the other proxies.
	maxConnections = 4
)

// Core is the part of the proxy that sends writes and answers clients.
type Core interface {
	// ClaimDecided passes the verdict on a write to the core. With Proceed, the core may send the write until the
	// duration within has passed. It reports whether the request was still waiting for the verdict.
	ClaimDecided(requestID uint64, verdict takeover.Verdict, within time.Duration, receipt string) bool
	// ResumeWrite makes the core send a write that another proxy had in flight, until the duration within has passed.
	// It returns the core's ID of the request, and whether the core accepted it.
	ResumeWrite(in *request.Request, within time.Duration) (requestID uint64, ok bool)
}

// FleetMembers provides the list of the fleet's members.
type FleetMembers interface {
	// Members returns the members, whether the list may be outdated, and a channel that is closed on its next change.
	Members() (list []peer.MemberState, isolated bool, changed <-chan struct{})
}

// Options configure a [Coordinator].
type Options struct {
	Fleet          string
	Self           takeover.Owner
	Zone           string
	Replicas       int  // number of holders besides this proxy
	RequireReplica bool // reject writes that no other holder grants
	Clock          func() time.Duration
	Log            *slog.Logger
}

// Coordinator claims, holds and takes over writes on behalf of this proxy. It is safe for concurrent use.
type Coordinator struct {
	options Options
	core    Core
	http    *http.Client

	mu     sync.Mutex
	inbox  []input
	wake   chan struct{}
	counts Counts

	// The fields below are used by Run's goroutine only.
	registry        *takeover.Registry
	claims          map[uint64]*claim    // undecided claims, by ID
	lastID          uint64               // last ID given to a claim or to another proxy's request
	requesters      map[uint64]requester // senders of requests without a final registry response, by request ID
	permittedClaims map[uint64]*claim    // claims whose write the core may send, by the core's request ID
	members         map[string]*member   // other proxies, by name
	gone            map[takeover.Owner]bool
	// presenceChanged is when a member was last lost or came back, by name.
	presenceChanged map[string]time.Duration
	selfGone        bool // the fleet lists this process as gone
	isolated        bool
	resumedWrites   uint64 // numbers the resumed writes, for their request IDs
	lastTick        time.Duration
}

// input is an entry of the inbox. Run's goroutine handles it.
type input interface{ handle(c *Coordinator) }

// New returns a coordinator that handles no input until [Coordinator.Run] is called.
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

// RequiresReplica reports whether a write is rejected if no other holder grants it.
func (c *Coordinator) RequiresReplica() bool { return c.options.RequireReplica }

// Claim implements core.TakeoverCoordinator.
func (c *Coordinator) Claim(requestID uint64, in *request.Request, window time.Duration, expires time.Time) bool {
	write, err := newWrite(in, window)
	if err != nil {
		return false
	}
	return c.enqueue(writeArrived{requestID, write, in.Retry, expires})
}

// Complete implements core.TakeoverCoordinator. It does not check the bound on the inbox, as there are at most as many
// calls as claimed writes.
func (c *Coordinator) Complete(requestID uint64, outcome takeover.Outcome, receipt string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.appendInput(writeFinished{requestID, outcome, receipt})
}

// enqueue adds an input to the inbox, and reports whether there was room.
func (c *Coordinator) enqueue(in input) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.inbox) >= maxQueuedInputs {
		return false
	}
	c.appendInput(in)
	return true
}

// appendInput adds an input to the inbox and wakes Run's goroutine. c.mu is held.
func (c *Coordinator) appendInput(in input) {
	c.inbox = append(c.inbox, in)
	select {
	case c.wake <- struct{}{}:
	default:
	}
}

// takeInbox empties the inbox and returns its entries.
func (c *Coordinator) takeInbox() []input {
	c.mu.Lock()
	defer c.mu.Unlock()
	inputs := c.inbox
	c.inbox = nil
	return inputs
}

// Run runs the coordinator until ctx ends. It serves HTTP on the listener, which it closes.
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

// endClaims gives all pending claims a verdict when the coordinator stops.
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

// tick detects a pause of this process and checks the timeouts of the registry, of holders' responses and of claims.
func (c *Coordinator) tick() {
	now := c.options.Clock()
	if now-c.lastTick >= pauseThreshold { // messages from others may have been lost during the pause
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

// requester is the sender of a request to the registry.
type requester struct {
	owner   takeover.Owner // another proxy; unset for this one
	claimID uint64         // ID of the sender's claim
	isSelf  bool           // the request belongs to this proxy's own claim
}

// handleRegistryEvent passes an event to the registry and carries out its actions, which may cause further events.
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

// registryAnswered passes the registry's response to the requester.
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
