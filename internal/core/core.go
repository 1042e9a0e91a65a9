// Package core takes requests from fronts, asks the decision module what to do with
// each and does it. It knows no dialect of clients.
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
	"mulleinpier/internal/request"
	"mulleinpier/internal/upstream"
	"mulleinpier/policy"
)

// Reply is where a request's answer goes.
type Reply interface {
	// Finish takes the one answer to the request.
	Finish(a *request.Answer)
	// Release tells that nothing holds the request's value any more.
	Release()
}

// DisconnectChecker is a Reply that can tell, without waiting, whether its client has gone.
type DisconnectChecker interface{ Disconnected() bool }

// Config is what a core is told.
type Config struct {
	// ListSources are those of the list of nodes, in order of precedence. On the platform
	// there is exactly one.
	ListSources []discovery.SourceConfig
	Seed        uint64
	InitialList discovery.List
	Policy      policy.Settings
	Upstream    upstream.Limits
	MaxInFlight int // requests at a time
	// ReconcileLists has membership work out what sources don't tell, and doubt lists that
	// collapse. Without it the one source's list is passed on as it is.
	ReconcileLists bool
	Membership     membership.Limits
	BinaryNodes    NodeSelector
	Overload       OverloadConfig
	// TotalSleep is how far the clock that counts the machine's sleep is ahead of the monotonic one;
	// nil where it is not to be asked.
	TotalSleep func() time.Duration
	LogCounts  bool // log a line of counts a second; not with levels of service
}

// NodeSelector names the nodes that speak the binary protocol: by their own names, and by
// their types.
type NodeSelector struct{ Names, Types []string }

// matches tells whether a node is one of them.
func (s *NodeSelector) matches(n *membership.Node) bool {
	return slices.Contains(s.Names, n.Name) || slices.Contains(s.Types, n.Type)
}

// InFlightRequest is a client's request that the core holds. It is guarded by Core.mu.
type InFlightRequest struct {
	id           uint64
	acceptedAt   time.Duration // when it was
	request      *request.Request
	deadline     time.Duration
	expiresAt    time.Time // the same
	reply        Reply
	attempts     []*attempt
	openAttempts int  // attempts that have not ended
	finished     bool // answered, or its client has left
	claim        claimState
	sendBefore   time.Duration // with stage given: nothing of it goes out from then on
}

type attempt struct {
	upstream.Attempt
	client       DisconnectChecker // nil where nobody can tell whether it has gone
	started      bool              // its first byte may have been written
	nodeName     string
	dispatchedAt time.Duration
	ended        bool
	deferred     bool // held until the proxy is awake
}

// Core holds the decision module and carries out what it decides. All events
// reach the module through it, one at a time; its lock is never held during I/O.
type Core struct {
	pollLists      bool
	reconcileLists bool
	zones          []string // what the list's names are the indices of
	kinds          []string
	binaryNodes    NodeSelector
	log            *slog.Logger
	recorder       *eventlog.Recorder
	pool           *upstream.Pool
	startedAt      time.Time
	listReceived   chan struct{} // closed once a list has come

	mu                 sync.Mutex
	rules              *rules
	hasList            bool             // known is closed
	listSource         discovery.Source // without infer
	confirmedSource    discovery.Source // the one that has told something last
	listSources        []discovery.SourceConfig
	reconciler         *membership.Reconciler
	membershipActions  []membership.Action // room for them
	balancer           *policy.Balancer
	actions            []policy.Action
	pendingEvents      []policy.Event // that carrying out actions has brought
	handling           bool
	requests           map[uint64]*InFlightRequest
	requestIDs         map[string]struct{} // the clients' ids of requests
	lastID             uint64              // request's number
	listVersion        uint64              // of the list
	timers             timers
	timerSet           chan struct{}
	subscribeRequested chan struct{}
	sourcesChanged     chan struct{}
	fetchRequested     chan struct{}
	overload           overloadState
	refetchRequested   chan string     // names of sources
	failedNodes        map[string]bool // nodes whose connections failed last
	logCounts          bool
	counts             counts
	pause              pauseState
	takeover           TakeoverCoordinator // nil where works are this proxy's alone
}

// rules are what a request is checked against as it comes. They are replaced
// whole, so that one request never meets half of each.
type rules struct {
	policy      policy.Settings
	classes     map[string]int
	tenants     map[string]int
	maxInFlight int
}

func newRules(config *Config) *rules {
	r := &rules{policy: config.Policy, classes: make(map[string]int), tenants: make(map[string]int), maxInFlight: config.MaxInFlight}
	for i, class := range r.policy.Classes {
		r.classes[class.Name] = i
	}
	for i, tenant := range r.policy.Tenants {
		r.tenants[tenant.Name] = i
	}
	return r
}

// New returns a core that knows the nodes of the stored list.
func New(config *Config, log *slog.Logger) (*Core, error) {
	balancer, err := policy.New(config.Policy, config.Seed)
	if err != nil {
		return nil, err
	}
	c := &Core{pollLists: config.Policy.EndpointsOnRequest, reconcileLists: config.ReconcileLists, zones: config.Policy.Zones, kinds: config.Policy.MachineKinds, binaryNodes: config.BinaryNodes,
		rules: newRules(config), log: log, listSource: config.ListSources[0].Open(), listSources: config.ListSources, startedAt: time.Now(), listReceived: make(chan struct{}),
		balancer: balancer, requests: make(map[uint64]*InFlightRequest), requestIDs: make(map[string]struct{}), timerSet: make(chan struct{}, 1),
		subscribeRequested: make(chan struct{}, 1), sourcesChanged: make(chan struct{}, 1), fetchRequested: make(chan struct{}, 1),
		refetchRequested: make(chan string, 8), failedNodes: make(map[string]bool), logCounts: config.LogCounts}
	c.pause.init(config.TotalSleep)
	c.overload = newOverloadState(&config.Overload)
	c.overload.listsPeriodic = listsArePeriodic(config)
	c.recorder = eventlog.New(log)
	c.pool = upstream.New(config.Upstream, meta.NodeDialect{}, c, log)
	c.pool.SetRecorder(c.recorder)
	c.reconciler = membership.New(membership.Settings{Limits: config.Membership, Sources: membershipSources(config.ListSources), InferRestarts: config.ReconcileLists})
	if len(config.InitialList.Endpoints) > 0 || !config.ReconcileLists {
		c.applyList(c.newListCall(), config.InitialList, policy.EndpointsCached)
	}
	c.logTransitions(c.configureOverload(&config.Overload, c.now()))
	return c, nil
}

// Reconfigure puts next's rules into force for what comes from now on. Either
// all of them are, or none and the error says why.
func (c *Core) Reconfigure(next *Config) error {
	c.mu.Lock()
	if err := c.balancer.Reconfigure(next.Policy); err != nil {
		c.mu.Unlock()
		return err
	}
	c.rules = newRules(next)
	c.pool.SetLimits(next.Upstream)
	c.overload.listsPeriodic = listsArePeriodic(next)
	changed := c.configureOverload(&next.Overload, c.now())
	c.mu.Unlock()
	c.logTransitions(changed)
	return nil
}

// now is the module's clock: Unix time, so that the list's start times need no
// mapping, advanced by the monotonic clock and by the machine's sleep.
func (c *Core) now() time.Duration {
	return time.Duration(c.startedAt.UnixNano()) + time.Since(c.startedAt) + time.Duration(c.pause.sleepOffset.Load())
}

// Run keeps the timers and the watch until ctx ends.
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

// handle gives the module an event and does what it asks, then what that
// brings in turn. c.mu is held.
func (c *Core) handle(event policy.Event) {
	c.pendingEvents = append(c.pendingEvents, event)
	if c.handling {
		return
	}
	c.handling = true
	for i := 0; i < len(c.pendingEvents); i++ {
		c.actions = c.balancer.Handle(c.now(), c.pendingEvents[i], c.actions[:0])
		for j := range c.actions {
			c.execute(&c.actions[j])
		}
	}
	clear(c.pendingEvents)
	c.pendingEvents = c.pendingEvents[:0]
	c.handling = false
}

func (c *Core) execute(a *policy.Action) {
	switch a.Kind {
	case policy.Send:
		c.dispatch(a)
	case policy.Cancel:
		if r := c.requests[a.ID]; r != nil && a.Attempt >= 0 && a.Attempt < len(r.attempts) {
			c.cancelAttempt(r, r.attempts[a.Attempt], policy.Cancelled)
		}
	case policy.Reject:
		if r := c.requests[a.ID]; r != nil {
			c.counts.rejected++
			c.answer(r, &request.Answer{Kind: request.Busy, RetryAfter: a.After}, a.Reason.String())
		}
	case policy.Fail:
		if r := c.requests[a.ID]; r != nil {
			if c.nothingStarted(r) {
				// What waits has not begun, and never will now: that is no failure, which would promise nothing.
				c.counts.rejected++
				c.answer(r, &request.Answer{Kind: request.Busy, RetryAfter: c.retryAfter(r)}, a.Reason.String()+", never sent")
				return
			}
			c.counts.failed++
			c.answer(r, &request.Answer{Kind: request.Failed}, a.Reason.String())
		}
	case policy.SetTimer:
		c.setTimer(timer{at: c.now() + a.After, id: a.Token, attempt: policyTimer})
	case policy.Subscribe:
		signal(c.subscribeRequested)
	case policy.FetchEndpoints:
		signal(c.fetchRequested)
	case policy.CloseIdle:
		c.pool.CloseIdle(a.Server)
	case policy.HealthCheck: // the protocol has no room for it where probes are off
	}
}

func signal(to chan<- struct{}) {
	select {
	case to <- struct{}{}:
	default:
	}
}

// Submit takes a request whose last byte has come. The answer goes to reply.
func (c *Core) Submit(in *request.Request, reply Reply) *InFlightRequest {
	bad := func(reason string) *InFlightRequest {
		c.recordRejected(in, reply, reason)
		reply.Finish(&request.Answer{Kind: request.Invalid, Reason: reason})
		return nil
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	rules := c.rules
	class, known := rules.classes[in.Class]
	if !known {
		return bad("unknown class")
	}
	if in.SideEffects = rules.policy.Classes[class].Idempotency != policy.Idempotent; in.SideEffects {
		c.observeSleep()
	}
	c.observeClocks()
	tenant := 0
	if len(rules.tenants) > 0 {
		if tenant, known = rules.tenants[in.Tenant]; !known {
			return bad("unknown tenant")
		}
	}
	if rules.policy.Classes[class].Idempotency == policy.IdempotentWithKey && in.IdempotencyKey == "" {
		return bad("missing k") // nothing could drop its repeats
	}
	// Nobody waits longer than the class allows; a request that claims to would
	// hold its place and its timers for as long.
	wait := rules.policy.Classes[class].Deadline
	if in.Timeout >= 0 {
		wait = min(wait, in.Timeout)
	}
	// Answers are told apart by the id alone, and so are copies.
	if _, taken := c.requestIDs[in.ID]; taken {
		return bad("id in use")
	}
	if !c.hasCapacity(rules, class) {
		c.recordRejected(in, reply, "no room")
		reply.Finish(&request.Answer{Kind: request.Busy, RetryAfter: c.balancer.RetryAfter(class)})
		return nil
	}
	deadline, aged := c.decideByAge(in, &rules.policy.Classes[class], wait)
	if aged {
		c.pause.rejectedByAge++
		c.recordRejected(in, reply, "aged")
		reply.Finish(&request.Answer{Kind: request.Busy, RetryAfter: c.balancer.RetryAfter(class)})
		return nil
	}
	c.lastID++
	c.counts.accepted++
	in.Serial = uint32(c.lastID)
	r := &InFlightRequest{id: c.lastID, acceptedAt: c.now(), request: in, reply: reply, deadline: deadline,
		expiresAt: time.Now().Add(deadline - c.now())}
	c.requests[r.id] = r
	c.requestIDs[in.ID] = struct{}{}
	c.recordAccepted(r)
	c.setTimer(timer{at: r.deadline, id: r.id, attempt: allAttempts})
	if !c.requestClaim(r, &rules.policy.Classes[class]) {
		c.handle(policy.Arrival{ID: r.id, Class: class, Tenant: tenant, Key: in.Key, Deadline: r.deadline,
			Write: in.Verb == request.Set, IsRetry: in.Retry})
	}
	return r
}

// Reject answers a request that has come too late to be taken: it is never sent.
func (c *Core) Reject(in *request.Request, reply Reply) {
	c.mu.Lock()
	defer c.mu.Unlock()
	a := &request.Answer{Kind: request.Busy}
	if class, known := c.rules.classes[in.Class]; known {
		a.RetryAfter = c.balancer.RetryAfter(class)
	}
	c.counts.rejected++
	c.recordRejected(in, reply, "draining")
	reply.Finish(a)
}

// IsKeyed tells whether a class is one whose repeats are dropped by their keys.
func (c *Core) IsKeyed(class string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	i, known := c.rules.classes[class]
	return known && c.rules.policy.Classes[i].Idempotency == policy.IdempotentWithKey
}

// ListReceived is closed once the source has told its list of nodes.
func (c *Core) ListReceived() <-chan struct{} { return c.listReceived }

// HasServingNodes tells whether there is any node that requests can go to.
func (c *Core) HasServingNodes() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.reconciler.Serving() > 0
}

// InFlight counts the requests that are open.
func (c *Core) InFlight() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.requests)
}

// LongestRemaining returns how long the last of the open requests may yet take.
func (c *Core) LongestRemaining() (longest time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, r := range c.requests {
		if !r.finished {
			longest = max(longest, time.Until(r.expiresAt))
		}
	}
	return longest
}

// AbortAll answers all that is open at once: the process ends before it can be finished.
func (c *Core) AbortAll() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, r := range c.requests {
		if r.finished {
			continue
		}
		a := &request.Answer{Kind: request.Failed}
		if !r.request.SideEffects || c.nothingStarted(r) {
			a = &request.Answer{Kind: request.Busy, RetryAfter: c.retryAfter(r)}
		}
		c.log.Warn("given up at the end", "id", r.request.ID, "attempts", len(r.attempts))
		c.answer(r, a, "process ends")
		c.handle(policy.ClientLeft{ID: r.id})
	}
}

// nothingStarted tells whether nothing of a request has gone out. Once it is over nothing will.
func (c *Core) nothingStarted(r *InFlightRequest) bool {
	return !slices.ContainsFunc(r.attempts, func(a *attempt) bool { return a.started })
}

// ClientDisconnected ends the requests of a client that has gone.
func (c *Core) ClientDisconnected(unanswered []*InFlightRequest) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, r := range unanswered {
		c.abandon(r)
	}
}

// abandon ends a request whose client has gone. c.mu is held.
func (c *Core) abandon(r *InFlightRequest) {
	if r.finished || c.detachClient(r) {
		return
	}
	r.finished = true
	c.counts.abandoned++
	c.recordAbandoned(r)
	c.handle(policy.ClientLeft{ID: r.id})
	for _, a := range r.attempts { // what has not begun takes no place any more
		if !a.ended && (a.deferred || c.pool.Withdraw(&a.Attempt)) {
			c.endAttempt(r, a, policy.NotSent, nil)
		}
	}
	c.removeIfDone(r)
}

// answer ends a request, once. The reason is for the log.
func (c *Core) answer(r *InFlightRequest, a *request.Answer, reason string) {
	if r.finished {
		return
	}
	r.finished = true
	c.recordAnswered(r, a, reason)
	c.completeClaim(r, a)
	r.reply.Finish(a)
	c.removeIfDone(r)
}

// removeIfDone forgets a request that is over and has nothing out, once: what ends its last
// attempt may do so from within the end of another.
func (c *Core) removeIfDone(r *InFlightRequest) {
	if r.finished && r.openAttempts == 0 && c.requests[r.id] == r {
		delete(c.requests, r.id)
		delete(c.requestIDs, r.request.ID)
		r.reply.Release()
	}
}

func (c *Core) dispatch(action *policy.Action) {
	r := c.requests[action.ID]
	if r == nil {
		return
	}
	now := c.now()
	a := &attempt{nodeName: action.Server, dispatchedAt: now, Attempt: upstream.Attempt{ID: r.id,
		Number: len(r.attempts), Request: r.request, Deadline: r.expiresAt}}
	a.HandlerState = a
	a.client, _ = r.reply.(DisconnectChecker)
	r.attempts = append(r.attempts, a)
	r.openAttempts++
	c.counts.dispatched++
	c.recordDispatched(r, a, action.Reason)
	switch {
	case r.finished || now >= r.deadline || action.After < 0:
		c.endAttempt(r, a, policy.NotSent, nil)
		return
	case action.After > 0 && now+action.After < r.deadline:
		a.Deadline = a.Deadline.Add(now + action.After - r.deadline)
		c.setTimer(timer{at: now + action.After, id: r.id, attempt: a.Number})
	}
	if !c.deferAttempt(r, a) && !c.pool.Send(a.nodeName, &a.Attempt) {
		c.endAttempt(r, a, policy.ConnectFailed, nil)
	}
}

// cancelAttempt stops waiting for an attempt.
func (c *Core) cancelAttempt(r *InFlightRequest, a *attempt, as policy.Result) {
	if a.ended {
		return
	}
	// What has not begun never will once it has ended, in whoever's hands it is.
	if a.deferred || c.pool.Abandon(&a.Attempt) || !a.started {
		as = policy.NotSent
	}
	c.endAttempt(r, a, as, nil)
}

// endAttempt tells the module how an attempt ended, once.
func (c *Core) endAttempt(r *InFlightRequest, a *attempt, result policy.Result, answer *request.Answer) {
	if a.ended {
		return
	}
	a.ended = true
	r.openAttempts--
	c.counts.results[result]++
	c.recordEnded(r, a, result)
	o := policy.Outcome{ID: r.id, Attempt: a.Number, Server: a.nodeName, Result: result, Took: c.now() - a.dispatchedAt,
		Final: r.finished}
	if answer != nil {
		switch {
		case answer.Hit:
			o.CacheStatus = policy.CacheHit
			c.counts.hits++
		case answer.Miss && answer.Coalesced:
			o.CacheStatus = policy.CacheMissCoalesced
			c.counts.misses++
		case answer.Miss:
			o.CacheStatus = policy.CacheMiss
			c.counts.misses++
		}
		o.LoadReport = c.parseLoadReport(answer.LoadReport)
	}
	c.handle(o)
	c.removeIfDone(r)
}

// parseLoadReport reads a load report; a malformed one is none.
func (c *Core) parseLoadReport(load []byte) *policy.LoadReport {
	if len(load) == 0 {
		return nil
	}
	p := policy.LoadReport{InFlight: -1, Queue: -1, Utilization: -1, Rate: -1, ErrorRate: -1, X0: -1, X1: -1, Latency: -1}
	err := meta.EachLoadFigure(load, func(name string, figure float64) {
		switch name {
		case "inflight", "active":
			p.InFlight = figure
		case "queue", "waiting":
			p.Queue = figure
		case "util", "cpu":
			p.Utilization = figure
		case "latency_ms", "avg_ms":
			p.Latency = time.Duration(figure * float64(time.Millisecond))
		case "qps", "rps":
			p.Rate = figure
		case "eps", "err_rps":
			p.ErrorRate = figure
		case "x0":
			p.X0 = figure
		case "x1":
			p.X1 = figure
		}
	})
	if err != nil {
		return nil
	}
	return &p
}

// findAttempt returns an attempt that has not ended, and its request.
func (c *Core) findAttempt(u *upstream.Attempt) (*InFlightRequest, *attempt) {
	r := c.requests[u.ID]
	if r == nil || r.attempts[u.Number].ended {
		return nil, nil
	}
	return r, r.attempts[u.Number]
}

// BeforeWrite implements upstream.Handler. An attempt may have waited, for its connection, between tries,
// behind others or for this process, and what allowed it may be over: its client, too, may have gone
// meanwhile, and its reader not have come to that. Whatever its class, nobody waits for its answer then.
func (c *Core) BeforeWrite(batch []*upstream.Attempt) []*upstream.Attempt {
	changes := false
	batch = slices.DeleteFunc(batch, func(u *upstream.Attempt) bool {
		changes = changes || u.Request.SideEffects
		a := u.HandlerState.(*attempt)
		return a.client != nil && a.client.Disconnected() && c.abandonDisconnected(a)
	})
	c.mu.Lock()
	defer c.mu.Unlock()
	if changes {
		c.observeSleep()
	}
	c.observeClocks()
	kept := batch[:0]
	for _, u := range batch {
		r, a := c.findAttempt(u)
		if r == nil {
			continue
		}
		if r.finished || !c.balancer.MaySend(c.now(), r.id, a.Number) || r.claim == claimGranted && c.now() >= r.sendBefore {
			c.endAttempt(r, a, policy.NotSent, nil)
			continue
		}
		if c.pause.detector.HoldsWrites() && c.deferAttempt(r, a) {
			continue
		}
		if r.expiresAt.Before(u.Deadline) { // the machine slept
			u.Deadline = r.expiresAt
		}
		a.started = true
		c.recordStarted(r, a)
		kept = append(kept, u)
	}
	return kept
}

// abandonDisconnected ends an attempt that has not begun and whose client has gone, and its request with it.
func (c *Core) abandonDisconnected(a *attempt) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if r, _ := c.findAttempt(&a.Attempt); r != nil {
		c.abandon(r)
		c.endAttempt(r, a, policy.NotSent, nil)
	}
	return true
}

// Answered implements upstream.Handler.
func (c *Core) Answered(u *upstream.Attempt, answer *request.Answer) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.observeClocks()
	if r, a := c.findAttempt(u); r != nil {
		c.counts.served++
		c.answer(r, answer, "")
		c.endAttempt(r, a, policy.Served, answer)
		c.observeConnection(a.nodeName, membership.Answered)
	}
}

// Ended implements upstream.Handler.
func (c *Core) Ended(u *upstream.Attempt, answer *request.Answer, result upstream.Result) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.observeClocks()
	r, a := c.findAttempt(u)
	if r == nil {
		return
	}
	c.endAttempt(r, a, resultOf[result], answer)
	switch result {
	case upstream.NotWritten, upstream.ConnectionLost:
		c.observeConnection(a.nodeName, membership.Failed)
	case upstream.Busy, upstream.Failed, upstream.ConnectionLimitReached:
		c.observeConnection(a.nodeName, membership.Answered)
	}
}

var resultOf = [...]policy.Result{upstream.Busy: policy.Rejected, upstream.Failed: policy.Errored,
	upstream.NotWritten: policy.ConnectFailed, upstream.ConnectionLost: policy.Reset, upstream.Malformed: policy.Malformed,
	upstream.ConnectionLimitReached: policy.ConnectionLimitReached}

// timer is due at a time: one of the module's, with its token as id, or the
// end of the wait for attempts of a request.
type timer struct {
	at      time.Duration
	id      uint64
	attempt int
}

const (
	policyTimer     = -1
	allAttempts     = -2
	membershipTimer = -3 // membership's
	clockTimer      = -4 // a look at the clocks
	// Timers due within a few milliseconds are handled together: a wake-up each
	// would cost more than they do.
	timerResolution = 2 * time.Millisecond
)

func (c *Core) setTimer(t timer) {
	if c.timers.push(t) {
		signal(c.timerSet)
	}
}

func (c *Core) runTimers(ctx context.Context) {
	alarm := time.NewTimer(time.Hour)
	defer alarm.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-c.timerSet:
		case <-alarm.C:
		}
		alarm.Reset(max(c.fireTimers(), timerResolution))
	}
}

// fireTimers handles what is due and returns how long nothing else will be.
func (c *Core) fireTimers() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.observeClocks()
	for now := c.now(); len(c.timers) > 0; {
		if wait := c.timers[0].at - now; wait > 0 {
			return wait
		}
		t := c.timers.pop()
		if t.at > c.resumedAt() { // else it is late for a stop
			c.overload.timerLag = max(c.overload.timerLag, now-t.at)
		}
		switch t.attempt {
		case policyTimer:
			c.handle(policy.TimerFired{Token: t.id})
			continue
		case clockTimer: // it was looked at
			continue
		case membershipTimer:
			c.handleMembership(membership.TimerFired{})
			continue
		}
		r := c.requests[t.id]
		for i := 0; r != nil && i < len(r.attempts); i++ {
			if t.attempt == allAttempts || t.attempt == i {
				c.cancelAttempt(r, r.attempts[i], policy.TimedOut)
			}
		}
	}
	return time.Hour
}
