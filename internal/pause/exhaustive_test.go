package pause

import (
	"testing"
	"time"
)

// This file exhausts a small model: a client that sends a write to proxy A and, unanswered, to proxy B under
// the same key, one node that drops repeats within a window, and one pause of A at any time. A reads, decides,
// checks and writes, with time between; B serves at once. Time is counted in steps.

const (
	timeStep    = 50 * ms
	modelWindow = 1500 * ms
)

// modelRules are the rules that A follows. Each is left out once, to see that the model then finds a repeat.
type modelRules struct {
	age       bool // it decides by age
	lastCheck bool // it checks once more right before the write
}

// modelRun is one course of the model.
type modelRun struct {
	timeout          time.Duration // of the client for A
	closes           bool          // the client closes when it has given up; A sees that when it reads
	busy             time.Duration // A is at work elsewhere before it reads
	queued           time.Duration // between A's decision and its last check
	retryDelay       time.Duration // from the client's timeout to the send through B
	pauseAt, pause   time.Duration
	kernelKnown      bool // A's kernel knows ages
	checkedJustPrior bool // A had checked the clocks right before the pause
}

// modelOutcome is how a run ends.
type modelOutcome struct {
	effects    int
	undetected bool // the pause was between the last check and the write
	rejected   bool
	answered   bool // by A, in time
}

// sentAt is when the client sends its write to A.
const sentAt = 1000 * ms

// advance returns the time after a step of A, which a pause within it delays.
func (r *modelRun) advance(start, duration time.Duration) time.Duration {
	end := start + duration
	if start <= r.pauseAt && r.pauseAt < end {
		return end + r.pause
	}
	return end
}

// detected returns the pause that A has detected at a time.
func (r *modelRun) detected(now time.Duration) Interval {
	if now < r.pauseAt+r.pause || r.pause < DefaultLimits.MinPause {
		return Interval{}
	}
	interval := Interval{Start: r.pauseAt, End: r.pauseAt + r.pause}
	if !r.checkedJustPrior {
		interval.Start -= DefaultLimits.CheckInterval
	}
	return interval
}

// countEffects returns how many writes under one key take effect at a node, in the order in which they come.
func countEffects(writes ...time.Duration) int {
	var effects []time.Duration
	for _, write := range writes {
		isRepeat := false
		for _, effect := range effects {
			isRepeat = isRepeat || write-effect < modelWindow && effect-write < modelWindow
		}
		if !isRepeat {
			effects = append(effects, write)
		}
	}
	return len(effects)
}

// run plays a run.
func (r *modelRun) run(rules modelRules) (outcome modelOutcome) {
	const never = -1
	read := r.advance(sentAt, r.busy)
	if r.pauseAt < sentAt { // A was paused already
		read = max(read, r.pauseAt+r.pause+r.busy)
	}
	kernel := KernelInfo{Known: r.kernelKnown, SingleCommand: true, SinceLastByte: read - sentAt}
	timing := ReadTiming{DrainedAt: sentAt - timeStep, Started: sentAt - timeStep, Ended: read}
	arrival := EstimateArrival(timing, r.detected(read), kernel)
	if !rules.age {
		arrival = Arrival{read, read}
	}
	clientClosed := r.closes && read >= sentAt+r.timeout
	decision := DecideByAge(read, IdempotentWithKey, r.timeout, modelWindow, arrival)
	write := time.Duration(never)
	if !clientClosed && !decision.Reject {
		checked := r.advance(read, r.queued)
		if !rules.lastCheck || checked < decision.SendBefore {
			write = r.advance(checked, timeStep/10)
			outcome.undetected = write-checked > timeStep/10
		}
	}
	outcome.rejected = write == never
	outcome.answered = write != never && write < sentAt+r.timeout
	// The client sends to B unless A has answered when it gives up.
	retry := sentAt + r.timeout + r.retryDelay
	switch {
	case outcome.answered:
		outcome.effects = countEffects(write)
	case write == never:
		outcome.effects = countEffects(retry)
	case write < retry:
		outcome.effects = countEffects(write, retry)
	default:
		outcome.effects = countEffects(retry, write)
	}
	return outcome
}

// modelCounts counts runs by their outcomes.
type modelCounts struct {
	runs, rejected, answered int
	doubled                  int // an effect twice, by a pause that could be detected
	doubledUndetected        int // an effect twice, by one that could not
}

func (c *modelCounts) add(outcome modelOutcome) {
	c.runs++
	if outcome.rejected {
		c.rejected++
	}
	if outcome.answered {
		c.answered++
	}
	switch {
	case outcome.effects <= 1:
	case outcome.undetected:
		c.doubledUndetected++
	default:
		c.doubled++
	}
}

// exhaust plays all runs and counts their outcomes.
func exhaust(rules modelRules) (counts modelCounts) {
	for timeout := 500 * ms; timeout <= 2500*ms; timeout += 500 * ms {
		for busy := time.Duration(0); busy <= 200*ms; busy += 100 * ms {
			for queued := time.Duration(0); queued <= 400*ms; queued += 200 * ms {
				for retryDelay := time.Duration(0); retryDelay <= 400*ms; retryDelay += 200 * ms {
					run := modelRun{timeout: timeout, busy: busy, queued: queued, retryDelay: retryDelay}
					exhaustPauses(run, rules, &counts)
				}
			}
		}
	}
	return counts
}

// exhaustPauses plays a run with every pause, and with everything that A and its client may do otherwise.
func exhaustPauses(run modelRun, rules modelRules, counts *modelCounts) {
	pauses := []time.Duration{
		0, 200 * ms, 250 * ms, 300 * ms, 1000 * ms, 1600 * ms, 3000 * ms, 6000 * ms, 30000 * ms,
	}
	for run.pauseAt = 500 * ms; run.pauseAt <= 2000*ms; run.pauseAt += timeStep / 10 {
		for _, run.pause = range pauses {
			for choice := range 8 {
				run.closes = choice&1 != 0
				run.kernelKnown = choice&2 != 0
				run.checkedJustPrior = choice&4 != 0
				counts.add(run.run(rules))
			}
		}
	}
}

// TestNoPauseRepeatsAnEffect guards guarantee 5: no pause at any time makes an effect happen twice, except for
// one between the last check and the write; and each rule is missed when it is left out.
func TestNoPauseRepeatsAnEffect(t *testing.T) {
	counts := exhaust(modelRules{age: true, lastCheck: true})
	t.Logf("%+v", counts)
	if counts.doubled > 0 || counts.doubledUndetected == 0 || counts.rejected == 0 ||
		counts.answered < counts.runs/2 {
		t.Errorf("%+v", counts)
	}
	for name, rules := range map[string]modelRules{
		"no age":        {lastCheck: true},
		"no last check": {age: true},
	} {
		if exhaust(rules).doubled == 0 {
			t.Errorf("%s: nothing doubled, so the rule guards nothing", name)
		}
	}
}
