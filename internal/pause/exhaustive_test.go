package pause

import (
	"testing"
	"time"
)

// This file checks all states of a small model: a client sends a write to proxy A and, if it gets no response, to
// proxy B with the same key. One node drops duplicates within a window. A pauses once, at any time. A reads, decides,
// checks and writes, with time in between; B serves without delay. Time advances in steps.

const (
	timeStep    = 50 * ms
	modelWindow = 1500 * ms
)

// modelRules are the rules that A follows. The test leaves out each of them once, to show that the model then finds a
// repeated effect.
type modelRules struct {
	age       bool // A rejects by age
	lastCheck bool // A checks the clocks once more right before the write
}

// modelRun is one run of the model.
type modelRun struct {
	timeout            time.Duration // time that the client waits for A
	closes             bool          // the client closes its connection after the timeout; A notices when it reads
	busy               time.Duration // A is busy with other work before it reads
	queued             time.Duration // time between A's decision and A's last check
	retryDelay         time.Duration // time from the client's timeout to the send through B
	pauseAt, pause     time.Duration // start and length of A's pause
	kernelKnown        bool          // A's kernel reports the time since the last byte
	checkedBeforePause bool          // A checked the clocks right before the pause
}

// modelOutcome is the outcome of a run.
type modelOutcome struct {
	effects    int  // number of times that the write took effect
	undetected bool // the pause was between the last check and the write
	rejected   bool // A did not send the write
	answered   bool // A answered in time
}

// sentAt is the time when the client sends its write to A.
const sentAt = 1000 * ms

// advance returns the end of a step of A. A pause that begins within the step delays the end.
func (r *modelRun) advance(start, duration time.Duration) time.Duration {
	end := start + duration
	if start <= r.pauseAt && r.pauseAt < end {
		return end + r.pause
	}
	return end
}

// detected returns the pause that A has detected by now, the zero Interval for none.
func (r *modelRun) detected(now time.Duration) Interval {
	if now < r.pauseAt+r.pause || r.pause < DefaultLimits.MinPause {
		return Interval{}
	}
	interval := Interval{Start: r.pauseAt, End: r.pauseAt + r.pause}
	if !r.checkedBeforePause {
		interval.Start -= DefaultLimits.CheckInterval
	}
	return interval
}

// countEffects returns how many writes with one key take effect at the node. The writes are in order of arrival.
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

// run simulates the run under rules.
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
	// The client retries through B unless A has answered within the timeout.
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
	doubled                  int // runs with a repeated effect after a pause that could be detected
	doubledUndetected        int // runs with a repeated effect after a pause that could not be detected
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

// exhaust simulates all runs and counts their outcomes.
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

// exhaustPauses simulates a run with every pause and every combination of closes, kernelKnown and
// checkedBeforePause.
func exhaustPauses(run modelRun, rules modelRules, counts *modelCounts) {
	pauses := []time.Duration{
		0, 200 * ms, 250 * ms, 300 * ms, 1000 * ms, 1600 * ms, 3000 * ms, 6000 * ms, 30000 * ms,
	}
	for run.pauseAt = 500 * ms; run.pauseAt <= 2000*ms; run.pauseAt += timeStep / 10 {
		for _, run.pause = range pauses {
			for choice := range 8 {
				run.closes = choice&1 != 0
				run.kernelKnown = choice&2 != 0
				run.checkedBeforePause = choice&4 != 0
				counts.add(run.run(rules))
			}
		}
	}
}

// TestNoPauseRepeatsAnEffect checks that no pause makes a write take effect twice (guarantee 5), except for a pause
// between the last check and the write. Without the rule on the request's age or the last check, some pause does.
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
			t.Errorf("%s: no effect was repeated, so the model does not show that the rule is needed", name)
		}
	}
}
