package core

import (
	"testing"

	"mulleinpier/internal/request"
)

// countingReply is a Reply that counts its calls.
type countingReply struct{ finished, released int }

func (r *countingReply) Finish(*request.Answer) { r.finished++ }
func (r *countingReply) Release()               { r.released++ }

// TestRequestIsReleasedOnce guards guarantee 1, and the budget of request bodies: a request whose attempts
// end within the ends of one another must give back what it took only once.
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
		t.Error("released with an attempt open")
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
