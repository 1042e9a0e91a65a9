package fleettest

import (
	"bytes"
	"errors"
	"net"
	"time"

	"mulleinpier/internal/fake/rawclient"
	"mulleinpier/internal/meta"
	"mulleinpier/internal/request"
)

// This file decides whether the end of an attempt breaks the rules or is excused by a fault that the test injected.

// extraTolerance returns the part of the recorder's tolerance that covers delays of the test process itself.
func (w *workload) extraTolerance() time.Duration { return w.recorder.tolerance() - baseTolerance }

func isTimeout(err error) bool {
	var timeout net.Error
	return errors.As(err, &timeout) && timeout.Timeout()
}

// judgeNoAnswer decides the result of an attempt that got no complete answer.
func (w *workload) judgeNoAnswer(
	p *proxyInstance, conn *clientConn, id string, sent time.Time, wait time.Duration, err error,
) outcome {
	link := w.fleet.links.clients[p.index]
	if isTimeout(err) && link != nil && link.FaultySince(sent) {
		// The link delivers the request that it holds back together with the end of the connection, as for any client
		// that gives up. A late answer would therefore say nothing about the proxy.
		conn.socket.Close()
		w.recorder.atCutLink()
		return timedOut
	}
	if isTimeout(err) {
		w.tasks.Go(func() { w.watchLateAnswer(p, conn, id, sent, sent.Add(wait)) })
		return timedOut
	}
	conn.socket.Close()
	if errors.Is(err, meta.ErrMalformedAnswer) || errors.Is(err, rawclient.ErrMalformedAnswer) {
		w.recorder.wrongAnswer("proxy %d sent a malformed answer to %s", p.index, id)
		return failed
	}
	return w.judgeConnectionLost(p, conn, id, sent, err)
}

// judgeConnectionLost decides the result of an attempt whose connection ended before the answer.
func (w *workload) judgeConnectionLost(
	p *proxyInstance, conn *clientConn, id string, sent time.Time, err error,
) outcome {
	took := time.Since(sent)
	if w.isExcused(p, sent, sent.Add(took)) {
		return timedOut
	}
	if p.wasKilledSince(conn.dialedAt, sent) {
		w.recorder.atKilledProxy()
		return timedOut // the request may have been executed; the client decides whether to retry it
	}
	if !conn.used || took >= closeRaceTime+w.extraTolerance() {
		w.recorder.lost("proxy %d closed the connection of %s after %v (used before: %v): %v",
			p.index, id, took.Round(time.Millisecond), conn.used, err)
		return timedOut
	}
	if conn.binary {
		// Nodes identify a binary write by its value, which the next attempt sends again. The next attempt is therefore
		// delayed until this attempt would have arrived at a node.
		time.Sleep(nodeArrivalTime)
		w.judgeCloseRace(p, id)
		return crossedClose
	}
	// If the proxy did read the request, the request counts as lost. The node may receive it only after a while.
	w.tasks.Go(func() {
		time.Sleep(lateWatchTime)
		w.judgeCloseRace(p, id)
	})
	return crossedClose
}

// wasKilledSince reports whether the proxy was killed after a connection was dialed, no more than processTimeout before
// a request was sent, and less than processTimeout ago. A connection that was dialed after the kill leads to another
// process.
func (p *proxyInstance) wasKilledSince(dialed, sent time.Time) bool {
	p.mu.Lock()
	killed := p.killedAt
	p.mu.Unlock()
	return killed.After(dialed) && killed.After(sent.Add(-processTimeout)) && time.Since(killed) < processTimeout
}

// judgeCloseRace counts a request that was sent just as the proxy closed its idle connection: as lost if a node has
// received the request, and as excused otherwise.
func (w *workload) judgeCloseRace(p *proxyInstance, id string) {
	if w.fleet.seenByNode(id) {
		w.recorder.lost("proxy %d accepted %s and closed its connection unanswered", p.index, id)
		return
	}
	w.recorder.crossedClose()
}

// longAgo is much longer than closeRaceTime: a connection that ends longAgo after a request is no close race.
const longAgo = time.Minute

// watchLateAnswer waits for a late answer on a connection whose client has given up. It counts an answer within the
// tolerance as overdue, and anything else as lost unless a fault excuses it.
func (w *workload) watchLateAnswer(p *proxyInstance, conn *clientConn, id string, sent, deadline time.Time) {
	defer conn.socket.Close()
	conn.socket.SetDeadline(deadline.Add(lateWatchTime + w.recorder.tolerance()))
	_, _, err := conn.readAnswer()
	by := time.Since(deadline)
	switch {
	case err == nil && by <= w.recorder.tolerance():
		w.recorder.overdue(by)
	case w.isExcused(p, sent, deadline):
	case err == nil:
		w.recorder.lost("proxy %d answered %s %v after its deadline", p.index, id, by.Round(time.Millisecond))
	case isTimeout(err):
		w.recorder.lost("proxy %d never answered %s", p.index, id)
	default:
		w.judgeConnectionLost(p, conn, id, deadline.Add(-longAgo), err) // longAgo rules out a close race
	}
}

// judgeAnswer checks an answer. It releases the connection, or closes it after a wrong answer.
func (w *workload) judgeAnswer(
	p *proxyInstance, conn *clientConn, q *clientRequest, id string, a *meta.AnswerLine, value []byte,
) (result outcome, retryAfter time.Duration) {
	if conn.reader.Buffered() > 0 {
		conn.socket.Close()
		w.recorder.wrongAnswer("proxy %d sent more than one answer to %s", p.index, id)
		return failed, 0
	}
	if conn.binary {
		a.ID = []byte(id) // a binary answer has no id; readBinaryAnswer has compared the opaque
	}
	if a.Kind == request.Value || a.Kind == request.Stored {
		if !q.isAnsweredBy(a, id, value) {
			conn.socket.Close()
			w.recorder.wrongAnswer("proxy %d answered %s of %s with %q for %q", p.index, id, q.key, value, a.ID)
			return failed, 0
		}
		w.release(p, conn)
		return served, 0
	}
	w.release(p, conn)
	if a.Kind == request.Busy {
		return refused, time.Duration(a.ValueLen) * time.Millisecond
	}
	return failed, 0
}

// isAnsweredBy reports whether a positive answer belongs to the request, which was sent with this id.
func (q *clientRequest) isAnsweredBy(a *meta.AnswerLine, id string, value []byte) bool {
	if string(a.ID) != id {
		return false
	}
	if q.class.isWrite {
		return a.Kind == request.Stored && len(a.Receipt) > 0
	}
	return a.Kind == request.Value && bytes.HasPrefix(value, append([]byte(q.key), ' '))
}

// isExcused reports whether an attempt could not be answered in time because the process was stopped or the link to it
// failed, and counts it if so.
func (w *workload) isExcused(p *proxyInstance, sent, deadline time.Time) bool {
	if p.wasStopped(deadline, resumeTime+w.extraTolerance()) {
		w.recorder.atStoppedProxy()
		return true
	}
	if link := w.fleet.links.clients[p.index]; link != nil && link.FaultySince(sent) {
		w.recorder.atCutLink()
		return true
	}
	return false
}
