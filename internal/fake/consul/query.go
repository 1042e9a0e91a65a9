package consul

import (
	"cmp"
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"time"
)

// The default and the limit of the time that a query may block, as Consul has them.
const (
	defaultQueryWait = 5 * time.Minute
	maxQueryWait     = 10 * time.Minute
)

// awaitChange blocks as a blocking query does, and returns the index in force; false if the agent stops responding
// meanwhile.
func (a *Agent) awaitChange(r *http.Request) (uint64, bool) {
	q := r.URL.Query()
	index, _ := strconv.ParseUint(q.Get("index"), 10, 64)
	wait, err := time.ParseDuration(q.Get("wait"))
	if err != nil || wait <= 0 || wait > maxQueryWait {
		wait = defaultQueryWait
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
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
		case <-timer.C:
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

// health is the instance as /v1/health reports it.
func (i *Instance) health() healthJSON {
	serfHealth := Check{Node: i.Node, CheckID: "serfHealth", Name: "Serf Health Status", Status: "passing"}
	return healthJSON{
		Node: nodeJSON{
			Node:        i.Node,
			Address:     cmp.Or(i.NodeAddress, defaultNodeAddress),
			Datacenter:  i.Datacenter,
			CreateIndex: 1,
			ModifyIndex: 1,
		},
		Service: serviceJSON{
			ID:          i.ID,
			Service:     i.Service,
			Address:     i.Address,
			Tags:        i.Tags,
			Meta:        i.Meta,
			Port:        i.Port,
			Weights:     weights{i.Passing, i.Warning},
			CreateIndex: i.created,
			ModifyIndex: i.modified,
		},
		Checks: append([]Check{serfHealth}, i.Checks...),
	}
}

// health answers /v1/health/service/NAME.
func (a *Agent) health(w http.ResponseWriter, r *http.Request) {
	index, ok := a.awaitChange(r)
	if !ok { // the connection ends once the agent responds again
		a.awaitResponsive(r.Context())
		panic(http.ErrAbortHandler)
	}
	fault, _ := a.currentFault()
	a.mu.Lock()
	a.queries++
	if r.URL.Query().Has("consistent") {
		a.consistentQueries++
	}
	a.mu.Unlock()
	setHeader(w.Header(), index, fault)
	list := a.healthList(r, fault)
	switch fault {
	case EmptyList, ACLFiltered:
		list = list[:0]
	case HugeList:
		writeHugeList(w)
		return
	}
	a.writeList(w, r, list, fault)
}

// healthList returns the instances that a query asks for.
func (a *Agent) healthList(r *http.Request, fault FaultKind) []healthJSON {
	q := r.URL.Query()
	datacenter, tag := cmp.Or(q.Get("dc"), defaultDatacenter), q.Get("tag")
	notPassing := func(k Check) bool { return k.Status != "passing" }
	list := []healthJSON{}
	for n, i := range a.catalogue.Instances(r.PathValue("name")) {
		switch {
		case i.Datacenter != datacenter:
		case tag != "" && !slices.Contains(i.Tags, tag):
		case fault == PartialList && n%2 == 0:
		case q.Has("passing") && slices.ContainsFunc(i.Checks, notPassing):
		default:
			list = append(list, i.health())
		}
	}
	return list
}

// setHeader sets Consul's headers, as a fault has them.
func setHeader(h http.Header, index uint64, fault FaultKind) {
	h.Set("Content-Type", "application/json")
	h.Set("X-Consul-Index", strconv.FormatUint(index, 10))
	h.Set("X-Consul-KnownLeader", "true")
	h.Set("X-Consul-LastContact", "0")
	h.Set("X-Consul-Effective-Consistency", "leader")
	switch fault {
	case ACLFiltered:
		h.Set("X-Consul-Results-Filtered-By-ACLs", "true")
	case Leaderless:
		h.Set("X-Consul-KnownLeader", "false")
	case StaleLeader:
		h.Set("X-Consul-LastContact", "60000") // milliseconds
	case ZeroIndex:
		h.Set("X-Consul-Index", "0")
	}
}

// slowByteInterval is the time between bytes of a slow body.
const slowByteInterval = 100 * time.Millisecond

// writeList writes a list, as a fault has its body.
func (a *Agent) writeList(w http.ResponseWriter, r *http.Request, list []healthJSON, fault FaultKind) {
	text, err := json.Marshal(list)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	switch fault {
	case MalformedBody:
		text = []byte("<html>proxy error</html>")
	case TruncatedBody:
		w.Header().Set("Content-Length", strconv.Itoa(len(text)))
		w.Write(text[:len(text)/2])
		panic(http.ErrAbortHandler)
	case SlowBody:
		for _, b := range text {
			if _, err := w.Write([]byte{b}); err != nil || r.Context().Err() != nil {
				return
			}
			w.(http.Flusher).Flush()
			time.Sleep(slowByteInterval)
		}
	case NoFault, ZeroIndex:
		a.noteWritten(list)
	}
	a.mu.Lock()
	a.bytes += int64(len(text))
	a.mu.Unlock()
	w.Write(text)
}

// hugeListLength is the number of instances of a huge list.
const hugeListLength = 100000

// writeHugeList writes a huge list, until it is not read any more.
func writeHugeList(w http.ResponseWriter) {
	fmt.Fprint(w, "[")
	for n := range hugeListLength {
		i := Instance{Node: "huge", ID: fmt.Sprint("i", n), Service: "s", Address: defaultNodeAddress, Port: 1}
		text, err := json.Marshal(i.health())
		if err != nil {
			return
		}
		if n > 0 {
			text = append([]byte(","), text...)
		}
		if _, err := w.Write(text); err != nil {
			return
		}
	}
	fmt.Fprint(w, "]")
}

// noteWritten notes when it was first written that an instance is leaving.
func (a *Agent) noteWritten(list []healthJSON) {
	now := time.Now()
	a.mu.Lock()
	defer a.mu.Unlock()
	listed := make(map[string]bool, len(list))
	for _, h := range list {
		key := h.Node.Node + "/" + h.Service.ID
		listed[key] = true
		up := !slices.ContainsFunc(h.Checks, func(k Check) bool { return k.Status == "critical" })
		if _, noted := a.leavingWrittenAt[key]; up {
			delete(a.leavingWrittenAt, key)
		} else if !noted {
			a.leavingWrittenAt[key] = now
		}
	}
	for key := range a.lastList {
		if _, noted := a.leavingWrittenAt[key]; !listed[key] && !noted {
			a.leavingWrittenAt[key] = now
		}
	}
	a.lastList = listed
}

// catalog answers /v1/catalog/service/NAME.
func (a *Agent) catalog(w http.ResponseWriter, r *http.Request) {
	list := []map[string]any{}
	for _, i := range a.catalogue.Instances(r.PathValue("name")) {
		list = append(list, map[string]any{
			"Node":           i.Node,
			"Address":        cmp.Or(i.NodeAddress, defaultNodeAddress),
			"Datacenter":     i.Datacenter,
			"ServiceID":      i.ID,
			"ServiceName":    i.Service,
			"ServiceAddress": i.Address,
			"ServicePort":    i.Port,
			"ServiceTags":    i.Tags,
			"ServiceMeta":    i.Meta,
		})
	}
	w.Header().Set("X-Consul-Index", "1")
	json.NewEncoder(w).Encode(list)
}
