package upstream

import (
	"bufio"
	"time"

	"mulleinpier/internal/eventlog"
	"mulleinpier/internal/request"
)

// This file records in the event log what was written to and read from a connection, so that an answer can be traced
// to the attempts that its connection has carried. The record methods do nothing unless the event log is enabled.

// maxRecordedData is the number of bytes of malformed data that are recorded.
const maxRecordedData = 64

// recordWritten records the attempts of a batch whose last byte is among those from offset start to offset end, which
// were just written. Pool.mu is held.
func (c *conn) recordWritten(batch []*Attempt, start, end int) {
	recorder := c.pool.recorder
	if !recorder.Enabled() {
		return
	}
	for _, a := range batch {
		if a.endOffset <= start || a.endOffset > end {
			continue
		}
		recorder.Record(eventlog.AttemptWritten{
			RequestID:  a.Request.ID,
			Attempt:    a.Number,
			Node:       c.node.Name,
			Connection: c.number,
			Answers:    c.answers,
		})
	}
}

// recordAnswer records an answer, and whether it is confirmed. It is called by the reader, with Pool.mu held.
func (c *conn) recordAnswer(a *Attempt, answer *request.Answer, confirmed bool) {
	recorder := c.pool.recorder
	if !recorder.Enabled() {
		return
	}
	recorder.Record(eventlog.NodeAnswered{
		RequestID:  a.Request.ID,
		Attempt:    a.Number,
		Node:       c.node.Name,
		Connection: c.number,
		Answer:     answer.Kind.String(),
		Attributed: answer.Attributed,
		Confirmed:  confirmed,
		Answers:    c.answers,
		SinceLast:  c.sinceLastAnswer(),
	})
}

// recordMalformed records data that is no answer to an attempt in flight. It is called by the reader, with Pool.mu
// held.
func (c *conn) recordMalformed(in *bufio.Reader, err error) {
	recorder := c.pool.recorder
	if !recorder.Enabled() {
		return
	}
	data, _ := in.Peek(min(in.Buffered(), maxRecordedData))
	recorder.Record(eventlog.NodeDataMalformed{
		Node:       c.node.Name,
		Connection: c.number,
		Err:        err,
		InFlight:   len(c.inFlight),
		Answers:    c.answers,
		SinceLast:  c.sinceLastAnswer(),
		Data:       string(data),
	})
}

// sinceLastAnswer returns the time since the latest answer on the connection, zero if there was none.
func (c *conn) sinceLastAnswer() time.Duration {
	if c.lastAnswerAt.IsZero() {
		return 0
	}
	return time.Since(c.lastAnswerAt)
}
