package config

import (
	"crypto/rand"
	"fmt"
	"slices"
	"time"

	"mulleinpier/internal/frontend/binary"
	"mulleinpier/internal/proxy"
	"mulleinpier/internal/route"
	"mulleinpier/internal/sasl"
	"mulleinpier/internal/ticket"
	"mulleinpier/policy"
)

// usersKeyBytes is the length of the random key of the hashes by which users' secrets are compared.
const usersKeyBytes = 32

// readBinary reads the table binary and the tables route: the settings for clients and nodes that use the binary
// protocol.
func (r *reader) readBinary() {
	t := r.top.table("binary")
	p := r.config.Proxy
	servesClients := t.boolean("clients", r.top.has("binary"))
	c := &proxy.BinaryConfig{
		Listen: t.text("listen", "", isAddress),
		Rules:  binary.Rules{DedupWindows: make(map[string]time.Duration)},
	}
	users := t.text("users", "", anything)
	p.BinaryNodes.Names = t.texts("nodes", nil, printable)
	p.BinaryNodes.Types = t.texts("types", nil, oneOf(p.Policy.MachineKinds...))
	t.rejectUnknown()
	rules := readRoutes(r.top)
	if !servesClients {
		r.rejectBinaryClientSettings(t)
		return
	}
	if t.has("users") {
		c.Rules.Users = readUsers(t, r.path(users))
	}
	if !r.top.has("route") {
		rules = defaultRoutes(p.Policy.Classes)
		if len(p.Policy.Tenants) > 0 {
			r.errors.add("route", "is missing: binary clients name no tenant, so each route must name one")
			return
		}
	}
	r.checkRoutes(rules, c)
	c.Rules.Routes = r.routeTable(rules, c)
	p.Binary = c
}

// rejectBinaryClientSettings adds an error for each setting in the file that requires binary clients.
func (r *reader) rejectBinaryClientSettings(t *table) {
	for _, key := range []string{"listen", "users"} {
		if t.has(key) {
			t.add(key, "requires binary.clients = true")
		}
	}
	if r.top.has("route") {
		r.errors.add("route", "requires binary.clients = true")
	}
}

// readUsers reads the users file. If it cannot be read or is invalid, readUsers adds errors to t and returns nil.
func readUsers(t *table, path string) (users *sasl.Users) {
	text, err := readFile(path)
	if err == nil {
		key := make([]byte, usersKeyBytes)
		rand.Read(key)
		users, err = sasl.ParseUsers(text, key)
	}
	for _, err := range Errors(err) {
		if err != nil {
			t.add("users", "cannot be %q: %v", path, err)
		}
	}
	return users
}

// checkRoutes adds an error for each route whose listener accepts no binary clients, or that names a user without a
// valid users file.
func (r *reader) checkRoutes(rules []route.Rule, c *proxy.BinaryConfig) {
	otherListener := proxy.BinaryListener
	if c.Listen != "" {
		otherListener = proxy.MainListener
	}
	for i, rule := range rules {
		if rule.Listener == otherListener {
			key := fmt.Sprintf("route[%d].listener", i)
			r.errors.add(key, "cannot be %q: this listener accepts no binary clients", rule.Listener)
		}
		if rule.User != "" && c.Rules.Users == nil {
			r.errors.add(fmt.Sprintf("route[%d].user", i), "cannot be %q: binary.users names no valid file", rule.User)
		}
	}
}

// routeTable returns the routing table of rules. It also stores the deduplication windows of the keyed classes in c.
func (r *reader) routeTable(rules []route.Rule, c *proxy.BinaryConfig) *route.Table {
	settings := &r.config.Proxy.Policy
	classes := make(map[string]route.Class)
	for _, class := range settings.Classes {
		hasKey := class.Idempotency == policy.IdempotentWithKey
		classes[class.Name] = route.Class{
			Deadline:     class.Deadline,
			Idempotent:   class.Idempotency == policy.Idempotent,
			DedupWindow:  class.DedupWindow,
			PartialDedup: hasKey && class.DedupScope != policy.DedupScopeAll,
		}
		if hasKey {
			c.Rules.DedupWindows[class.Name] = class.DedupWindow
		}
	}
	tenants := make(map[string]bool)
	for _, tenant := range settings.Tenants {
		tenants[tenant.Name] = true
	}
	table, err := route.New(rules, classes, tenants)
	for _, err := range Errors(err) {
		if err != nil {
			r.errors.addError(err)
		}
	}
	return table
}

// verbNames maps the values of the key verb to the verbs of routes.
var verbNames = map[string]route.Verb{
	"read":     route.Reads,
	"write":    route.Writes,
	"ticketed": route.Ticketed,
	"plain":    route.Unticketed,
}

// readRoutes reads the tables route without validating the rules, which is done by checkRoutes and routeTable.
func readRoutes(top *table) (rules []route.Rule) {
	for _, t := range top.tables("route") {
		rule := route.Rule{
			Prefix:   t.text("prefix", "", anything),
			Verb:     verbNames[t.text("verb", "read", oneOf("read", "write", "ticketed", "plain"))],
			Listener: t.text("listener", "", oneOf(proxy.MainListener, proxy.BinaryListener)),
			User:     t.text("user", "", anything),
			Class:    t.text("class", "", anything),
			Tenant:   t.text("tenant", "", anything),
			Timeout:  t.duration("wait", 0, time.Millisecond, maxDuration),
		}
		t.rejectUnknown()
		rules = append(rules, rule)
	}
	return rules
}

// defaultRoutes returns the routes for a file without tables route: one for each verb, to the first suitable class.
func defaultRoutes(classes []policy.Class) (rules []route.Rule) {
	for _, verb := range []struct {
		verb        route.Verb
		idempotency policy.Idempotency
	}{
		{route.Reads, policy.Idempotent},
		{route.Ticketed, policy.IdempotentWithKey},
		{route.Unticketed, policy.NotIdempotent},
	} {
		i := slices.IndexFunc(classes, func(class policy.Class) bool {
			return class.Idempotency == verb.idempotency && fitsTickets(&class)
		})
		if i >= 0 {
			rules = append(rules, route.Rule{Verb: verb.verb, Class: classes[i].Name})
		}
	}
	return rules
}

// fitsTickets reports whether writes of a class can be retried safely with a ticket: all nodes together must drop
// duplicates, for longer than twice ticket.Margin, so that a ticket is valid for longer than that margin. It is true
// for classes that are not keyed.
func fitsTickets(class *policy.Class) bool {
	if class.Idempotency != policy.IdempotentWithKey {
		return true
	}
	return class.DedupScope == policy.DedupScopeAll && class.DedupWindow > 2*ticket.Margin
}
