package policy_test

import (
	"reflect"
	"testing"
)

// TestRulesHoldOnRandomHistories guards guarantees 2 to 5 of the package.
func TestRulesHoldOnRandomHistories(t *testing.T) {
	for seed := range uint64(60) {
		settings := testSettings()
		settings.Limits.AllowHedging = seed%2 == 0
		settings.EndpointsOnRequest = seed%3 == 0
		settings.Limits.AllowCancel = seed%5 != 0
		if seed%4 == 1 {
			settings.Tenants = nil
		}
		h := newHistory(t, settings, seed)
		h.changeEndpoints()
		for range 3000 {
			h.step()
		}
		if h.sends < 40 {
			t.Errorf("seed %d: only %d sends seen", seed, h.sends)
		}
	}
}

// TestRulesHoldThroughReconfigurations guards guarantee 6: after a reload, open requests must keep the rules that they
// arrived under.
func TestRulesHoldThroughReconfigurations(t *testing.T) {
	for seed := range uint64(40) {
		h := newHistory(t, testSettings(), seed)
		h.changeEndpoints()
		for i := range 3000 {
			if i%50 == 25 {
				h.reconfigure()
			}
			h.step()
		}
		if h.sends < 40 {
			t.Errorf("seed %d: only %d sends seen", seed, h.sends)
		}
	}
}

// TestSameEventsGiveSameActions guards guarantee 1.
func TestSameEventsGiveSameActions(t *testing.T) {
	a, b := newHistory(t, testSettings(), 9), newHistory(t, testSettings(), 9)
	for range 2000 { // alternately, so that any shared state would show
		a.step()
		b.step()
	}
	c := newHistory(t, testSettings(), 9)
	for range 2000 {
		c.step()
	}
	if !reflect.DeepEqual(a.trace, b.trace) || !reflect.DeepEqual(a.trace, c.trace) {
		t.Error("the same events gave different actions")
	}
}
