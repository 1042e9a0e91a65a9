package consul

import (
	"cmp"
	"maps"
	"slices"
	"sync"
	"time"
)

// Check is a health check of an instance, encoded as in Consul's API.
type Check struct {
	Node, CheckID, Name, Status, Notes, Output string
	ServiceID, ServiceName, Type               string
	CreateIndex, ModifyIndex                   uint64
}

// Statuses of checks.
const (
	passing  = "passing"
	warning  = "warning"
	critical = "critical"
)

const (
	defaultDatacenter = "dc1"
	initialIndex      = 10 // of a new catalogue; a restored one starts lower
)

// Instance is an instance of a service as agents register it.
type Instance struct {
	Node, NodeAddress string // of the Consul node that the instance belongs to
	Datacenter        string // "" means dc1
	ID, Service       string
	Address           string
	Port              int
	Tags              []string
	Meta              map[string]string
	Passing, Warning  float64 // weights; 0 means 1
	Checks            []Check

	created, modified uint64        // indexes of the first and the last change
	ttl               time.Duration // of the instance's TTL check; 0 if it has none
	ttlTimer          *time.Timer   // sets the TTL check to critical
}

// instanceKey identifies an instance in a catalogue. Lists of instances are sorted by this key.
type instanceKey string

func newInstanceKey(node, id string) instanceKey { return instanceKey(node + "/" + id) }

func (i *Instance) key() instanceKey { return newInstanceKey(i.Node, i.ID) }

func (i *Instance) stopTTL() {
	if i.ttlTimer != nil {
		i.ttlTimer.Stop()
	}
}

// hasCheck reports whether the instance has a check with this ID.
func (i *Instance) hasCheck(id string) bool {
	return slices.ContainsFunc(i.Checks, func(c Check) bool { return c.CheckID == id })
}

// Catalogue is the state that agents serve. It is safe for concurrent use.
type Catalogue struct {
	mu        sync.Mutex    // never held together with Agent.mu
	changed   chan struct{} // closed at each change
	index     uint64
	instances map[instanceKey]*Instance
}

// New returns an empty catalogue.
func New() *Catalogue {
	return &Catalogue{
		changed:   make(chan struct{}),
		index:     initialIndex,
		instances: make(map[instanceKey]*Instance),
	}
}

// advance counts a change, wakes blocking queries and returns the new index. c.mu is held.
func (c *Catalogue) advance() uint64 {
	c.index++
	close(c.changed)
	c.changed = make(chan struct{})
	return c.index
}

// Set adds or replaces an instance.
func (c *Catalogue) Set(i Instance) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.put(i)
}

// put adds or replaces an instance. c.mu is held.
func (c *Catalogue) put(i Instance) {
	i.Datacenter = cmp.Or(i.Datacenter, defaultDatacenter)
	i.Passing = cmp.Or(i.Passing, 1)
	i.Warning = cmp.Or(i.Warning, 1)
	i.Checks = slices.Clone(i.Checks)
	i.created = c.index + 1
	if old := c.instances[i.key()]; old != nil {
		i.created = old.created
		old.stopTTL()
	}
	i.modified = c.advance()
	c.instances[i.key()] = &i
}

// Remove removes an instance and reports whether the catalogue had it.
func (c *Catalogue) Remove(node, id string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	i := c.instances[newInstanceKey(node, id)]
	if i == nil {
		return false
	}
	c.drop(i)
	return true
}

// drop removes an instance that is in the catalogue. c.mu is held.
func (c *Catalogue) drop(i *Instance) {
	i.stopTTL()
	delete(c.instances, i.key())
	c.advance()
}

// SetCheck sets the status of a check of an instance and adds the check if it is missing; "" removes it. It reports
// whether the instance exists.
func (c *Catalogue) SetCheck(node, id, check, status string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	i := c.instances[newInstanceKey(node, id)]
	if i == nil {
		return false
	}
	c.updateCheck(i, check, status, "")
	return true
}

// updateCheck implements SetCheck; a check that it adds gets the notes. c.mu is held.
func (c *Catalogue) updateCheck(i *Instance, check, status, notes string) {
	position := slices.IndexFunc(i.Checks, func(c Check) bool { return c.CheckID == check })
	i.Checks = slices.Clone(i.Checks) // answers that are being written share the old slice
	switch {
	case position >= 0 && i.Checks[position].Status == status:
		return
	case status == "" && position >= 0:
		i.Checks = slices.Delete(i.Checks, position, position+1)
	case status == "":
		return
	case position >= 0:
		i.Checks[position].Status = status
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
	i.modified = c.advance()
}

// SetMaintenance starts or ends the maintenance of an instance by adding or removing a critical check, as Consul does.
// It reports whether the instance exists.
//
//revive:disable-next-line:flag-parameter the flag is the state to set
func (c *Catalogue) SetMaintenance(node, id string, on bool, reason string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	i := c.instances[newInstanceKey(node, id)]
	if i == nil {
		return false
	}
	status := ""
	if on {
		status = critical
	}
	c.updateCheck(i, "_service_maintenance:"+id, status, reason)
	return true
}

// Instances returns the instances of a service, ordered by node and ID.
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

// ResetIndex sets the index back to a low value, as in a cluster that was restored from a backup.
func (c *Catalogue) ResetIndex() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.index = 1
	c.advance()
}

// restartTTL restarts the timer that makes a TTL check critical. c.mu is held.
func (c *Catalogue) restartTTL(i *Instance, check string) {
	i.stopTTL()
	i.ttlTimer = time.AfterFunc(i.ttl, func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		if c.instances[i.key()] == i {
			c.updateCheck(i, check, critical, "")
		}
	})
}
