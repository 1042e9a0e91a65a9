package agent

import (
	"context"

	"go.etcd.io/raft/v3/raftpb"

	"mulleinpier/internal/lease/quorum"
	"mulleinpier/internal/peer/rpc"
)

const (
	// maxQueuedMessages bounds the messages queued for another voter; more are dropped, and sent again by raft.
	maxQueuedMessages = 256
	// maxBatchBytes is the size from which no further message is added to a batch.
	maxBatchBytes = rpc.MaxBodyBytes / 4
	// maxKnownSenders bounds Voter.senders.
	maxKnownSenders = 64
)

// queueMessage queues a message for the voter that it is for.
func (v *Voter) queueMessage(m *raftpb.Message) {
	data, err := quorum.Encode(m)
	if err != nil {
		return
	}
	select {
	case v.links[v.voterName(m.GetTo())] <- data:
	default: // no voter of that name, or its queue is full
	}
}

// voterName returns the name of a voter, "" for one that is not known. A voter that has just joined has an empty state
// machine, and knows of the others by what they send.
func (v *Voter) voterName(id uint64) string {
	if name := v.replica.StateMachine().Voters[id]; name != "" {
		return name
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.senders[id]
}

// noteSender remembers which voter sends under an ID.
func (v *Voter) noteSender(name string, id uint64) {
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

// sendMessages sends what is queued for another voter, in batches of what is there at a time.
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
		rpc.Post(ctx, v.client, to.Address, messagesPath, batch, nil) // what is lost is sent again by raft
	}
}
