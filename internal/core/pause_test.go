package core

import (
	"bufio"
	"fmt"
	"log/slog"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"mulleinpier/internal/pause"
	"mulleinpier/internal/request"
	"mulleinpier/internal/testutil"
	"mulleinpier/policy"
)

// atomicReply is a Reply whose count of answers may be read while the core uses it.
type atomicReply struct{ finished atomic.Int64 }

func (r *atomicReply) Finish(*request.Answer) { r.finished.Add(1) }
func (r *atomicReply) Release()               {}

// TestDeferredSendsAreReleasedInBatches checks that sends that are decided while the list is fetched after a pause are
// deferred, because they must be checked against the new list (guarantee 5). Then they are released in batches. Each is
// written as soon as it is released, and none is deferred a second time.
func TestDeferredSendsAreReleasedInBatches(t *testing.T) {
	var written atomic.Int64
	address := testutil.ServeConnections(t, func(connection net.Conn) {
		for lines := bufio.NewScanner(connection); lines.Scan(); {
			written.Add(1)
		}
	})
	c, err := New(oneNodeConfig(address, policy.Class{Name: "read"}), slog.New(slog.DiscardHandler))
	if err != nil {
		t.Fatal(err)
	}
	limits := pause.Limits{
		CheckInterval:   pause.DefaultLimits.CheckInterval,
		MinPause:        time.Minute,
		MaxDeferral:     time.Hour,
		ReleaseBatch:    4,
		ReleaseInterval: time.Minute,
	}
	now := 2 * time.Minute // ahead of the core's clock: the core's own checks have no effect
	handle := func(event pause.Event) {
		c.mu.Lock()
		defer c.mu.Unlock()
		c.handlePauseEvent(now, event)
	}
	c.pause.detector = pause.New(limits, pause.ClockReading{})
	handle(pause.ClockChecked{})
	reply := &atomicReply{}
	for i := range 10 {
		id := fmt.Sprint(i)
		c.Submit(&request.Request{Verb: request.Get, Key: id, ID: id, Class: "read", Timeout: -1}, reply)
	}
	if n := len(c.pause.deferred); n != 10 || reply.finished.Load() != 0 || isClosed(c.Resumed()) {
		t.Fatalf("%d deferred, want 10; %d answered; resumed: %v",
			n, reply.finished.Load(), isClosed(c.Resumed()))
	}
	for _, want := range []int64{4, 8} {
		handle(pause.ListsRefreshed{})
		testutil.WaitUntil(t, fmt.Sprint(want, " to be written"), func() bool { return written.Load() == want })
		now += limits.ReleaseInterval
	}
	handle(pause.ListsRefreshed{})
	testutil.WaitUntil(t, "all to be written", func() bool { return written.Load() == 10 })
	if !isClosed(c.Resumed()) {
		t.Error("not resumed, although nothing is deferred")
	}
}
