package route

import (
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"mulleinpier/internal/request"
)

var (
	classes = map[string]Class{"read": {Deadline: 2 * time.Second, Idempotent: true}, "put": {Deadline: 2500 * time.Millisecond},
		"keyed": {Deadline: 2500 * time.Millisecond, DedupWindow: 1500 * time.Millisecond}, "brief": {Deadline: time.Second, DedupWindow: 400 * time.Millisecond}}
	tenants = map[string]bool{"north": true, "south": true}
)

func TestFirstRuleThatFitsDecides(t *testing.T) {
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
	for _, c := range []struct {
		verb          request.Verb
		key           string
		from          Client
		class, tenant string
		wait          time.Duration
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
		r := request.Request{Verb: c.verb, Key: c.key}
		if ok := table.Route(&r, false, c.from); ok != (c.class != "") || r.Class != c.class || r.Tenant != c.tenant || r.Timeout != c.wait {
			t.Errorf("%+v: routed %v to %s, %s, %v", c, ok, r.Class, r.Tenant, r.Timeout)
		}
	}
}

func TestBadTablesAreNamed(t *testing.T) {
	for want, rules := range map[string][]Rule{
		`route[0].class cannot be "none"`:                                               {{Class: "none", Tenant: "north"}},
		`route[0].class cannot be "put": reads want`:                                    {{Class: "put", Tenant: "north"}},
		`route[0].wait cannot be 3s`:                                                    {{Class: "read", Tenant: "north", Timeout: 3 * time.Second}},
		`route[0].wait cannot be -1s`:                                                   {{Class: "read", Tenant: "north", Timeout: -time.Second}},
		`route[0].tenant cannot be ""`:                                                  {{Class: "read"}},
		`route[0].class cannot be "put": ticketed`:                                      {{Verb: Ticketed, Class: "put", Tenant: "north"}},
		`route[0].class cannot be "keyed": plain`:                                       {{Verb: Unticketed, Class: "keyed", Tenant: "north"}},
		`route[0].class cannot be "brief": its window`:                                  {{Verb: Writes, Class: "brief", Tenant: "north"}},
		`route[1].prefix: the rule is never reached, as route[0] fits all that it does`: {{Verb: Writes, Class: "put", Tenant: "north"}, {Verb: Unticketed, Class: "put", Tenant: "north"}},
		`route[1].prefix: the rule is never reached, as route[0]`:                       {{Class: "read", Tenant: "north"}, {Prefix: "a", Class: "read", Tenant: "south"}},
	} {
		if table, err := New(rules, classes, tenants); err == nil || table != nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%v, want %q", err, want)
		}
	}
	if _, err := New([]Rule{{Class: "read", Tenant: "north"}}, classes, nil); err == nil {
		t.Error("a tenant was taken where there are none")
	}
}

// TestRoutesAgreeWithAPlainReading guards the invariants on random tables: the first
// rule that fits by a plain reading decides, and no wait is over its class's.
func TestRoutesAgreeWithAPlainReading(t *testing.T) {
	rng := rand.New(rand.NewPCG(7, 7))
	pick := func(list ...string) string { return list[rng.IntN(len(list))] }
	fits := map[Verb][3]bool{Reads: {true, false, false}, Writes: {false, true, true}, Ticketed: {false, true, false}, Unticketed: {false, false, true}}
	built := 0
	for range 20000 {
		var rules []Rule
		for range 1 + rng.IntN(4) {
			rules = append(rules, Rule{Prefix: pick("", "a", "ab", "b"), Verb: Verb(rng.IntN(4)), Listener: pick("", "l"), User: pick("", "u"),
				Class: pick("read", "put", "keyed"), Tenant: pick("north", "south"), Timeout: time.Duration(rng.IntN(3)) * time.Second})
		}
		table, err := New(rules, classes, tenants)
		if err != nil {
			continue
		}
		built++
		r := request.Request{Verb: request.Verb(rng.IntN(2)), Key: pick("a", "ab", "abc", "b", "c")}
		from := Client{Listener: pick("", "l", "m"), User: pick("", "u", "v")}
		kind := 0 // of request: a read, a write with a ticket, one without
		if r.Verb == request.Set {
			kind = 1 + rng.IntN(2)
		}
		var want *Rule
		for i := len(rules) - 1; i >= 0; i-- {
			x := &rules[i]
			if strings.HasPrefix(r.Key, x.Prefix) && fits[x.Verb][kind] &&
				(x.Listener == "" || x.Listener == from.Listener) && (x.User == "" || x.User == from.User) {
				want = x
			}
		}
		ok := table.Route(&r, kind == 1, from)
		if ok != (want != nil) || ok && (r.Class != want.Class || r.Tenant != want.Tenant || r.Timeout > classes[r.Class].Deadline || r.Timeout <= 0) {
			t.Fatalf("%+v routes %+v from %+v as %v, want %+v", rules, r, from, ok, want)
		}
	}
	if built < 1000 {
		t.Errorf("only %d tables were good", built)
	}
}
