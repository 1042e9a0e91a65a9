package fleettest

import (
	"strconv"
	"strings"
	"time"
)

const (
	// drainGrace is how long after a proxy was notified of a drain its requests may still reach the node: the
	// platform's limit of 500 ms, and 50 ms for the delays of real sockets.
	drainGrace = 500*time.Millisecond + 50*time.Millisecond
	// seenRetention is how long a received request is remembered at least; at most it is twice that.
	seenRetention = 5 * time.Second
)

// requestArrived is called for each request that arrives at a node. The id of a request from a binary client, or at a
// binary node, does not name its proxy: such a write is identified by its value, and a drain counts from the time at
// which the last proxy was notified.
func (f *fleet) requestArrived(node, id, value string, at time.Time) {
	proxy := proxyOf(id)
	notified, draining := f.drainNotifiedAt(proxy, node)
	// A faulty link may have held back the request, or the notification of the drain.
	draining = draining && !f.links.nodeLinkFaulty(proxy, node, notified) && !f.links.listLinkFaulty(proxy, notified)
	f.mu.Lock()
	defer f.mu.Unlock()
	f.recordSeenLocked(proxy, id, value, at)
	if !draining {
		return
	}
	after := at.Sub(notified)
	f.lastAfterDrain = max(f.lastAfterDrain, after)
	if after > drainGrace {
		f.lateDrains++
		f.maxLateDrain = max(f.maxLateDrain, after)
	}
}

// recordSeenLocked records that a node has received a request. f.mu must be held.
func (f *fleet) recordSeenLocked(proxy int, id, value string, at time.Time) {
	if at.Sub(f.seenRotatedAt) > seenRetention {
		f.seenIDs[0] = f.seenIDs[1]
		f.seenIDs[1] = make(map[string]struct{})
		f.seenRotatedAt = at
	}
	if id != "" {
		f.seenIDs[1][id] = struct{}{}
	}
	if value != "" && proxy < 0 {
		f.seenIDs[1][value] = struct{}{}
	}
}

// drainNotifiedAt returns when a proxy was notified that a node drains; for a negative proxy, when the last of all
// proxies was notified, and false until all have been.
func (f *fleet) drainNotifiedAt(proxy int, node string) (last time.Time, draining bool) {
	if proxy >= 0 {
		return f.directory.notifiedAt(proxy, node)
	}
	for i := range f.scenario.Fleet.Proxies {
		notified, draining := f.directory.notifiedAt(i, node)
		if !draining {
			return last, false
		}
		if notified.After(last) {
			last = notified
		}
	}
	return last, true
}

// seenByNode reports whether a node has received a request with this id, or a binary write with this value, recently.
func (f *fleet) seenByNode(id string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	_, older := f.seenIDs[0][id]
	_, newer := f.seenIDs[1][id]
	return older || newer
}

// proxyOf returns the number of the proxy that a request was sent to, which is part of its id; -1 if the id names none.
func proxyOf(id string) int {
	rest, ok := strings.CutPrefix(id, "p")
	number, _, _ := strings.Cut(rest, "-")
	n, err := strconv.Atoi(number)
	if !ok || err != nil {
		return -1
	}
	return n
}
