package eventlog

import (
	"log/slog"
	"time"
)

// RequestAccepted tells that a request was read and given to the core.
type RequestAccepted struct {
	ID        string
	Class     string
	Client    string        // address of its connection
	Timeout   time.Duration // as its client said
	Age       time.Duration // since its last byte came, as far as the proxy knows
	Remaining time.Duration // until its deadline as the proxy reckons it
}

// AttemptDispatched tells that the module chose a node for a request.
type AttemptDispatched struct {
	ID      string
	Attempt int
	Node    string
	Reason  string // why there is this attempt
}

// AttemptStarted tells that an attempt was let go, right before its first byte is written.
type AttemptStarted struct {
	ID        string
	Attempt   int
	Node      string
	Remaining time.Duration // until the deadline that its node is told
}

// AttemptEnded tells how an attempt ended.
type AttemptEnded struct {
	ID       string
	Attempt  int
	Node     string
	Result   string
	Duration time.Duration
}

// RequestAnswered tells that a request got its final answer.
type RequestAnswered struct {
	ID        string
	Answer    string
	Reason    string // of a refusal or failure
	Duration  time.Duration
	Remaining time.Duration // until its deadline; negative if it is late
}

// RequestRejected tells of a request that was answered without being taken.
type RequestRejected struct {
	ID     string
	Client string
	Reason string
}

// RequestAbandoned tells that a request's client has gone before the answer.
type RequestAbandoned struct {
	ID        string
	Duration  time.Duration
	Remaining time.Duration // until its deadline
}

// ClientConnected tells of a client's new connection.
type ClientConnected struct{ Client string }

// ClientDisconnected tells of the end of a client's connection.
type ClientDisconnected struct {
	Client     string
	Reason     string
	Unanswered int           // commands that were read and got no answer
	Duration   time.Duration // since it was accepted
}

// NodeConnected tells of a connection to a node that came up.
type NodeConnected struct {
	Node     string
	Duration time.Duration
}

// NodeDisconnected tells of the end of a connection to a node.
type NodeDisconnected struct {
	Node     string
	Reason   string
	InFlight int // attempts that were written on it and not answered
	Queued   int // attempts that were not yet written on it
}

// NodeDialFailed tells of a connection to a node that did not come up.
type NodeDialFailed struct {
	Node     string
	Duration time.Duration
	Err      error
}

// NodeUpdated tells of a change of a node in the list in force.
type NodeUpdated struct {
	Node, Mode string
	Version    uint64
}

// ProcessStalled tells that nothing of the process ran for a while.
type ProcessStalled struct {
	Duration time.Duration
	CPUTime  time.Duration // processor time that the process used since the latest tick before
	Count    int           // since this was last told, this one among them
	InFlight int           // requests
}

func (e RequestAccepted) describe() (string, []slog.Attr) {
	return "request taken", []slog.Attr{slog.String("id", e.ID), slog.String("class", e.Class), slog.String("client", e.Client),
		slog.Duration("wait", e.Timeout), slog.Duration("age", e.Age), slog.Duration("left", e.Remaining)}
}

func (e AttemptDispatched) describe() (string, []slog.Attr) {
	return "attempt sent", []slog.Attr{slog.String("id", e.ID), slog.Int("attempt", e.Attempt), slog.String("node", e.Node),
		slog.String("reason", e.Reason)}
}

func (e AttemptStarted) describe() (string, []slog.Attr) {
	return "attempt begun", []slog.Attr{slog.String("id", e.ID), slog.Int("attempt", e.Attempt), slog.String("node", e.Node),
		slog.Duration("left", e.Remaining)}
}

func (e AttemptEnded) describe() (string, []slog.Attr) {
	return "attempt ended", []slog.Attr{slog.String("id", e.ID), slog.Int("attempt", e.Attempt), slog.String("node", e.Node),
		slog.String("result", e.Result), slog.Duration("took", e.Duration)}
}

func (e RequestAnswered) describe() (string, []slog.Attr) {
	return "request answered", []slog.Attr{slog.String("id", e.ID), slog.String("answer", e.Answer), slog.String("reason", e.Reason),
		slog.Duration("took", e.Duration), slog.Duration("left", e.Remaining)}
}

func (e RequestRejected) describe() (string, []slog.Attr) {
	return "request refused", []slog.Attr{slog.String("id", e.ID), slog.String("client", e.Client), slog.String("reason", e.Reason)}
}

func (e RequestAbandoned) describe() (string, []slog.Attr) {
	return "client left", []slog.Attr{slog.String("id", e.ID), slog.Duration("took", e.Duration), slog.Duration("left", e.Remaining)}
}

func (e ClientConnected) describe() (string, []slog.Attr) {
	return "client connected", []slog.Attr{slog.String("client", e.Client)}
}

func (e ClientDisconnected) describe() (string, []slog.Attr) {
	return "client closed", []slog.Attr{slog.String("client", e.Client), slog.String("reason", e.Reason),
		slog.Int("unanswered", e.Unanswered), slog.Duration("lived", e.Duration)}
}

func (e NodeConnected) describe() (string, []slog.Attr) {
	return "node connected", []slog.Attr{slog.String("node", e.Node), slog.Duration("took", e.Duration)}
}

func (e NodeDisconnected) describe() (string, []slog.Attr) {
	return "node closed", []slog.Attr{slog.String("node", e.Node), slog.String("reason", e.Reason),
		slog.Int("open", e.InFlight), slog.Int("queued", e.Queued)}
}

func (e NodeDialFailed) describe() (string, []slog.Attr) {
	return "dial failed", []slog.Attr{slog.String("node", e.Node), slog.Duration("took", e.Duration), slog.Any("error", e.Err)}
}

func (e NodeUpdated) describe() (string, []slog.Attr) {
	return "node listed", []slog.Attr{slog.String("node", e.Node), slog.String("mode", e.Mode), slog.Uint64("version", e.Version)}
}

func (e ProcessStalled) describe() (string, []slog.Attr) {
	return "held up", []slog.Attr{slog.Duration("for", e.Duration), slog.Duration("cpu", e.CPUTime), slog.Int("times", e.Count), slog.Int("open", e.InFlight)}
}
