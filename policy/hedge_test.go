package policy

import (
	"testing"

	"mulleinpier/internal/bloom"
)

// TestSilentServerIsHedgedElsewhere checks that a hedged request is sent to another server if an answer does not
// arrive. Without it, the client of a lost answer would time out.
func TestSilentServerIsHedgedElsewhere(t *testing.T) {
	b, now := newTestBalancer(t)
	b.settings.Limits.AllowHedging = true
	objective := b.settings.Classes[0].LatencyObjective
	for _, name := range []string{"a", "b"} { // both caches hold the key
		positions := bloom.PositionsOf(bloom.Hash("k"))
		b.servers[name].filter.Add(&positions)
	}
	actions := b.Handle(now, Arrival{ID: 1, Key: "k", Deadline: now + 4*objective}, nil)
	first := sendTargets(actions)
	for _, a := range actions {
		if a.Kind == SetTimer && a.Token&timerKindMask == timerHedge {
			hedged := sendTargets(b.Handle(now+a.After, TimerFired{Token: a.Token}, nil))
			if len(hedged) != 1 || hedged[0] == first[0] {
				t.Errorf("sent to %v, and after %v without an answer to %v", first, a.After, hedged)
			}
			return
		}
	}
	t.Error("no timer for a hedged request")
}
