package quorum

import (
	"os"
	"runtime"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

// TestRandomFaults checks under random faults, with the real raft library, that at most one contender holds the task at
// a time, that fencing tokens rise, and that a lease ends on its holder before the task is granted again (guarantees 1
// to 3 of package lease). MULLEINPIER_LIVES is the number of simulations; the default is 400, or 50 in short mode.
func TestRandomFaults(t *testing.T) {
	simulations := 400
	if testing.Short() {
		simulations = 50
	}
	if n, err := strconv.Atoi(os.Getenv("MULLEINPIER_LIVES")); err == nil {
		simulations = n
	}
	var next, validChecks, granted, replaced atomic.Uint64
	var goroutines sync.WaitGroup
	for range runtime.GOMAXPROCS(0) {
		goroutines.Go(func() {
			for seed := next.Add(1) - 1; seed < uint64(simulations) && !t.Failed(); seed = next.Add(1) - 1 {
				s := newSimulation(seed, plantedDefect{}, 3)
				s.run(6 * time.Second)
				if s.violation != "" || s.haltReason != "" {
					t.Errorf("seed %d: %s %s", seed, s.violation, s.haltReason)
				}
				validChecks.Add(uint64(s.validChecks))
				granted.Add(s.highestToken)
				replaced.Add(uint64(s.replaced))
			}
		})
	}
	goroutines.Wait()
	t.Logf("%d simulations of 6 s, %d grants, %d checks of a holder, %d voters without a disk replaced",
		simulations, granted.Load(), validChecks.Load(), replaced.Load())
	if replaced.Load() == 0 {
		t.Error("no voter was replaced")
	}
	if granted.Load() < uint64(simulations) {
		t.Errorf("only %d grants in %d simulations", granted.Load(), simulations)
	}
}

// TestThreeHundredInstances checks that, of 300 contenders for one task, at most one holds it at a time, and that the
// task is granted more than once. One of the three voters is slow to save, and all faults are injected.
func TestThreeHundredInstances(t *testing.T) {
	s := newSimulation(1, plantedDefect{}, 300)
	s.voters[2].saveDelay = 100 * ms
	const span = 10 * time.Second
	s.run(span)
	if s.violation != "" || s.haltReason != "" {
		t.Fatal(s.violation, s.haltReason)
	}
	t.Logf("%d grants in %v; a second %.0f messages between voters, %.0f requests of contenders",
		s.highestToken, span, float64(s.messages)/span.Seconds(), float64(s.requests)/span.Seconds())
	if s.highestToken < 2 {
		t.Errorf("only %d grants", s.highestToken)
	}
}

// TestPlantedDefectsAreFound checks that the simulations find each planted defect.
func TestPlantedDefectsAreFound(t *testing.T) {
	const maxSimulations = 3000
	for name, defect := range map[string]plantedDefect{
		"negative margin, no allowance for drift": {negativeMargin: true},
		"a voter that forgets its log":            {forgetsLog: true},
		"messages sent before the save":           {sendsBeforeSave: true},
		"drift beyond the bound":                  {excessiveDrift: true},
	} {
		found, simulations := "", 0
		for seed := uint64(0); seed < maxSimulations && found == ""; seed++ {
			s := newSimulation(seed, defect, 3)
			s.run(8 * time.Second)
			found = s.violation + s.haltReason
			simulations++
		}
		t.Logf("%s: %s, in simulation %d", name, found, simulations)
		if found == "" {
			t.Errorf("%s: not found in %d simulations", name, simulations)
		}
	}
}
