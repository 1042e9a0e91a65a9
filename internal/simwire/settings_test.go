package simwire

import (
	"testing"
	"time"

	"mulleinpier/policy"
)

func TestParseSettings(t *testing.T) {
	s, err := ParseSettings(`{"Unknown":{"x":1},"RegistryMode":"on_request",` +
		`"Services":[{"Effect":"keyed","DedupScope":"zone","Aim":600.5}]}`)
	if err != nil {
		t.Fatal(err)
	}
	class := s.Classes[0]
	if !s.EndpointsOnRequest || class.DedupScope != policy.DedupScopeZone ||
		class.LatencyObjective != 600500*time.Microsecond {
		t.Errorf("%+v", s)
	}
	for _, text := range []string{"{", `{"Services":[{"Effect":"odd"}]}`, `{"Telemetry":{"How":"odd"}}`} {
		if _, err := ParseSettings(text); err == nil {
			t.Errorf("%s: no error", text)
		}
	}
}
