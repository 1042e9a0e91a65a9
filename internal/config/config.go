// Package config reads the daemon's own configuration, a TOML file. It tells all
// that is wrong with one, each defect by file, key, value and what is allowed,
// and never returns half of one.
package config

import (
	crand "crypto/rand"
	"errors"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"net"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"time"

	"mulleinpier/internal/clock"
	"mulleinpier/internal/consul"
	"mulleinpier/internal/core"
	"mulleinpier/internal/discovery"
	"mulleinpier/internal/frontend/binary"
	"mulleinpier/internal/lease/agent"
	"mulleinpier/internal/membership"
	"mulleinpier/internal/overload"
	"mulleinpier/internal/proxy"
	"mulleinpier/internal/route"
	"mulleinpier/internal/sasl"
	"mulleinpier/internal/ticket"
	"mulleinpier/policy"
)

// Config is all that the daemon is told.
type Config struct {
	Proxy        *proxy.Config
	Registration *consul.Registration // in Consul's catalogue; nil for none
	Log          Log
	Startup      Startup
	Peers        *Peers // nil where instances don't know each other
	// Warnings are logged once the daemon listens.
	Warnings []string
}

// defaultName is the daemon's former program name. It stays: it identifies a proxy in Consul's catalogue and the
// lease holders that it left before an upgrade.
const defaultName = "yarrowspan"

// Peers are the voters of the fleet's leases, and this one's part among them.
type Peers struct {
	Fleet     agent.Fleet
	VoterName string // of this voter, "" for none
	StatePath string // path of what it must remember
	Permit    Permit
	// Listen is where other proxies bring works in hand, "" for where none do.
	Listen        string
	Advertise     string // as others find it
	Takeover      Takeover
	SuspendedTime func() time.Duration // how far the clock that counts sleep is ahead, in rehearsals; nil for the machine's
}

// Takeover says how keyed writes survive the loss of this proxy.
type Takeover struct {
	Enabled  bool
	Replicas int  // other proxies that hold one
	Strict   bool // refused where none can; else they go out as without
}

// Permit says whether this process asks the fleet before it drains or reloads.
type Permit struct {
	Enabled  bool
	Timeout  time.Duration // for a permit
	Required bool          // on one after that too; else it goes on without
}

// Log says what is logged and how.
type Log struct {
	Level slog.Level
	JSON  bool
}

// Startup says how patient a start is.
type Startup struct {
	EndpointListTimeout time.Duration // for the list of nodes, before it is ready without
	BindTimeout         time.Duration // for another process to leave the address
}

// Bounds of figures.
const (
	longest    = time.Hour
	mostMemory = 1 << 20 // MB
	mostHeld   = 1 << 20
	mostPin    = 24 * time.Hour // of a level of service
)

// Read reads the file at path, and the node file that it may name. Its error
// joins one error a defect.
func Read(path string) (*Config, error) {
	text, err := load(path)
	if err != nil {
		return nil, err
	}
	return read(path, text)
}

// mostLooks bounds the looks at a file that keeps changing.
const mostLooks = 20

// ReadStable is Read for a file that may be being written at this moment: half of
// it may well read as a whole file that says less. So the text is taken once two
// looks in a row have found the same; pause is the wait between them. A file that
// can't be opened is an error at once, as Read's is.
func ReadStable(path string, pause func()) (*Config, error) {
	last, err := load(path)
	for range mostLooks {
		if err != nil {
			return nil, err
		}
		pause()
		var text string
		if text, err = load(path); err == nil && text == last {
			return read(path, text)
		}
		last = text
	}
	return nil, fmt.Errorf("%s: is still being written", path)
}

func read(path, text string) (*Config, error) {
	d := &defects{file: path}
	top, err := parse(text, d)
	if err != nil {
		return nil, err
	}
	c := &Config{Proxy: &proxy.Config{}}
	p := c.Proxy
	p.Seed = rand.Uint64()
	p.ReconcileLists, p.Membership = true, membership.DefaultLimits
	p.Name = top.text("name", defaultName, printable)
	p.Listen = top.text("listen", "", isAddress)
	if !top.has("listen") {
		d.add("listen", "is missing: want HOST:PORT")
	}
	set := &p.Policy
	*set = policy.Settings{ProxyCount: 1, OriginKind: -1, OverQuotaFactor: 0.2, LoadReports: policy.LoadReportInResponse, EventInterval: 5 * time.Millisecond}
	set.Zones = top.texts("zones", []string{}, printable)
	set.MachineKinds = top.texts("types", []string{}, printable)
	unique(d, "zones", set.Zones)
	unique(d, "types", set.MachineKinds)
	if zone := top.text("zone", "", anything); zone != "" {
		if set.Zone = slices.Index(set.Zones, zone); set.Zone < 0 {
			d.add("zone", "cannot be %q: want one of zones %q", zone, set.Zones)
			set.Zone = 0
		}
	}
	c.nodes(top, filepath.Dir(path))
	classes(top, set)
	tenants(top, set)
	c.binary(top, filepath.Dir(path))

	l := top.table("limits")
	p.Cores = l.number("cores", 1, 0.01, 1024)
	p.MemoryBytes = l.whole("memory_mb", 64, proxy.MinMemoryBytes>>20, mostMemory) << 20
	p.MaxDescriptors = l.whole("sockets", 1024, proxy.MinDescriptors, 1<<20)
	bounds := proxy.ResourceLimits{
		ConnectTimeout:       l.duration("connect_timeout", 200*time.Millisecond, time.Millisecond, time.Minute),
		NodeIdleTimeout:      l.duration("connection_idle", 15*time.Second, 10*time.Millisecond, longest),
		StreamsPerConnection: l.whole("streams", 128, 1, 1<<16),
		ConnectionsPerNode:   l.whole("connections_per_node", 4, 1, 1<<16),
		MaxInFlight:          l.whole("held", 1000, 1, mostHeld),
	}
	set.Limits = policy.Limits{
		MaxAttempts:   l.whole("attempts", 4, 1, 16),
		AllowHedging:  l.yes("second_copies", true),
		AllowCancel:   true,
		MaxRetryAfter: l.duration("retry_after", 1200*time.Millisecond, 0, time.Minute),
	}
	l.end()

	r := top.table("rules")
	set.Rules = policy.Rules{
		DrainGrace:       r.duration("drain_grace", 500*time.Millisecond, 0, time.Minute),
		ResponseGrace:    r.duration("answer_slack", 20*time.Millisecond, 0, time.Minute),
		SlowStartShare:   r.number("cold_share", 0.3, 0.01, 1),
		SlowStartWindow:  r.duration("cold_ramp", 8600*time.Millisecond, 0, longest),
		OverloadMultiple: r.number("fall_multiple", 3, 1, 100),
		OverloadWindow:   r.duration("fall_time", 2*time.Second, 0, longest),
		MaxPollInterval:  10 * time.Second,
	}
	r.end()
	reduced(top.table("service"), &p.Overload)
	r = top.table("prices")
	set.Costs = policy.Costs{OriginFetch: r.number("origin", 0.15, 0, 10), CrossZone: r.number("cross_zone", 0.02, 0, 10)}
	r.end()

	g := top.table("log")
	level := g.text("level", "info", oneOf("debug", "info", "warn", "error"))
	c.Log.JSON = g.text("format", "text", oneOf("text", "json")) == "json"
	if err := c.Log.Level.UnmarshalText([]byte(level)); err != nil {
		c.Log.Level = slog.LevelInfo // told already
	}
	g.end()
	g = top.table("start")
	c.Startup.EndpointListTimeout = g.duration("wait_for_nodes", 5*time.Second, 0, time.Minute)
	c.Startup.BindTimeout = g.duration("wait_for_address", 0, 0, time.Minute)
	g.end()
	c.peers(top, filepath.Dir(path))
	p.TotalSleep = clock.TotalSleep
	if top.has("test") { // for rehearsals
		t := top.table("test")
		at, d := t.duration("sleep_at", 0, 0, longest), t.duration("sleep_for", 0, 0, longest)
		p.TotalSleep = clock.SimulatedSleep(at, d, t.number("drift", 0, -0.5, 0.5))
		if c.Peers != nil {
			c.Peers.SuspendedTime = p.TotalSleep
		}
		t.end()
	}
	top.end()

	if err := d.err(); err != nil {
		return nil, err
	}
	if err := p.AllocateResources(bounds); err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	return c, nil
}

// reduced reads how service is reduced.
func reduced(t *table, c *core.OverloadConfig) {
	c.Enabled = t.yes("reduce", true)
	c.Limits = overload.DefaultTimings
	c.Limits.ConfirmFor = t.duration("confirm", c.Limits.ConfirmFor, 0, time.Minute)
	c.Limits.MinStay = t.duration("stay", c.Limits.MinStay, time.Second, longest)
	c.Limits.MaxStay = t.duration("most_stay", c.Limits.MaxStay, time.Second, longest)
	if c.Limits.MaxStay < c.Limits.MinStay {
		t.d.add(t.key("most_stay"), "cannot be %v: want no less than stay, %v", c.Limits.MaxStay, c.Limits.MinStay)
	}
	pin := t.text("pin", "", oneOf(overload.LevelNames()...))
	until := t.text("pin_until", "", anything)
	switch {
	case t.has("pin") != t.has("pin_until"):
		t.d.add(t.key("pin"), "goes with %s: a pin has an end", t.key("pin_until"))
	case t.has("pin"):
		at, err := time.Parse(time.RFC3339, until)
		if err != nil || time.Until(at) > mostPin {
			t.d.add(t.key("pin_until"), "cannot be %q: want a time as 2006-01-02T15:04:05Z, within %v", until, mostPin)
		}
		c.PinnedLevel, _ = overload.ParseLevel(pin) // it has been checked
		c.PinnedUntil = at
	}
	t.end()
}

// nodes reads where the list comes from: one source or several, of which the first to
// list a node says what it is like. Any of them can say that it drains or is gone.
func (c *Config) nodes(top *table, folder string) {
	t := top.table("nodes")
	if top.has("nodes") && t.value == nil {
		return // told: it is no table
	}
	before := len(t.d.list)
	file := t.text("file", "", anything)
	address := t.text("discovery", "", isAddress)
	addresses := t.texts("addresses", nil, isAddress)
	agent := t.text("consul", "", isAddress)
	unique(t.d, "nodes.addresses", addresses)
	t.end()
	p := c.Proxy
	add := func(place discovery.SourceConfig, known discovery.List) {
		if p.ListSources = append(p.ListSources, place); len(p.ListSources) == 1 {
			p.InitialList = known
		}
	}
	if t.has("addresses") && len(t.d.list) == before {
		if len(addresses) == 0 {
			t.d.add("nodes.addresses", "cannot be empty: want one HOST:PORT and more")
		}
		fixed := strings.Join(addresses, ",")
		add(discovery.SourceConfig{StaticAddresses: fixed}, discovery.StaticList(fixed))
	}
	if t.has("file") && len(t.d.list) == before {
		path := file
		if !filepath.IsAbs(file) {
			path = filepath.Join(folder, file)
		}
		known, err := discovery.ReadFile(path)
		if err != nil {
			t.d.add("nodes.file", "cannot be %q: %v", file, err)
		}
		add(discovery.SourceConfig{File: path}, known)
	}
	if t.has("consul") {
		c.consul(top, agent, folder, func(place consul.SourceConfig) { add(discovery.SourceConfig{Custom: place}, discovery.List{}) })
	} else if top.has("consul") {
		t.d.add("consul", "is for nodes.consul = \"HOST:PORT\" only")
		top.table("consul")
	}
	if t.has("discovery") {
		add(discovery.SourceConfig{Address: address}, discovery.List{})
	}
	if len(p.ListSources) == 0 && len(t.d.list) == before {
		t.d.add("nodes", "has no source: want addresses, file, consul or discovery")
	}
}

// consul reads how Consul's catalogue is followed, and how the proxy stands in it.
func (c *Config) consul(top *table, address, folder string, add func(consul.SourceConfig)) {
	t := top.table("consul")
	file := func(key string) string {
		path := t.text(key, "", anything)
		if path != "" && !filepath.IsAbs(path) {
			path = filepath.Join(folder, path)
		}
		return path
	}
	agent := consul.Agent{Address: address, TLS: t.yes("tls", false), CAFile: file("ca_file"), TokenFile: file("token_file")}
	place := consul.SourceConfig{Agent: agent, Service: t.text("service", "", printable), Tag: t.text("tag", "", anything),
		DrainTag: t.text("drain_tag", "", anything), DrainCheck: t.text("drain_check", "", anything), AllowStale: t.yes("stale", false),
		WaitTime: t.duration("wait", 10*time.Second, 100*time.Millisecond, 10*time.Minute)}
	centres := t.texts("datacenters", []string{""}, printable)
	if !t.has("service") {
		t.d.add("consul.service", "is missing: want the name of the nodes' service")
	}
	if agent.CAFile != "" && !agent.TLS {
		t.d.add("consul.ca_file", "is for consul.tls = true only")
	}
	for _, path := range []string{agent.CAFile, agent.TokenFile} {
		if _, err := os.Stat(path); path != "" && err != nil {
			t.d.add("consul", "names a file that cannot be read: %v", err)
		}
	}
	unique(t.d, "consul.datacenters", centres)
	for _, place.Datacenter = range centres {
		add(place)
	}
	l := t.table("list")
	limits := &c.Proxy.Membership
	limits.MinRemainingShare = l.number("collapse_share", limits.MinRemainingShare, 0, 1)
	limits.CollapseWindow = l.duration("collapse_time", limits.CollapseWindow, time.Second, longest)
	limits.FailedConfirmTimeout = l.duration("failing_time", limits.FailedConfirmTimeout, time.Second, longest)
	limits.FirstHoldDown = l.duration("hold_first", limits.FirstHoldDown, time.Millisecond, longest)
	limits.MaxHoldDown = l.duration("hold_most", limits.MaxHoldDown, time.Millisecond, longest)
	l.end()
	if t.has("register") {
		r := t.table("register")
		in := consul.Registration{Agent: agent, Service: r.text("service", "", printable), ID: r.text("id", c.Proxy.Name, printable),
			TTL: r.duration("ttl", 10*time.Second, time.Second, time.Hour), Tags: r.texts("tags", nil, printable)}
		announced := r.text("address", c.Proxy.Listen, isAddress)
		if !r.has("service") {
			t.d.add("consul.register.service", "is missing: want the name of the proxies' service")
		}
		host, port, _ := net.SplitHostPort(announced) // it has been checked
		number, err := strconv.Atoi(port)
		if in.Host, in.Port = host, number; err != nil || number < 1 {
			t.d.add("consul.register.address", "cannot be %q: want HOST:PORT with a number", announced)
		}
		r.end()
		c.Registration = &in
	}
	t.end()
}

// peers reads who votes on leases.
func (c *Config) peers(top *table, folder string) {
	if !top.has("peers") {
		return
	}
	t := top.table("peers")
	p := &Peers{Fleet: agent.Fleet{Name: t.text("fleet", "", printable)}, VoterName: t.text("voter", "", anything), StatePath: t.text("memory", "", anything)}
	for _, v := range t.texts("voters", nil, anything) {
		name, address, _ := strings.Cut(v, "=")
		p.Fleet.Voters = append(p.Fleet.Voters, agent.VoterAddress{Name: name, Address: address})
	}
	if err := p.Fleet.Validate(); err != nil {
		t.d.add(t.key("voters"), "cannot be: %v", err)
	}
	if p.VoterName != "" && !slices.ContainsFunc(p.Fleet.Voters, func(v agent.VoterAddress) bool { return v.Name == p.VoterName }) {
		t.d.add(t.key("voter"), "cannot be %q: want the name of one of the voters", p.VoterName)
	}
	if (p.VoterName == "") != (p.StatePath == "") {
		t.d.add(t.key("memory"), "goes with %s", t.key("voter"))
	}
	if p.StatePath != "" && !filepath.IsAbs(p.StatePath) {
		p.StatePath = filepath.Join(folder, p.StatePath)
	}
	permit := t.text("permit", "none", oneOf("none", "go", "wait"))
	p.Permit = Permit{Enabled: permit != "none", Required: permit == "wait", Timeout: t.duration("permit_wait", 30*time.Second, 0, time.Hour)}
	takeover := t.text("takeover", "off", oneOf("off", "plain", "strict"))
	p.Takeover = Takeover{Enabled: takeover != "off", Strict: takeover == "strict", Replicas: t.whole("holders", 1, 1, 2)}
	p.Listen = t.text("listen", "", isAddress)
	p.Advertise = t.text("advertise", p.Listen, isAddress)
	if p.Takeover.Enabled != t.has("listen") {
		t.d.add(t.key("listen"), "goes with %s = \"plain\" or \"strict\"", t.key("takeover"))
	}
	t.end()
	c.Peers = p
}

// binary reads how the binary protocol is spoken, to clients and to nodes.
func (c *Config) binary(top *table, folder string) {
	t := top.table("binary")
	p := c.Proxy
	clients := t.yes("clients", top.has("binary"))
	b := &proxy.BinaryConfig{Listen: t.text("listen", "", isAddress), Rules: binary.Rules{DedupWindows: make(map[string]time.Duration)}}
	users := t.text("users", "", anything)
	p.BinaryNodes.Names = t.texts("nodes", nil, printable)
	p.BinaryNodes.Types = t.texts("types", nil, oneOf(p.Policy.MachineKinds...))
	t.end()
	rules := routes(top)
	if !clients {
		for _, key := range []string{"listen", "users"} {
			if t.has(key) {
				t.d.add(t.key(key), "is for binary.clients = true only")
			}
		}
		if top.has("route") {
			t.d.add("route", "is for binary.clients = true only")
		}
		return
	}
	if t.has("users") {
		if !filepath.IsAbs(users) {
			users = filepath.Join(folder, users)
		}
		text, err := load(users)
		if err == nil {
			key := make([]byte, 32)
			crand.Read(key)
			b.Rules.Users, err = sasl.ParseUsers(text, key)
		}
		for _, err := range Errors(err) {
			if err != nil {
				t.d.add(t.key("users"), "cannot be %q: %v", users, err)
			}
		}
	}
	classes := make(map[string]route.Class)
	for _, k := range p.Policy.Classes {
		classes[k.Name] = route.Class{Deadline: k.Deadline, Idempotent: k.Idempotency == policy.Idempotent, DedupWindow: k.DedupWindow,
			PartialDedup: k.Idempotency == policy.IdempotentWithKey && k.DedupScope != policy.DedupScopeAll}
		if k.Idempotency == policy.IdempotentWithKey {
			b.Rules.DedupWindows[k.Name] = k.DedupWindow
		}
	}
	tenants := make(map[string]bool)
	for _, n := range p.Policy.Tenants {
		tenants[n.Name] = true
	}
	if !top.has("route") {
		if rules = usualRoutes(p.Policy.Classes); len(tenants) > 0 {
			t.d.add("route", "is missing: binary clients name no tenant, so each route must")
			return
		}
	}
	for i, r := range rules {
		if r.Listener == proxy.BinaryListener && b.Listen == "" || r.Listener == proxy.MainListener && b.Listen != "" {
			t.d.add(fmt.Sprintf("route[%d].listener", i), "cannot be %q: no binary client comes there", r.Listener)
		}
		if r.User != "" && b.Rules.Users == nil {
			t.d.add(fmt.Sprintf("route[%d].user", i), "cannot be %q: there is no file of users", r.User)
		}
	}
	table, err := route.New(rules, classes, tenants)
	for _, err := range Errors(err) {
		if err != nil {
			t.d.list = append(t.d.list, fmt.Errorf("%s: %w", t.d.file, err))
		}
	}
	b.Rules.Routes = table
	p.Binary = b
}

var verbs = map[string]route.Verb{"read": route.Reads, "write": route.Writes, "ticketed": route.Ticketed, "plain": route.Unticketed}

// routes reads the routing table; whether it is whole is checked later.
func routes(top *table) (rules []route.Rule) {
	for _, t := range top.tables("route") {
		r := route.Rule{
			Prefix:   t.text("prefix", "", anything),
			Verb:     verbs[t.text("verb", "read", oneOf("read", "write", "ticketed", "plain"))],
			Listener: t.text("listener", "", oneOf(proxy.MainListener, proxy.BinaryListener)),
			User:     t.text("user", "", anything),
			Class:    t.text("class", "", anything),
			Tenant:   t.text("tenant", "", anything),
			Timeout:  t.duration("wait", 0, time.Millisecond, longest),
		}
		t.end()
		rules = append(rules, r)
	}
	return rules
}

// usualRoutes are those without any [[route]]: the first class that is fit for each verb.
func usualRoutes(classes []policy.Class) (rules []route.Rule) {
	for _, u := range []struct {
		verb   route.Verb
		effect policy.Idempotency
	}{{route.Reads, policy.Idempotent}, {route.Ticketed, policy.IdempotentWithKey}, {route.Unticketed, policy.NotIdempotent}} {
		i := slices.IndexFunc(classes, func(k policy.Class) bool {
			return k.Idempotency == u.effect && (k.Idempotency != policy.IdempotentWithKey || k.DedupScope == policy.DedupScopeAll && k.DedupWindow > 2*ticket.Margin)
		})
		if i >= 0 {
			rules = append(rules, route.Rule{Verb: u.verb, Class: classes[i].Name})
		}
	}
	return rules
}

// Without classes there are these.
var usual = []policy.Class{
	{Name: "read", Idempotency: policy.Idempotent, LatencyObjective: 500 * time.Millisecond, Deadline: 2 * time.Second, PriorityWeight: 1, LateWeightShare: 0.3},
	{Name: "write", Idempotency: policy.IdempotentWithKey, DedupWindow: 1500 * time.Millisecond, LatencyObjective: 750 * time.Millisecond,
		Deadline: 2500 * time.Millisecond, PriorityWeight: 2, LateWeightShare: 0.3},
	{Name: "plain", Idempotency: policy.NotIdempotent, LatencyObjective: 750 * time.Millisecond, Deadline: 2500 * time.Millisecond, PriorityWeight: 2, LateWeightShare: 0.3},
}

var (
	effects = map[string]policy.Idempotency{"safe": policy.Idempotent, "keyed": policy.IdempotentWithKey, "unsafe": policy.NotIdempotent}
	groups  = map[string]policy.DedupScope{"all": policy.DedupScopeAll, "zone": policy.DedupScopeZone, "cell": policy.DedupScopeCell}
)

func classes(top *table, set *policy.Settings) {
	if !top.has("class") {
		set.Classes = slices.Clone(usual)
		return
	}
	var names []string
	for _, t := range top.tables("class") {
		k := policy.Class{
			Name:             t.text("name", "", printable),
			Idempotency:      effects[t.text("effect", "safe", oneOf("safe", "keyed", "unsafe"))],
			DedupScope:       groups[t.text("group", "all", oneOf("all", "zone", "cell"))],
			LatencyObjective: t.duration("aim", 500*time.Millisecond, time.Millisecond, longest),
			Deadline:         t.duration("deadline", 2*time.Second, time.Millisecond, longest),
			DedupWindow:      t.duration("window", 0, 0, longest),
			PriorityWeight:   t.number("worth", 1, 0, 1e6),
			LateWeightShare:  t.number("late_worth", 0.3, 0, 1),
		}
		switch {
		case !t.has("name"):
			t.d.add(t.key("name"), "is missing: want a name")
		case k.LatencyObjective > k.Deadline:
			t.d.add(t.key("aim"), "cannot be %v: want no more than the deadline, %v", k.LatencyObjective, k.Deadline)
		case (k.Idempotency == policy.IdempotentWithKey) != (k.DedupWindow > 0):
			t.d.add(t.key("window"), "cannot be %v: want above 0s for effect keyed, and none for others", k.DedupWindow)
		case k.Idempotency != policy.IdempotentWithKey && t.has("group"):
			t.d.add(t.key("group"), "is for effect keyed only")
		}
		t.end()
		names, set.Classes = append(names, k.Name), append(set.Classes, k)
	}
	unique(top.d, "class", names)
}

func tenants(top *table, set *policy.Settings) {
	var names []string
	for _, t := range top.tables("tenant") {
		n := policy.Tenant{Name: t.text("name", "", printable), Quota: t.number("quota", 0, 0, 1e9)}
		if !t.has("name") {
			t.d.add(t.key("name"), "is missing: want a name")
		}
		t.end()
		names, set.Tenants = append(names, n.Name), append(set.Tenants, n)
	}
	unique(top.d, "tenant", names)
}

func unique(d *defects, key string, names []string) {
	for i, name := range names {
		if name != "" && slices.Contains(names[:i], name) {
			d.add(key, "has %q twice: want each once", name)
		}
	}
}

// Errors lists the defects that Read has joined.
func Errors(err error) []error {
	var joined interface{ Unwrap() []error }
	if errors.As(err, &joined) {
		return joined.Unwrap()
	}
	return []error{err}
}

func anything(string) string { return "" }

// printable keeps out what would end a word of the protocol early.
func printable(text string) string {
	if text == "" || len(text) > 64 || strings.ContainsFunc(text, func(r rune) bool {
		return r <= ' ' || r == 0x7f || r == ',' || r == '='
	}) {
		return "1 to 64 characters without blanks, commas and ="
	}
	return ""
}

func isAddress(text string) string {
	if host, port, err := net.SplitHostPort(text); err != nil || port == "" || strings.Contains(host, ",") {
		return "HOST:PORT"
	}
	return ""
}

func oneOf(words ...string) func(string) string {
	return func(text string) string {
		if slices.Contains(words, text) {
			return ""
		}
		return "one of " + strings.Join(words, ", ")
	}
}
