package core

import (
	"testing"

	"mulleinpier/internal/membership"
)

// TestOutdatedListAfterPauseIsIgnored guards a proxy that reconciles its sources: the complete list that it fetches
// after a pause arrives after a watch has reported a drain, and is older.
func TestOutdatedListAfterPauseIsIgnored(t *testing.T) {
	source := startSource(t)
	config := oneSourceConfig(false, source.addr)
	config.ReconcileLists, config.Membership = true, membership.DefaultLimits
	c := runCore(t, config)
	watch := source.firstWatch(t, c, 8)
	signal(c.pause.refresh)
	list := source.next(t, "a fetch of the list")
	watch.sendList(9, false, "draining")
	c.expectServing(t, "the drain to be heeded", false)
	list.sendHeader()
	list.sendList(8, true, "up")
	list.Close()
	signal(c.pause.refresh)
	source.next(t, "one more fetch of the list").Close() // fetches are made in turn: the previous one is applied
	if c.HasServingNodes() {
		t.Error("an outdated list has undone that the node drains")
	}
	watch.sendList(10, false, "up")
	c.expectServing(t, "a newer list to be heeded", true)
	// A service that has restarted counts from the start.
	watch.Close()
	watch = source.next(t, "a new watch")
	watch.sendHeader()
	watch.sendList(2, true, "draining")
	c.expectServing(t, "the list of a restarted service to be heeded", false)
	watch.sendList(3, false, "up")
	c.expectServing(t, "its changes to be heeded", true)
}
