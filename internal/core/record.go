package core

import (
	"syscall"
	"time"

	"mulleinpier/internal/eventlog"
	"mulleinpier/internal/request"
	"mulleinpier/policy"
)

// This file writes down what becomes of requests. All of it is called with Core.mu held, but for
// [Core.Recorder], and does nothing unless events are logged.

// Recorder takes the events of what the core's connections do.
func (c *Core) Recorder() *eventlog.Recorder { return c.recorder }

// Addressed is a Reply that knows the address of its client.
type Addressed interface{ Address() string }

// addressOf returns the address of a reply's client, "" where nobody can tell.
func addressOf(reply Reply) string {
	if client, ok := reply.(Addressed); ok {
		return client.Address()
	}
	return ""
}

// remaining returns the time until a request's deadline.
func (c *Core) remaining(r *InFlightRequest) time.Duration { return r.deadline - c.now() }

func (c *Core) recordAccepted(r *InFlightRequest) {
	if !c.recorder.Enabled() {
		return
	}
	age := time.Duration(0)
	if r.request.Arrival.Latest > 0 {
		age = c.monotonic() - r.request.Arrival.Latest
	}
	c.recorder.Record(eventlog.RequestAccepted{ID: r.request.ID, Class: r.request.Class, Client: addressOf(r.reply),
		Timeout: r.request.Timeout, Age: age, Remaining: c.remaining(r)})
}

func (c *Core) recordRejected(in *request.Request, reply Reply, reason string) {
	if c.recorder.Enabled() {
		c.recorder.Record(eventlog.RequestRejected{ID: in.ID, Client: addressOf(reply), Reason: reason})
	}
}

func (c *Core) recordDispatched(r *InFlightRequest, a *attempt, reason policy.Reason) {
	if c.recorder.Enabled() {
		c.recorder.Record(eventlog.AttemptDispatched{ID: r.request.ID, Attempt: a.Number, Node: a.nodeName, Reason: reason.String()})
	}
}

func (c *Core) recordStarted(r *InFlightRequest, a *attempt) {
	if c.recorder.Enabled() {
		c.recorder.Record(eventlog.AttemptStarted{ID: r.request.ID, Attempt: a.Number, Node: a.nodeName, Remaining: time.Until(a.Deadline)})
	}
}

func (c *Core) recordEnded(r *InFlightRequest, a *attempt, result policy.Result) {
	if c.recorder.Enabled() {
		c.recorder.Record(eventlog.AttemptEnded{ID: r.request.ID, Attempt: a.Number, Node: a.nodeName, Result: result.String(),
			Duration: c.now() - a.dispatchedAt})
	}
}

func (c *Core) recordAnswered(r *InFlightRequest, a *request.Answer, reason string) {
	if c.recorder.Enabled() {
		c.recorder.Record(eventlog.RequestAnswered{ID: r.request.ID, Answer: a.Kind.String(), Reason: reason,
			Duration: c.now() - r.acceptedAt, Remaining: c.remaining(r)})
	}
}

func (c *Core) recordAbandoned(r *InFlightRequest) {
	if c.recorder.Enabled() {
		c.recorder.Record(eventlog.RequestAbandoned{ID: r.request.ID, Duration: c.now() - r.acceptedAt, Remaining: c.remaining(r)})
	}
}

// processorTime returns the processor time that this process has used, zero where nobody can tell.
func processorTime() time.Duration {
	var usage syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &usage) != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}
