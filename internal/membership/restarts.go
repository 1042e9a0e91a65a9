package membership

import (
	"cmp"
	"math"
	"time"
)

// This file derives restarts of nodes, and holds flapping nodes down (rule 4).

// minFailureInterval is the least time between two failures that count: the requests that wait on one connection fail
// together with it.
const minFailureInterval = 50 * time.Millisecond

// firstHeldReturn is the decayed count of returns from which a return is held down: the second one shortly after the
// first, which counts a little under two.
const firstHeldReturn = 1.5

// node is what is known and published of a node.
type node struct {
	known         bool // published now, or within ForgetAfter
	published     Node
	leftAt        time.Duration // when it last stopped serving
	leftByFailure bool          // and not by a drain
	returns       float64       // decaying count
	returnsAt     time.Duration // time of that count
	heldUntil     time.Duration // end of the hold-down, 0 for none
	failures      int           // consecutive failures of connections
	lastFailure   time.Duration
	processEnded  bool // since it last answered
	instance      string
	inferredStart time.Duration // 0 for none
}

// connectionObserved takes an observation. An unconfirmed node whose connections fail is gone: two witnesses agree.
// A node whose connections failed repeatedly and that then answers has been restarted.
func (r *Reconciler) connectionObserved(e ConnectionObserved) {
	n := r.nodes[e.Node]
	if n == nil || !r.settings.InferRestarts {
		return
	}
	if e.Observation == Answered {
		n.failures = 0
		if n.processEnded {
			n.processEnded = false
			n.inferredStart = r.now
			r.publishNode(e.Node, "restarted, as connections show")
		}
		return
	}
	if n.lastFailure > 0 && r.now-n.lastFailure < minFailureInterval {
		return
	}
	n.lastFailure = r.now
	n.failures++
	if n.failures >= r.settings.Limits.FailureThreshold {
		n.processEnded = true
	}
	for _, s := range r.sources {
		if s.pending != nil && s.pending.names[e.Node] && n.processEnded {
			delete(s.pending.names, e.Node)
			s.remove(e.Node, r.now, "not in the list, and its connections fail")
			r.publishAll()
		}
	}
}

// infer derives the start time of a node that is about to be published as is, and whether it is held down. It returns
// the reason for a change, "" for none.
func (r *Reconciler) infer(n *node, is *Node) (reason string) {
	if is.Status != Up {
		n.heldUntil = 0 // it left again: the next return counts anew
	}
	if is.Status == Gone {
		return ""
	}
	reason = r.inferStart(n, is)
	if n.heldUntil > 0 && r.now >= n.heldUntil {
		n.heldUntil = 0
	}
	if n.heldUntil > 0 {
		is.Status = Draining
		is.Reason = "held down: it left and returned too often"
	}
	if is.Started == 0 {
		is.Started = n.inferredStart
	}
	return reason
}

// inferStart derives the start time of a node that is listed. It returns the reason for a change, "" for none.
func (r *Reconciler) inferStart(n *node, is *Node) (reason string) {
	if !n.known && !r.firstList && n.inferredStart == 0 {
		n.inferredStart = r.now
		reason = "new"
	}
	if n.known && is.Instance != n.instance && n.instance != "" {
		n.inferredStart = r.now
		reason = "another instance"
	}
	n.instance = cmp.Or(is.Instance, n.instance)
	if n.known && n.published.Status != Up && is.Status == Up && n.heldUntil == 0 {
		reason = cmp.Or(r.nodeReturned(n), reason)
	}
	return reason
}

// nodeReturned counts a return, and starts a hold-down if there were too many. The node counts as restarted unless it
// is the same instance, was away for a short time only, and no end of its process was observed. It returns the reason
// for a change of its start time, "" for none.
func (r *Reconciler) nodeReturned(n *node) (reason string) {
	limits := &r.settings.Limits
	if n.leftByFailure && (r.now-n.leftAt > limits.CacheRetention || n.processEnded) {
		n.inferredStart = r.now
		n.processEnded = false
		n.failures = 0
		reason = "returned after a failure"
	}
	n.leftByFailure = false
	decay := math.Exp(-float64(r.now-n.returnsAt) / float64(limits.FlapMemory))
	n.returns = n.returns*decay + 1
	n.returnsAt = r.now
	if n.returns >= firstHeldReturn {
		doublings := math.Floor(n.returns - firstHeldReturn)
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
		is, from := r.merge(name)
		if is.Status != Up {
			continue
		}
		if is.Started == 0 {
			is.Started = n.inferredStart
		}
		is.Reason = "released from hold-down, as no other node serves"
		r.publish(n, is, from)
	}
}
