package takeover

import "time"

// Verdict is what an owner does with a write.
type Verdict uint8

// The verdicts.
const (
	Undecided           Verdict = iota // it waits for holders
	Proceed                            // it sends the write until the permission ends, not a moment later
	ReturnReceipt                      // the write was served: Claim.Receipt
	OutcomeUnknown                     // the write may have run, and may not be sent: a failure
	Reject                             // as busy, at once: the write was not sent by this owner, nor will it be
	KeyConflict                        // the key belongs to another write: an error of its own
	ProceedUnreplicated                // it sends the write without holders, which the configuration allows
)

var verdictNames = [...]string{
	Undecided:           "undecided",
	Proceed:             "proceed",
	ReturnReceipt:       "return receipt",
	OutcomeUnknown:      "outcome unknown",
	Reject:              "reject",
	KeyConflict:         "key conflict",
	ProceedUnreplicated: "proceed unreplicated",
}

// String returns the verdict as logs have it.
func (v Verdict) String() string { return verdictNames[v] }

// Options are the configuration of replicated writes.
type Options struct {
	Replicas       int  // holders beside the owner: 1 or 2
	RequireReplica bool // a write is rejected where none of them can be had
}

// ClaimKind is why an owner claims a write.
type ClaimKind uint8

// The kinds.
const (
	FirstAttempt ClaimKind = iota // a client's first request
	ClientRetry                   // a request that the client marks as a repetition
	TakenOver                     // a holder continues an orphaned write
)

// Claim is an owner's side of one write. The zero value is not usable.
type Claim struct {
	parameters  Parameters
	options     Options
	kind        ClaimKind
	window      time.Duration
	requestedAt time.Duration // by the owner's clock

	awaitedResponses   int
	inProgress         bool     // another owner has the write
	windowExpired      bool     // a holder says that it may not be sent any more
	grants             int      // the first is that of the owner's own registry
	unavailableHolders int      // others that had no room, or did not answer
	uninformed         []string // holders that did not answer, or may have forgotten
	previousOwner      string   // name of the owner that a holder knew
	epoch              uint64
	age                time.Duration // the most that any holder knows

	verdict  Verdict
	deadline time.Duration // of the permission
	receipt  string
}

// NewClaim returns the claim to a write at the owner's own registry and so many other holders. All of them that live
// must grant it: so each of them knows of whatever was sent.
func NewClaim(
	parameters Parameters, window, now time.Duration, others int, o Options, kind ClaimKind,
) *Claim {
	return &Claim{
		parameters:       parameters,
		options:          o,
		kind:             kind,
		window:           window,
		requestedAt:      now,
		awaitedResponses: 1 + others,
	}
}

// Verdict returns what is decided so far, and with Proceed when the permission ends, by the owner's clock.
func (c *Claim) Verdict() (Verdict, time.Duration) { return c.verdict, c.deadline }

// Receipt returns that of a write which was served, with ReturnReceipt.
func (c *Claim) Receipt() string { return c.receipt }

// Epoch returns the epoch that the owner completes the write under.
func (c *Claim) Epoch() uint64 { return c.epoch }

// IsInProgress reports whether a holder has said that another owner has the write: a further response of it follows.
func (c *Claim) IsInProgress() bool { return c.inProgress }

// HandleResponse applies a holder's response.
func (c *Claim) HandleResponse(holder string, r ClaimResponse) {
	if r.Decision == InProgress {
		c.inProgress = true
		return
	}
	c.awaitedResponses--
	if c.verdict != Undecided {
		return
	}
	switch r.Decision {
	case AlreadyServed:
		c.verdict, c.receipt = ReturnReceipt, r.Receipt
	case WindowExpired: // no verdict yet: another holder may know that the write was served
		c.windowExpired = true
	case Conflict:
		c.verdict = KeyConflict
	case SafeToRetry:
		c.verdict = Reject
	case Declined:
		c.unavailableHolders++
	case Granted:
		c.addGrant(holder, r)
	}
	c.decide()
}

func (c *Claim) addGrant(holder string, r ClaimResponse) {
	c.grants++
	if r.MayHaveForgotten {
		c.uninformed = append(c.uninformed, holder)
	}
	if r.Age > 0 {
		c.age = max(c.age, c.parameters.atMost(r.Age))
		c.previousOwner = r.PreviousOwner.Name
	}
	c.epoch = max(c.epoch, r.Epoch)
}

// ReplaceHolder says that another holder is asked in place of one that does not answer.
func (c *Claim) ReplaceHolder(holder string) { c.uninformed = append(c.uninformed, holder) }

// HolderTimedOut says that a holder has not answered, and that there is no other to ask.
func (c *Claim) HolderTimedOut(holder string) {
	if c.verdict == Undecided {
		c.unavailableHolders++
	}
	c.HolderGone(holder)
}

// HolderGone says that a holder has ended, or can't be reached.
func (c *Claim) HolderGone(holder string) {
	c.awaitedResponses--
	c.uninformed = append(c.uninformed, holder)
	if c.verdict == Undecided {
		c.decide()
	}
}

// ClientTimedOut ends the waiting, as the client's time is over.
func (c *Claim) ClientTimedOut() {
	switch {
	case c.verdict != Undecided:
	case c.inProgress || c.windowExpired || c.age > 0:
		c.verdict = OutcomeUnknown
	default:
		c.verdict = Reject
	}
}

// decide reaches a verdict once all holders that can answer have: one of several may know that the write was served.
func (c *Claim) decide() {
	switch {
	case c.verdict != Undecided || c.awaitedResponses > 0:
	case c.windowExpired:
		c.verdict = OutcomeUnknown
	case c.unavailableHolders > 0 || c.grants <= 1 && c.kind != TakenOver:
		c.decideWithoutHolders()
	case c.mayHaveRunEarlier():
		c.verdict = OutcomeUnknown
	default:
		c.verdict = Proceed
		c.deadline = c.requestedAt + c.parameters.atLeast(c.parameters.PermissionDuration)
		if c.age > 0 { // it may have run: only while its repeats are dropped
			c.deadline = min(c.deadline, c.requestedAt-c.age+c.parameters.atLeast(c.window))
		}
	}
}

// decideWithoutHolders decides where holders can't be had.
func (c *Claim) decideWithoutHolders() {
	switch {
	case c.kind != FirstAttempt || c.age > 0: // it may have run
		c.verdict = OutcomeUnknown
	case c.options.RequireReplica:
		c.verdict = Reject
	default:
		c.verdict = ProceedUnreplicated
	}
}

// mayHaveRunEarlier reports whether a write that is not new may have run longer ago than the holders that answered
// know. That is so once as many holders as there are replicas are uninformed: they may be all that knew.
func (c *Claim) mayHaveRunEarlier() bool {
	switch c.kind {
	case ClientRetry:
		return c.countUninformed() >= c.options.Replicas
	case TakenOver:
		return c.options.Replicas > 1 && c.countUninformed() >= c.options.Replicas
	}
	return false
}

// countUninformed counts the uninformed holders but for the previous owner, which is known to be lost.
func (c *Claim) countUninformed() (n int) {
	for _, holder := range c.uninformed {
		if holder != c.previousOwner {
			n++
		}
	}
	return n
}
