package fleettest

import (
	"bufio"
	"context"
	"math/rand/v2"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"mulleinpier/client"
	"mulleinpier/internal/loadgen"
)

const (
	// baseTolerance is how much after its client's deadline an answer still is in time, because the rule is measured
	// over sockets on a busy machine; a later one counts as lost.
	baseTolerance = 250 * time.Millisecond
	// lateWatchTime is how long an attempt is watched for a late answer after its deadline.
	lateWatchTime = time.Second
	// closeRaceTime is how soon after a request was sent an idle connection may end because it was closed before the
	// request arrived, unless a node has seen the request.
	closeRaceTime = 300 * time.Millisecond
	// nodeArrivalTime is how long it takes at most until a request that a proxy has read is at a node or waits for one.
	nodeArrivalTime = 150 * time.Millisecond
	// idleTimeout is how long clients keep idle connections.
	idleTimeout = 1500 * time.Millisecond
	// maxInFlight bounds the requests over all clients.
	maxInFlight = 8192
)

const (
	workloadStream = 5 // second seed of the workload's generator
	zipfOffset     = 4 // flattens the popularity of the first keys
)

// workload is the client side of a test: arrivals that do not wait for answers, each with its own retries, over
// connections that are kept.
type workload struct {
	fleet    *fleet
	load     LoadSettings
	classes  [2]requestClass // read, write
	recorder *recorder

	serial   atomic.Uint64
	inFlight atomic.Int64
	tasks    sync.WaitGroup

	// Of requests that use the client library: a client for each tenant.
	library []*client.Client
	auditor *loadgen.TraceAuditor

	mu        sync.Mutex
	rng       *rand.Rand
	zipf      *rand.Zipf
	idleConns map[poolKey][]*clientConn // the latest last
	quotas    []tenantQuota
}

// poolKey names the idle connections to a proxy in one dialect.
type poolKey struct {
	proxy  int
	binary bool
}

// tenantQuota is what a tenant has left of its quota, a second's worth at most.
type tenantQuota struct {
	left float64 // requests
	at   time.Time
}

// clientConn is a client's connection to a proxy.
type clientConn struct {
	socket    net.Conn
	reader    *bufio.Reader
	dialedAt  time.Time // when opening it began
	idleSince time.Time
	used      bool // it has carried a request
	binary    bool
	opaque    uint32 // of the last command of a binary connection
}

func newWorkload(f *fleet, r *recorder) *workload {
	load := f.scenario.Load
	rng := rand.New(rand.NewPCG(f.scenario.Seed, workloadStream))
	w := &workload{
		fleet:     f,
		load:      load,
		recorder:  r,
		rng:       rng,
		zipf:      rand.NewZipf(rng, load.Skew, zipfOffset, uint64(load.Keys-1)),
		idleConns: make(map[poolKey][]*clientConn),
		quotas:    make([]tenantQuota, len(load.Tenants)),
		classes: [2]requestClass{
			{
				name:             "read",
				latencyObjective: 500 * time.Millisecond,
				deadline:         2 * time.Second,
			},
			{
				name:             "write",
				isWrite:          true,
				latencyObjective: 750 * time.Millisecond,
				deadline:         2500 * time.Millisecond,
				dedupWindow:      time.Duration(f.scenario.Fleet.DedupWindow),
			},
		},
	}
	for i := range w.quotas {
		w.quotas[i].at = r.startedAt
	}
	return w
}

// run sends requests until ctx ends, and returns when all of them have ended.
func (w *workload) run(ctx context.Context) {
	defer w.closeLibrary()
	for i := range w.load.Pipelines {
		if w.load.BinaryShare > 0 && i%2 == 1 {
			w.tasks.Go(func() { w.runQuietPipeline(ctx, i) })
			continue
		}
		w.tasks.Go(func() { w.runPipeline(ctx, i) })
	}
	if w.load.Rate > 0 {
		w.sendRequests(ctx)
	} else {
		<-ctx.Done()
	}
	w.tasks.Wait()
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, conns := range w.idleConns {
		for _, conn := range conns {
			conn.socket.Close()
		}
	}
}

// sendRequests starts requests at the load's rate until ctx ends.
func (w *workload) sendRequests(ctx context.Context) {
	for next := time.Now(); ctx.Err() == nil; {
		q, interval := w.drawRequest()
		if w.inFlight.Load() >= maxInFlight {
			w.recorder.notOffered()
		} else {
			w.inFlight.Add(1)
			w.tasks.Go(func() {
				defer w.inFlight.Add(-1)
				w.play(q)
			})
		}
		next = next.Add(interval)
		sleep(ctx, time.Until(next))
	}
}
