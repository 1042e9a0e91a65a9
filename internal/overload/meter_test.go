package overload

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"
)

// TestFewRequestsRaiseNoLevel checks that single late requests raise no level at a proxy with few requests.
func TestFewRequestsRaiseNoLevel(t *testing.T) {
	var meter Meter
	c := New(DefaultTimings)
	rng := rand.New(rand.NewPCG(1, 2))
	for now := time.Duration(0); now < 600*second; now += sampleInterval {
		counts := Counts{}
		if rng.Float64() < 0.05 { // one request every two seconds, one in ten of them late
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

// TestMeterShares checks the shares of many events, of no events, and of invalid counts.
func TestMeterShares(t *testing.T) {
	var meter Meter
	signals := UnknownSignals()
	if meter.Fill(&signals); !math.IsNaN(signals[Rejections]) {
		t.Errorf("without events: rejections are %v, want unknown", signals[Rejections])
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
		t.Errorf("half rejected: rejections are %v, want 0.45 to 0.5", got)
	}
	for _, signal := range []Signal{LateHandovers, LateReads, OriginErrors} {
		if !math.IsNaN(signals[signal]) {
			t.Errorf("with invalid counts: %v is %v, want unknown", signal, signals[signal])
		}
	}
	meter.Add(time.Hour, Counts{})
	if meter.Fill(&signals); !math.IsNaN(signals[Rejections]) {
		t.Errorf("an hour without events: rejections are %v, want unknown", signals[Rejections])
	}
}
