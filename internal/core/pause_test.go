package core

import (
	"bufio"
	"fmt"
	"log/slog"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"mulleinpier/internal/discovery"
	"mulleinpier/internal/membership"
	"mulleinpier/internal/pause"
	"mulleinpier/internal/request"
	"mulleinpier/internal/testutil"
	"mulleinpier/internal/upstream"
	"mulleinpier/policy"
)

// atomicReply is a Reply that anybody may look at.
type atomicReply struct{ finished atomic.Int64 }

func (r *atomicReply) Finish(*request.Answer) { r.finished.Add(1) }
func (r *atomicReply) Release()               {}

// TestHeldSendsGoInPortions guards the waking of a proxy: what is decided while the list is asked
// for is held; then it goes in portions, each written as soon as it is let go, and none is held twice.
func TestHeldSendsGoInPortions(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	var written atomic.Int64
	go func() {
		for {
			socket, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				for in := bufio.NewScanner(socket); in.Scan(); {
					written.Add(1)
				}
			}()
		}
	}()
	at := listener.Addr().String()
	c, err := New(&Config{ListSources: []discovery.SourceConfig{{StaticAddresses: at}}, InitialList: discovery.StaticList(at), ReconcileLists: true, Membership: membership.DefaultLimits, MaxInFlight: 100,
		Policy: policy.Settings{ProxyCount: 1, OriginKind: -1, EventInterval: 5 * time.Millisecond, Limits: policy.Limits{MaxAttempts: 1},
			Classes: []policy.Class{{Name: "read", LatencyObjective: 20 * time.Second, Deadline: time.Minute, PriorityWeight: 1}}},
		Upstream: upstream.Limits{MaxPerNode: 4, MaxConnections: 4, MaxPipelined: 64, ConnectTimeout: time.Minute, IdleTimeout: time.Minute, SilenceTimeout: time.Minute}}, slog.New(slog.DiscardHandler))
	if err != nil {
		t.Fatal(err)
	}
	limits := pause.Limits{CheckInterval: pause.DefaultLimits.CheckInterval, MinPause: time.Minute, MaxHold: time.Hour, ReleaseBatch: 4, ReleaseInterval: time.Minute}
	now := 2 * time.Minute // ahead of the clock, so that no look of others counts
	tell := func(event pause.Event) {
		c.mu.Lock()
		defer c.mu.Unlock()
		c.handlePauseEvent(now, event)
	}
	c.pause.detector = pause.New(limits, pause.ClockReading{})
	tell(pause.ClockChecked{})
	reply := &atomicReply{}
	for i := range 10 {
		c.Submit(&request.Request{Verb: request.Get, Key: fmt.Sprint(i), ID: fmt.Sprint(i), Class: "read", Timeout: -1}, reply)
	}
	if n := len(c.pause.deferred); n != 10 || reply.finished.Load() != 0 || isClosed(c.Resumed()) {
		t.Fatalf("%d held, %d answered, awake: %v", n, reply.finished.Load(), isClosed(c.Resumed()))
	}
	for _, want := range []int64{4, 8} {
		tell(pause.ListsRefreshed{})
		testutil.WaitUntil(t, fmt.Sprint(want, " to be written"), func() bool { return written.Load() == want })
		now += limits.ReleaseInterval
	}
	tell(pause.ListsRefreshed{})
	testutil.WaitUntil(t, "all to be written", func() bool { return written.Load() == 10 })
	if !isClosed(c.Resumed()) {
		t.Error("not awake, with nothing held")
	}
}
