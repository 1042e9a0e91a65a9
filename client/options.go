package client

import (
	"context"
	"net"
	"time"

	"mulleinpier/client/internal/balance"
	"mulleinpier/client/internal/retry"
)

// Effect says what a request does if it is carried out more than once.
type Effect = retry.Effect

// Values of [Effect].
const (
	Safe   = retry.Safe   // idempotent: running it again does no harm
	Keyed  = retry.Keyed  // idempotent with key: nodes drop duplicates with the same key within the dedup window
	Unsafe = retry.Unsafe // not idempotent: it takes effect again, so it is never retried once it may have run
)

// Class describes a class of requests, as it is defined in the proxies' configuration.
type Class struct {
	Name   string
	Effect Effect
	Wait   time.Duration // upper bound of the duration of a call
	// LatencyObjective, if not 0, is the time from the start of a call after which an answer is worth little. A call
	// that was rejected is not retried after it, because its answer would take the place of another one that is still
	// in time.
	LatencyObjective time.Duration
}

// The classes of a proxy whose configuration defines none.
var (
	Read  = Class{Name: "read", Effect: Safe, Wait: 2 * time.Second, LatencyObjective: 500 * time.Millisecond}
	Write = Class{Name: "write", Effect: Keyed, Wait: 2500 * time.Millisecond}
	Plain = Class{Name: "plain", Effect: Unsafe, Wait: 2500 * time.Millisecond}
)

// Options configure a client. Only Proxies is required; the comments give the defaults that stand for zero values.
type Options struct {
	Proxies Source
	Read    Class  // class of Get; default [Read]
	Write   Class  // class of Set; default [Write]
	Tenant  string // tenant of requests that name none; default ""

	// Window is the dedup window, during which nodes drop duplicates of a keyed write; default 1.5 s. Margin is the
	// part of it that is reserved for clock error and network delay; default 100 ms, or half of Window if that is less.
	Window, Margin time.Duration
	// Tries is the maximum number of attempts per call; default 4.
	Tries int
	// RetryRatio is the number of retries that each success adds to the retry budget; default 0.1. RetryBurst is the
	// number of retries that can be saved up; default 3. Keyed writes may overdraw the budget by RetryBurst. A negative
	// RetryRatio allows no retries except for calls whose connection ended.
	RetryRatio, RetryBurst float64

	// Subset is the number of proxies that the client uses at a time; default 3.
	Subset int
	// Conns is the maximum number of connections to one proxy; default 4. Depth is the maximum number of requests on
	// one connection at a time; default 32.
	Conns, Depth int
	// MaxWaiting is the maximum number of calls that wait for a connection; default 16384. Further calls are refused.
	MaxWaiting int
	// Spread is the span over which clients that lost a proxy at the same time spread their reconnects; default 1 s, up
	// to twice as long after failed dials. StartSpread is the span of the first connections; default 0. Set it for
	// clients that start at the same time.
	Spread, StartSpread time.Duration
	// Idle is how long a connection without requests is kept; default 1.5 s. A proxy closes its idle connections after
	// 2 s, so with a longer time a request may cross with that close.
	Idle time.Duration
	// Dial opens connections; default a [net.Dialer] with a timeout of 1 s. A write that is given up is kept from
	// arriving late by resetting its connection, for which the connection must have the method SetLinger of
	// [net.TCPConn], or NetConn, as a [crypto/tls.Conn] has, to reach one that does.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)

	Trace Trace

	clock func() retry.Timestamp
}

// systemClock returns a function that reads the monotonic and the wall clock, both counted from the call of
// systemClock. The monotonic clock is that of package time; it does not advance while the machine is suspended.
func systemClock() func() retry.Timestamp {
	start := time.Now()
	wall := start.UnixNano()
	return func() retry.Timestamp {
		now := time.Now()
		return retry.Timestamp{Monotonic: now.Sub(start), Wall: time.Duration(now.UnixNano() - wall)}
	}
}

func (o *Options) retryPolicy() *retry.Policy {
	policy := retry.DefaultPolicy
	policy.MaxAttempts = o.Tries
	policy.DedupWindow = o.Window
	policy.SafetyMargin = o.Margin
	return &policy
}

func (o *Options) balanceSettings() balance.Settings {
	return balance.Settings{
		SubsetSize:         o.Subset,
		MaxConns:           o.Conns,
		PipelineDepth:      o.Depth,
		StartSpread:        o.StartSpread,
		ReconnectSpread:    o.Spread,
		MaxReconnectSpread: 2 * o.Spread,
	}
}
