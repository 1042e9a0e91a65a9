package core

import (
	"bufio"
	"context"
	"fmt"
	"log/slog"
	"net"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"mulleinpier/internal/request"
	"mulleinpier/internal/takeover"
	"mulleinpier/internal/testutil"
	"mulleinpier/policy"
)

// fakeCoordinator is a TakeoverCoordinator that records the claims and outcomes of writes.
type fakeCoordinator struct {
	full     bool // there is no capacity for claims
	required bool // writes without a claim are rejected

	mu       sync.Mutex
	claims   []uint64
	outcomes map[uint64]takeover.Outcome
}

func (f *fakeCoordinator) Claim(id uint64, _ *request.Request, _ time.Duration, _ time.Time) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.full {
		f.claims = append(f.claims, id)
	}
	return !f.full
}

func (f *fakeCoordinator) Complete(id uint64, outcome takeover.Outcome, _ string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.outcomes[id] = outcome
}

func (f *fakeCoordinator) RequiresReplica() bool { return f.required }

// outcome returns the outcome that a write was completed with, or 0 if it has not been completed.
func (f *fakeCoordinator) outcome(id uint64) takeover.Outcome {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.outcomes[id]
}

// recordedReply is a Reply that sends its answers to a channel.
type recordedReply struct{ answers chan request.Answer }

func newRecordedReply() *recordedReply { return &recordedReply{make(chan request.Answer, 4)} }

func (r *recordedReply) Finish(answer *request.Answer) { r.answers <- *answer }
func (r *recordedReply) Release()                      {}

// coreWithCoordinator runs a core whose only node stores every write. The function received returns the lines of the
// writes that the node has received.
func coreWithCoordinator(t *testing.T, coordinator *fakeCoordinator) (c *Core, received func() []string) {
	t.Helper()
	var mu sync.Mutex
	var lines []string
	c = coreWithWriteNode(t, coordinator, func(connection net.Conn, line string) {
		id, isWrite := writeID(line)
		if !isWrite {
			fmt.Fprint(connection, "MN\r\n")
			return
		}
		mu.Lock()
		lines = append(lines, line)
		mu.Unlock()
		storeWrite(connection, id)
	})
	return c, func() []string {
		mu.Lock()
		defer mu.Unlock()
		return slices.Clone(lines)
	}
}

// writeID returns the id of the write whose command line is given. It returns false for any other line.
func writeID(line string) (id string, isWrite bool) {
	_, rest, _ := strings.Cut(line, " O")
	id, _, _ = strings.Cut(rest, " ")
	return id, strings.HasPrefix(line, "ms ")
}

// storeWrite answers that a write was stored.
func storeWrite(connection net.Conn, id string) { fmt.Fprintf(connection, "HD O%s c7\r\n", id) }

// coreWithWriteNode runs a core with one node, which calls script for each line that it receives.
func coreWithWriteNode(
	t *testing.T, coordinator *fakeCoordinator, script func(connection net.Conn, line string),
) *Core {
	t.Helper()
	address := testutil.ServeConnections(t, func(connection net.Conn) {
		defer connection.Close()
		for in := bufio.NewScanner(connection); in.Scan(); {
			script(connection, in.Text())
		}
	})
	class := policy.Class{Name: "write", Idempotency: policy.IdempotentWithKey, DedupWindow: 30 * time.Second}
	c, err := New(oneNodeConfig(address, class), slog.New(slog.DiscardHandler))
	if err != nil {
		t.Fatal(err)
	}
	coordinator.outcomes = make(map[uint64]takeover.Outcome)
	c.SetTakeoverCoordinator(coordinator)
	ctx, cancel := context.WithCancel(context.Background())
	var task sync.WaitGroup
	task.Go(func() { c.Run(ctx) })
	t.Cleanup(func() {
		cancel()
		task.Wait()
	})
	return c
}

func keyedWrite(id string) *request.Request {
	return &request.Request{
		Verb:           request.Set,
		Key:            "order",
		ID:             id,
		Class:          "write",
		IdempotencyKey: "k" + id,
		Value:          []byte("x\r\n")[:1],
		Timeout:        -1,
	}
}

// TestNothingIsSentWithoutClaim checks, for each verdict that grants no claim, that the keyed write is never sent to a
// node and is answered once.
func TestNothingIsSentWithoutClaim(t *testing.T) {
	coordinator := &fakeCoordinator{}
	c, received := coreWithCoordinator(t, coordinator)
	for i, test := range []struct {
		verdict takeover.Verdict
		want    request.AnswerKind
	}{
		{takeover.ReturnReceipt, request.Stored},
		{takeover.OutcomeUnknown, request.Failed},
		{takeover.KeyConflict, request.Invalid},
		{takeover.Reject, request.Busy},
	} {
		reply := newRecordedReply()
		c.Submit(keyedWrite(fmt.Sprint(i)), reply)
		if !c.ClaimDecided(coordinator.claims[i], test.verdict, 0, "r") {
			t.Errorf("verdict %d: the request was not waiting for a verdict", test.verdict)
		}
		answer := testutil.Receive(t, "an answer", reply.answers)
		if answer.Kind != test.want || test.verdict == takeover.ReturnReceipt && answer.Receipt != "r" {
			t.Errorf("verdict %d: answered %+v, want %v", test.verdict, answer, test.want)
		}
		if c.ClaimDecided(coordinator.claims[i], takeover.Proceed, time.Minute, "") {
			t.Errorf("verdict %d: the request accepted a second verdict", test.verdict)
		}
	}
	if lines := received(); len(lines) != 0 {
		t.Errorf("the node received %q", lines)
	}
}

// TestClaimedWriteIsSentUntilItsClaimExpires checks that a write with a granted claim is sent and completed, and that a
// write whose claim has expired is completed without being sent.
func TestClaimedWriteIsSentUntilItsClaimExpires(t *testing.T) {
	coordinator := &fakeCoordinator{}
	c, received := coreWithCoordinator(t, coordinator)
	reply := newRecordedReply()
	c.Submit(keyedWrite("sent"), reply)
	id := coordinator.claims[0]
	c.ClaimDecided(id, takeover.Proceed, time.Minute, "")
	answer := testutil.Receive(t, "an answer", reply.answers)
	if answer.Kind != request.Stored || coordinator.outcome(id) != takeover.Served {
		t.Errorf("answered %+v, completed as %d", answer, coordinator.outcome(id))
	}
	reply = newRecordedReply()
	c.Submit(keyedWrite("late"), reply)
	id = coordinator.claims[1]
	c.ClaimDecided(id, takeover.Proceed, 0, "") // the claim expires before the write can be sent
	if answer := testutil.Receive(t, "an answer", reply.answers); answer.Kind == request.Stored {
		t.Errorf("sent after its claim expired: %+v", answer)
	}
	testutil.WaitUntil(t, "the expired write to be completed", func() bool { return coordinator.outcome(id) != 0 })
	if lines := received(); len(lines) != 1 {
		t.Errorf("the node received %q, want one write", lines)
	}
}

// TestClaimLimitsLastCheckBeforeWrite guards against a write that is written after its claim has expired, because the
// process was held up after the check of the claim: another proxy may have resumed it by then.
func TestClaimLimitsLastCheckBeforeWrite(t *testing.T) {
	const within = 10 * time.Second // shorter than the deadline of the class
	coordinator := &fakeCoordinator{}
	c, _ := coreWithCoordinator(t, coordinator)
	reply := newRecordedReply()
	req := c.Submit(keyedWrite("sent"), reply)
	before := time.Now()
	c.ClaimDecided(coordinator.claims[0], takeover.Proceed, within, "")
	after := time.Now()
	testutil.Receive(t, "an answer", reply.answers)
	const rounding = time.Millisecond
	startBefore := req.attempts[0].StartBefore
	if startBefore.Before(before.Add(within-rounding)) || startBefore.After(after.Add(within+rounding)) {
		t.Errorf("it may start until %v after the verdict, want %v", startBefore.Sub(after), within)
	}
}

// TestWriteWithoutCapacityForItsClaim checks what happens to a write if there is no capacity for its claim: it is
// rejected if a replica is required, and sent without a claim otherwise.
func TestWriteWithoutCapacityForItsClaim(t *testing.T) {
	coordinator := &fakeCoordinator{full: true, required: true}
	c, _ := coreWithCoordinator(t, coordinator)
	reply := newRecordedReply()
	c.Submit(keyedWrite("full"), reply)
	if answer := testutil.Receive(t, "an answer", reply.answers); answer.Kind != request.Busy {
		t.Errorf("no capacity, replica required: answered %+v, want busy", answer)
	}
	coordinator.required = false
	reply = newRecordedReply()
	c.Submit(keyedWrite("plain"), reply)
	if answer := testutil.Receive(t, "an answer", reply.answers); answer.Kind != request.Stored {
		t.Errorf("no capacity, replica not required: answered %+v, want stored", answer)
	}
}

// TestClaimedWriteOutlivesItsClient checks that a write is sent and completed without a client if the client
// disconnects after the claim was granted, or if the write is resumed for another proxy.
func TestClaimedWriteOutlivesItsClient(t *testing.T) {
	coordinator := &fakeCoordinator{}
	c, received := coreWithCoordinator(t, coordinator)
	early := c.Submit(keyedWrite("early"), newRecordedReply())
	c.ClientDisconnected([]*InFlightRequest{early}) // the client disconnects before the verdict, so nothing may be sent
	if c.ClaimDecided(coordinator.claims[0], takeover.Proceed, time.Minute, "") {
		t.Error("a request whose client had disconnected still waited for its verdict")
	}
	reply := newRecordedReply()
	claimed := c.Submit(keyedWrite("a"), reply)
	c.mu.Lock() // the client disconnects before the node can answer
	claimed.claim, claimed.sendBefore = claimGranted, c.policyTime()+time.Minute
	c.mu.Unlock()
	c.ClientDisconnected([]*InFlightRequest{claimed})
	c.mu.Lock()
	c.admit(claimed)
	c.mu.Unlock()
	testutil.WaitUntil(t, "the claimed write to be completed", func() bool {
		return coordinator.outcome(coordinator.claims[1]) == takeover.Served
	})
	id, ok := c.ResumeWrite(keyedWrite("b"), time.Minute)
	if !ok {
		t.Fatal("the write of another proxy was not resumed")
	}
	testutil.WaitUntil(t, "the resumed write to be completed", func() bool {
		return coordinator.outcome(id) == takeover.Served
	})
	if lines := received(); len(lines) != 2 || len(reply.answers) != 0 {
		t.Errorf("the node received %q, want two writes; %d answers to a client that had disconnected",
			lines, len(reply.answers))
	}
}

// TestLateAnswerRejectsNoResumedWrite checks that a write that is resumed for another proxy is not reported as not
// executed because a second answer to an earlier write arrives while its node executes it.
func TestLateAnswerRejectsNoResumedWrite(t *testing.T) {
	coordinator := &fakeCoordinator{}
	var executing atomic.Bool // the resumed write
	c := coreWithWriteNode(t, coordinator, func(connection net.Conn, line string) {
		id, isWrite := writeID(line)
		switch {
		case isWrite && id == "resumed":
			executing.Store(true)
			fmt.Fprint(connection, "SERVER_ERROR busy\r\n") // the second answer to the first write
		case isWrite:
			storeWrite(connection, id)
		case line == "mn":
			if executing.Load() {
				storeWrite(connection, "resumed")
			}
			fmt.Fprint(connection, "MN\r\n")
		}
	})
	reply := newRecordedReply()
	c.Submit(keyedWrite("first"), reply)
	c.ClaimDecided(coordinator.claims[0], takeover.Proceed, time.Minute, "")
	if answer := testutil.Receive(t, "an answer", reply.answers); answer.Kind != request.Stored {
		t.Fatalf("the first write was answered %+v", answer)
	}
	id, ok := c.ResumeWrite(keyedWrite("resumed"), time.Minute)
	if !ok {
		t.Fatal("the write of another proxy was not resumed")
	}
	testutil.WaitUntil(t, "the resumed write to be completed", func() bool { return coordinator.outcome(id) != 0 })
	if outcome := coordinator.outcome(id); outcome != takeover.Served {
		t.Errorf("completed as %d, want %d", outcome, takeover.Served)
	}
}
