package rpc

import "sync/atomic"

// Traffic counts the messages that this process has sent and received since its start.
type Traffic struct {
	Messages int64 `json:"messages"` // requests and responses
	Bytes    int64 `json:"bytes"`    // bytes of the messages' bodies
}

var messageCount, byteCount atomic.Int64

// TrafficSoFar returns a snapshot of the traffic counters.
func TrafficSoFar() Traffic { return Traffic{messageCount.Load(), byteCount.Load()} }

func countMessage(bytes int) {
	messageCount.Add(1)
	byteCount.Add(int64(bytes))
}
