// Package route decides which class, tenant and wait a request has whose dialect can't
// say so. It does no I/O and reads no clock.
//
// Invariants:
//
//  1. The first rule that fits decides; a request that none fits is not served.
//  2. A table is whole: each rule names a class that there is and that can carry the
//     rule's verb, and every rule can be reached.
//  3. A route never waits longer than its class's deadline.
package route

import (
	"errors"
	"fmt"
	"strings"
	"time"

	"mulleinpier/internal/request"
	"mulleinpier/internal/ticket"
)

// Verb is what a rule fits.
type Verb uint8

// The verbs of rules. Reads and writes are never fitted by one rule: what is safe to
// repeat for the one is not for the other.
const (
	Reads      Verb = iota
	Writes          // of both kinds
	Ticketed        // writes that bring a ticket, and so can be told from their repeats
	Unticketed      // writes that bring none
)

// Rule routes the requests that fit all it names; what is empty fits all.
type Rule struct {
	Prefix   string // of the key
	Verb     Verb
	Listener string // name of the listener that the client came to
	User     string // that the client has proved to be

	Class   string
	Tenant  string
	Timeout time.Duration // 0 for the class's deadline
}

// Class is what the table must know of a class.
type Class struct {
	Deadline     time.Duration
	Idempotent   bool          // to repeat: fit for reads
	DedupWindow  time.Duration // in which nodes drop repeats; 0 for a class that is not keyed
	PartialDedup bool          // nodes drop them only among those of one zone or cell
}

// Table is a routing table. It is not changed after New, and safe for concurrent use.
type Table struct{ rules []Rule }

// New returns a table of rules in their order. Its error joins one error a
// defect, each by the number of its rule.
func New(rules []Rule, classes map[string]Class, tenants map[string]bool) (*Table, error) {
	var errs []error
	wrong := func(i int, format string, a ...any) {
		errs = append(errs, fmt.Errorf("route[%d].%s", i, fmt.Sprintf(format, a...)))
	}
	t := &Table{rules: append([]Rule(nil), rules...)}
	for i := range t.rules {
		r := &t.rules[i]
		class, known := classes[r.Class]
		switch {
		case !known:
			wrong(i, "class cannot be %q: want a class that there is", r.Class)
		case !class.Idempotent && r.Verb == Reads:
			wrong(i, "class cannot be %q: reads want a class that is safe to repeat; or name another verb", r.Class)
		case class.DedupWindow == 0 && r.Verb == Ticketed:
			wrong(i, "class cannot be %q: ticketed writes want a keyed class", r.Class)
		case class.DedupWindow > 0 && r.Verb == Unticketed:
			wrong(i, "class cannot be %q: plain writes have no key, and want a class that is not keyed", r.Class)
		case class.PartialDedup && r.Verb != Reads:
			// A till repeats at any proxy, which knows nothing of where the first try went.
			wrong(i, "class cannot be %q: its nodes drop repeats in parts only, and a client's repeat may come to any", r.Class)
		case class.DedupWindow > 0 && class.DedupWindow <= 2*ticket.Margin:
			wrong(i, "class cannot be %q: its window of %v leaves a ticket no life; want more than %v", r.Class, class.DedupWindow, 2*ticket.Margin)
		case r.Timeout < 0 || r.Timeout > class.Deadline:
			wrong(i, "wait cannot be %v: want no more than the deadline of class %s, %v", r.Timeout, r.Class, class.Deadline)
		case r.Timeout == 0:
			r.Timeout = class.Deadline
		}
		switch {
		case len(tenants) > 0 && !tenants[r.Tenant]:
			wrong(i, "tenant cannot be %q: want a tenant that there is", r.Tenant)
		case len(tenants) == 0 && r.Tenant != "":
			wrong(i, "tenant cannot be %q: there are no tenants", r.Tenant)
		}
		for j := range rules[:i] {
			if rules[j].covers(r) {
				wrong(i, "prefix: the rule is never reached, as route[%d] fits all that it does", j)
				break
			}
		}
	}
	if len(errs) > 0 {
		return nil, errors.Join(errs...)
	}
	return t, nil
}

// covers tells whether all that fits s fits r too.
func (r *Rule) covers(s *Rule) bool {
	return strings.HasPrefix(s.Prefix, r.Prefix) && (r.Verb == s.Verb || r.Verb == Writes && s.Verb >= Ticketed) &&
		(r.Listener == "" || r.Listener == s.Listener) && (r.User == "" || r.User == s.User)
}

// Client is where a request came from.
type Client struct{ Listener, User string }

// Route sets a request's class, tenant and wait; ticketed is of a write that brings a
// ticket. It returns false, and sets nothing, where no rule fits.
func (t *Table) Route(r *request.Request, ticketed bool, from Client) bool {
	asked := Rule{Prefix: r.Key, Listener: from.Listener, User: from.User}
	switch {
	case r.Verb == request.Get:
		asked.Verb = Reads
	case ticketed:
		asked.Verb = Ticketed
	default:
		asked.Verb = Unticketed
	}
	for i := range t.rules {
		if rule := &t.rules[i]; rule.covers(&asked) {
			r.Class, r.Tenant, r.Timeout = rule.Class, rule.Tenant, rule.Timeout
			return true
		}
	}
	return false
}
