package transport

import (
	"mulleinpier/internal/peer"
	"mulleinpier/internal/peer/rpc"
)

// HeartbeatPath is where watchers take heartbeats.
const HeartbeatPath = "/v1/beat"

// heartbeat is what an instance sends a watcher.
type heartbeat struct {
	rpc.Header
	Member peer.Member `cbor:"3,keyasint"`
	// ServerIncarnation and KnownVersion are those of the watcher's last report; 0 for none.
	ServerIncarnation uint64 `cbor:"4,keyasint,omitempty"`
	KnownVersion      uint64 `cbor:"5,keyasint,omitempty"`
}

// report answers a heartbeat with what the watcher knows.
type report struct {
	Result            peer.HeartbeatResult `cbor:"1,keyasint"`
	ServerIncarnation uint64               `cbor:"2,keyasint"` // drawn at the watcher's start
	Version           uint64               `cbor:"3,keyasint"` // of the watcher's opinion
	// Complete says that Members are all; else they are those that have changed since the version that is known.
	Complete bool               `cbor:"4,keyasint,omitempty"`
	Members  []peer.MemberState `cbor:"5,keyasint,omitempty"`
}
