package policy

import (
	"fmt"
	"testing"
	"time"

	"mulleinpier/internal/bloom"
)

func setLevel(b *Balancer, now time.Duration, level DegradationLevel) {
	b.Handle(now, LevelChange{Level: level}, nil)
}

// fillFilters adds a key to the filters of all servers.
func fillFilters(b *Balancer, key string) {
	positions := bloom.PositionsOf(bloom.Hash(key))
	for _, s := range b.servers {
		s.filter.Add(&positions)
	}
}

// allInTime is a gate share that simulates that every request completes in time.
const allInTime = 1000

// TestEconomySendsNoHedgedRequests checks that from LevelEconomy on no hedged request is sent and retries need the
// retry budget. Both would add load during a fault.
func TestEconomySendsNoHedgedRequests(t *testing.T) {
	for level := LevelFull; level <= LevelShelter; level++ {
		t.Run(fmt.Sprint(level), func(t *testing.T) {
			b, now := newSheddingBalancer(t, 1)
			b.settings.Limits.AllowHedging = true
			setGates(b, now, allInTime)
			fillFilters(b, "k")
			setLevel(b, now, level)
			read := Arrival{ID: 1, Tenant: tenantWithoutQuota, Key: "k", Deadline: now + 2*time.Second}
			hedged := 0
			for _, a := range b.Handle(now, read, nil) {
				if a.Kind == SetTimer && a.Token&timerKindMask == timerHedge {
					hedged += len(sendTargets(b.Handle(now+a.After, TimerFired{Token: a.Token}, nil)))
				}
			}
			want := 0
			if level < LevelEconomy {
				want = 1
			}
			if hedged != want {
				t.Errorf("%d hedged requests, want %d", hedged, want)
			}
			b.retryTokens = 0
			read.ID = 2
			b.Handle(now, read, nil)
			server := b.requests[2].attempts[0].server.Server
			retries := sendTargets(b.Handle(now, Outcome{ID: 2, Server: server, Result: TimedOut}, nil))
			if len(retries) != want {
				t.Errorf("%d retries without a budget, want %d", len(retries), want)
			}
		})
	}
}

// TestLateReadsCountAsInTime checks that at LevelLate, but not at LevelEconomy, late answers that clients still wait
// for count as in time. Otherwise gates would close because of them, or requests would be rejected because their
// expected latency exceeds the objective.
func TestLateReadsCountAsInTime(t *testing.T) {
	for _, level := range []DegradationLevel{LevelEconomy, LevelLate} {
		b, now := newSheddingBalancer(t, 1)
		for _, g := range gates(b) {
			*g = admissionGate{minRetention: 0.99}
		}
		setLevel(b, now, level)
		const latency = 1300 * time.Millisecond // over the objective of 1 s
		sends := 0
		for i := range 400 {
			now += 10 * time.Millisecond
			id := uint64(i + 1)
			read := Arrival{ID: id, Tenant: tenantWithoutQuota, Key: fmt.Sprint("k", i), Deadline: now + 2*time.Second}
			for _, server := range sendTargets(b.Handle(now, read, nil)) {
				sends++
				b.requests[id].arrivedAt -= latency
				b.Handle(now, Outcome{
					ID:          id,
					Server:      server,
					Result:      Served,
					Took:        latency,
					CacheStatus: CacheMiss,
					Final:       true,
				}, nil)
			}
		}
		if late := level >= LevelLate; late && sends < 395 || !late && sends > 200 {
			t.Errorf("level %d: %d of 400 were sent", level, sends)
		}
	}
}

// TestLateFetchesDoNotCountInAQueue checks that a late fetch does not count as in time while a queue at the servers
// makes all answers late, not even at LevelLate.
func TestLateFetchesDoNotCountInAQueue(t *testing.T) {
	b, now := newSheddingBalancer(t, 1)
	setLevel(b, now, LevelLate)
	const latency = 1300 * time.Millisecond
	for i, c := range []struct{ hitsInTime, wantInTime float64 }{{1, 1}, {0.5, 0}} {
		setGates(b, now, allInTime)
		b.paths[hitPath].gate = admissionGate{
			offered:      1e6,
			completed:    1e6,
			inTime:       c.hitsInTime * 1e6,
			updated:      now,
			minRetention: 1,
		}
		b.paths[fetchPath].gate = admissionGate{updated: now, minRetention: 1}
		id := uint64(i + 1)
		read := Arrival{
			ID:       id,
			Tenant:   tenantWithoutQuota,
			Key:      fmt.Sprint(c.hitsInTime),
			Deadline: now + 2*time.Second,
		}
		servers := sendTargets(b.Handle(now, read, nil))
		b.Handle(now+latency, Outcome{
			ID:          id,
			Server:      servers[0],
			Result:      Served,
			Took:        latency,
			CacheStatus: CacheMiss,
			Final:       true,
		}, nil)
		if got := b.paths[fetchPath].gate.inTime; got != c.wantInTime {
			t.Errorf("with %.1f of hits in time a late fetch counts %v, want %v", c.hitsInTime, got, c.wantInTime)
		}
	}
}

// TestHandoversPassGatesAndKeepARetryReserve checks that from LevelHandovers on a gate that is nearly closed admits all
// keyed requests, and that a part of the retry budget is reserved for them.
func TestHandoversPassGatesAndKeepARetryReserve(t *testing.T) {
	const nearlyClosed = 0.01
	b, now := newSheddingBalancer(t, nearlyClosed)
	handover := func(i int) Arrival {
		return Arrival{ID: uint64(i + 1), Class: handoverClass, Tenant: tenantWithoutQuota, Key: "h", Write: true}
	}
	if share := admittedShare(b, now, nearlyClosed, 500, handover); share > 0.2 {
		t.Errorf("at LevelFull %.2f of the handovers passed a gate that is nearly closed", share)
	}
	setLevel(b, now, LevelHandovers)
	if share := admittedShare(b, now, nearlyClosed, 500, handover); share < 0.99 {
		t.Errorf("%.2f of the handovers passed", share)
	}
	b.retryTokens = handoverRetryReserve
	if b.allowRetry(&request{class: &b.settings.Classes[readClass]}, Rejected) {
		t.Error("a read was allowed a retry from the reserve for handovers")
	}
	if !b.allowRetry(&request{class: &b.settings.Classes[handoverClass]}, Rejected) {
		t.Error("a handover was not allowed a retry from the reserve for handovers")
	}
}

// TestFetchesLeaveCapacityForHandovers checks that from LevelHandovers on nearly all reads that fetch from the origin
// are rejected when half of the handovers are late. At LevelHandovers nearly all of these reads pass while handovers
// are in time, and at lower levels all pass.
func TestFetchesLeaveCapacityForHandovers(t *testing.T) {
	for _, c := range []struct {
		level           DegradationLevel
		handoversInTime float64 // share of the handovers that complete in time
		minReads        float64 // bounds of the share of reads that is admitted
		maxReads        float64
	}{
		{LevelLate, 0.5, 1, 1},
		{LevelHandovers, 1, 0.9, 1},
		{LevelHandovers, 0.9, 0.4, 0.7},
		{LevelHandovers, 0.5, 0.005, 0.08},
		{LevelShelter, 0.5, 0.005, 0.08},
		{LevelShelter, 1, 0.2, 0.32},
	} {
		t.Run(fmt.Sprintf("level %d, %v in time", c.level, c.handoversInTime), func(t *testing.T) {
			b, now := newSheddingBalancer(t, 1)
			setLevel(b, now, c.level)
			b.handoverGate = admissionGate{
				completed:    1e6,
				inTime:       c.handoversInTime * 1e6,
				updated:      now,
				minRetention: 1,
			}
			share := admittedShare(b, now, allInTime, 1000, func(i int) Arrival {
				return Arrival{ID: uint64(i + 1), Tenant: tenantWithoutQuota, Key: "new"}
			})
			if share < c.minReads || share > c.maxReads {
				t.Errorf("%.2f of fetches passed, want %v to %v", share, c.minReads, c.maxReads)
			}
		})
	}
}

// TestShelterServesCachedKeys checks that LevelShelter rejects reads that would fetch, except for a few that show
// whether the origin has recovered. It admits handovers, and reads of keys that a filter contains. Requests that the
// level rejects must not count as rejected at the gates: that would look like an overload and keep the level in force.
func TestShelterServesCachedKeys(t *testing.T) {
	b, now := newSheddingBalancer(t, 1)
	setGates(b, now, allInTime)
	setLevel(b, now, LevelShelter)
	b.handoverGate = admissionGate{completed: 1e6, inTime: 5e5, updated: now, minRetention: 1} // handovers are late
	fillFilters(b, "cached")
	offer := func(firstID uint64, n int, a Arrival) (share float64) {
		a.Tenant = tenantWithoutQuota
		return admittedShare(b, now, allInTime, n, func(i int) Arrival {
			a.ID = firstID + uint64(i)
			return a
		})
	}
	if share := offer(1, 1000, Arrival{Key: "new"}); share < 0.005 || share > 0.08 {
		t.Errorf("%.3f of reads of unknown keys passed, want about %v", share, minAdmitShare)
	}
	if rejected := b.TakeCounters().Rejected; rejected > 0 {
		t.Errorf("%d rejected by the level count as rejected by gates", rejected)
	}
	if share := offer(2000, 100, Arrival{Key: "cached"}); share < 1 {
		t.Errorf("%.2f of reads of cached keys passed", share)
	}
	if share := offer(3000, 100, Arrival{Class: handoverClass, Key: "new", Write: true}); share < 1 {
		t.Errorf("%.2f of handovers passed", share)
	}
}

// TestLevelChangesBetweenArrivalAndRetry checks that a request that is in flight when the level changes gets exactly
// one answer, and that a keyed request that may have run is not repeated after its dedup window.
func TestLevelChangesBetweenArrivalAndRetry(t *testing.T) {
	for level := LevelEconomy; level <= LevelShelter; level++ {
		t.Run(fmt.Sprint(level), func(t *testing.T) {
			b, now := newSheddingBalancer(t, 1)
			setGates(b, now, allInTime)
			actions := b.Handle(now, Arrival{
				ID:       1,
				Class:    handoverClass,
				Tenant:   tenantWithoutQuota,
				Key:      "h",
				Write:    true,
				Deadline: now + 2*time.Second,
			}, nil)
			first := sendTargets(actions)[0]
			setLevel(b, now, level)
			actions = b.Handle(now+100*time.Millisecond, Outcome{ID: 1, Server: first, Result: Reset}, nil)
			retries := sendTargets(actions)
			if len(retries) != 1 {
				t.Fatalf("a handover that was reset got %+v", actions)
			}
			setLevel(b, now, LevelFull)
			second := Outcome{ID: 1, Attempt: 1, Server: retries[0], Result: Reset}
			actions = b.Handle(now+1500*time.Millisecond, second, nil)
			if len(actions) != 1 || actions[0].Kind != Fail { // the server would no longer drop a retry as a duplicate
				t.Errorf("after the dedup window: %+v, want one Fail", actions)
			}
		})
	}
}

// TestRetryAfterGrowsAndIsSpread checks that Retry-After grows with the degradation level and is random, even where
// MaxRetryAfter bounds it. Otherwise clients that are rejected together would return together.
func TestRetryAfterGrowsAndIsSpread(t *testing.T) {
	for _, limit := range []time.Duration{10 * time.Second, 300 * time.Millisecond} {
		b, now := newSheddingBalancer(t, 1)
		b.settings.Limits.MaxRetryAfter = limit
		previousSum := time.Duration(0)
		for level := LevelFull; level <= LevelShelter; level++ {
			setLevel(b, now, level)
			sum, shortest, longest := time.Duration(0), limit, time.Duration(0)
			for range 1000 {
				wait := b.RetryAfter(readClass)
				if wait <= 0 || wait > limit {
					t.Fatalf("wait %v of at most %v", wait, limit)
				}
				sum += wait
				shortest, longest = min(shortest, wait), max(longest, wait)
			}
			if longest < 2*shortest {
				t.Errorf("level %d, at most %v: %v to %v is hardly spread", level, limit, shortest, longest)
			}
			if limit > time.Second && sum <= previousSum*11/10 {
				t.Errorf("level %d: mean wait %v after %v", level, sum/1000, previousSum/1000)
			}
			previousSum = sum
		}
	}
}

// TestCountersCountRequests checks the counters that package overload gets its signals from: a request that was served
// late or not at all counts once under its kind, and a request whose client left early does not count.
func TestCountersCountRequests(t *testing.T) {
	b, now := newSheddingBalancer(t, 1)
	setGates(b, now, allInTime)
	run := func(id uint64, class int, latency time.Duration, result Result, status CacheStatus) {
		servers := sendTargets(b.Handle(now, Arrival{
			ID:       id,
			Class:    class,
			Tenant:   tenantWithoutQuota,
			Key:      "k",
			Write:    class == handoverClass,
			Deadline: now + 2*time.Second,
		}, nil))
		b.Handle(now+latency, Outcome{
			ID:          id,
			Server:      servers[0],
			Result:      result,
			Took:        latency,
			CacheStatus: status,
			Final:       true,
		}, nil)
	}
	run(1, readClass, 100*time.Millisecond, Served, CacheMiss)
	run(2, readClass, 1500*time.Millisecond, Served, CacheMiss)
	run(3, handoverClass, 100*time.Millisecond, Served, CacheUnknown)
	run(4, handoverClass, 1500*time.Millisecond, Errored, CacheUnknown)
	read := Arrival{ID: 5, Tenant: tenantWithoutQuota, Key: "x", Deadline: now + 2*time.Second}
	servers := sendTargets(b.Handle(now, read, nil))
	b.Handle(now+time.Millisecond, ClientLeft{ID: 5}, nil)
	b.Handle(now+time.Millisecond, Outcome{ID: 5, Server: servers[0], Result: Cancelled, Final: true}, nil)
	got := b.TakeCounters()
	if got.TimedFetches != 0 || got.FetchTimeSum != 0 { // without a hit the latency of servers is unknown
		t.Errorf("measured %d fetches with a sum of %v objectives", got.TimedFetches, got.FetchTimeSum)
	}
	want := Counters{
		Reads:         2,
		LateReads:     1,
		Handovers:     2,
		LateHandovers: 1,
		Offered:       5,
		Fetches:       3, // the second read was expected to be a hit
		FailedFetches: 1,
		Servers:       4,
	}
	if got != want {
		t.Errorf("counted %+v, want %+v", got, want)
	}
	for _, s := range b.servers {
		s.lastSample, s.minLatency, s.processingTime = now, 0.01, 0.09
	}
	run(6, readClass, 600*time.Millisecond, Served, CacheMiss)
	run(7, handoverClass, 1100*time.Millisecond, Served, CacheUnknown)
	got = b.TakeCounters()
	if got.TimedFetches != 2 || got.FetchTimeSum < 1.49 || got.FetchTimeSum > 1.51 {
		t.Errorf("for fetches that took 0.5 s and 1 s longer: counted %d with a sum of %v objectives",
			got.TimedFetches, got.FetchTimeSum)
	}
	if again := b.TakeCounters(); again != (Counters{Servers: 4}) {
		t.Errorf("counts were not reset: %+v", again)
	}
}
