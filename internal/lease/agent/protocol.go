package agent

import (
	"mulleinpier/internal/lease"
	"mulleinpier/internal/peer"
	"mulleinpier/internal/peer/rpc"
)

// Where a voter listens.
const (
	messagesPath = "/v1/raft"  // other voters' messages
	requestPath  = "/v1/lease" // holders' and operators' requests
	statePath    = "/v1/book"  // what the voter knows, as JSON
)

// voterMessages is what voters send one another.
type voterMessages struct {
	rpc.Header
	Messages [][]byte `cbor:"3,keyasint"`
	From     string   `cbor:"4,keyasint"`
	VoterID  uint64   `cbor:"5,keyasint"` // of the sender
}

// Request is what holders and operators send a voter.
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
	Leader  string        `cbor:"4,keyasint,omitempty"` // with NoAnswer: the voter to ask, "" where it is unknown
}

// VoterState is what a voter reports of itself.
type VoterState struct {
	Voter        string              `json:"voter"`
	VoterID      uint64              `json:"seat"`
	Leader       string              `json:"leader"` // "" for none that it knows
	IsLeader     bool                `json:"leads"`
	HaltReason   string              `json:"down,omitempty"` // why it votes no more
	StateMachine *lease.StateMachine `json:"book"`
	// SecondsLeft is how long each grant is kept yet, by fencing token. It is known on the leader alone.
	SecondsLeft map[uint64]float64 `json:"left_s"`
	Members     []peer.MemberState `json:"members"` // as this voter sees them
	Traffic     rpc.Traffic        `json:"traffic"` // of its process
	DiskSyncs   int                `json:"saves"`
}
