package outlier

import (
	"math"
	"testing"
	"time"
)

// TestSuspicion is the formula: never under what is assumed, bounded, fading, and one failure
// is not enough to move a key.
func TestSuspicion(t *testing.T) {
	var s Odds
	for range 100 {
		s.Add(0, time.Second, 0, 0.1)
	}
	if s.Above != 0 || math.Abs(s.Chance()-Prior) > 1e-9 {
		t.Errorf("after a hundred good ends %+v, chance %v", s, s.Chance())
	}
	s.Add(0, time.Second, 1, 0)
	if p := s.Chance(); p > 0.38 || p < 0.1 {
		t.Errorf("one failure gives a chance of %.2f", p)
	}
	s.Add(0, time.Second, 1, 0)
	if p := s.Chance(); p < 0.8 {
		t.Errorf("two failures give a chance of %.2f", p)
	}
	for range 100 {
		s.Add(0, time.Second, 1, 0)
	}
	if s.Above > MostAbove {
		t.Errorf("a hundred failures weigh %v", s.Above)
	}
	if s.Fade(10*time.Second, time.Second); s.Chance() > 2*Prior {
		t.Errorf("ten memories later the chance is %.2f", s.Chance())
	}
	s = Odds{}
	for range 3 {
		s.Add(0, time.Second, 1, 0.8)
	}
	if p := s.Chance(); p > 0.2 {
		t.Errorf("three failures where four in five fail give a chance of %.2f", p)
	}
}
