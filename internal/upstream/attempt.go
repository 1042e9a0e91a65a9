package upstream

import (
	"bufio"
	"slices"
	"time"

	"mulleinpier/internal/request"
)

// Result is how an attempt ended without a served answer.
type Result uint8

// The results of attempts. The node may have executed the attempt only after Failed, ConnectionLost and Malformed.
const (
	Busy                   Result = iota // the node rejected the attempt
	Failed                               // the node answered with an error
	NotWritten                           // the last byte of the attempt was never written
	ConnectionLost                       // the connection ended after the last byte was written
	Malformed                            // the node's answer can't be parsed
	ConnectionLimitReached               // the node rejected the connection because it is at its limit
)

// Attempt sends a request to a node once. It is written at most once, and its end is reported to the Handler
// exactly once unless the attempt was withdrawn.
type Attempt struct {
	ID           uint64           // the request's id, chosen by the handler
	Number       int              // the attempt's number within its request, chosen by the handler
	Request      *request.Request // must not be changed after Pool.Send
	Deadline     time.Time        // when the proxy stops waiting for the answer
	HandlerState any              // for the handler; not used by this package
	// StartBefore is the time from which the attempt is not written any more, if it is before Deadline. The zero time
	// stands for Deadline. The handler may change it in BeforeWrite.
	StartBefore time.Time
	// Previous are the earlier attempts of the request at the same node. An attempt with RunsAlone is not sent on their
	// connections, where a second answer to one of them would be taken for the answer to it.
	Previous []*Attempt
	// ConfirmPath is set for an attempt that repeats one that may have been executed. It is written only on a
	// connection that has just been confirmed to deliver, see pathcheck.go.
	ConfirmPath bool

	// Guarded by Pool.mu, except for endOffset, which only the connection's writer uses.
	node      string // name of the node
	conn      uint64 // number of the connection that has carried it; zero for none
	endOffset int    // offset of the end of its bytes in the batch being written
	requeued  bool   // already moved once from a connection that ended
	abandoned bool   // nobody waits for the answer
}

// mayUse reports whether an attempt may be sent on a connection. Pool.mu is held.
func (a *Attempt) mayUse(c *conn) bool {
	return !a.Request.RunsAlone ||
		!slices.ContainsFunc(a.Previous, func(previous *Attempt) bool { return previous.conn == c.number })
}

// mustNotRun reports whether an attempt was abandoned that has side effects. Pool.mu is held.
func (a *Attempt) mustNotRun() bool { return a.abandoned && a.Request.SideEffects }

// Handler checks attempts before they are written and is notified of how they end. The package holds no lock while it
// calls the handler.
type Handler interface {
	// BeforeWrite returns the attempts of a batch that may still be written. The handler drops the others, for which
	// Ended is not called. The result may reuse the batch's memory.
	BeforeWrite(batch []*Attempt) []*Attempt
	// MayConfirm reports whether a no-op may be sent on the connection of an attempt, to find out
	// whether an answer that names no request is the answer to it.
	MayConfirm(a *Attempt) bool
	// WrittenLate reports that the first bytes of a batch were written long after BeforeWrite had returned it,
	// because the process was paused in between or the node accepted no data.
	WrittenLate(batch []*Attempt, delay time.Duration)
	// Answered ends an attempt with a served answer. The handler owns the answer from then on.
	Answered(a *Attempt, answer *request.Answer)
	// Ended ends an attempt that was not served. answer is the node's busy or error answer, nil without one.
	Ended(a *Attempt, answer *request.Answer, result Result)
}

// Dialect formats requests for nodes and parses their answers. Implementations are stateless and comparable with ==.
type Dialect interface {
	// AppendHead appends the part of a request before its value. timeout is how long the proxy will wait for
	// the answer.
	AppendHead(dst []byte, r *request.Request, timeout time.Duration) []byte
	// AppendTail appends the part of a request after its value.
	AppendTail(dst []byte, r *request.Request) []byte
	// AppendNoop appends a no-op. Nodes answer it after all commands before it.
	AppendNoop(dst []byte) []byte
	// ReadNoopAnswer reads the answer to a no-op while no request is in flight. It returns false if the node rejects
	// it. Its errors are like those of ReadAnswer.
	ReadNoopAnswer(in *bufio.Reader) (accepted bool, err error)
	// ReadAnswer reads the next answer, which must be the answer to one of the expected requests, of which there is at
	// least one, or to a no-op. It returns the index of the request that the answer names, and 0 for
	// an answer that names none. After an error the position in the stream is undefined. Network errors are
	// *net.OpError, io.EOF or io.ErrUnexpectedEOF; any other error means that the answer is malformed.
	ReadAnswer(in *bufio.Reader, expected []*request.Request) (answer request.Answer, index int, err error)
}
