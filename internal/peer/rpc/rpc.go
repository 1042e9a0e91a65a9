// Package rpc is how instances of one fleet send one another messages: a body of CBOR over HTTP, with a header that
// names the fleet and the version that the sender speaks. It does not interpret the rest of the messages.
//
// Guarantees:
//
//  1. A message of another fleet, or of a version that does not fit, is rejected; its sender gets the reason in one
//     line.
//  2. A body holds at most [MaxBodyBytes].
//  3. A later version is understood as far as its messages say so ([Header.MinVersion]): fleets are mixed while they
//     are being replaced.
//
// Messages are neither encrypted nor signed. The package starts no goroutines; its only state is the traffic count.
package rpc

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"

	"github.com/fxamacker/cbor/v2"
)

const (
	// Version is the version that this program speaks.
	Version = 1
	// MinVersion is the oldest version that this program understands.
	MinVersion = 1
	// MaxBodyBytes bounds the body of a message.
	MaxBodyBytes = 1 << 20
)

// Header is embedded in every message.
type Header struct {
	Version int    `cbor:"1,keyasint"` // that the sender speaks
	Fleet   string `cbor:"2,keyasint"`
	// MinVersion is the oldest version that understands the message.
	MinVersion int `cbor:"30,keyasint,omitempty"`
}

// NewHeader returns the header of this program's messages in a fleet.
func NewHeader(fleet string) Header {
	return Header{Version: Version, Fleet: fleet, MinVersion: MinVersion}
}

// Compatible reports whether a program that speaks version, and understands nothing under minVersion, understands a
// message.
func Compatible(h Header, version, minVersion int) bool {
	if h.Version < minVersion {
		return false
	}
	return h.Version <= version || h.MinVersion > 0 && h.MinVersion <= version
}

// Parse reads a message of a fleet. For a message that it rejects it returns an HTTP status and the reason, otherwise
// StatusOK and "".
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

// ReadRequest reads the message of a request, or answers what is wrong with it and returns false.
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

// WriteResponse answers a request.
func WriteResponse(w http.ResponseWriter, response any) {
	if body, err := cbor.Marshal(response); err == nil {
		countMessage(len(body))
		w.Write(body)
	}
}

// Post sends a message and reads the response to it, unless into is nil.
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
	text, err := io.ReadAll(io.LimitReader(response.Body, MaxBodyBytes))
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
