package rpc

import (
	"net/http"
	"reflect"
	"testing"

	"mulleinpier/internal/testutil"
)

// TestRecordedMessages checks that the header's encoding matches messages recorded from an earlier version, and
// that a message of a later version is accepted if its MinVersion allows it. A fleet runs mixed versions during an
// upgrade.
func TestRecordedMessages(t *testing.T) {
	recordedHeader := Header{Version: 1, Fleet: "shop", MinVersion: 1}
	testutil.CheckRecordedCBOR(t, "testdata/message.cbor", message{recordedHeader, "x"})
	withoutMinVersion := message{Header{Version: 1, Fleet: "shop"}, "x"}
	testutil.CheckRecordedCBOR(t, "testdata/message-without-least.cbor", withoutMinVersion)
	if got := NewHeader("shop"); got != recordedHeader {
		t.Errorf("this version's header is %+v, want %+v", got, recordedHeader)
	}
	var later message
	want := message{Header{Version: 9, Fleet: "shop", MinVersion: 1}, "y"}
	status, reason := Parse(testutil.Recorded(t, "testdata/message-later.cbor"), "shop", &later)
	if status != http.StatusOK || !reflect.DeepEqual(later, want) {
		t.Errorf("message of a later version: %d %s, %+v", status, reason, later)
	}
}
