package overload

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"
)

// TestFewRequestsRaiseNoLevel guards a proxy that sees a request now and then.
func TestFewRequestsRaiseNoLevel(t *testing.T) {
	var meter Meter
	c := New(DefaultTimings)
	rng := rand.New(rand.NewPCG(1, 2))
	for now := time.Duration(0); now < 600*second; now += sampleInterval {
		counts := Counts{}
		if rng.Float64() < 0.05 { // one in two seconds, one in ten of them late
			counts.Reads, counts.Offered = 1, 1
			if rng.Float64() < 0.1 {
				counts.LateReads = 1
			}
		}
		meter.Add(now, counts)
		signals := UnknownSignals()
		meter.Fill(&signals)
		if got := c.Handle(now, Sample{signals}, nil); len(got) > 0 {
			t.Fatalf("%+v", got)
		}
	}
}

// TestMeterShares guards the shares: of many events, of none, and of invalid counts.
func TestMeterShares(t *testing.T) {
	var meter Meter
	signals := UnknownSignals()
	if meter.Fill(&signals); !math.IsNaN(signals[Rejections]) {
		t.Errorf("of nothing: %v", signals[Rejections])
	}
	for i := range 100 {
		meter.Add(time.Duration(i)*sampleInterval, Counts{
			Offered:       100,
			Rejected:      50,
			Handovers:     math.NaN(),
			LateHandovers: 1,
			Reads:         1,
			LateReads:     2,
			Fetches:       -1,
		})
	}
	meter.Fill(&signals)
	if got := signals[Rejections]; got < 0.45 || got > 0.5 {
		t.Errorf("half rejected is %v", got)
	}
	for _, signal := range []Signal{LateHandovers, LateReads, OriginErrors} {
		if !math.IsNaN(signals[signal]) {
			t.Errorf("of invalid counts %v is %v", signal, signals[signal])
		}
	}
	meter.Add(time.Hour, Counts{})
	if meter.Fill(&signals); !math.IsNaN(signals[Rejections]) {
		t.Errorf("an hour later: %v", signals[Rejections])
	}
}
