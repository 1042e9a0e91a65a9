package fleettest

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// The words of the protocol between holders and the resource. Each line is a verb, a fencing token and the number of
// the holder; the answer is accepted or rejected.
const (
	verbBegin    = "begin"
	verbEnd      = "end"
	wordAccepted = "ok"
	wordRejected = "refused"
)

// resourceAction is an action of a holder on the resource.
type resourceAction struct {
	token      uint64
	begin, end time.Time
}

// fencingChecker is the resource that a lease protects. It rejects actions under old fencing tokens. It checks the
// rules from the messages that it receives, and trusts no other information of holders and voters.
type fencingChecker struct {
	listener net.Listener
	tasks    sync.WaitGroup

	mu               sync.Mutex
	unfenced         bool // no token is rejected, to show which faults fencing tokens prevent
	highestToken     uint64
	lastHolder       int // the holder that acted last
	openActions      map[*resourceAction]bool
	lastSeen         time.Time // when the latest message came
	committed        []resourceAction
	rejected         int // messages under a token lower than the highest
	concurrentStarts int // actions that began while another was open, which tokens protect the resource from
	tokenRegressions int // commits under a token lower than that of the commit before
	gaps             map[string]*hdrhistogram.Histogram
	gapBefore        time.Duration // time without a message before the first message under the highest token
	pendingCause     string        // fault of the last holder that began the current gap; "" for none
	pendingSince     time.Time
	conns            map[net.Conn]struct{}
}

func newFencingChecker() (*fencingChecker, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	c := &fencingChecker{
		listener:    l,
		openActions: make(map[*resourceAction]bool),
		gaps:        make(map[string]*hdrhistogram.Histogram),
		conns:       make(map[net.Conn]struct{}),
	}
	c.tasks.Go(c.accept)
	return c, nil
}

func (c *fencingChecker) accept() {
	for {
		conn, err := c.listener.Accept()
		if err != nil {
			return
		}
		c.mu.Lock()
		c.conns[conn] = struct{}{}
		c.mu.Unlock()
		c.tasks.Go(func() { c.serve(conn) })
	}
}

// serve answers the messages of one holder's connection.
func (c *fencingChecker) serve(conn net.Conn) {
	var action *resourceAction
	defer func() {
		c.mu.Lock()
		delete(c.conns, conn)
		delete(c.openActions, action)
		c.mu.Unlock()
		conn.Close()
	}()
	for in := bufio.NewScanner(conn); in.Scan(); {
		var verb string
		var token uint64
		var holder int
		fmt.Sscan(in.Text(), &verb, &token, &holder)
		answer := wordRejected
		if c.handle(&action, verb, token, holder) {
			answer = wordAccepted
		}
		if _, err := io.WriteString(conn, answer+"\n"); err != nil {
			return
		}
	}
}

// handle handles a message on a connection, and reports whether the message is accepted. *action is the last action
// that began on the connection.
func (c *fencingChecker) handle(action **resourceAction, verb string, token uint64, holder int) (ok bool) {
	now := time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case token < c.highestToken && !c.unfenced:
		c.rejected++
		delete(c.openActions, *action)
	case verb == verbBegin:
		ok = true
		c.beginLocked(token, holder, now)
		*action = &resourceAction{token: token, begin: now}
		c.openActions[*action] = true
	case verb == verbEnd && *action != nil && c.openActions[*action]:
		ok = true
		c.commitLocked(*action, token, now)
	}
	c.lastSeen = now
	return ok
}

// beginLocked records the start of an action. c.mu is held.
func (c *fencingChecker) beginLocked(token uint64, holder int, now time.Time) {
	if token > c.highestToken {
		c.recordGap(now)
		c.gapBefore = now.Sub(c.lastSeen)
	}
	if len(c.openActions) > 0 {
		c.concurrentStarts++
	}
	c.highestToken = max(c.highestToken, token)
	c.lastHolder = holder
}

// commitLocked records the end of an action. c.mu is held.
func (c *fencingChecker) commitLocked(action *resourceAction, token uint64, now time.Time) {
	action.end = now
	delete(c.openActions, action)
	if n := len(c.committed); n > 0 && c.committed[n-1].token > token {
		c.tokenRegressions++
	}
	c.committed = append(c.committed, *action)
}

// recentAction is the time after its last action for which a process is considered the holder.
const recentAction = 100 * time.Millisecond

// noteFault records a fault of a process. If the process is the holder, the time from now until the next holder's
// action counts as a gap with this cause.
func (c *fencingChecker) noteFault(cause string, process int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if process == c.lastHolder && time.Since(c.lastSeen) < recentAction {
		c.pendingCause = cause
		c.pendingSince = time.Now()
	}
}

// currentHolder returns the process that acted last; 0 for none.
func (c *fencingChecker) currentHolder() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.lastHolder
}

// recordGap records the time until a new holder's first action: from the fault of the last holder or, without one, from
// the last message. c.mu is held.
func (c *fencingChecker) recordGap(now time.Time) {
	cause, since := c.pendingCause, c.pendingSince
	if cause == "" {
		cause, since = causeReleased, c.lastSeen
	}
	c.pendingCause = ""
	if since.IsZero() {
		return
	}
	if c.gaps[cause] == nil {
		c.gaps[cause] = newGapHistogram()
	}
	c.gaps[cause].RecordValue(max(now.Sub(since).Microseconds(), 1))
}

// newGapHistogram returns a histogram of microseconds up to a minute.
func newGapHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, time.Minute.Microseconds(), 3)
}

func (c *fencingChecker) close() {
	c.listener.Close()
	c.mu.Lock()
	for conn := range c.conns {
		conn.Close()
	}
	c.mu.Unlock()
	c.tasks.Wait()
}

// maxOverlapDistance limits the number of later commits that each action is compared with.
const maxOverlapDistance = 64

// countOverlaps counts pairs of committed actions under different tokens that ran at the same time.
func (c *fencingChecker) countOverlaps() (count int) {
	for i := range c.committed {
		a := &c.committed[i]
		for k := i + 1; k < min(len(c.committed), i+maxOverlapDistance); k++ {
			b := &c.committed[k]
			if a.token != b.token && b.begin.Before(a.end) {
				count++
			}
		}
	}
	return count
}
