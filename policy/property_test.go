package policy_test

import (
	"reflect"
	"testing"
)

// TestRulesHoldOnRandomHistories checks on random events that each arrival ends exactly once and in time (guarantee 2),
// that repeats are safe (3), that attempts are limited (4), and that servers that are draining, removed or not listed
// get none (5).
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

// TestRulesHoldThroughReconfigurations replaces the settings while requests are open, and checks that these requests
// keep the class and the limits that were in force when they arrived (guarantee 6).
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

// TestSameEventsGiveSameActions checks guarantee 1: the same settings, seed and events always give the same actions.
func TestSameEventsGiveSameActions(t *testing.T) {
	a, b := newHistory(t, testSettings(), 9), newHistory(t, testSettings(), 9)
	for range 2000 { // alternating between the two detects shared state
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
