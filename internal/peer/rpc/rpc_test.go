package rpc

import (
	"net/http"
	"testing"

	"github.com/fxamacker/cbor/v2"
)

// TestVersionsAreCompatible checks that an older and a newer program accept each other's messages as far as the
// newer one declares them compatible, since a fleet runs mixed versions during an upgrade.
func TestVersionsAreCompatible(t *testing.T) {
	for _, c := range []struct {
		name                string
		header              Header
		version, minVersion int
		want                bool
	}{
		{"same version", Header{Version: 1}, 1, 1, true},
		{"older message, newer receiver", Header{Version: 1}, 3, 1, true},
		{"older message, no longer supported by the receiver", Header{Version: 1}, 3, 2, false},
		{"newer message, compatible with an older receiver", Header{Version: 3, MinVersion: 1}, 1, 1, true},
		{"newer message, too new for the receiver", Header{Version: 3, MinVersion: 2}, 1, 1, false},
		{"newer message without a minimum version", Header{Version: 3}, 1, 1, false},
		{"no version", Header{}, 1, 1, false},
	} {
		if got := Compatible(c.header, c.version, c.minVersion); got != c.want {
			t.Errorf("%s: %v", c.name, got)
		}
	}
}

type message struct {
	Header
	Text string `cbor:"3,keyasint"`
}

func TestForeignMessagesAreRejected(t *testing.T) {
	good, err := cbor.Marshal(message{NewHeader("shop"), "x"})
	if err != nil {
		t.Fatal(err)
	}
	newer, err := cbor.Marshal(map[int]any{1: 9, 2: "shop", 30: 1, 3: "y", 77: "unheard of"})
	if err != nil {
		t.Fatal(err)
	}
	for _, c := range []struct {
		name   string
		body   string
		fleet  string
		status int
		text   string
	}{
		{"good", string(good), "shop", http.StatusOK, "x"},
		{"newer", string(newer), "shop", http.StatusOK, "y"},
		{"another fleet's", string(good), "other", http.StatusForbidden, ""},
		{"empty", "", "shop", http.StatusBadRequest, ""},
		{"not CBOR", "\xff\xff", "shop", http.StatusBadRequest, ""},
		{"too new", "\xa1\x01\x09", "shop", http.StatusConflict, ""},
		{"cut off", string(good[:len(good)-1]), "shop", http.StatusBadRequest, ""},
	} {
		var m message
		status, reason := Parse([]byte(c.body), c.fleet, &m)
		if status != c.status || (reason == "") != (status == http.StatusOK) || m.Text != c.text {
			t.Errorf("%s: %d %q, %+v", c.name, status, reason, m)
		}
	}
}

// FuzzParse checks that any input from a peer is either rejected with a reason or decoded, and that a decoded
// message can be encoded again.
func FuzzParse(f *testing.F) {
	good, _ := cbor.Marshal(message{NewHeader("shop"), "x"})
	f.Add(good)
	f.Add([]byte{0xa1, 1, 9})
	f.Fuzz(func(t *testing.T, body []byte) {
		var m message
		status, reason := Parse(body, "shop", &m)
		if (status == http.StatusOK) != (reason == "") {
			t.Fatalf("status %d with reason %q", status, reason)
		}
		if status == http.StatusOK {
			if _, err := cbor.Marshal(m); err != nil || m.Fleet != "shop" {
				t.Fatalf("%+v: %v", m, err)
			}
		}
	})
}
