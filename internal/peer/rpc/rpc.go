// Package rpc exchanges messages between the instances of a fleet. A message is a CBOR body over HTTP, with a header
// that has the fleet's name and the sender's protocol version. The package does not interpret the rest of a message.
//
// Guarantees:
//
//  1. A message from another fleet, or of an incompatible version, is rejected, and the sender gets a one-line reason.
//  2. A body is at most [MaxBodyBytes] long.
//  3. A message of a later version is accepted if its [Header.MinVersion] allows it, as a fleet runs mixed versions
//     during an upgrade.
//
// Messages are neither encrypted nor signed. The package starts no goroutines; its only state is the traffic counters.
package rpc

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"

	"github.com/fxamacker/cbor/v2"

	"mulleinpier/internal/readlimit"
)

const (
	// Version is the protocol version that this program speaks.
	Version = 1
	// MinVersion is the oldest protocol version that this program understands.
	MinVersion = 1
	// MaxBodyBytes bounds the size of a message's body.
	MaxBodyBytes = 1 << 20
)

// Header is embedded in every request.
type Header struct {
	Version int    `cbor:"1,keyasint"` // the protocol version that the sender speaks
	Fleet   string `cbor:"2,keyasint"`
	// MinVersion is the oldest protocol version that understands the message; 0 if the sender did not set it.
	MinVersion int `cbor:"30,keyasint,omitempty"`
}

// NewHeader returns the header for this program's messages to a fleet.
func NewHeader(fleet string) Header {
	return Header{Version: Version, Fleet: fleet, MinVersion: MinVersion}
}

// Compatible reports whether a program that speaks version, and understands minVersion and later, understands a message
// with the given header.
func Compatible(h Header, version, minVersion int) bool {
	if h.Version < minVersion {
		return false
	}
	return h.Version <= version || h.MinVersion > 0 && h.MinVersion <= version
}

// Parse decodes a message of a fleet. It returns StatusOK and "", or the HTTP status and the reason if it rejects the
// message.
func Parse(body []byte, fleet string, into any) (status int, reason string) {
	var h Header
	if cbor.Unmarshal(body, &h) != nil {
		return http.StatusBadRequest, "bad body"
	}
	if !Compatible(h, Version, MinVersion) {
		return http.StatusConflict, fmt.Sprintf("version %d, this one speaks %d", h.Version, Version)
	}
	if h.Fleet != fleet {
		return http.StatusForbidden, fmt.Sprintf("fleet %q, this one is %q", h.Fleet, fleet)
	}
	if cbor.Unmarshal(body, into) != nil {
		return http.StatusBadRequest, "bad body"
	}
	return http.StatusOK, ""
}

// ReadRequest decodes the message in a request. If it rejects the message, it writes the error response and returns
// false.
func ReadRequest(w http.ResponseWriter, r *http.Request, fleet string, into any) bool {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, MaxBodyBytes))
	if err != nil {
		http.Error(w, "bad body", http.StatusBadRequest)
		return false
	}
	countMessage(len(body))
	if status, reason := Parse(body, fleet, into); reason != "" {
		http.Error(w, reason, status)
		return false
	}
	return true
}

// WriteResponse writes a response, encoded as CBOR.
func WriteResponse(w http.ResponseWriter, response any) {
	if body, err := cbor.Marshal(response); err == nil {
		countMessage(len(body))
		w.Write(body)
	}
}

// Post sends a message and decodes the response into the last argument, unless that is nil. It returns an error for any
// status but OK.
func Post(ctx context.Context, client *http.Client, address, path string, message, into any) error {
	body, err := cbor.Marshal(message)
	if err != nil {
		return err
	}
	countMessage(len(body))
	url := "http://" + address + path
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return err
	}
	response, err := client.Do(request)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	text, err := readlimit.All(response.Body, MaxBodyBytes)
	countMessage(len(text))
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
