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

	"mulleinpier/internal/request"
	"mulleinpier/internal/takeover"
	"mulleinpier/internal/testutil"
	"mulleinpier/policy"
)

// fakeCoordinator records what a core claims and completes.
type fakeCoordinator struct {
	full     bool // it has no capacity for claims
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

// outcome returns what a write was completed with, 0 for not yet.
func (f *fakeCoordinator) outcome(id uint64) takeover.Outcome {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.outcomes[id]
}

// recordedReply is a Reply that keeps the answer.
type recordedReply struct{ answers chan request.Answer }

func newRecordedReply() *recordedReply { return &recordedReply{make(chan request.Answer, 4)} }

func (r *recordedReply) Finish(answer *request.Answer) { r.answers <- *answer }
func (r *recordedReply) Release()                      {}

// coreWithCoordinator returns a core whose only node stores every write, and the writes that the node has
// received.
func coreWithCoordinator(t *testing.T, coordinator *fakeCoordinator) (c *Core, received func() []string) {
	t.Helper()
	var mu sync.Mutex
	var lines []string
	address := testutil.ServeConnections(t, func(connection net.Conn) {
		defer connection.Close()
		for in := bufio.NewScanner(connection); in.Scan(); {
			words := strings.Fields(in.Text())
			if len(words) == 0 || words[0] != "ms" {
				continue
			}
			mu.Lock()
			lines = append(lines, in.Text())
			mu.Unlock()
			for _, word := range words {
				if strings.HasPrefix(word, "O") {
					io.WriteString(connection, fmt.Sprintf("HD %s c7\r\n", word))
				}
			}
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
	return c, func() []string {
		mu.Lock()
		defer mu.Unlock()
		return slices.Clone(lines)
	}
}

// keyedWrite returns a write with an idempotency key.
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

// TestNothingIsSentWithoutClaim gives a keyed write each verdict that grants no claim: the node receives nothing,
// and each write is answered once.
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
			t.Errorf("verdict %d: the request does not wait for it", test.verdict)
		}
		answer := testutil.Receive(t, "an answer", reply.answers)
		if answer.Kind != test.want || test.verdict == takeover.ReturnReceipt && answer.Receipt != "r" {
			t.Errorf("verdict %d: answered %+v, want %v", test.verdict, answer, test.want)
		}
		if c.ClaimDecided(coordinator.claims[i], takeover.Proceed, time.Minute, "") {
			t.Errorf("verdict %d: the request waits for a second one", test.verdict)
		}
	}
	if lines := received(); len(lines) != 0 {
		t.Errorf("the node received %q", lines)
	}
}

// TestClaimedWriteIsSentUntilItsClaimExpires guards that a write with a claim is sent and completed, and that one
// whose claim has expired is completed without having been sent.
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
	c.ClaimDecided(id, takeover.Proceed, 0, "") // its claim expires before anything can be sent
	if answer := testutil.Receive(t, "an answer", reply.answers); answer.Kind == request.Stored {
		t.Errorf("sent after its claim expired: %+v", answer)
	}
	testutil.WaitUntil(t, "it to be completed", func() bool { return coordinator.outcome(id) != 0 })
	if lines := received(); len(lines) != 1 {
		t.Errorf("the node received %q, want one write", lines)
	}
}

// TestWriteWithoutCapacityForItsClaim guards that such a write is rejected where a replica is required, and sent
// without a claim where not.
func TestWriteWithoutCapacityForItsClaim(t *testing.T) {
	coordinator := &fakeCoordinator{full: true, required: true}
	c, _ := coreWithCoordinator(t, coordinator)
	reply := newRecordedReply()
	c.Submit(keyedWrite("full"), reply)
	if answer := testutil.Receive(t, "an answer", reply.answers); answer.Kind != request.Busy {
		t.Errorf("no capacity, replica required: %+v", answer)
	}
	coordinator.required = false
	reply = newRecordedReply()
	c.Submit(keyedWrite("plain"), reply)
	if answer := testutil.Receive(t, "an answer", reply.answers); answer.Kind != request.Stored {
		t.Errorf("no capacity, replica not required: %+v", answer)
	}
}

// TestClaimedWriteOutlivesItsClient has a client disconnect after its write was claimed, and resumes a write
// of another proxy: both go on, and are completed.
func TestClaimedWriteOutlivesItsClient(t *testing.T) {
	coordinator := &fakeCoordinator{}
	c, received := coreWithCoordinator(t, coordinator)
	early := c.Submit(keyedWrite("early"), newRecordedReply())
	c.ClientDisconnected([]*InFlightRequest{early}) // before the claim is decided: nothing is to be sent
	if c.ClaimDecided(coordinator.claims[0], takeover.Proceed, time.Minute, "") {
		t.Error("a request whose client had disconnected waits for its claim")
	}
	reply := newRecordedReply()
	claimed := c.Submit(keyedWrite("a"), reply)
	c.mu.Lock() // its client disconnects before its node can answer
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
		t.Fatal("the write of another proxy is not resumed")
	}
	testutil.WaitUntil(t, "the resumed write to be completed", func() bool {
		return coordinator.outcome(id) == takeover.Served
	})
	if lines := received(); len(lines) != 2 || len(reply.answers) != 0 {
		t.Errorf("the node received %q, want two writes; %d answers to a client that had disconnected",
			lines, len(reply.answers))
	}
}
