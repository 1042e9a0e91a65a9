package transport

import (
	"mulleinpier/internal/peer"
	"mulleinpier/internal/peer/rpc"
)

// HeartbeatPath is the HTTP path at which watchers receive heartbeats.
const HeartbeatPath = "/v1/beat"

// heartbeat is the request from an instance to a watcher.
type heartbeat struct {
	rpc.Header
	Member peer.Member `cbor:"3,keyasint"`
	// ServerIncarnation and KnownVersion are those of the watcher's last report, or 0 without one.
	ServerIncarnation uint64 `cbor:"4,keyasint,omitempty"`
	KnownVersion      uint64 `cbor:"5,keyasint,omitempty"`
}

// report is the response to a heartbeat.
type report struct {
	Result            peer.HeartbeatResult `cbor:"1,keyasint"`
	ServerIncarnation uint64               `cbor:"2,keyasint"` // random, chosen at the watcher's start
	Version           uint64               `cbor:"3,keyasint"` // version of the watcher's opinion
	// Complete is set if Members has all members, and not only those that have changed since KnownVersion.
	Complete bool               `cbor:"4,keyasint,omitempty"`
	Members  []peer.MemberState `cbor:"5,keyasint,omitempty"`
}
