package loadgen

import (
	"sync"
	"time"

	"mulleinpier/client"
)

const (
	// An answer this much after its try was given up counts as overdue; a later one as lost.
	slack = 500 * time.Millisecond
	// What a node has seen of a broken connection's request is known after so long.
	seeTime = time.Second
	// How long late answers are waited for at the end.
	settleTime = 2 * time.Second
)

// TraceAuditor judges by a library client's traces whether proxies keep the rule that what they take is answered
// in time. All its functions are needed, and called on several goroutines.
type TraceAuditor struct {
	// SeenByNode tells whether a node has seen a try, Excused whether a proxy was killed outright just now.
	SeenByNode     func(id string) bool
	RecentlyKilled func(proxy string) bool
	// What is told of: a try that was sent; one that crossed a close between requests; one that was out at a
	// killed proxy; one answered just after its deadline; one that was lost.
	OnTry, OnCrossedClose, OnKilledInFlight func()
	OnOverdue                               func(by time.Duration)
	OnLost                                  func(format string, a ...any)

	mu     sync.Mutex
	silent map[string]string // tries that were given up, by id: their proxy
	tasks  sync.WaitGroup
}

// TryDone is the hook of that name.
func (u *TraceAuditor) TryDone(i client.TryInfo) {
	switch i.Outcome {
	case "unsent":
		return
	case "silent":
		u.mu.Lock()
		if u.silent == nil {
			u.silent = make(map[string]string)
		}
		u.silent[i.ID] = i.Proxy
		u.mu.Unlock()
	case "broken":
		u.broken(i)
	case "spoilt":
		u.OnLost("proxy %s answered %s with what is no answer to it", i.Proxy, i.ID)
	}
	u.OnTry()
}

// broken judges a request whose connection ended: it may have crossed a close between requests.
func (u *TraceAuditor) broken(i client.TryInfo) {
	if u.RecentlyKilled(i.Proxy) {
		u.OnKilledInFlight()
		return
	}
	u.tasks.Go(func() {
		time.Sleep(seeTime)
		if i.ConnReused && !u.SeenByNode(i.ID) {
			u.OnCrossedClose()
		} else {
			u.OnLost("proxy %s ended the connection of %s after %v, used before: %v", i.Proxy, i.ID, i.Took, i.ConnReused)
		}
	})
}

// LateAnswer is the hook of that name.
func (u *TraceAuditor) LateAnswer(i client.TryInfo) {
	u.mu.Lock()
	_, waits := u.silent[i.ID]
	delete(u.silent, i.ID)
	u.mu.Unlock()
	if !waits {
		return
	}
	if by := i.Took - i.Wait; by > slack {
		u.OnLost("proxy %s answered %s %v after its deadline", i.Proxy, i.ID, by)
	} else {
		u.OnOverdue(by)
	}
}

// Finish waits for what is still to be judged, and judges it. No call may be under way.
func (u *TraceAuditor) Finish() {
	time.Sleep(settleTime)
	u.tasks.Wait()
	u.mu.Lock()
	silent := u.silent
	u.silent = nil
	u.mu.Unlock()
	for id, proxy := range silent {
		if u.RecentlyKilled(proxy) {
			u.OnKilledInFlight()
		} else {
			u.OnLost("proxy %s never answered %s", proxy, id)
		}
	}
}
