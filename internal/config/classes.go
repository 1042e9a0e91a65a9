package config

import (
	"slices"
	"time"

	"mulleinpier/policy"
)

// defaultClasses are the classes of a configuration whose file has no tables class.
var defaultClasses = []policy.Class{
	{
		Name:             "read",
		Idempotency:      policy.Idempotent,
		LatencyObjective: 500 * time.Millisecond,
		Deadline:         2 * time.Second,
		PriorityWeight:   1,
		LateWeightShare:  0.3,
	},
	{
		Name:             "write",
		Idempotency:      policy.IdempotentWithKey,
		DedupWindow:      1500 * time.Millisecond,
		LatencyObjective: 750 * time.Millisecond,
		Deadline:         2500 * time.Millisecond,
		PriorityWeight:   2,
		LateWeightShare:  0.3,
	},
	{
		Name:             "plain",
		Idempotency:      policy.NotIdempotent,
		LatencyObjective: 750 * time.Millisecond,
		Deadline:         2500 * time.Millisecond,
		PriorityWeight:   2,
		LateWeightShare:  0.3,
	},
}

// The values of the keys effect and group, and what they mean in package policy.
var (
	idempotencyNames = map[string]policy.Idempotency{
		"safe":   policy.Idempotent,
		"keyed":  policy.IdempotentWithKey,
		"unsafe": policy.NotIdempotent,
	}
	dedupScopeNames = map[string]policy.DedupScope{
		"all":  policy.DedupScopeAll,
		"zone": policy.DedupScopeZone,
		"cell": policy.DedupScopeCell,
	}
)

// readClasses reads the tables class, or sets the default classes if there are none.
func (r *reader) readClasses() {
	settings := &r.config.Proxy.Policy
	if !r.top.has("class") {
		settings.Classes = slices.Clone(defaultClasses)
		return
	}
	var names []string
	for _, t := range r.top.tables("class") {
		class := readClass(t)
		names = append(names, class.Name)
		settings.Classes = append(settings.Classes, class)
	}
	r.errors.addDuplicates("class", names)
}

func readClass(t *table) policy.Class {
	class := policy.Class{
		Name:             t.text("name", "", printable),
		Idempotency:      idempotencyNames[t.text("effect", "safe", oneOf("safe", "keyed", "unsafe"))],
		DedupScope:       dedupScopeNames[t.text("group", "all", oneOf("all", "zone", "cell"))],
		LatencyObjective: t.duration("aim", 500*time.Millisecond, time.Millisecond, maxDuration),
		Deadline:         t.duration("deadline", 2*time.Second, time.Millisecond, maxDuration),
		DedupWindow:      t.duration("window", 0, 0, maxDuration),
		PriorityWeight:   t.number("worth", 1, 0, 1e6),
		LateWeightShare:  t.number("late_worth", 0.3, 0, 1),
	}
	hasKey := class.Idempotency == policy.IdempotentWithKey
	switch {
	case !t.has("name"):
		t.add("name", "is missing: want the name of the class")
	case class.LatencyObjective > class.Deadline:
		t.add("aim", "cannot be %v: want no more than the deadline, %v", class.LatencyObjective, class.Deadline)
	case hasKey != (class.DedupWindow > 0):
		t.add("window", "cannot be %v: want above 0s for effect = \"keyed\", else no window", class.DedupWindow)
	case !hasKey && t.has("group"):
		t.add("group", "requires effect = \"keyed\"")
	}
	t.rejectUnknown()
	return class
}

func (r *reader) readTenants() {
	settings := &r.config.Proxy.Policy
	var names []string
	for _, t := range r.top.tables("tenant") {
		tenant := policy.Tenant{Name: t.text("name", "", printable), Quota: t.number("quota", 0, 0, 1e9)}
		if !t.has("name") {
			t.add("name", "is missing: want the name of the tenant")
		}
		t.rejectUnknown()
		names = append(names, tenant.Name)
		settings.Tenants = append(settings.Tenants, tenant)
	}
	r.errors.addDuplicates("tenant", names)
}
