// Package consul is a stand-in for Consul's catalogue and for the agents that tell of it,
// by the published HTTP API: health and catalogue of a service with blocking queries,
// agent services and TTL checks, maintenance, status. It knows when it wrote what of each
// node to whom, and fails on demand in the ways of [Fault].
package consul

import (
	"cmp"
	"encoding/json"
	"fmt"
	"maps"
	"net"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"
)

// Check is a check of an instance.
type Check struct {
	Node, CheckID, Name, Status, Notes, Output string
	ServiceID, ServiceName, Type               string
	CreateIndex, ModifyIndex                   uint64
}

// Instance is an instance of a service as agents register it.
type Instance struct {
	Node, NodeAddress string // Consul's node, which holds it
	Datacenter        string // "" for dc1
	ID, Service       string
	Address           string
	Port              int
	Tags              []string
	Meta              map[string]string
	Passing, Warning  float64 // weights; 1 for 0
	Checks            []Check

	created, modified uint64
	ttl               time.Duration
	timer             *time.Timer
}

// FaultKind is a way in which an agent fails.
type FaultKind string

// The ways to fail.
const (
	NoFault       FaultKind = ""
	NoResponse    FaultKind = "quiet"      // connections come up, nothing is answered, also not what waits
	SlowBody      FaultKind = "slow"       // bodies come a byte at a time
	EmptyList     FaultKind = "empty"      // lists are empty, and all looks well
	ACLFiltered   FaultKind = "filtered"   // the same, as ACLs have filtered them, which the header tells
	PartialList   FaultKind = "part"       // lists lack every other instance, once each query
	Leaderless    FaultKind = "leaderless" // no leader is known
	StaleLeader   FaultKind = "stale"      // the leader has long not been heard
	MalformedBody FaultKind = "garbage"    // bodies are no JSON
	TruncatedBody FaultKind = "half"       // bodies end half way
	HugeList      FaultKind = "huge"       // lists have 100,000 instances
	RateLimited   FaultKind = "limited"    // 429, with a Retry-After of a second
	Forbidden     FaultKind = "forbidden"  // 403
	ServerError   FaultKind = "broken"     // 500
	ZeroIndex     FaultKind = "noindex"    // the index is zero
)

// Catalogue is what agents tell of. It is safe for concurrent use.
type Catalogue struct {
	mu        sync.Mutex
	changed   chan struct{} // closed at each change
	index     uint64
	instances map[string]*Instance // by node and ID
}

// New returns an empty catalogue.
func New() *Catalogue {
	return &Catalogue{changed: make(chan struct{}), index: 10, instances: make(map[string]*Instance)}
}

func (i *Instance) key() string { return i.Node + "/" + i.ID }

// bumpIndexLocked counts a change. c.mu is held.
func (c *Catalogue) bumpIndexLocked() uint64 {
	c.index++
	close(c.changed)
	c.changed = make(chan struct{})
	return c.index
}

// Set enters an instance, or changes it.
func (c *Catalogue) Set(i Instance) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.setLocked(i)
}

func (c *Catalogue) setLocked(i Instance) {
	i.Datacenter = cmp.Or(i.Datacenter, "dc1")
	i.Passing, i.Warning = cmp.Or(i.Passing, 1), cmp.Or(i.Warning, 1)
	i.Checks = slices.Clone(i.Checks)
	i.created = c.index + 1
	if old := c.instances[i.key()]; old != nil {
		i.created = old.created
		if old.timer != nil {
			old.timer.Stop()
		}
	}
	i.modified = c.bumpIndexLocked()
	c.instances[i.key()] = &i
}

// Remove takes an instance out of the catalogue, and tells whether it was there.
func (c *Catalogue) Remove(node, id string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	i := c.instances[node+"/"+id]
	if i == nil {
		return false
	}
	if i.timer != nil {
		i.timer.Stop()
	}
	delete(c.instances, i.key())
	c.bumpIndexLocked()
	return true
}

// SetCheck sets the status of a check of an instance, adding it if need be; "" takes it away.
func (c *Catalogue) SetCheck(node, id, check, status string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	i := c.instances[node+"/"+id]
	if i == nil {
		return false
	}
	c.setCheckLocked(i, check, status, "")
	return true
}

// setCheckLocked does it. c.mu is held.
func (c *Catalogue) setCheckLocked(i *Instance, check, status, notes string) {
	at := slices.IndexFunc(i.Checks, func(k Check) bool { return k.CheckID == check })
	i.Checks = slices.Clone(i.Checks) // answers being written hold the old ones
	switch {
	case at >= 0 && i.Checks[at].Status == status:
		return
	case status == "" && at >= 0:
		i.Checks = slices.Delete(i.Checks, at, at+1)
	case status == "":
		return
	case at >= 0:
		i.Checks[at].Status = status
	default:
		i.Checks = append(i.Checks, Check{Node: i.Node, CheckID: check, Name: check, Status: status, Notes: notes, ServiceID: i.ID, ServiceName: i.Service})
	}
	i.modified = c.bumpIndexLocked()
}

// SetMaintenance turns an instance to maintenance or back.
func (c *Catalogue) SetMaintenance(node, id string, on bool, reason string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	i := c.instances[node+"/"+id]
	if i == nil {
		return false
	}
	status := ""
	if on {
		status = "critical"
	}
	c.setCheckLocked(i, "_service_maintenance:"+id, status, reason)
	return true
}

// Instances returns those of a service, in order.
func (c *Catalogue) Instances(service string) (list []Instance) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, key := range slices.Sorted(maps.Keys(c.instances)) {
		if i := c.instances[key]; i.Service == service {
			list = append(list, *i)
		}
	}
	return list
}

// ResetIndex has the index begin anew, as in a cluster that was restored.
func (c *Catalogue) ResetIndex() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.index = 1
	c.bumpIndexLocked()
}

// startTTLLocked starts a TTL check's time anew. c.mu is held.
func (c *Catalogue) startTTLLocked(i *Instance, check string) {
	if i.timer != nil {
		i.timer.Stop()
	}
	i.timer = time.AfterFunc(i.ttl, func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		if c.instances[i.key()] == i {
			c.setCheckLocked(i, check, "critical", "")
		}
	})
}

// Agent is one agent, at an address of its own. It is safe for concurrent use.
type Agent struct {
	Node string // that services registered here are of

	catalogue *Catalogue
	token     string
	listener  net.Listener
	server    *http.Server

	mu                sync.Mutex
	fault             FaultKind
	faultChanged      chan struct{}        // closed when the fault changes
	leavingWrittenAt  map[string]time.Time // by instance: when its leaving was first written, until it is back
	lastList          map[string]bool      // instances of the last list
	queries           int
	bytes             int64
	consistentQueries int // queries in consistent mode
}

// Start returns an agent of a catalogue that listens on loopback. With a token, calls
// must bring it.
func (c *Catalogue) Start(node, token string) (*Agent, error) {
	return c.StartAt("127.0.0.2:0", node, token)
}

// StartAt is Start at an address.
func (c *Catalogue) StartAt(address, node, token string) (*Agent, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	a := &Agent{Node: node, catalogue: c, token: token, listener: listener, faultChanged: make(chan struct{}), leavingWrittenAt: make(map[string]time.Time),
		lastList: make(map[string]bool)}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/health/service/{name}", a.health)
	mux.HandleFunc("GET /v1/catalog/service/{name}", a.catalog)
	mux.HandleFunc("GET /v1/agent/services", a.services)
	mux.HandleFunc("GET /v1/agent/self", a.self)
	mux.HandleFunc("GET /v1/status/leader", func(w http.ResponseWriter, _ *http.Request) { fmt.Fprint(w, `"127.0.0.1:8300"`) })
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

// SetFault makes the agent fail in a way from now on, also what waits; Well makes it well. It
// counts as a change: what is told with an old index is no news to anybody.
func (a *Agent) SetFault(kind FaultKind) {
	a.catalogue.mu.Lock()
	a.catalogue.bumpIndexLocked()
	a.catalogue.mu.Unlock()
	a.mu.Lock()
	defer a.mu.Unlock()
	a.fault = kind
	close(a.faultChanged)
	a.faultChanged = make(chan struct{})
}

// DropRegistrations takes out of the catalogue all that was registered here, as an agent does that
// has lost its state.
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

// LeavingWrittenAt returns when the agent first wrote that an instance drains, has failed or is gone,
// and false while it tells that it is up.
func (a *Agent) LeavingWrittenAt(node, id string) (time.Time, bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	at, ok := a.leavingWrittenAt[node+"/"+id]
	return at, ok
}

// Stats returns how many lists the agent was asked for, how many of them in consistent mode,
// and how many bytes it wrote of them.
func (a *Agent) Stats() (queries, looks int, bytes int64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.queries, a.consistentQueries, a.bytes
}

func (a *Agent) currentFault() (FaultKind, chan struct{}) {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.fault, a.faultChanged
}

// withFaults checks the token, and lets the faults happen that befall every call.
func (a *Agent) withFaults(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if a.token != "" && r.Header.Get("X-Consul-Token") != a.token {
			http.Error(w, "Permission denied: token with AccessorID lacks permission", http.StatusForbidden)
			return
		}
		switch fault, _ := a.currentFault(); fault {
		case NoResponse:
			for fault == NoResponse && r.Context().Err() == nil {
				var changed chan struct{}
				if fault, changed = a.currentFault(); fault == NoResponse {
					select {
					case <-changed:
					case <-r.Context().Done():
					}
				}
			}
			panic(http.ErrAbortHandler)
		case RateLimited:
			w.Header().Set("Retry-After", "1")
			http.Error(w, "rate limit exceeded, try again later", http.StatusTooManyRequests)
		case Forbidden:
			http.Error(w, "Permission denied", http.StatusForbidden)
		case ServerError:
			http.Error(w, "rpc error: No cluster leader", http.StatusInternalServerError)
		default:
			next.ServeHTTP(w, r)
		}
	})
}

// awaitChange blocks as a blocking query does, and returns the index in force. It returns
// false where the agent falls silent meanwhile.
func (a *Agent) awaitChange(r *http.Request) (uint64, bool) {
	q := r.URL.Query()
	index, _ := strconv.ParseUint(q.Get("index"), 10, 64)
	wait, err := time.ParseDuration(q.Get("wait"))
	if err != nil || wait <= 0 || wait > 10*time.Minute {
		wait = 5 * time.Minute
	}
	late := time.NewTimer(wait)
	defer late.Stop()
	for {
		a.catalogue.mu.Lock()
		now, changed := a.catalogue.index, a.catalogue.changed
		a.catalogue.mu.Unlock()
		fault, faulted := a.currentFault()
		if fault == NoResponse {
			return 0, false
		}
		if index == 0 || now != index || fault != NoFault && fault != SlowBody {
			return now, true
		}
		select {
		case <-changed:
		case <-faulted:
			if fault, _ := a.currentFault(); fault != NoResponse {
				return now, true
			}
		case <-late.C:
			return now, true
		case <-r.Context().Done():
			return 0, false
		}
	}
}

type nodeJSON struct {
	ID, Node, Address, Datacenter string
	TaggedAddresses, Meta         map[string]string
	CreateIndex, ModifyIndex      uint64
}

type weights struct{ Passing, Warning float64 }

type serviceJSON struct {
	ID, Service, Address     string
	Tags                     []string
	Meta                     map[string]string
	Port                     int
	Weights                  weights
	CreateIndex, ModifyIndex uint64
}

type healthJSON struct {
	Node    nodeJSON
	Service serviceJSON
	Checks  []Check
}

func (i *Instance) health() healthJSON {
	return healthJSON{Node: nodeJSON{Node: i.Node, Address: cmp.Or(i.NodeAddress, "127.0.0.1"), Datacenter: i.Datacenter, CreateIndex: 1, ModifyIndex: 1},
		Service: serviceJSON{ID: i.ID, Service: i.Service, Address: i.Address, Tags: i.Tags, Meta: i.Meta, Port: i.Port,
			Weights: weights{i.Passing, i.Warning}, CreateIndex: i.created, ModifyIndex: i.modified},
		Checks: append([]Check{{Node: i.Node, CheckID: "serfHealth", Name: "Serf Health Status", Status: "passing"}}, i.Checks...)}
}

// health answers for /v1/health/service/NAME.
func (a *Agent) health(w http.ResponseWriter, r *http.Request) {
	index, ok := a.awaitChange(r)
	if !ok { // silent until the agent is another way: then the connection ends
		for fault, changed := a.currentFault(); fault == NoResponse && r.Context().Err() == nil; fault, changed = a.currentFault() {
			select {
			case <-changed:
			case <-r.Context().Done():
			}
		}
		panic(http.ErrAbortHandler)
	}
	q := r.URL.Query()
	fault, _ := a.currentFault()
	a.mu.Lock()
	a.queries++
	if q.Has("consistent") {
		a.consistentQueries++
	}
	a.mu.Unlock()
	list := []healthJSON{}
	for n, i := range a.catalogue.Instances(r.PathValue("name")) {
		dc := cmp.Or(q.Get("dc"), "dc1")
		if i.Datacenter != dc || q.Get("tag") != "" && !slices.Contains(i.Tags, q.Get("tag")) || fault == PartialList && n%2 == 0 {
			continue
		}
		if q.Has("passing") && slices.ContainsFunc(i.Checks, func(k Check) bool { return k.Status != "passing" }) {
			continue
		}
		list = append(list, i.health())
	}
	h := w.Header()
	h.Set("Content-Type", "application/json")
	h.Set("X-Consul-Index", strconv.FormatUint(index, 10))
	h.Set("X-Consul-KnownLeader", "true")
	h.Set("X-Consul-LastContact", "0")
	h.Set("X-Consul-Effective-Consistency", "leader")
	switch fault {
	case EmptyList:
		list = list[:0]
	case ACLFiltered:
		list = list[:0]
		h.Set("X-Consul-Results-Filtered-By-ACLs", "true")
	case Leaderless:
		h.Set("X-Consul-KnownLeader", "false")
	case StaleLeader:
		h.Set("X-Consul-LastContact", "60000")
	case ZeroIndex:
		h.Set("X-Consul-Index", "0")
	case HugeList:
		a.writeHugeList(w)
		return
	}
	text, err := json.Marshal(list)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	switch fault {
	case MalformedBody:
		text = []byte("<html>proxy error</html>")
	case TruncatedBody:
		h.Set("Content-Length", strconv.Itoa(len(text)))
		w.Write(text[:len(text)/2])
		panic(http.ErrAbortHandler)
	case SlowBody:
		for _, b := range text {
			if _, err := w.Write([]byte{b}); err != nil || r.Context().Err() != nil {
				return
			}
			w.(http.Flusher).Flush()
			time.Sleep(100 * time.Millisecond)
		}
	case NoFault, ZeroIndex:
		a.noteWritten(list)
	}
	a.mu.Lock()
	a.bytes += int64(len(text))
	a.mu.Unlock()
	w.Write(text)
}

// writeHugeList writes a list of 100,000 instances, as long as anybody reads it.
func (a *Agent) writeHugeList(w http.ResponseWriter) {
	fmt.Fprint(w, "[")
	for i := range 100000 {
		one, err := json.Marshal((&Instance{Node: "huge", ID: fmt.Sprint("i", i), Service: "s", Address: "127.0.0.1", Port: 1}).health())
		if err != nil {
			return
		}
		if i > 0 {
			one = append([]byte(","), one...)
		}
		if _, err := w.Write(one); err != nil {
			return
		}
	}
	fmt.Fprint(w, "]")
}

// noteWritten keeps when an instance's leaving was first written.
func (a *Agent) noteWritten(list []healthJSON) {
	now := time.Now()
	a.mu.Lock()
	defer a.mu.Unlock()
	has := make(map[string]bool, len(list))
	for _, h := range list {
		key := h.Node.Node + "/" + h.Service.ID
		has[key] = true
		up := !slices.ContainsFunc(h.Checks, func(k Check) bool { return k.Status == "critical" })
		if _, told := a.leavingWrittenAt[key]; up {
			delete(a.leavingWrittenAt, key)
		} else if !told {
			a.leavingWrittenAt[key] = now
		}
	}
	for key := range a.lastList {
		if _, told := a.leavingWrittenAt[key]; !has[key] && !told {
			a.leavingWrittenAt[key] = now
		}
	}
	a.lastList = has
}

// catalog answers for /v1/catalog/service/NAME.
func (a *Agent) catalog(w http.ResponseWriter, r *http.Request) {
	list := []map[string]any{}
	for _, i := range a.catalogue.Instances(r.PathValue("name")) {
		list = append(list, map[string]any{"Node": i.Node, "Address": cmp.Or(i.NodeAddress, "127.0.0.1"), "Datacenter": i.Datacenter, "ServiceID": i.ID,
			"ServiceName": i.Service, "ServiceAddress": i.Address, "ServicePort": i.Port, "ServiceTags": i.Tags, "ServiceMeta": i.Meta})
	}
	w.Header().Set("X-Consul-Index", "1")
	json.NewEncoder(w).Encode(list)
}

// services answers for /v1/agent/services: those of this agent's node.
func (a *Agent) services(w http.ResponseWriter, _ *http.Request) {
	out := map[string]serviceJSON{}
	a.catalogue.mu.Lock()
	for _, i := range a.catalogue.instances {
		if i.Node == a.Node {
			out[i.ID] = i.health().Service
		}
	}
	a.catalogue.mu.Unlock()
	json.NewEncoder(w).Encode(out)
}

func (a *Agent) self(w http.ResponseWriter, _ *http.Request) {
	json.NewEncoder(w).Encode(map[string]any{"Config": map[string]any{"Datacenter": "dc1", "NodeName": a.Node, "Version": "1.20.0"}})
}

// register answers for /v1/agent/service/register.
func (a *Agent) register(w http.ResponseWriter, r *http.Request) {
	var in struct {
		ID, Name, Address string
		Port              int
		Tags              []string
		Meta              map[string]string
		Weights           *weights
		Check             *struct{ CheckID, Name, TTL, Status string }
	}
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, 1<<20)).Decode(&in); err != nil || in.Name == "" {
		http.Error(w, "Request decode failed", http.StatusBadRequest)
		return
	}
	i := Instance{Node: a.Node, ID: cmp.Or(in.ID, in.Name), Service: in.Name, Address: in.Address, Port: in.Port, Tags: in.Tags, Meta: in.Meta}
	if in.Weights != nil {
		i.Passing, i.Warning = in.Weights.Passing, in.Weights.Warning
	}
	c := a.catalogue
	c.mu.Lock()
	defer c.mu.Unlock()
	if in.Check != nil {
		ttl, err := time.ParseDuration(in.Check.TTL)
		if err != nil || ttl <= 0 {
			http.Error(w, "Invalid check: TTL must be > 0 for TTL checks", http.StatusBadRequest)
			return
		}
		check := cmp.Or(in.Check.CheckID, "service:"+i.ID)
		i.ttl = ttl
		i.Checks = []Check{{Node: a.Node, CheckID: check, Name: in.Check.Name, Status: cmp.Or(in.Check.Status, "critical"), ServiceID: i.ID,
			ServiceName: i.Service, Type: "ttl"}}
		c.setLocked(i)
		c.startTTLLocked(c.instances[i.key()], check)
		return
	}
	c.setLocked(i)
}

func (a *Agent) deregister(w http.ResponseWriter, r *http.Request) {
	if id := r.PathValue("id"); !a.catalogue.Remove(a.Node, id) {
		http.Error(w, fmt.Sprintf("Unknown service ID %q. Ensure that the service ID is passed, not the service name.", id), http.StatusNotFound)
	}
}

func (a *Agent) maintenance(w http.ResponseWriter, r *http.Request) {
	id, on := r.PathValue("id"), r.URL.Query().Get("enable")
	if on != "true" && on != "false" {
		http.Error(w, "Missing value for enable", http.StatusBadRequest)
		return
	}
	if !a.catalogue.SetMaintenance(a.Node, id, on == "true", r.URL.Query().Get("reason")) {
		http.Error(w, fmt.Sprintf("Unknown service ID %q", id), http.StatusNotFound)
	}
}

// check answers for /v1/agent/check/pass|warn|fail|update/ID.
func (a *Agent) check(w http.ResponseWriter, r *http.Request) {
	status, ok := map[string]string{"pass": "passing", "warn": "warning", "fail": "critical"}[r.PathValue("verb")]
	if r.PathValue("verb") == "update" {
		var in struct{ Status string }
		if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, 1<<20)).Decode(&in); err == nil {
			status, ok = in.Status, slices.Contains([]string{"passing", "warning", "critical"}, in.Status)
		}
	}
	if !ok {
		http.Error(w, "Invalid check status", http.StatusBadRequest)
		return
	}
	id := r.PathValue("id")
	c := a.catalogue
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, i := range c.instances {
		if i.Node == a.Node && i.ttl > 0 && slices.ContainsFunc(i.Checks, func(k Check) bool { return k.CheckID == id }) {
			c.setCheckLocked(i, id, status, "")
			c.startTTLLocked(i, id)
			return
		}
	}
	http.Error(w, fmt.Sprintf("Unknown check ID %q. Ensure that the check ID is passed, not the check name.", id), http.StatusNotFound)
}
