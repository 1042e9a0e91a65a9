package fleettest

import (
	"strconv"
	"strings"
	"time"
)

const (
	// drainGrace is how long after a proxy was notified of a drain its requests may reach the node: the platform's
	// rule, and what the protocol page adds for real sockets.
	drainGrace = 500*time.Millisecond + 50*time.Millisecond
	// seenMemory is how long at least a received request is remembered, and twice that at most.
	seenMemory = 5 * time.Second
)

// requestArrived is called for each request that comes to a node. A request of a binary client, or at a binary node,
// has no id that names its proxy: a write is known by its value then, and a drain counts from the time at which the
// last proxy was notified.
func (f *fleet) requestArrived(node, id, value string, at time.Time) {
	proxy := proxyOf(id)
	notified, draining := f.drainNotifiedAt(proxy, node)
	// What a link held back was sent before.
	draining = draining && !f.links.nodeLinkFaulty(proxy, node, notified) && !f.links.listLinkFaulty(proxy, notified)
	f.mu.Lock()
	defer f.mu.Unlock()
	f.rememberLocked(proxy, id, value, at)
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

// rememberLocked notes that a node has received a request. f.mu is held.
func (f *fleet) rememberLocked(proxy int, id, value string, at time.Time) {
	if at.Sub(f.seenRotatedAt) > seenMemory {
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

// drainNotifiedAt returns when a proxy was notified that a node drains; with a negative number, when the last of all
// proxies was.
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

// seenByNode reports whether a node has received a request recently.
func (f *fleet) seenByNode(id string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	_, older := f.seenIDs[0][id]
	_, newer := f.seenIDs[1][id]
	return older || newer
}

// proxyOf returns the number of the proxy that a request was sent to, which is part of its id; -1 if it is not.
func proxyOf(id string) int {
	rest, ok := strings.CutPrefix(id, "p")
	number, _, _ := strings.Cut(rest, "-")
	n, err := strconv.Atoi(number)
	if !ok || err != nil {
		return -1
	}
	return n
}
