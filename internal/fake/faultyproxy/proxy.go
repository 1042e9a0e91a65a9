// Package faultyproxy is a fake proxy with a deliberate defect that the fault tests must detect. It is not a model for
// a proxy: it sends each request to one node, and has no admission, retry or health checks.
//
// [Serve] starts all goroutines of a proxy, and returns after they have ended.
package faultyproxy

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"hash/fnv"
	"io"
	"net"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

// The faults. NoFault is a proxy without a defect.
const (
	NoFault        = "none"
	LoseAnswer     = "lose"   // an answer is not forwarded to the client
	DuplicateWrite = "double" // a write is sent again after the nodes' deduplication window
	UseDraining    = "drain"  // a request is sent to a draining node
)

// Faults lists all faults.
var Faults = []string{NoFault, LoseAnswer, DuplicateWrite, UseDraining}

const (
	// drainGrace is the time for which a node must have been draining before UseDraining sends requests to it.
	drainGrace = time.Second

	watchRetryDelay = 100 * time.Millisecond
)

// Config configures a proxy.
type Config struct {
	Listener    net.Listener
	ListAddress string // of the endpoint list service
	Fault       string
	OneIn       int           // the fault affects one eligible request in this many; 0 and 1 mean all
	Window      time.Duration // deduplication window, within which the nodes drop duplicate writes
}

// endpoint is an entry of the endpoint list.
type endpoint struct {
	Name, Address, Status string
	since                 time.Time // when the proxy was notified of this status
}

// Proxy is a running proxy.
type Proxy struct {
	config   Config
	injected atomic.Int64
	eligible atomic.Int64 // requests that the fault could affect
	tasks    sync.WaitGroup

	mu          sync.Mutex
	endpoints   map[string]endpoint // by name
	connections map[net.Conn]bool   // of clients; true while a request is in flight
	closing     bool
}

func newProxy(c Config) *Proxy {
	return &Proxy{config: c, endpoints: make(map[string]endpoint), connections: make(map[net.Conn]bool)}
}

// Injected returns the number of times that the fault was injected.
func (p *Proxy) Injected() int64 { return p.injected.Load() }

// Serve runs a proxy until ctx ends, answers the requests in flight and returns the proxy. ready is called once the
// endpoint list is known.
func Serve(ctx context.Context, c Config, ready func()) *Proxy {
	p := newProxy(c)
	p.tasks.Go(func() { p.watch(ctx, ready) })
	p.tasks.Go(p.accept)
	<-ctx.Done()
	p.close()
	p.tasks.Wait()
	return p
}

func (p *Proxy) accept() {
	for {
		socket, err := p.config.Listener.Accept()
		if err != nil {
			return
		}
		p.mu.Lock()
		p.connections[socket] = false
		p.mu.Unlock()
		p.tasks.Go(func() { p.serve(socket) })
	}
}

// close closes the listener and idle connections. Connections with a request in flight are closed after the answer.
func (p *Proxy) close() {
	p.config.Listener.Close()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closing = true
	for socket, busy := range p.connections {
		if !busy {
			socket.Close()
		}
	}
}

// watch follows the endpoint list until ctx ends.
func (p *Proxy) watch(ctx context.Context, ready func()) {
	notifyReady := sync.OnceFunc(ready)
	for ctx.Err() == nil {
		if err := p.watchOnce(ctx, notifyReady); err != nil {
			select {
			case <-ctx.Done():
			case <-time.After(watchRetryDelay):
			}
		}
	}
}

// watchOnce follows the endpoint list until the connection ends. It returns an error if it cannot connect.
func (p *Proxy) watchOnce(ctx context.Context, ready func()) error {
	url := fmt.Sprintf("http://%s/api/targets?watch=1&from=0", p.config.ListAddress)
	get, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return fmt.Errorf("watch endpoint list: %w", err)
	}
	response, err := http.DefaultClient.Do(get)
	if err != nil {
		return fmt.Errorf("watch endpoint list: %w", err)
	}
	defer response.Body.Close()
	lines := bufio.NewScanner(response.Body)
	for lines.Scan() {
		var message struct{ Endpoints []endpoint }
		if json.Unmarshal(lines.Bytes(), &message) != nil {
			continue
		}
		p.update(message.Endpoints)
		ready()
	}
	return nil
}

// update applies changes of the endpoint list.
func (p *Proxy) update(changes []endpoint) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, e := range changes {
		known := p.endpoints[e.Name]
		e.since = time.Now()
		if known.Status == e.Status {
			e.since = known.since
		}
		p.endpoints[e.Name] = e
	}
}

// isDue counts an eligible request, and reports whether the fault affects it.
func (p *Proxy) isDue() bool {
	return p.eligible.Add(1)%int64(max(p.config.OneIn, 1)) == 0
}

// chooseNode returns the address of the node for a key, or "" if no node is available.
func (p *Proxy) chooseNode(key string) string {
	p.mu.Lock()
	defer p.mu.Unlock()
	var up, draining []string
	for _, e := range p.endpoints {
		if e.Status == "up" {
			up = append(up, e.Address)
		} else if e.Status == "draining" && time.Since(e.since) > drainGrace {
			draining = append(draining, e.Address)
		}
	}
	if p.config.Fault == UseDraining && len(draining) > 0 && p.isDue() {
		p.injected.Add(1)
		return draining[0]
	}
	if len(up) == 0 {
		return ""
	}
	slices.Sort(up)
	hash := fnv.New32a()
	io.WriteString(hash, key)
	return up[int(hash.Sum32()>>4)%len(up)]
}
