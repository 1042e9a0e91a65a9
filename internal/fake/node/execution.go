package node

import (
	"strings"
	"time"

	"mulleinpier/internal/binary"
	"mulleinpier/internal/meta"
	"mulleinpier/internal/request"
)

// pendingRequest is a request that is not answered yet.
type pendingRequest struct {
	connection *connection
	command    meta.Command
	header     binary.Header // of the request in the binary protocol
	answer     []byte        // encoded answer; nil until the request is answered
	fault      FaultKind     // the fault that affects this request
	deadline   time.Time     // after which the client no longer waits
}

// noDeadline is the timeout of a request whose client set none.
const noDeadline = time.Hour

// admit queues a request or rejects it. n.mu is held.
func (n *Node) admit(r *pendingRequest, now time.Time) {
	n.stats.Requests++
	if n.recordArrival(now) {
		n.stats.Collapsed = true
	}
	r.fault = n.nextFault()
	full := len(n.queue) >= n.config.Queue && n.running >= n.config.Slots
	if r.fault == Busy || n.draining || n.stats.Collapsed || full {
		n.reject(r)
		return
	}
	r.deadline = now.Add(noDeadline)
	if r.command.Timeout >= 0 {
		r.deadline = now.Add(r.command.Timeout)
	}
	n.queue = append(n.queue, r)
	n.startQueued()
}

// reject answers that the node is busy and has not executed the request. n.mu is held.
func (n *Node) reject(r *pendingRequest) {
	n.stats.Busy++
	n.reply(r, outcome{kind: request.Busy})
}

// startQueued starts queued requests while there are free slots. n.mu is held.
func (n *Node) startQueued() {
	for len(n.queue) > 0 && n.running < n.config.Slots && !n.isSilent() && !n.closed {
		r := n.queue[0]
		n.queue = n.queue[1:]
		if !time.Now().Before(r.deadline) {
			n.reject(r)
			continue
		}
		n.start(r)
	}
}

// start executes a request after its service time. n.mu is held.
func (n *Node) start(r *pendingRequest) {
	// Between 3/4 and 5/4 of the mean.
	factor := 0.75 + n.rng.Float64()/2
	serviceTime := time.Duration(float64(n.config.ServiceTime) * factor / n.capacityShare(time.Now()))
	if serviceTime <= 0 {
		n.execute(r)
		return
	}
	n.running++
	time.AfterFunc(serviceTime, func() {
		n.mu.Lock()
		defer n.mu.Unlock()
		n.running--
		if !n.closed {
			n.execute(r)
			n.startQueued()
		}
	})
}

// execute does the work of a request. n.mu is held, and released while the origin or the group is called.
func (n *Node) execute(r *pendingRequest) {
	switch {
	case r.command.Verb == request.Set:
		n.executeWrite(r)
	case n.cache.touch(r.command.Key):
		n.stats.Hits++
		n.reply(r, n.valueOutcome(r, cacheHit))
	default:
		n.fetch(r)
	}
}

// executeWrite writes to the origin, unless a write with the same idempotency key has been executed or is in progress.
// n.mu is held, and released while the group and the origin are called.
func (n *Node) executeWrite(r *pendingRequest) {
	n.stats.Writes++
	first := false
	write := func(done writeDone) {
		first = true
		n.writeToOrigin(r, done)
	}
	finish := func(receipt string, err error) {
		n.mu.Lock()
		defer n.mu.Unlock()
		if err != nil { // the origin did not start the write
			n.reply(r, outcome{kind: request.Busy})
			return
		}
		n.reply(r, outcome{kind: request.Stored, text: receipt})
	}
	n.mu.Unlock()
	if r.command.IdempotencyKey != "" {
		n.config.Group.executeOnce(r.command.IdempotencyKey, write, finish)
	} else {
		write(finish)
	}
	n.mu.Lock()
	if !first {
		n.stats.Repeats++
	}
}

// writeToOrigin writes and then invalidates the copies that the nodes of the group have cached.
func (n *Node) writeToOrigin(r *pendingRequest, done writeDone) {
	key := r.command.Key
	ledgerKey := r.command.IdempotencyKey
	if n.config.LedgerByValue {
		ledgerKey = string(r.command.Value)
	}
	n.config.Origin.Write(key, ledgerKey, func(err error) {
		if err == nil {
			n.config.Group.invalidate(key)
		}
		done(n.receipt(r), err)
	})
}

// fetch reads a key from the origin and caches it. n.mu is held, and released while the origin is called.
func (n *Node) fetch(r *pendingRequest) {
	key := r.command.Key
	n.stats.Misses++
	n.fetching++
	n.mu.Unlock()
	n.config.Origin.Fetch(func(err error) {
		n.mu.Lock()
		defer n.mu.Unlock()
		n.fetching--
		missing := n.config.MissingKeyPrefix != "" && strings.HasPrefix(key, n.config.MissingKeyPrefix)
		switch {
		case err != nil:
			n.reply(r, outcome{kind: request.Failed})
		case missing:
			n.reply(r, outcome{kind: request.NotFound})
		default:
			n.cache.add(key)
			n.reply(r, n.valueOutcome(r, cacheMiss))
		}
	})
	n.mu.Lock()
}

// reply answers a request, and applies Garbage, Late or a second answer if one of these affects it. n.mu is held.
func (n *Node) reply(r *pendingRequest, result outcome) {
	if result.kind != request.Busy && n.config.OnExecuted != nil {
		n.config.OnExecuted(n.config.Name, r.command.ID)
	}
	answer := n.encode(r, result)
	deliver := func() {
		r.answer = answer
		r.connection.changed.Broadcast()
	}
	switch r.fault {
	case Garbage:
		answer = n.malformedAnswer(r)
	case SecondBusy:
		r.connection.second = n.encode(r, outcome{kind: request.Busy})
	case SecondFailed:
		r.connection.second = n.encode(r, outcome{kind: request.Failed})
	case SecondAbsent:
		if r.command.Verb == request.Get {
			r.connection.second = n.encode(r, outcome{kind: request.NotFound})
		}
	case SecondCopy:
		r.connection.second = answer
	case Late:
		time.AfterFunc(n.fault.Delay, func() {
			n.mu.Lock()
			defer n.mu.Unlock()
			deliver()
		})
		return
	}
	deliver()
}
