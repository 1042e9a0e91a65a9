package takeover

import "time"

// Event is an input of a [Registry].
type Event interface{ event() }

type (
	// ClaimRequest asks for a permission to send a write, or for its outcome. An owner asks its own registry first
	// and the other holders only after its registry has responded, so that the owner has one claim to a write at a
	// time.
	ClaimRequest struct {
		RequestID uint64 // returned in the ClaimResponse
		Write     Write
		Owner     Owner
		Rank      int           // rank of this holder among the write's holders
		Epoch     uint64        // epoch of a write that the owner has taken over; 0 for a client's request
		Age       time.Duration // time since the write may first have run; only with Epoch
		Retry     bool          // the client marked its request as a retry, or the write was taken over
	}
	// Completion reports the outcome of a write.
	Completion struct {
		ID      string
		Digest  uint64
		Owner   Owner
		Epoch   uint64
		Outcome Outcome
		Receipt string
	}
	// OwnerLost reports that a process is gone.
	OwnerLost struct{ Owner Owner }
	// OwnerReturned reports that a process that was considered lost is alive.
	OwnerReturned struct{ Owner Owner }
	// WaiterLeft reports that an owner no longer waits for a write.
	WaiterLeft struct {
		ID        string // ID of the write
		RequestID uint64
	}
	// Rejoined reports that this process was paused or unreachable, and may have missed messages. It starts a new
	// recovery period.
	Rejoined struct{}
	// Tick checks the deadlines. The caller sends it at regular intervals.
	Tick struct{}
)

func (ClaimRequest) event()  {}
func (Completion) event()    {}
func (OwnerLost) event()     {}
func (OwnerReturned) event() {}
func (WaiterLeft) event()    {}
func (Rejoined) event()      {}
func (Tick) event()          {}

// Decision is a registry's response to a claim. The numeric values are sent between proxies.
type Decision uint8

// InProgress is the only decision that is followed by another one for the same claim.
const (
	Granted       Decision = iota + 1 // the write may be sent for PermissionDuration, from when the owner asked
	AlreadyServed                     // the response has the receipt
	WindowExpired                     // the write may have run, and its window is over or its outcome unknown
	Conflict                          // the key was used for another write
	Declined                          // there is no room, or a later owner has the write
	SafeToRetry                       // the write has not run, and its owner has given it up
	InProgress                        // another owner has the write; a further response follows when that changes
)

// Action is an output of a [Registry], which the caller carries out.
type Action interface{ action() }

type (
	// ClaimResponse is the response to a ClaimRequest.
	ClaimResponse struct {
		RequestID uint64
		Decision  Decision
		Epoch     uint64        // with Granted
		Age       time.Duration // with Granted: time since the write may first have run; 0 if it is new
		Receipt   string        // with AlreadyServed
		// MayHaveForgotten, with Granted, reports that the write may have run without this holder's knowledge, which
		// has recently started or rejoined.
		MayHaveForgotten bool
		// PreviousOwner, with Granted, is the owner before this claim. It is zero for a new write.
		PreviousOwner Owner
	}
	// TakeOver makes this process the owner of an orphaned write without waiters. It must claim the write at the other
	// holders before it sends it, as one of them may know more.
	TakeOver struct {
		Write         Write
		Epoch         uint64
		Age           time.Duration // since the write may first have run
		PreviousOwner Owner
	}
)

func (ClaimResponse) action() {}
func (TakeOver) action()      {}
