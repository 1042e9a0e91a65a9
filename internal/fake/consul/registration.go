package consul

import (
	"cmp"
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"time"
)

// handleServices answers /v1/agent/services with the services of the agent's node.
func (a *Agent) handleServices(w http.ResponseWriter, _ *http.Request) {
	services := map[string]serviceJSON{}
	a.catalogue.mu.Lock()
	for _, i := range a.catalogue.instances {
		if i.Node == a.Node {
			services[i.ID] = i.health().Service
		}
	}
	a.catalogue.mu.Unlock()
	json.NewEncoder(w).Encode(services)
}

// handleSelf answers /v1/agent/self.
func (a *Agent) handleSelf(w http.ResponseWriter, _ *http.Request) {
	config := map[string]any{"Datacenter": defaultDatacenter, "NodeName": a.Node, "Version": "1.20.0"}
	json.NewEncoder(w).Encode(map[string]any{"Config": config})
}

// registration is the body of /v1/agent/service/register.
type registration struct {
	ID, Name, Address string
	Port              int
	Tags              []string
	Meta              map[string]string
	Weights           *weights
	Check             *struct{ CheckID, Name, TTL, Status string }
}

// instance returns the instance to register, with its TTL check if it has one. It returns false if the TTL is invalid.
func (reg *registration) instance(node string) (i Instance, ok bool) {
	i = Instance{
		Node:    node,
		ID:      cmp.Or(reg.ID, reg.Name),
		Service: reg.Name,
		Address: reg.Address,
		Port:    reg.Port,
		Tags:    reg.Tags,
		Meta:    reg.Meta,
	}
	if reg.Weights != nil {
		i.Passing = reg.Weights.Passing
		i.Warning = reg.Weights.Warning
	}
	if reg.Check == nil {
		return i, true
	}
	ttl, err := time.ParseDuration(reg.Check.TTL)
	if err != nil || ttl <= 0 {
		return i, false
	}
	i.ttl = ttl
	i.Checks = []Check{{
		Node:        node,
		CheckID:     cmp.Or(reg.Check.CheckID, "service:"+i.ID),
		Name:        reg.Check.Name,
		Status:      cmp.Or(reg.Check.Status, critical),
		ServiceID:   i.ID,
		ServiceName: i.Service,
		Type:        "ttl",
	}}
	return i, true
}

// handleRegister answers /v1/agent/service/register.
func (a *Agent) handleRegister(w http.ResponseWriter, r *http.Request) {
	var reg registration
	err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBodySize)).Decode(&reg)
	if err != nil || reg.Name == "" {
		http.Error(w, "Request decode failed", http.StatusBadRequest)
		return
	}
	i, ok := reg.instance(a.Node)
	if !ok {
		http.Error(w, "Invalid check: TTL must be > 0 for TTL checks", http.StatusBadRequest)
		return
	}
	c := a.catalogue
	c.mu.Lock()
	defer c.mu.Unlock()
	c.put(i)
	if i.ttl > 0 {
		c.restartTTL(c.instances[i.key()], i.Checks[0].CheckID)
	}
}

// handleDeregister answers /v1/agent/service/deregister/ID.
func (a *Agent) handleDeregister(w http.ResponseWriter, r *http.Request) {
	id := r.PathValue("id")
	if !a.catalogue.Remove(a.Node, id) {
		const format = "Unknown service ID %q. Ensure that the service ID is passed, not the service name."
		http.Error(w, fmt.Sprintf(format, id), http.StatusNotFound)
	}
}

// handleMaintenance answers /v1/agent/service/maintenance/ID.
func (a *Agent) handleMaintenance(w http.ResponseWriter, r *http.Request) {
	id := r.PathValue("id")
	enable := r.URL.Query().Get("enable")
	if enable != "true" && enable != "false" {
		http.Error(w, "Missing value for enable", http.StatusBadRequest)
		return
	}
	if !a.catalogue.SetMaintenance(a.Node, id, enable == "true", r.URL.Query().Get("reason")) {
		http.Error(w, fmt.Sprintf("Unknown service ID %q", id), http.StatusNotFound)
	}
}

// handleCheck answers /v1/agent/check/VERB/ID, where VERB is pass, warn, fail or update.
func (a *Agent) handleCheck(w http.ResponseWriter, r *http.Request) {
	status, ok := requestedStatus(w, r)
	if !ok {
		http.Error(w, "Invalid check status", http.StatusBadRequest)
		return
	}
	id := r.PathValue("id")
	c := a.catalogue
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, i := range c.instances {
		if i.Node == a.Node && i.ttl > 0 && i.hasCheck(id) {
			c.updateCheck(i, id, status, "")
			c.restartTTL(i, id)
			return
		}
	}
	const format = "Unknown check ID %q. Ensure that the check ID is passed, not the check name."
	http.Error(w, fmt.Sprintf(format, id), http.StatusNotFound)
}

// requestedStatus returns the status that a request sets a check to. It returns false if the request has no valid one.
func requestedStatus(w http.ResponseWriter, r *http.Request) (status string, ok bool) {
	switch r.PathValue("verb") {
	case "pass":
		return passing, true
	case "warn":
		return warning, true
	case "fail":
		return critical, true
	case "update":
		var in struct{ Status string }
		if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBodySize)).Decode(&in); err != nil {
			return "", false
		}
		return in.Status, slices.Contains([]string{passing, warning, critical}, in.Status)
	default:
		return "", false
	}
}
