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
	// Process faults come every faultInterval, while the first two clients write.
	faultInterval  = 4
	lastFaultTick  = 60
	clientTicks    = 24 // that a client waits
	thirdWriteTick = 100
)

// run has a client ask, and ask again once or twice, at any proxy; then time passes until all is completed. It returns
// which guarantee was violated, "" for none.
func (s *simulation) run() (violation string) {
	s.node.workTicks = []int{2, 36}[s.chooser.choose("work", 2)]
	s.writeAt(0, "first")
	second := []int{8, 16, 20, 24, 26, 40, 80}[s.chooser.choose("asks again", 7)]
	s.writeAt(second, "second")
	s.writeAt(thirdWriteTick, "third")
	for ; s.now < simulationTicks; s.now++ {
		if s.now%faultInterval == 0 && s.now < lastFaultTick {
			s.causeProcessFault()
		}
		s.runTick()
	}
	return s.violation()
}

// writeAt has a client come to a proxy that a choice names, if its process is up.
func (s *simulation) writeAt(ticks int, client string) {
	s.after(ticks, func() {
		p := s.proxies[s.chooser.choose("where", 3)]
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
		violation = "a receipt of nothing"
	}
	clientSawUnknown := strings.Contains(strings.Join(s.answers, ","), "unknown")
	for _, p := range s.proxies {
		for _, e := range p.registry.entries {
			if e.outcome == InFlight && e.orphaned {
				violation += fmt.Sprintf(" %s leaves an orphaned write in flight", p.Name)
			}
			if e.outcome == Unknown && s.receipts > 0 && !clientSawUnknown && s.processFaults == 0 {
				violation += " unknown without a loss"
			}
		}
	}
	return violation
}

// scriptedChooser chooses 0 but at some places.
type scriptedChooser struct {
	choices map[int]int // by place
	place   int
	sizes   []int // of the choices that were made
}

func (c *scriptedChooser) choose(_ string, n int) int {
	i := c.place
	c.place++
	if i >= len(c.sizes) {
		c.sizes = append(c.sizes, n)
	}
	return min(c.choices[i], n-1)
}

// explore runs all simulations with at most so many choices that are not 0, and returns how many there are.
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

// TestInterleavings guards guarantee 1 over all simulations with up to two choices that are not the usual one, or with
// as many as MULLEINPIER_DEPTH says.
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

// randomChooser mostly chooses 0 where a fault may come.
type randomChooser struct{ rng *rand.Rand }

func (c randomChooser) choose(_ string, n int) int {
	const processFaults, other = 10, 5 // sizes of choices
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

// TestRandomFaults has many faults together. MULLEINPIER_LIVES is how many simulations are run, 20,000 if it is not
// set.
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

// TestPlantedDefectsAreFound plants one after the other.
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
