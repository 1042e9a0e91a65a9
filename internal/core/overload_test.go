package core

import (
	"testing"

	"mulleinpier/internal/overload"
	"mulleinpier/policy"
)

// TestOverloadLevelsMatchPolicyLevels checks that the levels of package overload have the same numbers as those of
// package policy, since the core converts between them by number.
func TestOverloadLevelsMatchPolicyLevels(t *testing.T) {
	for level, want := range map[overload.Level]policy.DegradationLevel{
		overload.Full:      policy.LevelFull,
		overload.Economy:   policy.LevelEconomy,
		overload.Late:      policy.LevelLate,
		overload.Handovers: policy.LevelHandovers,
		overload.Shelter:   policy.LevelShelter,
	} {
		if policy.DegradationLevel(level) != want {
			t.Errorf("level %v converts to %d, want %d", level, policy.DegradationLevel(level), want)
		}
	}
}
