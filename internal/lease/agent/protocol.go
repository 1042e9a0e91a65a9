package agent

import (
	"mulleinpier/internal/lease"
	"mulleinpier/internal/peer"
	"mulleinpier/internal/peer/rpc"
)

// HTTP paths of a voter.
const (
	messagesPath = "/v1/raft"  // other voters' messages
	requestPath  = "/v1/lease" // holders' and operators' requests
	statePath    = "/v1/book"  // the VoterState, as JSON
)

// voterMessages is a batch of messages from one voter to another.
type voterMessages struct {
	rpc.Header
	Messages [][]byte `cbor:"3,keyasint"`
	From     string   `cbor:"4,keyasint"`
	VoterID  uint64   `cbor:"5,keyasint"` // of the sender
}

// Request is a request from a holder or an operator to a voter.
type Request struct {
	rpc.Header
	Command lease.Command `cbor:"3,keyasint"`
	Token   uint64        `cbor:"4,keyasint,omitempty"` // of the grant to renew; 0 for a command
}

// Reply answers a Request.
type Reply struct {
	Outcome lease.Outcome `cbor:"1,keyasint"`
	Token   uint64        `cbor:"2,keyasint,omitempty"`
	Error   string        `cbor:"3,keyasint,omitempty"`
	Leader  string        `cbor:"4,keyasint,omitempty"` // with NoAnswer: the name of the leader, "" if unknown
}

// VoterState is the state that a voter reports for display.
type VoterState struct {
	Voter        string              `json:"voter"`
	VoterID      uint64              `json:"seat"`
	Leader       string              `json:"leader"` // "" if unknown
	IsLeader     bool                `json:"leads"`
	HaltReason   string              `json:"down,omitempty"` // why the voter has halted, "" if it has not
	StateMachine *lease.StateMachine `json:"book"`
	// SecondsLeft is the time until each grant expires, by fencing token. It is up to date only on the leader.
	SecondsLeft map[uint64]float64 `json:"left_s"`
	Members     []peer.MemberState `json:"members"` // as this voter observes them by their heartbeats
	Traffic     rpc.Traffic        `json:"traffic"` // of the voter's process
	DiskSyncs   int                `json:"saves"`
}
