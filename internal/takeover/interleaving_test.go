package takeover

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"os"
	"strconv"
	"strings"
	"testing"
)

const (
	simulationTicks = 200
	// Process faults may come every faultInterval ticks until lastFaultTick, while the first two clients write.
	faultInterval  = 4
	lastFaultTick  = 60
	clientTicks    = 24 // ticks that a client waits
	thirdWriteTick = 100
)

// run simulates a client's write and two retries of it, each at any proxy, until all work is complete. It returns a
// description of the violated guarantee, or "".
func (s *simulation) run() (violation string) {
	s.node.workTicks = []int{2, 36}[s.chooser.choose("work", 2)]
	s.writeAt(0, "first")
	second := []int{8, 16, 20, 24, 26, 40, 80}[s.chooser.choose("time of the retry", 7)]
	s.writeAt(second, "second")
	s.writeAt(thirdWriteTick, "third")
	for ; s.now < simulationTicks; s.now++ {
		if s.now%faultInterval == 0 && s.now < lastFaultTick {
			s.injectProcessFault()
		}
		s.runTick()
	}
	return s.violation()
}

// writeAt schedules a client's write at a chosen proxy. It is dropped if the proxy is down then.
func (s *simulation) writeAt(ticks int, client string) {
	s.after(ticks, func() {
		p := s.proxies[s.chooser.choose("proxy", 3)]
		if p.up {
			p.whenRunning(func() { p.serve(client, clientTicks) })
		}
	})
}

func (s *simulation) violation() (violation string) {
	switch {
	case s.node.effects > 1:
		violation = fmt.Sprintf("%d effects", s.node.effects)
	case s.receipts > 0 && s.node.effects == 0:
		violation = "a receipt without an effect"
	}
	clientSawUnknown := strings.Contains(strings.Join(s.answers, ","), "unknown")
	for _, p := range s.proxies {
		for _, e := range p.registry.entries {
			if e.outcome == InFlight && e.orphaned {
				violation += fmt.Sprintf(" %s has an orphaned write in flight", p.Name)
			}
			if e.outcome == Unknown && s.receipts > 0 && !clientSawUnknown && s.processFaults == 0 {
				violation += " an unknown outcome without a process fault"
			}
		}
	}
	return violation
}

// scriptedChooser makes the given choices, and chooses 0 at all other positions.
type scriptedChooser struct {
	choices map[int]int // choices other than 0, by position
	next    int         // position of the next choice
	sizes   []int       // number of options, by position
}

func (c *scriptedChooser) choose(_ string, n int) int {
	i := c.next
	c.next++
	if i >= len(c.sizes) {
		c.sizes = append(c.sizes, n)
	}
	return min(c.choices[i], n-1)
}

// explore runs all simulations with at most depth choices other than 0. It returns their number, the number of effects
// and the first violation.
func explore(depth int) (runs, effects int, violation string) {
	var walk func(choices map[int]int, from, left int)
	walk = func(choices map[int]int, from, left int) {
		if violation != "" {
			return
		}
		c := &scriptedChooser{choices: choices}
		s := newSimulation(c, plantedDefects{}, 2)
		runs++
		if violation = s.run(); violation != "" {
			violation = fmt.Sprintf("%s: choices %v, answers %v", violation, choices, s.answers)
			return
		}
		effects += s.node.effects
		if left == 0 {
			return
		}
		for i := from; i < len(c.sizes); i++ {
			for choice := 1; choice < c.sizes[i]; choice++ {
				next := maps.Clone(choices)
				next[i] = choice
				walk(next, i+1, left-1)
			}
		}
	}
	walk(map[int]int{}, 0, depth)
	return runs, effects, violation
}

// TestInterleavings checks that no write takes effect twice (guarantee 1), that a receipt implies an effect and that
// no orphaned write stays in flight, in all simulations with at most two choices other than 0, or as many as
// MULLEINPIER_DEPTH sets.
func TestInterleavings(t *testing.T) {
	depth := 2
	if n, err := strconv.Atoi(os.Getenv("MULLEINPIER_DEPTH")); err == nil {
		depth = n
	}
	runs, effects, violation := explore(depth)
	t.Logf("%d simulations, %d effects", runs, effects)
	if violation != "" {
		t.Error(violation)
	}
	if effects < runs/2 {
		t.Errorf("only %d effects", effects)
	}
}

// randomChooser chooses at random, but mostly 0 where it decides about a fault.
type randomChooser struct{ rng *rand.Rand }

func (c randomChooser) choose(_ string, n int) int {
	const processFaults, other = 10, 5 // numbers of options, which tell the kinds of choices apart
	if n == processFaults && c.rng.IntN(3) > 0 || n < other && c.rng.IntN(4) > 0 {
		return 0
	}
	return c.rng.IntN(n)
}

// runRandom runs random simulations until a guarantee is violated.
func runRandom(seeds int, defects plantedDefects) (violation string, seed, receipts, effects int) {
	for seed = range seeds {
		s := newSimulation(randomChooser{rand.New(rand.NewPCG(uint64(seed), 5))}, defects, 6)
		if violation = s.run(); violation != "" {
			return fmt.Sprintf("%s: %v", violation, s.answers), seed, receipts, effects
		}
		receipts += s.receipts
		effects += s.node.effects
	}
	return "", seeds, receipts, effects
}

// TestRandomFaults checks the same as TestInterleavings under up to six random faults per simulation.
// MULLEINPIER_LIVES sets the number of simulations, 20,000 by default.
func TestRandomFaults(t *testing.T) {
	seeds := 20_000
	if n, err := strconv.Atoi(os.Getenv("MULLEINPIER_LIVES")); err == nil {
		seeds = n
	}
	violation, seed, receipts, effects := runRandom(seeds, plantedDefects{})
	t.Logf("%d simulations, %d receipts, %d effects", seeds, receipts, effects)
	if violation != "" {
		t.Errorf("seed %d: %s", seed, violation)
	}
}

// TestPlantedDefectsAreFound checks that the simulation finds each planted defect. A simulation that detects
// nothing would make the other tests pass.
func TestPlantedDefectsAreFound(t *testing.T) {
	for name, defects := range map[string]plantedDefects{
		"permission after the window": {longWindow: true},
		"age not sent":                {ageNotSent: true},
		"no check before the send":    {noCheckBeforeSend: true},
		"clocks beyond the bound":     {excessiveDrift: true},
		"a registry that forgets":     {forgetfulRegistry: true},
	} {
		violation, seed, _, _ := runRandom(300_000, defects)
		t.Logf("%s: simulation %d: %s", name, seed, violation)
		if violation == "" {
			t.Errorf("%s: not found", name)
		}
	}
}
