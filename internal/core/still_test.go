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

// replies is a Reply that anybody may look at.
type replies struct{ finished atomic.Int64 }

func (r *replies) Finish(*request.Answer) { r.finished.Add(1) }
func (r *replies) Release()               {}

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
	c, err := New(&Config{Places: []discovery.Place{{Fixed: at}}, Known: discovery.FixedList(at), Infer: true, Membership: membership.Usual, MostHeld: 100,
		Policy: policy.Settings{Proxies: 1, Origin: -1, Tick: 5 * time.Millisecond, Limits: policy.Limits{MaxAttempts: 1},
			Classes: []policy.Class{{Name: "read", Aim: 20 * time.Second, Deadline: time.Minute, Worth: 1}}},
		Upstream: upstream.Limits{PerNode: 4, All: 4, Streams: 64, Connect: time.Minute, Idle: time.Minute, Silent: time.Minute}}, slog.New(slog.DiscardHandler))
	if err != nil {
		t.Fatal(err)
	}
	limits := pause.Limits{Tick: pause.Usual.Tick, Least: time.Minute, Wake: time.Hour, Burst: 4, Pause: time.Minute}
	now := 2 * time.Minute // ahead of the clock, so that no look of others counts
	tell := func(event pause.Event) {
		c.mu.Lock()
		defer c.mu.Unlock()
		c.stands(now, event)
	}
	c.still.module = pause.New(limits, pause.Reading{})
	tell(pause.Look{})
	reply := &replies{}
	for i := range 10 {
		c.Arrive(&request.Request{Verb: request.Get, Key: fmt.Sprint(i), ID: fmt.Sprint(i), Class: "read", Wait: -1}, reply)
	}
	if n := len(c.still.parked); n != 10 || reply.finished.Load() != 0 || isClosed(c.Awake()) {
		t.Fatalf("%d held, %d answered, awake: %v", n, reply.finished.Load(), isClosed(c.Awake()))
	}
	for _, want := range []int64{4, 8} {
		tell(pause.Heard{})
		testutil.Until(t, fmt.Sprint(want, " to be written"), func() bool { return written.Load() == want })
		now += limits.Pause
	}
	tell(pause.Heard{})
	testutil.Until(t, "all to be written", func() bool { return written.Load() == 10 })
	if !isClosed(c.Awake()) {
		t.Error("not awake, with nothing held")
	}
}
