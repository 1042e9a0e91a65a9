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
	arrived, served, refused, failed, left int
	sent, hits, misses                     int
	ends                                   [policy.ConnectionLimitReached + 1]int // attempts, by result
	told, lost                             int                                    // news of the list, calls and watches that failed
}

// countPause is the time between two lines.
const countPause = time.Second

// logCounts logs a line of counts each countPause until ctx ends.
func (c *Core) logCounts(ctx context.Context) {
	tick := time.NewTicker(countPause)
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
		stops := c.still.attrs()
		known, other := c.balancer.AdmissionShares()
		c.mu.Unlock()
		u := c.nodes.TakeCounts()
		c.log.LogAttrs(ctx, slog.LevelInfo, "counts", slog.Int("arrived", n.arrived), slog.Int("served", n.served),
			slog.Int("refused", n.refused), slog.Int("failed", n.failed), slog.Int("left", n.left), slog.Int("open", open),
			slog.Int("sent", n.sent), slog.Int("hits", n.hits), slog.Int("misses", n.misses),
			slog.Int("errored", n.ends[policy.Errored]), slog.Int("full", n.ends[policy.Rejected]),
			slog.Int("timed_out", n.ends[policy.TimedOut]), slog.Int("unconnected", n.ends[policy.ConnectFailed]),
			slog.Int("reset", n.ends[policy.Reset]), slog.Int("cancelled", n.ends[policy.Cancelled]), slog.Int("spoilt", n.ends[policy.Malformed]),
			slog.Int("told", n.told), slog.Int("lost", n.lost), slog.Int("nodes", cond.Servers), slog.Int("out", cond.Ejected),
			slog.Int("asked", cond.Offered), slog.Int("turned", cond.Rejected), slog.Int("hopeless", cond.DeadlineRejections), slog.Int("pending", cond.WaitsForServer),
			slog.Float64("gate_known", known), slog.Float64("gate_other", other),
			slog.Int("dials", u.Dials), slog.Int("refusals", u.DialFailures), slog.Int("conns", u.Connections),
			slog.Int("no_room", u.ConnectionLimitReached), slog.Int("closed", u.IdleClosed), slog.Any("still", slog.GroupValue(stops...)))
	}
}
