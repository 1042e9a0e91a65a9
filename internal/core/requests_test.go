package core

import (
	"testing"

	"mulleinpier/internal/request"
)

// countingReply is a Reply that counts how often it was released.
type countingReply struct{ finished, released int }

func (r *countingReply) Finish(*request.Answer) { r.finished++ }
func (r *countingReply) Release()               { r.released++ }

// TestRequestIsReleasedOnce guards the budget of bodies: a request whose copies end
// within one another's ends must give back what it took once only.
func TestRequestIsReleasedOnce(t *testing.T) {
	reply := &countingReply{}
	r := &InFlightRequest{id: 7, request: &request.Request{ID: "x"}, reply: reply, openAttempts: 1}
	c := &Core{requests: map[uint64]*InFlightRequest{7: r}, requestIDs: map[string]struct{}{"x": {}}}
	c.removeIfDone(r)
	c.answer(r, &request.Answer{Kind: request.Failed}, "")
	if reply.released != 0 {
		t.Error("released with an attempt out")
	}
	r.openAttempts = 0
	c.removeIfDone(r)
	c.removeIfDone(r)
	c.answer(r, &request.Answer{Kind: request.Failed}, "")
	if reply.released != 1 || reply.finished != 1 || len(c.requests)+len(c.requestIDs) != 0 {
		t.Errorf("released %d times, answered %d times; %d requests and %d ids held", reply.released, reply.finished, len(c.requests), len(c.requestIDs))
	}
}
