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

// The effects.
const (
	Safe   = retry.Safe   // no harm: the request is idempotent
	Keyed  = retry.Keyed  // nodes drop repeats within a window, by an idempotency key
	Unsafe = retry.Unsafe // it takes effect again, so it is never repeated once it may have run
)

// Class is a class of requests, as the proxies' configuration has it.
type Class struct {
	Name   string
	Effect Effect
	Wait   time.Duration // how long a call lasts at most
	// LatencyObjective, if not 0, is when an answer is worth little: a call that was refused is not sent again after
	// it, because its answer would take the place of another one in time.
	LatencyObjective time.Duration
}

// The classes of a proxy's configuration that defines none.
var (
	Read  = Class{Name: "read", Effect: Safe, Wait: 2 * time.Second, LatencyObjective: 500 * time.Millisecond}
	Write = Class{Name: "write", Effect: Keyed, Wait: 2500 * time.Millisecond}
	Plain = Class{Name: "plain", Effect: Unsafe, Wait: 2500 * time.Millisecond}
)

// Options configure a client. Only Proxies is needed; a zero field has the default that is given with it.
type Options struct {
	Proxies Source
	Read    Class  // of Get; [Read]
	Write   Class  // of Set; [Write]
	Tenant  string // ""

	// Window is how long nodes drop repeats of a keyed write, 1.5 s; Margin is the part of it that is left for clocks
	// and networks, 100 ms.
	Window, Margin time.Duration
	// Tries bounds the tries of one call, 4.
	Tries int
	// RetryRatio is how many retries each success pays for, 0.1; RetryBurst how many can be saved up, 3. Keyed writes
	// may overdraw by RetryBurst. A negative RetryRatio allows no retries but for a connection that ended.
	RetryRatio, RetryBurst float64

	// Subset is how many proxies are in use at a time, 3.
	Subset int
	// Conns bounds the connections to one proxy, 4; Depth the requests on one connection at a time, 32.
	Conns, Depth int
	// MaxWaiting bounds the calls that wait for a connection, 16384; more are refused.
	MaxWaiting int
	// Spread is the span over which clients that lost a proxy together reconnect, 1 s; twice as long after failed
	// dials. StartSpread is the span of the first connections, 0; set it for clients that start together.
	Spread, StartSpread time.Duration
	// Idle is how long a connection without a request is kept, 1.5 s. A proxy closes its own after 2 s, so that with
	// a longer time requests may cross that close.
	Idle time.Duration
	// Dial opens connections; a [net.Dialer] with a timeout of 1 s.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)

	Trace Trace

	clock func() retry.Timestamp
}

// systemClock returns the two clocks, both counted from now. The monotonic one is the time package's; it does not
// advance while the machine is suspended.
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
