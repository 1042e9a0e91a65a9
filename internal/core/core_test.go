package core

import (
	"testing"

	"mulleinpier/internal/request"
)

// releases is a Reply that counts how often it was released.
type releases struct{ finished, released int }

func (r *releases) Finish(*request.Answer) { r.finished++ }
func (r *releases) Release()               { r.released++ }

// TestRequestIsReleasedOnce guards the budget of bodies: a request whose copies end
// within one another's ends must give back what it took once only.
func TestRequestIsReleasedOnce(t *testing.T) {
	reply := &releases{}
	r := &InFlightRequest{id: 7, request: &request.Request{ID: "x"}, reply: reply, open: 1}
	c := &Core{requests: map[uint64]*InFlightRequest{7: r}, open: map[string]struct{}{"x": {}}}
	c.drop(r)
	c.answer(r, &request.Answer{Kind: request.Failed}, "")
	if reply.released != 0 {
		t.Error("released with an attempt out")
	}
	r.open = 0
	c.drop(r)
	c.drop(r)
	c.answer(r, &request.Answer{Kind: request.Failed}, "")
	if reply.released != 1 || reply.finished != 1 || len(c.requests)+len(c.open) != 0 {
		t.Errorf("released %d times, answered %d times; %d requests and %d ids held", reply.released, reply.finished, len(c.requests), len(c.open))
	}
}
