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
	// sweepInterval is how often clients are checked for being idle or stuck, and the clocks for pauses and stalls.
	// Pause detection assumes this interval.
	sweepInterval = 50 * time.Millisecond
	// idleShareDivisor sets how many clients may stay idle: 1/idleShareDivisor of the maximum number of clients.
	idleShareDivisor = 8
)

// sweepClients closes idle and stuck clients, checks the clocks and samples the overload signals at intervals, until
// ctx ends.
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
			for _, c := range s.closeInactive(now) {
				if !c.Disconnected() {
					c.CheckFlood()
				}
			}
		case <-samples.C:
			s.sampleOverload()
		}
	}
}

// sampleOverload passes the overload signals to the core that it cannot measure itself: the shares of the memory and of
// the client connections that are in use.
func (s *Server) sampleOverload() {
	memory := float64(usedMemory()) / float64(s.memoryBytes)
	s.mu.Lock()
	clients := len(s.clients)
	s.mu.Unlock()
	s.core.SampleOverload(memory, float64(clients)/float64(s.maxClients))
}

// usedMemory returns the bytes of memory that the Go runtime holds and has not released to the operating system.
func usedMemory() uint64 {
	samples := []metrics.Sample{{Name: "/memory/classes/total:bytes"}, {Name: "/memory/classes/heap/released:bytes"}}
	metrics.Read(samples)
	total, released := samples[0].Value.Uint64(), samples[1].Value.Uint64()
	return total - released
}

// idleClient is a client with the time since when it has been idle.
type idleClient struct {
	conn  *frontend.Conn
	since time.Time
}

// closeInactive closes clients that have been idle for more than frontend.IdleTimeout, and clients that have been
// blocking the write of a response for longer than any request may take. Of the other idle clients only the most recent
// are kept, see maxIdleClients. Clients that open a connection for each request and then keep it would otherwise use up
// all places here, or all connections on their own side, as makeRoom closes only as many as are replaced by new ones.
// The cost is that some clients must reconnect if more than are kept return within frontend.IdleTimeout.
//
// It returns the clients whose readers are blocked and therefore would not notice that the client disconnects.
func (s *Server) closeInactive(now time.Time) (blocked []*frontend.Conn) {
	maxIdle := s.maxIdleClients()
	s.mu.Lock()
	defer s.mu.Unlock()
	var idleClients []idleClient
	// A client counts as stuck only if longestDeadline has also passed since the latest pause of this process.
	resumedAt := s.core.WallTime(s.core.LastPause().End)
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
			idleClients = append(idleClients, idleClient{c, idleSince})
		}
	}
	closeOldest(idleClients, maxIdle, now)
	s.changed.Broadcast() // a client may now have been idle long enough for makeRoom to close it
	return blocked
}

// maxIdleClients returns how many clients may stay idle. From the overload level that prefers handovers on it is half
// as many, so that a new handover finds a free place immediately.
func (s *Server) maxIdleClients() int {
	maxIdle := s.maxClients / idleShareDivisor
	if s.core.OverloadLevel() >= overload.Handovers {
		maxIdle /= 2
	}
	return maxIdle
}

// closeOldest closes the clients that have been idle longest until maxIdle are left. It closes none that has been idle
// for less than minIdleToEvict.
func closeOldest(idleClients []idleClient, maxIdle int, now time.Time) {
	slices.SortFunc(idleClients, func(x, y idleClient) int { return x.since.Compare(y.since) })
	for i := 0; i < len(idleClients)-maxIdle && now.Sub(idleClients[i].since) >= minIdleToEvict; i++ {
		idleClients[i].conn.CloseIdle()
	}
}
