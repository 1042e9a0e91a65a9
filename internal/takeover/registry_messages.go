package takeover

import "time"

// Event is an input of a [Registry].
type Event interface{ event() }

type (
	// ClaimRequest asks for the permission to send a write, or for its outcome. An owner asks its own registry first,
	// and other holders only once that has answered: so it has one claim to a write at a time.
	ClaimRequest struct {
		RequestID uint64 // repeated in the ClaimResponse
		Write     Write
		Owner     Owner
		Rank      int           // of this holder among the write's holders
		Epoch     uint64        // of a proxy that has taken the write over; 0 for a client's request
		Age       time.Duration // since the write may have run first, with Epoch
		Retry     bool          // the client marks its request as a repetition
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
	// OwnerLost says that a process is gone.
	OwnerLost struct{ Owner Owner }
	// OwnerReturned says that a process that was taken for lost is alive.
	OwnerReturned struct{ Owner Owner }
	// WaiterLeft says that an owner does not wait for a write any more.
	WaiterLeft struct {
		ID        string // of the write
		RequestID uint64
	}
	// Rejoined says that this process was out of the others' reach, or paused: it may lack what it was sent.
	Rejoined struct{}
	// Tick has the deadlines checked.
	Tick struct{}
)

func (ClaimRequest) event()  {}
func (Completion) event()    {}
func (OwnerLost) event()     {}
func (OwnerReturned) event() {}
func (WaiterLeft) event()    {}
func (Rejoined) event()      {}
func (Tick) event()          {}

// Decision is what a registry answers to a claim. The numbers are sent between proxies.
type Decision uint8

// The decisions.
const (
	Granted       Decision = iota + 1 // the write may be sent, for PermissionDuration from when the owner asked
	AlreadyServed                     // with a receipt
	WindowExpired                     // the write may have run, and its window is over
	Conflict                          // the key belongs to another write
	Declined                          // no permission: there is no room, or another took the write over since
	SafeToRetry                       // the write surely has not run, and its owner gave it up
	InProgress                        // another owner has it: one of the other decisions follows once that has ended
)

// Action is what a [Registry] wants done.
type Action interface{ action() }

type (
	// ClaimResponse answers a ClaimRequest.
	ClaimResponse struct {
		RequestID uint64
		Decision  Decision
		Epoch     uint64        // with Granted
		Age       time.Duration // with Granted: since the write may have run first; 0 for never
		Receipt   string        // with AlreadyServed
		// MayHaveForgotten, with Granted, says that the write may have run before unknown to this holder, which has
		// started or come back lately.
		MayHaveForgotten bool
		// PreviousOwner, with Granted, is that of a write which the holder knew.
		PreviousOwner Owner
	}
	// TakeOver makes this process the owner of an orphaned write that no owner waits for. The other holders must be
	// asked before it is sent: one of them may know more.
	TakeOver struct {
		Write         Write
		Epoch         uint64
		Age           time.Duration // since the write may have run first
		PreviousOwner Owner
	}
)

func (ClaimResponse) action() {}
func (TakeOver) action()      {}
