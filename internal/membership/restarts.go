package membership

import (
	"cmp"
	"math"
	"time"
)

// This file infers restarts of nodes, and holds flapping nodes down (rule 4).

// minFailureInterval is the shortest time between two failures that count separately: when a connection fails, all
// requests in flight on it fail together.
const minFailureInterval = 50 * time.Millisecond

// holdDownThreshold is the decayed count of returns from which on a returning node is held down. A second return
// shortly after the first exceeds it, as the decayed count is then a little under 2.
const holdDownThreshold = 1.5

// node is the state of a node: what is published, and what was inferred from its connections and returns.
type node struct {
	everPublished bool // was published as other than Gone; the node is forgotten ForgetAfter after it left
	published     Node
	leftAt        time.Duration // when it last stopped serving, or became Gone after a drain
	wasGone       bool          // the node has been Gone, not only Draining, since it last served
	returns       float64       // count of returns, which decays with FlapMemory
	returnsAt     time.Duration // time of the last return
	heldUntil     time.Duration // end of the hold-down, 0 for none
	failures      int           // consecutive failures of connections
	lastFailure   time.Duration
	processEnded  bool // FailureThreshold was reached, and the node has not answered or returned from Gone since
	instance      string
	inferredStart time.Duration // 0 if no start was inferred
}

func (r *Reconciler) connectionObserved(e ConnectionObserved) {
	n := r.nodes[e.Node]
	if n == nil || !r.settings.InferRestarts {
		return
	}
	switch e.Observation {
	case Answered:
		r.nodeAnswered(e.Node, n)
	case Failed:
		r.connectionFailed(e.Node, n)
	}
}

// nodeAnswered resets the failure count. If the node's process was assumed to have ended, the node now counts as
// restarted.
func (r *Reconciler) nodeAnswered(name string, n *node) {
	n.failures = 0
	if n.processEnded {
		n.processEnded = false
		n.inferredStart = r.now
		r.publishNode(name, "restarted, as connections show")
	}
}

// connectionFailed counts a failure. After FailureThreshold consecutive failures an unconfirmed node is removed: its
// connections confirm its absence from the list.
func (r *Reconciler) connectionFailed(name string, n *node) {
	if n.lastFailure > 0 && r.now-n.lastFailure < minFailureInterval {
		return
	}
	n.lastFailure = r.now
	n.failures++
	if n.failures >= r.settings.Limits.FailureThreshold {
		n.processEnded = true
	}
	for _, s := range r.sources {
		if s.pending != nil && s.pending.names[name] && n.processEnded {
			delete(s.pending.names, name)
			s.remove(name, r.now, "not in the list, and its connections fail")
			r.publishAll()
		}
	}
}

// infer applies the inferred start time and any hold-down to the state of a node that is about to be published. It
// returns the reason for a new start time, "" if there is none.
func (r *Reconciler) infer(n *node, merged *Node) (reason string) {
	if merged.Status != Up {
		n.heldUntil = 0 // the node left again: its next return may start another hold-down
	}
	if merged.Status == Gone {
		return ""
	}
	reason = r.inferStart(n, merged)
	if n.heldUntil > 0 && r.now >= n.heldUntil {
		n.heldUntil = 0
	}
	if n.heldUntil > 0 {
		merged.Status = Draining
		merged.Reason = "held down: it left and returned too often"
	}
	if merged.Started == 0 {
		merged.Started = n.inferredStart
	}
	return reason
}

// inferStart infers the start time of a listed node. It returns the reason for a new start time, "" if there is none.
func (r *Reconciler) inferStart(n *node, merged *Node) (reason string) {
	if !n.everPublished && !r.firstList && n.inferredStart == 0 {
		n.inferredStart = r.now
		reason = "new"
	}
	if n.everPublished && merged.Instance != n.instance && n.instance != "" {
		n.inferredStart = r.now
		reason = "another instance"
	}
	n.instance = cmp.Or(merged.Instance, n.instance)
	if n.everPublished && n.published.Status != Up && merged.Status == Up && n.heldUntil == 0 {
		reason = cmp.Or(r.nodeReturned(n), reason)
	}
	return reason
}

// nodeReturned counts a return, and starts a hold-down if there were too many. The node counts as restarted if it was
// Gone and either stayed away for longer than CacheRetention or its process is assumed to have ended. It returns the
// reason for a new start time, "" if there is none.
func (r *Reconciler) nodeReturned(n *node) (reason string) {
	limits := &r.settings.Limits
	if n.wasGone && (r.now-n.leftAt > limits.CacheRetention || n.processEnded) {
		n.inferredStart = r.now
		n.processEnded = false
		n.failures = 0
		reason = "returned after a failure"
	}
	n.wasGone = false
	decay := math.Exp(-float64(r.now-n.returnsAt) / float64(limits.FlapMemory))
	n.returns = n.returns*decay + 1
	n.returnsAt = r.now
	if n.returns >= holdDownThreshold {
		doublings := math.Floor(n.returns - holdDownThreshold)
		holdDown := time.Duration(min(float64(limits.FirstHoldDown)*math.Exp2(doublings), float64(limits.MaxHoldDown)))
		n.heldUntil = r.now + holdDown
		r.setTimer(holdDown)
	}
	return reason
}

// releaseHolds ends all hold-downs if no node serves: hold-downs must not empty the list (invariant 3).
func (r *Reconciler) releaseHolds(ordered []string) {
	var held []string
	for _, name := range ordered {
		n := r.nodes[name]
		if n == nil {
			continue
		}
		if n.published.Status == Up {
			return
		}
		if n.heldUntil > 0 {
			held = append(held, name)
		}
	}
	for _, name := range held {
		n := r.nodes[name]
		n.heldUntil = 0
		merged, from := r.mergeUnlessReplaced(name)
		if merged.Status != Up {
			continue
		}
		if merged.Started == 0 {
			merged.Started = n.inferredStart
		}
		merged.Reason = "released from hold-down, as no other node serves"
		r.publish(n, merged, from)
	}
}
