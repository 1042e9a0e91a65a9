package core

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"log/slog"
	"net"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"mulleinpier/internal/discovery"
	"mulleinpier/internal/membership"
	"mulleinpier/internal/request"
	"mulleinpier/internal/takeover"
	"mulleinpier/internal/testutil"
	"mulleinpier/internal/upstream"
	"mulleinpier/policy"
)

// fakeCoordinator notes what a core asks and settles.
type fakeCoordinator struct {
	full, strict bool

	mu       sync.Mutex
	claims   []uint64
	outcomes map[uint64]takeover.Outcome
}

func (d *fakeCoordinator) Claim(id uint64, _ *request.Request, _ time.Duration, _ time.Time) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if !d.full {
		d.claims = append(d.claims, id)
	}
	return !d.full
}

func (d *fakeCoordinator) Complete(id uint64, outcome takeover.Outcome, _ string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.outcomes[id] = outcome
}

func (d *fakeCoordinator) RequiresReplica() bool { return d.strict }

// outcome is what a work was settled as, 0 for not yet.
func (d *fakeCoordinator) outcome(id uint64) takeover.Outcome {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.outcomes[id]
}

// recordedReply is a Reply that keeps the answer.
type recordedReply struct{ answers chan request.Answer }

func newRecordedReply() *recordedReply            { return &recordedReply{make(chan request.Answer, 4)} }
func (h *recordedReply) Finish(a *request.Answer) { h.answers <- *a }
func (h *recordedReply) Release()                 {}

// coreWithCoordinator is a core whose one node stores whatever comes, and the commands that have come to it.
func coreWithCoordinator(t *testing.T, d *fakeCoordinator) (c *Core, came func() []string) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	var mu sync.Mutex
	var lines []string
	go func() {
		for {
			socket, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer socket.Close()
				for in := bufio.NewScanner(socket); in.Scan(); {
					words := strings.Fields(in.Text())
					if len(words) == 0 || words[0] != "ms" {
						continue
					}
					mu.Lock()
					lines = append(lines, in.Text())
					mu.Unlock()
					for _, w := range words {
						if strings.HasPrefix(w, "O") {
							io.WriteString(socket, fmt.Sprintf("HD %s c7\r\n", w))
						}
					}
				}
			}()
		}
	}()
	at := listener.Addr().String()
	c, err = New(&Config{ListSources: []discovery.SourceConfig{{StaticAddresses: at}}, InitialList: discovery.StaticList(at), ReconcileLists: true, Membership: membership.DefaultLimits, MaxInFlight: 100,
		Policy: policy.Settings{ProxyCount: 1, OriginKind: -1, EventInterval: 5 * time.Millisecond, Limits: policy.Limits{MaxAttempts: 1},
			Classes: []policy.Class{{Name: "write", LatencyObjective: 20 * time.Second, Deadline: time.Minute, PriorityWeight: 1, Idempotency: policy.IdempotentWithKey, DedupWindow: 30 * time.Second}}},
		Upstream: upstream.Limits{MaxPerNode: 4, MaxConnections: 4, MaxPipelined: 64, ConnectTimeout: time.Minute, IdleTimeout: time.Minute, SilenceTimeout: time.Minute}}, slog.New(slog.DiscardHandler))
	if err != nil {
		t.Fatal(err)
	}
	d.outcomes = make(map[uint64]takeover.Outcome)
	c.SetTakeoverCoordinator(d)
	ctx, cancel := context.WithCancel(context.Background())
	var task sync.WaitGroup
	task.Go(func() { c.Run(ctx) })
	t.Cleanup(func() {
		cancel()
		task.Wait()
		listener.Close()
	})
	return c, func() []string {
		mu.Lock()
		defer mu.Unlock()
		return slices.Clone(lines)
	}
}

func keyedWrite(id string) *request.Request {
	return &request.Request{Verb: request.Set, Key: "order", ID: id, Class: "write", IdempotencyKey: "k" + id, Value: []byte("x\r\n")[:1], Timeout: -1}
}

// TestNothingGoesOutWithoutLeave walks a keyed write through each verdict: only with leave does anything come to a node, and
// each is answered once.
func TestNothingGoesOutWithoutLeave(t *testing.T) {
	d := &fakeCoordinator{}
	c, came := coreWithCoordinator(t, d)
	for i, x := range []struct {
		verdict takeover.Verdict
		want    request.AnswerKind
	}{{takeover.ReturnReceipt, request.Stored}, {takeover.OutcomeUnknown, request.Failed}, {takeover.KeyConflict, request.Invalid}, {takeover.Reject, request.Busy}} {
		h := newRecordedReply()
		c.Submit(keyedWrite(fmt.Sprint(i)), h)
		if !c.ClaimDecided(d.claims[i], x.verdict, 0, "r") {
			t.Errorf("verdict %d is not wanted", x.verdict)
		}
		if a := testutil.Receive(t, "an answer", h.answers); a.Kind != x.want || x.verdict == takeover.ReturnReceipt && a.Receipt != "r" {
			t.Errorf("verdict %d: answered %+v", x.verdict, a)
		}
		if c.ClaimDecided(d.claims[i], takeover.Proceed, time.Minute, "") {
			t.Errorf("verdict %d: it is wanted twice", x.verdict)
		}
	}
	if lines := came(); len(lines) != 0 {
		t.Errorf("came to the node: %q", lines)
	}
	h := newRecordedReply()
	c.Submit(keyedWrite("sent"), h)
	id := d.claims[4]
	c.ClaimDecided(id, takeover.Proceed, time.Minute, "")
	if a := testutil.Receive(t, "an answer", h.answers); a.Kind != request.Stored || d.outcome(id) != takeover.Served {
		t.Errorf("answered %+v, settled %d", a, d.outcome(id))
	}
	h = newRecordedReply()
	c.Submit(keyedWrite("late"), h)
	id = d.claims[5]
	c.ClaimDecided(id, takeover.Proceed, 0, "") // its leave is over before anything can go out
	if a := testutil.Receive(t, "an answer", h.answers); a.Kind == request.Stored {
		t.Errorf("sent after its leave: %+v", a)
	}
	testutil.WaitUntil(t, "it to be settled", func() bool { return d.outcome(id) != 0 })
	if lines := came(); len(lines) != 1 {
		t.Errorf("came to the node: %q", lines)
	}
	d.full, d.strict = true, true
	h = newRecordedReply()
	c.Submit(keyedWrite("full"), h)
	if a := testutil.Receive(t, "an answer", h.answers); a.Kind != request.Busy {
		t.Errorf("no room, strict: %+v", a)
	}
	d.strict = false
	h = newRecordedReply()
	c.Submit(keyedWrite("plain"), h)
	if a := testutil.Receive(t, "an answer", h.answers); a.Kind != request.Stored {
		t.Errorf("no room, plainly: %+v", a)
	}
}

// TestWorkOutlivesItsClient has a client leave after its write had leave, and another proxy's work be adopted: both go on,
// and are settled.
func TestWorkOutlivesItsClient(t *testing.T) {
	d := &fakeCoordinator{}
	c, came := coreWithCoordinator(t, d)
	early := c.Submit(keyedWrite("early"), newRecordedReply())
	c.ClientDisconnected([]*InFlightRequest{early}) // before any leave: nothing is to be sent
	if c.ClaimDecided(d.claims[0], takeover.Proceed, time.Minute, "") {
		t.Error("leave for one whose client had left")
	}
	h := newRecordedReply()
	held := c.Submit(keyedWrite("a"), h)
	c.mu.Lock() // its client leaves before its node can answer
	held.claim, held.sendBefore = claimGranted, c.now()+time.Minute
	c.mu.Unlock()
	c.ClientDisconnected([]*InFlightRequest{held})
	c.mu.Lock()
	c.admit(held)
	c.mu.Unlock()
	testutil.WaitUntil(t, "it to be settled", func() bool { return d.outcome(d.claims[1]) == takeover.Served })
	id, ok := c.ResumeWrite(keyedWrite("b"), time.Minute)
	if !ok {
		t.Fatal("not adopted")
	}
	testutil.WaitUntil(t, "the adopted one to be settled", func() bool { return d.outcome(id) == takeover.Served })
	if lines := came(); len(lines) != 2 || len(h.answers) != 0 {
		t.Errorf("came to the node: %q; %d answers to a client that had left", lines, len(h.answers))
	}
}
