package agent

import (
	"encoding/json"
	"net/http"
	"slices"

	"mulleinpier/internal/lease"
)

// state copies what the loop knows.
func (v *Voter) state() State {
	s := State{Voter: v.name, Leads: v.replica.Leads(), Book: lease.NewBook(), Left: make(map[uint64]float64)}
	if at := v.replica.Leader(); at > 0 && int(at) <= len(v.fleet.Voters) {
		s.Leader = v.fleet.Voters[at-1].Name
	}
	book, t := v.replica.Book(), now()
	s.Book.Last = book.Last
	for name, task := range book.Tasks {
		s.Book.Tasks[name] = &lease.Task{Most: task.Most, Held: slices.Clone(task.Held), Waiting: slices.Clone(task.Waiting)}
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
