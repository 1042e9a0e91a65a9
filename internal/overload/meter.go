package overload

import (
	"math"
	"time"
)

// Counts are what has happened since they were last told. They may be any finite figures;
// what is nonsense makes its share unknown.
type Counts struct {
	Reads, LateReads           float64 // requests but keyed writes that ended, of them not in time
	Handovers, LateHandovers   float64 // keyed writes
	Offered, Rejected          float64 // requests that came to the gates, of them turned away there
	Fetches, FailedFetches     float64 // misses and writes that ended, of them with an error or silence
	TimedFetches, FetchTimeSum float64 // those that were measured, and the sum of what the origin added, in aims
}

const (
	// meterMemory is that of the counts: long enough for a proxy of a few requests a second.
	meterMemory = 3 * time.Second
	// meterPrior is how many good ends are assumed besides what was seen: at a proxy of few
	// requests one that is late must be no trouble.
	meterPrior = 20.0
	// handoverPrior is that of handovers and of times, of which there are few: a third of them
	// late must not take until it is over to show.
	handoverPrior = 5.0
)

// Meter makes shares of counts, fading. The zero Meter is ready.
type Meter struct {
	shares [5]struct{ all, bad float64 }
	at     time.Duration
	begun  bool
}

// meterOf are the troubles whose figures a meter has, in the order of its shares.
var meterOf = [...]Signal{LateReads, LateHandovers, Rejections, OriginErrors, OriginLatency}

// Add counts what has happened until now. A clock that goes back counts as one that stands.
func (m *Meter) Add(now time.Duration, c Counts) {
	fade := 1.0
	if m.begun {
		fade = math.Exp(-float64(max(now-m.at, 0)) / float64(meterMemory))
	}
	m.at, m.begun = now, true
	for i, x := range [...][2]float64{{c.Reads, c.LateReads}, {c.Handovers, c.LateHandovers}, {c.Offered, c.Rejected}, {c.Fetches, c.FailedFetches}, {c.TimedFetches, c.FetchTimeSum}} {
		s := &m.shares[i]
		s.all, s.bad = s.all*fade, s.bad*fade
		if all, bad := x[0], x[1]; all >= 0 && bad >= 0 && !math.IsInf(all, 0) && !math.IsInf(bad, 0) && (bad <= all || meterOf[i] == OriginLatency) {
			s.all, s.bad = s.all+all, s.bad+bad
		}
	}
}

// Fill enters the shares among signals. Of what nothing has happened lately none is known.
func (m *Meter) Fill(s *Signals) {
	for i, trouble := range meterOf {
		s[trouble] = Unknown
		if x := m.shares[i]; x.all >= 0.5 {
			prior := meterPrior
			if trouble == LateHandovers || trouble == OriginLatency {
				prior = handoverPrior
			}
			s[trouble] = x.bad / (x.all + prior)
		}
	}
}
