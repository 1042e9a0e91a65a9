package fleettest

import (
	"math"
	"strings"
	"testing"
	"time"
)

// TestRecorderCountsByPhase checks that a request is counted in the phase in which it started, by its result, its
// latency objective and its weight, and that a request after the last phase is counted in the last phase.
func TestRecorderCountsByPhase(t *testing.T) {
	start := time.Now()
	second := tomlDuration(time.Second)
	r := newRecorder([]Phase{{Name: "a", Duration: second}, {Name: "b", Duration: second}}, start)
	read := &clientRequest{retryState: retryState{class: readClass}}
	write := &clientRequest{retryState: retryState{class: writeClass}}
	readOverQuota := &clientRequest{retryState: retryState{class: readClass}, overQuota: true}
	a := r.requestStarted(start, write)
	b := r.requestStarted(start.Add(1500*time.Millisecond), readOverQuota)
	c := r.requestStarted(start.Add(time.Hour), read)
	r.requestEnded(a, 10*ms, served, 500*ms)
	r.requestEnded(b, 600*ms, served, 500*ms)
	r.requestEnded(c, time.Second, refused, 500*ms)
	r.requestEnded(r.requestStarted(start, read), time.Second, timedOut, 500*ms)
	r.retried(b)
	r.lost("x %d", 7)
	phases, events := r.phaseReports()
	checkFirstPhase(t, phases[0])
	checkSecondPhase(t, phases[1])
	if events.lost != 1 || len(events.samples) != 1 || !strings.HasSuffix(events.samples[0], "x 7") {
		t.Errorf("events %+v", events)
	}
}

func checkFirstPhase(t *testing.T, p PhaseReport) {
	t.Helper()
	if p.Offered != 2 || p.InTime != 1 || p.Failed != 1 || p.InTimePercent() != 50 {
		t.Errorf("first phase %+v", p)
	}
	if p.P50 < 9.9 || p.P50 > 10.1 || p.Handovers != 1 || p.HandoversInTime != 1 {
		t.Errorf("first phase %+v", p)
	}
	if p.OfferedWeight != 3 || p.ServedWeight != 2 {
		t.Errorf("first phase %+v", p)
	}
}

func checkSecondPhase(t *testing.T, p PhaseReport) {
	t.Helper()
	if p.Offered != 2 || p.Late != 1 || p.Refused != 1 || p.Retries != 1 {
		t.Errorf("second phase %+v", p)
	}
	if p.OfferedWeight != 1.2 || math.Abs(p.ServedWeight-0.06) > 1e-9 {
		t.Errorf("second phase %+v", p)
	}
}
