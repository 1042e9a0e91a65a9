package client

import (
	"context"
	"errors"
	"fmt"
	"net"
	"time"

	"mulleinpier/client/internal/balance"
	"mulleinpier/client/internal/retry"
	"mulleinpier/internal/meta"
)

// Effect says what a request does if it is carried out more than once.
type Effect = retry.Effect

// The effects.
const (
	Safe   = retry.Safe   // no harm
	Keyed  = retry.Keyed  // nodes drop repeats within a window, by an idempotency key
	Unsafe = retry.Unsafe // it takes effect again, so it is never repeated once it may have run
)

// Class is a class of requests, as the proxies' configuration has it.
type Class struct {
	Name   string
	Effect Effect
	Wait   time.Duration // how long a call lasts at the most
	// LatencyObjective, if not 0, is when an answer is worth little: a call that was refused is not sent again after it,
	// as its answer would take the place of one in time.
	LatencyObjective time.Duration
}

// The classes of a proxy's configuration that names none.
var (
	Read  = Class{Name: "read", Effect: Safe, Wait: 2 * time.Second, LatencyObjective: 500 * time.Millisecond}
	Write = Class{Name: "write", Effect: Keyed, Wait: 2500 * time.Millisecond}
	Plain = Class{Name: "plain", Effect: Unsafe, Wait: 2500 * time.Millisecond}
)

// Options say how a client works. Only Proxies is needed; zero stands for the usual, which is
// given with each.
type Options struct {
	Proxies Source
	Read    Class  // of Get; [Read]
	Write   Class  // of Set; [Write]
	Tenant  string // ""

	// Window is how long nodes drop repeats of a keyed write, 1.5 s; Margin what is left of it for clocks
	// and networks, 100 ms.
	Window, Margin time.Duration
	// Tries of one call at the most, 4.
	Tries int
	// RetryRatio is how many retries each success pays for, 0.1; RetryBurst how many are
	// saved up at the most, 3; a keyed write may take as many that are yet to be paid for. A negative ratio: no
	// retries but for a connection that ended.
	RetryRatio, RetryBurst float64

	// Subset is how many proxies are in use at a time, 3.
	Subset int
	// Conns is how many connections there are to a proxy at the most, 4; Depth how many
	// requests are on one at a time, 32.
	Conns, Depth int
	// MaxWaiting is how many calls may wait for a connection, 16384; more are refused.
	MaxWaiting int
	// Spread is the span over which clients reconnect that lost a proxy together, 1 s; after attempts
	// in vain twice as long. Cold is the span of the first connections, 0: for fleets that start together.
	Spread, StartSpread time.Duration
	// Idle is after how long a connection without a request is closed, 1.5 s; a proxy closes
	// its own after 2 s, so a longer time has requests cross the close.
	Idle time.Duration
	// Dial opens connections; a [net.Dialer] with a time limit of 1 s.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)

	Trace Trace

	clock func() retry.Timestamp
}

// The bounds of options.
const (
	mostConns   = 64
	mostDepth   = 256
	mostSubset  = 64
	mostWaiting = 1 << 20
	mostWait    = time.Hour
	mostSpread  = time.Minute
	dialTime    = time.Second
)

// fill puts the usual in place of zeros, and tells of all that can't be.
func (o *Options) fill() error {
	var errs []error
	bad := func(format string, a ...any) { errs = append(errs, fmt.Errorf("mulleinpier: options: "+format, a...)) }
	whole := func(name string, n *int, usual, most int) {
		if *n == 0 {
			*n = usual
		}
		if *n < 1 || *n > most {
			bad("%s cannot be %d: want 1 to %d", name, *n, most)
		}
	}
	span := func(name string, d *time.Duration, usual, least, most time.Duration) {
		if *d == 0 {
			*d = usual
		}
		if *d < least || *d > most {
			bad("%s cannot be %v: want %v to %v", name, *d, least, most)
		}
	}
	class := func(name string, c *Class, usual Class) {
		if *c == (Class{}) {
			*c = usual
		}
		if err := c.check(); err != nil {
			bad("%s: %v", name, err)
		}
	}
	if o.Proxies == nil {
		bad("Proxies is needed")
	}
	class("Read", &o.Read, Read)
	class("Write", &o.Write, Write)
	if o.Tenant != "" && !meta.ValidName(o.Tenant) {
		bad("Tenant cannot be %q", o.Tenant)
	}
	span("Window", &o.Window, retry.DefaultPolicy.DedupWindow, 2*retry.DefaultPolicy.MinWait, mostWait)
	span("Margin", &o.Margin, min(retry.DefaultPolicy.SafetyMargin, o.Window/2), 0, max(o.Window-retry.DefaultPolicy.MinWait, 0))
	whole("Tries", &o.Tries, retry.DefaultPolicy.MaxAttempts, 100)
	switch {
	case o.RetryRatio == 0:
		o.RetryRatio = 0.1
	case o.RetryRatio < 0:
		o.RetryRatio, o.RetryBurst = 0, -1
	}
	switch {
	case o.RetryBurst == 0:
		o.RetryBurst = 3
	case o.RetryBurst < 0:
		o.RetryBurst = 0
	}
	whole("Subset", &o.Subset, 3, mostSubset)
	whole("Conns", &o.Conns, 4, mostConns)
	whole("Depth", &o.Depth, 32, mostDepth)
	whole("Waiting", &o.MaxWaiting, 16384, mostWaiting)
	span("Spread", &o.Spread, time.Second, time.Millisecond, mostSpread)
	span("Cold", &o.StartSpread, 0, 0, mostSpread)
	span("Idle", &o.Idle, 1500*time.Millisecond, time.Millisecond, 24*time.Hour)
	if o.Dial == nil {
		d := &net.Dialer{Timeout: dialTime}
		o.Dial = d.DialContext
	}
	if o.clock == nil {
		o.clock = clock()
	}
	return errors.Join(errs...)
}

func (c *Class) check() error {
	switch {
	case !meta.ValidName(c.Name):
		return fmt.Errorf("class name cannot be %q", c.Name)
	case c.Effect > Unsafe:
		return fmt.Errorf("class %s: there is no effect %d", c.Name, c.Effect)
	case c.LatencyObjective < 0:
		return fmt.Errorf("class %s: aim cannot be %v", c.Name, c.LatencyObjective)
	case c.Wait < retry.DefaultPolicy.MinWait || c.Wait > mostWait:
		return fmt.Errorf("class %s: wait cannot be %v: want %v to %v", c.Name, c.Wait, retry.DefaultPolicy.MinWait, mostWait)
	}
	return nil
}

// clock returns the two clocks, both from now on. The one that never steps is the time package's
// own; it stands still while a machine sleeps.
func clock() func() retry.Timestamp {
	begun := time.Now()
	wall := begun.UnixNano()
	return func() retry.Timestamp {
		now := time.Now()
		return retry.Timestamp{Monotonic: now.Sub(begun), Wall: time.Duration(now.UnixNano() - wall)}
	}
}

func (o *Options) retryRules() *retry.Policy {
	r := retry.DefaultPolicy
	r.MaxAttempts, r.DedupWindow, r.SafetyMargin = o.Tries, o.Window, o.Margin
	return &r
}

func (o *Options) balanceRules() balance.Settings {
	return balance.Settings{SubsetSize: o.Subset, MaxConns: o.Conns, PipelineDepth: o.Depth, StartSpread: o.StartSpread, ReconnectSpread: o.Spread, MaxReconnectSpread: 2 * o.Spread}
}
