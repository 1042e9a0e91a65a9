package core

import (
	"log/slog"
	"testing"

	"mulleinpier/internal/request"
	"mulleinpier/policy"
)

// countingReply is a Reply that counts its calls.
type countingReply struct{ finished, released int }

func (r *countingReply) Finish(*request.Answer) { r.finished++ }
func (r *countingReply) Release()               { r.released++ }

// TestRequestIsReleasedOnce checks that the reply of a request is released exactly once (guarantee 1), even if the end
// of one attempt causes the end of another. Releasing it twice would return its share of the budget for request bodies
// twice.
func TestRequestIsReleasedOnce(t *testing.T) {
	reply := &countingReply{}
	req := &InFlightRequest{id: 7, request: &request.Request{ID: "x"}, reply: reply, openAttempts: 1}
	c := &Core{
		requests:   map[uint64]*InFlightRequest{7: req},
		requestIDs: map[string]struct{}{"x": {}},
	}
	c.removeIfDone(req)
	c.answer(req, &request.Answer{Kind: request.Failed}, "")
	if reply.released != 0 {
		t.Error("released while an attempt is open")
	}
	req.openAttempts = 0
	c.removeIfDone(req)
	c.removeIfDone(req)
	c.answer(req, &request.Answer{Kind: request.Failed}, "")
	if reply.released != 1 || reply.finished != 1 {
		t.Errorf("released %d times and answered %d times, want once each", reply.released, reply.finished)
	}
	if len(c.requests) != 0 || len(c.requestIDs) != 0 {
		t.Errorf("%d requests and %d ids are left", len(c.requests), len(c.requestIDs))
	}
}

// answerRecorder is a Reply that records its answers.
type answerRecorder struct{ answers []*request.Answer }

func (r *answerRecorder) Finish(answer *request.Answer) { r.answers = append(r.answers, answer) }
func (r *answerRecorder) Release()                      {}

// TestRequestsAfterAbortAreRejected checks that requests that are read after AbortAll, and before all connections are
// closed at the end of a drain, are answered immediately. Otherwise closing the connections would lose them.
func TestRequestsAfterAbortAreRejected(t *testing.T) {
	for name, idempotency := range map[string]policy.Idempotency{
		"idempotent":          policy.Idempotent,
		"idempotent with key": policy.IdempotentWithKey,
		"not idempotent":      policy.NotIdempotent,
	} {
		t.Run(name, func(t *testing.T) {
			config := oneNodeConfig("127.0.0.1:9", policy.Class{Name: "c", Idempotency: idempotency})
			c, err := New(config, slog.New(slog.DiscardHandler))
			if err != nil {
				t.Fatal(err)
			}
			c.AbortAll()
			late := &answerRecorder{}
			in := &request.Request{ID: "late", Class: "c", Key: "k", IdempotencyKey: "i", Timeout: -1}
			if req := c.Submit(in, late); req != nil {
				t.Error("a request after the abort was accepted")
			}
			if len(late.answers) != 1 || late.answers[0].Kind != request.Busy {
				t.Errorf("a request after the abort was answered %+v, want one busy answer", late.answers)
			}
		})
	}
}
