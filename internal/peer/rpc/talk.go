// Package rpc is how instances of one fleet say something to one another: a body of CBOR over HTTP, under a head that
// names the fleet and what the sender speaks. It understands no subject.
//
// Bounds: a body holds at most [MostBody]; a stranger is told what is wrong in one line and is not understood.
package rpc

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/fxamacker/cbor/v2"
)

// What this program speaks, and the oldest that it understands.
const (
	Version    = 1
	MinVersion = 1
)

// Bounds of links.
const (
	MaxBodyBytes    = 1 << 20
	ExchangeTimeout = 500 * time.Millisecond // for an exchange that is answered at once
	IdleTimeout     = 30 * time.Second
)

// Header stands in every message, embedded.
type Header struct {
	Version int    `cbor:"1,keyasint"`
	Fleet   string `cbor:"2,keyasint"`
	// MinVersion is the oldest version that understands the message: fleets are mixed while they are being replaced.
	MinVersion int `cbor:"30,keyasint,omitempty"`
}

// Traffic is what this process has said to others and heard from them since its start: messages, of which an answer is
// one too, and the bytes of their bodies.
type Traffic struct {
	Messages int64 `json:"messages"`
	Bytes    int64 `json:"bytes"`
}

var messages, bodies atomic.Int64

// TrafficSoFar returns the traffic so far.
func TrafficSoFar() Traffic { return Traffic{messages.Load(), bodies.Load()} }

func count(size int) {
	messages.Add(1)
	bodies.Add(int64(size))
}

// NewHeader is the head of this program's messages in a fleet.
func NewHeader(fleet string) Header {
	return Header{Version: Version, Fleet: fleet, MinVersion: MinVersion}
}

// Compatible tells whether a program that speaks version, and understands nothing under oldest, understands a message.
func Compatible(h Header, version, oldest int) bool {
	return h.Version >= oldest && (h.Version <= version || h.MinVersion > 0 && h.MinVersion <= version)
}

// ReadRequest takes the body of a request of a fleet's, or answers what is wrong with it and returns false.
func ReadRequest(w http.ResponseWriter, r *http.Request, fleet string, into any) bool {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, MaxBodyBytes))
	if err != nil {
		http.Error(w, "bad body", http.StatusBadRequest)
		return false
	}
	count(len(body))
	status, wrong := Parse(body, fleet, into)
	if wrong != "" {
		http.Error(w, wrong, status)
		return false
	}
	return true
}

// Parse reads a message of a fleet's, or says what is wrong with it, and as which HTTP status.
func Parse(body []byte, fleet string, into any) (status int, wrong string) {
	var h Header
	switch err := cbor.Unmarshal(body, &h); {
	case err != nil:
		return http.StatusBadRequest, "bad body"
	case !Compatible(h, Version, MinVersion):
		return http.StatusConflict, fmt.Sprintf("version %d, this one speaks %d", h.Version, Version)
	case h.Fleet != fleet:
		return http.StatusForbidden, fmt.Sprintf("fleet %q, this one is %q", h.Fleet, fleet)
	}
	if cbor.Unmarshal(body, into) != nil {
		return http.StatusBadRequest, "bad body"
	}
	return http.StatusOK, ""
}

// WriteResponse answers a request.
func WriteResponse(w http.ResponseWriter, answer any) {
	if text, err := cbor.Marshal(answer); err == nil {
		count(len(text))
		w.Write(text)
	}
}

// Post sends a message and reads the answer to it, unless into is nil.
func Post(ctx context.Context, client *http.Client, address, path string, message, into any) error {
	body, err := cbor.Marshal(message)
	if err != nil {
		return err
	}
	count(len(body))
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+path, bytes.NewReader(body))
	if err != nil {
		return err
	}
	response, err := client.Do(request)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	text, err := io.ReadAll(io.LimitReader(response.Body, MaxBodyBytes))
	count(len(text))
	switch {
	case err != nil:
		return err
	case response.StatusCode != http.StatusOK:
		return fmt.Errorf("%s: %s", response.Status, bytes.TrimSpace(text))
	case into == nil:
		return nil
	}
	return cbor.Unmarshal(text, into)
}

// Bounds of a server of fleet messages.
const (
	readHeaderTimeout = time.Second
	readTimeout       = 2 * time.Second
	maxHeaderBytes    = 8 << 10
)

// NewServer returns a server of fleet messages. Its errors are not logged: they are those of its clients.
func NewServer(handler http.Handler, writeTimeout time.Duration) *http.Server {
	return &http.Server{
		Handler:           handler,
		ReadHeaderTimeout: readHeaderTimeout,
		ReadTimeout:       readTimeout,
		WriteTimeout:      writeTimeout,
		IdleTimeout:       IdleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
		ErrorLog:          slog.NewLogLogger(slog.DiscardHandler, slog.LevelError),
	}
}

// NewClient returns a client for exchanges that are answered at once, with at most so many connections to each server
// (0 for no bound), of which two are kept while idle.
func NewClient(maxConnections int) *http.Client {
	return &http.Client{
		Timeout: ExchangeTimeout,
		Transport: &http.Transport{
			MaxIdleConnsPerHost: 2,
			MaxConnsPerHost:     maxConnections,
			IdleConnTimeout:     IdleTimeout,
		},
	}
}
