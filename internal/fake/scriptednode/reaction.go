package scriptednode

import (
	"net"
	"strings"
	"time"

	"mulleinpier/internal/meta"
)

// Reaction is what a node does with a request.
type Reaction string

// The reactions. With TruncatedAnswer, Garbage, OtherAnswer, DuplicateAnswer and EndlessValue the request counts as
// executed, but its answer is malformed.
const (
	Serve           Reaction = "serve"   // answer with the value of Value, or with Receipt
	Slow            Reaction = "slow"    // as Serve, but slowDelay later; other requests on the connection wait
	Miss            Reaction = "miss"    // answer that there is no such key
	Busy            Reaction = "busy"    // reject; the request is not executed
	BusyRetryAfter  Reaction = "advise"  // as Busy, with a Retry-After of a second; only in meta
	Invalid         Reaction = "invalid" // answer that the request is invalid; only in meta
	Fail            Reaction = "fail"    // answer an error; the request may have been executed
	Reset           Reaction = "reset"   // close the connection instead of answering
	TruncatedAnswer Reaction = "half"    // close the connection before the last byte of the answer
	Hang            Reaction = "hang"    // never answer, and leave the connection open until Nodes.Close
	Garbage         Reaction = "noise"   // answer with bytes that cannot be parsed
	OtherAnswer     Reaction = "other"   // answer with the ID of a different request
	DuplicateAnswer Reaction = "surplus" // answer twice
	EndlessValue    Reaction = "endless" // announce a value of endlessLength bytes and send endlessSent of them
)

// Receipt is the receipt of every write, and receiptCAS its form in the binary protocol.
const (
	Receipt    = "7"
	receiptCAS = 7
)

const (
	slowDelay     = 150 * time.Millisecond
	endlessLength = 3_000_000_000 // bytes
	endlessSent   = 1 << 20       // bytes of EndlessValue that are sent; clients give up much earlier
)

// Value returns the value that nodes have under a key. For a key that begins with "big" it has the largest allowed
// length.
func Value(key string) string {
	if strings.HasPrefix(key, "big") {
		return strings.Repeat("v", meta.MaxValue)
	}
	return "v:" + key
}

// perform carries out a reaction, and reports whether the connection continues.
func (ns *Nodes) perform(reaction Reaction, r received, codec codec, c net.Conn) bool {
	switch reaction {
	case Reset:
		return false
	case Hang:
		<-ns.closing
		return false
	case Slow:
		select {
		case <-time.After(slowDelay):
		case <-ns.closing:
		}
		reaction = Serve
	}
	answer := codec.answer(reaction, r)
	switch reaction {
	case TruncatedAnswer:
		c.Write(answer[:len(answer)-1])
		return false
	case EndlessValue:
		c.Write(answer)
		c.Write(make([]byte, endlessSent))
		<-ns.closing
		return false
	}
	_, err := c.Write(answer)
	return err == nil
}
