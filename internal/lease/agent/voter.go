package agent

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"

	"mulleinpier/internal/lease"
	"mulleinpier/internal/lease/quorum"
	"mulleinpier/internal/peer/rpc"
	"mulleinpier/internal/peer/transport"
	"mulleinpier/internal/store"
)

// Sizes of the queues to a voter's loop.
const (
	maxQueuedEvents        = 256
	maxQueuedRequests      = 1024
	maxQueuedStateRequests = 16
)

const (
	// maxConnections limits the connections to each other voter.
	maxConnections = 4
	// writeTimeout is longer than the longest delay of a response to a heartbeat or a waiter.
	writeTimeout = 3 * time.Second
)

// Voter is one voter of a fleet's leases, with its file and its connections to the other voters.
type Voter struct {
	fleet      Fleet
	name       string
	id         uint64
	log        *slog.Logger
	store      *store.Log
	client     *http.Client
	heartbeats *transport.Server

	events        chan quorum.Event
	requests      chan pendingRequest
	stateRequests chan chan VoterState
	messageQueues map[string]chan []byte // encoded messages, by name of the receiving voter

	// The following fields are used only by the goroutine of loop.
	replica       *quorum.Replica
	pending       map[uint64]pendingRequest // by request ID
	lastRequestID uint64
	heldResponses map[waiterKey]heldResponse
	haltError     error // set once the replica has halted
	diskSyncs     int   // since the voter was opened

	mu      sync.Mutex
	senders map[uint64]string // names of the voters that have sent messages, by ID

	// beforeSave, if set, is called before each save; tests simulate failing disks with it.
	beforeSave func() error
}

// Open returns the voter whose state is in the file at path; [Voter.Run] or [Voter.Close] closes the file. If the file
// does not exist, the error is [store.ErrNotFound].
func Open(path string, f Fleet, name string, log *slog.Logger) (*Voter, error) {
	if err := f.Validate(); err != nil {
		return nil, err
	}
	if f.voterIndex(name) < 0 {
		return nil, fmt.Errorf("leases: %q is not among the fleet's voters", name)
	}
	l, err := store.Open(path)
	if err != nil {
		return nil, err
	}
	v, err := newVoter(l, f, name, log)
	if err != nil {
		return nil, errors.Join(err, l.Close())
	}
	return v, nil
}

func newVoter(l *store.Log, f Fleet, name string, log *slog.Logger) (*Voter, error) {
	saved, id, err := loadState(l, f.Name)
	if err != nil {
		return nil, err
	}
	if id == 0 {
		if id, err = quorum.VoterIDOf(saved, name); err != nil {
			return nil, err
		}
		if id == 0 {
			return nil, fmt.Errorf("leases: the file belongs to a fleet without a voter %q", name)
		}
	}
	incarnation := rand.Uint64() | 1
	replica, err := quorum.New(id, incarnation, saved, lease.DefaultParameters, quorum.AutomaticElections)
	if err != nil {
		return nil, err
	}
	return &Voter{
		fleet:         f,
		name:          name,
		id:            id,
		log:           log,
		store:         l,
		client:        rpc.NewClient(maxConnections),
		heartbeats:    transport.NewServer(f.Name, Now),
		events:        make(chan quorum.Event, maxQueuedEvents),
		requests:      make(chan pendingRequest, maxQueuedRequests),
		stateRequests: make(chan chan VoterState, maxQueuedStateRequests),
		messageQueues: make(map[string]chan []byte),
		replica:       replica,
		pending:       make(map[uint64]pendingRequest),
		heldResponses: make(map[waiterKey]heldResponse),
		senders:       make(map[uint64]string),
	}, nil
}

// Close closes the file of a voter that was never run.
func (v *Voter) Close() error { return v.store.Close() }

// Run runs the voter on a listener until ctx ends, and then closes the listener and the voter's file.
func (v *Voter) Run(ctx context.Context, listener net.Listener) {
	var goroutines sync.WaitGroup
	server := rpc.NewServer(v.handler(), writeTimeout)
	server.ConnContext = v.heartbeats.ConnContext
	server.ConnState = v.heartbeats.ConnState
	for _, to := range v.fleet.Voters {
		if to.Name != v.name {
			queue := make(chan []byte, maxQueuedMessages)
			v.messageQueues[to.Name] = queue
			goroutines.Go(func() { v.sendMessages(ctx, to, queue) })
		}
	}
	goroutines.Go(func() { server.Serve(listener) })
	goroutines.Go(func() { v.heartbeats.Run(ctx) })
	v.loop(ctx)
	v.heartbeats.Stop()
	server.Close()
	goroutines.Wait()
	v.client.CloseIdleConnections()
	v.store.Close()
}

// loop handles all events and requests, in the one goroutine that owns the replica.
func (v *Voter) loop(ctx context.Context) {
	ticker := time.NewTicker(quorum.TickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			v.handle(quorum.Tick{})
			v.releaseHeldResponses()
		case e := <-v.events:
			v.handle(e)
		case r := <-v.requests:
			v.lastRequestID++
			v.pending[v.lastRequestID] = r
			v.handle(quorum.RequestReceived{RequestID: v.lastRequestID, Command: r.command, Token: r.token})
		case reply := <-v.stateRequests:
			reply <- v.state()
		}
	}
}

// handle passes an event to the replica and carries out its actions. The result of a save is the next event.
func (v *Voter) handle(event quorum.Event) {
	for event != nil {
		actions := v.replica.Handle(Now(), event)
		event = nil
		for _, a := range actions {
			if next := v.perform(a); next != nil {
				event = next
			}
		}
	}
}

// perform carries out one action of the replica. It returns the result of a save as the next event, and nil for any
// other action.
func (v *Voter) perform(action quorum.Action) quorum.Event {
	switch a := action.(type) {
	case quorum.Save:
		if err := v.save(a.State); err != nil {
			return quorum.SaveFailed{Err: err}
		}
		return quorum.SaveCompleted{}
	case quorum.CompactLog:
		v.compactLog(a)
	case quorum.Send:
		for _, m := range a.Messages {
			v.queueMessage(m)
		}
	case quorum.Response:
		if r, ok := v.pending[a.RequestID]; ok {
			delete(v.pending, a.RequestID)
			v.respond(r, a)
		}
	case quorum.WaitersGranted:
		v.answerGranted(a)
	case quorum.LeadershipChanged:
		if !a.IsLeader {
			v.dropHeldResponses()
		}
		v.log.Info("lease leadership changed", "leader", a.IsLeader)
	case quorum.Halted:
		v.haltError = a.Err
		v.log.Error("voter halted", "error", a.Err)
	}
	return nil
}

func (v *Voter) save(s quorum.PersistentState) error {
	if v.beforeSave != nil {
		if err := v.beforeSave(); err != nil {
			return err
		}
	}
	c, err := storageChange(s)
	if err != nil {
		return err
	}
	v.diskSyncs++
	return v.store.Save(c)
}

// compactLog saves a snapshot and drops the entries up to it. If that fails, the log only stays longer.
func (v *Voter) compactLog(a quorum.CompactLog) {
	c, err := storageChange(quorum.PersistentState{Snapshot: a.Snapshot})
	if err == nil {
		c.DropFrom = 0 // the entries after the snapshot stay
		c.DropThrough = a.Snapshot.GetMetadata().GetIndex()
		err = v.store.Save(c)
	}
	if err != nil {
		v.log.Warn("lease log compaction failed", "error", err)
	}
}
