// Package request defines a request and its answer independently of any protocol. Frontends translate client
// requests into a [Request], and an [Answer] into the client's dialect; the dialects of package upstream do the
// same for nodes. The code in between does not depend on a dialect.
//
// Invariants:
//
//  1. A value is passed from node to client without being copied: it is read into a buffer with room for the
//     client's frame, which is written around it in place.
//  2. A request in a text dialect is sent to a node of the same dialect as the client wrote it, except for the
//     timeout, which is replaced by the time that the proxy waits.
//
// The package does no I/O, has no state and starts no goroutine. A Request is not changed after the core has
// accepted it. Passing on an Answer passes on its ownership.
package request

import (
	"time"

	"mulleinpier/internal/pause"
)

// Verb is the operation that a request asks for.
type Verb uint8

// The verbs that the core handles.
const (
	Get Verb = iota // reads a key
	Set             // writes the value of a key
)

// Request is a client's request for one key.
type Request struct {
	Verb           Verb
	Key            string
	ID             string // unique to this attempt of the client; matches the answer to it
	Value          []byte // the value that a Set writes
	Class          string
	Tenant         string
	IdempotencyKey string        // "" for none
	Timeout        time.Duration // how long the client waits; negative if not specified
	Arrival        pause.Arrival // when its last byte may have arrived, by the core's monotonic clock; zero means now
	Retry          bool          // marked by the client as a retry
	Flags          uint32        // for a Set: nodes whose dialect has flags store them with the value
	HeaderRoom     int           // the maximum number of bytes that the client's frontend writes before a value
	Raw            RawLine

	SideEffects bool // set by the core: the class is not idempotent, so executing the request twice may do harm
	// RunsAlone is set by the core: no other attempt may be made while one may be running, for the sake of its effect
	// or because the settings allow only one attempt at a time.
	RunsAlone bool
	Serial    uint32 // set by the core: matches answers to requests in dialects that can't carry the ID
}

// RawLine is the command line of a request as its client wrote it. It is empty in dialects without command lines.
type RawLine struct {
	Line string
	// TimeoutStart and TimeoutEnd delimit the number in Line that is the client's timeout. Without one, both are
	// the position where it is to be inserted.
	TimeoutStart, TimeoutEnd int
	InsertTimeout            bool // Line contains no timeout
}

// AnswerKind is the kind of an answer.
type AnswerKind uint8

// The kinds of answers. Nodes return all of them except Invalid, which a frontend or the core returns for an
// invalid request. Noop never leaves package upstream.
const (
	Value    AnswerKind = iota // the value of a key, for a Get
	Stored                     // a Set was executed
	Busy                       // the request was rejected; a retry is safe
	Failed                     // the request failed, but may have been executed
	NotFound                   // the key of a Get does not exist
	Invalid                    // the request is invalid and was not sent to a node
	Noop                       // the answer to a no-op
)

var answerKindNames = [...]string{
	Value:    "value",
	Stored:   "stored",
	Busy:     "busy",
	Failed:   "failed",
	NotFound: "not found",
	Invalid:  "invalid",
	Noop:     "noop",
}

// String returns the kind's name for logs.
func (k AnswerKind) String() string { return answerKindNames[k] }

// Answer is the answer to a request.
type Answer struct {
	Kind       AnswerKind
	Receipt    string        // for Stored; "" for none
	RetryAfter time.Duration // for Busy: the delay before a retry, 0 for no advice
	Reason     string        // for Invalid: what is wrong with the request
	Flags      uint32        // for Value: the flags stored with the value
	Hit        bool          // the node had the key cached
	Miss       bool          // the node did not have the key cached
	Coalesced  bool          // for a miss: another fetch of the key was already under way
	LoadReport []byte        // the node's load report; nil for none
	Attributed bool          // the node has named the request that this answers

	buffer     []byte
	start, end int // bounds of the value in buffer
}

// maxTailLen is the space reserved after a value in its buffer, in bytes.
const maxTailLen = 2

// AllocateValue turns the answer into a Value of valueLen bytes, with headerRoom bytes of space for a header before
// it. The caller fills the returned slice.
func (a *Answer) AllocateValue(headerRoom, valueLen int) []byte {
	a.Kind = Value
	a.buffer = make([]byte, headerRoom+valueLen+maxTailLen)
	a.start, a.end = headerRoom, headerRoom+valueLen
	return a.Value()
}

// Value returns the value of an answer of kind Value.
func (a *Answer) Value() []byte { return a.buffer[a.start:a.end:a.end] }

// ValueLen returns the length of the value in bytes.
func (a *Answer) ValueLen() int { return a.end - a.start }

// Tail returns the two bytes of space after the value. A reader whose dialect ends values with two bytes can read the
// value and these bytes with one call, see [Answer.ValueAndTail].
func (a *Answer) Tail() []byte { return a.buffer[a.end:] }

// ValueAndTail returns the value and the space after it as one slice.
func (a *Answer) ValueAndTail() []byte { return a.buffer[a.start:] }

// Frame returns the value with head before it and tail after it. It writes them in place if they fit in the space
// around the value, and copies all of it otherwise. Call it only once.
func (a *Answer) Frame(head, tail []byte) []byte {
	if len(head) > a.start || len(tail) > maxTailLen {
		framed := make([]byte, 0, len(head)+a.ValueLen()+len(tail))
		framed = append(framed, head...)
		framed = append(framed, a.Value()...)
		return append(framed, tail...)
	}
	start := a.start - len(head)
	copy(a.buffer[start:], head)
	tailLen := copy(a.buffer[a.end:], tail)
	return a.buffer[start : a.end+tailLen]
}
