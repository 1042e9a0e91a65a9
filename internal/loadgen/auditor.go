package loadgen

import (
	"sync"
	"time"

	"mulleinpier/client"
)

const (
	// overdueLimit is how long after its try was given up an answer counts as overdue; a later one counts as lost.
	overdueLimit = 500 * time.Millisecond
	// nodeReportTime is how long it takes at most until it is known whether a node received a request.
	nodeReportTime = time.Second
	// lateAnswerTime is how long late answers are awaited at the end.
	lateAnswerTime = 2 * time.Second
)

// TraceAuditor checks, by the traces of a library client, that proxies answer in time what they receive. All its
// functions are needed, and are called on several goroutines.
type TraceAuditor struct {
	// SeenByNode reports whether a node has received a try, RecentlyKilled whether a proxy's process was just killed.
	SeenByNode     func(id string) bool
	RecentlyKilled func(proxy string) bool

	OnTry            func()                        // a try was sent
	OnCrossedClose   func()                        // a try crossed the close of its idle connection
	OnKilledInFlight func()                        // a try was in flight at a proxy that was killed
	OnOverdue        func(by time.Duration)        // a try was answered shortly after its deadline
	OnLost           func(format string, a ...any) // a try was lost, with a description

	mu       sync.Mutex
	timedOut map[string]string // proxies of the tries that timed out, by the tries' ids
	tasks    sync.WaitGroup
}

// The outcomes of [client.TryInfo] that matter here.
const (
	outcomeNotSent        = "unsent"
	outcomeTimedOut       = "silent"
	outcomeConnectionLost = "broken"
	outcomeMalformed      = "spoilt"
)

// TryDone is to be called by the hook of that name.
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

// checkConnectionLost finds out why a connection ended: the request may have crossed the close of an idle connection.
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

// LateAnswer is to be called by the hook of that name.
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

// Finish waits for late answers and checks all that is left. No call may be in progress.
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
