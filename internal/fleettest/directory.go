package fleettest

import (
	"fmt"
	"strings"
	"sync"
	"time"

	"mulleinpier/internal/fake/consul"
	"mulleinpier/internal/fake/endpointlist"
)

// directory is where the proxies of a fleet learn of its nodes. It knows when each was
// told what.
type directory interface {
	// config opens a place for a proxy, and returns what its configuration says of it.
	config(proxy int) (string, error)
	// notifiedAt returns when a proxy was first told that a node drains or is gone, and false
	// while it is not told so.
	notifiedAt(proxy int, node string) (time.Time, bool)
	update(e endpointlist.Entry)
	// setFault makes all of it fail in a way, "" for none.
	setFault(kind string)
	// move changes the place of a proxy.
	move(proxy int) error
	addresses() []string // to talk to by hand
	close()
}

// platformDirectory is a directory of the platform's form.
type platformDirectory struct {
	service *endpointlist.Service
	mu      sync.Mutex
	at      map[int]string
}

// newPlatformDirectory has each proxy find a node where placed says.
func newPlatformDirectory(entries []endpointlist.Entry, placed func(proxy int, e *endpointlist.Entry) string) *platformDirectory {
	service := endpointlist.New(entries)
	service.AddressFor = placed
	return &platformDirectory{service: service, at: make(map[int]string)}
}

func (d *platformDirectory) config(proxy int) (string, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.at[proxy] == "" {
		at, err := d.service.Open(proxy)
		if err != nil {
			return "", err
		}
		d.at[proxy] = at
	}
	return fmt.Sprintf("[nodes]\ndiscovery = %q\n", d.at[proxy]), nil
}

func (d *platformDirectory) notifiedAt(proxy int, node string) (time.Time, bool) {
	return d.service.DrainNotifiedAt(proxy, node)
}
func (d *platformDirectory) update(e endpointlist.Entry) { d.service.Set(e) }
func (d *platformDirectory) setFault(kind string)        { d.service.SetDown(kind != "") }
func (d *platformDirectory) addresses() []string         { return nil }
func (d *platformDirectory) close()                      { d.service.Close() }

func (d *platformDirectory) move(proxy int) error {
	at, err := d.service.Move(proxy)
	if err == nil {
		d.mu.Lock()
		d.at[proxy] = at
		d.mu.Unlock()
	}
	return err
}

// consulDirectory is a directory of Consul's: one agent for each zone, at which the proxies of
// the zone register too.
type consulDirectory struct {
	catalogue *consul.Catalogue
	zones     []string

	mu     sync.Mutex
	agents map[string]*consul.Agent // by zone
}

const consulService = "cache"

func newConsulDirectory(entries []endpointlist.Entry, zones []string) (*consulDirectory, error) {
	d := &consulDirectory{catalogue: consul.New(), zones: zones, agents: make(map[string]*consul.Agent)}
	for _, zone := range zones {
		a, err := d.catalogue.Start("agent-"+zone, "")
		if err != nil {
			d.close()
			return nil, err
		}
		d.agents[zone] = a
	}
	for _, e := range entries {
		d.update(e)
	}
	return d, nil
}

func (d *consulDirectory) zoneOf(proxy int) string { return d.zones[proxy%len(d.zones)] }

func (d *consulDirectory) agent(proxy int) *consul.Agent {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.agents[d.zoneOf(proxy)]
}

func (d *consulDirectory) config(proxy int) (string, error) {
	return fmt.Sprintf("[nodes]\nconsul = %q\n[consul]\nservice = %q\n[consul.register]\nservice = \"proxy\"\nttl = \"3s\"\n",
		d.agent(proxy).Address(), consulService), nil
}

func (d *consulDirectory) notifiedAt(proxy int, node string) (time.Time, bool) {
	return d.agent(proxy).LeavingWrittenAt("host-"+node, node)
}

// update enters a node as an agent beside it would: a drain is its maintenance.
func (d *consulDirectory) update(e endpointlist.Entry) {
	host := "host-" + e.Name
	address, port := splitPort(e.Address)
	if e.Status == "removed" {
		d.catalogue.Remove(host, e.Name)
		return
	}
	i := consul.Instance{Node: host, ID: e.Name, Service: consulService, Address: address, Port: port,
		Meta:   map[string]string{"name": e.Name, "zone": e.Zone, "type": e.Type, "group": fmt.Sprint(e.Group)},
		Checks: []consul.Check{{CheckID: "tcp", Status: "passing"}}}
	if e.StartedMillis > 0 {
		i.Meta["started_ms"] = fmt.Sprint(e.StartedMillis)
	}
	if e.Status == "draining" {
		i.Checks = append(i.Checks, consul.Check{CheckID: "_service_maintenance:" + e.Name, Status: "critical", Notes: "fleettestd"})
	}
	d.catalogue.Set(i)
}

func splitPort(address string) (host string, port int) {
	at := strings.LastIndexByte(address, ':')
	fmt.Sscan(address[at+1:], &port)
	return address[:at], port
}

func (d *consulDirectory) setFault(kind string) {
	if kind == "rewind" {
		d.catalogue.ResetIndex()
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, a := range d.agents {
		a.SetFault(consul.FaultKind(kind))
	}
}

// move has another agent take the place of a proxy's, for all proxies of its zone.
func (d *consulDirectory) move(proxy int) error {
	a, err := d.catalogue.Start("agent-"+d.zoneOf(proxy), "")
	if err != nil {
		return err
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	old := d.agents[d.zoneOf(proxy)]
	d.agents[d.zoneOf(proxy)] = a
	old.Close()
	return nil
}

func (d *consulDirectory) addresses() (list []string) {
	for _, zone := range d.zones {
		list = append(list, "agent "+d.agents[zone].Address())
	}
	return list
}

func (d *consulDirectory) close() {
	for _, a := range d.agents {
		a.Close()
	}
}
