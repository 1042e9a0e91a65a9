package eventlog

import (
	"log/slog"
	"time"
)

// RequestAccepted reports that a request was read and accepted by the core.
type RequestAccepted struct {
	ID        string
	Class     string
	Client    string        // client address of the connection
	Timeout   time.Duration // requested by the client; negative for none
	Age       time.Duration // time since the request's last byte arrived, as far as the proxy knows
	Remaining time.Duration // time until the request's deadline as the proxy applies it
}

func (e RequestAccepted) describe() (string, []slog.Attr) {
	return "request accepted", []slog.Attr{
		slog.String("request", e.ID),
		slog.String("class", e.Class),
		slog.String("client", e.Client),
		slog.Duration("timeout", e.Timeout),
		slog.Duration("age", e.Age),
		slog.Duration("remaining", e.Remaining),
	}
}

// RequestRejected reports a request that was answered without being accepted.
type RequestRejected struct {
	ID     string
	Client string // client address of the connection
	Reason string
}

func (e RequestRejected) describe() (string, []slog.Attr) {
	return "request rejected", []slog.Attr{
		slog.String("request", e.ID),
		slog.String("client", e.Client),
		slog.String("reason", e.Reason),
	}
}

// RequestAnswered reports the answer to an accepted request.
type RequestAnswered struct {
	ID        string
	Answer    string        // kind of answer
	Reason    string        // why the request was rejected or failed
	Duration  time.Duration // time since the request was accepted
	Remaining time.Duration // time until the request's deadline; negative if the answer is late
}

func (e RequestAnswered) describe() (string, []slog.Attr) {
	return "request answered", []slog.Attr{
		slog.String("request", e.ID),
		slog.String("answer", e.Answer),
		slog.String("reason", e.Reason),
		slog.Duration("duration", e.Duration),
		slog.Duration("remaining", e.Remaining),
	}
}

// RequestAbandoned reports a request whose client disconnected before the answer.
type RequestAbandoned struct {
	ID        string
	Duration  time.Duration // time since the request was accepted
	Remaining time.Duration // time until the deadline of the request
}

func (e RequestAbandoned) describe() (string, []slog.Attr) {
	return "request abandoned", []slog.Attr{
		slog.String("request", e.ID),
		slog.Duration("duration", e.Duration),
		slog.Duration("remaining", e.Remaining),
	}
}

// AttemptDispatched reports that the decision module chose a node for an attempt at a request.
type AttemptDispatched struct {
	RequestID string
	Attempt   int // counted from zero
	Node      string
	Reason    string // why the attempt is made
}

func (e AttemptDispatched) describe() (string, []slog.Attr) {
	return "attempt dispatched", []slog.Attr{
		slog.String("request", e.RequestID),
		slog.Int("attempt", e.Attempt),
		slog.String("node", e.Node),
		slog.String("reason", e.Reason),
	}
}

// AttemptStarted reports an attempt right before its first byte is written.
type AttemptStarted struct {
	RequestID string
	Attempt   int
	Node      string
	Remaining time.Duration // time until the deadline that is sent to the node
}

func (e AttemptStarted) describe() (string, []slog.Attr) {
	return "attempt started", []slog.Attr{
		slog.String("request", e.RequestID),
		slog.Int("attempt", e.Attempt),
		slog.String("node", e.Node),
		slog.Duration("remaining", e.Remaining),
	}
}

// AttemptEnded reports how an attempt ended.
type AttemptEnded struct {
	RequestID string
	Attempt   int
	Node      string
	Result    string
	Duration  time.Duration // time since the attempt was dispatched
}

func (e AttemptEnded) describe() (string, []slog.Attr) {
	return "attempt ended", []slog.Attr{
		slog.String("request", e.RequestID),
		slog.Int("attempt", e.Attempt),
		slog.String("node", e.Node),
		slog.String("result", e.Result),
		slog.Duration("duration", e.Duration),
	}
}

// AttemptWritten reports an attempt whose last byte has been written to a node.
type AttemptWritten struct {
	RequestID  string
	Attempt    int
	Node       string
	Connection uint64 // number of the connection, unique in this process
	Answers    int    // answers that have been read on the connection before
}

func (e AttemptWritten) describe() (string, []slog.Attr) {
	return "attempt written", []slog.Attr{
		slog.String("request", e.RequestID),
		slog.Int("attempt", e.Attempt),
		slog.String("node", e.Node),
		slog.Uint64("connection", e.Connection),
		slog.Int("answers", e.Answers),
	}
}

// NodeAnswered reports an answer that was read while an attempt was in flight.
type NodeAnswered struct {
	RequestID  string
	Attempt    int
	Node       string
	Connection uint64
	Answer     string        // kind of answer
	Attributed bool          // the answer names the request that it belongs to
	Confirmed  bool          // it counts as the answer to this request; otherwise a no-op must show whether it is
	Answers    int           // answers that have been read on the connection before
	SinceLast  time.Duration // time since the answer before it, zero for the first
}

func (e NodeAnswered) describe() (string, []slog.Attr) {
	return "node answered", []slog.Attr{
		slog.String("request", e.RequestID),
		slog.Int("attempt", e.Attempt),
		slog.String("node", e.Node),
		slog.Uint64("connection", e.Connection),
		slog.String("answer", e.Answer),
		slog.Bool("attributed", e.Attributed),
		slog.Bool("confirmed", e.Confirmed),
		slog.Int("answers", e.Answers),
		slog.Duration("since_last", e.SinceLast),
	}
}

// NodeDataMalformed reports data from a node that is no answer to an attempt in flight.
type NodeDataMalformed struct {
	Node       string
	Connection uint64
	Err        error
	InFlight   int           // attempts that were written to the connection but not answered
	Answers    int           // answers that have been read on the connection before
	SinceLast  time.Duration // time since the answer before it, zero for the first
	Data       string        // the first unread bytes
}

func (e NodeDataMalformed) describe() (string, []slog.Attr) {
	return "node data malformed", []slog.Attr{
		slog.String("node", e.Node),
		slog.Uint64("connection", e.Connection),
		slog.Any("error", e.Err),
		slog.Int("in_flight", e.InFlight),
		slog.Int("answers", e.Answers),
		slog.Duration("since_last", e.SinceLast),
		slog.String("data", e.Data),
	}
}

// ClientConnected reports a new connection from a client.
type ClientConnected struct {
	Client string // address of the client
}

func (e ClientConnected) describe() (string, []slog.Attr) {
	return "client connected", []slog.Attr{slog.String("client", e.Client)}
}

// ClientDisconnected reports the end of a connection from a client.
type ClientDisconnected struct {
	Client     string // address of the client
	Reason     string
	Unanswered int           // commands that were read but not answered
	Duration   time.Duration // time since the connection was accepted
}

func (e ClientDisconnected) describe() (string, []slog.Attr) {
	return "client disconnected", []slog.Attr{
		slog.String("client", e.Client),
		slog.String("reason", e.Reason),
		slog.Int("unanswered", e.Unanswered),
		slog.Duration("duration", e.Duration),
	}
}

// NodeConnected reports a new connection to a node.
type NodeConnected struct {
	Node     string
	Duration time.Duration // duration of the dial
}

func (e NodeConnected) describe() (string, []slog.Attr) {
	return "node connected", []slog.Attr{slog.String("node", e.Node), slog.Duration("duration", e.Duration)}
}

// NodeDialFailed reports that a connection to a node could not be established.
type NodeDialFailed struct {
	Node     string
	Duration time.Duration // duration of the dial
	Err      error
}

func (e NodeDialFailed) describe() (string, []slog.Attr) {
	return "node dial failed", []slog.Attr{
		slog.String("node", e.Node),
		slog.Duration("duration", e.Duration),
		slog.Any("error", e.Err),
	}
}

// NodeDisconnected reports the end of a connection to a node.
type NodeDisconnected struct {
	Node       string
	Connection uint64
	Reason     string
	InFlight   int // attempts that were written to the connection but not answered
	Queued     int // attempts that were not yet written to the connection
}

func (e NodeDisconnected) describe() (string, []slog.Attr) {
	return "node disconnected", []slog.Attr{
		slog.String("node", e.Node),
		slog.Uint64("connection", e.Connection),
		slog.String("reason", e.Reason),
		slog.Int("in_flight", e.InFlight),
		slog.Int("queued", e.Queued),
	}
}

// NodeUpdated reports a change of a node in the current endpoint list.
type NodeUpdated struct {
	Node, Status string
	Version      uint64 // version of the endpoint list
}

func (e NodeUpdated) describe() (string, []slog.Attr) {
	return "node updated", []slog.Attr{
		slog.String("node", e.Node),
		slog.String("status", e.Status),
		slog.Uint64("version", e.Version),
	}
}

// ProcessStalled reports a stall: an interval in which the process did not run, too short to count as a pause.
type ProcessStalled struct {
	Duration time.Duration
	CPUTime  time.Duration // CPU time used by the process since the previous periodic check
	Count    int           // stalls since the last such event, including this one
	InFlight int           // requests in flight
}

func (e ProcessStalled) describe() (string, []slog.Attr) {
	return "process stalled", []slog.Attr{
		slog.Duration("duration", e.Duration),
		slog.Duration("cpu_time", e.CPUTime),
		slog.Int("count", e.Count),
		slog.Int("in_flight", e.InFlight),
	}
}
