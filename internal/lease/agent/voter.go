// Package agent carries out what packages lease and quorum decide, in real processes: voters with a disk and links
// to one another, and holders that ask them. Nothing that serves requests waits for it.
package agent

import (
	"context"
	"encoding/binary"
	"errors"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"

	"mulleinpier/internal/clock"
	"mulleinpier/internal/lease"
	"mulleinpier/internal/lease/quorum"
	"mulleinpier/internal/peer"
	"mulleinpier/internal/peer/rpc"
	"mulleinpier/internal/peer/transport"
	"mulleinpier/internal/store"
)

// Bounds of links.
const (
	mostQueued  = 256 // messages to another voter; any more are lost, which the library makes up for
	mostAsking  = 1024
	mostParked  = 4096
	longestPark = 250 * time.Millisecond // that one who waits is kept without an answer
	mostVoters  = 7
	leastVoters = 1
	mostSeated  = 64
)

// Fleet names the voters, in an order that all have in common.
type Fleet struct {
	Name   string
	Voters []VoterAddress
}

// VoterAddress is a voter's name and address.
type VoterAddress struct{ Name, Address string }

// Validate tells what is wrong with a fleet.
func (f *Fleet) Validate() error {
	if f.Name == "" || len(f.Name) > lease.MaxNameBytes || len(f.Voters) < leastVoters || len(f.Voters) > mostVoters {
		return fmt.Errorf("leases: want a fleet's name and %d to %d voters", leastVoters, mostVoters)
	}
	seen := make(map[string]bool)
	for _, v := range f.Voters {
		if _, _, err := net.SplitHostPort(v.Address); err != nil || v.Name == "" || seen[v.Name] {
			return fmt.Errorf("leases: voter %q at %q cannot be: want a name of its own and HOST:PORT", v.Name, v.Address)
		}
		seen[v.Name] = true
	}
	return nil
}

// number is a voter's among the others, from 1; 0 for none.
func (f *Fleet) number(name string) uint64 {
	return uint64(slices.IndexFunc(f.Voters, func(p VoterAddress) bool { return p.Name == name }) + 1)
}

// now is the leases' clock: it counts the machine's sleep.
func now() time.Duration {
	if c := rehearsed.Load(); c != nil {
		return time.Since(begun) + (*c)()
	}
	return time.Since(begun) + clock.TotalSleep()
}

// Now is the leases' clock, for those who count beside them.
func Now() time.Duration { return now() }

// OverrideClockOffset has the clock that counts sleep be another, for rehearsals. It is for the start of a process.
func OverrideClockOffset(ahead func() time.Duration) { rehearsed.Store(&ahead) }

var (
	begun     = time.Now()
	rehearsed atomic.Pointer[func() time.Duration]
)

// The names of what a voter remembers.
const (
	headHard     = "hard"
	headSnapshot = "snapshot"
	headFleet    = "fleet"
	headSeat     = "seat" // of one that joined later; the first ones find theirs in the book
)

// InitVoter makes the memory of one of a fleet's first voters, once in its life: who loses it may not vote again under the
// same seat, as it may have promised what it has forgotten.
func InitVoter(path string, f *Fleet) error {
	if err := f.Validate(); err != nil {
		return err
	}
	var names []string
	for _, v := range f.Voters {
		names = append(names, v.Name)
	}
	first, err := quorum.InitialState(names...)
	if err != nil {
		return err
	}
	return create(path, f, first, 0)
}

// InitJoiningVoter makes the memory of a voter that has been enrolled under a new seat.
func InitJoiningVoter(path string, f *Fleet, seat uint64) error {
	if err := f.Validate(); err != nil {
		return err
	}
	first, err := quorum.JoiningState()
	if err != nil {
		return err
	}
	return create(path, f, first, seat)
}

func create(path string, f *Fleet, first quorum.PersistentState, seat uint64) error {
	c, err := change(first)
	if err != nil {
		return err
	}
	c.Named[headFleet] = []byte(f.Name)
	if seat > 0 {
		c.Named[headSeat] = binary.BigEndian.AppendUint64(nil, seat)
	}
	return store.Create(path, c)
}

// change says what is to be saved as the store has it.
func change(s quorum.PersistentState) (c store.Change, err error) {
	c.Named = make(map[string][]byte)
	if s.HardState != nil {
		if c.Named[headHard], err = proto.Marshal(s.HardState); err != nil {
			return c, err
		}
	}
	if s.Snapshot != nil {
		if c.Named[headSnapshot], err = proto.Marshal(s.Snapshot); err != nil {
			return c, err
		}
		c.DropFrom = 1 // all that was before it
	}
	for _, e := range s.Entries {
		data, err := proto.Marshal(e)
		if err != nil {
			return c, err
		}
		if c.DropFrom == 0 {
			c.DropFrom = e.GetIndex()
		}
		c.Records = append(c.Records, store.Record{Index: e.GetIndex(), Data: data})
	}
	return c, nil
}

// remember reads what a voter has saved, and its seat if it joined later.
func remember(l *store.Log, fleet string) (s quorum.PersistentState, seat uint64, err error) {
	heads, records, err := l.Load()
	if err != nil {
		return s, 0, err
	}
	if text := heads[headSeat]; len(text) == 8 {
		seat = binary.BigEndian.Uint64(text)
	}
	if got := string(heads[headFleet]); got != fleet {
		return s, 0, fmt.Errorf("leases: it is the memory of fleet %q, not of %q", got, fleet)
	}
	s.HardState, s.Snapshot = new(raftpb.HardState), new(raftpb.Snapshot)
	if err := errors.Join(proto.Unmarshal(heads[headHard], s.HardState), proto.Unmarshal(heads[headSnapshot], s.Snapshot)); err != nil {
		return s, 0, err
	}
	for _, r := range records {
		e := new(raftpb.Entry)
		if err := proto.Unmarshal(r.Data, e); err != nil {
			return s, 0, err
		}
		if e.GetIndex() > s.Snapshot.GetMetadata().GetIndex() {
			s.Entries = append(s.Entries, e)
		}
	}
	return s, seat, nil
}

// Voter is a voter at work.
type Voter struct {
	fleet   Fleet
	name    string
	log     *slog.Logger
	store   *store.Log
	replica *quorum.Replica
	events  chan quorum.Event
	asks    chan asked
	looks   chan chan VoterState
	links   map[string]chan []byte // by name
	waiting map[uint64]asked       // by tag; of Run's goroutine
	parked  map[waiter]parked      // those who wait for their turn; of Run's goroutine
	tag     uint64
	seat    uint64
	down    error // once it has stood down; of Run's goroutine
	saves   int   // made to last so far; of Run's goroutine
	client  *http.Client
	station *transport.Server

	mu     sync.Mutex
	seated map[uint64]string // who has said to sit where
	// sync, if set, stands before each save; it is for tests of disks that fail.
	sync func() error
}

type asked struct {
	command lease.Command
	number  uint64
	answer  chan<- quorum.Response
}

// waiter is one who waits for a task, by its own name for that.
type waiter struct {
	task, holder string
	nonce        uint64
}

// parked is the answer that one who waits has not been given yet: it hears at once when its turn comes.
type parked struct {
	answer chan<- quorum.Response
	until  time.Duration
}

// VoterState is what a voter tells those who look.
type VoterState struct {
	Voter        string              `json:"voter"`
	VoterID      uint64              `json:"seat"`
	Leader       string              `json:"leader"` // "" for none that it knows
	IsLeader     bool                `json:"leads"`
	HaltReason   string              `json:"down,omitempty"` // why it votes no more
	StateMachine *lease.StateMachine `json:"book"`
	SecondsLeft  map[uint64]float64  `json:"left_s"`  // by number, known to the leader
	Members      []peer.MemberState  `json:"members"` // as this voter sees them
	Traffic      rpc.Traffic         `json:"traffic"` // of its process
	DiskSyncs    int                 `json:"saves"`   // syncs of its disk
}

// Open opens a voter's memory. Without one there is no voter, and the error is [store.ErrNotFound].
func Open(path string, f Fleet, name string, log *slog.Logger) (*Voter, error) {
	if err := f.Validate(); err != nil {
		return nil, err
	}
	if f.number(name) == 0 {
		return nil, fmt.Errorf("leases: %q is none of the voters", name)
	}
	l, err := store.Open(path)
	if err != nil {
		return nil, err
	}
	saved, seat, err := remember(l, f.Name)
	if err == nil && seat == 0 {
		if seat, err = quorum.VoterIDOf(saved, name); err == nil && seat == 0 {
			err = fmt.Errorf("leases: it is the memory of voters of whom %q was none", name)
		}
	}
	if err == nil {
		v := &Voter{fleet: f, name: name, log: log, store: l, events: make(chan quorum.Event, 256), asks: make(chan asked, mostAsking), looks: make(chan chan VoterState, 16),
			links: make(map[string]chan []byte), waiting: make(map[uint64]asked), parked: make(map[waiter]parked), seat: seat, seated: make(map[uint64]string),
			station: transport.NewServer(f.Name, now)}
		v.client = &http.Client{Timeout: rpc.ExchangeTimeout, Transport: &http.Transport{MaxIdleConnsPerHost: 2, MaxConnsPerHost: 4, IdleConnTimeout: rpc.IdleTimeout}}
		if v.replica, err = quorum.New(seat, rand.Uint64()|1, saved, lease.DefaultParameters, true); err == nil {
			return v, nil
		}
	}
	return nil, errors.Join(err, l.Close())
}

// Run keeps the voter at work until ctx ends, on a listener of its own.
func (v *Voter) Run(ctx context.Context, listener net.Listener) {
	var tasks sync.WaitGroup
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/raft", v.takeMessages)
	mux.HandleFunc("POST /v1/lease", v.takeRequest)
	mux.HandleFunc("GET /v1/book", v.showBook)
	mux.Handle("POST "+transport.HeartbeatPath, v.station)
	server := &http.Server{Handler: mux, ReadHeaderTimeout: time.Second, ReadTimeout: 2 * time.Second, WriteTimeout: 3 * time.Second, IdleTimeout: rpc.IdleTimeout,
		MaxHeaderBytes: 8 << 10, ErrorLog: slog.NewLogLogger(slog.DiscardHandler, slog.LevelError), ConnContext: v.station.ConnContext, ConnState: v.station.ConnState}
	for _, p := range v.fleet.Voters {
		if p.Name != v.name {
			queue := make(chan []byte, mostQueued)
			v.links[p.Name] = queue
			tasks.Go(func() { v.carry(ctx, p, queue) })
		}
	}
	tasks.Go(func() { server.Serve(listener) })
	tasks.Go(func() { v.station.Run(ctx) })
	v.loop(ctx)
	v.station.Stop()
	server.Close()
	tasks.Wait()
	v.client.CloseIdleConnections()
	v.store.Close()
}

// loop is the one goroutine that the replica belongs to.
func (v *Voter) loop(ctx context.Context) {
	tick := time.NewTicker(quorum.TickInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
			v.handle(quorum.Tick{})
			v.unpark()
		case e := <-v.events:
			v.handle(e)
		case a := <-v.asks:
			v.tag++
			v.waiting[v.tag] = a
			v.handle(quorum.RequestReceived{RequestID: v.tag, Command: a.command, Token: a.number})
		case look := <-v.looks:
			look <- v.state()
		}
	}
}

// handle has the replica take an event and does what it asks, and what follows from a save.
func (v *Voter) handle(event quorum.Event) {
	for event != nil {
		actions := v.replica.Handle(now(), event)
		event = nil
		for _, a := range actions {
			switch a := a.(type) {
			case quorum.Save:
				if err := v.save(a.State); err != nil {
					event = quorum.SaveFailed{Err: err}
				} else {
					event = quorum.SaveCompleted{}
				}
			case quorum.CompactLog:
				c, err := change(quorum.PersistentState{Snapshot: a.Snapshot})
				if c.DropFrom, c.DropThrough = 0, a.Snapshot.GetMetadata().GetIndex(); err == nil {
					err = v.store.Save(c)
				}
				if err != nil {
					v.log.Warn("leases: the log was not cut", "error", err)
				}
			case quorum.Send:
				for _, m := range a.Messages {
					v.post(m)
				}
			case quorum.Response:
				if w, ok := v.waiting[a.RequestID]; ok {
					delete(v.waiting, a.RequestID)
					v.answer(w, a)
				}
			case quorum.WaitersGranted:
				for _, g := range a.Grants {
					w := waiter{a.Task, g.Holder, g.Nonce}
					if p, ok := v.parked[w]; ok {
						delete(v.parked, w)
						p.answer <- quorum.Response{Outcome: lease.Granted, Token: g.Token}
					}
				}
			case quorum.LeadershipChanged:
				if !a.IsLeader {
					for w, p := range v.parked {
						delete(v.parked, w)
						p.answer <- quorum.Response{}
					}
				}
				v.log.Info("leases: this voter leads", "now", a.IsLeader)
			case quorum.Halted:
				v.down = a.Err
				v.log.Error("leases: this voter stands down; serving goes on", "error", a.Err)
			}
		}
	}
}

// answer ends a request, or parks it: who waits for its turn hears of it as it comes. It counts its time from when it
// asked, which is before.
func (v *Voter) answer(a asked, answer quorum.Response) {
	c := &a.command
	if answer.Outcome != lease.Queued || c.Kind != lease.Acquire || len(v.parked) >= mostParked {
		a.answer <- answer
		return
	}
	w := waiter{c.Task, c.Holder, c.Nonce}
	if p, ok := v.parked[w]; ok { // it has asked again
		p.answer <- answer
	}
	v.parked[w] = parked{a.answer, now() + min(c.Duration/4, longestPark)}
}

// unpark tells those who have waited for long that they wait still.
func (v *Voter) unpark() {
	t := now()
	for w, p := range v.parked {
		if t >= p.until {
			delete(v.parked, w)
			p.answer <- quorum.Response{Outcome: lease.Queued}
		}
	}
}

func (v *Voter) save(s quorum.PersistentState) error {
	if v.sync != nil {
		if err := v.sync(); err != nil {
			return err
		}
	}
	c, err := change(s)
	if err == nil {
		v.saves++
		err = v.store.Save(c)
	}
	return err
}

func (v *Voter) post(m *raftpb.Message) {
	text, err := quorum.Encode(m)
	if err != nil {
		return
	}
	name := v.replica.StateMachine().Voters[m.GetTo()]
	if name == "" { // who has just joined knows of the others by what they say
		v.mu.Lock()
		name = v.seated[m.GetTo()]
		v.mu.Unlock()
	}
	select {
	case v.links[name] <- text:
	default: // none of that name, or it takes too little
	}
}

// letter is what voters send one another.
type letter struct {
	rpc.Header
	Messages [][]byte `cbor:"3,keyasint"`
	From     string   `cbor:"4,keyasint"`
	Seat     uint64   `cbor:"5,keyasint"`
}

// carry takes what is queued for another voter to it, as much as there is at a time.
func (v *Voter) carry(ctx context.Context, to VoterAddress, queue <-chan []byte) {
	for {
		l := letter{Header: rpc.NewHeader(v.fleet.Name), From: v.name, Seat: v.seat}
		select {
		case <-ctx.Done():
			return
		case text := <-queue:
			l.Messages = append(l.Messages, text)
		}
		for size := len(l.Messages[0]); len(queue) > 0 && size < rpc.MaxBodyBytes/4; {
			text := <-queue
			l.Messages, size = append(l.Messages, text), size+len(text)
		}
		rpc.Post(ctx, v.client, to.Address, "/v1/raft", l, nil) // what is lost is sent again by the library
	}
}

func (v *Voter) takeMessages(w http.ResponseWriter, r *http.Request) {
	var l letter
	if !rpc.ReadRequest(w, r, v.fleet.Name, &l) {
		return
	}
	if v.fleet.number(l.From) > 0 { // so they are bounded
		v.mu.Lock()
		if len(v.seated) >= mostSeated {
			clear(v.seated)
		}
		v.seated[l.Seat] = l.From
		v.mu.Unlock()
	}
	for _, text := range l.Messages {
		m, err := quorum.Decode(text)
		if err != nil {
			http.Error(w, "bad message", http.StatusBadRequest)
			return
		}
		select {
		case v.events <- quorum.MessageReceived{Message: m}:
		case <-r.Context().Done():
			return
		}
	}
}

// Request and Reply are what holders and voters say to each other.
type Request struct {
	rpc.Header
	Command lease.Command `cbor:"3,keyasint"`
	Token   uint64        `cbor:"4,keyasint,omitempty"`
}

// Reply answers a Request.
type Reply struct {
	Outcome lease.Outcome `cbor:"1,keyasint"`
	Token   uint64        `cbor:"2,keyasint,omitempty"`
	Error   string        `cbor:"3,keyasint,omitempty"`
	Leader  string        `cbor:"4,keyasint,omitempty"`
}

func (v *Voter) takeRequest(w http.ResponseWriter, r *http.Request) {
	var in Request
	if !rpc.ReadRequest(w, r, v.fleet.Name, &in) {
		return
	}
	answer := make(chan quorum.Response, 1)
	out := Reply{}
	select {
	case v.asks <- asked{in.Command, in.Token, answer}:
		select {
		case a := <-answer:
			out.Outcome, out.Token = a.Outcome, a.Token
			if a.Err != nil {
				out.Error = a.Err.Error()
			}
		case <-r.Context().Done():
			return
		}
	default: // too many ask at a time
	}
	if out.Outcome == lease.NoAnswer {
		if s, ok := v.look(r.Context()); ok {
			out.Leader = s.Leader
		}
	}
	rpc.WriteResponse(w, out)
}

// look asks the loop for its state.
func (v *Voter) look(ctx context.Context) (VoterState, bool) {
	look := make(chan VoterState, 1)
	select {
	case v.looks <- look:
	case <-ctx.Done():
		return VoterState{}, false
	}
	select {
	case s := <-look:
		return s, true
	case <-ctx.Done():
		return VoterState{}, false
	}
}

// Close gives up a voter that was never run.
func (v *Voter) Close() error { return v.store.Close() }
