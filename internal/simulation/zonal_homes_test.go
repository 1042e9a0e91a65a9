package simulation

import (
	"testing"
	"time"
)

// TestZonalHomesSaveHandshakes compares one home node for each key with a home in each zone, without a fault and while
// a third of the nodes is slow. Homes in each zone must save handshakes, with limited additional misses and no loss of
// answers in time.
func TestZonalHomesSaveHandshakes(t *testing.T) {
	for _, c := range []struct {
		name          string
		slowNodes     func(i int) bool
		maxHandshakes float64 // handshakes for each request
	}{
		{"no fault", func(int) bool { return false }, 0.35},
		{"a third slow", func(i int) bool { return i%3 == 0 }, 0.45},
	} {
		t.Run(c.name, func(t *testing.T) {
			script := func(f *Fleet) {
				for _, name := range nodesWhere(f, c.slowNodes) {
					f.At(4*time.Second, func() { f.SetFault(name, Slow) })
				}
			}
			single := run(t, plan80WithCosts(1), 16*time.Second, script).Sum(8, 15)
			zonal := run(t, plan80WithZonalHomes(1), 16*time.Second, script).Sum(8, 15)
			t.Logf("handshakes %.3f -> %.3f, misses %.3f -> %.3f, in time %.3f -> %.3f",
				handshakesPerRequest(single), handshakesPerRequest(zonal), missShare(single), missShare(zonal),
				inTimeShare(single), inTimeShare(zonal))
			got, withOneHome := handshakesPerRequest(zonal), handshakesPerRequest(single)
			if got > c.maxHandshakes || got > withOneHome*0.7 {
				t.Errorf("%.3f handshakes for a request, %.3f with one home", got, withOneHome)
			}
			if missShare(zonal) > missShare(single)+0.25 {
				t.Errorf("%.3f of reads miss, %.3f with one home", missShare(zonal), missShare(single))
			}
			if inTimeShare(zonal) < inTimeShare(single)-0.01 {
				t.Errorf("%.3f in time, %.3f with one home", inTimeShare(zonal), inTimeShare(single))
			}
		})
	}
}

// TestNearlyFullOriginGivesUpZonalHomes checks that proxies give up homes in each zone when the origin can handle
// only 0.9 of the fetches that these homes cause, little more than one home needs. Otherwise homes in each zone
// would overload the origin.
func TestNearlyFullOriginGivesUpZonalHomes(t *testing.T) {
	idle := run(t, plan80WithZonalHomes(1), 18*time.Second, nil).Sum(10, 16)
	f := run(t, plan80WithZonalHomes(1), 18*time.Second, func(f *Fleet) {
		f.At(8*time.Second, func() { f.Origin.FetchesPerSecond = 0.9 * float64(idle.Fetches) / 6 })
	})
	full := f.Sum(10, 16)
	t.Logf("misses %.3f -> %.3f, in time %.3f -> %.3f, fetches rejected %d",
		missShare(idle), missShare(full), inTimeShare(idle), inTimeShare(full), full.FetchesRejected)
	if missShare(full) > missShare(idle)*0.95 {
		t.Errorf("%.3f of reads miss with a full origin, %.3f with one that is not", missShare(full), missShare(idle))
	}
	checkInTime(t, full, 0.97, "with a full origin")
}
