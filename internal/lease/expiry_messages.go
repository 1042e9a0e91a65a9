package lease

// ExpiryEvent is an input of an [ExpiryManager].
type ExpiryEvent interface{ expiryEvent() }

type (
	// LeadershipAcquired says that this voter leads, and has applied all that was decided before it did.
	LeadershipAcquired struct{}
	// LeadershipLost says that this voter does not lead, or can't know.
	LeadershipLost struct{}
	// CommandApplied says that the state machine has carried out a command.
	CommandApplied struct {
		Command Command
		Result  Result
	}
	// Renew is a holder's request to renew its lease.
	Renew struct {
		RequestID uint64 // repeated in the RenewalResult
		Task      string
		Token     uint64
	}
	// WaiterSeen says that a waiter has sent a request.
	WaiterSeen struct {
		Task, Holder string
		Nonce        uint64
	}
	// LeadershipConfirmed says that this voter still led after the ConfirmLeadership of this sequence, and those
	// before it, had been asked for.
	LeadershipConfirmed struct{ Sequence uint64 }
	// Tick has the deadlines checked.
	Tick struct{}
)

func (LeadershipAcquired) expiryEvent()  {}
func (LeadershipLost) expiryEvent()      {}
func (CommandApplied) expiryEvent()      {}
func (Renew) expiryEvent()               {}
func (WaiterSeen) expiryEvent()          {}
func (LeadershipConfirmed) expiryEvent() {}
func (Tick) expiryEvent()                {}

// ExpiryAction is what an [ExpiryManager] wants done.
type ExpiryAction interface{ expiryAction() }

type (
	// ConfirmLeadership asks whether this voter still leads, as of now.
	ConfirmLeadership struct{ Sequence uint64 }
	// RenewalResult answers a Renew. Granted makes the holder count its lease anew from when it sent the request;
	// NotHeld says that it does not hold the task any more, NoAnswer that this voter can't know.
	RenewalResult struct {
		RequestID uint64
		Outcome   Outcome
	}
	// Propose puts a command before the voters.
	Propose struct{ Command Command }
)

func (ConfirmLeadership) expiryAction() {}
func (RenewalResult) expiryAction()     {}
func (Propose) expiryAction()           {}
