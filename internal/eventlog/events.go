package eventlog

import (
	"log/slog"
	"time"
)

// RequestTaken tells that a request was read and given to the core.
type RequestTaken struct {
	ID     string
	Class  string
	Client string        // address of its connection
	Wait   time.Duration // as its client said
	Age    time.Duration // since its last byte came, as far as the proxy knows
	Left   time.Duration // until its deadline as the proxy reckons it
}

// AttemptSent tells that the module chose a node for a request.
type AttemptSent struct {
	ID      string
	Attempt int
	Node    string
	Reason  string // why there is this attempt
}

// AttemptBegun tells that an attempt was let go, right before its first byte is written.
type AttemptBegun struct {
	ID      string
	Attempt int
	Node    string
	Left    time.Duration // until the deadline that its node is told
}

// AttemptEnded tells how an attempt ended.
type AttemptEnded struct {
	ID      string
	Attempt int
	Node    string
	Result  string
	Took    time.Duration
}

// RequestAnswered tells that a request got its final answer.
type RequestAnswered struct {
	ID     string
	Answer string
	Reason string // of a refusal or failure
	Took   time.Duration
	Left   time.Duration // until its deadline; negative if it is late
}

// RequestRefused tells of a request that was answered without being taken.
type RequestRefused struct {
	ID     string
	Client string
	Reason string
}

// ClientLeft tells that a request's client has gone before the answer.
type ClientLeft struct {
	ID   string
	Took time.Duration
	Left time.Duration // until its deadline
}

// ClientConnected tells of a client's new connection.
type ClientConnected struct{ Client string }

// ClientClosed tells of the end of a client's connection.
type ClientClosed struct {
	Client     string
	Reason     string
	Unanswered int           // commands that were read and got no answer
	Lived      time.Duration // since it was accepted
}

// NodeConnected tells of a connection to a node that came up.
type NodeConnected struct {
	Node string
	Took time.Duration
}

// NodeClosed tells of the end of a connection to a node.
type NodeClosed struct {
	Node   string
	Reason string
	Open   int // attempts that were written on it and not answered
	Queued int // attempts that were not yet written on it
}

// DialFailed tells of a connection to a node that did not come up.
type DialFailed struct {
	Node  string
	Took  time.Duration
	Cause error
}

// NodeListed tells of a change of a node in the list in force.
type NodeListed struct {
	Node, Mode string
	Version    uint64
}

// HeldUp tells that nothing of the process ran for a while.
type HeldUp struct {
	For   time.Duration
	CPU   time.Duration // processor time that the process used since the latest tick before
	Times int           // since this was last told, this one among them
	Open  int           // requests
}

func (e RequestTaken) describe() (string, []slog.Attr) {
	return "request taken", []slog.Attr{slog.String("id", e.ID), slog.String("class", e.Class), slog.String("client", e.Client),
		slog.Duration("wait", e.Wait), slog.Duration("age", e.Age), slog.Duration("left", e.Left)}
}

func (e AttemptSent) describe() (string, []slog.Attr) {
	return "attempt sent", []slog.Attr{slog.String("id", e.ID), slog.Int("attempt", e.Attempt), slog.String("node", e.Node),
		slog.String("reason", e.Reason)}
}

func (e AttemptBegun) describe() (string, []slog.Attr) {
	return "attempt begun", []slog.Attr{slog.String("id", e.ID), slog.Int("attempt", e.Attempt), slog.String("node", e.Node),
		slog.Duration("left", e.Left)}
}

func (e AttemptEnded) describe() (string, []slog.Attr) {
	return "attempt ended", []slog.Attr{slog.String("id", e.ID), slog.Int("attempt", e.Attempt), slog.String("node", e.Node),
		slog.String("result", e.Result), slog.Duration("took", e.Took)}
}

func (e RequestAnswered) describe() (string, []slog.Attr) {
	return "request answered", []slog.Attr{slog.String("id", e.ID), slog.String("answer", e.Answer), slog.String("reason", e.Reason),
		slog.Duration("took", e.Took), slog.Duration("left", e.Left)}
}

func (e RequestRefused) describe() (string, []slog.Attr) {
	return "request refused", []slog.Attr{slog.String("id", e.ID), slog.String("client", e.Client), slog.String("reason", e.Reason)}
}

func (e ClientLeft) describe() (string, []slog.Attr) {
	return "client left", []slog.Attr{slog.String("id", e.ID), slog.Duration("took", e.Took), slog.Duration("left", e.Left)}
}

func (e ClientConnected) describe() (string, []slog.Attr) {
	return "client connected", []slog.Attr{slog.String("client", e.Client)}
}

func (e ClientClosed) describe() (string, []slog.Attr) {
	return "client closed", []slog.Attr{slog.String("client", e.Client), slog.String("reason", e.Reason),
		slog.Int("unanswered", e.Unanswered), slog.Duration("lived", e.Lived)}
}

func (e NodeConnected) describe() (string, []slog.Attr) {
	return "node connected", []slog.Attr{slog.String("node", e.Node), slog.Duration("took", e.Took)}
}

func (e NodeClosed) describe() (string, []slog.Attr) {
	return "node closed", []slog.Attr{slog.String("node", e.Node), slog.String("reason", e.Reason),
		slog.Int("open", e.Open), slog.Int("queued", e.Queued)}
}

func (e DialFailed) describe() (string, []slog.Attr) {
	return "dial failed", []slog.Attr{slog.String("node", e.Node), slog.Duration("took", e.Took), slog.Any("error", e.Cause)}
}

func (e NodeListed) describe() (string, []slog.Attr) {
	return "node listed", []slog.Attr{slog.String("node", e.Node), slog.String("mode", e.Mode), slog.Uint64("version", e.Version)}
}

func (e HeldUp) describe() (string, []slog.Attr) {
	return "held up", []slog.Attr{slog.Duration("for", e.For), slog.Duration("cpu", e.CPU), slog.Int("times", e.Times), slog.Int("open", e.Open)}
}
