package pause

import (
	"testing"
	"time"
)

// This file exhausts a small world: a till that asks proxy A and, unanswered, proxy B under the same key,
// one node that drops repeats within a window, and one stop of A anywhere. A reads, decides, looks
// and writes, with time between; B serves at once. Time is counted in grains.

const (
	grain  = 50 * ms
	window = 1500 * ms
)

// rules is what A heeds; a rule is left out to see that it is missed.
type rules struct{ age, look bool }

// life is one course of the world.
type life struct {
	wait           time.Duration // of the till for A
	closes         bool          // the till closes when it has given up, A sees that when it reads
	busyFor        time.Duration // A is at work elsewhere before it reads
	gated          time.Duration // between its decision and its last look
	again          time.Duration // from the till's time being up to B's send
	stopAt, stop   time.Duration
	kernel, ticked bool // A's kernel knows ages; A had ticked right before the stop
}

// outcome of a life.
type outcome struct {
	effects  int
	hole     bool // the stop fell between the last look and the write
	refused  bool
	answered bool // by A, in time
}

// live plays a life. Every step of A takes the process's time: a stop between puts it off.
func live(l life, r rules) (o outcome) {
	const sent = 1000 * ms // by the till
	after := func(t, d time.Duration) time.Duration {
		if end := t + d; t <= l.stopAt && l.stopAt < end { // the stop falls into it
			return end + l.stop
		}
		return t + d
	}
	gap := Interval{}
	see := func(now time.Duration) { // what looks tell A until now
		if now >= l.stopAt+l.stop && l.stop >= DefaultLimits.MinPause {
			gap = Interval{Start: l.stopAt, End: l.stopAt + l.stop}
			if !l.ticked {
				gap.Start -= DefaultLimits.CheckInterval
			}
		}
	}
	var effects []time.Duration // begun at the node
	carry := func(at time.Duration) {
		for _, e := range effects {
			if at-e < window && e-at < window {
				return
			}
		}
		effects = append(effects, at)
	}
	// B has it unless A has answered when the till gives up; whether it has is settled below.
	second := sent + l.wait + l.again

	read := after(sent, l.busyFor)
	if l.stopAt < sent { // A stood already
		read = max(read, l.stopAt+l.stop+l.busyFor)
	}
	see(read)
	k := KernelInfo{Known: l.kernel, SingleCommand: true, SinceLastByte: read - sent}
	age := EstimateArrival(ReadTiming{DrainedAt: sent - grain, Started: sent - grain, Ended: read}, gap, k)
	if !r.age {
		age = Arrival{read, read}
	}
	gone := l.closes && read >= sent+l.wait
	v := DecideByAge(read, IdempotentWithKey, l.wait, window, age)
	write := time.Duration(-1)
	if !gone && !v.Reject {
		looked := after(read, l.gated)
		if !r.look || looked < v.SendBefore {
			write = after(looked, grain/10) // the hole
			o.hole = write-looked > grain/10
		}
	}
	o.refused = write < 0
	o.answered = write >= 0 && write < sent+l.wait
	switch {
	case o.answered: // the till needs no second
		carry(write)
	case write >= 0 && write < second:
		carry(write)
		carry(second)
	default:
		carry(second)
		if write >= 0 {
			carry(write)
		}
	}
	o.effects = len(effects)
	return o
}

// exhaust plays all lives and counts them.
func exhaust(r rules) (lives, doubled, inHole, refused, answered int) {
	for wait := 500 * ms; wait <= 2500*ms; wait += 500 * ms {
		for busy := time.Duration(0); busy <= 200*ms; busy += 100 * ms {
			for gated := time.Duration(0); gated <= 400*ms; gated += 200 * ms {
				for again := time.Duration(0); again <= 400*ms; again += 200 * ms {
					for stopAt := 500 * ms; stopAt <= 2000*ms; stopAt += grain / 10 {
						for _, stop := range []time.Duration{0, 200 * ms, 250 * ms, 300 * ms, 1000 * ms, 1600 * ms, 3000 * ms, 6000 * ms, 30000 * ms} {
							for bits := range 8 {
								o := live(life{wait, bits&1 != 0, busy, gated, again, stopAt, stop, bits&2 != 0, bits&4 != 0}, r)
								lives++
								if o.refused {
									refused++
								}
								if o.answered {
									answered++
								}
								if o.effects > 1 && o.hole {
									inHole++
								} else if o.effects > 1 {
									doubled++
								}
							}
						}
					}
				}
			}
		}
	}
	return lives, doubled, inHole, refused, answered
}

// TestSmallWorld guards invariant 5: no stop anywhere makes an effect happen twice, but for one in the
// stated hole; and each rule is missed when it is left out.
func TestSmallWorld(t *testing.T) {
	lives, doubled, inHole, refused, answered := exhaust(rules{age: true, look: true})
	t.Logf("%d lives: %d doubled, %d in the hole, %d refused, %d answered", lives, doubled, inHole, refused, answered)
	if doubled > 0 || inHole == 0 || refused == 0 || answered < lives/2 {
		t.Errorf("%d lives: %d doubled, %d in the hole, %d refused, %d answered", lives, doubled, inHole, refused, answered)
	}
	for name, r := range map[string]rules{"no age": {look: true}, "no last look": {age: true}} {
		if _, doubled, _, _, _ := exhaust(r); doubled == 0 {
			t.Errorf("%s: nothing doubled, so the rule guards nothing", name)
		}
	}
}
