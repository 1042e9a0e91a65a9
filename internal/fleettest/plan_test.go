package fleettest

import (
	"testing"
	"time"
)

const ms = time.Millisecond

var (
	reading = kind{name: "read", aim: 500 * ms, deadline: 2 * time.Second}
	writing = kind{name: "write", write: true, aim: 750 * ms, deadline: 2500 * ms, window: 1500 * ms}
)

func TestClientTriesAgainOnlyWhereThatIsHarmless(t *testing.T) {
	for _, c := range []struct {
		name   string
		kind   kind
		tries  int
		mayRun bool
		honour bool
		now    time.Duration
		as     ending
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
		{name: "silent write near the window's end", kind: writing, now: 1340 * ms, as: silent},
		{name: "write refused after one that may have run", kind: writing, mayRun: true, now: 1400 * ms, as: refused},
		{name: "write refused, none ran", kind: writing, now: 1400 * ms, as: refused, again: true, pause: 50 * ms, most: 1050 * ms},
		{name: "crossed read costs no try", kind: reading, tries: 3, now: 10 * ms, as: crossed, again: true, most: 1990 * ms},
		{name: "unopened write ran nowhere", kind: writing, now: 1450 * ms, as: unopened, again: true, most: 1050 * ms},
	} {
		p := plan{kind: c.kind, retries: 3, pause: 50 * ms, tries: c.tries, mayRun: c.mayRun, honour: c.honour}
		again, pause, most := p.next(c.now, c.as, c.advice)
		if again != c.again || pause != c.pause || most != c.most {
			t.Errorf("%s: %v after %v for %v, want %v after %v for %v", c.name, again, pause, most, c.again, c.pause, c.most)
		}
	}
}
