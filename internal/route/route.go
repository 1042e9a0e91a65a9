// Package route decides the class, tenant and timeout of a request whose dialect can't say them.
//
// Invariants:
//
//  1. The first rule that matches decides; a request that none matches is not served.
//  2. Each rule names an existing class that can carry the rule's verb, and none is covered by a single rule before it.
//     One that several rules cover together is accepted, and never reached.
//  3. A route never waits longer than the deadline of its class.
//
// The package does no I/O and reads no clock.
package route

import (
	"errors"
	"fmt"
	"slices"
	"strings"
	"time"

	"mulleinpier/internal/request"
	"mulleinpier/internal/ticket"
)

// Verb is which requests a rule matches.
type Verb uint8

// The verbs of rules. No rule matches both reads and writes: what is idempotent for the one is not for the other.
const (
	Reads      Verb = iota
	Writes          // of both kinds
	Ticketed        // writes with a ticket, whose repeats can be recognized
	Unticketed      // writes without one
)

// Rule routes the requests that match all that it names; what is empty matches all.
type Rule struct {
	Prefix   string // of the key
	Verb     Verb
	Listener string // name of the listener that the client connected to
	User     string // that the client has authenticated as

	Class   string
	Tenant  string
	Timeout time.Duration // 0 for the class's deadline
}

// Class is what the table must know of a class.
type Class struct {
	Deadline     time.Duration
	Idempotent   bool          // it is fit for reads
	DedupWindow  time.Duration // in which nodes drop repeats; 0 for a class that is not keyed
	PartialDedup bool          // nodes drop them only among those of one zone or cell
}

// Table is a routing table. It does not change after New, and is safe for concurrent use.
type Table struct{ rules []Rule }

// New returns a table of rules in their order. Its error joins one error for each defect, with the number of its rule
// and the key of the configuration.
func New(rules []Rule, classes map[string]Class, tenants map[string]bool) (*Table, error) {
	var defects []error
	report := func(i int, defect error) {
		if defect != nil {
			defects = append(defects, fmt.Errorf("route[%d].%w", i, defect))
		}
	}
	t := &Table{rules: slices.Clone(rules)}
	for i := range t.rules {
		rule := &t.rules[i]
		class, known := classes[rule.Class]
		if known {
			report(i, checkClass(rule, &class))
		} else {
			report(i, fmt.Errorf("class cannot be %q: want a class that there is", rule.Class))
		}
		if rule.Timeout == 0 {
			rule.Timeout = class.Deadline
		}
		report(i, checkTenant(rule, tenants))
		report(i, checkReached(rule, rules[:i]))
	}
	if len(defects) > 0 {
		return nil, errors.Join(defects...)
	}
	return t, nil
}

// checkClass returns the first reason why a rule can't have its class and timeout.
func checkClass(rule *Rule, class *Class) error {
	isKeyed := class.DedupWindow > 0
	cannotBe := func(why string) error { return fmt.Errorf("class cannot be %q: %s", rule.Class, why) }
	switch {
	case !class.Idempotent && rule.Verb == Reads:
		return cannotBe("reads want a class that is safe to repeat; or name another verb")
	case !isKeyed && rule.Verb == Ticketed:
		return cannotBe("ticketed writes want a keyed class")
	case isKeyed && rule.Verb == Unticketed:
		return cannotBe("plain writes have no key, and want a class that is not keyed")
	case class.PartialDedup && rule.Verb != Reads:
		// A client repeats at any proxy, which does not know where the first attempt was sent.
		return cannotBe("its nodes drop repeats in parts only, and a client's repeat may come to any")
	case isKeyed && class.DedupWindow <= 2*ticket.Margin:
		return cannotBe(fmt.Sprintf("its window of %v leaves no time in which a ticket is valid; want more than %v",
			class.DedupWindow, 2*ticket.Margin))
	case rule.Timeout < 0 || rule.Timeout > class.Deadline:
		return fmt.Errorf("wait cannot be %v: want no more than the deadline of class %s, %v",
			rule.Timeout, rule.Class, class.Deadline)
	}
	return nil
}

// checkTenant returns why a rule can't have its tenant.
func checkTenant(rule *Rule, tenants map[string]bool) error {
	switch {
	case len(tenants) > 0 && !tenants[rule.Tenant]:
		return fmt.Errorf("tenant cannot be %q: want a tenant that there is", rule.Tenant)
	case len(tenants) == 0 && rule.Tenant != "":
		return fmt.Errorf("tenant cannot be %q: there are no tenants", rule.Tenant)
	}
	return nil
}

// checkReached returns why a rule is never reached, because of a rule before it.
func checkReached(rule *Rule, before []Rule) error {
	for i := range before {
		if before[i].covers(rule) {
			return fmt.Errorf("prefix: the rule is never reached, as route[%d] fits all that it does", i)
		}
	}
	return nil
}

// covers reports whether everything that other matches, r matches too.
func (r *Rule) covers(other *Rule) bool {
	isWrite := other.Verb == Ticketed || other.Verb == Unticketed
	return strings.HasPrefix(other.Prefix, r.Prefix) &&
		(r.Verb == other.Verb || r.Verb == Writes && isWrite) &&
		(r.Listener == "" || r.Listener == other.Listener) &&
		(r.User == "" || r.User == other.User)
}

// Client is where a request came from.
type Client struct{ Listener, User string }

// Route sets a request's class, tenant and timeout; ticketed is for a write with a ticket. It returns false, and sets
// nothing, where no rule matches.
func (t *Table) Route(r *request.Request, ticketed bool, from Client) bool {
	// The narrowest rule that matches the request: a rule matches the request if it covers that.
	narrowest := Rule{Prefix: r.Key, Listener: from.Listener, User: from.User}
	switch {
	case r.Verb == request.Get:
		narrowest.Verb = Reads
	case ticketed:
		narrowest.Verb = Ticketed
	default:
		narrowest.Verb = Unticketed
	}
	for i := range t.rules {
		if rule := &t.rules[i]; rule.covers(&narrowest) {
			r.Class, r.Tenant, r.Timeout = rule.Class, rule.Tenant, rule.Timeout
			return true
		}
	}
	return false
}
