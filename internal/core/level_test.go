package core

import (
	"testing"

	"mulleinpier/internal/service"
	"mulleinpier/policy"
)

// TestLevelsAgree guards the numbers that pass from package service to package policy.
func TestLevelsAgree(t *testing.T) {
	for level, want := range map[service.Level]policy.Service{service.Full: policy.ServiceFull, service.Economy: policy.ServiceEconomy,
		service.Late: policy.ServiceLate, service.Handovers: policy.ServiceHandovers, service.Shelter: policy.ServiceShelter} {
		if policy.Service(level) != want {
			t.Errorf("%v is %d there", level, want)
		}
	}
}
