package client

import (
	"container/list"
	"context"
	crand "crypto/rand"
	"encoding/binary"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"mulleinpier/client/internal/balance"
	"mulleinpier/client/internal/retry"
)

// Client is a client of a fleet of proxies. Make one with [New]; it is safe for concurrent use.
type Client struct {
	options     Options
	retryPolicy *retry.Policy
	idPrefix    string // of the ids of all attempts
	lastSerial  atomic.Uint64
	ctx         context.Context // ends when the client is closed
	cancel      context.CancelFunc
	tasks       sync.WaitGroup // no Add after closed is set

	// mu is never held over I/O or a hook, and never taken while a connection's lock is held.
	mu       sync.Mutex
	rng      *rand.Rand
	balancer *balance.Balancer
	budget   *retry.Budget
	throttle retry.Throttle
	conns    map[*balance.Proxy][]*connection
	waiters  list.List // of *waiter, the longest wait first
	inFlight int       // requests on connections, without those that were abandoned
	closed   bool

	activeCalls atomic.Int64
	draining    atomic.Bool   // no more calls are accepted
	drained     chan struct{} // holds one: the last call has ended
	counters    counters
}

// New returns a client. It does not wait for a proxy; calls do.
func New(o Options) (*Client, error) {
	if err := o.applyDefaults(); err != nil {
		return nil, err
	}
	var seed [24]byte // 8 bytes of the id prefix, 16 of the random generator
	if _, err := crand.Read(seed[:]); err != nil {
		return nil, err
	}
	rng := rand.New(rand.NewPCG(binary.LittleEndian.Uint64(seed[8:]), binary.LittleEndian.Uint64(seed[16:])))
	c := &Client{
		options:     o,
		retryPolicy: o.retryPolicy(),
		idPrefix:    fmt.Sprintf("c%x-", seed[:8]),
		rng:         rng,
		balancer:    balance.New(o.balanceSettings(), rng),
		budget:      retry.NewBudget(o.RetryRatio, o.RetryBurst),
		conns:       make(map[*balance.Proxy][]*connection),
		drained:     make(chan struct{}, 1),
	}
	c.ctx, c.cancel = context.WithCancel(context.Background())
	c.tasks.Go(c.followSource)
	c.tasks.Go(c.sweepPeriodically)
	return c, nil
}

// Request is one call in full.
type Request struct {
	Key   string
	Value []byte
	Set   bool // it writes Value, otherwise it reads
	// Class; [Options.Read] or [Options.Write] if left out.
	Class Class
	// Tenant; [Options.Tenant] if left out.
	Tenant string
	// Idempotency is the key by which nodes drop repeats of a keyed write; a random one if left out. The caller's own
	// is useful where two places may send the same write within the window.
	Idempotency string
}

// Answer is the result of a call.
type Answer struct {
	Value   []byte // of a read; the caller may change it
	Receipt string // of a write
	Tries   int    // that were sent
}

// Get reads a key. The caller may change the value.
func (c *Client) Get(ctx context.Context, key string) ([]byte, error) {
	a, err := c.Do(ctx, Request{Key: key})
	return a.Value, err
}

// Set writes a key, and returns the receipt. The caller may change the value once Set has returned.
func (c *Client) Set(ctx context.Context, key string, value []byte) (receipt string, err error) {
	a, err := c.Do(ctx, Request{Key: key, Value: value, Set: true})
	return a.Receipt, err
}

// maxParallelGets is how many keys of one GetMulti are read at a time.
const maxParallelGets = 32

// GetMulti reads several keys in parallel. Keys that do not exist are left out; of other errors the first is returned,
// together with the values that were read.
func (c *Client) GetMulti(ctx context.Context, keys []string) (map[string][]byte, error) {
	var mu sync.Mutex
	var firstErr error
	values := make(map[string][]byte, len(keys))
	next := make(chan string)
	var tasks sync.WaitGroup
	for range min(maxParallelGets, len(keys)) {
		tasks.Go(func() {
			for key := range next {
				value, err := c.Get(ctx, key)
				mu.Lock()
				if err == nil {
					values[key] = value
				} else if firstErr == nil && !errors.Is(err, ErrMiss) {
					firstErr = err
				}
				mu.Unlock()
			}
		})
	}
	for _, key := range keys {
		next <- key
	}
	close(next)
	tasks.Wait()
	return values, firstErr
}

// Resolve finds out what became of a write that ended with [ErrUnknown]. It waits until no attempt of the write can
// start any more, reads the key and calls done with the value (nil if there is no such key). If done reports false, the
// write was not carried out, and the key can be set again.
func (c *Client) Resolve(ctx context.Context, unknown error, done func(value []byte) bool) (bool, error) {
	var e *Error
	if !errors.As(unknown, &e) || e.Kind != ErrUnknown {
		return false, fmt.Errorf("%w: the error to resolve is no ErrUnknown: %v", ErrInvalid, unknown)
	}
	timer := time.NewTimer(time.Until(e.Settled))
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
		return false, ctx.Err()
	case <-c.ctx.Done():
		return false, ErrClosed
	}
	value, err := c.Get(ctx, e.Key)
	if err != nil && !errors.Is(err, ErrMiss) {
		return false, err
	}
	return done(value), nil
}

// Shutdown accepts no more calls, waits until the active ones have ended or ctx ends, and closes the client.
func (c *Client) Shutdown(ctx context.Context) (err error) {
	c.draining.Store(true)
	for c.activeCalls.Load() > 0 && err == nil {
		select {
		case <-c.drained:
		case <-c.ctx.Done(): // closed by another goroutine
			return c.Close()
		case <-ctx.Done():
			err = ctx.Err()
		}
	}
	c.Close()
	return err
}

// Close ends all calls with [ErrClosed], closes all connections, and returns once no goroutine of the client runs.
func (c *Client) Close() error {
	c.mu.Lock()
	c.closed = true
	var all []*connection
	for _, conns := range c.conns {
		all = append(all, conns...)
	}
	c.wakeLocked(c.waiters.Len())
	c.mu.Unlock()
	c.cancel()
	for _, conn := range all {
		conn.fail(ErrClosed)
		<-conn.ended
	}
	c.tasks.Wait()
	return nil
}
