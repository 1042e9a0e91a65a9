package consul

import (
	"cmp"
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"time"
)

// services answers /v1/agent/services: the services of this agent's machine.
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

// self answers /v1/agent/self.
func (a *Agent) self(w http.ResponseWriter, _ *http.Request) {
	config := map[string]any{"Datacenter": defaultDatacenter, "NodeName": a.Node, "Version": "1.20.0"}
	json.NewEncoder(w).Encode(map[string]any{"Config": config})
}

// maxRequestBytes bounds the body of a request.
const maxRequestBytes = 1 << 20

// registration is the body of a registration.
type registration struct {
	ID, Name, Address string
	Port              int
	Tags              []string
	Meta              map[string]string
	Weights           *weights
	Check             *struct{ CheckID, Name, TTL, Status string }
}

// register answers /v1/agent/service/register.
func (a *Agent) register(w http.ResponseWriter, r *http.Request) {
	var in registration
	body := http.MaxBytesReader(w, r.Body, maxRequestBytes)
	if err := json.NewDecoder(body).Decode(&in); err != nil || in.Name == "" {
		http.Error(w, "Request decode failed", http.StatusBadRequest)
		return
	}
	i := Instance{
		Node:    a.Node,
		ID:      cmp.Or(in.ID, in.Name),
		Service: in.Name,
		Address: in.Address,
		Port:    in.Port,
		Tags:    in.Tags,
		Meta:    in.Meta,
	}
	if in.Weights != nil {
		i.Passing = in.Weights.Passing
		i.Warning = in.Weights.Warning
	}
	c := a.catalogue
	c.mu.Lock()
	defer c.mu.Unlock()
	if in.Check == nil {
		c.setLocked(i)
		return
	}
	ttl, err := time.ParseDuration(in.Check.TTL)
	if err != nil || ttl <= 0 {
		http.Error(w, "Invalid check: TTL must be > 0 for TTL checks", http.StatusBadRequest)
		return
	}
	i.ttl = ttl
	check := Check{
		Node:        a.Node,
		CheckID:     cmp.Or(in.Check.CheckID, "service:"+i.ID),
		Name:        in.Check.Name,
		Status:      cmp.Or(in.Check.Status, "critical"),
		ServiceID:   i.ID,
		ServiceName: i.Service,
		Type:        "ttl",
	}
	i.Checks = []Check{check}
	c.setLocked(i)
	c.startTTLLocked(c.instances[i.key()], check.CheckID)
}

// deregister answers /v1/agent/service/deregister/ID.
func (a *Agent) deregister(w http.ResponseWriter, r *http.Request) {
	id := r.PathValue("id")
	if a.catalogue.Remove(a.Node, id) {
		return
	}
	text := fmt.Sprintf("Unknown service ID %q. Ensure that the service ID is passed, not the service name.", id)
	http.Error(w, text, http.StatusNotFound)
}

// maintenance answers /v1/agent/service/maintenance/ID.
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

// statusOfVerb are the statuses that the verbs of checks set.
var statusOfVerb = map[string]string{"pass": "passing", "warn": "warning", "fail": "critical"}

// checkStatus returns the status that a request sets; false if it names none.
func checkStatus(w http.ResponseWriter, r *http.Request) (status string, ok bool) {
	if r.PathValue("verb") != "update" {
		status, ok = statusOfVerb[r.PathValue("verb")]
		return status, ok
	}
	var in struct{ Status string }
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxRequestBytes)).Decode(&in); err != nil {
		return "", false
	}
	return in.Status, slices.Contains([]string{"passing", "warning", "critical"}, in.Status)
}

// check answers /v1/agent/check/pass|warn|fail|update/ID.
func (a *Agent) check(w http.ResponseWriter, r *http.Request) {
	status, ok := checkStatus(w, r)
	if !ok {
		http.Error(w, "Invalid check status", http.StatusBadRequest)
		return
	}
	id := r.PathValue("id")
	hasCheck := func(k Check) bool { return k.CheckID == id }
	c := a.catalogue
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, i := range c.instances {
		if i.Node == a.Node && i.ttl > 0 && slices.ContainsFunc(i.Checks, hasCheck) {
			c.setCheckLocked(i, id, status, "")
			c.startTTLLocked(i, id)
			return
		}
	}
	text := fmt.Sprintf("Unknown check ID %q. Ensure that the check ID is passed, not the check name.", id)
	http.Error(w, text, http.StatusNotFound)
}
