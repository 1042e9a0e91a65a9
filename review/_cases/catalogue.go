package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"sync"
	"time"
)

// agent is a Consul agent that answers health queries for one service, each after delay.
type agent struct {
	b       *bench
	address string
	delay   time.Duration

	mu      sync.Mutex
	index   int
	ports   map[string]int // of the instances in the catalogue, by ID
	wake    chan struct{}
	told    map[string]time.Time // when a list without an instance was first written, by ID
	queries map[string]int
}

func (b *bench) startAgent(delay time.Duration, ports map[string]int) (*agent, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	a := &agent{
		b: b, address: l.Addr().String(), delay: delay, index: 100, ports: map[string]int{}, wake: make(chan struct{}),
		told: map[string]time.Time{}, queries: map[string]int{},
	}
	for id, port := range ports {
		a.ports[id] = port
	}
	go http.Serve(l, a)
	return a, nil
}

func (a *agent) deregister(id string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	delete(a.ports, id)
	a.index++
	close(a.wake)
	a.wake = make(chan struct{})
}

// block waits as a blocking query does: until the index differs from the one that is known, or the wait is over.
func (a *agent) block(r *http.Request) {
	known, _ := strconv.Atoi(r.FormValue("index"))
	wait, err := time.ParseDuration(r.FormValue("wait"))
	if err != nil {
		wait = 5 * time.Minute
	}
	end := time.After(wait)
	for {
		a.mu.Lock()
		index, wake := a.index, a.wake
		a.mu.Unlock()
		if known == 0 || index != known {
			return
		}
		select {
		case <-wake:
		case <-end:
			return
		case <-r.Context().Done():
			return
		}
	}
}

// ServeHTTP answers /v1/health/service/NAME with the list as it is delay after the query would have been answered.
func (a *agent) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	a.block(r)
	select {
	case <-time.After(a.delay):
	case <-r.Context().Done():
		return
	}
	a.mu.Lock()
	list := []object{}
	for id, port := range a.ports {
		list = append(list, object{
			"Node": object{"Node": "m", "Address": "127.0.0.1", "Datacenter": "budapest"},
			"Service": object{
				"ID": id, "Service": "cache", "Address": "127.0.0.1", "Port": port, "Tags": []string{},
				"Meta": object{"name": id}, "Weights": object{"Passing": 1, "Warning": 1}, "CreateIndex": 7, "ModifyIndex": 7,
			},
			"Checks": []object{{"CheckID": "serfHealth", "Status": "passing"}},
		})
	}
	kind := "blocking"
	if _, consistent := r.URL.Query()["consistent"]; consistent {
		kind = "consistent"
	}
	a.queries[kind]++
	now := time.Now()
	for i := range catalogueSize {
		id := fmt.Sprint("cache-", i)
		if _, listed := a.ports[id]; !listed && a.told[id].IsZero() {
			a.told[id] = now
			a.b.note("agent: first list without %s is written", id)
		}
	}
	w.Header().Set("X-Consul-Index", strconv.Itoa(a.index))
	a.mu.Unlock()
	w.Header().Set("X-Consul-KnownLeader", "true")
	w.Header().Set("X-Consul-LastContact", "0")
	w.Header().Set("Content-Type", "application/json")
	json.NewEncoder(w).Encode(list)
}

func init() { cases["catalogue"] = shrinkingCatalogue }

const (
	catalogueSize  = 8
	catalogueLeft  = 3
	catalogueDelay = 400 * time.Millisecond
)

// shrinkingCatalogue: the fleet shrinks from eight cache nodes to three within 9 s, each leaving Consul's catalogue while
// its process stays up, and the agent takes 0.4 s for each answer.
func shrinkingCatalogue(b *bench) (int, error) {
	var mu sync.Mutex
	arrivals := map[string][]time.Time{}
	begun := func(node, _ string, at time.Time) {
		mu.Lock()
		defer mu.Unlock()
		arrivals[node] = append(arrivals[node], at)
	}
	ports := map[string]int{}
	for i := range catalogueSize {
		n := &cacheNode{name: fmt.Sprint("cache-", i), work: 20 * time.Millisecond, begun: begun}
		if err := n.serve(); err != nil {
			return cannotRun, err
		}
		_, port, err := net.SplitHostPort(n.address)
		if err != nil {
			return cannotRun, err
		}
		ports[n.name], _ = strconv.Atoi(port)
	}
	delay := time.Duration(0)
	if b.trouble {
		delay = catalogueDelay
	}
	a, err := b.startAgent(delay, ports)
	if err != nil {
		return cannotRun, err
	}
	listen, err := freeAddress()
	if err != nil {
		return cannotRun, err
	}
	path := filepath.Join(b.dir, "daemon.toml")
	text := fmt.Sprintf("name = \"n1\"\nlisten = %q\nzones = [\"budapest\"]\nzone = \"budapest\"\n"+
		"[nodes]\nconsul = %q\n[consul]\nservice = \"cache\"\n", listen, a.address)
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		return cannotRun, err
	}
	if _, err := b.start(" serve --config "+path, listen); err != nil {
		return cannotRun, err
	}
	pool := &clientPool{address: listen}
	stop := make(chan struct{})
	var clients sync.WaitGroup
	clients.Go(func() {
		every(stop, 5*time.Millisecond, func(n int) {
			pool.ask(fmt.Sprintf("mg key%d v Or%d Pc=read,d=1000\r\n", n, n), time.Second)
		})
	})
	time.Sleep(4 * time.Second)
	for i := range catalogueSize - catalogueLeft {
		if i > 0 {
			time.Sleep(2250 * time.Millisecond)
		}
		a.deregister(fmt.Sprint("cache-", i))
		b.note("cache-%d leaves the catalogue, and stays up", i)
	}
	time.Sleep(20 * time.Second)
	close(stop)
	clients.Wait()
	a.mu.Lock()
	defer a.mu.Unlock()
	mu.Lock()
	defer mu.Unlock()
	broken, total := false, 0
	for i := range catalogueSize - catalogueLeft {
		id := fmt.Sprint("cache-", i)
		told := a.told[id]
		if told.IsZero() {
			return cannotRun, fmt.Errorf("the proxy was not told that %s has left", id)
		}
		// 500 ms of the drain rule, 50 ms for sockets
		late := 0
		for _, at := range arrivals[id] {
			if at.After(told.Add(550 * time.Millisecond)) {
				late++
			}
		}
		total += len(arrivals[id])
		last := time.Time{}
		if n := len(arrivals[id]); n > 0 {
			last = arrivals[id][n-1]
		}
		b.note("%s: told at %.1f, %d requests, the last %.0f ms after it", id, b.since(told), len(arrivals[id]),
			float64(last.Sub(told).Milliseconds()))
		if late > 0 {
			broken = true
			b.note("BROKEN drain: %d requests began at %s more than 550 ms after the proxy was told", late, id)
		}
	}
	served, other := pool.counts()
	b.note("requests served %d, others %d; queries %v", served, other, a.queries)
	if total == 0 || served == 0 {
		return cannotRun, errors.New("no traffic")
	}
	if broken {
		return ruleBroken, nil
	}
	return ruleHeld, nil
}
