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
	"mulleinpier/internal/delay"
	"mulleinpier/internal/loadgen"
)

const (
	// baseTolerance is the time after the client's deadline within which an answer is still accepted, because the test
	// measures over sockets on a busy machine. A later answer counts as lost.
	baseTolerance = 250 * time.Millisecond
	// lateWatchTime is the time after its deadline for which an attempt is watched for a late answer.
	lateWatchTime = time.Second
	// closeRaceTime limits close races: if an idle connection ends within this time after a request was sent, the proxy
	// may have closed it before the request arrived, unless a node has received the request.
	closeRaceTime = 300 * time.Millisecond
	// nodeArrivalTime is the longest time until a request that a proxy has read reaches a node or waits for a node.
	nodeArrivalTime = 150 * time.Millisecond
	// idleTimeout is the time for which clients keep idle connections.
	idleTimeout = 1500 * time.Millisecond
	// maxInFlight limits the concurrent requests of all clients together.
	maxInFlight = 8192
)

const (
	workloadStream = 5 // second part of the seed of the workload's random generator
	zipfOffset     = 4 // makes the popularity of the first keys more even
)

// workload is the client side of a test. Requests start at a given rate whether or not earlier ones have been answered,
// are retried independently, and share a pool of connections.
type workload struct {
	fleet    *fleet
	load     LoadSettings
	classes  [2]requestClass // read, write
	recorder *recorder

	serial   atomic.Uint64
	inFlight atomic.Int64
	tasks    sync.WaitGroup

	// For requests through the client library: one client per tenant.
	library []*client.Client
	auditor *loadgen.TraceAuditor

	mu        sync.Mutex
	rng       *rand.Rand
	zipf      *rand.Zipf
	idleConns map[poolKey][]*clientConn // most recently used last
	quotas    []tenantQuota
}

// poolKey identifies the pool of idle connections to a proxy in one dialect.
type poolKey struct {
	proxy  int
	binary bool
}

// tenantQuota is a token bucket with the remaining quota of a tenant, at most the quota of one second.
type tenantQuota struct {
	left float64 // requests
	at   time.Time
}

// clientConn is a client's connection to a proxy.
type clientConn struct {
	socket    net.Conn
	reader    *bufio.Reader
	dialedAt  time.Time // when the dial began
	idleSince time.Time
	used      bool // the connection has carried a request before
	binary    bool
	opaque    uint32 // of the last command, on a binary connection
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

// run sends requests until ctx ends. It returns when all of them have ended, and closes the idle connections.
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
				w.runRequest(q)
			})
		}
		next = next.Add(interval)
		delay.Wait(ctx, time.Until(next))
	}
}
