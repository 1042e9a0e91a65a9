package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"time"
)

// endpoint is an entry of the list of cache nodes.
type endpoint struct {
	Name    string  `json:"name"`
	Address string  `json:"address"`
	Zone    string  `json:"zone"`
	Type    string  `json:"type"`
	Group   int     `json:"group"`
	Status  string  `json:"status"`
	Weight  float64 `json:"weight"`
	Since   int64   `json:"since_ms"`
}

// serveDiscovery serves a list that never changes, and returns its address.
func serveDiscovery(endpoints []endpoint) (address string, stop func(), err error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", nil, err
	}
	list, err := json.Marshal(map[string]any{"index": 41, "snapshot": true, "endpoints": endpoints})
	if err != nil {
		return "", nil, err
	}
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Write(append(list, '\n'))
		if r.URL.Query().Get("watch") != "1" {
			return
		}
		for r.Context().Err() == nil {
			w.(http.Flusher).Flush()
			time.Sleep(2 * time.Second)
			fmt.Fprint(w, "\n")
		}
	})}
	go server.Serve(l)
	return l.Addr().String(), func() { server.Close() }, nil
}
