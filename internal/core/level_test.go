package core

import (
	"testing"

	"mulleinpier/internal/overload"
	"mulleinpier/policy"
)

// TestLevelsAgree guards the numbers that pass from package service to package policy.
func TestLevelsAgree(t *testing.T) {
	for level, want := range map[overload.Level]policy.Service{overload.Full: policy.ServiceFull, overload.Economy: policy.ServiceEconomy,
		overload.Late: policy.ServiceLate, overload.Handovers: policy.ServiceHandovers, overload.Shelter: policy.ServiceShelter} {
		if policy.Service(level) != want {
			t.Errorf("%v is %d there", level, want)
		}
	}
}
