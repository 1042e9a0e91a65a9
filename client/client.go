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

// Client sends requests to a fleet of proxies. Create it with [New]; it is safe for concurrent use.
type Client struct {
	options     Options
	retryPolicy *retry.Policy
	idPrefix    string // prefix of the ids of all attempts
	lastSerial  atomic.Uint64
	ctx         context.Context // cancelled by Close
	cancel      context.CancelFunc
	tasks       sync.WaitGroup // the client's goroutines; none is added after closed is set
	attemptPool sync.Pool      // of *attempt
	waiterPool  sync.Pool      // of *waiter

	// mu is not held during I/O or while a hook runs, and is never locked while a connection's mu is held.
	mu       sync.Mutex
	rng      *rand.Rand
	balancer *balance.Balancer
	budget   *retry.Budget
	throttle retry.Throttle
	conns    map[*balance.Proxy][]*connection
	waiters  list.List // of *waiter, in the order in which they started to wait
	inFlight int       // requests on connections, except abandoned ones
	closed   bool

	activeCalls atomic.Int64
	draining    atomic.Bool   // set by Shutdown; new calls end with ErrClosed
	drained     chan struct{} // capacity 1; signals that the last call has ended
	counters    counters
}

// New returns a client, or an error that names all invalid options. It does not wait until a proxy can be reached;
// calls do.
func New(o Options) (*Client, error) {
	if err := o.applyDefaults(); err != nil {
		return nil, err
	}
	var seed [24]byte // 8 bytes for idPrefix, 16 to seed rng
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
		attemptPool: sync.Pool{New: newAttemptForPool},
		waiterPool:  sync.Pool{New: newWaiterForPool},
	}
	c.ctx, c.cancel = context.WithCancel(context.Background())
	c.tasks.Go(c.followSource)
	c.tasks.Go(c.sweepPeriodically)
	return c, nil
}

// Request describes a call of [Client.Do].
type Request struct {
	Key   string
	Value []byte
	Set   bool // write Value instead of reading the key
	// Class of the request; [Options.Read] or [Options.Write] if it is the zero value.
	Class Class
	// Tenant of the request; [Options.Tenant] if it is empty.
	Tenant string
	// Idempotency is the idempotency key, by which nodes drop duplicates of a keyed write. If it is empty, a random key
	// is used. Set it if the same write may be sent from two places within the dedup window.
	Idempotency string
}

// Answer is the result of [Client.Do].
type Answer struct {
	Value   []byte // the value that was read; the caller may modify it
	Receipt string // the receipt of a write
	Tries   int    // attempts that were sent
}

// Get reads a key with the class [Options.Read]. If there is no such key, the error is [ErrMiss]. The caller may modify
// the value.
func (c *Client) Get(ctx context.Context, key string) ([]byte, error) {
	a, err := c.Do(ctx, Request{Key: key})
	return a.Value, err
}

// Set writes a key with the class [Options.Write] and returns the receipt. The caller may modify value once Set has
// returned.
func (c *Client) Set(ctx context.Context, key string, value []byte) (receipt string, err error) {
	a, err := c.Do(ctx, Request{Key: key, Value: value, Set: true})
	return a.Receipt, err
}

// maxParallelGets is the number of keys that one GetMulti reads at a time.
const maxParallelGets = 32

// GetMulti reads several keys in parallel. Keys that do not exist are missing from the result. If reads fail with
// another error, GetMulti returns the first such error together with the values that were read.
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

// Resolve determines whether a write that ended with [ErrUnknown] was carried out. It waits until no attempt of the
// write can start any more, reads the key, calls done with the value (nil if there is no such key) and returns its
// result. If done reports false, the write was not carried out, and the key can be set again.
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

// startTask runs a function in a goroutine for which [Client.Close] waits. A closed client does not run it.
func (c *Client) startTask(task func()) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.closed {
		c.tasks.Go(task)
	}
}

// Shutdown rejects new calls, waits until the active ones have ended or ctx ends, and closes the client.
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

// Close ends all calls with [ErrClosed], closes all connections and returns once all goroutines of the client have
// ended.
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
