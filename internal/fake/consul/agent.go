package consul

import (
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"
)

// Agent is a fake agent. It is safe for concurrent use.
type Agent struct {
	Node string // name of the machine of the services that are registered here

	catalogue *Catalogue
	token     string
	listener  net.Listener
	server    *http.Server

	mu                sync.Mutex
	fault             FaultKind
	faultChanged      chan struct{}        // closed when the fault changes
	leavingWrittenAt  map[string]time.Time // by instance, until it is up again
	lastList          map[string]bool      // instances of the last list
	queries           int
	bytes             int64
	consistentQueries int // queries in consistent mode
}

// Start starts an agent of the catalogue on loopback. With a token, requests must bring it.
func (c *Catalogue) Start(node, token string) (*Agent, error) {
	return c.StartAt("127.0.0.2:0", node, token)
}

// StartAt is Start at an address.
func (c *Catalogue) StartAt(address, node, token string) (*Agent, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	a := &Agent{
		Node:             node,
		catalogue:        c,
		token:            token,
		listener:         listener,
		faultChanged:     make(chan struct{}),
		leavingWrittenAt: make(map[string]time.Time),
		lastList:         make(map[string]bool),
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/health/service/{name}", a.health)
	mux.HandleFunc("GET /v1/catalog/service/{name}", a.catalog)
	mux.HandleFunc("GET /v1/agent/services", a.services)
	mux.HandleFunc("GET /v1/agent/self", a.self)
	mux.HandleFunc("GET /v1/status/leader", func(w http.ResponseWriter, _ *http.Request) {
		fmt.Fprint(w, `"127.0.0.1:8300"`)
	})
	mux.HandleFunc("PUT /v1/agent/service/register", a.register)
	mux.HandleFunc("PUT /v1/agent/service/deregister/{id}", a.deregister)
	mux.HandleFunc("PUT /v1/agent/service/maintenance/{id}", a.maintenance)
	mux.HandleFunc("PUT /v1/agent/check/{verb}/{id}", a.check)
	a.server = &http.Server{Handler: a.withFaults(mux), ReadHeaderTimeout: time.Minute}
	go a.server.Serve(listener)
	return a, nil
}

// Address returns where the agent listens.
func (a *Agent) Address() string { return a.listener.Addr().String() }

// Close ends the agent.
func (a *Agent) Close() { a.server.Close() }

// DropRegistrations removes everything that was registered at the agent, as if it had lost its state.
func (a *Agent) DropRegistrations() {
	c := a.catalogue
	c.mu.Lock()
	defer c.mu.Unlock()
	for key, i := range c.instances {
		if i.Node != a.Node {
			continue
		}
		if i.timer != nil {
			i.timer.Stop()
		}
		delete(c.instances, key)
		c.bumpIndexLocked()
	}
}

// LeavingWrittenAt returns when the agent first wrote to a client that an instance is draining, failed or gone; false
// while it reports the instance as up.
func (a *Agent) LeavingWrittenAt(node, id string) (time.Time, bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	at, ok := a.leavingWrittenAt[node+"/"+id]
	return at, ok
}

// Stats returns how many lists the agent was asked for, how many of them in consistent mode, and how many bytes of
// lists it has written.
func (a *Agent) Stats() (queries, consistent int, bytes int64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.queries, a.consistentQueries, a.bytes
}
