package endpointlist

import (
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"time"
)

// keepAliveInterval is the time without changes after which a watch sends an empty line.
const keepAliveInterval = 2 * time.Second

// serve answers a proxy with the list or the changes since an index. If the proxy watches, later changes follow.
func (s *Service) serve(proxy int, l *proxyListener, w http.ResponseWriter, r *http.Request) {
	index, err := strconv.ParseUint(r.FormValue("from"), 10, 64)
	if r.URL.Path != "/api/targets" || r.FormValue("from") != "" && err != nil {
		http.NotFound(w, r)
		return
	}
	m, changed, up := s.changesSince(index)
	if !up {
		http.Error(w, "down", http.StatusServiceUnavailable)
		return
	}
	out := json.NewEncoder(w)
	if s.send(proxy, m, out) != nil || r.FormValue("watch") != "1" {
		return
	}
	for {
		w.(http.Flusher).Flush()
		select {
		case <-changed:
		case <-time.After(keepAliveInterval):
		case <-l.closing:
			return
		case <-r.Context().Done():
			return
		}
		m, changed, up = s.changesSince(m.Index)
		if !up {
			return
		}
		if len(m.Endpoints) == 0 {
			fmt.Fprintln(w)
		} else if s.send(proxy, m, out) != nil {
			return
		}
	}
}

// send writes a message, with the addresses at which the proxy reaches the nodes.
func (s *Service) send(proxy int, m message, out *json.Encoder) error {
	if m.Endpoints == nil {
		m.Endpoints = []Entry{} // nil would be encoded as null, which is not a list
	}
	s.recordNotification(proxy, &m)
	if s.AddressFor != nil {
		m.Endpoints = slices.Clone(m.Endpoints) // the log shares the entries and must keep the nodes' own addresses
		for i := range m.Endpoints {
			m.Endpoints[i].Address = s.AddressFor(proxy, &m.Endpoints[i])
		}
	}
	return out.Encode(m)
}
