package agent

import (
	"encoding/json"
	"net/http"

	"mulleinpier/internal/peer/rpc"
)

// state copies what the loop knows.
func (v *Voter) state() VoterState {
	book, t := v.replica.StateMachine(), now()
	s := VoterState{Voter: v.name, VoterID: v.seat, IsLeader: v.replica.IsLeader(), Leader: book.Voters[v.replica.Leader()], StateMachine: book.Clone(), SecondsLeft: make(map[uint64]float64),
		Members: v.station.Members(), Traffic: rpc.TrafficSoFar(), DiskSyncs: v.saves}
	if v.down != nil {
		s.HaltReason = v.down.Error()
	}
	for _, task := range book.Tasks {
		for _, g := range task.Grants {
			if left, ok := v.replica.TimeLeft(g.Token, t); ok {
				s.SecondsLeft[g.Token] = left.Seconds()
			}
		}
	}
	return s
}

func (v *Voter) showBook(w http.ResponseWriter, r *http.Request) {
	s, ok := v.look(r.Context())
	if !ok {
		return
	}
	w.Header().Set("Content-Type", "application/json")
	json.NewEncoder(w).Encode(s)
}
