package coordinator

import (
	"context"
	"sync"
	"time"

	"mulleinpier/internal/peer/rpc"
	"mulleinpier/internal/takeover"
)

const (
	// maxQueued bounds the claims queued for another proxy, and the responses. Excess ones are dropped: the claim then
	// times out at that holder, and another holder is asked.
	maxQueued = 8192
	// maxQueuedCompletions is higher than maxQueued, as completions stay queued until they have been received.
	maxQueuedCompletions = 4 * maxQueued
	// maxBatch bounds the items of each kind in one message.
	maxBatch = 256
	// completionTimeout is how long sending to a holder may fail before completions for it are dropped.
	completionTimeout = 5 * time.Second
	// retryDelay is the delay after a failed message.
	retryDelay = 20 * time.Millisecond
)

// outbox holds the items to send to another proxy.
type outbox struct {
	claims      []claimRequest
	completions []completion
	responses   []claimResponse
}

// member is another proxy.
type member struct {
	takeover.Candidate
	address string
	stop    context.CancelFunc
	wake    chan struct{}

	mu     sync.Mutex
	outbox outbox
}

// queue applies a change to the outbox, drops the excess, and wakes the sending goroutine.
func (m *member) queue(change func(o *outbox)) {
	m.mu.Lock()
	defer m.mu.Unlock()
	o := &m.outbox
	change(o)
	o.claims = o.claims[:min(len(o.claims), maxQueued)]
	o.responses = o.responses[:min(len(o.responses), maxQueued)]
	o.completions = o.completions[:min(len(o.completions), maxQueuedCompletions)]
	select {
	case m.wake <- struct{}{}:
	default:
	}
}

// takeBatch removes from the outbox, and returns, the items for one message.
func (m *member) takeBatch() (batch outbox) {
	m.mu.Lock()
	defer m.mu.Unlock()
	batch.claims, m.outbox.claims = cutBatch(m.outbox.claims)
	batch.responses, m.outbox.responses = cutBatch(m.outbox.responses)
	batch.completions, m.outbox.completions = cutBatch(m.outbox.completions)
	return batch
}

func cutBatch[T any](list []T) (batch, rest []T) {
	n := min(len(list), maxBatch)
	return list[:n:n], list[n:]
}

func (o *outbox) len() int { return len(o.claims) + len(o.responses) + len(o.completions) }

// sendMessages sends the items queued for a member in batches, until ctx ends. Completions are retried until the member
// has received them, or for completionTimeout. Claims and responses are sent once: the claim's timeout covers a loss.
func (c *Coordinator) sendMessages(ctx context.Context, m *member) {
	var failingSince time.Time // zero after a successful message
	for {
		batch := m.takeBatch()
		if batch.len() == 0 {
			select {
			case <-ctx.Done():
				return
			case <-m.wake:
			}
			continue
		}
		if c.post(ctx, m, &batch) == nil {
			failingSince = time.Time{}
			continue
		}
		if ctx.Err() != nil {
			return
		}
		if failingSince.IsZero() {
			failingSince = time.Now()
		}
		if len(batch.completions) > 0 && time.Since(failingSince) < completionTimeout {
			m.queue(func(o *outbox) { o.completions = append(batch.completions, o.completions...) })
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(retryDelay):
		}
	}
}

func (c *Coordinator) post(ctx context.Context, m *member, batch *outbox) error {
	c.count(func(n *Counts) {
		n.Messages++
		n.MessageItems += batch.len()
	})
	return rpc.Post(ctx, c.http, m.address, messagePath, message{
		Header:      rpc.NewHeader(c.options.Fleet),
		From:        c.options.Self,
		To:          m.Owner,
		Claims:      batch.claims,
		Completions: batch.completions,
		Responses:   batch.responses,
	}, nil)
}
