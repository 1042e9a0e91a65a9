package node

import (
	"strings"
	"time"

	"mulleinpier/internal/binary"
	"mulleinpier/internal/meta"
	"mulleinpier/internal/request"
)

// command is a command in progress.
type command struct {
	conn     *connection
	command  meta.Command
	header   binary.Header // of a binary command
	answer   []byte        // nil until it is there
	fault    FaultKind
	deadline time.Time // after which it is not started
}

// warmthLocked is the share of its capacity that the node has. n.mu is held.
func (n *Node) warmthLocked(now time.Time) float64 {
	age := now.Sub(n.startedAt)
	if n.startedAt.IsZero() || age >= n.config.WarmUpTime {
		return 1
	}
	share := n.config.ColdCapacityShare
	return share + (1-share)*float64(age)/float64(n.config.WarmUpTime)
}

// isOverloadedLocked counts a request, and reports whether a cold node has had more than it withstands. n.mu is held.
func (n *Node) isOverloadedLocked(now time.Time) bool {
	warmth := n.warmthLocked(now)
	if warmth >= 1 || n.config.ServiceTime <= 0 {
		n.arrivals = nil
		return false
	}
	n.arrivals = append(n.arrivals, now)
	for now.Sub(n.arrivals[0]) > n.config.CollapseTime {
		n.arrivals = n.arrivals[1:]
	}
	capacity := warmth * float64(n.config.Slots) * float64(n.config.CollapseTime) / float64(n.config.ServiceTime)
	return float64(len(n.arrivals)) > n.config.CollapseLoadFactor*capacity
}

// noDeadline stands for the deadline of a request that names none.
const noDeadline = time.Hour

// admitLocked admits a request or rejects it. n.mu is held.
func (n *Node) admitLocked(j *command, now time.Time) {
	n.stats.Requests++
	if n.isOverloadedLocked(now) {
		n.stats.Collapsed = true
	}
	if n.isFaultDueLocked() {
		j.fault = n.fault.Kind
	}
	full := len(n.waiting) >= n.config.Queue && n.running >= n.config.Slots
	if j.fault == Busy || n.draining || n.stats.Collapsed || full {
		n.stats.Busy++
		n.replyLocked(j, request.Busy, "", "")
		return
	}
	timeout := noDeadline
	if j.command.Timeout >= 0 {
		timeout = j.command.Timeout
	}
	j.deadline = now.Add(timeout)
	n.waiting = append(n.waiting, j)
	n.startWaitingLocked()
}

// isFaultDueLocked counts a request for a fault that concerns some, and reports whether it concerns this one. n.mu is
// held.
func (n *Node) isFaultDueLocked() bool {
	switch n.fault.Kind {
	case Reset, Late, Busy, Garbage:
		n.faultCount++
		return n.fault.OneIn <= 1 || n.faultCount%n.fault.OneIn == 0
	}
	return false
}

// startWaitingLocked starts the requests for which there are free slots. n.mu is held.
func (n *Node) startWaitingLocked() {
	for len(n.waiting) > 0 && n.running < n.config.Slots && !n.isSilentLocked() && !n.closed {
		j := n.waiting[0]
		n.waiting = n.waiting[1:]
		if !time.Now().Before(j.deadline) { // too late to start
			n.stats.Busy++
			n.replyLocked(j, request.Busy, "", "")
			continue
		}
		n.running++
		took := time.Duration(float64(n.config.ServiceTime) * (0.75 + n.rng.Float64()/2) / n.warmthLocked(time.Now()))
		if took <= 0 {
			n.running--
			n.carryOutLocked(j)
			continue
		}
		time.AfterFunc(took, func() {
			n.mu.Lock()
			defer n.mu.Unlock()
			n.running--
			if !n.closed {
				n.carryOutLocked(j)
				n.startWaitingLocked()
			}
		})
	}
}

// carryOutLocked does the work of a request. n.mu is held, and released meanwhile.
func (n *Node) carryOutLocked(j *command) {
	key := j.command.Key
	switch {
	case j.command.Verb == request.Set:
		n.writeLocked(j)
	case n.cache.has(key):
		n.stats.Hits++
		n.replyLocked(j, request.Value, n.makeValueLocked(&j.command), "h1")
	default:
		n.stats.Misses++
		n.fetching++
		n.mu.Unlock()
		n.config.Origin.Fetch(func(err error) { n.fetched(j, err) })
		n.mu.Lock()
	}
}

// fetched answers a read that the origin has answered.
func (n *Node) fetched(j *command, err error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.fetching--
	key, prefix := j.command.Key, n.config.MissingKeyPrefix
	switch {
	case err != nil:
		n.replyLocked(j, request.Failed, "", "")
	case prefix != "" && strings.HasPrefix(key, prefix):
		n.replyLocked(j, request.NotFound, "", "")
	default:
		n.cache.add(key)
		n.replyLocked(j, request.Value, n.makeValueLocked(&j.command), "h0")
	}
}

// writeLocked carries out a write, unless it is a repeat. n.mu is held, and released meanwhile.
func (n *Node) writeLocked(j *command) {
	c := j.command
	n.stats.Writes++
	first := false
	write := func(done func(string, error)) {
		first = true
		effect := c.IdempotencyKey
		if n.config.LedgerByValue {
			effect = string(c.Value)
		}
		n.config.Origin.Write(c.Key, effect, func(err error) {
			if err == nil {
				n.config.Group.invalidate(c.Key)
			}
			done(n.makeReceipt(&c), err)
		})
	}
	done := func(receipt string, err error) {
		n.mu.Lock()
		defer n.mu.Unlock()
		if err != nil { // the origin has not started it
			n.replyLocked(j, request.Busy, "", "")
			return
		}
		n.replyLocked(j, request.Stored, receipt, "")
	}
	n.mu.Unlock()
	if c.IdempotencyKey != "" {
		n.config.Group.once(c.IdempotencyKey, write, done)
	} else {
		write(done)
	}
	n.mu.Lock()
	if !first {
		n.stats.Repeats++
	}
}

// replyLocked answers a request, malformed or late if a fault concerns it. n.mu is held.
func (n *Node) replyLocked(j *command, kind request.AnswerKind, text, flag string) {
	answer := n.encodeLocked(j, kind, text, flag)
	switch j.fault {
	case Garbage:
		answer = n.garbage(j)
	case Late:
		time.AfterFunc(n.fault.Delay, func() {
			n.mu.Lock()
			defer n.mu.Unlock()
			j.setAnswerLocked(answer)
		})
		return
	}
	j.setAnswerLocked(answer)
}

// setAnswerLocked sets the answer, which the connection writes in its turn. The node's lock is held.
func (j *command) setAnswerLocked(answer []byte) {
	j.answer = answer
	j.conn.changed.Broadcast()
}
