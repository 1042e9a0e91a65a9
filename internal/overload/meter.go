package overload

import (
	"math"
	"time"
)

// Counts are what has happened since they were last reported. They may be any finite numbers; invalid ones make their
// share unknown.
type Counts struct {
	// Requests other than keyed writes that ended, and of them those not in time. Handovers are keyed writes.
	Reads, LateReads         float64
	Handovers, LateHandovers float64

	Offered, Rejected      float64 // requests that reached the gates, and of them those rejected there
	Fetches, FailedFetches float64 // misses and writes that ended, and of them those that failed or got no answer

	// Fetches that were measured, and the sum of what the origin added to them, in latency objectives.
	TimedFetches, FetchTimeSum float64
}

const (
	// meterDecayTime is long enough for a proxy of a few requests a second.
	meterDecayTime = 3 * time.Second

	// The priors are good outcomes that are assumed besides those seen: at a proxy of few requests a single late one
	// must be no overload. The second is for handovers and times, of which there are few: a third of them late must
	// not take until it is over to show.
	meterPrior    = 20.0
	handoverPrior = 5.0

	// minMeterCount is the number of events under which a share is unknown.
	minMeterCount = 0.5
)

// Meter turns counts into shares that decay. The zero Meter is ready for use.
type Meter struct {
	shares  [len(meteredSignals)]share
	updated time.Duration
	started bool
}

type share struct{ all, bad float64 }

// meteredSignals are the signals that a meter measures, in the order of its shares.
var meteredSignals = [...]Signal{LateReads, LateHandovers, Rejections, OriginErrors, OriginLatency}

func (c *Counts) shares() [len(meteredSignals)]share {
	return [...]share{
		{c.Reads, c.LateReads},
		{c.Handovers, c.LateHandovers},
		{c.Offered, c.Rejected},
		{c.Fetches, c.FailedFetches},
		{c.TimedFetches, c.FetchTimeSum},
	}
}

// Add counts what has happened until now. A clock that goes back counts as stopped.
func (m *Meter) Add(now time.Duration, c Counts) {
	retention := 1.0
	if m.started {
		retention = math.Exp(-float64(max(now-m.updated, 0)) / float64(meterDecayTime))
	}
	m.updated, m.started = now, true
	for i, added := range c.shares() {
		s := &m.shares[i]
		s.all *= retention
		s.bad *= retention
		if added.isValid(meteredSignals[i]) {
			s.all += added.all
			s.bad += added.bad
		}
	}
}

func (s share) isValid(signal Signal) bool {
	if !(s.all >= 0 && s.bad >= 0) || math.IsInf(s.all, 0) || math.IsInf(s.bad, 0) {
		return false
	}
	isMean := signal == OriginLatency // not a share: the sum may exceed the count
	return isMean || s.bad <= s.all
}

// Fill enters the shares among signals. A share of which nothing has happened lately is unknown.
func (m *Meter) Fill(signals *Signals) {
	for i, signal := range meteredSignals {
		signals[signal] = Unknown
		s := m.shares[i]
		if s.all < minMeterCount {
			continue
		}
		prior := meterPrior
		if signal == LateHandovers || signal == OriginLatency {
			prior = handoverPrior
		}
		signals[signal] = s.bad / (s.all + prior)
	}
}
