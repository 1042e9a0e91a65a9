package route

import (
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"mulleinpier/internal/request"
)

var (
	classes = map[string]Class{
		"read":  {Deadline: 2 * time.Second, Idempotent: true},
		"put":   {Deadline: 2500 * time.Millisecond},
		"keyed": {Deadline: 2500 * time.Millisecond, DedupWindow: 1500 * time.Millisecond},
		"brief": {Deadline: time.Second, DedupWindow: 400 * time.Millisecond},
	}
	tenants = map[string]bool{"north": true, "south": true}
)

// TestFirstMatchingRuleDecides checks that the first matching rule sets class and tenant, that a request without a
// matching rule is not served (invariant 1), and that a rule without a timeout gets the deadline of its class
// (invariant 3).
func TestFirstMatchingRuleDecides(t *testing.T) {
	table, err := New([]Rule{
		{Prefix: "order:", User: "till", Verb: Reads, Class: "read", Tenant: "south", Timeout: time.Second},
		{Prefix: "order:", Verb: Reads, Class: "read", Tenant: "north"},
		{Prefix: "done:", Verb: Writes, Class: "put", Tenant: "north"},
		{Listener: "old", Class: "read", Tenant: "south"},
		{Prefix: "till:", Verb: Ticketed, Class: "keyed", Tenant: "south"},
		{Prefix: "till:", Verb: Writes, Class: "put", Tenant: "south"},
	}, classes, tenants)
	if err != nil {
		t.Fatal(err)
	}
	for _, test := range []struct {
		verb          request.Verb
		key           string
		from          Client
		class, tenant string // "" for no rule
		timeout       time.Duration
	}{
		{request.Get, "order:7", Client{User: "till"}, "read", "south", time.Second},
		{request.Get, "order:7", Client{User: "other"}, "read", "north", 2 * time.Second},
		{request.Get, "order", Client{}, "", "", 0},
		{request.Set, "order:7", Client{User: "till"}, "", "", 0},
		{request.Set, "done:7", Client{}, "put", "north", 2500 * time.Millisecond},
		{request.Get, "done:7", Client{}, "", "", 0},
		{request.Get, "done:7", Client{Listener: "old"}, "read", "south", 2 * time.Second},
		{request.Set, "x", Client{Listener: "old"}, "", "", 0},
		{request.Set, "till:7", Client{}, "put", "south", 2500 * time.Millisecond},
	} {
		r := request.Request{Verb: test.verb, Key: test.key}
		ok := table.Route(&r, false, test.from)
		if ok != (test.class != "") || r.Class != test.class || r.Tenant != test.tenant || r.Timeout != test.timeout {
			t.Errorf("%+v: routed %v to %s, %s, %v", test, ok, r.Class, r.Tenant, r.Timeout)
		}
	}
}

// TestDefectsAreNamed checks that New rejects rules whose class does not exist or suit the verb, rules that are never
// reached (invariant 2) and timeouts longer than the deadline of the class (invariant 3), and that the error names the
// rule and the configuration key.
func TestDefectsAreNamed(t *testing.T) {
	rule := func(verb Verb, class string) []Rule { return []Rule{{Verb: verb, Class: class, Tenant: "north"}} }
	for want, rules := range map[string][]Rule{
		`route[0].class cannot be "none"`:              rule(Reads, "none"),
		`route[0].class cannot be "put": reads need`:   rule(Reads, "put"),
		`route[0].class cannot be "put": ticketed`:     rule(Ticketed, "put"),
		`route[0].class cannot be "keyed": plain`:      rule(Unticketed, "keyed"),
		`route[0].class cannot be "brief": its window`: rule(Writes, "brief"),
		`route[0].wait cannot be 3s`:                   {{Class: "read", Tenant: "north", Timeout: 3 * time.Second}},
		`route[0].wait cannot be -1s`:                  {{Class: "read", Tenant: "north", Timeout: -time.Second}},
		`route[0].tenant cannot be ""`:                 {{Class: "read"}},
		`route[1].prefix: the rule is never reached, as route[0] matches every request that it does`: append(
			rule(Writes, "put"), rule(Unticketed, "put")...),
		`route[1].prefix: the rule is never reached, as route[0]`: append(
			rule(Reads, "read"), Rule{Prefix: "a", Class: "read", Tenant: "south"}),
	} {
		table, err := New(rules, classes, tenants)
		if err == nil || table != nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%v, want %q", err, want)
		}
	}
	if _, err := New(rule(Reads, "read"), classes, nil); err == nil {
		t.Error("a tenant was accepted without configured tenants")
	}
}

// requestKind is the kind of a request, as verbs of rules distinguish them.
type requestKind int

const (
	read requestKind = iota
	ticketedWrite
	unticketedWrite
)

// ruleMatches reports whether a rule matches a request. Unlike Table.Route it compares each field separately.
func ruleMatches(rule *Rule, key string, kind requestKind, from Client) bool {
	var verbMatches bool
	switch rule.Verb {
	case Reads:
		verbMatches = kind == read
	case Writes:
		verbMatches = kind != read
	case Ticketed:
		verbMatches = kind == ticketedWrite
	case Unticketed:
		verbMatches = kind == unticketedWrite
	}
	listenerMatches := rule.Listener == "" || rule.Listener == from.Listener
	userMatches := rule.User == "" || rule.User == from.User
	return verbMatches && listenerMatches && userMatches && strings.HasPrefix(key, rule.Prefix)
}

// TestRoutesAgreeWithAPlainReading checks on random tables that the first rule that ruleMatches accepts decides
// (invariant 1), and that no timeout is longer than the deadline of its class (invariant 3).
func TestRoutesAgreeWithAPlainReading(t *testing.T) {
	random := rand.New(rand.NewPCG(7, 7))
	pick := func(choices ...string) string { return choices[random.IntN(len(choices))] }
	valid := 0
	for range 20000 {
		var rules []Rule
		for range 1 + random.IntN(4) {
			rules = append(rules, Rule{
				Prefix:   pick("", "a", "ab", "b"),
				Verb:     Verb(random.IntN(4)),
				Listener: pick("", "l"),
				User:     pick("", "u"),
				Class:    pick("read", "put", "keyed"),
				Tenant:   pick("north", "south"),
				Timeout:  time.Duration(random.IntN(3)) * time.Second,
			})
		}
		table, err := New(rules, classes, tenants)
		if err != nil {
			continue
		}
		valid++
		r := request.Request{Verb: request.Verb(random.IntN(2)), Key: pick("a", "ab", "abc", "b", "c")}
		from := Client{Listener: pick("", "l", "m"), User: pick("", "u", "v")}
		kind := read
		if r.Verb == request.Set {
			kind = ticketedWrite + requestKind(random.IntN(2))
		}
		expectRoute(t, table, rules, r, kind, from)
	}
	if valid < 1000 {
		t.Errorf("only %d tables were valid", valid)
	}
}

// expectRoute checks that a table routes a request by the first rule that ruleMatches accepts.
func expectRoute(t *testing.T, table *Table, rules []Rule, r request.Request, kind requestKind, from Client) {
	t.Helper()
	var want *Rule
	for i := range rules {
		if ruleMatches(&rules[i], r.Key, kind, from) {
			want = &rules[i]
			break
		}
	}
	ok := table.Route(&r, kind == ticketedWrite, from)
	if ok != (want != nil) {
		t.Fatalf("%+v routes %+v from %+v: %v, want %+v", rules, r, from, ok, want)
	}
	if !ok {
		return
	}
	inTime := r.Timeout > 0 && r.Timeout <= classes[r.Class].Deadline
	if r.Class != want.Class || r.Tenant != want.Tenant || !inTime {
		t.Fatalf("%+v routes %+v from %+v, want %+v", rules, r, from, want)
	}
}
