// Package request defines a request and its answer independently of any protocol. Frontends translate the
// requests of clients into it, and its answers into the clients' dialect; package upstream does the same
// towards nodes. What lies between knows no dialect.
//
// Invariants:
//
//  1. A value passes from node to client without a copy: it is read into a buffer with room for the client's
//     frame, which is written around it in place.
//  2. What a client of a text dialect wrote is sent to a node of the same dialect unchanged, except for the
//     time that the proxy waits.
//
// The package does no I/O, has no state and starts no goroutine. A Request is not changed after the core has
// accepted it; an Answer belongs to whoever it was passed to.
package request

import (
	"time"

	"mulleinpier/internal/pause"
)

// Verb is what a request does.
type Verb uint8

// The verbs.
const (
	Get Verb = iota // reads a key
	Set             // writes one
)

// Request is a client's request.
type Request struct {
	Verb           Verb
	Key            string
	ID             string // unique to this attempt of the client; identifies its answer
	Value          []byte // of a Set
	Class          string
	Tenant         string
	IdempotencyKey string        // "" for none
	Timeout        time.Duration // how long the client waits; negative if it did not say
	Arrival        pause.Arrival // when its last byte may have arrived, by the core's clock; zero for just now
	Retry          bool          // marked by the client as a retry
	Flags          uint32        // of a Set: kept with the value by nodes whose dialect has flags
	HeaderRoom     int           // the most bytes that the client's frontend writes before a value
	Raw            RawLine

	SideEffects bool   // set by the core: by its class, executing it twice may do harm
	Serial      uint32 // set by the core: tells answers apart where a dialect has no room for the id
}

// RawLine is a request's line as its client wrote it. It is empty for requests of dialects without such a line.
type RawLine struct {
	Line string
	// TimeoutStart and TimeoutEnd are the place of the number in the line that is the client's timeout, or
	// where it is to be inserted.
	TimeoutStart, TimeoutEnd int
	InsertTimeout            bool // the line has no such number yet
}

// AnswerKind is the kind of an answer.
type AnswerKind uint8

// The kinds of answers. A node gives all but Invalid, which a frontend or the core gives to a request that is
// wrong in itself.
const (
	Value    AnswerKind = iota // a read's value
	Stored                     // a write's receipt
	Busy                       // rejected; a retry is harmless
	Failed                     // it may have been executed
	NotFound                   // a read's key does not exist
	Invalid                    // it was not sent to any node
)

var answerKindNames = [...]string{
	Value:    "value",
	Stored:   "stored",
	Busy:     "busy",
	Failed:   "failed",
	NotFound: "not found",
	Invalid:  "invalid",
}

// String returns the kind's name for logs.
func (k AnswerKind) String() string { return answerKindNames[k] }

// Answer is the answer to a request.
type Answer struct {
	Kind       AnswerKind
	Receipt    string        // of Stored
	RetryAfter time.Duration // of Busy: when to retry, 0 for no advice
	Reason     string        // of Invalid
	Flags      uint32        // of Value
	Hit        bool          // the node had the key cached
	Miss       bool          // the node did not have it cached
	Coalesced  bool          // of a miss: another fetch of the key was under way
	LoadReport []byte        // the node's load report; nil for none

	buffer     []byte
	start, end int // of the value in buffer
}

// maxTailLen is the room after a value in its buffer, in bytes.
const maxTailLen = 2

// AllocateValue makes the answer a Value of so many bytes, with room for a header before it. The returned value
// is to be filled.
func (a *Answer) AllocateValue(headerRoom, valueLen int) []byte {
	a.Kind = Value
	a.buffer = make([]byte, headerRoom+valueLen+maxTailLen)
	a.start, a.end = headerRoom, headerRoom+valueLen
	return a.Value()
}

// Value returns the value of a read.
func (a *Answer) Value() []byte { return a.buffer[a.start:a.end:a.end] }

// ValueLen returns the length of a read's value in bytes.
func (a *Answer) ValueLen() int { return a.end - a.start }

// Tail returns the room after a value, two bytes: a reader whose dialect ends values with two bytes may read
// both at once, see [Answer.ValueAndTail].
func (a *Answer) Tail() []byte { return a.buffer[a.end:] }

// ValueAndTail returns a value with the room after it.
func (a *Answer) ValueAndTail() []byte { return a.buffer[a.start:] }

// Frame writes a head before the value and a tail after it, in place where there is room, and returns all of
// it. It is called once.
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
