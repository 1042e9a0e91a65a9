// Package consul is a fake of Consul's catalogue and of the agents that report it, by the published HTTP API: health
// and catalogue of a service with blocking queries, an agent's services and TTL checks, maintenance, status. It knows
// what it wrote of each node to whom and when, and fails on demand by a [FaultKind]. An agent owns its server's
// goroutines; Close ends them.
package consul

import (
	"cmp"
	"maps"
	"slices"
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

const (
	defaultDatacenter  = "dc1"
	defaultNodeAddress = "127.0.0.1"
	firstIndex         = 10
)

// Catalogue is what agents report. It is safe for concurrent use.
type Catalogue struct {
	mu        sync.Mutex
	changed   chan struct{} // closed at each change
	index     uint64
	instances map[string]*Instance // by node and ID
}

// New returns an empty catalogue.
func New() *Catalogue {
	return &Catalogue{changed: make(chan struct{}), index: firstIndex, instances: make(map[string]*Instance)}
}

func (i *Instance) key() string { return i.Node + "/" + i.ID }

// bumpIndexLocked counts a change and wakes waiting queries. c.mu is held.
func (c *Catalogue) bumpIndexLocked() uint64 {
	c.index++
	close(c.changed)
	c.changed = make(chan struct{})
	return c.index
}

// Set registers an instance, or changes it.
func (c *Catalogue) Set(i Instance) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.setLocked(i)
}

// setLocked registers an instance. c.mu is held.
func (c *Catalogue) setLocked(i Instance) {
	i.Datacenter = cmp.Or(i.Datacenter, defaultDatacenter)
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

// Remove removes an instance, and reports whether there was one.
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

// SetCheck sets the status of a check of an instance, adding the check if need be; "" removes it. It reports whether
// there is the instance.
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

// setCheckLocked sets the status of a check. c.mu is held.
func (c *Catalogue) setCheckLocked(i *Instance, check, status, notes string) {
	at := slices.IndexFunc(i.Checks, func(k Check) bool { return k.CheckID == check })
	i.Checks = slices.Clone(i.Checks) // answers in progress have the old list
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
		i.Checks = append(i.Checks, Check{
			Node:        i.Node,
			CheckID:     check,
			Name:        check,
			Status:      status,
			Notes:       notes,
			ServiceID:   i.ID,
			ServiceName: i.Service,
		})
	}
	i.modified = c.bumpIndexLocked()
}

// SetMaintenance turns the maintenance mode of an instance on or off, and reports whether there is the instance.
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

// Instances returns the instances of a service, in order.
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

// ResetIndex has the index start again, as in a cluster that was restored from a backup.
func (c *Catalogue) ResetIndex() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.index = 1
	c.bumpIndexLocked()
}

// startTTLLocked starts the time of a TTL check again. c.mu is held.
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
