package config

import (
	"net"
	"os"
	"strconv"
	"strings"
	"time"

	"mulleinpier/internal/consul"
	"mulleinpier/internal/discovery"
)

// addSource adds a source of the endpoint list. The list of the first source is the proxy's initial list; it is empty
// if the source has not been read yet.
func (r *reader) addSource(source discovery.SourceConfig, list discovery.List) {
	p := r.config.Proxy
	p.ListSources = append(p.ListSources, source)
	if len(p.ListSources) == 1 {
		p.InitialList = list
	}
}

// readSources reads the table nodes: the sources of the endpoint list. A node's properties are those of the first
// source that lists it; any source can report that a node drains or has been removed.
func (r *reader) readSources() {
	t := r.top.table("nodes")
	if r.top.has("nodes") && t.value == nil {
		return // nodes is not a table; r.top.table has added the error
	}
	before := r.errors.count()
	file := t.text("file", "", anything)
	address := t.text("discovery", "", isAddress)
	addresses := t.texts("addresses", nil, isAddress)
	consulAddress := t.text("consul", "", isAddress)
	r.errors.addDuplicates("nodes.addresses", addresses)
	t.rejectUnknown()
	if t.has("addresses") && r.errors.count() == before {
		r.addStaticSource(t, addresses)
	}
	if t.has("file") && r.errors.count() == before {
		r.addFileSource(t, file)
	}
	if t.has("consul") {
		r.readConsul(consulAddress)
	} else if r.top.has("consul") {
		r.errors.add("consul", "requires nodes.consul = \"HOST:PORT\"")
		r.top.table("consul")
	}
	if t.has("discovery") {
		r.addSource(discovery.SourceConfig{Address: address}, discovery.List{})
	}
	if len(r.config.Proxy.ListSources) == 0 && r.errors.count() == before {
		r.errors.add("nodes", "has no source: want addresses, file, consul or discovery")
	}
}

// addStaticSource adds the source for nodes.addresses.
func (r *reader) addStaticSource(t *table, addresses []string) {
	if len(addresses) == 0 {
		t.add("addresses", "cannot be empty: want one or more HOST:PORT")
	}
	static := strings.Join(addresses, ",")
	r.addSource(discovery.SourceConfig{StaticAddresses: static}, discovery.StaticList(static))
}

// addFileSource adds the source for nodes.file, and reads the file for the initial list.
func (r *reader) addFileSource(t *table, file string) {
	path := r.path(file)
	list, err := discovery.ReadFile(path)
	if err != nil {
		t.add("file", "cannot be %q: %v", file, err)
	}
	r.addSource(discovery.SourceConfig{File: path}, list)
}

// readConsul reads the table consul: one source in Consul's catalogue for each data centre, and the registration of the
// proxy there.
func (r *reader) readConsul(address string) {
	t := r.top.table("consul")
	agent := consul.Agent{
		Address:   address,
		TLS:       t.boolean("tls", false),
		CAFile:    r.optionalPath(t.text("ca_file", "", anything)),
		TokenFile: r.optionalPath(t.text("token_file", "", anything)),
	}
	source := consul.SourceConfig{
		Agent:      agent,
		Service:    t.text("service", "", printable),
		Tag:        t.text("tag", "", anything),
		DrainTag:   t.text("drain_tag", "", anything),
		DrainCheck: t.text("drain_check", "", anything),
		AllowStale: t.boolean("stale", false),
		WaitTime:   t.duration("wait", 10*time.Second, 100*time.Millisecond, 10*time.Minute),
	}
	datacenters := t.texts("datacenters", []string{""}, printable)
	if !t.has("service") {
		t.add("service", "is missing: want the name of the nodes' service")
	}
	if agent.CAFile != "" && !agent.TLS {
		t.add("ca_file", "requires consul.tls = true")
	}
	for _, path := range []string{agent.CAFile, agent.TokenFile} {
		if _, err := os.Stat(path); path != "" && err != nil {
			r.errors.add("consul", "names a file that cannot be read: %v", err)
		}
	}
	r.errors.addDuplicates("consul.datacenters", datacenters)
	for _, source.Datacenter = range datacenters {
		r.addSource(discovery.SourceConfig{Custom: source}, discovery.List{})
	}
	r.readMembership(t.table("list"))
	if t.has("register") {
		r.readRegistration(t.table("register"), agent)
	}
	t.rejectUnknown()
}

// readMembership reads the table consul.list: the limits that decide whether a list that has lost many nodes is
// accepted, and how long a node that returns repeatedly is held down.
func (r *reader) readMembership(t *table) {
	limits := &r.config.Proxy.Membership
	limits.MinRemainingShare = t.number("collapse_share", limits.MinRemainingShare, 0, 1)
	limits.CollapseWindow = t.duration("collapse_time", limits.CollapseWindow, time.Second, maxDuration)
	limits.FailedConfirmTimeout = t.duration("failing_time", limits.FailedConfirmTimeout, time.Second, maxDuration)
	limits.FirstHoldDown = t.duration("hold_first", limits.FirstHoldDown, time.Millisecond, maxDuration)
	limits.MaxHoldDown = t.duration("hold_most", limits.MaxHoldDown, time.Millisecond, maxDuration)
	t.rejectUnknown()
}

// readRegistration reads the table consul.register: the registration of the proxy in Consul.
func (r *reader) readRegistration(t *table, agent consul.Agent) {
	registration := &consul.Registration{
		Agent:   agent,
		Service: t.text("service", "", printable),
		ID:      t.text("id", r.config.Proxy.Name, printable),
		TTL:     t.duration("ttl", 10*time.Second, time.Second, time.Hour),
		Tags:    t.texts("tags", nil, printable),
	}
	address := t.text("address", r.config.Proxy.Listen, isAddress)
	if !t.has("service") {
		t.add("service", "is missing: want the name of the proxies' service")
	}
	host, port, _ := net.SplitHostPort(address) // isAddress has checked address, which is empty after an error
	number, err := strconv.Atoi(port)
	if err != nil || number < 1 {
		t.add("address", "cannot be %q: want HOST:PORT with a port number above 0", address)
	}
	registration.Host, registration.Port = host, number
	t.rejectUnknown()
	r.config.Registration = registration
}
