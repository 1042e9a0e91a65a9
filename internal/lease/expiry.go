package lease

import (
	"slices"
	"time"
)

// maxUnconfirmedRenewals limits the renewals that wait for a confirmation of leadership.
const maxUnconfirmedRenewals = 4096

// ExpiryManager tracks lease deadlines on the leader. A new leader does not know when its predecessor last renewed a
// lease, so it restarts the full duration of every lease that it inherits.
type ExpiryManager struct {
	parameters          Parameters
	machine             *StateMachine // the caller applies the commands
	leading             bool
	deadlines           map[uint64]leaseDeadline // by fencing token
	waiterLastSeen      map[waiterKey]time.Duration
	unconfirmedRenewals []renewal // in order of sequence
	lastSequence        uint64
}

// leaseDeadline says when a grant expires on the voters.
type leaseDeadline struct {
	task     string
	at       time.Duration
	expiring bool // an Expire was proposed, and the grant can't be renewed any more
}

type waiterKey struct {
	task, holder string
	nonce        uint64
}

// renewal is a requested renewal that waits for the confirmation that this voter still leads.
type renewal struct {
	sequence  uint64
	requestID uint64
	task      string
	token     uint64
}

// NewExpiryManager returns the expiry manager of a voter. The caller applies commands to the state machine, and reports
// each one with a CommandApplied event.
func NewExpiryManager(parameters Parameters, machine *StateMachine) *ExpiryManager {
	return &ExpiryManager{
		parameters:     parameters,
		machine:        machine,
		deadlines:      make(map[uint64]leaseDeadline),
		waiterLastSeen: make(map[waiterKey]time.Duration),
	}
}

// IsLeader reports whether this voter believes that it leads; another voter may already have taken over.
func (m *ExpiryManager) IsLeader() bool { return m.leading }

// TimeLeft returns the time until a grant expires, for display, and whether the grant has a deadline. The time is up to
// date only on the leader.
func (m *ExpiryManager) TimeLeft(token uint64, now time.Duration) (time.Duration, bool) {
	d, ok := m.deadlines[token]
	return d.at - now, ok
}

// Handle handles an event that occurs at now, and appends the resulting actions to out.
func (m *ExpiryManager) Handle(now time.Duration, event ExpiryEvent, out []ExpiryAction) []ExpiryAction {
	switch e := event.(type) {
	case LeadershipAcquired:
		m.becomeLeader(now)
	case LeadershipLost:
		return m.stepDown(out)
	case CommandApplied:
		if m.leading {
			m.commandApplied(now, &e)
		}
	case WaiterSeen:
		w := waiterKey{e.Task, e.Holder, e.Nonce}
		if _, ok := m.waiterLastSeen[w]; ok {
			m.waiterLastSeen[w] = now
		}
	case Renew:
		return m.renew(e, out)
	case LeadershipConfirmed:
		return m.confirmRenewals(now, e.Sequence, out)
	case ProposalDropped:
		m.proposalDropped(now, &e.Command)
	case Tick:
		if m.leading {
			return m.proposeWaiterReleases(now, m.proposeExpired(now, out))
		}
	}
	return out
}

// becomeLeader restarts the deadlines of all grants and the timeouts of all waiters.
func (m *ExpiryManager) becomeLeader(now time.Duration) {
	m.leading = true
	clear(m.deadlines)
	clear(m.waiterLastSeen)
	for name, t := range m.machine.Tasks {
		for _, g := range t.Grants {
			m.setDeadline(now, name, g)
		}
		for _, w := range t.Waiters {
			m.waiterLastSeen[waiterKey{name, w.Holder, w.Nonce}] = now
		}
	}
}

func (m *ExpiryManager) setDeadline(now time.Duration, task string, g Grant) {
	m.deadlines[g.Token] = leaseDeadline{task: task, at: now + m.parameters.voterDuration(g.Duration)}
}

// stepDown answers the pending renewals with NoAnswer: this voter can't know whether their grants are still valid.
func (m *ExpiryManager) stepDown(out []ExpiryAction) []ExpiryAction {
	m.leading = false
	for _, r := range m.unconfirmedRenewals {
		out = append(out, RenewalResult{r.requestID, NoAnswer})
	}
	m.unconfirmedRenewals = nil
	return out
}

// commandApplied keeps track of the grants that a command has created or ended, and of the waiter that it has queued.
func (m *ExpiryManager) commandApplied(now time.Duration, e *CommandApplied) {
	for _, token := range e.Result.EndedTokens {
		delete(m.deadlines, token)
	}
	for _, g := range e.Result.NewGrants {
		delete(m.waiterLastSeen, waiterKey{e.Command.Task, g.Holder, g.Nonce})
		m.setDeadline(now, e.Command.Task, g)
	}
	c := &e.Command
	isQueued := c.Kind == Acquire && e.Result.Err == nil && e.Result.Grant.Token == 0
	if isQueued {
		m.waiterLastSeen[waiterKey{c.Task, c.Holder, c.Nonce}] = now
	}
}

// renew asks for a confirmation of leadership first: a leader that was replaced without noticing must not renew. A
// confirmation covers all renewals that were requested before this voter asked for it.
func (m *ExpiryManager) renew(e Renew, out []ExpiryAction) []ExpiryAction {
	switch {
	case !m.leading || len(m.unconfirmedRenewals) >= maxUnconfirmedRenewals:
		return append(out, RenewalResult{e.RequestID, NoAnswer})
	case !m.isRenewable(e.Task, e.Token):
		return append(out, RenewalResult{e.RequestID, NotHeld})
	}
	m.lastSequence++
	m.unconfirmedRenewals = append(m.unconfirmedRenewals, renewal{m.lastSequence, e.RequestID, e.Task, e.Token})
	return append(out, ConfirmLeadership{m.lastSequence})
}

// confirmRenewals answers the pending renewals up to a sequence, and extends the leases that can still be renewed.
func (m *ExpiryManager) confirmRenewals(now time.Duration, sequence uint64, out []ExpiryAction) []ExpiryAction {
	for len(m.unconfirmedRenewals) > 0 && m.unconfirmedRenewals[0].sequence <= sequence {
		r := m.unconfirmedRenewals[0]
		m.unconfirmedRenewals = m.unconfirmedRenewals[1:]
		outcome := NotHeld
		if m.isRenewable(r.task, r.token) {
			g, _ := m.machine.FindGrant(r.task, r.token)
			at := max(m.deadlines[r.token].at, now+m.parameters.voterDuration(g.Duration))
			m.deadlines[r.token] = leaseDeadline{task: r.task, at: at}
			outcome = Granted
		}
		out = append(out, RenewalResult{r.requestID, outcome})
	}
	return out
}

func (m *ExpiryManager) isRenewable(task string, token uint64) bool {
	g, ok := m.machine.FindGrant(task, token)
	d := m.deadlines[token]
	return m.leading && ok && !g.Revoked && !d.expiring && d.task == task
}

// proposeExpired proposes an Expire for each grant whose deadline has passed, in order of token so that the same events
// always produce the same actions.
func (m *ExpiryManager) proposeExpired(now time.Duration, out []ExpiryAction) []ExpiryAction {
	var expired []uint64
	for token, d := range m.deadlines {
		if now >= d.at && !d.expiring {
			expired = append(expired, token)
		}
	}
	slices.Sort(expired)
	for _, token := range expired {
		d := m.deadlines[token]
		d.expiring = true
		m.deadlines[token] = d
		out = append(out, Propose{Command{Kind: Expire, Task: d.task, Token: token}})
	}
	return out
}

// proposalDropped lets the next Tick propose a dropped Expire again, and counts a waiter whose Release was dropped as
// silent from now on.
func (m *ExpiryManager) proposalDropped(now time.Duration, c *Command) {
	if c.Kind == Release {
		m.waiterLastSeen[waiterKey{c.Task, c.Holder, c.Nonce}] = now
		return
	}
	if d, ok := m.deadlines[c.Token]; ok {
		d.expiring = false
		m.deadlines[c.Token] = d
	}
}

// proposeWaiterReleases proposes to remove from the queue each waiter that has sent nothing for its waiterTimeout. Two
// waiters with the same nonce and equally long holder names are released in no fixed order.
func (m *ExpiryManager) proposeWaiterReleases(now time.Duration, out []ExpiryAction) []ExpiryAction {
	var silent []waiterKey
	for w, seen := range m.waiterLastSeen {
		if now-seen > m.waiterTimeout(w) {
			silent = append(silent, w)
		}
	}
	slices.SortFunc(silent, func(a, b waiterKey) int {
		if a.nonce != b.nonce {
			return int(min(max(int64(a.nonce-b.nonce), -1), 1))
		}
		return len(a.holder) - len(b.holder)
	})
	for _, w := range silent {
		delete(m.waiterLastSeen, w)
		out = append(out, Propose{Command{Kind: Release, Task: w.task, Holder: w.holder, Nonce: w.nonce}})
	}
	return out
}

// waiterTimeout returns how long a waiter may go without sending a request: as long as voters would keep the lease that
// it requests; 0 if it is not queued.
func (m *ExpiryManager) waiterTimeout(w waiterKey) time.Duration {
	if t := m.machine.Tasks[w.task]; t != nil {
		for _, x := range t.Waiters {
			if x.Holder == w.holder && x.Nonce == w.nonce {
				return m.parameters.voterDuration(x.Duration)
			}
		}
	}
	return 0
}
