package overload

import (
	"encoding/json"
	"math"
	"math/rand/v2"
	"reflect"
	"testing"
	"time"
)

// TestRandomHistoriesKeepTheInvariants checks that no level is invalid, left before MinStay or improved by more than
// two levels at a time, under random signals, gaps, clock jumps and pins. A second controller gets the same events
// and must give the same transitions.
func TestRandomHistoriesKeepTheInvariants(t *testing.T) {
	for seed := range uint64(2000) {
		h := newHistory(t, seed)
		for range 600 {
			h.step()
		}
		checkTransitions(t, h.transitions)
		if !reflect.DeepEqual(h.transitions, h.twinTransitions) {
			t.Fatalf("seed %d: the same events gave other transitions", seed)
		}
		if _, err := json.Marshal(h.transitions); err != nil {
			t.Fatalf("seed %d: %v", seed, err)
		}
	}
}

// history feeds two controllers the same random events and checks each change of the first.
type history struct {
	t    *testing.T
	seed uint64
	rng  *rand.Rand

	controller, twin             *Controller
	transitions, twinTransitions []Transition

	now      time.Duration // time of the last event, on the events' clock
	elapsed  time.Duration // time as the controller counts it
	raisedAt time.Duration // value of elapsed when the level was last raised
	signals  Signals
}

func newHistory(t *testing.T, seed uint64) *history {
	h := &history{
		t:          t,
		seed:       seed,
		rng:        rand.New(rand.NewPCG(seed, 7)),
		controller: New(DefaultTimings),
		twin:       New(DefaultTimings),
		signals:    UnknownSignals(),
	}
	h.now = time.Duration(h.rng.Int64N(int64(time.Hour)))
	return h
}

func (h *history) step() {
	step := time.Duration(h.rng.Int64N(int64(second)))
	if h.rng.IntN(100) == 0 {
		step = time.Duration(h.rng.Int64N(int64(2*time.Hour))) - time.Hour
	}
	h.now += step
	h.elapsed += min(max(step, 0), DefaultTimings.MaxStep)
	if h.rng.IntN(20) == 0 {
		h.changeSignal()
	}
	event := h.event()
	countBefore, levelBefore := len(h.transitions), h.controller.level
	h.transitions = h.controller.Handle(h.now, event, h.transitions)
	h.twinTransitions = h.twin.Handle(h.now, event, h.twinTransitions)
	if n := len(h.transitions) - countBefore; n > 1 {
		h.t.Fatalf("seed %d: %d changes by one event", h.seed, n)
	}
	h.checkLevel(levelBefore)
}

func (h *history) changeSignal() {
	signal := h.rng.IntN(int(signalCount))
	enter := &Thresholds[signal].Enter
	h.signals[signal] = h.rng.Float64() * 1.5 * max(enter[0], enter[h.rng.IntN(len(enter))])
	if h.rng.IntN(4) == 0 {
		h.signals[signal] = []float64{Unknown, math.Inf(1), -3, 1e300}[h.rng.IntN(4)]
	}
}

func (h *history) event() Event {
	switch h.rng.IntN(200) {
	case 0:
		level := Level(h.rng.IntN(7)) // may be higher than the worst level
		return Pin{Level: level, Duration: time.Duration(h.rng.Int64N(int64(time.Minute)))}
	case 1:
		return Unpin{}
	}
	return Sample{h.signals}
}

// checkLevel checks a change of the level that the signals require, which a pin does not affect.
func (h *history) checkLevel(before Level) {
	if level := h.controller.Level(); level >= levelCount {
		h.t.Fatalf("seed %d: level %v", h.seed, level)
	}
	after := h.controller.level
	switch {
	case after > before:
		h.raisedAt = h.elapsed
	case after < before && h.elapsed-h.raisedAt < DefaultTimings.MinStay:
		h.t.Fatalf("seed %d: %v left %v after it was entered", h.seed, before, h.elapsed-h.raisedAt)
	case after < before && before-after > maxImprovement:
		h.t.Fatalf("seed %d: from %v to %v at once", h.seed, before, after)
	}
}
