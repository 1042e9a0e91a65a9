package upstream

import (
	"bufio"
	"time"

	"mulleinpier/internal/request"
)

// Result is how an attempt ended without a served answer.
type Result uint8

// The results.
const (
	Busy                   Result = iota // rejected by the node
	Failed                               // the node reported an error, and may have executed it
	NotWritten                           // its last byte was never written
	ConnectionLost                       // the connection ended after that
	Malformed                            // what came instead of its answer can't be read
	ConnectionLimitReached               // the node accepts no further connection, and has not executed it
)

// Attempt is one sending of a request. It is written at most once and has exactly one end, reported to the
// Handler, unless it was withdrawn.
type Attempt struct {
	ID           uint64           // of the request, chosen by the handler
	Number       int              // among the attempts of the request, chosen by the handler
	Request      *request.Request // not to be changed any more
	Deadline     time.Time        // when the proxy stops waiting
	HandlerState any              // not used by this package

	// Guarded by Pool.mu, except for endOffset, which belongs to the writer of the connection.
	node      string
	endOffset int  // where its bytes end among those of the batch that is written
	requeued  bool // it was moved from a connection that ended
	abandoned bool // nobody waits for its answer
}

// Handler is notified of what becomes of attempts. No lock of this package is held during its calls.
type Handler interface {
	// BeforeWrite drops the attempts of a batch whose first byte must not be written any more, and returns
	// the others. Those that are dropped have ended. It may reuse the batch's memory.
	BeforeWrite(batch []*Attempt) []*Attempt
	// WrittenLate reports that attempts were written a long time after BeforeWrite let them: the process
	// was paused in between, or the node accepted no data.
	WrittenLate(batch []*Attempt, delay time.Duration)
	// Answered ends an attempt with a served answer, which belongs to the handler from then on.
	Answered(a *Attempt, answer *request.Answer)
	// Ended ends an attempt without a served answer; answer is nil where none came.
	Ended(a *Attempt, answer *request.Answer, result Result)
}

// Dialect is how requests are written to nodes, and their answers read. It has no state, and is comparable.
type Dialect interface {
	// AppendHead appends a request up to its value; timeout is how long the proxy will wait.
	AppendHead(dst []byte, r *request.Request, timeout time.Duration) []byte
	// AppendTail appends what follows the value.
	AppendTail(dst []byte, r *request.Request) []byte
	// ReadAnswer reads the next answer, which must be that to r. After an error the start of the next
	// answer is not known. Errors of the network are *net.OpError, io.EOF or io.ErrUnexpectedEOF; all
	// others are of the answer.
	ReadAnswer(in *bufio.Reader, r *request.Request) (request.Answer, error)
}
