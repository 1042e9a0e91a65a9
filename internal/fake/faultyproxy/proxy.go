// Package faultyproxy is a proxy with a planted defect, to show that the fault tests detect what they look for. It is no
// example of a proxy: it sends each request to one node and decides nothing. Serve owns its goroutines.
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
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"mulleinpier/internal/meta"
	"mulleinpier/internal/request"
)

// The faults that can be put in. None is a proxy that does no wrong.
const (
	NoFault        = "none"
	LoseAnswer     = "lose"   // an answer is never passed on
	DuplicateWrite = "double" // a handover is sent again when its repeat is dropped no more
	UseDraining    = "drain"  // a request goes to a node that drains
)

// Faults are all of them.
var Faults = []string{NoFault, LoseAnswer, DuplicateWrite, UseDraining}

// Config describes a faulty proxy.
type Config struct {
	Listener    net.Listener
	ListAddress string // address of the list service
	Fault       string
	OneIn       int           // one in so many befalls it
	Window      time.Duration // of the nodes
}

// nodeEntry is what the proxy knows of a node.
type nodeEntry struct {
	Name, Address, Status string
	since                 time.Time // of its status
}

// Proxy is a faulty proxy.
type Proxy struct {
	config   Config
	injected atomic.Int64
	count    atomic.Int64 // requests that the fault might befall
	mu       sync.Mutex
	nodes    map[string]nodeEntry
	conns    map[net.Conn]bool // true while a request is out
	stopping bool
	tasks    sync.WaitGroup
}

// Injected returns how often the defect showed.
func (d *Proxy) Injected() int64 { return d.injected.Load() }

// Serve serves until ctx ends and all requests are answered. known is called once the list of nodes has come.
func Serve(ctx context.Context, c Config, known func()) *Proxy {
	d := &Proxy{config: c, nodes: make(map[string]nodeEntry), conns: make(map[net.Conn]bool)}
	d.tasks.Go(func() { d.watch(ctx, known) })
	d.tasks.Go(func() {
		for {
			socket, err := c.Listener.Accept()
			if err != nil {
				return
			}
			d.mu.Lock()
			d.conns[socket] = false
			d.mu.Unlock()
			d.tasks.Go(func() { d.serve(socket) })
		}
	})
	<-ctx.Done()
	c.Listener.Close()
	d.mu.Lock()
	d.stopping = true
	for socket, busy := range d.conns {
		if !busy {
			socket.Close()
		}
	}
	d.mu.Unlock()
	d.tasks.Wait()
	return d
}

// watch follows the list of nodes.
func (d *Proxy) watch(ctx context.Context, known func()) {
	for told := false; ctx.Err() == nil; {
		request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+d.config.ListAddress+"/api/targets?watch=1&from=0", nil)
		if err != nil {
			return
		}
		response, err := http.DefaultClient.Do(request)
		if err != nil {
			select {
			case <-ctx.Done():
			case <-time.After(100 * time.Millisecond):
			}
			continue
		}
		for lines := bufio.NewScanner(response.Body); lines.Scan(); {
			var m struct{ Endpoints []nodeEntry }
			if json.Unmarshal(lines.Bytes(), &m) != nil {
				continue
			}
			d.mu.Lock()
			for _, e := range m.Endpoints {
				if e.since = time.Now(); d.nodes[e.Name].Status == e.Status {
					e.since = d.nodes[e.Name].since
				}
				d.nodes[e.Name] = e
			}
			d.mu.Unlock()
			if !told {
				told = true
				known()
			}
		}
		response.Body.Close()
	}
}

// isDefectDue counts a request in which the defect could show, and reports whether it does in this one.
func (d *Proxy) isDefectDue() bool {
	return d.count.Add(1)%int64(max(d.config.OneIn, 1)) == 0
}

// chooseNode returns the address of the node for a key.
func (d *Proxy) chooseNode(key string) string {
	d.mu.Lock()
	defer d.mu.Unlock()
	var up, draining []string
	for _, e := range d.nodes {
		if e.Status == "up" {
			up = append(up, e.Address)
		} else if e.Status == "draining" && time.Since(e.since) > time.Second {
			draining = append(draining, e.Address)
		}
	}
	if d.config.Fault == UseDraining && len(draining) > 0 && d.isDefectDue() {
		d.injected.Add(1)
		return draining[0]
	}
	if len(up) == 0 {
		return ""
	}
	slices.Sort(up)
	h := fnv.New32a()
	io.WriteString(h, key)
	return up[int(h.Sum32()>>4)%len(up)]
}

// serve serves one connection.
func (d *Proxy) serve(socket net.Conn) {
	nodes := make(map[string]*upstream)
	defer func() {
		socket.Close()
		d.mu.Lock()
		delete(d.conns, socket)
		d.mu.Unlock()
		for _, n := range nodes {
			n.socket.Close()
		}
	}()
	for in := bufio.NewReader(socket); ; {
		if _, err := in.Peek(1); err != nil {
			return
		}
		d.mu.Lock()
		d.conns[socket] = true
		d.mu.Unlock()
		line, err := in.ReadString('\n')
		if err != nil {
			return
		}
		c, err := meta.ParseCommand(strings.TrimSuffix(line, "\r\n"))
		if err != nil {
			return
		}
		if c.Stats { // asked by the test itself, which counts no such request as lost
			io.WriteString(socket, "END\r\n")
			if d.release(socket) {
				return
			}
			continue
		}
		var body []byte
		if c.Verb == request.Set {
			body = make([]byte, c.ValueLen+2)
			if _, err := io.ReadFull(in, body); err != nil {
				return
			}
		}
		answer := "MN\r\n"
		if !c.Noop {
			answer = forward(nodes, d.chooseNode(c.Key), &c, body)
		}
		switch {
		case d.config.Fault == LoseAnswer && d.isDefectDue():
			d.injected.Add(1)
			answer = ""
		case d.config.Fault == DuplicateWrite && c.Verb == request.Set && strings.HasPrefix(answer, "HD") && d.isDefectDue():
			d.injected.Add(1)
			d.tasks.Go(func() {
				time.Sleep(d.config.Window + d.config.Window/5)
				again := make(map[string]*upstream)
				forward(again, d.chooseNode(c.Key), &c, body)
				for _, n := range again {
					n.socket.Close()
				}
			})
		}
		io.WriteString(socket, answer)
		if d.release(socket) {
			return
		}
	}
}

// release marks a connection as idle, and reports whether it is to be closed.
func (d *Proxy) release(socket net.Conn) (ending bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.conns[socket] = false
	return d.stopping
}

// upstream is a connection to a node.
type upstream struct {
	socket net.Conn
	in     *bufio.Reader
}

// forward sends a request to a node, and returns its answer.
func forward(nodes map[string]*upstream, address string, c *meta.Command, body []byte) string {
	for again := range 2 {
		n := nodes[address]
		if n == nil {
			socket, err := net.DialTimeout("tcp", address, time.Second)
			if err != nil {
				return "SERVER_ERROR busy\r\n" // it never ran
			}
			n = &upstream{socket, bufio.NewReader(socket)}
			nodes[address] = n
			again = 1
		}
		n.socket.SetDeadline(time.Now().Add(max(c.Timeout, 100*time.Millisecond)))
		n.socket.Write(append(meta.NodeDialect{}.AppendHead(nil, &c.Request, c.Timeout), body...))
		first, err := n.in.ReadString('\n')
		if err == nil {
			if size := 0; strings.HasPrefix(first, "VA ") {
				fmt.Sscanf(first, "VA %d", &size)
				value := make([]byte, size+2)
				_, err = io.ReadFull(n.in, value)
				first += string(value)
			}
		}
		if err == nil {
			return first
		}
		n.socket.Close()
		delete(nodes, address)
		if again == 1 || c.Verb == request.Set {
			break
		}
	}
	return "SERVER_ERROR failed\r\n"
}
