package simulation

import (
	"fmt"
	"slices"
	"time"

	"mulleinpier/policy"
)

// ask is what a client wants, through all its tries.
type ask struct {
	id    uint64
	class int
	key   string
	write bool
	began time.Duration
	until time.Duration // the client waits
	over  bool
}

// leastTry is the time that a client needs for another try.
const leastTry = 50 * time.Millisecond

// arrive draws the next request of all clients.
func (f *Fleet) arrive() {
	f.after(time.Duration(f.rng.ExpFloat64()/f.Clients.RequestsPerSecond*float64(time.Second)), func() {
		f.nextID++
		r := &ask{id: f.nextID, key: fmt.Sprint("k", f.popular.Uint64()), began: f.now}
		for x := f.rng.Float64(); r.class < len(f.Clients.ClassShares)-1; r.class++ {
			if x -= f.Clients.ClassShares[r.class]; x < 0 {
				break
			}
		}
		class := &f.Settings.Classes[r.class]
		r.write, r.until = class.Idempotency != policy.Idempotent, f.now+class.Deadline
		f.count().Requests++
		f.at(r.until+f.Settings.Rules.ResponseGrace, func() { f.gone(r) })
		f.try(r)
		f.arrive()
	})
}

// try asks any proxy that is up.
func (f *Fleet) try(r *ask) {
	if r.over || r.until-f.now < leastTry {
		return
	}
	for range 8 { // tries at connecting
		if p := f.proxies[f.draw()]; !p.dead {
			f.count().ClientAttempts++
			f.after(f.MessageDelay, func() {
				if p.dead {
					f.broke(r)
					return
				}
				p.take(r, r.until)
			})
			return
		}
	}
	f.after(f.Clients.RetryPause, func() { f.try(r) })
}

// draw is the proxy that the next connection is dealt to.
func (f *Fleet) draw() int {
	if f.Clients.HotProxyFactor > 0 && f.rng.Float64() < f.Clients.HotProxyFactor/float64(len(f.proxies)) {
		return 0
	}
	return f.rng.IntN(len(f.proxies))
}

// refused is an answer that promises that another try is harmless.
func (f *Fleet) refused(r *ask, advice time.Duration) {
	if f.Clients.IgnoreRetryAfter {
		advice = 0
	}
	f.after(max(advice, f.Clients.RetryPause), func() { f.try(r) })
}

// failed is an answer that promises nothing: only what is safe is asked again.
func (f *Fleet) failed(r *ask) {
	if f.Settings.Classes[r.class].Idempotency == policy.Idempotent {
		f.after(f.Clients.RetryPause, func() { f.try(r) })
	}
}

// broke is a connection to a proxy that ended before the answer.
func (f *Fleet) broke(r *ask) { f.failed(r) }

func (f *Fleet) served(r *ask) {
	if r.over {
		return
	}
	r.over = true
	if c := f.second(r.began); f.now-r.began <= f.Settings.Classes[r.class].LatencyObjective {
		c.InTime++
	} else {
		c.Late++
	}
}

// gone is a client whose time is up.
func (f *Fleet) gone(r *ask) {
	f.after(10*time.Second, func() { delete(f.effects, r.id) }) // nothing of it is left anywhere
	if !r.over {
		r.over = true
		f.second(r.began).Unanswered++
	}
}

// sorted are the identities of a proxy's requests in one order in every play.
func (f *Fleet) sorted(open map[uint64]*held) []uint64 {
	ids := make([]uint64, 0, len(open))
	for id := range open {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}
