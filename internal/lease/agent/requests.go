package agent

import (
	"time"

	"mulleinpier/internal/lease"
	"mulleinpier/internal/lease/quorum"
)

const (
	// maxHeldResponses bounds the waiters whose responses are held.
	maxHeldResponses = 4096
	// maxResponseDelay is how long a waiter's response is held.
	maxResponseDelay = 250 * time.Millisecond
)

// pendingRequest is one that the replica has not answered.
type pendingRequest struct {
	command   lease.Command
	token     uint64 // of the grant to renew; 0 for a command
	responses chan<- quorum.Response
}

// waiterKey names a waiter.
type waiterKey struct {
	task, holder string
	nonce        uint64
}

// heldResponse is the response that a waiter has not been given yet, so that it hears at once when its turn comes.
type heldResponse struct {
	responses chan<- quorum.Response
	until     time.Duration
}

// respond answers a request, or holds the response of one that waits for its turn. A waiter counts its lease from when
// it sent the request, which is before.
func (v *Voter) respond(r pendingRequest, response quorum.Response) {
	c := &r.command
	if response.Outcome != lease.Queued || c.Kind != lease.Acquire || len(v.heldResponses) >= maxHeldResponses {
		r.responses <- response
		return
	}
	w := waiterKey{c.Task, c.Holder, c.Nonce}
	if earlier, ok := v.heldResponses[w]; ok { // it has asked again
		earlier.responses <- response
	}
	until := Now() + min(c.Duration/4, maxResponseDelay)
	v.heldResponses[w] = heldResponse{r.responses, until}
}

// releaseHeldResponses says to those who have waited for long that they still wait.
func (v *Voter) releaseHeldResponses() {
	now := Now()
	for w, held := range v.heldResponses {
		if now >= held.until {
			delete(v.heldResponses, w)
			held.responses <- quorum.Response{Outcome: lease.Queued}
		}
	}
}

// answerGranted says to waiters that their turn has come.
func (v *Voter) answerGranted(a quorum.WaitersGranted) {
	for _, g := range a.Grants {
		w := waiterKey{a.Task, g.Holder, g.Nonce}
		if held, ok := v.heldResponses[w]; ok {
			delete(v.heldResponses, w)
			held.responses <- quorum.Response{Outcome: lease.Granted, Token: g.Token}
		}
	}
}

// dropHeldResponses sends waiters to another voter.
func (v *Voter) dropHeldResponses() {
	for w, held := range v.heldResponses {
		delete(v.heldResponses, w)
		held.responses <- quorum.Response{}
	}
}
