package rpc

import (
	"net/http"
	"testing"

	"github.com/fxamacker/cbor/v2"
)

// TestVersions guards fleets that are mixed in mid-rollout: an older and a newer program understand each other as far as
// the newer one says so.
func TestVersions(t *testing.T) {
	for _, c := range []struct {
		h               Header
		version, oldest int
		want            bool
	}{
		{Header{Version: 1}, 1, 1, true},
		{Header{Version: 1}, 3, 1, true},                 // an older one's, at a newer
		{Header{Version: 1}, 3, 2, false},                // which has given it up
		{Header{Version: 3, MinVersion: 1}, 1, 1, true},  // a newer one's, at an older
		{Header{Version: 3, MinVersion: 2}, 1, 1, false}, // which it is too new for
		{Header{Version: 3}, 1, 1, false},
		{Header{}, 1, 1, false},
	} {
		if got := Compatible(c.h, c.version, c.oldest); got != c.want {
			t.Errorf("%+v at %d (oldest %d): %v", c.h, c.version, c.oldest, got)
		}
	}
}

type message struct {
	Header
	Text string `cbor:"3,keyasint"`
}

func TestParse(t *testing.T) {
	good, err := cbor.Marshal(message{NewHeader("shop"), "x"})
	if err != nil {
		t.Fatal(err)
	}
	newer, _ := cbor.Marshal(map[int]any{1: 9, 2: "shop", 30: 1, 3: "y", 77: "unheard of"})
	for _, c := range []struct {
		body   string
		fleet  string
		status int
		text   string
	}{
		{string(good), "shop", http.StatusOK, "x"}, {string(newer), "shop", http.StatusOK, "y"}, {string(good), "other", http.StatusForbidden, ""},
		{"", "shop", http.StatusBadRequest, ""}, {"\xff\xff", "shop", http.StatusBadRequest, ""}, {"\xa1\x01\x09", "shop", http.StatusConflict, ""},
		{string(good[:len(good)-1]), "shop", http.StatusBadRequest, ""},
	} {
		var m message
		if status, wrong := Parse([]byte(c.body), c.fleet, &m); status != c.status || (wrong == "") != (status == http.StatusOK) || m.Text != c.text {
			t.Errorf("%q: %d %q, %+v", c.body, status, wrong, m)
		}
	}
}

// FuzzParse guards what peers send: whatever comes is told or read, and what was read can be written.
func FuzzParse(f *testing.F) {
	good, _ := cbor.Marshal(message{NewHeader("shop"), "x"})
	f.Add(good)
	f.Add([]byte{0xa1, 1, 9})
	f.Fuzz(func(t *testing.T, body []byte) {
		var m message
		status, wrong := Parse(body, "shop", &m)
		if (status == http.StatusOK) != (wrong == "") {
			t.Fatalf("%d and %q", status, wrong)
		}
		if status == http.StatusOK {
			if _, err := cbor.Marshal(m); err != nil || m.Fleet != "shop" {
				t.Fatalf("%+v: %v", m, err)
			}
		}
	})
}
