// Package proxy runs the proxy: the listeners, the client connections from accept to close, the configuration and the
// graceful shutdown.
//
// Guarantees:
//
//  1. An accepted connection is closed to make room for others only after it has been idle for a while, so a request
//     that was sent is answered.
//  2. After the context of [Server.Serve] ends, connections are still accepted for a short time. Each connection is
//     closed between requests, and Serve returns when all accepted requests are answered or their deadlines have
//     passed.
//  3. Connections that clients do not use, because they are idle or do not read responses, are closed in time, so that
//     they never keep other clients out.
//  4. A new configuration is applied completely or not at all. A request is finished under the configuration under
//     which it arrived.
//
// The package makes no decisions about requests (package core does, with package policy), and implements no protocol
// (the packages in frontend do).
//
// A Server owns one goroutine for each listener, one for each client, one that closes unused connections, and those of
// its core. All end before Serve returns. Its mutex guards the clients and the state of the drain; it is never held
// during I/O that can block.
package proxy

import (
	"context"
	"log/slog"
	"net"
	"strconv"
	"sync"
	"time"

	codec "mulleinpier/internal/binary"
	"mulleinpier/internal/core"
	"mulleinpier/internal/frontend"
	"mulleinpier/internal/frontend/binary"
	"mulleinpier/internal/frontend/meta"
)

// Server is a running proxy.
type Server struct {
	core        *core.Core
	binary      *binary.Frontend
	config      *Config // the configuration in force; written by Reload and ReloadSources only
	log         *slog.Logger
	maxClients  int // maximum number of client connections, also called places
	memoryBytes int
	listeners   []*clientListener // the main listener comes first
	startedAt   time.Time

	mu              sync.Mutex
	changed         sync.Cond // broadcast when clients or the state of the drain change
	clients         map[*frontend.Conn]struct{}
	longestDeadline time.Duration // the longest deadline of any request that may be in flight
	drain           drainState
}

// Listen returns a Server with open listeners; Serve starts it. If inherited is not nil, it is used as the main
// listener instead of opening config.Listen. Another process may hold it too, and it stays open if Listen fails.
func Listen(config *Config, inherited *net.TCPListener, log *slog.Logger) (*Server, error) {
	requestCore, err := core.New(&config.Config, log)
	if err != nil {
		return nil, err
	}
	s := &Server{
		core:            requestCore,
		config:          config,
		log:             log,
		maxClients:      config.MaxClients,
		memoryBytes:     config.MemoryBytes,
		clients:         make(map[*frontend.Conn]struct{}),
		longestDeadline: longestDeadline(&config.Policy),
		startedAt:       time.Now(),
	}
	s.changed.L = &s.mu
	s.binary = binary.New(s.stats)
	s.binary.SetRules(config.binaryRules())
	if err := s.openListeners(inherited); err != nil {
		for _, l := range s.listeners {
			l.closeUnused()
		}
		return nil, err
	}
	return s, nil
}

// openListeners opens the main listener, and the listener for binary clients if one is configured.
func (s *Server) openListeners(inherited *net.TCPListener) error {
	requestBudget := frontend.NewBudget(s.config.RequestBudgetBytes)
	responseBudget := frontend.NewBudget(s.config.ResponseBudgetBytes)
	newHost := func() *frontend.Host {
		return &frontend.Host{Core: s.core, BodyBudget: requestBudget, AnswerBudget: responseBudget, Stats: s.stats}
	}
	binaryAddress := s.config.binaryListen()
	sharesMain := binaryAddress == ""
	mainHost := newHost()
	mainHost.NewSession = func(c *frontend.Conn, first byte) frontend.Session {
		if first == codec.RequestMagic && sharesMain && s.binary.Enabled() {
			return s.binary.NewSession(mainHost, c, MainListener)
		}
		return meta.NewSession(mainHost, c)
	}
	if err := s.openListener(s.config.Listen, inherited, mainHost); err != nil || sharesMain {
		return err
	}
	binaryHost := newHost()
	binaryHost.NewSession = func(c *frontend.Conn, _ byte) frontend.Session {
		return s.binary.NewSession(binaryHost, c, BinaryListener)
	}
	return s.openListener(binaryAddress, nil, binaryHost)
}

// Core returns the core, which handles the requests.
func (s *Server) Core() *core.Core { return s.core }

// EndpointListReady returns a channel that is closed once a source has delivered the endpoint list.
func (s *Server) EndpointListReady() <-chan struct{} { return s.core.ListReceived() }

// CanServe reports whether requests can be served: a node is up, and no drain has started.
func (s *Server) CanServe() bool {
	s.mu.Lock()
	draining := s.drain.started
	s.mu.Unlock()
	return !draining && s.core.HasServingNodes()
}

// Load returns the number of client connections and of requests in flight.
func (s *Server) Load() (clients, inFlight int) {
	s.mu.Lock()
	clients = len(s.clients)
	s.mu.Unlock()
	return clients, s.core.InFlight()
}

// Address returns the address of the main listener.
func (s *Server) Address() net.Addr { return s.listeners[0].Addr() }

// BinaryAddress returns the address of the listener for binary clients only, or nil if there is none.
func (s *Server) BinaryAddress() net.Addr {
	if len(s.listeners) < 2 {
		return nil
	}
	return s.listeners[1].Addr()
}

// Serve serves clients until ctx ends. Then it drains them, and returns when the drain is complete.
func (s *Server) Serve(ctx context.Context) {
	running, stop := context.WithCancel(context.WithoutCancel(ctx))
	var tasks sync.WaitGroup
	tasks.Go(func() { s.core.Run(running) })
	tasks.Go(func() { s.sweepClients(running) })
	var accepting sync.WaitGroup
	for _, l := range s.listeners {
		accepting.Go(func() { s.acceptClients(l) })
	}
	<-ctx.Done()
	s.startDrain()
	accepting.Wait()
	s.closeListeners()
	s.drainClients()
	stop()
	tasks.Wait()
}

// stats returns the statistics of a kind, "" for the general ones. It returns nil for an unknown kind.
func (s *Server) stats(kind string) []core.Stat {
	switch kind {
	case "":
		clients, inFlight := s.Load()
		return []core.Stat{
			{Name: "uptime", Value: strconv.Itoa(int(time.Since(s.startedAt).Seconds()))},
			{Name: "curr_connections", Value: strconv.Itoa(clients)},
			{Name: "open_requests", Value: strconv.Itoa(inFlight)},
			{Name: "service_level", Value: strconv.Itoa(int(s.core.OverloadLevel()))},
		}
	case "service":
		return s.core.OverloadStats()
	}
	return nil
}
