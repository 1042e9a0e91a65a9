package agent

import (
	"encoding/json"
	"net/http"

	"mulleinpier/internal/peer/rpc"
)

// state copies what the loop knows.
func (v *Voter) state() State {
	book, t := v.replica.Book(), now()
	s := State{Voter: v.name, Seat: v.seat, Leads: v.replica.Leads(), Leader: book.Seats[v.replica.Leader()], Book: book.Clone(), Left: make(map[uint64]float64),
		Members: v.station.Opinion(), Traffic: rpc.Said(), Saves: v.saves}
	if v.down != nil {
		s.Down = v.down.Error()
	}
	for _, task := range book.Tasks {
		for _, g := range task.Held {
			if left, ok := v.replica.Left(g.Number, t); ok {
				s.Left[g.Number] = left.Seconds()
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
