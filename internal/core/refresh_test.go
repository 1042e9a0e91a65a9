package core

import (
	"testing"

	"mulleinpier/internal/membership"
)

// TestOutdatedListAfterPauseIsIgnored checks that a proxy that reconciles its sources ignores an outdated list. The
// proxy requests the complete list after a pause, then a watch reports a drain, and then the complete list arrives,
// which is older than the drain.
func TestOutdatedListAfterPauseIsIgnored(t *testing.T) {
	source := startSource(t)
	config := oneSourceConfig(false, source.addr)
	config.ReconcileLists, config.Membership = true, membership.DefaultLimits
	c := runCore(t, config)
	watch := source.firstWatch(t, c, 8)
	signal(c.pause.refresh)
	list := source.next(t, "a fetch of the list")
	watch.sendList(9, false, "draining")
	c.expectServing(t, "the drain to take effect", false)
	list.sendHeader()
	list.sendList(8, true, "up")
	list.Close()
	signal(c.pause.refresh)
	source.next(t, "one more fetch of the list").Close() // fetches are sequential: the previous list has been handled
	if c.HasServingNodes() {
		t.Error("an outdated list has undone the drain of the node")
	}
	watch.sendList(10, false, "up")
	c.expectServing(t, "a newer list to take effect", true)
	// A restarted service begins again with a low version.
	watch.Close()
	watch = source.next(t, "a new watch")
	watch.sendHeader()
	watch.sendList(2, true, "draining")
	c.expectServing(t, "the list of a restarted service to take effect", false)
	watch.sendList(3, false, "up")
	c.expectServing(t, "its changes to take effect", true)
}
