package outlier

import (
	"math"
	"testing"
	"time"
)

// TestSuspicion is the formula: never under what is assumed, bounded, fading, and one failure
// is not enough to move a key.
func TestSuspicion(t *testing.T) {
	var s Suspicion
	for range 100 {
		s.Observe(0, time.Second, 0, 0.1)
	}
	if s.LogOdds != 0 || math.Abs(s.Probability()-PriorProbability) > 1e-9 {
		t.Errorf("after a hundred good ends %+v, chance %v", s, s.Probability())
	}
	s.Observe(0, time.Second, 1, 0)
	if p := s.Probability(); p > 0.38 || p < 0.1 {
		t.Errorf("one failure gives a chance of %.2f", p)
	}
	s.Observe(0, time.Second, 1, 0)
	if p := s.Probability(); p < 0.8 {
		t.Errorf("two failures give a chance of %.2f", p)
	}
	for range 100 {
		s.Observe(0, time.Second, 1, 0)
	}
	if s.LogOdds > MaxLogOdds {
		t.Errorf("a hundred failures weigh %v", s.LogOdds)
	}
	if s.Decay(10*time.Second, time.Second); s.Probability() > 2*PriorProbability {
		t.Errorf("ten memories later the chance is %.2f", s.Probability())
	}
	s = Suspicion{}
	for range 3 {
		s.Observe(0, time.Second, 1, 0.8)
	}
	if p := s.Probability(); p > 0.2 {
		t.Errorf("three failures where four in five fail give a chance of %.2f", p)
	}
}
