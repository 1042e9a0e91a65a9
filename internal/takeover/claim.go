package takeover

import "time"

// Verdict is the decision on an owner's claim to a write.
type Verdict uint8

// Every verdict but Undecided is final.
const (
	Undecided           Verdict = iota // holders have yet to respond
	Proceed                            // the owner may send the write until the permission ends
	ReturnReceipt                      // the write was served: Claim.Receipt
	OutcomeUnknown                     // the write may have run and must not be sent; the request fails
	Reject                             // answered as busy: this owner has not sent the write and won't
	KeyConflict                        // the key was used for another write; it has an error of its own
	ProceedUnreplicated                // the owner may send without holders, as configured
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

// String returns the verdict's name in logs. It panics for a value that is none of the constants.
func (v Verdict) String() string { return verdictNames[v] }

// Options configure the replication of keyed writes.
type Options struct {
	Replicas       int  // holders besides the owner: 1 or 2
	RequireReplica bool // reject a write if no other holder grants it
}

// ClaimKind is the reason for which an owner claims a write.
type ClaimKind uint8

// Kinds other than FirstAttempt are claims to writes that may have run before.
const (
	FirstAttempt ClaimKind = iota // a client's first request
	ClientRetry                   // a request that the client marked as a retry
	TakenOver                     // a holder takes over an orphaned write
)

// Claim is an owner's side of one write. The zero value is not usable.
type Claim struct {
	parameters  Parameters
	options     Options
	kind        ClaimKind
	window      time.Duration
	requestedAt time.Duration // by the owner's clock

	awaitedResponses   int
	inProgress         bool     // a holder reported that another owner has the write in flight
	windowExpired      bool     // a holder reported that the write must not be sent any more
	grants             int      // including that of the owner's own registry, which comes first
	unavailableHolders int      // holders that declined or timed out
	uninformed         []string // holders that did not respond, or may not know of earlier sends
	previousOwner      string   // name of the owner that a holder reported
	epoch              uint64
	age                time.Duration // time since the first possible send: the longest that a holder reported, or 0

	verdict  Verdict
	deadline time.Duration // end of the permission to send
	receipt  string
}

// NewClaim returns a claim to a write at the owner's own registry and the given number of other holders. All of them
// that are alive must grant it, so that each knows of every send.
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

// Verdict returns the current verdict and, with Proceed, when the permission ends by the owner's clock.
func (c *Claim) Verdict() (Verdict, time.Duration) { return c.verdict, c.deadline }

// Receipt returns the receipt of the served write, with ReturnReceipt.
func (c *Claim) Receipt() string { return c.receipt }

// Epoch returns the highest epoch that a holder granted; 0 without a grant.
func (c *Claim) Epoch() uint64 { return c.epoch }

// IsInProgress reports whether a holder has responded with InProgress. Its final response follows later.
func (c *Claim) IsInProgress() bool { return c.inProgress }

// HandleResponse processes a holder's response.
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
	case WindowExpired: // not final: another holder may know that the write was served
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

// ReplaceHolder records that another holder is asked instead of the named one, which is gone or did not respond.
func (c *Claim) ReplaceHolder(holder string) { c.uninformed = append(c.uninformed, holder) }

// HolderTimedOut records that a holder has not responded in time and that there is no other to ask.
func (c *Claim) HolderTimedOut(holder string) {
	if c.verdict == Undecided {
		c.unavailableHolders++
	}
	c.HolderGone(holder)
}

// HolderGone records that a holder's process has ended or is unreachable.
func (c *Claim) HolderGone(holder string) {
	c.awaitedResponses--
	c.uninformed = append(c.uninformed, holder)
	if c.verdict == Undecided {
		c.decide()
	}
}

// ClientTimedOut forces a verdict, as the client's deadline has passed.
func (c *Claim) ClientTimedOut() {
	switch {
	case c.verdict != Undecided:
	case c.inProgress || c.windowExpired || c.age > 0:
		c.verdict = OutcomeUnknown
	default:
		c.verdict = Reject
	}
}

// decide gives a verdict only once no response is awaited, since any holder may know that the write was served.
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
		if c.age > 0 { // the write may have run: send it only while nodes drop duplicates
			c.deadline = min(c.deadline, c.requestedAt-c.age+c.parameters.atLeast(c.window))
		}
	}
}

// decideWithoutHolders decides when a holder is unavailable or, for a client's write, no other holder granted it.
func (c *Claim) decideWithoutHolders() {
	switch {
	case c.kind != FirstAttempt || c.age > 0: // the write may have run
		c.verdict = OutcomeUnknown
	case c.options.RequireReplica:
		c.verdict = Reject
	default:
		c.verdict = ProceedUnreplicated
	}
}

// mayHaveRunEarlier reports whether a retried or orphaned write may have run longer ago than the responding holders
// know. This is the case once as many holders as there are replicas are uninformed: these may be all that knew of it.
func (c *Claim) mayHaveRunEarlier() bool {
	switch c.kind {
	case ClientRetry:
		return c.countUninformed() >= c.options.Replicas
	case TakenOver:
		return c.options.Replicas > 1 && c.countUninformed() >= c.options.Replicas
	}
	return false
}

// countUninformed counts the uninformed holders, without the previous owner, which is known to be lost.
func (c *Claim) countUninformed() (n int) {
	for _, holder := range c.uninformed {
		if holder != c.previousOwner {
			n++
		}
	}
	return n
}
