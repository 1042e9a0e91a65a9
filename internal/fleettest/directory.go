package fleettest

import (
	"fmt"
	"strings"
	"sync"
	"time"

	"mulleinpier/internal/fake/consul"
	"mulleinpier/internal/fake/endpointlist"
)

// directory is the discovery service of a fleet. It records when each proxy was notified that a node drains or is gone.
type directory interface {
	// config opens an address for a proxy if it has none yet, and returns the discovery part of its configuration.
	config(proxy int) (string, error)
	// notifiedAt returns when a proxy was first notified that a node is draining or gone. It returns false if the proxy
	// was not notified, or was notified later that the node is up again.
	notifiedAt(proxy int, node string) (time.Time, bool)
	update(e endpointlist.Entry)
	// setFault sets the fault of the whole directory; "" ends it.
	setFault(kind string)
	// move changes the address at which a proxy finds the directory.
	move(proxy int) error
	// addresses lists the addresses to print for a fleet that is run for manual use.
	addresses() []string
	close()
}

// platformDirectory is a directory that serves the platform's endpoint list.
type platformDirectory struct {
	service *endpointlist.Service

	mu     sync.Mutex
	opened map[int]string // addresses of the directory, by proxy
}

// newPlatformDirectory returns a directory that tells each proxy the node addresses that addressFor returns for it.
func newPlatformDirectory(
	entries []endpointlist.Entry, addressFor func(proxy int, e *endpointlist.Entry) string,
) *platformDirectory {
	service := endpointlist.New(entries)
	service.AddressFor = addressFor
	return &platformDirectory{service: service, opened: make(map[int]string)}
}

func (d *platformDirectory) config(proxy int) (string, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.opened[proxy] == "" {
		address, err := d.service.Open(proxy)
		if err != nil {
			return "", err
		}
		d.opened[proxy] = address
	}
	return fmt.Sprintf("[nodes]\ndiscovery = %q\n", d.opened[proxy]), nil
}

func (d *platformDirectory) notifiedAt(proxy int, node string) (time.Time, bool) {
	return d.service.DrainNotifiedAt(proxy, node)
}

func (d *platformDirectory) update(e endpointlist.Entry) { d.service.Set(e) }

func (d *platformDirectory) setFault(kind string) { d.service.SetDown(kind != "") }

func (d *platformDirectory) addresses() []string { return nil }

func (d *platformDirectory) close() { d.service.Close() }

func (d *platformDirectory) move(proxy int) error {
	address, err := d.service.Move(proxy)
	if err != nil {
		return err
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.opened[proxy] = address
	return nil
}

// consulDirectory is a directory of Consul agents, one for each zone. The proxies of a zone also register at its agent.
type consulDirectory struct {
	catalogue *consul.Catalogue
	zones     []string

	mu     sync.Mutex
	agents map[string]*consul.Agent // by zone
}

const (
	consulService = "cache"
	// consulRewind is a fault of the catalogue, not of an agent: the catalogue's index starts again.
	consulRewind = "rewind"
)

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
	const format = "[nodes]\nconsul = %q\n[consul]\nservice = %q\n" +
		"[consul.register]\nservice = \"proxy\"\nttl = \"3s\"\n"
	return fmt.Sprintf(format, d.agent(proxy).Address(), consulService), nil
}

// hostOf returns the name in Consul of the machine on which a node runs.
func hostOf(node string) string { return "host-" + node }

func (d *consulDirectory) notifiedAt(proxy int, node string) (time.Time, bool) {
	return d.agent(proxy).UnavailableReportedAt(hostOf(node), node)
}

// update registers a node as an agent on its machine would. A draining node is in maintenance mode.
func (d *consulDirectory) update(e endpointlist.Entry) {
	host := hostOf(e.Name)
	if e.Status == "removed" {
		d.catalogue.Remove(host, e.Name)
		return
	}
	address, port := splitPort(e.Address)
	i := consul.Instance{
		Node:    host,
		ID:      e.Name,
		Service: consulService,
		Address: address,
		Port:    port,
		Meta:    map[string]string{"name": e.Name, "zone": e.Zone, "type": e.Type, "group": fmt.Sprint(e.Group)},
		Checks:  []consul.Check{{CheckID: "tcp", Status: "passing"}},
	}
	if e.StartedMillis > 0 {
		i.Meta["started_ms"] = fmt.Sprint(e.StartedMillis)
	}
	if e.Status == "draining" {
		check := consul.Check{CheckID: "_service_maintenance:" + e.Name, Status: "critical", Notes: "fault test"}
		i.Checks = append(i.Checks, check)
	}
	d.catalogue.Set(i)
}

func splitPort(address string) (host string, port int) {
	at := strings.LastIndexByte(address, ':')
	fmt.Sscan(address[at+1:], &port)
	return address[:at], port
}

func (d *consulDirectory) setFault(kind string) {
	if kind == consulRewind {
		d.catalogue.ResetIndex()
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, a := range d.agents {
		a.SetFault(consul.FaultKind(kind))
	}
}

// move replaces the agent of a proxy's zone by a new one at another address.
func (d *consulDirectory) move(proxy int) error {
	zone := d.zoneOf(proxy)
	a, err := d.catalogue.Start("agent-"+zone, "")
	if err != nil {
		return err
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	old := d.agents[zone]
	d.agents[zone] = a
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
