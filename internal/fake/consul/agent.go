// Package consul is a fake of Consul's service catalogue and its agents for tests. It speaks the published HTTP API as
// far as proxies and nodes use it: health and catalogue of a service with blocking queries, agent services, TTL checks,
// maintenance, and status. It guarantees:
//
//  1. The published Go client understands its answers.
//  2. It knows when each agent first reported to its clients that an instance is no longer available.
//  3. An agent simulates the faults of [FaultKind] on demand.
//
// It has no ACLs except for one token per agent, and no cluster.
//
// An agent owns its listener and its HTTP server; [Agent.Close] ends them without waiting for handlers.
package consul

import (
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"
)

const (
	headerTimeout = time.Minute
	maxBodySize   = 1 << 20 // bytes of a request
)

// Agent is an agent with an address of its own. It is safe for concurrent use.
type Agent struct {
	Node string // name of the Consul node that services registered at this agent belong to

	catalogue *Catalogue
	token     string
	listener  net.Listener
	server    *http.Server

	mu                sync.Mutex // never held together with Catalogue.mu
	fault             FaultKind
	faultChanged      chan struct{}             // closed when the fault changes
	unavailableSince  map[instanceKey]time.Time // first report that an instance is unavailable, while it is
	lastReported      map[instanceKey]bool      // instances of the last list
	queries           int
	consistentQueries int
	bytesWritten      int64
}

// Start returns an agent of a catalogue that listens at a free port of a loopback address. If token is not empty,
// requests must carry it.
func (c *Catalogue) Start(node, token string) (*Agent, error) {
	// This address is not used for outgoing connections: they could take the port of an agent that is down.
	return c.StartAt("127.0.0.2:0", node, token)
}

// StartAt is like Start, but listens at the given address.
func (c *Catalogue) StartAt(address, node, token string) (*Agent, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, fmt.Errorf("fake consul agent %q: %w", node, err)
	}
	a := &Agent{
		Node:             node,
		catalogue:        c,
		token:            token,
		listener:         listener,
		faultChanged:     make(chan struct{}),
		unavailableSince: make(map[instanceKey]time.Time),
		lastReported:     make(map[instanceKey]bool),
	}
	a.server = &http.Server{Handler: a.withAccessAndFaults(a.routes()), ReadHeaderTimeout: headerTimeout}
	go a.server.Serve(listener)
	return a, nil
}

func (a *Agent) routes() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/health/service/{name}", a.handleHealth)
	mux.HandleFunc("GET /v1/catalog/service/{name}", a.handleCatalogue)
	mux.HandleFunc("GET /v1/agent/services", a.handleServices)
	mux.HandleFunc("GET /v1/agent/self", a.handleSelf)
	mux.HandleFunc("GET /v1/status/leader", handleLeader)
	mux.HandleFunc("PUT /v1/agent/service/register", a.handleRegister)
	mux.HandleFunc("PUT /v1/agent/service/deregister/{id}", a.handleDeregister)
	mux.HandleFunc("PUT /v1/agent/service/maintenance/{id}", a.handleMaintenance)
	mux.HandleFunc("PUT /v1/agent/check/{verb}/{id}", a.handleCheck)
	return mux
}

// Address returns the address at which the agent listens.
func (a *Agent) Address() string { return a.listener.Addr().String() }

// Close closes the listener and all connections. It does not wait for handlers.
func (a *Agent) Close() { a.server.Close() }

// DropRegistrations removes all instances of the agent's node from the catalogue, as if the agent had lost its state.
func (a *Agent) DropRegistrations() {
	c := a.catalogue
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, i := range c.instances {
		if i.Node == a.Node {
			c.drop(i)
		}
	}
}

// UnavailableReportedAt returns when the agent first reported that an instance is draining, has failed or is gone. It
// returns false while the agent reports that the instance is available.
func (a *Agent) UnavailableReportedAt(node, id string) (time.Time, bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	at, ok := a.unavailableSince[newInstanceKey(node, id)]
	return at, ok
}

// Stats returns how many lists were queried, how many of these in consistent mode, and how many bytes of lists were
// written.
func (a *Agent) Stats() (queries, consistentQueries int, bytesWritten int64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.queries, a.consistentQueries, a.bytesWritten
}
