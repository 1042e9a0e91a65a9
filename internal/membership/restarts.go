package membership

import (
	"cmp"
	"math"
	"time"
)

// This file derives restarts of nodes, and holds flapping nodes down (rule 4).

// minFailureInterval is the shortest time between two failures that count separately: the requests that wait on one
// connection fail together with it.
const minFailureInterval = 50 * time.Millisecond

// holdDownThreshold is the decayed count of returns from which a return is held down: the second one shortly after the
// first, which counts a little under two.
const holdDownThreshold = 1.5

// node is what is known and published of a node.
type node struct {
	everPublished bool // as other than Gone; the node is forgotten ForgetAfter after it left
	published     Node
	leftAt        time.Duration // when it last stopped serving, or was gone after a drain
	wasGone       bool          // since it last served: it did not merely drain
	returns       float64       // decaying count
	returnsAt     time.Duration // of the last return
	heldUntil     time.Duration // end of the hold-down, 0 for none
	failures      int           // consecutive failures of connections
	lastFailure   time.Duration
	processEnded  bool // since it last answered
	instance      string
	inferredStart time.Duration // 0 for none
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

// nodeAnswered takes a node whose connections failed repeatedly, and that now answers, for restarted.
func (r *Reconciler) nodeAnswered(name string, n *node) {
	n.failures = 0
	if n.processEnded {
		n.processEnded = false
		n.inferredStart = r.now
		r.publishNode(name, "restarted, as connections show")
	}
}

// connectionFailed counts a failure. After FailureThreshold of them an unconfirmed node is gone: its absence from the
// list is now confirmed by its connections.
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

// infer sets the start time, and a hold-down if there is one, in what is about to be published of a node. It returns
// the reason for a change, "" for none.
func (r *Reconciler) infer(n *node, merged *Node) (reason string) {
	if merged.Status != Up {
		n.heldUntil = 0 // it left again: the next return starts another
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

// inferStart derives the start time of a node that is listed. It returns the reason for a change, "" for none.
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

// nodeReturned counts a return, and starts a hold-down if there were too many. The node counts as restarted unless it
// is the same instance, was away for a short time only, and no end of its process was observed. It returns the reason
// for a change of its start time, "" for none.
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

// releaseHolds ends all hold-downs where no node serves: suspicion must not empty the list (invariant 3).
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
		merged, from := r.merge(name)
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
