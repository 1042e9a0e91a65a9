// Package request is the program's own idea of a request and of its answer. Fronts
// make the one of what clients send and say the other in their clients' dialect;
// upstream does the same towards nodes. What lies between knows no dialect.
//
// Invariants:
//
//  1. A value passes from node to client without a copy: it is read into a buffer
//     that has room for the client's frame, which is put round it in place.
//  2. What a client of a text dialect wrote goes on to a node of the same dialect
//     unchanged, but for the time that the proxy waits.
package request

import (
	"time"

	"mulleinpier/internal/pause"
)

// Verb is a request's kind.
type Verb uint8

// The kinds of requests.
const (
	Get Verb = iota // reads a key
	Set             // writes one
)

// Request is a client's request.
type Request struct {
	Verb           Verb
	Key            string
	ID             string // of this try, never again; tells its answer from others
	Value          []byte // of a Set
	Class          string
	Tenant         string
	IdempotencyKey string        // "" for none
	Timeout        time.Duration // how long the client waits; negative if it did not say
	Arrival        pause.Arrival // when its last byte may have come, by the core's clock; zero for just now
	Retry          bool          // marked by the client as a repetition
	Flags          uint32        // of a Set: kept with the value by nodes whose dialect has room for it
	SideEffects    bool          // set by the core: a repeat may do harm, as the settings have its class
	Serial         uint32        // set by the core: tells answers apart where a dialect has no room for the id
	HeaderRoom     int           // bytes that the client's front puts before a value, at the most
	Raw            RawLine
}

// RawLine is a request's line as its client wrote it, with the place of the figure that
// tells the client's wait, or where it would go. It is empty for requests of
// dialects that have no such line.
type RawLine struct {
	Line                     string
	TimeoutStart, TimeoutEnd int
	InsertTimeout            bool // there is no such figure yet
}

// AnswerKind is the kind of an answer.
type AnswerKind uint8

// The kinds of answers. A node gives all but Bad, which is a front's or the
// core's to a request that can't be meant.
const (
	Value    AnswerKind = iota // a read's value
	Stored                     // a write's receipt
	Busy                       // refused: trying again is harmless
	Failed                     // it may have run
	NotFound                   // a read found that there is no such key
	Invalid                    // never sent on
)

var answerKindNames = [...]string{Value: "value", Stored: "stored", Busy: "busy", Failed: "failed", NotFound: "missing", Invalid: "bad"}

// String returns the kind as logs have it.
func (k AnswerKind) String() string { return answerKindNames[k] }

// Answer is the answer to a request.
type Answer struct {
	Kind       AnswerKind
	Receipt    string        // of Stored
	RetryAfter time.Duration // of Busy: when to come again, 0 for no advice
	Reason     string        // of Bad
	Flags      uint32        // of Value
	Hit        bool          // the node had a copy
	Miss       bool          // it had none
	Coalesced  bool          // another fetch of the key was out
	LoadReport []byte        // the node's load report; nil for none

	buf        []byte
	start, end int
}

// maxTailLen is what a value's buffer has behind it.
const maxTailLen = 2

// AllocateValue makes room for a value of so many bytes, and for a frame round it. What
// it returns is to be filled.
func (a *Answer) AllocateValue(room, size int) []byte {
	a.Kind, a.buf, a.start, a.end = Value, make([]byte, room+size+maxTailLen), room, room+size
	return a.Value()
}

// Value returns the value of a read.
func (a *Answer) Value() []byte { return a.buf[a.start:a.end:a.end] }

// Tail returns the room behind a value, two bytes: a reader whose dialect ends
// values with as much may read it in one go, see [Answer.ValueAndTail].
func (a *Answer) Tail() []byte { return a.buf[a.end:] }

// ValueAndTail returns a value with the room behind it.
func (a *Answer) ValueAndTail() []byte { return a.buf[a.start:] }

// Frame puts a head before the value and a tail of two bytes at most behind it, in place
// where there is room, and returns all of it. It is called once.
func (a *Answer) Frame(head, tail []byte) []byte {
	if len(head) > a.start || len(tail) > maxTailLen {
		return append(append(append(make([]byte, 0, len(head)+a.end-a.start+len(tail)), head...), a.Value()...), tail...)
	}
	start := a.start - len(head)
	copy(a.buf[start:], head)
	n := copy(a.buf[a.end:], tail)
	return a.buf[start : a.end+n]
}

// ValueLen is the length of a read's value in bytes.
func (a *Answer) ValueLen() int { return a.end - a.start }
