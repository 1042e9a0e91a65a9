package proxy

import (
	"context"
	"runtime/metrics"
	"slices"
	"time"

	"mulleinpier/internal/core"
	"mulleinpier/internal/frontend"
	"mulleinpier/internal/overload"
)

const (
	// sweepInterval is how often idle and stuck clients are looked for and the clocks are checked. It is the tick
	// of the pause detection.
	sweepInterval = 50 * time.Millisecond
	// idleShareDivisor gives the part of all places that idle clients may keep: one in so many.
	idleShareDivisor = 8
)

// sweepClients closes clients that hold a place without using it, until ctx ends. It also samples the signals of
// overload.
func (s *Server) sweepClients(ctx context.Context) {
	ticks, samples := time.NewTicker(sweepInterval), time.NewTicker(core.OverloadSampleInterval)
	defer ticks.Stop()
	defer samples.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticks.C:
			s.core.CheckClocks()
			for _, c := range s.closeUnused(now) {
				c.Disconnected()
			}
		case <-samples.C:
			s.sampleOverload()
		}
	}
}

// sampleOverload passes the signals to the core that it cannot see itself.
func (s *Server) sampleOverload() {
	memory := float64(usedMemory()) / float64(s.memoryBytes)
	s.mu.Lock()
	clients := len(s.clients)
	s.mu.Unlock()
	s.core.SampleOverload(memory, float64(clients)/float64(s.maxClients))
}

// usedMemory returns the memory in bytes that the runtime holds.
func usedMemory() uint64 {
	samples := []metrics.Sample{{Name: "/memory/classes/total:bytes"}, {Name: "/memory/classes/heap/released:bytes"}}
	metrics.Read(samples)
	total, released := samples[0].Value.Uint64(), samples[1].Value.Uint64()
	return total - released
}

// idleClient is a client that has nothing under way.
type idleClient struct {
	conn  *frontend.Conn
	since time.Time
}

// closeUnused closes clients that have idled for long, and those that have read nothing of a response for longer than
// any request may take. Of clients that idle for less it keeps the latest few: clients that open a connection for
// each request and then keep it would take all places here, or at their own end, and makeRoom frees only as many as
// come. The price is another connection where more clients than that return within frontend.IdleTimeout.
//
// It returns the clients whose readers are blocked, and thus would not notice that they disconnect.
func (s *Server) closeUnused(now time.Time) (blocked []*frontend.Conn) {
	maxIdle := s.maxIdleClients()
	s.mu.Lock()
	defer s.mu.Unlock()
	var idlers []idleClient
	resumedAt := s.core.WallTime(s.core.LastPause().End) // during a pause of this process no client was stuck
	for c := range s.clients {
		if c.ReaderBlocked() {
			blocked = append(blocked, c)
		}
		idleSince, idle := c.IdleSince()
		switch stuckSince := c.WriteBlockedSince(); {
		case !stuckSince.IsZero() && now.Sub(resumedAt) > s.longestDeadline && now.Sub(stuckSince) > s.longestDeadline:
			c.Close("response not read")
		case idle && now.Sub(idleSince) > frontend.IdleTimeout:
			c.CloseIdle()
		case idle:
			idlers = append(idlers, idleClient{c, idleSince})
		}
	}
	closeOldest(idlers, maxIdle, now)
	s.changed.Broadcast() // a client may have become old enough to be closed by makeRoom
	return blocked
}

// maxIdleClients returns how many clients may idle. Where handovers have precedence it is half: a free place takes
// one at once.
func (s *Server) maxIdleClients() int {
	maxIdle := s.maxClients / idleShareDivisor
	if s.core.OverloadLevel() >= overload.Handovers {
		maxIdle /= 2
	}
	return maxIdle
}

// closeOldest closes idle clients until maxIdle are left, those first that have idled longest, and none that has
// idled for less than minIdleToEvict.
func closeOldest(idlers []idleClient, maxIdle int, now time.Time) {
	slices.SortFunc(idlers, func(x, y idleClient) int { return x.since.Compare(y.since) })
	for i := 0; i < len(idlers)-maxIdle && now.Sub(idlers[i].since) >= minIdleToEvict; i++ {
		idlers[i].conn.CloseIdle()
	}
}
