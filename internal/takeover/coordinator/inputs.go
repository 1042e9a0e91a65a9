package coordinator

import (
	"encoding/json"
	"net/http"
	"time"

	"mulleinpier/internal/peer/rpc"
	"mulleinpier/internal/takeover"
)

// maxListedWrites bounds the list of writes.
const maxListedWrites = 1000

// writeArrived is a claim by the core for a client's write.
type writeArrived struct {
	requestID uint64 // the core's ID of the request
	write     takeover.Write
	retry     bool
	expires   time.Time // the client's deadline
}

func (w writeArrived) handle(c *Coordinator) { c.startClaim(&w) }

// writeFinished is the outcome of a write that the core was permitted to send.
type writeFinished struct {
	requestID uint64
	outcome   takeover.Outcome
	receipt   string
}

func (w writeFinished) handle(c *Coordinator) {
	if cl := c.permittedClaims[w.requestID]; cl != nil {
		delete(c.permittedClaims, w.requestID)
		c.reportOutcome(cl, w.outcome, w.receipt)
	}
}

// listRequest requests the list of writes for an operator.
type listRequest struct{ reply chan []takeover.WriteStatus }

func (l listRequest) handle(c *Coordinator) {
	l.reply <- c.registry.List(c.options.Clock(), maxListedWrites)
}

// handle processes another proxy's message.
func (m *message) handle(c *Coordinator) {
	for _, r := range m.Claims {
		c.lastID++
		c.requesters[c.lastID] = requester{owner: m.From, claimID: r.ClaimID}
		c.handleRegistryEvent(takeover.ClaimRequest{
			RequestID: c.lastID,
			Write:     r.Write,
			Owner:     m.From,
			Rank:      r.Rank,
			Epoch:     r.Epoch,
			Age:       r.Age,
			Retry:     r.Retry,
		})
	}
	for _, done := range m.Completions {
		c.handleRegistryEvent(takeover.Completion{
			ID:      done.ID,
			Digest:  done.Digest,
			Owner:   m.From,
			Epoch:   done.Epoch,
			Outcome: done.Outcome,
			Receipt: done.Receipt,
		})
	}
	for _, r := range m.Responses {
		if cl := c.claims[r.ClaimID]; cl != nil {
			c.holderAnswered(cl, m.From.Name, takeover.ClaimResponse{
				Decision:         r.Decision,
				Epoch:            r.Epoch,
				Age:              r.Age,
				Receipt:          r.Receipt,
				MayHaveForgotten: r.MayHaveForgotten,
				PreviousOwner:    r.PreviousOwner,
			})
		}
	}
}

func (c *Coordinator) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+messagePath, c.serveMessage)
	mux.HandleFunc("GET "+WritesPath, c.serveList)
	return mux
}

// serveMessage queues a message from another proxy.
func (c *Coordinator) serveMessage(w http.ResponseWriter, r *http.Request) {
	var m message
	if !rpc.ReadRequest(w, r, c.options.Fleet, &m) {
		return
	}
	if m.To != c.options.Self { // meant for an earlier process at this address
		http.Error(w, "another process", http.StatusGone)
		return
	}
	if !c.enqueue(&m) {
		http.Error(w, "no room", http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

func (c *Coordinator) serveList(w http.ResponseWriter, r *http.Request) {
	l := listRequest{make(chan []takeover.WriteStatus, 1)}
	if !c.enqueue(l) {
		http.Error(w, "no room", http.StatusServiceUnavailable)
		return
	}
	select {
	case <-r.Context().Done():
	case list := <-l.reply:
		w.Header().Set("Content-Type", "application/json")
		json.NewEncoder(w).Encode(list)
	}
}
