package lease

// ExpiryEvent is an input of an [ExpiryManager].
type ExpiryEvent interface{ expiryEvent() }

type (
	// LeadershipAcquired says that this voter leads, and has applied all entries committed before its term as leader.
	LeadershipAcquired struct{}
	// LeadershipLost says that this voter does not lead, or can't know whether it does.
	LeadershipLost struct{}
	// CommandApplied says that the state machine has applied a command.
	CommandApplied struct {
		Command Command
		Result  Result
	}
	// Renew is a holder's request to renew its lease.
	Renew struct {
		RequestID uint64 // the RenewalResult for this request has the same ID
		Task      string
		Token     uint64
	}
	// WaiterSeen says that a waiter has sent a request.
	WaiterSeen struct {
		Task, Holder string
		Nonce        uint64
	}
	// LeadershipConfirmed says that this voter still led after it had emitted the ConfirmLeadership with this
	// sequence. It confirms all earlier sequences, too.
	LeadershipConfirmed struct{ Sequence uint64 }
	// ProposalDropped says that a command of a Propose was not proposed, and may be proposed again at the next Tick.
	ProposalDropped struct{ Command Command }
	// Tick makes the manager check all deadlines and timeouts.
	Tick struct{}
)

func (LeadershipAcquired) expiryEvent()  {}
func (LeadershipLost) expiryEvent()      {}
func (CommandApplied) expiryEvent()      {}
func (Renew) expiryEvent()               {}
func (WaiterSeen) expiryEvent()          {}
func (LeadershipConfirmed) expiryEvent() {}
func (ProposalDropped) expiryEvent()     {}
func (Tick) expiryEvent()                {}

// ExpiryAction is an output of an [ExpiryManager], which its caller carries out.
type ExpiryAction interface{ expiryAction() }

type (
	// ConfirmLeadership asks for a confirmation that this voter still leads now.
	ConfirmLeadership struct{ Sequence uint64 }
	// RenewalResult answers a Renew. With Granted, the holder counts its lease from when it sent the request. NotHeld
	// says that there is no such grant or that it can't be renewed any more, NoAnswer that this voter can't know.
	RenewalResult struct {
		RequestID uint64
		Outcome   Outcome
	}
	// Propose asks to propose a command to the voters.
	Propose struct{ Command Command }
)

func (ConfirmLeadership) expiryAction() {}
func (RenewalResult) expiryAction()     {}
func (Propose) expiryAction()           {}
