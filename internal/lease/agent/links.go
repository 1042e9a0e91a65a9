package agent

import (
	"context"

	"go.etcd.io/raft/v3/raftpb"

	"mulleinpier/internal/lease/quorum"
	"mulleinpier/internal/peer/rpc"
)

const (
	// maxQueuedMessages limits the messages queued for each other voter. Further ones are dropped; raft sends again.
	maxQueuedMessages = 256
	// maxBatchBytes is the size at which no further message is added to a batch.
	maxBatchBytes = rpc.MaxBodyBytes / 4
	// maxKnownSenders limits the size of Voter.senders.
	maxKnownSenders = 64
)

// queueMessage queues a message for its recipient, or drops it if there is no room.
func (v *Voter) queueMessage(m *raftpb.Message) {
	data, err := quorum.Encode(m)
	if err != nil {
		return
	}
	select {
	case v.messageQueues[v.voterName(m.GetTo())] <- data:
	default: // the recipient has no queue, or its queue is full
	}
}

// voterName returns the name of the voter with an ID, or "" if the name is unknown. A voter that has just joined has an
// empty state machine, and knows the other voters only from the messages that they send.
func (v *Voter) voterName(id uint64) string {
	if name := v.replica.StateMachine().Voters[id]; name != "" {
		return name
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.senders[id]
}

// recordSender records the name of a voter that sent a message, by its ID. Names that are not in the fleet are ignored.
func (v *Voter) recordSender(name string, id uint64) {
	if v.fleet.voterIndex(name) < 0 {
		return
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	if len(v.senders) >= maxKnownSenders {
		clear(v.senders)
	}
	v.senders[id] = name
}

// sendMessages sends the messages queued for another voter, in batches of all that are queued, up to maxBatchBytes.
func (v *Voter) sendMessages(ctx context.Context, to VoterAddress, queue <-chan []byte) {
	for {
		batch := voterMessages{Header: rpc.NewHeader(v.fleet.Name), From: v.name, VoterID: v.id}
		select {
		case <-ctx.Done():
			return
		case data := <-queue:
			batch.Messages = append(batch.Messages, data)
		}
		for size := len(batch.Messages[0]); len(queue) > 0 && size < maxBatchBytes; {
			data := <-queue
			batch.Messages = append(batch.Messages, data)
			size += len(data)
		}
		rpc.Post(ctx, v.client, to.Address, messagesPath, batch, nil) // errors are ignored: raft sends again
	}
}
