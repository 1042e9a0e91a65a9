package fleettest

import (
	"testing"
	"time"
)

const ms = time.Millisecond

var (
	reading = requestClass{name: "read", latencyObjective: 500 * ms, deadline: 2 * time.Second}
	writing = requestClass{name: "write", isWrite: true, latencyObjective: 750 * ms, deadline: 2500 * ms, dedupWindow: 1500 * ms}
)

func TestClientTriesAgainOnlyWhereThatIsHarmless(t *testing.T) {
	for _, c := range []struct {
		name   string
		kind   requestClass
		tries  int
		mayRun bool
		honour bool
		now    time.Duration
		as     outcome
		advice time.Duration
		again  bool
		pause  time.Duration
		most   time.Duration
	}{
		{name: "served", kind: reading, as: served},
		{name: "refused read", kind: reading, now: 100 * ms, as: refused, advice: 300 * ms, again: true, pause: 50 * ms, most: 1850 * ms},
		{name: "refused read, honoured", kind: reading, now: 100 * ms, as: refused, advice: 300 * ms, honour: true, again: true,
			pause: 300 * ms, most: 1600 * ms},
		{name: "tries used up", kind: reading, tries: 3, now: 100 * ms, as: refused},
		{name: "no time left", kind: reading, now: 1950 * ms, as: failed},
		{name: "failed write within the window", kind: writing, now: 600 * ms, as: failed, again: true, pause: 50 * ms, most: 750 * ms},
		{name: "silent write near the window's end", kind: writing, now: 1340 * ms, as: timedOut},
		{name: "write refused after one that may have run", kind: writing, mayRun: true, now: 1400 * ms, as: refused},
		{name: "write refused, none ran", kind: writing, now: 1400 * ms, as: refused, again: true, pause: 50 * ms, most: 1050 * ms},
		{name: "crossed read costs no try", kind: reading, tries: 3, now: 10 * ms, as: crossedClose, again: true, most: 1990 * ms},
		{name: "unopened write ran nowhere", kind: writing, now: 1450 * ms, as: notConnected, again: true, most: 1050 * ms},
	} {
		p := retryState{class: c.kind, maxRetries: 3, backoff: 50 * ms, attempts: c.tries, mayHaveRun: c.mayRun, honoursRetryAfter: c.honour}
		again, pause, most := p.next(c.now, c.as, c.advice)
		if again != c.again || pause != c.pause || most != c.most {
			t.Errorf("%s: %v after %v for %v, want %v after %v for %v", c.name, again, pause, most, c.again, c.pause, c.most)
		}
	}
}
