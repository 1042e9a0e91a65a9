package quorum

import (
	"fmt"

	"go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"

	"mulleinpier/internal/lease"
)

// Event is an input of a [Replica].
type Event interface{ event() }

type (
	// Tick says that one TickInterval has passed.
	Tick struct{}
	// MessageReceived is a message from another voter.
	MessageReceived struct{ Message *raftpb.Message }
	// RequestReceived is a request from a holder or an operator: a command or, with a Token, a renewal of that grant.
	RequestReceived struct {
		RequestID uint64 // the Response to this request has the same ID
		Command   lease.Command
		Token     uint64
	}
	// SaveCompleted says that the latest Save has succeeded.
	SaveCompleted struct{}
	// SaveFailed says that the latest Save has failed.
	SaveFailed struct{ Err error }
)

func (Tick) event()            {}
func (MessageReceived) event() {}
func (RequestReceived) event() {}
func (SaveCompleted) event()   {}
func (SaveFailed) event()      {}

// Action is an output of a [Replica]. Its caller carries out the actions in order.
type Action interface{ action() }

type (
	// Save makes a state durable, atomically; SaveCompleted or SaveFailed has to follow. A snapshot replaces the
	// whole log. New entries replace the saved entries from the first new index on.
	Save struct{ State PersistentState }
	// CompactLog saves a snapshot and deletes the log up to it. No event has to follow.
	CompactLog struct{ Snapshot *raftpb.Snapshot }
	// Send sends messages to other voters; any of them may be lost.
	Send struct{ Messages []*raftpb.Message }
	// Response answers a request. A command other than Acquire that succeeded has the outcome NotHeld, because it
	// gives its sender no grant.
	Response struct {
		RequestID uint64
		Outcome   lease.Outcome
		Token     uint64
		Err       error
	}
	// WaitersGranted reports the grants that a command created, for its sender or for waiters, on the leader only.
	WaitersGranted struct {
		Task   string
		Grants []lease.Grant
	}
	// LeadershipChanged says that this voter leads now, or no longer leads.
	LeadershipChanged struct{ IsLeader bool }
	// Halted says that this voter handles no more events until its process restarts: its disk has failed, or its saved
	// state contradicts that of the other voters.
	Halted struct{ Err error }
)

func (Save) action()              {}
func (CompactLog) action()        {}
func (Send) action()              {}
func (Response) action()          {}
func (LeadershipChanged) action() {}
func (WaitersGranted) action()    {}
func (Halted) action()            {}

// Encode encodes a message for another voter.
func Encode(m *raftpb.Message) ([]byte, error) { return proto.Marshal(m) }

// Decode decodes a message that Encode has encoded.
func Decode(data []byte) (*raftpb.Message, error) {
	m := new(raftpb.Message)
	if err := proto.Unmarshal(data, m); err != nil {
		return nil, fmt.Errorf("quorum: decode message: %w", err)
	}
	return m, nil
}
