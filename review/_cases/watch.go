package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// discovery is the service that proxies ask for the list of cache nodes. It keeps the whole list at each version.
type discovery struct {
	b       *bench
	address string // also names it in the record
	// firstLine makes a watch begin with an object even if nothing has changed; silentFromOpening makes the first watch
	// fall silent as soon as its head has been written.
	firstLine, silentFromOpening bool

	mu      sync.Mutex
	index   int
	entries map[string]object
	changed map[string]int // version of each entry's latest change
	wake    chan struct{}
	silent  map[int]bool // watches that have fallen silent
	watches map[int]bool // open watches
	lastID  int
	opened  chan int // numbers of watches, as they are opened
}

func (b *bench) startDiscovery(entries ...object) (*discovery, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	d := &discovery{
		b: b, address: l.Addr().String(), index: 41, entries: map[string]object{}, changed: map[string]int{},
		wake: make(chan struct{}), silent: map[int]bool{}, watches: map[int]bool{}, opened: make(chan int, 100),
	}
	for _, e := range entries {
		name := e["name"].(string)
		d.entries[name], d.changed[name] = e, 41
	}
	go http.Serve(l, d)
	return d, nil
}

// list returns the entries that changed after a version, the whole list for one that is not known.
func (d *discovery) list(from int) object {
	endpoints := []object{}
	whole := from <= 0 || from > d.index
	for name, e := range d.entries {
		if whole || d.changed[name] > from {
			endpoints = append(endpoints, e)
		}
	}
	return object{"index": d.index, "snapshot": whole, "endpoints": endpoints}
}

func (d *discovery) set(e object) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.index++
	name := e["name"].(string)
	d.entries[name], d.changed[name] = e, d.index
	close(d.wake)
	d.wake = make(chan struct{})
}

// silence makes all open watches fall silent: nothing more is written to them, and they stay open.
func (d *discovery) silence() {
	d.mu.Lock()
	defer d.mu.Unlock()
	for id := range d.watches {
		d.silent[id] = true
	}
}

// ServeHTTP answers a call at once. A watch gets a line at each change, and an empty one after 2 s without.
func (d *discovery) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	from, _ := strconv.Atoi(r.FormValue("from"))
	w.Header().Set("Content-Type", "application/json")
	if r.FormValue("watch") != "1" {
		d.mu.Lock()
		text, _ := json.Marshal(d.list(0))
		d.mu.Unlock()
		d.b.note("discovery %s: list asked for", d.address)
		w.Write(text)
		return
	}
	d.mu.Lock()
	d.lastID++
	id := d.lastID
	d.watches[id] = true
	if d.silentFromOpening && id == 1 {
		d.silent[id] = true
	}
	d.mu.Unlock()
	d.b.note("discovery %s: watch %d opened from version %d", d.address, id, from)
	defer d.b.note("discovery %s: watch %d ended", d.address, id)
	w.WriteHeader(http.StatusOK)
	w.(http.Flusher).Flush()
	d.opened <- id
	for first := true; ; first = false {
		d.mu.Lock()
		text, index, wake, silent := "\n", d.index, d.wake, d.silent[id]
		if index != from || first && d.firstLine {
			line, _ := json.Marshal(d.list(from))
			text = string(line) + "\n"
		}
		d.mu.Unlock()
		isEmpty := index == from
		if !silent && !(first && isEmpty && !d.firstLine) {
			if !isEmpty {
				d.b.note("discovery %s: watch %d told version %d", d.address, id, index)
			}
			fmt.Fprint(w, text)
			w.(http.Flusher).Flush()
			from = index
		}
		if silent {
			<-r.Context().Done()
			return
		}
		select {
		case <-wake:
		case <-time.After(2 * time.Second):
		case <-r.Context().Done():
			return
		}
	}
}

func init() { cases["watch"] = silentWatch }

// silentWatch plays three deployments side by side. The rule is broken if it is broken in one of them.
func silentWatch(b *bench) (code int, err error) {
	var mu sync.Mutex
	var deployments sync.WaitGroup
	for i := range 3 {
		deployments.Go(func() {
			c, e := silentWatchOnce(b, i == 2)
			mu.Lock()
			defer mu.Unlock()
			if e != nil {
				err = e
			}
			code = max(code, c)
		})
	}
	deployments.Wait()
	return code, err
}

// silentWatchOnce: a watch falls silent in its first second, before anything has changed, and a cache node begins to drain
// right after. With atOnce it falls silent as soon as its head has been written, and else begins with an object.
func silentWatchOnce(b *bench, atOnce bool) (int, error) {
	var mu sync.Mutex
	var last time.Time // latest request at the draining node
	var count int
	var after []time.Time
	var limit time.Time
	begun := func(node, id string, at time.Time) {
		mu.Lock()
		defer mu.Unlock()
		if node != "a" {
			return
		}
		count++
		last = at
		if !limit.IsZero() && at.After(limit) {
			after = append(after, at)
		}
	}
	var entries []object
	addresses := map[string]string{}
	for _, name := range []string{"a", "b", "c", "d"} {
		n := &cacheNode{name: name, work: 20 * time.Millisecond, begun: begun}
		if err := n.serve(); err != nil {
			return cannotRun, err
		}
		addresses[name] = n.address
		entries = append(entries, endpoint(name, n.address, "up"))
	}
	d, err := b.startDiscovery(entries...)
	if err != nil {
		return cannotRun, err
	}
	d.firstLine, d.silentFromOpening = atOnce, atOnce && b.trouble
	settings := platformSettings([]object{service("read", "safe", 500, 2000, 0)}, "on_request", 4)
	known := object{"index": 41, "snapshot": true, "endpoints": entries}
	listen, _, err := b.startPlatform(settings, d.address, known, 256)
	if err != nil {
		return cannotRun, err
	}
	stop := make(chan struct{})
	var clients sync.WaitGroup
	var served, other int
	for i := range 6 {
		clients.Go(func() {
			for n := 0; ; n++ {
				select {
				case <-stop:
					return
				default:
				}
				c, err := net.Dial("tcp", listen)
				if err != nil {
					continue
				}
				in := bufio.NewReader(c)
				for k := 0; k < 20; k++ {
					text := fmt.Sprintf("mg key%d-%d-%d v Or%d-%d-%d Pc=read,d=1000\r\n", i, n, k, i, n, k)
					a := ask(c, in, text, time.Now().Add(3*time.Second))
					mu.Lock()
					if a.served() {
						served++
					} else {
						other++
					}
					mu.Unlock()
					if a.err != nil {
						break
					}
					time.Sleep(50 * time.Millisecond)
				}
				c.Close()
			}
		})
	}
	select {
	case <-d.opened:
	case <-time.After(15 * time.Second):
		return cannotRun, fmt.Errorf("no watch was opened")
	}
	silentAt := time.Now()
	if !atOnce {
		time.Sleep(300 * time.Millisecond)
		silentAt = time.Now()
	}
	if b.trouble {
		d.silence()
		b.note("discovery %s: all open watches fall silent", d.address)
	}
	time.Sleep(100 * time.Millisecond)
	d.set(endpoint("a", addresses["a"], "draining"))
	b.note("discovery %s: cache node a begins to drain, and stays up", d.address)
	mu.Lock()
	// told at the latest 6 s after the watch fell silent; 500 ms of the settings; 50 ms for sockets.
	limit = silentAt.Add(6*time.Second + 500*time.Millisecond + 50*time.Millisecond)
	mu.Unlock()
	time.Sleep(14 * time.Second)
	close(stop)
	clients.Wait()
	mu.Lock()
	defer mu.Unlock()
	b.note("discovery %s: requests served %d, others %d; %d came to a, the last %.0f ms after the watch fell silent",
		d.address, served, other, count, float64(last.Sub(silentAt).Milliseconds()))
	if count == 0 || served == 0 {
		return cannotRun, fmt.Errorf("no traffic")
	}
	if len(after) > 0 {
		b.note("BROKEN drain: discovery %s: %d requests began at a more than 6,550 ms after the watch fell silent, the first %.0f ms after it",
			d.address, len(after), float64(after[0].Sub(silentAt).Milliseconds()))
		return ruleBroken, nil
	}
	return ruleHeld, nil
}
