package transport

import (
	"testing"

	"mulleinpier/internal/peer"
	"mulleinpier/internal/peer/rpc"
	"mulleinpier/internal/testutil"
)

var recordedHeader = rpc.Header{Version: 1, Fleet: "shop", MinVersion: 1}

const recordedIncarnation = 0x8000000000000001

var recordedMember = peer.Member{
	Name: "p1", Incarnation: 0xfedcba9876543211, Address: "10.0.0.1:7400", Zone: "a", Version: 1,
}

// recordedHeartbeats are heartbeats recorded from an earlier version, by file name.
var recordedHeartbeats = map[string]heartbeat{
	"heartbeat-first.cbor": {Header: recordedHeader, Member: recordedMember},
	"heartbeat-next.cbor": {
		Header: recordedHeader, Member: recordedMember,
		ServerIncarnation: recordedIncarnation, KnownVersion: 41,
	},
	"heartbeat-leaving.cbor": {
		Header: recordedHeader, Member: peer.Member{Name: "p2", Incarnation: 3, Leaving: true, Version: 1},
		ServerIncarnation: 7, KnownVersion: 1,
	},
}

// recordedReports are reports recorded from an earlier version, by file name.
var recordedReports = map[string]report{
	"report-complete.cbor": {
		Result: peer.Accepted, ServerIncarnation: recordedIncarnation, Version: 42, Complete: true,
		Members: []peer.MemberState{
			{Member: recordedMember, State: peer.Alive},
			{Member: peer.Member{Name: "p2", Incarnation: 3, Leaving: true, Version: 1}, State: peer.Suspect},
			{Member: peer.Member{Name: "p3", Incarnation: 9, Zone: "c", Version: 1}, State: peer.Gone},
		},
	},
	"report-changes.cbor": {
		Result: peer.Accepted, ServerIncarnation: recordedIncarnation, Version: 43,
		Members: []peer.MemberState{
			{Member: peer.Member{Name: "p3", Incarnation: 10, Zone: "c", Version: 1}, State: peer.Alive},
		},
	},
	"report-unchanged.cbor": {
		Result: peer.Accepted, ServerIncarnation: recordedIncarnation, Version: 43,
	},
	"report-replaced.cbor":         {Result: peer.Replaced, ServerIncarnation: 5, Version: 2},
	"report-name-taken.cbor":       {Result: peer.NameTaken, ServerIncarnation: 5, Version: 2},
	"report-too-many-members.cbor": {Result: peer.TooManyMembers, ServerIncarnation: 5, Version: 2},
}

// TestRecordedHeartbeats checks that the encoding of heartbeats and reports, and the HTTP path, match those of
// earlier versions, since a fleet runs mixed versions during an upgrade.
func TestRecordedHeartbeats(t *testing.T) {
	for name, want := range recordedHeartbeats {
		testutil.CheckRecordedCBOR(t, "testdata/"+name, want)
	}
	for name, want := range recordedReports {
		testutil.CheckRecordedCBOR(t, "testdata/"+name, want)
	}
	if HeartbeatPath != "/v1/beat" {
		t.Errorf("heartbeats are sent to %s", HeartbeatPath)
	}
}
