package core

import (
	"context"
	"log/slog"
	"time"

	"mulleinpier/policy"
)

// counts are what went through a core since they were last logged. One proxy's say
// little; added up over a fleet they tell what all of it does.
type counts struct {
	accepted, served, rejected, failed, abandoned int
	dispatched, hits, misses                      int
	results                                       [policy.ConnectionLimitReached + 1]int // attempts, by result
	listUpdates, listFailures                     int                                    // news of the list, calls and watches that failed
}

// countInterval is the time between two lines.
const countInterval = time.Second

// runCountLog logs a line of counts each countPause until ctx ends.
func (c *Core) runCountLog(ctx context.Context) {
	tick := time.NewTicker(countInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		c.mu.Lock()
		n, open, cond := c.counts, len(c.requests), c.balancer.TakeCounters()
		c.counts = counts{}
		stops := c.pause.attrs()
		known, other := c.balancer.AdmissionShares()
		c.mu.Unlock()
		u := c.pool.TakeCounts()
		c.log.LogAttrs(ctx, slog.LevelInfo, "counts", slog.Int("arrived", n.accepted), slog.Int("served", n.served),
			slog.Int("refused", n.rejected), slog.Int("failed", n.failed), slog.Int("left", n.abandoned), slog.Int("open", open),
			slog.Int("sent", n.dispatched), slog.Int("hits", n.hits), slog.Int("misses", n.misses),
			slog.Int("errored", n.results[policy.Errored]), slog.Int("full", n.results[policy.Rejected]),
			slog.Int("timed_out", n.results[policy.TimedOut]), slog.Int("unconnected", n.results[policy.ConnectFailed]),
			slog.Int("reset", n.results[policy.Reset]), slog.Int("cancelled", n.results[policy.Cancelled]), slog.Int("spoilt", n.results[policy.Malformed]),
			slog.Int("told", n.listUpdates), slog.Int("lost", n.listFailures), slog.Int("nodes", cond.Servers), slog.Int("out", cond.Ejected),
			slog.Int("asked", cond.Offered), slog.Int("turned", cond.Rejected), slog.Int("hopeless", cond.DeadlineRejections), slog.Int("pending", cond.WaitsForServer),
			slog.Float64("gate_known", known), slog.Float64("gate_other", other),
			slog.Int("dials", u.Dials), slog.Int("refusals", u.DialFailures), slog.Int("conns", u.Connections),
			slog.Int("no_room", u.ConnectionLimitReached), slog.Int("closed", u.IdleClosed), slog.Any("still", slog.GroupValue(stops...)))
	}
}
