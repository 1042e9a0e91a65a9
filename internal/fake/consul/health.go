package consul

import (
	"cmp"
	"encoding/json"
	"fmt"
	"net/http"
	"net/url"
	"slices"
	"strconv"
	"time"
)

const (
	defaultWait = 5 * time.Minute  // wait of a blocking query that specifies none
	maxWait     = 10 * time.Minute // longest wait of a blocking query

	slowByteInterval = 100 * time.Millisecond // between two bytes of SlowBody
	hugeListLength   = 100_000                // instances of HugeList
)

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

// nodeAddress returns the address of the Consul node that the instance belongs to.
func (i *Instance) nodeAddress() string { return cmp.Or(i.NodeAddress, "127.0.0.1") }

func (i *Instance) health() healthJSON {
	nodeCheck := Check{Node: i.Node, CheckID: "serfHealth", Name: "Serf Health Status", Status: passing}
	return healthJSON{
		Node: nodeJSON{
			Node:        i.Node,
			Address:     i.nodeAddress(),
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
		Checks: append([]Check{nodeCheck}, i.Checks...),
	}
}

// waitForChange blocks as a blocking query does, and returns the current index. It returns false if the agent stops
// responding, or the client leaves, before the query ends.
func (a *Agent) waitForChange(r *http.Request) (index uint64, ok bool) {
	query := r.URL.Query()
	known, _ := strconv.ParseUint(query.Get("index"), 10, 64)
	wait, err := time.ParseDuration(query.Get("wait"))
	if err != nil || wait <= 0 || wait > maxWait {
		wait = defaultWait
	}
	timeout := time.NewTimer(wait)
	defer timeout.Stop()
	for {
		a.catalogue.mu.Lock()
		now, changed := a.catalogue.index, a.catalogue.changed
		a.catalogue.mu.Unlock()
		fault, faultChanged := a.currentFault()
		if fault == NoResponse {
			return 0, false
		}
		// All other faults except SlowBody take effect without waiting for a change.
		if known == 0 || now != known || fault != NoFault && fault != SlowBody {
			return now, true
		}
		select {
		case <-changed:
		case <-faultChanged:
			if fault, _ := a.currentFault(); fault != NoResponse {
				return now, true
			}
		case <-timeout.C:
			return now, true
		case <-r.Context().Done():
			return 0, false
		}
	}
}

// handleHealth answers /v1/health/service/NAME.
func (a *Agent) handleHealth(w http.ResponseWriter, r *http.Request) {
	index, ok := a.waitForChange(r)
	if !ok {
		a.abortAfterSilence(r)
	}
	query := r.URL.Query()
	fault, _ := a.currentFault()
	a.countQuery(query)
	list := a.healthList(r.PathValue("name"), query, fault)
	setHealthHeader(w.Header(), index, fault)
	if fault == HugeList {
		writeHugeList(w)
		return
	}
	body, err := json.Marshal(list)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	if fault == NoFault || fault == ZeroIndex {
		a.recordReport(list)
	}
	a.writeHealthBody(w, r, body, fault)
}

func (a *Agent) countQuery(query url.Values) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.queries++
	if query.Has("consistent") {
		a.consistentQueries++
	}
}

// healthList returns the instances of a service that match a query. It never returns nil, which would be encoded as
// null instead of an empty list.
func (a *Agent) healthList(service string, query url.Values, fault FaultKind) []healthJSON {
	list := []healthJSON{}
	if fault == EmptyList || fault == ACLFiltered {
		return list
	}
	for n, i := range a.catalogue.Instances(service) {
		if fault == PartialList && n%2 == 0 {
			continue
		}
		if i.matches(query) {
			list = append(list, i.health())
		}
	}
	return list
}

// matches reports whether the instance is in the datacenter and has the tag and the status that a query asks for.
func (i *Instance) matches(query url.Values) bool {
	if i.Datacenter != cmp.Or(query.Get("dc"), defaultDatacenter) {
		return false
	}
	if tag := query.Get("tag"); tag != "" && !slices.Contains(i.Tags, tag) {
		return false
	}
	isNotPassing := func(c Check) bool { return c.Status != passing }
	return !query.Has("passing") || !slices.ContainsFunc(i.Checks, isNotPassing)
}

func setHealthHeader(header http.Header, index uint64, fault FaultKind) {
	header.Set("Content-Type", "application/json")
	header.Set("X-Consul-Index", strconv.FormatUint(index, 10))
	header.Set("X-Consul-KnownLeader", "true")
	header.Set("X-Consul-LastContact", "0")
	header.Set("X-Consul-Effective-Consistency", "leader")
	switch fault {
	case ACLFiltered:
		header.Set("X-Consul-Results-Filtered-By-ACLs", "true")
	case Leaderless:
		header.Set("X-Consul-KnownLeader", "false")
	case StaleLeader:
		header.Set("X-Consul-LastContact", "60000") // ms
	case ZeroIndex:
		header.Set("X-Consul-Index", "0")
	}
}

// writeHealthBody writes the body of a list, and applies the fault if it affects bodies.
func (a *Agent) writeHealthBody(w http.ResponseWriter, r *http.Request, body []byte, fault FaultKind) {
	switch fault {
	case MalformedBody:
		body = []byte("<html>proxy error</html>")
	case TruncatedBody:
		w.Header().Set("Content-Length", strconv.Itoa(len(body)))
		w.Write(body[:len(body)/2])
		panic(http.ErrAbortHandler)
	case SlowBody:
		if !writeSlowly(w, r, body) {
			return
		}
		// A client that has read the slow body to its end receives it a second time, below.
	}
	a.mu.Lock()
	a.bytesWritten += int64(len(body))
	a.mu.Unlock()
	w.Write(body)
}

// writeSlowly writes a body one byte at a time, and returns false if the client leaves before the end of the body.
func writeSlowly(w http.ResponseWriter, r *http.Request, body []byte) bool {
	for _, b := range body {
		if _, err := w.Write([]byte{b}); err != nil || r.Context().Err() != nil {
			return false
		}
		w.(http.Flusher).Flush()
		time.Sleep(slowByteInterval)
	}
	return true
}

// writeHugeList writes a list of hugeListLength instances, as long as the client reads it.
func writeHugeList(w http.ResponseWriter) {
	fmt.Fprint(w, "[")
	for number := range hugeListLength {
		i := Instance{Node: "huge", ID: fmt.Sprint("i", number), Service: "s", Address: "127.0.0.1", Port: 1}
		element, err := json.Marshal(i.health())
		if err != nil {
			return
		}
		if number > 0 {
			element = append([]byte(","), element...)
		}
		if _, err := w.Write(element); err != nil {
			return
		}
	}
	fmt.Fprint(w, "]")
}

// recordReport records which instances a list that is about to be written reports as unavailable or no longer contains.
func (a *Agent) recordReport(list []healthJSON) {
	now := time.Now()
	a.mu.Lock()
	defer a.mu.Unlock()
	markUnavailable := func(key instanceKey) {
		if _, marked := a.unavailableSince[key]; !marked {
			a.unavailableSince[key] = now
		}
	}
	reported := make(map[instanceKey]bool, len(list))
	for _, h := range list {
		key := newInstanceKey(h.Node.Node, h.Service.ID)
		reported[key] = true
		isCritical := func(c Check) bool { return c.Status == critical }
		if slices.ContainsFunc(h.Checks, isCritical) {
			markUnavailable(key)
		} else {
			delete(a.unavailableSince, key)
		}
	}
	for key := range a.lastReported {
		if !reported[key] {
			markUnavailable(key)
		}
	}
	a.lastReported = reported
}

// handleCatalogue answers /v1/catalog/service/NAME.
func (a *Agent) handleCatalogue(w http.ResponseWriter, r *http.Request) {
	list := []map[string]any{}
	for _, i := range a.catalogue.Instances(r.PathValue("name")) {
		list = append(list, map[string]any{
			"Node":           i.Node,
			"Address":        i.nodeAddress(),
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

// handleLeader answers /v1/status/leader.
func handleLeader(w http.ResponseWriter, _ *http.Request) { fmt.Fprint(w, `"127.0.0.1:8300"`) }
