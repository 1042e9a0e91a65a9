package transport

import (
	"testing"

	"mulleinpier/internal/peer"
	"mulleinpier/internal/peer/rpc"
	"mulleinpier/internal/testutil"
)

var recordedHead = rpc.Header{Version: 1, Fleet: "shop", MinVersion: 1}

// recordedBeats are heartbeats as they were recorded from an earlier version, by file.
var recordedBeats = map[string]beat{
	"heartbeat-first.cbor": {Header: recordedHead, Member: peer.Member{Name: "p1", Incarnation: 0xfedcba9876543211, Address: "10.0.0.1:7400", Zone: "a", Version: 1}},
	"heartbeat-next.cbor": {Header: recordedHead, Member: peer.Member{Name: "p1", Incarnation: 0xfedcba9876543211, Address: "10.0.0.1:7400", Zone: "a", Version: 1},
		Boot: 0x8000000000000001, Known: 41},
	"heartbeat-leaving.cbor": {Header: recordedHead, Member: peer.Member{Name: "p2", Incarnation: 3, Leaving: true, Version: 1}, Boot: 7, Known: 1},
}

// recordedReports are the answers to heartbeats.
var recordedReports = map[string]report{
	"report-complete.cbor": {Answer: peer.Accepted, Boot: 0x8000000000000001, Version: 42, Whole: true, List: []peer.MemberState{
		{Member: peer.Member{Name: "p1", Incarnation: 0xfedcba9876543211, Address: "10.0.0.1:7400", Zone: "a", Version: 1}, State: peer.Alive},
		{Member: peer.Member{Name: "p2", Incarnation: 3, Leaving: true, Version: 1}, State: peer.Suspect},
		{Member: peer.Member{Name: "p3", Incarnation: 9, Zone: "c", Version: 1}, State: peer.Gone},
	}},
	"report-changes.cbor": {Answer: peer.Accepted, Boot: 0x8000000000000001, Version: 43, List: []peer.MemberState{
		{Member: peer.Member{Name: "p3", Incarnation: 10, Zone: "c", Version: 1}, State: peer.Alive},
	}},
	"report-unchanged.cbor":        {Answer: peer.Accepted, Boot: 0x8000000000000001, Version: 43},
	"report-replaced.cbor":         {Answer: peer.Replaced, Boot: 5, Version: 2},
	"report-name-taken.cbor":       {Answer: peer.NameTaken, Boot: 5, Version: 2},
	"report-too-many-members.cbor": {Answer: peer.TooManyMembers, Boot: 5, Version: 2},
}

// TestRecordedHeartbeats guards fleets of mixed versions: heartbeats and their reports are read from and written for
// earlier versions, on the same path.
func TestRecordedHeartbeats(t *testing.T) {
	for name, want := range recordedBeats {
		testutil.CheckRecordedCBOR(t, "testdata/"+name, want)
	}
	for name, want := range recordedReports {
		testutil.CheckRecordedCBOR(t, "testdata/"+name, want)
	}
	if HeartbeatPath != "/v1/beat" {
		t.Errorf("heartbeats go to %s", HeartbeatPath)
	}
}
