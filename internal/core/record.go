package core

import (
	"time"

	"mulleinpier/internal/eventlog"
	"mulleinpier/internal/request"
	"mulleinpier/policy"
)

// This file records the events of requests and attempts in the event log. The record methods are called with Core.mu
// held, and do nothing unless the event log is enabled.

// Recorder returns the event log, for the events of client connections.
func (c *Core) Recorder() *eventlog.Recorder { return c.recorder }

// Addressed is a [Reply] that knows the address of its client.
type Addressed interface{ Address() string }

// addressOf returns the address of a reply's client, or "" if it is not known.
func addressOf(reply Reply) string {
	if client, ok := reply.(Addressed); ok {
		return client.Address()
	}
	return ""
}

// remaining returns the time until a request's deadline.
func (c *Core) remaining(req *InFlightRequest) time.Duration { return req.deadline - c.policyTime() }

func (c *Core) recordAccepted(req *InFlightRequest) {
	if !c.recorder.Enabled() {
		return
	}
	age := time.Duration(0)
	if req.request.Arrival.Latest > 0 {
		age = c.monotonic() - req.request.Arrival.Latest
	}
	c.recorder.Record(eventlog.RequestAccepted{
		ID:        req.request.ID,
		Class:     req.request.Class,
		Client:    addressOf(req.reply),
		Timeout:   req.request.Timeout,
		Age:       age,
		Remaining: c.remaining(req),
	})
}

func (c *Core) recordRejected(in *request.Request, reply Reply, reason string) {
	if !c.recorder.Enabled() {
		return
	}
	c.recorder.Record(eventlog.RequestRejected{ID: in.ID, Client: addressOf(reply), Reason: reason})
}

func (c *Core) recordDispatched(req *InFlightRequest, attempt *nodeAttempt, reason policy.Reason) {
	if !c.recorder.Enabled() {
		return
	}
	c.recorder.Record(eventlog.AttemptDispatched{
		RequestID: req.request.ID,
		Attempt:   attempt.Number,
		Node:      attempt.nodeName,
		Reason:    reason.String(),
	})
}

func (c *Core) recordStarted(req *InFlightRequest, attempt *nodeAttempt) {
	if !c.recorder.Enabled() {
		return
	}
	c.recorder.Record(eventlog.AttemptStarted{
		RequestID: req.request.ID,
		Attempt:   attempt.Number,
		Node:      attempt.nodeName,
		Remaining: time.Until(attempt.Deadline),
	})
}

func (c *Core) recordEnded(req *InFlightRequest, attempt *nodeAttempt, result policy.Result) {
	if !c.recorder.Enabled() {
		return
	}
	c.recorder.Record(eventlog.AttemptEnded{
		RequestID: req.request.ID,
		Attempt:   attempt.Number,
		Node:      attempt.nodeName,
		Result:    result.String(),
		Duration:  c.policyTime() - attempt.dispatchedAt,
	})
}

func (c *Core) recordAnswered(req *InFlightRequest, answer *request.Answer, reason string) {
	if !c.recorder.Enabled() {
		return
	}
	c.recorder.Record(eventlog.RequestAnswered{
		ID:        req.request.ID,
		Answer:    answer.Kind.String(),
		Reason:    reason,
		Duration:  c.policyTime() - req.acceptedAt,
		Remaining: c.remaining(req),
	})
}

func (c *Core) recordAbandoned(req *InFlightRequest) {
	if !c.recorder.Enabled() {
		return
	}
	c.recorder.Record(eventlog.RequestAbandoned{
		ID:        req.request.ID,
		Duration:  c.policyTime() - req.acceptedAt,
		Remaining: c.remaining(req),
	})
}
