package lease

import (
	"fmt"
	"hash/maphash"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// nextSteps returns all steps that the model can take from this state. The first step lets a tick pass.
func (w *world) nextSteps() (list []func(*world)) {
	step := func(do func(*world)) { list = append(list, do) }
	step((*world).passTick)
	for i, m := range w.inFlight {
		if m.kind == responseMessage && m.contender == w.stopped {
			continue // a stopped contender reads no messages
		}
		list = append(list, w.messageSteps(i, m)...)
	}
	if w.faultsLeft.changeLeader > 0 {
		step((*world).changeLeader)
	}
	if w.leader == 1 && !w.oldLeaderNotified {
		step(func(c *world) {
			c.oldLeaderNotified = true
			c.handleAtVoter(0, LeadershipLost{})
		})
	}
	if w.faultsLeft.stop > 0 && w.stopped < 0 {
		step(func(c *world) { c.stopped, c.faultsLeft.stop = 0, 0 })
	}
	if w.stopped >= 0 {
		step(func(c *world) {
			c.stopped = -1
			c.handleAtContender(0, TimerFired{})
		})
	}
	if w.faultsLeft.crash > 0 {
		step(func(c *world) {
			c.faultsLeft.crash--
			c.incarnations[0]++
			c.sessions[0] = c.newSession("c0.1", 3)
		})
	}
	if w.faultsLeft.release > 0 && w.sessions[1].state == Holding {
		step(func(c *world) {
			c.faultsLeft.release--
			c.handleAtContender(1, ReleaseRequested{})
		})
	}
	return list
}

// messageSteps returns what can happen to a message in flight: delivery, loss or duplication.
func (w *world) messageSteps(i int, m message) (list []func(*world)) {
	take := func(c *world) message {
		m := c.inFlight[i]
		c.inFlight = slices.Delete(c.inFlight, i, i+1)
		return m
	}
	if m.kind != responseMessage || m.incarnation == w.incarnations[m.contender] {
		receivers := 1
		if m.kind == requestMessage && w.leader == 1 {
			receivers = 2 // the request may reach the old or the new leader
		}
		for v := range receivers {
			list = append(list, func(c *world) { c.deliver(take(c), v) })
		}
	}
	if w.faultsLeft.lose > 0 {
		list = append(list, func(c *world) {
			take(c)
			c.faultsLeft.lose--
		})
	}
	if w.faultsLeft.duplicate > 0 && len(w.inFlight) < maxMessagesInFlight {
		list = append(list, func(c *world) {
			c.inFlight = append(c.inFlight, c.inFlight[i])
			c.faultsLeft.duplicate--
		})
	}
	return list
}

// changeLeader makes voter 1 the leader. Voter 0 is notified in a separate step, which may never come.
func (w *world) changeLeader() {
	w.faultsLeft.changeLeader--
	w.leader = 1
	if !w.defect.newLeaderLacksGrants {
		copyTasks(w.machines[1], w.machines[0])
	}
	w.handleAtVoter(1, LeadershipAcquired{})
	if w.defect.inheritedLeasesEnded {
		clear(w.managers[1].deadlines)
		for name, t := range w.machines[1].Tasks {
			for _, g := range t.Grants {
				w.managers[1].deadlines[g.Token] = leaseDeadline{task: name, at: w.voterNow()}
			}
		}
	}
}

// explore visits all states up to a tick, at most maxStates of them, and returns the first violation.
func explore(f faults, maxStates, until int) (states int, complete bool, violation string) {
	first := newWorld(plantedDefect{}, f)
	hash := maphash.MakeSeed()
	seen := map[uint64]struct{}{maphash.String(hash, first.key()): {}}
	for queue := []*world{first}; len(queue) > 0; queue = queue[1:] {
		for _, do := range queue[0].nextSteps() {
			c := queue[0].copy()
			do(c)
			if v := c.violation(); v != "" {
				return len(seen), false, fmt.Sprintf("at tick %d: %s", c.now, v)
			}
			if c.now > until {
				continue
			}
			k := maphash.String(hash, c.key())
			if _, ok := seen[k]; ok {
				continue
			}
			if len(seen) >= maxStates {
				return len(seen), false, ""
			}
			seen[k] = struct{}{}
			queue = append(queue, c)
		}
	}
	return len(seen), true, ""
}

// randomWalk takes random steps up to a tick, and returns the first violation.
func randomWalk(d plantedDefect, seed uint64, until int) (violation string) {
	r := rand.New(rand.NewPCG(seed, 1))
	w := newWorld(d, faults{1, 1, 1, 1, 1, 1})
	for w.now <= until {
		steps := w.nextSteps()
		i := r.IntN(len(steps))
		if r.IntN(4) == 0 {
			i = 0 // a tick, which is chosen more often than any other step
		}
		steps[i](w)
		if v := w.violation(); v != "" {
			return fmt.Sprintf("at tick %d: %s", w.now, v)
		}
	}
	return ""
}

const (
	// exploredTicks is the tick up to which all states are visited.
	exploredTicks = 4
	// maxExploredStates is more than the number of states up to exploredTicks.
	maxExploredStates = 400_000
	// walkTicks is the length of a random walk, and walks the number of walks.
	walkTicks = 24
	walks     = 100_000
)

// TestInterleavings checks that at most one session of a task is valid at a time, that fencing tokens rise, and that a
// lease ends on its holder before the task is granted again (guarantees 1 to 3). It checks every state of the model's
// first ticks, and random walks of more ticks. It also checks that the walks find each planted defect.
func TestInterleavings(t *testing.T) {
	begin := time.Now()
	states := 0
	for name, f := range map[string]faults{
		"lost":                  {lose: 1},
		"duplicated":            {duplicate: 1},
		"leader changes":        {changeLeader: 1},
		"stop":                  {stop: 1},
		"crash":                 {crash: 1},
		"release":               {release: 1},
		"leader changes, stop":  {changeLeader: 1, stop: 1},
		"leader changes, crash": {changeLeader: 1, crash: 1},
	} {
		until := exploredTicks
		if f.changeLeader+f.stop+f.crash > 1 {
			until-- // two faults lead to many more states
		}
		n, complete, violation := explore(f, maxExploredStates, until)
		t.Logf("%s: %d states, all of them: %v", name, n, complete)
		if violation != "" || !complete {
			t.Errorf("%s: %d states, all of them: %v: %s", name, n, complete, violation)
		}
		states += n
	}
	t.Logf("%d states in %v", states, time.Since(begin))
	for seed := range uint64(walks) {
		if violation := randomWalk(plantedDefect{}, seed, walkTicks); violation != "" {
			t.Fatalf("walk %d: %s", seed, violation)
		}
	}
	for name, d := range map[string]plantedDefect{
		"no margin, no allowance for drift":  {noMargin: true},
		"new leader without grants":          {newLeaderLacksGrants: true},
		"lease counted from the response":    {countsFromResponse: true},
		"drift beyond the bound":             {excessiveDrift: true},
		"inherited leases taken for expired": {inheritedLeasesEnded: true},
	} {
		violation, seed := "", uint64(0)
		for ; seed < walks && violation == ""; seed++ {
			violation = randomWalk(d, seed, walkTicks)
		}
		t.Logf("%s: %s, walk %d", name, violation, seed)
		if violation == "" {
			t.Errorf("%s: not found", name)
		}
	}
}
