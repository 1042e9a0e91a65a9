package overload

import (
	"math"
	"time"
)

// Counts are the events since the last report. Invalid counts (negative, not finite, or with more bad events than
// events) are ignored, so that their share becomes unknown once earlier counts have decayed.
type Counts struct {
	// Reads are the requests other than keyed writes that ended, Handovers the keyed writes that ended. The late ones
	// among them were not answered in time.
	Reads, LateReads         float64
	Handovers, LateHandovers float64

	Offered, Rejected      float64 // requests that reached admission, and those rejected there
	Fetches, FailedFetches float64 // misses and writes that ended, and those that failed or got no response

	// Fetches whose time was measured, and the sum of the times that the origin added to them, in latency objectives.
	TimedFetches, FetchTimeSum float64
}

const (
	// meterDecayTime is the time in which counts decay to 1/e: long enough for a proxy with a few requests a second.
	meterDecayTime = 3 * time.Second

	// The priors are good outcomes that are added to the observed ones, so that a single late request is no overload
	// at a proxy with few requests. handoverPrior applies to handovers and origin times, of which there are few: a
	// third of them being late must show before the fault is over.
	meterPrior    = 20.0
	handoverPrior = 5.0

	// minMeterCount is the number of events below which a share is unknown.
	minMeterCount = 0.5
)

// Meter turns counts into shares that decay. The zero Meter is ready for use.
type Meter struct {
	shares  [len(meteredSignals)]share
	updated time.Duration
	started bool
}

type share struct{ all, bad float64 }

// meteredSignals are the signals that a Meter measures, in the order of Meter.shares.
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

// Add decays the counts until now and adds c. If the clock goes back, nothing decays.
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
	isMean := signal == OriginLatency // a mean, not a share: its sum may exceed the count
	return isMean || s.bad <= s.all
}

// Fill sets the metered signals to their shares. A share without recent events is Unknown.
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
