// Package coordinator carries out what package takeover decides, in a real process: it asks other proxies for leave, holds
// works for them, takes over what was lost, and tells what came of it. One goroutine owns the register and all errands;
// one for each other proxy carries messages to it, as many at a time as there are.
package coordinator

import (
	"context"
	"encoding/json"
	"fmt"
	"hash/fnv"
	"log/slog"
	"maps"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"

	"mulleinpier/internal/peer"
	"mulleinpier/internal/peer/rpc"
	"mulleinpier/internal/request"
	"mulleinpier/internal/takeover"
)

// Core is what a desk asks of the proxy it belongs to.
type Core interface {
	ClaimDecided(id uint64, verdict takeover.Verdict, within time.Duration, receipt string) bool
	ResumeWrite(in *request.Request, within time.Duration) (id uint64, ok bool)
}

// Membership is who else there is.
type Membership interface {
	Members() (list []peer.MemberState, blind bool, changed <-chan struct{})
}

// Options say how works are held.
type Options struct {
	Fleet          string
	Self           takeover.Owner
	Zone           string
	Replicas       int  // holders beside this proxy
	RequireReplica bool // refused where none can be had
	Clock          func() time.Duration
	Log            *slog.Logger
}

// Bounds and times.
const (
	path       = "/v1/work"
	mostInbox  = 16384 // what waits for the desk; settles of open works come beside
	mostOut    = 8192  // what waits for another proxy
	mostLetter = 256   // in one message
	answerTime = 150 * time.Millisecond
	settleTime = 5 * time.Second // a holder that is not reached for so long learns no outcome
	tickTime   = 20 * time.Millisecond
	stoodTime  = 300 * time.Millisecond // as package still tells stops
	beforeLate = 30 * time.Millisecond  // a client is answered so long before its time is over
	retryPause = 20 * time.Millisecond
)

// letter is what proxies say to one another. All of it may be lost.
type letter struct {
	rpc.Header
	From    takeover.Owner `cbor:"3,keyasint"`
	To      takeover.Owner `cbor:"4,keyasint"`
	Asks    []ask          `cbor:"5,keyasint,omitempty"`
	Settles []settle       `cbor:"6,keyasint,omitempty"`
	Answers []answer       `cbor:"7,keyasint,omitempty"`
}

type ask struct {
	Errand uint64         `cbor:"1,keyasint"` // of the asker's
	Work   takeover.Write `cbor:"2,keyasint"`
	Rank   int            `cbor:"3,keyasint,omitempty"`
	Number uint64         `cbor:"4,keyasint,omitempty"`
	Age    time.Duration  `cbor:"5,keyasint,omitempty"`
	Retry  bool           `cbor:"6,keyasint,omitempty"`
}

type settle struct {
	ID      string           `cbor:"1,keyasint"`
	Digest  uint64           `cbor:"2,keyasint"`
	Number  uint64           `cbor:"3,keyasint"`
	Outcome takeover.Outcome `cbor:"4,keyasint"`
	Receipt string           `cbor:"5,keyasint,omitempty"`
}

type answer struct {
	Errand  uint64            `cbor:"1,keyasint"`
	Word    takeover.Decision `cbor:"2,keyasint"`
	Number  uint64            `cbor:"3,keyasint,omitempty"`
	Age     time.Duration     `cbor:"4,keyasint,omitempty"`
	Receipt string            `cbor:"5,keyasint,omitempty"`
	Young   bool              `cbor:"6,keyasint,omitempty"`
	Was     takeover.Owner    `cbor:"7,keyasint,omitempty"`
}

// text is a write as it can be sent again.
type text struct {
	Key         string `cbor:"1,keyasint"`
	Class       string `cbor:"2,keyasint"`
	Tenant      string `cbor:"3,keyasint,omitempty"`
	Idempotency string `cbor:"4,keyasint"`
	Value       []byte `cbor:"5,keyasint"`
	Flags       uint32 `cbor:"6,keyasint,omitempty"`
}

// Coordinator is one at work. It is safe for concurrent use.
type Coordinator struct {
	o    Options
	core Core
	http *http.Client

	mu     sync.Mutex
	inbox  []any
	wake   chan struct{}
	counts Counts

	// All else is of Run's goroutine.
	register *takeover.Registry
	actions  []takeover.Action
	errands  map[uint64]*errand
	last     uint64             // errand, or tag of another proxy's ask
	asked    map[uint64]asker   // asks of others that the register has not answered
	works    map[uint64]*errand // sent, by the core's id
	members  map[string]*member // that live, by name
	gone     map[takeover.Owner]bool
	away     map[string]time.Duration // by name, when one that was gone was heard again, or was lost
	selfGone bool                     // the others take this process for gone
	taken    uint64
	looked   time.Duration // when time passed last
	blind    bool
}

// Counts are of what went through.
type Counts struct {
	Claims, Proceeded, InProgress, Served, OutcomeUnknown, Rejected, Unreplicated, TakenOver, Abandoned, HolderTimeouts, Messages, MessageItems int
}

// asker is whose ask a tag is: another proxy's errand, or one of this one's.
type asker struct {
	to     takeover.Owner
	errand uint64
	own    bool
}

// errand is a work that this proxy is the owner of, or wants to be.
type errand struct {
	takeover.Claim
	number  uint64 // of the errand
	core    uint64 // the core's id; 0 for one that is taken over
	work    takeover.Write
	kind    takeover.ClaimKind
	grant   uint64 // under which it settles
	holders []takeover.Owner
	waits   map[string]time.Duration // holders that have not said a word, until when
	late    time.Duration            // when its client's time is over
	began   bool                     // others were asked
	// What the others are told of one that was taken over.
	asNumber uint64
	asAge    time.Duration
}

// member is another proxy, and what is to be told it.
type member struct {
	takeover.Candidate
	address string
	stop    context.CancelFunc

	mu   sync.Mutex
	asks []ask
	tell []settle
	say  []answer
	wake chan struct{}
}

// asking and settled are what the core brings.
type asking struct {
	id      uint64
	work    takeover.Write
	retry   bool
	expires time.Time
}

type settled struct {
	id      uint64
	outcome takeover.Outcome
	receipt string
}

// New returns a desk; Run puts it to work.
func New(core Core, o Options) *Coordinator {
	return &Coordinator{o: o, core: core, wake: make(chan struct{}, 1), errands: make(map[uint64]*errand), asked: make(map[uint64]asker),
		works: make(map[uint64]*errand), members: make(map[string]*member), gone: make(map[takeover.Owner]bool), away: make(map[string]time.Duration),
		register: takeover.NewRegistry(takeover.DefaultParameters, o.Self, o.Clock()),
		http:     &http.Client{Timeout: rpc.ExchangeTimeout, Transport: &http.Transport{MaxIdleConnsPerHost: 2, MaxConnsPerHost: 4, IdleConnTimeout: rpc.IdleTimeout}}}
}

// RequiresReplica tells whether a work is refused where no holder can be had.
func (d *Coordinator) RequiresReplica() bool { return d.o.RequireReplica }

// put hands something to the desk's goroutine, unless there is no room.
func (d *Coordinator) put(item any, always bool) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if len(d.inbox) >= mostInbox && !always {
		return false
	}
	d.inbox = append(d.inbox, item)
	select {
	case d.wake <- struct{}{}:
	default:
	}
	return true
}

// Claim implements core.TakeoverCoordinator.
func (d *Coordinator) Claim(id uint64, in *request.Request, window time.Duration, expires time.Time) bool {
	body, err := cbor.Marshal(text{in.Key, in.Class, in.Tenant, in.IdempotencyKey, in.Value, in.Flags})
	if err != nil {
		return false
	}
	h := fnv.New64a()
	h.Write(body)
	w := takeover.Write{ID: in.Class + "\x00" + in.Tenant + "\x00" + in.IdempotencyKey, Digest: h.Sum64(), DedupWindow: window, Payload: body}
	return d.put(asking{id, w, in.Retry, expires}, false)
}

// Complete implements core.TakeoverCoordinator. There are no more of them than works that were asked for.
func (d *Coordinator) Complete(id uint64, outcome takeover.Outcome, receipt string) {
	d.put(settled{id, outcome, receipt}, true)
}

// Counts returns what went through so far.
func (d *Coordinator) Counts() Counts {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.counts
}

func (d *Coordinator) count(change func(*Counts)) {
	d.mu.Lock()
	defer d.mu.Unlock()
	change(&d.counts)
}

// Run keeps the desk at work until ctx ends, on a listener of its own.
func (d *Coordinator) Run(ctx context.Context, listener net.Listener, fleet Membership) {
	var tasks sync.WaitGroup
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+path, d.take)
	mux.HandleFunc("GET "+WritesPath, d.list)
	server := &http.Server{Handler: mux, ReadHeaderTimeout: time.Second, ReadTimeout: 2 * time.Second, WriteTimeout: 2 * time.Second, IdleTimeout: rpc.IdleTimeout,
		MaxHeaderBytes: 8 << 10, ErrorLog: slog.NewLogLogger(slog.DiscardHandler, slog.LevelError)}
	tasks.Go(func() { server.Serve(listener) })
	tick := time.NewTicker(tickTime)
	defer tick.Stop()
	list, blind, changed := fleet.Members()
	d.blind, d.looked = blind, d.o.Clock()
	d.meet(ctx, list, &tasks)
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
		case <-changed:
			list, blind, changed = fleet.Members()
			if d.blind && !blind {
				d.tell(takeover.Rejoined{})
			}
			d.blind = blind
			d.meet(ctx, list, &tasks)
		case <-d.wake:
			d.mu.Lock()
			items := d.inbox
			d.inbox = nil
			d.mu.Unlock()
			for _, item := range items {
				d.handle(item)
			}
		case <-tick.C:
			d.tick()
		}
	}
	server.Close()
	d.mu.Lock()
	items := d.inbox
	d.mu.Unlock()
	for _, item := range items { // nobody is left waiting
		if x, ok := item.(asking); ok {
			d.core.ClaimDecided(x.id, takeover.Reject, 0, "")
		}
	}
	for _, e := range d.errands {
		if e.ClientTimedOut(); e.core != 0 {
			verdict, _ := e.Verdict()
			d.core.ClaimDecided(e.core, verdict, 0, e.Receipt())
		}
	}
	for _, m := range d.members {
		m.stop()
	}
	tasks.Wait()
	d.http.CloseIdleConnections()
}

// WritesPath is where a desk tells its works, in JSON.
const WritesPath = "/v1/works"

// mostListed bounds what is told of works.
const mostListed = 1000

// listing asks the desk's goroutine for its works.
type listing struct{ list chan []takeover.WriteStatus }

func (d *Coordinator) list(w http.ResponseWriter, r *http.Request) {
	l := listing{make(chan []takeover.WriteStatus, 1)}
	if !d.put(l, false) {
		http.Error(w, "no room", http.StatusServiceUnavailable)
		return
	}
	select {
	case <-r.Context().Done():
	case list := <-l.list:
		w.Header().Set("Content-Type", "application/json")
		json.NewEncoder(w).Encode(list)
	}
}

// take takes a letter of another proxy.
func (d *Coordinator) take(w http.ResponseWriter, r *http.Request) {
	var l letter
	if !rpc.ReadRequest(w, r, d.o.Fleet, &l) {
		return
	}
	if l.To != d.o.Self { // for a process that was here before
		http.Error(w, "another process", http.StatusGone)
		return
	}
	if !d.put(&l, false) {
		http.Error(w, "no room", http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

// meet takes the fleet's members as they are now.
func (d *Coordinator) meet(ctx context.Context, list []peer.MemberState, tasks *sync.WaitGroup) {
	d.forget(list)
	for _, s := range list {
		o := takeover.Owner{Name: s.Name, Incarnation: s.Incarnation}
		if o.Name == d.o.Self.Name { // who was held for gone was passed over meanwhile
			gone := s.State == peer.Gone
			if d.selfGone && !gone {
				d.tell(takeover.Rejoined{})
			}
			d.selfGone = gone
			continue
		}
		m := d.members[s.Name]
		if m != nil && m.Incarnation != s.Incarnation { // another process of that name: the one before is lost
			d.lose(m.Owner)
			m.stop()
			delete(d.members, s.Name)
			m = nil
		}
		switch {
		case s.State == peer.Gone && m != nil && !d.gone[o]:
			d.gone[o] = true
			d.away[o.Name] = d.o.Clock()
			d.lose(o)
		case s.State == peer.Alive && d.gone[o]:
			delete(d.gone, o)
			d.away[o.Name] = d.o.Clock()
			d.tell(takeover.OwnerReturned{Owner: o})
		}
		if m == nil && s.State != peer.Gone && s.Address != "" {
			life, stop := context.WithCancel(ctx)
			m = &member{Candidate: takeover.Candidate{Owner: o, Zone: s.Zone}, address: s.Address, stop: stop, wake: make(chan struct{}, 1)}
			d.members[s.Name] = m
			tasks.Go(func() { d.carry(life, m) })
		}
	}
}

// forget lets go of those whom the fleet has forgotten, so that names that come and go don't pile up.
func (d *Coordinator) forget(list []peer.MemberState) {
	known := make(map[string]bool, len(list))
	for _, s := range list {
		known[s.Name] = true
	}
	for name, m := range d.members {
		if !known[name] {
			m.stop()
			delete(d.members, name)
		}
	}
	maps.DeleteFunc(d.away, func(name string, _ time.Duration) bool { return !known[name] })
	maps.DeleteFunc(d.gone, func(o takeover.Owner, _ bool) bool { m := d.members[o.Name]; return m == nil || m.Owner != o })
}

// lose takes that a process is gone: no answer of it is waited for, and its works are to be taken over.
func (d *Coordinator) lose(o takeover.Owner) {
	for _, e := range d.errands {
		if _, waits := e.waits[o.Name]; waits {
			delete(e.waits, o.Name)
			e.HolderGone(o.Name)
			d.decide(e)
		}
	}
	d.tell(takeover.OwnerLost{Owner: o})
}

// tell gives the register an event and does what it asks.
func (d *Coordinator) tell(event takeover.Event) {
	d.actions = d.register.Handle(d.o.Clock(), event, d.actions[:0])
	todo := d.actions
	d.actions = nil // what is done may bring more
	for _, action := range todo {
		switch a := action.(type) {
		case takeover.ClaimResponse:
			d.answered(a)
		case takeover.TakeOver:
			d.takeOver(a)
		}
	}
}

// answered takes a register's answer to whoever asked.
func (d *Coordinator) answered(a takeover.ClaimResponse) {
	who, ok := d.asked[a.RequestID]
	if !ok {
		return
	}
	if a.Decision != takeover.InProgress {
		delete(d.asked, a.RequestID)
	}
	if who.own {
		if e := d.errands[who.errand]; e != nil {
			d.heard(e, d.o.Self.Name, a)
		}
		return
	}
	if m := d.members[who.to.Name]; m != nil && m.Owner == who.to {
		m.push(func() bool {
			m.say = append(m.say, answer{who.errand, a.Decision, a.Epoch, a.Age, a.Receipt, a.MayHaveForgotten, a.PreviousOwner})
			return len(m.say) < mostOut
		})
	}
}

func (d *Coordinator) handle(item any) {
	switch x := item.(type) {
	case asking:
		d.begin(&x)
	case listing:
		x.list <- d.register.List(d.o.Clock(), mostListed)
	case settled:
		if e := d.works[x.id]; e != nil {
			delete(d.works, x.id)
			d.settle(e, x.outcome, x.receipt)
		}
	case *letter:
		for _, a := range x.Asks {
			d.last++
			d.asked[d.last] = asker{to: x.From, errand: a.Errand}
			d.tell(takeover.ClaimRequest{RequestID: d.last, Write: a.Work, Owner: x.From, Rank: a.Rank, Epoch: a.Number, Age: a.Age, Retry: a.Retry})
		}
		for _, s := range x.Settles {
			d.tell(takeover.Completion{ID: s.ID, Digest: s.Digest, Owner: x.From, Epoch: s.Number, Outcome: s.Outcome, Receipt: s.Receipt})
		}
		for _, a := range x.Answers {
			if e := d.errands[a.Errand]; e != nil {
				d.heard(e, x.From.Name, takeover.ClaimResponse{Decision: a.Word, Epoch: a.Number, Age: a.Age, Receipt: a.Receipt, MayHaveForgotten: a.Young, PreviousOwner: a.Was})
			}
		}
	}
}

// others are the holders of a work beside this proxy: the first ones of its order that live; and those before them that
// are gone, which might know more.
func (d *Coordinator) others(id string) (list []*member, gone []string) {
	for _, m := range d.ordered(id) {
		switch {
		case len(list) >= d.o.Replicas:
			return list, gone
		case d.gone[m.Owner]:
			gone = append(gone, m.Name)
		default:
			list = append(list, m)
		}
	}
	return list, gone
}

func (d *Coordinator) ordered(id string) (list []*member) {
	var places []takeover.Candidate
	for _, m := range d.members {
		places = append(places, m.Candidate)
	}
	for _, p := range takeover.RankHolders(id, places) {
		list = append(list, d.members[p.Name])
	}
	return list
}

// begin asks for a write of a client's: the own register first.
func (d *Coordinator) begin(x *asking) {
	d.count(func(c *Counts) { c.Claims++ })
	kind := takeover.FirstAttempt
	if x.retry {
		kind = takeover.ClientRetry
	}
	now := d.o.Clock()
	d.last++
	e := &errand{number: d.last, core: x.id, work: x.work, kind: kind, waits: make(map[string]time.Duration), late: now + time.Until(x.expires) - beforeLate}
	list, gone := d.others(x.work.ID)
	e.Claim = *takeover.NewClaim(takeover.DefaultParameters, x.work.DedupWindow, now, len(list), d.options(), kind)
	for _, name := range gone {
		e.ReplaceHolder(name)
	}
	for _, m := range list {
		e.holders = append(e.holders, m.Owner)
	}
	d.errands[e.number] = e
	d.asked[e.number] = asker{errand: e.number, own: true}
	d.decide(e) // where there are no others
	if d.errands[e.number] == e {
		d.tell(takeover.ClaimRequest{RequestID: e.number, Write: x.work, Owner: d.o.Self, Rank: len(list), Retry: x.retry})
	}
}

func (d *Coordinator) options() takeover.Options {
	return takeover.Options{Replicas: d.o.Replicas, RequireReplica: d.o.RequireReplica}
}

// heard takes a holder's answer to an errand.
func (d *Coordinator) heard(e *errand, holder string, a takeover.ClaimResponse) {
	if a.Decision == takeover.InProgress {
		d.count(func(c *Counts) { c.InProgress++ })
	}
	if holder != d.o.Self.Name {
		if _, waits := e.waits[holder]; !waits && !e.IsInProgress() {
			return // it was missed already
		}
	}
	delete(e.waits, holder)
	if at, ok := d.away[holder]; ok && a.Decision == takeover.Granted && a.Age == 0 && d.o.Clock()-at < takeover.DefaultParameters.RecoveryPeriod {
		a.MayHaveForgotten = true // it was passed over while it was away, whatever it knows of that
	}
	e.HandleResponse(holder, a)
	if holder == d.o.Self.Name && (a.Decision == takeover.Granted || a.Decision == takeover.WindowExpired) && !e.began {
		d.askOthers(e, 0, 0)
	}
	d.decide(e)
}

// askOthers asks the other holders, of which one that has ended meanwhile is missed.
func (d *Coordinator) askOthers(e *errand, number uint64, age time.Duration) {
	e.began = true
	e.asNumber, e.asAge = number, age
	for rank, o := range e.holders {
		m := d.members[o.Name]
		if m == nil || m.Owner != o || d.gone[o] {
			e.HolderGone(o.Name)
			continue
		}
		d.askOne(e, m, rank)
	}
}

func (d *Coordinator) askOne(e *errand, m *member, rank int) {
	e.waits[m.Name] = d.o.Clock() + answerTime
	m.push(func() bool {
		m.asks = append(m.asks, ask{e.number, e.work, rank, e.asNumber, e.asAge, e.kind != takeover.FirstAttempt})
		return len(m.asks) < mostOut
	})
}

// instead asks another proxy in place of a holder that has not answered in time: it may stand still, and be known to only
// later. It tells whether there is one.
func (d *Coordinator) instead(e *errand, holder string) bool {
	if len(e.holders) >= 2*d.o.Replicas+1 { // a few will do
		return false
	}
	for _, m := range d.ordered(e.work.ID) {
		if !slices.Contains(e.holders, m.Owner) && !d.gone[m.Owner] {
			e.ReplaceHolder(holder)
			e.holders = append(e.holders, m.Owner)
			d.askOne(e, m, len(e.holders)-1)
			return true
		}
	}
	return false
}

// decide does what follows once an errand's verdict stands.
func (d *Coordinator) decide(e *errand) {
	verdict, until := e.Verdict()
	if verdict == takeover.Undecided || d.errands[e.number] != e {
		return
	}
	delete(d.errands, e.number)
	delete(d.asked, e.number)
	if e.core == 0 {
		d.decideTaken(e, verdict, until)
		return
	}
	within := until - d.o.Clock()
	wanted := true
	if verdict == takeover.ProceedUnreplicated { // who knows of it, were it the own register alone, is to hear what came of it
		within = takeover.DefaultParameters.PermissionDuration
	}
	if verdict == takeover.Proceed || verdict == takeover.ProceedUnreplicated {
		e.grant = max(e.Epoch(), 1)
		d.works[e.core] = e
		if wanted = d.core.ClaimDecided(e.core, takeover.Proceed, within, ""); !wanted {
			delete(d.works, e.core)
		}
	} else {
		d.core.ClaimDecided(e.core, verdict, 0, e.Receipt())
	}
	d.count(func(c *Counts) {
		switch verdict {
		case takeover.Proceed:
			c.Proceeded++
		case takeover.ReturnReceipt:
			c.Served++
		case takeover.OutcomeUnknown:
			c.OutcomeUnknown++
		case takeover.ProceedUnreplicated:
			c.Unreplicated++
		default:
			c.Rejected++
		}
	})
	switch {
	case verdict == takeover.ReturnReceipt:
		e.grant = e.Epoch()
		d.settle(e, takeover.Served, e.Receipt())
	case verdict != takeover.Proceed && verdict != takeover.ProceedUnreplicated && verdict != takeover.KeyConflict || !wanted: // this owner sends nothing
		e.grant = max(e.Epoch(), 1)
		outcome := takeover.NotExecuted
		if verdict == takeover.OutcomeUnknown { // and stays so: who asks again later is not to find those that may have forgotten grown old
			outcome = takeover.Unknown
		}
		d.settle(e, outcome, "")
	}
}

// settle tells all holders what came of a work, this proxy's own register first.
func (d *Coordinator) settle(e *errand, outcome takeover.Outcome, receipt string) {
	d.tell(takeover.Completion{ID: e.work.ID, Digest: e.work.Digest, Owner: d.o.Self, Epoch: e.grant, Outcome: outcome, Receipt: receipt})
	for _, o := range e.holders {
		if m := d.members[o.Name]; m != nil && m.Owner == o {
			m.push(func() bool {
				m.tell = append(m.tell, settle{e.work.ID, e.work.Digest, e.grant, outcome, receipt})
				return len(m.tell) < 4*mostOut
			})
		}
	}
}

// takeOver begins to go on with a lost work: the other holders are heard before anything is sent.
func (d *Coordinator) takeOver(a takeover.TakeOver) {
	now := d.o.Clock()
	list, gone := d.others(a.Write.ID)
	d.last++
	e := &errand{number: d.last, work: a.Write, kind: takeover.TakenOver, grant: a.Epoch, waits: make(map[string]time.Duration), late: now + a.Write.DedupWindow}
	for _, m := range list {
		e.holders = append(e.holders, m.Owner)
	}
	e.Claim = *takeover.NewClaim(takeover.DefaultParameters, a.Write.DedupWindow, now, len(list), d.options(), takeover.TakenOver)
	for _, name := range gone {
		e.ReplaceHolder(name)
	}
	d.errands[e.number] = e
	e.HandleResponse(d.o.Self.Name, takeover.ClaimResponse{Decision: takeover.Granted, Epoch: a.Epoch, Age: a.Age, PreviousOwner: a.PreviousOwner})
	d.askOthers(e, a.Epoch, a.Age)
	d.decide(e)
}

// decideTaken goes on with a work that was taken over, or settles it.
func (d *Coordinator) decideTaken(e *errand, verdict takeover.Verdict, until time.Duration) {
	outcome := takeover.Unknown
	switch verdict {
	case takeover.Proceed:
		var t text
		d.taken++
		if cbor.Unmarshal(e.work.Payload, &t) != nil {
			break
		}
		in := &request.Request{Verb: request.Set, Key: t.Key, ID: fmt.Sprintf("%s.%x.%d", d.o.Self.Name, d.o.Self.Incarnation, d.taken), Value: t.Value, Class: t.Class,
			Tenant: t.Tenant, IdempotencyKey: t.Idempotency, Timeout: -1, Retry: true, Flags: t.Flags}
		if id, ok := d.core.ResumeWrite(in, until-d.o.Clock()); ok {
			e.core = id
			d.works[id] = e
			d.count(func(c *Counts) { c.TakenOver++ })
			d.o.Log.Info("work taken over", "key", t.Key, "k", t.Idempotency, "left", until-d.o.Clock())
			return
		}
	case takeover.ReturnReceipt:
		outcome = takeover.Served
	}
	if outcome == takeover.Unknown {
		d.count(func(c *Counts) { c.Abandoned++ })
		d.o.Log.Warn("work unknown", "id", e.work.ID, "verdict", int(verdict))
	}
	d.settle(e, outcome, e.Receipt())
}

// tick lets time pass: for the register, for holders that say nothing, and for clients whose time is over.
func (d *Coordinator) tick() {
	now := d.o.Clock()
	if now-d.looked >= stoodTime { // what the others said meanwhile may be lost
		d.tell(takeover.Rejoined{})
	}
	d.looked = now
	d.tell(takeover.Tick{})
	for _, e := range d.errands {
		for holder, until := range e.waits {
			if now >= until {
				delete(e.waits, holder)
				d.count(func(c *Counts) { c.HolderTimeouts++ })
				if !d.instead(e, holder) {
					e.HolderTimedOut(holder)
				}
			}
		}
		if now >= e.late {
			e.ClientTimedOut()
			d.tell(takeover.WaiterLeft{ID: e.work.ID, RequestID: e.number})
		}
		d.decide(e)
	}
}

// push changes what is to be told a member, and wakes its carrier. What has no room is dropped by the change itself.
func (m *member) push(change func() bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !change() {
		m.asks = m.asks[:min(len(m.asks), mostOut)]
		m.say = m.say[:min(len(m.say), mostOut)]
		m.tell = m.tell[:min(len(m.tell), 4*mostOut)]
	}
	select {
	case m.wake <- struct{}{}:
	default:
	}
}

// carry takes what is to be told a member to it, as much as there is at a time. Outcomes are told until they are heard, or
// for settleTime; the rest makes up for its loss by itself.
func (d *Coordinator) carry(ctx context.Context, m *member) {
	var since time.Time // that outcomes can't be told
	for {
		m.mu.Lock()
		l := letter{Header: rpc.NewHeader(d.o.Fleet), From: d.o.Self, To: m.Owner}
		l.Asks, m.asks = cut(m.asks)
		l.Answers, m.say = cut(m.say)
		l.Settles, m.tell = cut(m.tell)
		m.mu.Unlock()
		parts := len(l.Asks) + len(l.Answers) + len(l.Settles)
		if parts == 0 {
			select {
			case <-ctx.Done():
				return
			case <-m.wake:
			}
			continue
		}
		d.count(func(c *Counts) { c.Messages, c.MessageItems = c.Messages+1, c.MessageItems+parts })
		if err := rpc.Post(ctx, d.http, m.address, path, l, nil); err == nil {
			since = time.Time{}
			continue
		}
		if ctx.Err() != nil {
			return
		}
		if since.IsZero() {
			since = time.Now()
		}
		if len(l.Settles) > 0 && time.Since(since) < settleTime {
			m.push(func() bool {
				m.tell = append(l.Settles, m.tell...)
				return len(m.tell) < 4*mostOut
			})
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(retryPause):
		}
	}
}

// cut takes what one letter holds from a list.
func cut[T any](list []T) (now, later []T) {
	n := min(len(list), mostLetter)
	return list[:n:n], list[n:]
}
