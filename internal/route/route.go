// Package route sets the class, tenant and timeout of requests whose dialect cannot carry them.
//
// Invariants:
//
//  1. The first rule that matches decides. A request that no rule matches is not served.
//  2. Each rule names an existing class that suits the rule's verb, and no rule is covered by a single rule before it.
//     A rule that several rules before it cover together is accepted, but never reached.
//  3. The timeout of a route is never longer than the deadline of its class.
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

// Verb selects the kind of requests that a rule matches.
type Verb uint8

// The verbs of rules. No rule matches both reads and writes, because reads are safe to repeat and writes are not, so
// they need different classes.
const (
	Reads      Verb = iota
	Writes          // with or without a ticket
	Ticketed        // writes with a ticket, so that a retry can be recognized
	Unticketed      // writes without a ticket
)

// Rule sets the class, tenant and timeout of the requests that match its verb, prefix, listener and user. An empty
// prefix, listener or user matches any.
type Rule struct {
	Prefix   string // prefix of the key
	Verb     Verb
	Listener string // name of the listener that the client connected to
	User     string // user that the client has authenticated as

	Class   string
	Tenant  string
	Timeout time.Duration // 0 for the class's deadline
}

// Class holds the properties of a class that New checks rules against.
type Class struct {
	Deadline     time.Duration
	Idempotent   bool          // requests of the class are safe to repeat; reads require such a class
	DedupWindow  time.Duration // for how long nodes drop duplicates; 0 for a class that is not keyed
	PartialDedup bool          // a node drops duplicates only of writes sent to its own zone or cell
}

// Table is a routing table. It does not change after New, and is safe for concurrent use.
type Table struct{ rules []Rule }

// New returns a routing table that tries rules in the given order. If tenants is empty, no rule may name a tenant. The
// error joins one error for each defect, which names the rule's number and the configuration key.
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
			report(i, fmt.Errorf("class cannot be %q: want an existing class", rule.Class))
		}
		if rule.Timeout == 0 {
			rule.Timeout = class.Deadline
		}
		report(i, checkTenant(rule, tenants))
		report(i, checkReachable(rule, rules[:i]))
	}
	if len(defects) > 0 {
		return nil, errors.Join(defects...)
	}
	return t, nil
}

// checkClass returns an error for the first reason why a rule cannot have its class and timeout.
func checkClass(rule *Rule, class *Class) error {
	isKeyed := class.DedupWindow > 0
	classError := func(why string) error { return fmt.Errorf("class cannot be %q: %s", rule.Class, why) }
	switch {
	case !class.Idempotent && rule.Verb == Reads:
		return classError("reads need a class that is safe to repeat; or set another verb")
	case !isKeyed && rule.Verb == Ticketed:
		return classError("ticketed writes need a keyed class")
	case isKeyed && rule.Verb == Unticketed:
		return classError("plain writes have no idempotency key and need a class that is not keyed")
	case class.PartialDedup && rule.Verb != Reads:
		// A client may retry a write at any proxy, and that proxy does not know where the first attempt was sent.
		return classError("its nodes drop repeats in parts only (zone or cell); a client's repeat may reach any node")
	case isKeyed && class.DedupWindow <= 2*ticket.Margin:
		return classError(fmt.Sprintf("its window of %v leaves no time in which a ticket is valid; want more than %v",
			class.DedupWindow, 2*ticket.Margin))
	case rule.Timeout < 0 || rule.Timeout > class.Deadline:
		return fmt.Errorf("wait cannot be %v: want no more than the deadline of class %s, %v",
			rule.Timeout, rule.Class, class.Deadline)
	}
	return nil
}

// checkTenant returns an error if a rule cannot have its tenant.
func checkTenant(rule *Rule, tenants map[string]bool) error {
	switch {
	case len(tenants) > 0 && !tenants[rule.Tenant]:
		return fmt.Errorf("tenant cannot be %q: want an existing tenant", rule.Tenant)
	case len(tenants) == 0 && rule.Tenant != "":
		return fmt.Errorf("tenant cannot be %q: no tenants are configured", rule.Tenant)
	}
	return nil
}

// checkReachable returns an error if one of the rules before a rule covers it, so that it is never reached.
func checkReachable(rule *Rule, before []Rule) error {
	for i := range before {
		if before[i].covers(rule) {
			return fmt.Errorf("prefix: the rule is never reached, as route[%d] matches every request that it does", i)
		}
	}
	return nil
}

// covers reports whether r matches every request that other matches.
func (r *Rule) covers(other *Rule) bool {
	isWrite := other.Verb == Ticketed || other.Verb == Unticketed
	return strings.HasPrefix(other.Prefix, r.Prefix) &&
		(r.Verb == other.Verb || r.Verb == Writes && isWrite) &&
		(r.Listener == "" || r.Listener == other.Listener) &&
		(r.User == "" || r.User == other.User)
}

// Client identifies the client that a request came from, by its listener and authenticated user.
type Client struct{ Listener, User string }

// Route sets a request's class, tenant and timeout by the first rule that matches. ticketed is true for a write with a
// ticket. Route returns false, and sets nothing, if no rule matches.
func (t *Table) Route(r *request.Request, ticketed bool, from Client) bool {
	// narrowest is the narrowest rule that matches the request: a rule covers it exactly if it matches the request.
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
