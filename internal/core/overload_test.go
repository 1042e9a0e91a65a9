package core

import (
	"testing"

	"mulleinpier/internal/overload"
	"mulleinpier/policy"
)

// TestLevelsAgree guards the numbers that pass from package service to package policy.
func TestLevelsAgree(t *testing.T) {
	for level, want := range map[overload.Level]policy.DegradationLevel{overload.Full: policy.LevelFull, overload.Economy: policy.LevelEconomy,
		overload.Late: policy.LevelLate, overload.Handovers: policy.LevelHandovers, overload.Shelter: policy.LevelShelter} {
		if policy.DegradationLevel(level) != want {
			t.Errorf("%v is %d there", level, want)
		}
	}
}
