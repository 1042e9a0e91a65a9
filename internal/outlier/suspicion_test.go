package outlier

import (
	"math"
	"testing"
	"time"
)

// TestSuspicionIsBoundedAndDecays checks that the log odds never fall below the prior, are bounded and decay, and that
// one failure is not enough to move a key.
func TestSuspicionIsBoundedAndDecays(t *testing.T) {
	observe := func(s *Suspicion, n int, failed, baseline float64) {
		for range n {
			s.Observe(0, time.Second, failed, baseline)
		}
	}
	var s Suspicion
	observe(&s, 100, 0, 0.1)
	if s.LogOdds != 0 || math.Abs(s.Probability()-PriorProbability) > 1e-9 {
		t.Errorf("after a hundred successes %+v, probability %v", s, s.Probability())
	}
	observe(&s, 1, 1, 0)
	if p := s.Probability(); p > 0.38 || p < 0.1 {
		t.Errorf("one failure gives a probability of %.2f", p)
	}
	observe(&s, 1, 1, 0)
	if p := s.Probability(); p < 0.8 {
		t.Errorf("two failures give a probability of %.2f", p)
	}
	observe(&s, 100, 1, 0)
	if s.LogOdds > MaxLogOdds {
		t.Errorf("a hundred failures give log odds of %v", s.LogOdds)
	}
	s.Decay(10*time.Second, time.Second)
	if p := s.Probability(); p > 2*PriorProbability {
		t.Errorf("ten decay times later the probability is %.2f", p)
	}
	s = Suspicion{}
	observe(&s, 3, 1, 0.8)
	if p := s.Probability(); p > 0.2 {
		t.Errorf("three failures where four in five fail give a probability of %.2f", p)
	}
}
