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
	// MessageReceived is a message of another voter.
	MessageReceived struct{ Message *raftpb.Message }
	// RequestReceived is a request of a holder or an operator: a command, or with a Token the renewal of that grant.
	RequestReceived struct {
		RequestID uint64 // repeated in the Response
		Command   lease.Command
		Token     uint64
	}
	// SaveCompleted says that the latest Save has been carried out.
	SaveCompleted struct{}
	// SaveFailed says that the latest Save could not be carried out.
	SaveFailed struct{ Err error }
)

func (Tick) event()            {}
func (MessageReceived) event() {}
func (RequestReceived) event() {}
func (SaveCompleted) event()   {}
func (SaveFailed) event()      {}

// Action is what a [Replica] wants done, in order.
type Action interface{ action() }

type (
	// Save makes a state durable, all or nothing; SaveCompleted or SaveFailed follows. A snapshot replaces the log up
	// to it; entries replace those of the same index and all after them.
	Save struct{ State PersistentState }
	// CompactLog drops the log up to a snapshot that is saved with it. No event needs to follow.
	CompactLog struct{ Snapshot *raftpb.Snapshot }
	// Send sends messages to other voters; any may be lost.
	Send struct{ Messages []*raftpb.Message }
	// Response answers a request. A command other than Acquire that was carried out has the outcome NotHeld: its
	// sender holds nothing by it.
	Response struct {
		RequestID uint64
		Outcome   lease.Outcome
		Token     uint64
		Err       error
	}
	// WaitersGranted says that waiters have been granted a task, while this voter leads.
	WaitersGranted struct {
		Task   string
		Grants []lease.Grant
	}
	// LeadershipChanged says that this voter leads now, or not any more.
	LeadershipChanged struct{ IsLeader bool }
	// Halted says that this voter takes no part any more: its disk has failed, or what it has saved contradicts the
	// others'.
	Halted struct{ Err error }
)

func (Save) action()              {}
func (CompactLog) action()        {}
func (Send) action()              {}
func (Response) action()          {}
func (LeadershipChanged) action() {}
func (WaitersGranted) action()    {}
func (Halted) action()            {}

// Encode returns a voter's message as it is sent to another voter.
func Encode(m *raftpb.Message) ([]byte, error) { return proto.Marshal(m) }

// Decode reads what Encode wrote.
func Decode(data []byte) (*raftpb.Message, error) {
	m := new(raftpb.Message)
	if err := proto.Unmarshal(data, m); err != nil {
		return nil, fmt.Errorf("quorum: message: %w", err)
	}
	return m, nil
}
