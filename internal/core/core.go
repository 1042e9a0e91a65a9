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

// has tells whether a node is one of them.
func (s *NodeSelector) has(n *membership.Node) bool {
	return slices.Contains(s.Names, n.Name) || slices.Contains(s.Types, n.Type)
}

// InFlightRequest is a client's request that the core holds. It is guarded by Core.mu.
type InFlightRequest struct {
	id       uint64
	taken    time.Duration // when it was
	request  *request.Request
	deadline time.Duration
	expires  time.Time // the same
	reply    Reply
	attempts []*attempt
	open     int  // attempts that have not ended
	over     bool // answered, or its client has left
	stage    stage
	leave    time.Duration // with stage given: nothing of it goes out from then on
}

type attempt struct {
	upstream.Attempt
	client DisconnectChecker // nil where nobody can tell whether it has gone
	begun  bool              // its first byte may have been written
	server string
	sent   time.Duration
	ended  bool
	parked bool // held until the proxy is awake
}

// Core holds the decision module and carries out what it decides. All events
// reach the module through it, one at a time; its lock is never held during I/O.
type Core struct {
	askList bool
	infer   bool
	zones   []string // what the list's names are the indices of
	kinds   []string
	binary  NodeSelector
	log     *slog.Logger
	record  *eventlog.Recorder
	nodes   *upstream.Pool
	start   time.Time
	known   chan struct{} // closed once a list has come

	mu        sync.Mutex
	rules     *rules
	heard     bool             // known is closed
	registry  discovery.Source // without infer
	settled   discovery.Source // the one that has told something last
	places    []discovery.SourceConfig
	members   *membership.Reconciler
	news      []membership.Action // room for them
	balancer  *policy.Balancer
	actions   []policy.Action
	events    []policy.Event // that carrying out actions has brought
	handling  bool
	requests  map[uint64]*InFlightRequest
	open      map[string]struct{} // the clients' ids of requests
	last      uint64              // request's number
	version   uint64              // of the list
	timers    timers
	wake      chan struct{}
	subscribe chan struct{}
	moved     chan struct{}
	fetch     chan struct{}
	levels    levels
	look      chan string     // names of sources
	failed    map[string]bool // nodes whose connections failed last
	counting  bool
	counts    counts
	still     stillness
	desk      TakeoverCoordinator // nil where works are this proxy's alone
}

// rules are what a request is checked against as it comes. They are replaced
// whole, so that one request never meets half of each.
type rules struct {
	set      policy.Settings
	classes  map[string]int
	tenants  map[string]int
	mostHeld int
}

func newRules(config *Config) *rules {
	r := &rules{set: config.Policy, classes: make(map[string]int), tenants: make(map[string]int), mostHeld: config.MaxInFlight}
	for i, class := range r.set.Classes {
		r.classes[class.Name] = i
	}
	for i, tenant := range r.set.Tenants {
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
	c := &Core{askList: config.Policy.EndpointsOnRequest, infer: config.ReconcileLists, zones: config.Policy.Zones, kinds: config.Policy.MachineKinds, binary: config.BinaryNodes,
		rules: newRules(config), log: log, registry: config.ListSources[0].Open(), places: config.ListSources, start: time.Now(), known: make(chan struct{}),
		balancer: balancer, requests: make(map[uint64]*InFlightRequest), open: make(map[string]struct{}), wake: make(chan struct{}, 1),
		subscribe: make(chan struct{}, 1), moved: make(chan struct{}, 1), fetch: make(chan struct{}, 1),
		look: make(chan string, 8), failed: make(map[string]bool), counting: config.LogCounts}
	c.still.init(config.TotalSleep)
	c.levels = newLevels(&config.Overload)
	c.levels.asks = asks(config)
	c.record = eventlog.New(log)
	c.nodes = upstream.New(config.Upstream, meta.NodeDialect{}, c, log)
	c.nodes.SetRecorder(c.record)
	c.members = membership.New(membership.Settings{Limits: config.Membership, Sources: sourcesOf(config.ListSources), InferRestarts: config.ReconcileLists})
	if len(config.InitialList.Endpoints) > 0 || !config.ReconcileLists {
		c.learn(c.place(), config.InitialList, policy.EndpointsCached)
	}
	c.logLevels(c.adopt(&config.Overload, c.now()))
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
	c.nodes.SetLimits(next.Upstream)
	c.levels.asks = asks(next)
	changed := c.adopt(&next.Overload, c.now())
	c.mu.Unlock()
	c.logLevels(changed)
	return nil
}

// now is the module's clock: Unix time, so that the list's start times need no
// mapping, advanced by the monotonic clock and by the machine's sleep.
func (c *Core) now() time.Duration {
	return time.Duration(c.start.UnixNano()) + time.Since(c.start) + time.Duration(c.still.asleep.Load())
}

// Run keeps the timers and the watch until ctx ends.
func (c *Core) Run(ctx context.Context) {
	var tasks sync.WaitGroup
	tasks.Go(func() { c.record.Run(ctx) })
	tasks.Go(func() { c.nodes.Run(ctx) })
	tasks.Go(func() { c.keepTime(ctx) })
	tasks.Go(func() { c.reask(ctx) })
	if c.counting {
		tasks.Go(func() { c.logCounts(ctx) })
	}
	if c.infer {
		tasks.Go(func() { c.follow(ctx) })
	} else {
		tasks.Go(func() { c.watch(ctx) })
		tasks.Go(func() { c.fetchLists(ctx) })
	}
	tasks.Wait()
}

// handle gives the module an event and does what it asks, then what that
// brings in turn. c.mu is held.
func (c *Core) handle(event policy.Event) {
	c.events = append(c.events, event)
	if c.handling {
		return
	}
	c.handling = true
	for i := 0; i < len(c.events); i++ {
		c.actions = c.balancer.Handle(c.now(), c.events[i], c.actions[:0])
		for j := range c.actions {
			c.do(&c.actions[j])
		}
	}
	clear(c.events)
	c.events = c.events[:0]
	c.handling = false
}

func (c *Core) do(a *policy.Action) {
	switch a.Kind {
	case policy.Send:
		c.send(a)
	case policy.Cancel:
		if r := c.requests[a.ID]; r != nil && a.Attempt >= 0 && a.Attempt < len(r.attempts) {
			c.giveUp(r, r.attempts[a.Attempt], policy.Cancelled)
		}
	case policy.Reject:
		if r := c.requests[a.ID]; r != nil {
			c.counts.refused++
			c.answer(r, &request.Answer{Kind: request.Busy, RetryAfter: a.After}, a.Reason.String())
		}
	case policy.Fail:
		if r := c.requests[a.ID]; r != nil {
			if c.unsent(r) {
				// What waits has not begun, and never will now: that is no failure, which would promise nothing.
				c.counts.refused++
				c.answer(r, &request.Answer{Kind: request.Busy, RetryAfter: c.advice(r)}, a.Reason.String()+", never sent")
				return
			}
			c.counts.failed++
			c.answer(r, &request.Answer{Kind: request.Failed}, a.Reason.String())
		}
	case policy.SetTimer:
		c.setTimer(timer{at: c.now() + a.After, id: a.Token, attempt: moduleTimer})
	case policy.Subscribe:
		post(c.subscribe)
	case policy.FetchEndpoints:
		post(c.fetch)
	case policy.CloseIdle:
		c.nodes.CloseIdle(a.Server)
	case policy.HealthCheck: // the protocol has no room for it where probes are off
	}
}

func post(to chan<- struct{}) {
	select {
	case to <- struct{}{}:
	default:
	}
}

// Submit takes a request whose last byte has come. The answer goes to reply.
func (c *Core) Submit(in *request.Request, reply Reply) *InFlightRequest {
	bad := func(reason string) *InFlightRequest {
		c.recordRefusal(in, reply, reason)
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
	if in.SideEffects = rules.set.Classes[class].Idempotency != policy.Idempotent; in.SideEffects {
		c.seeSleep()
	}
	c.seeClocks()
	tenant := 0
	if len(rules.tenants) > 0 {
		if tenant, known = rules.tenants[in.Tenant]; !known {
			return bad("unknown tenant")
		}
	}
	if rules.set.Classes[class].Idempotency == policy.IdempotentWithKey && in.IdempotencyKey == "" {
		return bad("missing k") // nothing could drop its repeats
	}
	// Nobody waits longer than the class allows; a request that claims to would
	// hold its place and its timers for as long.
	wait := rules.set.Classes[class].Deadline
	if in.Timeout >= 0 {
		wait = min(wait, in.Timeout)
	}
	// Answers are told apart by the id alone, and so are copies.
	if _, taken := c.open[in.ID]; taken {
		return bad("id in use")
	}
	if !c.roomFor(rules, class) {
		c.recordRefusal(in, reply, "no room")
		reply.Finish(&request.Answer{Kind: request.Busy, RetryAfter: c.balancer.RetryAfter(class)})
		return nil
	}
	deadline, aged := c.judge(in, &rules.set.Classes[class], wait)
	if aged {
		c.still.aged++
		c.recordRefusal(in, reply, "aged")
		reply.Finish(&request.Answer{Kind: request.Busy, RetryAfter: c.balancer.RetryAfter(class)})
		return nil
	}
	c.last++
	c.counts.arrived++
	in.Serial = uint32(c.last)
	r := &InFlightRequest{id: c.last, taken: c.now(), request: in, reply: reply, deadline: deadline,
		expires: time.Now().Add(deadline - c.now())}
	c.requests[r.id] = r
	c.open[in.ID] = struct{}{}
	c.recordTaken(r)
	c.setTimer(timer{at: r.deadline, id: r.id, attempt: allAttempts})
	if !c.asksLeave(r, &rules.set.Classes[class]) {
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
	c.counts.refused++
	c.recordRefusal(in, reply, "draining")
	reply.Finish(a)
}

// IsKeyed tells whether a class is one whose repeats are dropped by their keys.
func (c *Core) IsKeyed(class string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	i, known := c.rules.classes[class]
	return known && c.rules.set.Classes[i].Idempotency == policy.IdempotentWithKey
}

// ListReceived is closed once the source has told its list of nodes.
func (c *Core) ListReceived() <-chan struct{} { return c.known }

// HasServingNodes tells whether there is any node that requests can go to.
func (c *Core) HasServingNodes() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.members.Serving() > 0
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
		if !r.over {
			longest = max(longest, time.Until(r.expires))
		}
	}
	return longest
}

// AbortAll answers all that is open at once: the process ends before it can be finished.
func (c *Core) AbortAll() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, r := range c.requests {
		if r.over {
			continue
		}
		a := &request.Answer{Kind: request.Failed}
		if !r.request.SideEffects || c.unsent(r) {
			a = &request.Answer{Kind: request.Busy, RetryAfter: c.advice(r)}
		}
		c.log.Warn("given up at the end", "id", r.request.ID, "attempts", len(r.attempts))
		c.answer(r, a, "process ends")
		c.handle(policy.ClientLeft{ID: r.id})
	}
}

// unsent tells whether nothing of a request has gone out. Once it is over nothing will.
func (c *Core) unsent(r *InFlightRequest) bool {
	return !slices.ContainsFunc(r.attempts, func(a *attempt) bool { return a.begun })
}

// ClientDisconnected ends the requests of a client that has gone.
func (c *Core) ClientDisconnected(unanswered []*InFlightRequest) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, r := range unanswered {
		c.leave(r)
	}
}

// leave ends a request whose client has gone. c.mu is held.
func (c *Core) leave(r *InFlightRequest) {
	if r.over || c.outlives(r) {
		return
	}
	r.over = true
	c.counts.left++
	c.recordLeft(r)
	c.handle(policy.ClientLeft{ID: r.id})
	for _, a := range r.attempts { // what has not begun takes no place any more
		if !a.ended && (a.parked || c.nodes.Withdraw(&a.Attempt)) {
			c.end(r, a, policy.NotSent, nil)
		}
	}
	c.drop(r)
}

// answer ends a request, once. The reason is for the log.
func (c *Core) answer(r *InFlightRequest, a *request.Answer, reason string) {
	if r.over {
		return
	}
	r.over = true
	c.recordAnswer(r, a, reason)
	c.settle(r, a)
	r.reply.Finish(a)
	c.drop(r)
}

// drop forgets a request that is over and has nothing out, once: what ends its last
// attempt may do so from within the end of another.
func (c *Core) drop(r *InFlightRequest) {
	if r.over && r.open == 0 && c.requests[r.id] == r {
		delete(c.requests, r.id)
		delete(c.open, r.request.ID)
		r.reply.Release()
	}
}

func (c *Core) send(action *policy.Action) {
	r := c.requests[action.ID]
	if r == nil {
		return
	}
	now := c.now()
	a := &attempt{server: action.Server, sent: now, Attempt: upstream.Attempt{ID: r.id,
		Number: len(r.attempts), Request: r.request, Deadline: r.expires}}
	a.HandlerState = a
	a.client, _ = r.reply.(DisconnectChecker)
	r.attempts = append(r.attempts, a)
	r.open++
	c.counts.sent++
	c.recordSent(r, a, action.Reason)
	switch {
	case r.over || now >= r.deadline || action.After < 0:
		c.end(r, a, policy.NotSent, nil)
		return
	case action.After > 0 && now+action.After < r.deadline:
		a.Deadline = a.Deadline.Add(now + action.After - r.deadline)
		c.setTimer(timer{at: now + action.After, id: r.id, attempt: a.Number})
	}
	if !c.park(r, a) && !c.nodes.Send(a.server, &a.Attempt) {
		c.end(r, a, policy.ConnectFailed, nil)
	}
}

// giveUp stops waiting for an attempt.
func (c *Core) giveUp(r *InFlightRequest, a *attempt, as policy.Result) {
	if a.ended {
		return
	}
	// What has not begun never will once it has ended, in whoever's hands it is.
	if a.parked || c.nodes.Abandon(&a.Attempt) || !a.begun {
		as = policy.NotSent
	}
	c.end(r, a, as, nil)
}

// end tells the module how an attempt ended, once.
func (c *Core) end(r *InFlightRequest, a *attempt, result policy.Result, answer *request.Answer) {
	if a.ended {
		return
	}
	a.ended = true
	r.open--
	c.counts.ends[result]++
	c.recordEnd(r, a, result)
	o := policy.Outcome{ID: r.id, Attempt: a.Number, Server: a.server, Result: result, Took: c.now() - a.sent,
		Final: r.over}
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
		o.LoadReport = c.parseReport(answer.LoadReport)
	}
	c.handle(o)
	c.drop(r)
}

// parseReport reads a load report; a malformed one is none.
func (c *Core) parseReport(load []byte) *policy.LoadReport {
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

// find returns an attempt that has not ended, and its request.
func (c *Core) find(u *upstream.Attempt) (*InFlightRequest, *attempt) {
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
		return a.client != nil && a.client.Disconnected() && c.desert(a)
	})
	c.mu.Lock()
	defer c.mu.Unlock()
	if changes {
		c.seeSleep()
	}
	c.seeClocks()
	kept := batch[:0]
	for _, u := range batch {
		r, a := c.find(u)
		if r == nil {
			continue
		}
		if r.over || !c.balancer.MaySend(c.now(), r.id, a.Number) || r.stage == given && c.now() >= r.leave {
			c.end(r, a, policy.NotSent, nil)
			continue
		}
		if c.still.module.HoldsWrites() && c.park(r, a) {
			continue
		}
		if r.expires.Before(u.Deadline) { // the machine slept
			u.Deadline = r.expires
		}
		a.begun = true
		c.recordBegun(r, a)
		kept = append(kept, u)
	}
	return kept
}

// desert ends an attempt that has not begun and whose client has gone, and its request with it.
func (c *Core) desert(a *attempt) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if r, _ := c.find(&a.Attempt); r != nil {
		c.leave(r)
		c.end(r, a, policy.NotSent, nil)
	}
	return true
}

// Answered implements upstream.Handler.
func (c *Core) Answered(u *upstream.Attempt, answer *request.Answer) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.seeClocks()
	if r, a := c.find(u); r != nil {
		c.counts.served++
		c.answer(r, answer, "")
		c.end(r, a, policy.Served, answer)
		c.sight(a.server, membership.Answered)
	}
}

// Ended implements upstream.Handler.
func (c *Core) Ended(u *upstream.Attempt, answer *request.Answer, result upstream.Result) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.seeClocks()
	r, a := c.find(u)
	if r == nil {
		return
	}
	c.end(r, a, results[result], answer)
	switch result {
	case upstream.NotWritten, upstream.ConnectionLost:
		c.sight(a.server, membership.Failed)
	case upstream.Busy, upstream.Failed, upstream.ConnectionLimitReached:
		c.sight(a.server, membership.Answered)
	}
}

var results = [...]policy.Result{upstream.Busy: policy.Rejected, upstream.Failed: policy.Errored,
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
	moduleTimer = -1
	allAttempts = -2
	memberTimer = -3 // membership's
	stillTimer  = -4 // a look at the clocks
	// Timers due within a few milliseconds are handled together: a wake-up each
	// would cost more than they do.
	timerGrain = 2 * time.Millisecond
)

func (c *Core) setTimer(t timer) {
	if c.timers.push(t) {
		post(c.wake)
	}
}

func (c *Core) keepTime(ctx context.Context) {
	alarm := time.NewTimer(time.Hour)
	defer alarm.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-c.wake:
		case <-alarm.C:
		}
		alarm.Reset(max(c.fire(), timerGrain))
	}
}

// fire handles what is due and returns how long nothing else will be.
func (c *Core) fire() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.seeClocks()
	for now := c.now(); len(c.timers) > 0; {
		if wait := c.timers[0].at - now; wait > 0 {
			return wait
		}
		t := c.timers.pop()
		if t.at > c.wokenAt() { // else it is late for a stop
			c.levels.lag = max(c.levels.lag, now-t.at)
		}
		switch t.attempt {
		case moduleTimer:
			c.handle(policy.TimerFired{Token: t.id})
			continue
		case stillTimer: // it was looked at
			continue
		case memberTimer:
			c.member(membership.TimerFired{})
			continue
		}
		r := c.requests[t.id]
		for i := 0; r != nil && i < len(r.attempts); i++ {
			if t.attempt == allAttempts || t.attempt == i {
				c.giveUp(r, r.attempts[i], policy.TimedOut)
			}
		}
	}
	return time.Hour
}
