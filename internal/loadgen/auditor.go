package loadgen

import (
	"sync"
	"time"

	"mulleinpier/client"
)

const (
	// overdueLimit is how long after the deadline of its try an answer may arrive and count as overdue. A later answer
	// counts as lost.
	overdueLimit = 500 * time.Millisecond
	// nodeReportTime is the longest time until SeenByNode knows whether a node received a request.
	nodeReportTime = time.Second
	// lateAnswerTime is how long Finish waits for late answers.
	lateAnswerTime = 2 * time.Second
)

// TraceAuditor checks, by the traces of a library client, that proxies answer in time the requests that they receive.
// All its functions must be set. They are called from several goroutines.
type TraceAuditor struct {
	// SeenByNode reports whether a node has received the try with an ID. RecentlyKilled reports whether the process of
	// a proxy has just been killed.
	SeenByNode     func(id string) bool
	RecentlyKilled func(proxy string) bool

	OnTry            func()                        // a try was sent
	OnCrossedClose   func()                        // a proxy closed an idle connection as a try was sent on it
	OnKilledInFlight func()                        // a try was in flight at a proxy that was killed
	OnOverdue        func(by time.Duration)        // a try was answered shortly after its deadline
	OnLost           func(format string, a ...any) // a try was lost, with a description

	mu       sync.Mutex
	timedOut map[string]string // proxies of the tries that timed out, by ID of the try
	tasks    sync.WaitGroup
}

// The outcomes of [client.TryInfo] that the auditor checks.
const (
	outcomeNotSent        = "unsent"
	outcomeTimedOut       = "silent"
	outcomeConnectionLost = "broken"
	outcomeMalformed      = "spoilt"
)

// TryDone counts a try that has ended. The TryDone hook of [client.Trace] must call it.
func (a *TraceAuditor) TryDone(i client.TryInfo) {
	switch i.Outcome {
	case outcomeNotSent:
		return
	case outcomeTimedOut:
		a.mu.Lock()
		if a.timedOut == nil {
			a.timedOut = make(map[string]string)
		}
		a.timedOut[i.ID] = i.Proxy
		a.mu.Unlock()
	case outcomeConnectionLost:
		a.checkConnectionLost(i)
	case outcomeMalformed:
		a.OnLost("proxy %s answered %s with what is no answer to it", i.Proxy, i.ID)
	}
	a.OnTry()
}

// checkConnectionLost determines why the connection of a try ended. If the connection had been used before and no node
// received the try, the proxy closed the connection while it was idle, and the try counts as crossed, not as lost.
func (a *TraceAuditor) checkConnectionLost(i client.TryInfo) {
	if a.RecentlyKilled(i.Proxy) {
		a.OnKilledInFlight()
		return
	}
	a.tasks.Go(func() {
		time.Sleep(nodeReportTime)
		if i.ConnReused && !a.SeenByNode(i.ID) {
			a.OnCrossedClose()
		} else {
			a.OnLost("proxy %s ended the connection of %s after %v, used before: %v",
				i.Proxy, i.ID, i.Took, i.ConnReused)
		}
	})
}

// LateAnswer counts an answer to a try that has timed out. The LateAnswer hook of [client.Trace] must call it.
func (a *TraceAuditor) LateAnswer(i client.TryInfo) {
	a.mu.Lock()
	_, awaited := a.timedOut[i.ID]
	delete(a.timedOut, i.ID)
	a.mu.Unlock()
	if !awaited {
		return
	}
	by := i.Took - i.Wait
	if by > overdueLimit {
		a.OnLost("proxy %s answered %s %v after its deadline", i.Proxy, i.ID, by)
		return
	}
	a.OnOverdue(by)
}

// Finish waits 2 s for late answers, and then reports the tries that still have no answer as lost, or as in flight at a
// killed proxy. No other method may be running.
func (a *TraceAuditor) Finish() {
	time.Sleep(lateAnswerTime)
	a.tasks.Wait()
	a.mu.Lock()
	unanswered := a.timedOut
	a.timedOut = nil
	a.mu.Unlock()
	for id, proxy := range unanswered {
		if a.RecentlyKilled(proxy) {
			a.OnKilledInFlight()
		} else {
			a.OnLost("proxy %s never answered %s", proxy, id)
		}
	}
}
