package quorum

import (
	"encoding/binary"

	"github.com/fxamacker/cbor/v2"
	"go.etcd.io/raft/v3/raftpb"

	"mulleinpier/internal/lease"
)

// maxPending limits the pending proposals, and separately the pending renewals.
const maxPending = 4096

// pendingRenewal is the request that a renewal answers, and the grant that it renews.
type pendingRenewal struct{ requestID, token uint64 }

// logEntry is the content of an entry of the voters' log.
type logEntry struct {
	RequestID uint64        `cbor:"1,keyasint"` // given by the proposer; 0 for a command of its expiry manager
	Proposer  uint64        `cbor:"2,keyasint"` // incarnation of the voter that proposed it
	Command   lease.Command `cbor:"3,keyasint"`
}

// handleRequest handles a request from a holder or an operator. If this voter does not lead, or too many requests are
// pending, the outcome is NoAnswer.
func (r *Replica) handleRequest(e RequestReceived) {
	if !r.leading || len(r.proposals) >= maxPending || len(r.renewals) >= maxPending {
		r.emit(Response{RequestID: e.RequestID})
		return
	}
	if e.Token > 0 {
		r.renew(e.RequestID, e.Command.Task, e.Token)
		return
	}
	if err := r.checkCommand(&e.Command); err != nil {
		r.emit(Response{RequestID: e.RequestID, Outcome: lease.Rejected, Err: err})
		return
	}
	if c := &e.Command; c.Kind == lease.Acquire {
		r.handleExpiryEvent(lease.WaiterSeen{Task: c.Task, Holder: c.Holder, Nonce: c.Nonce})
		if r.answerRepeated(e) {
			return
		}
	}
	r.propose(e.RequestID, e.Command)
}

// checkCommand returns an error if a command is invalid, and sets the voter ID of a change of voters.
func (r *Replica) checkCommand(c *lease.Command) error {
	if err := r.parameters.CheckCommand(c); err != nil {
		return err
	}
	if c.Kind != lease.AddVoter && c.Kind != lease.RemoveVoter {
		return nil
	}
	id, err := r.machine.CheckVoterChange(c)
	c.VoterID = id
	return err
}

// answerRepeated answers an Acquire whose sender already has a grant or a place in the queue from an earlier copy of
// the same Acquire, and reports whether it did. Such an Acquire is not proposed again.
func (r *Replica) answerRepeated(e RequestReceived) bool {
	t := r.machine.Tasks[e.Command.Task]
	if t == nil {
		return false
	}
	for _, g := range t.Grants {
		if g.Holder == e.Command.Holder && g.Nonce == e.Command.Nonce {
			r.renew(e.RequestID, e.Command.Task, g.Token)
			return true
		}
	}
	for _, w := range t.Waiters {
		if w.Holder == e.Command.Holder && w.Nonce == e.Command.Nonce {
			r.emit(Response{RequestID: e.RequestID, Outcome: lease.Queued})
			return true
		}
	}
	return false
}

func (r *Replica) renew(requestID uint64, task string, token uint64) {
	r.lastRenewalID++
	r.renewals[r.lastRenewalID] = pendingRenewal{requestID, token}
	r.handleExpiryEvent(lease.Renew{RequestID: r.lastRenewalID, Task: task, Token: token})
}

// propose proposes a command to the voters. The request ID is 0 for a command of the expiry manager.
func (r *Replica) propose(requestID uint64, c lease.Command) {
	err := r.proposeEntry(requestID, c)
	switch {
	case requestID == 0 && err != nil:
		r.handleExpiryEvent(lease.ProposalDropped{Command: c})
	case requestID == 0: // there is no request to answer
	case err != nil:
		r.emit(Response{RequestID: requestID})
	default:
		r.proposals[requestID] = c
	}
}

func (r *Replica) proposeEntry(requestID uint64, c lease.Command) error {
	data, err := cbor.Marshal(logEntry{RequestID: requestID, Proposer: r.incarnation, Command: c})
	if err != nil {
		return err
	}
	switch c.Kind {
	case lease.AddVoter:
		return r.proposeVoterChange(raftpb.ConfChangeType_ConfChangeAddNode, c.VoterID, data)
	case lease.RemoveVoter:
		return r.proposeVoterChange(raftpb.ConfChangeType_ConfChangeRemoveNode, c.VoterID, data)
	default:
		return r.node.Propose(data)
	}
}

func (r *Replica) proposeVoterChange(kind raftpb.ConfChangeType, id uint64, entry []byte) error {
	return r.node.ProposeConfChange(&raftpb.ConfChange{Type: kind.Enum(), NodeId: &id, Context: entry})
}

// handleExpiryEvent passes an event to the expiry manager and carries out its actions.
func (r *Replica) handleExpiryEvent(event lease.ExpiryEvent) {
	for _, a := range r.expiry.Handle(r.now, event, nil) {
		switch a := a.(type) {
		case lease.ConfirmLeadership:
			r.node.ReadIndex(binary.BigEndian.AppendUint64(nil, a.Sequence))
		case lease.Propose:
			r.propose(0, a.Command)
		case lease.RenewalResult:
			renewal := r.renewals[a.RequestID]
			delete(r.renewals, a.RequestID)
			response := Response{RequestID: renewal.requestID, Outcome: a.Outcome}
			if a.Outcome == lease.Granted {
				response.Token = renewal.token
			}
			r.emit(response)
		}
	}
}
