package core

import (
	"context"
	"log/slog"
	"time"

	"mulleinpier/internal/upstream"
	"mulleinpier/policy"
)

const countInterval = time.Second

// counts are the numbers of requests, attempts and lists since the last log line. The counts of one proxy say little;
// the sums over all proxies show how the fleet behaves.
type counts struct {
	accepted, served, rejected, failed, abandoned int // requests

	dispatched   int                                    // attempts
	results      [policy.ConnectionLimitReached + 1]int // attempts that ended, by result
	hits, misses int                                    // cache hits and misses that answers reported

	listUpdates  int // endpoint lists that were applied
	listFailures int // watches of the list that were lost
}

// runCountLog logs the counts every countInterval until ctx ends.
func (c *Core) runCountLog(ctx context.Context) {
	tick := time.NewTicker(countInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
			c.logCountsNow(ctx)
		}
	}
}

// logCountsNow logs the counts since the last call, and resets them.
func (c *Core) logCountsNow(ctx context.Context) {
	c.mu.Lock()
	counted := c.counts
	c.counts = counts{}
	open := len(c.requests)
	decisions := c.balancer.TakeCounters()
	pauses := c.pause.logAttributes()
	knownShare, otherShare := c.balancer.AdmissionShares()
	c.mu.Unlock()
	attributes := counted.logAttributes(open)
	attributes = append(attributes,
		slog.Int("nodes", decisions.Servers),
		slog.Int("out", decisions.Ejected),
		slog.Int("asked", decisions.Offered),
		slog.Int("turned", decisions.Rejected),
		slog.Int("hopeless", decisions.DeadlineRejections),
		slog.Int("pending", decisions.WaitsForServer),
		slog.Float64("gate_known", knownShare),
		slog.Float64("gate_other", otherShare))
	attributes = append(attributes, connectionAttributes(c.pool.TakeCounts())...)
	attributes = append(attributes, slog.Any("still", slog.GroupValue(pauses...)))
	c.log.LogAttrs(ctx, slog.LevelInfo, "counts", attributes...)
}

// logAttributes returns the counts of requests and attempts as log attributes; open is the number of requests in
// flight.
func (n *counts) logAttributes(open int) []slog.Attr {
	return []slog.Attr{
		slog.Int("arrived", n.accepted),
		slog.Int("served", n.served),
		slog.Int("refused", n.rejected),
		slog.Int("failed", n.failed),
		slog.Int("left", n.abandoned),
		slog.Int("open", open),
		slog.Int("sent", n.dispatched),
		slog.Int("hits", n.hits),
		slog.Int("misses", n.misses),
		slog.Int("errored", n.results[policy.Errored]),
		slog.Int("full", n.results[policy.Rejected]),
		slog.Int("timed_out", n.results[policy.TimedOut]),
		slog.Int("unconnected", n.results[policy.ConnectFailed]),
		slog.Int("reset", n.results[policy.Reset]),
		slog.Int("cancelled", n.results[policy.Cancelled]),
		slog.Int("spoilt", n.results[policy.Malformed]),
		slog.Int("told", n.listUpdates),
		slog.Int("lost", n.listFailures),
	}
}

func connectionAttributes(connections upstream.Counts) []slog.Attr {
	return []slog.Attr{
		slog.Int("dials", connections.Dials),
		slog.Int("refusals", connections.DialFailures),
		slog.Int("conns", connections.Connections),
		slog.Int("no_room", connections.ConnectionLimitReached),
		slog.Int("closed", connections.IdleClosed),
	}
}
