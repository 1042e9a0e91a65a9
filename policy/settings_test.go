package policy

import (
	"strings"
	"testing"
	"time"
)

func TestNewNamesTheInvalidSetting(t *testing.T) {
	good := Settings{Classes: []Class{{LatencyObjective: 1, Deadline: 1}}, Zones: []string{"a"}}
	if _, err := New(good, 1); err != nil {
		t.Fatal(err)
	}
	for want, invalidate := range map[string]func(*Settings){
		"Classes is":    func(s *Settings) { s.Classes = nil },
		"Zone 1":        func(s *Settings) { s.Zone = 1 },
		"Rules":         func(s *Settings) { s.Rules.SlowStartWindow = -1 },
		"EventInterval": func(s *Settings) { s.EventInterval = -1 },
		"Classes[0]":    func(s *Settings) { s.Classes = []Class{{LatencyObjective: -time.Second}} },
	} {
		bad := good
		invalidate(&bad)
		if _, err := New(bad, 1); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%s: error %v", want, err)
		}
	}
}

// TestReconfigureRejectsImmutableSettings checks that Reconfigure rejects settings that change what indices refer to,
// and that it then applies no part of them.
func TestReconfigureRejectsImmutableSettings(t *testing.T) {
	settings := Settings{
		Classes:      []Class{{Name: "x", LatencyObjective: 1, Deadline: 1}},
		Zones:        []string{"a", "b"},
		MachineKinds: []string{"k"},
	}
	for name, change := range map[string]func(*Settings){
		"zones":         func(s *Settings) { s.Zones = []string{"b", "a"} },
		"zone":          func(s *Settings) { s.Zone = 1 },
		"machine kinds": func(s *Settings) { s.MachineKinds = nil },
		"endpoints":     func(s *Settings) { s.EndpointsOnRequest = true },
		"classes":       func(s *Settings) { s.Classes = nil },
		"load reports":  func(s *Settings) { s.LoadReports = LoadReportInResponse },
	} {
		t.Run(name, func(t *testing.T) {
			b, err := New(settings, 1)
			if err != nil {
				t.Fatal(err)
			}
			bad := settings
			change(&bad)
			if err := b.Reconfigure(bad); err == nil {
				t.Error("the settings were accepted")
			}
			if b.settings.Classes[0].Name != "x" || b.settings.EndpointsOnRequest || b.settings.Zone != 0 {
				t.Errorf("rejected settings are partly in force: %+v", b.settings)
			}
		})
	}
}

// TestReconfigureKeepsEstimatesByClass checks that Reconfigure matches estimates by the class's name. Otherwise the
// failures of one class would count for another.
func TestReconfigureKeepsEstimatesByClass(t *testing.T) {
	b, now := newTestBalancer(t)
	b.settings.Classes[0].Name = "x"
	b.Handle(now, Arrival{ID: 1, Deadline: now + time.Second}, nil)
	b.failureRates[0].Failures = 7
	b.servers["a"].suspicions[0].LogOdds = 5
	next := *b.settings
	next.Classes = []Class{
		{Name: "new", LatencyObjective: 1, Deadline: 1},
		{Name: "x", LatencyObjective: 2, Deadline: 3},
	}
	if err := b.Reconfigure(next); err != nil {
		t.Fatal(err)
	}
	suspicions := b.servers["a"].suspicions
	if b.failureRates[0].Failures != 0 || b.failureRates[1].Failures != 7 || suspicions[1].LogOdds != 5 {
		t.Errorf("after the classes were reordered: failure rates %v, suspicions %v", b.failureRates, suspicions)
	}
	if r := b.requests[1]; r.Class != 1 || r.class.LatencyObjective != time.Second {
		t.Errorf("the open request is of class %d with objective %v", r.Class, r.class.LatencyObjective)
	}
	next.Classes = next.Classes[:1]
	if err := b.Reconfigure(next); err != nil {
		t.Fatal(err)
	}
	if r := b.requests[1]; r.Class != 1 || len(b.failureRates) != 2 {
		t.Errorf("the open request of a removed class is at index %d of %d", r.Class, len(b.failureRates))
	}
}
