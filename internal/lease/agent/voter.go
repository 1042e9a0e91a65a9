// Package agent carries out what packages lease and quorum decide, in real processes: voters with a disk and links
// to one another, and holders that ask them. Nothing that serves requests waits for it.
package agent

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"
	"go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"

	"mulleinpier/internal/clock"
	"mulleinpier/internal/lease"
	"mulleinpier/internal/lease/quorum"
	"mulleinpier/internal/store"
)

// Version of what processes say to one another. One that says another is told so and not understood.
const Version = 1

// Bounds of links.
const (
	mostBody    = 1 << 20
	mostQueued  = 256 // messages to another voter; any more are lost, which the library makes up for
	mostAsking  = 1024
	linkTime    = 500 * time.Millisecond
	idleTime    = 30 * time.Second
	mostVoters  = 7
	leastVoters = 1
)

// Fleet names the voters, in an order that all have in common.
type Fleet struct {
	Name   string
	Voters []Peer
}

// Peer is a voter's name and address.
type Peer struct{ Name, Address string }

// Check tells what is wrong with a fleet.
func (f *Fleet) Check() error {
	if f.Name == "" || len(f.Name) > lease.MostName || len(f.Voters) < leastVoters || len(f.Voters) > mostVoters {
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
	return uint64(slices.IndexFunc(f.Voters, func(p Peer) bool { return p.Name == name }) + 1)
}

// now is the leases' clock: it counts the machine's sleep.
func now() time.Duration { return time.Since(begun) + clock.Ahead() }

var begun = time.Now()

// The names of what a voter remembers.
const (
	headHard     = "hard"
	headSnapshot = "snapshot"
	headFleet    = "fleet"
)

// Init makes a voter's memory, once in its life: who loses it may not vote again under the same name, as it may have
// promised what it has forgotten.
func Init(path string, f *Fleet) error {
	if err := f.Check(); err != nil {
		return err
	}
	var ids []uint64
	for i := range f.Voters {
		ids = append(ids, uint64(i+1))
	}
	first, err := quorum.First(ids)
	if err != nil {
		return err
	}
	c, err := change(first)
	if err != nil {
		return err
	}
	c.Heads[headFleet] = []byte(f.Name)
	return store.Create(path, c)
}

// change says what is to be saved as the store has it.
func change(s quorum.Saved) (c store.Change, err error) {
	c.Heads = make(map[string][]byte)
	if s.Hard != nil {
		if c.Heads[headHard], err = proto.Marshal(s.Hard); err != nil {
			return c, err
		}
	}
	if s.Snapshot != nil {
		if c.Heads[headSnapshot], err = proto.Marshal(s.Snapshot); err != nil {
			return c, err
		}
		c.From = 1 // all that was before it
	}
	for _, e := range s.Entries {
		data, err := proto.Marshal(e)
		if err != nil {
			return c, err
		}
		if c.From == 0 {
			c.From = e.GetIndex()
		}
		c.Records = append(c.Records, store.Record{Number: e.GetIndex(), Data: data})
	}
	return c, nil
}

// remember reads what a voter has saved.
func remember(l *store.Log, fleet string) (s quorum.Saved, err error) {
	heads, records, err := l.Load()
	if err != nil {
		return s, err
	}
	if got := string(heads[headFleet]); got != fleet {
		return s, fmt.Errorf("leases: it is the memory of fleet %q, not of %q", got, fleet)
	}
	s.Hard, s.Snapshot = new(raftpb.HardState), new(raftpb.Snapshot)
	if err := errors.Join(proto.Unmarshal(heads[headHard], s.Hard), proto.Unmarshal(heads[headSnapshot], s.Snapshot)); err != nil {
		return s, err
	}
	for _, r := range records {
		e := new(raftpb.Entry)
		if err := proto.Unmarshal(r.Data, e); err != nil {
			return s, err
		}
		if e.GetIndex() > s.Snapshot.GetMetadata().GetIndex() {
			s.Entries = append(s.Entries, e)
		}
	}
	return s, nil
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
	looks   chan chan State
	links   map[uint64]chan []byte
	waiting map[uint64]chan<- quorum.Answer // by tag; of Run's goroutine
	tag     uint64
	client  *http.Client
	// sync, if set, stands before each save; it is for tests of disks that fail.
	sync func() error
}

type asked struct {
	command lease.Command
	number  uint64
	answer  chan<- quorum.Answer
}

// State is what a voter tells those who look.
type State struct {
	Voter  string             `json:"voter"`
	Leader string             `json:"leader"` // "" for none that it knows
	Leads  bool               `json:"leads"`
	Book   *lease.Book        `json:"book"`
	Left   map[uint64]float64 `json:"left_s"` // by number, known to the leader
}

// Open opens a voter's memory. Without one there is no voter, and the error is [store.ErrNone].
func Open(path string, f Fleet, name string, log *slog.Logger) (*Voter, error) {
	if err := f.Check(); err != nil {
		return nil, err
	}
	id := f.number(name)
	if id == 0 {
		return nil, fmt.Errorf("leases: %q is none of the voters", name)
	}
	l, err := store.Open(path)
	if err != nil {
		return nil, err
	}
	saved, err := remember(l, f.Name)
	if err == nil {
		v := &Voter{fleet: f, name: name, log: log, store: l, events: make(chan quorum.Event, 256), asks: make(chan asked, mostAsking), looks: make(chan chan State, 16),
			links: make(map[uint64]chan []byte), waiting: make(map[uint64]chan<- quorum.Answer)}
		v.client = &http.Client{Timeout: linkTime, Transport: &http.Transport{MaxIdleConnsPerHost: 2, MaxConnsPerHost: 4, IdleConnTimeout: idleTime}}
		if v.replica, err = quorum.New(id, rand.Uint64()|1, saved, lease.Usual, true); err == nil {
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
	server := &http.Server{Handler: mux, ReadHeaderTimeout: time.Second, ReadTimeout: 2 * time.Second, WriteTimeout: 3 * time.Second, IdleTimeout: idleTime,
		MaxHeaderBytes: 8 << 10, ErrorLog: slog.NewLogLogger(slog.DiscardHandler, slog.LevelError)}
	tasks.Go(func() { server.Serve(listener) })
	for i, p := range v.fleet.Voters {
		if p.Name != v.name {
			queue := make(chan []byte, mostQueued)
			v.links[uint64(i+1)] = queue
			tasks.Go(func() { v.carry(ctx, p, queue) })
		}
	}
	v.loop(ctx)
	server.Close()
	tasks.Wait()
	v.client.CloseIdleConnections()
	v.store.Close()
}

// loop is the one goroutine that the replica belongs to.
func (v *Voter) loop(ctx context.Context) {
	tick := time.NewTicker(quorum.Tick)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
			v.handle(quorum.Pass{})
		case e := <-v.events:
			v.handle(e)
		case a := <-v.asks:
			v.tag++
			v.waiting[v.tag] = a.answer
			v.handle(quorum.Asked{Tag: v.tag, Command: a.command, Number: a.number})
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
				if err := v.save(a.Saved); err != nil {
					event = quorum.Failed{Err: err}
				} else {
					event = quorum.Done{}
				}
			case quorum.Cut:
				c, err := change(quorum.Saved{Snapshot: a.Snapshot})
				if c.From, c.Through = 0, a.Snapshot.GetMetadata().GetIndex(); err == nil {
					err = v.store.Save(c)
				}
				if err != nil {
					v.log.Warn("leases: the log was not cut", "error", err)
				}
			case quorum.Send:
				for _, m := range a.Messages {
					v.post(m)
				}
			case quorum.Answer:
				if answer := v.waiting[a.Tag]; answer != nil {
					delete(v.waiting, a.Tag)
					answer <- a
				}
			case quorum.Leading:
				v.log.Info("leases: this voter leads", "now", a.Now)
			case quorum.Down:
				v.log.Error("leases: this voter stands down; serving goes on", "error", a.Err)
			}
		}
	}
}

func (v *Voter) save(s quorum.Saved) error {
	if v.sync != nil {
		if err := v.sync(); err != nil {
			return err
		}
	}
	c, err := change(s)
	if err == nil {
		err = v.store.Save(c)
	}
	return err
}

func (v *Voter) post(m *raftpb.Message) {
	text, err := quorum.Encode(m)
	if err != nil {
		return
	}
	select {
	case v.links[m.GetTo()] <- text:
	default: // none of that number, or it takes too little
	}
}

// letter is what voters send one another.
type letter struct {
	Version  int      `cbor:"1,keyasint"`
	Fleet    string   `cbor:"2,keyasint"`
	Messages [][]byte `cbor:"3,keyasint"`
}

// carry takes what is queued for another voter to it, as much as there is at a time.
func (v *Voter) carry(ctx context.Context, to Peer, queue <-chan []byte) {
	for {
		l := letter{Version: Version, Fleet: v.fleet.Name}
		select {
		case <-ctx.Done():
			return
		case text := <-queue:
			l.Messages = append(l.Messages, text)
		}
		for size := len(l.Messages[0]); len(queue) > 0 && size < mostBody/4; {
			text := <-queue
			l.Messages, size = append(l.Messages, text), size+len(text)
		}
		body, err := cbor.Marshal(l)
		if err != nil {
			continue
		}
		post(ctx, v.client, to.Address, "/v1/raft", body) // what is lost is sent again by the library
	}
}

// post sends a body and returns what comes.
func post(ctx context.Context, client *http.Client, address, path string, body []byte) ([]byte, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+path, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	response, err := client.Do(request)
	if err != nil {
		return nil, err
	}
	defer response.Body.Close()
	text, err := io.ReadAll(io.LimitReader(response.Body, mostBody))
	if err == nil && response.StatusCode != http.StatusOK {
		err = fmt.Errorf("leases: %s: %s", response.Status, bytes.TrimSpace(text))
	}
	return text, err
}

// read takes a body of ours, or says why it is none.
func read(w http.ResponseWriter, r *http.Request, into any, version *int, fleet *string, want string) bool {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, mostBody))
	if err == nil {
		err = cbor.Unmarshal(body, into)
	}
	switch {
	case err != nil:
		http.Error(w, "bad body", http.StatusBadRequest)
	case *version != Version:
		http.Error(w, fmt.Sprintf("version %d, this one speaks %d", *version, Version), http.StatusConflict)
	case *fleet != want:
		http.Error(w, fmt.Sprintf("fleet %q, this one is %q", *fleet, want), http.StatusForbidden)
	default:
		return true
	}
	return false
}

func (v *Voter) takeMessages(w http.ResponseWriter, r *http.Request) {
	var l letter
	if !read(w, r, &l, &l.Version, &l.Fleet, v.fleet.Name) {
		return
	}
	for _, text := range l.Messages {
		m, err := quorum.Decode(text)
		if err != nil {
			http.Error(w, "bad message", http.StatusBadRequest)
			return
		}
		select {
		case v.events <- quorum.Heard{Message: m}:
		case <-r.Context().Done():
			return
		}
	}
}

// Request and Reply are what holders and voters say to each other.
type Request struct {
	Version int           `cbor:"1,keyasint"`
	Fleet   string        `cbor:"2,keyasint"`
	Command lease.Command `cbor:"3,keyasint"`
	Number  uint64        `cbor:"4,keyasint,omitempty"`
}

// Reply answers a Request.
type Reply struct {
	Outcome lease.Outcome `cbor:"1,keyasint"`
	Number  uint64        `cbor:"2,keyasint,omitempty"`
	Error   string        `cbor:"3,keyasint,omitempty"`
	Leader  string        `cbor:"4,keyasint,omitempty"`
}

func (v *Voter) takeRequest(w http.ResponseWriter, r *http.Request) {
	var in Request
	if !read(w, r, &in, &in.Version, &in.Fleet, v.fleet.Name) {
		return
	}
	answer := make(chan quorum.Answer, 1)
	out := Reply{}
	select {
	case v.asks <- asked{in.Command, in.Number, answer}:
		select {
		case a := <-answer:
			out.Outcome, out.Number = a.Outcome, a.Number
			if a.Err != nil {
				out.Error = a.Err.Error()
			}
		case <-r.Context().Done():
			return
		}
	default: // too many ask at a time
	}
	if out.Outcome == lease.Unheard {
		if s, ok := v.look(r.Context()); ok {
			out.Leader = s.Leader
		}
	}
	text, err := cbor.Marshal(out)
	if err == nil {
		w.Write(text)
	}
}

// look asks the loop for its state.
func (v *Voter) look(ctx context.Context) (State, bool) {
	look := make(chan State, 1)
	select {
	case v.looks <- look:
	case <-ctx.Done():
		return State{}, false
	}
	select {
	case s := <-look:
		return s, true
	case <-ctx.Done():
		return State{}, false
	}
}

// Close gives up a voter that was never run.
func (v *Voter) Close() error { return v.store.Close() }
