package agent

import (
	"time"

	"mulleinpier/internal/lease"
	"mulleinpier/internal/lease/quorum"
)

const (
	// maxHeldResponses limits the number of waiters whose responses are delayed.
	maxHeldResponses = 4096
	// maxResponseDelay is the longest delay of a response to a waiter.
	maxResponseDelay = 250 * time.Millisecond
)

// pendingRequest is a request that the replica has not answered yet.
type pendingRequest struct {
	command   lease.Command
	token     uint64 // of the grant to renew; 0 for a command
	responses chan<- quorum.Response
}

type waiterKey struct {
	task, holder string
	nonce        uint64
}

// heldResponse is a delayed response to a waiter (long polling): the waiter gets its grant without polling for it.
type heldResponse struct {
	responses chan<- quorum.Response
	until     time.Duration
}

// respond answers a request, or holds the response if the sender is queued. Holding it is safe: the waiter counts its
// lease from when it sent the request.
func (v *Voter) respond(r pendingRequest, response quorum.Response) {
	c := &r.command
	if response.Outcome != lease.Queued || c.Kind != lease.Acquire || len(v.heldResponses) >= maxHeldResponses {
		r.responses <- response
		return
	}
	w := waiterKey{c.Task, c.Holder, c.Nonce}
	if earlier, ok := v.heldResponses[w]; ok { // this request is a retry: answer the earlier request now
		earlier.responses <- response
	}
	until := Now() + min(c.Duration/4, maxResponseDelay)
	v.heldResponses[w] = heldResponse{r.responses, until}
}

// releaseHeldResponses answers Queued to each waiter whose response was delayed until its deadline.
func (v *Voter) releaseHeldResponses() {
	now := Now()
	for w, held := range v.heldResponses {
		if now >= held.until {
			delete(v.heldResponses, w)
			held.responses <- quorum.Response{Outcome: lease.Queued}
		}
	}
}

// answerGranted answers the held responses of waiters that have been granted their task.
func (v *Voter) answerGranted(a quorum.WaitersGranted) {
	for _, g := range a.Grants {
		w := waiterKey{a.Task, g.Holder, g.Nonce}
		if held, ok := v.heldResponses[w]; ok {
			delete(v.heldResponses, w)
			held.responses <- quorum.Response{Outcome: lease.Granted, Token: g.Token}
		}
	}
}

// dropHeldResponses answers NoAnswer to all waiters whose responses are held, because this voter no longer leads. The
// waiters then ask another voter.
func (v *Voter) dropHeldResponses() {
	for w, held := range v.heldResponses {
		delete(v.heldResponses, w)
		held.responses <- quorum.Response{Outcome: lease.NoAnswer}
	}
}
