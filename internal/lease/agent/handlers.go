package agent

import (
	"context"
	"encoding/json"
	"net/http"

	"mulleinpier/internal/lease"
	"mulleinpier/internal/lease/quorum"
	"mulleinpier/internal/peer/rpc"
	"mulleinpier/internal/peer/transport"
)

func (v *Voter) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+messagesPath, v.serveMessages)
	mux.HandleFunc("POST "+requestPath, v.serveRequest)
	mux.HandleFunc("GET "+statePath, v.serveState)
	mux.Handle("POST "+transport.HeartbeatPath, v.heartbeats)
	return mux
}

// serveMessages receives messages from another voter.
func (v *Voter) serveMessages(w http.ResponseWriter, r *http.Request) {
	var batch voterMessages
	if !rpc.ReadRequest(w, r, v.fleet.Name, &batch) {
		return
	}
	v.recordSender(batch.From, batch.VoterID)
	for _, data := range batch.Messages {
		m, err := quorum.Decode(data)
		if err != nil {
			http.Error(w, "bad message", http.StatusBadRequest)
			return
		}
		select {
		case v.events <- quorum.MessageReceived{Message: m}:
		case <-r.Context().Done():
			return
		}
	}
}

// serveRequest handles a request from a holder or an operator.
func (v *Voter) serveRequest(w http.ResponseWriter, r *http.Request) {
	var in Request
	if !rpc.ReadRequest(w, r, v.fleet.Name, &in) {
		return
	}
	var reply Reply
	responses := make(chan quorum.Response, 1)
	select {
	case v.requests <- pendingRequest{in.Command, in.Token, responses}:
		select {
		case response := <-responses:
			reply.Outcome = response.Outcome
			reply.Token = response.Token
			if response.Err != nil {
				reply.Error = response.Err.Error()
			}
		case <-r.Context().Done():
			return
		}
	default: // the queue is full: the reply's outcome stays NoAnswer
	}
	if reply.Outcome == lease.NoAnswer {
		if s, ok := v.queryState(r.Context()); ok {
			reply.Leader = s.Leader
		}
	}
	rpc.WriteResponse(w, reply)
}

func (v *Voter) serveState(w http.ResponseWriter, r *http.Request) {
	s, ok := v.queryState(r.Context())
	if !ok {
		return
	}
	w.Header().Set("Content-Type", "application/json")
	json.NewEncoder(w).Encode(s)
}

// queryState gets this voter's state from the goroutine of loop. It reports false if ctx ends first.
func (v *Voter) queryState(ctx context.Context) (VoterState, bool) {
	reply := make(chan VoterState, 1)
	select {
	case v.stateRequests <- reply:
	case <-ctx.Done():
		return VoterState{}, false
	}
	select {
	case s := <-reply:
		return s, true
	case <-ctx.Done():
		return VoterState{}, false
	}
}

// state returns this voter's state. It is called by loop, and copies what loop may change later.
func (v *Voter) state() VoterState {
	machine, now := v.replica.StateMachine(), Now()
	s := VoterState{
		Voter:        v.name,
		VoterID:      v.id,
		Leader:       machine.Voters[v.replica.Leader()],
		IsLeader:     v.replica.IsLeader(),
		StateMachine: machine.Clone(),
		SecondsLeft:  make(map[uint64]float64),
		Members:      v.heartbeats.Members(),
		Traffic:      rpc.TrafficSoFar(),
		DiskSyncs:    v.diskSyncs,
	}
	if v.haltError != nil {
		s.HaltReason = v.haltError.Error()
	}
	for _, task := range machine.Tasks {
		for _, g := range task.Grants {
			if left, ok := v.replica.TimeLeft(g.Token, now); ok {
				s.SecondsLeft[g.Token] = left.Seconds()
			}
		}
	}
	return s
}
