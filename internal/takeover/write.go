package takeover

import "time"

// Owner identifies the process of a proxy.
type Owner struct {
	Name        string `cbor:"1,keyasint"`
	Incarnation uint64 `cbor:"2,keyasint"`
}

// Write is a keyed write as its holders store it.
type Write struct {
	// ID is the write's idempotency key, qualified by its class and tenant.
	ID string `cbor:"1,keyasint"`
	// Digest is a hash of the payload, which tells apart different writes with the same ID.
	Digest uint64 `cbor:"2,keyasint"`
	// DedupWindow is how long nodes drop duplicates of the write, from when they began to execute the first send.
	DedupWindow time.Duration `cbor:"3,keyasint"`
	// Payload is the encoded request, from which another proxy can send the write again.
	Payload []byte `cbor:"4,keyasint"`
}

// Outcome is the known result of a write. The numeric values are sent between proxies.
type Outcome uint8

// The zero Outcome is InFlight.
const (
	InFlight    Outcome = iota // the outcome is not known yet
	Served                     // the write was served and has a receipt
	Unknown                    // the write may have run and must not be sent any more
	NotExecuted                // the owner's sends had no effect; if there was no other owner, the write is removed
)

// WriteStatus describes a holder's entry for a write. It is listed to operators as JSON.
type WriteStatus struct {
	ID         string `json:"id"`
	Owner      string `json:"owner"`
	Epoch      uint64 `json:"number"`
	OwnerCount int    `json:"owners"` // owners so far, including the present one
	State      State  `json:"state"`
	// Age is the time since the write may first have run. For a write that the holder knows only from its completion,
	// it is the current reading of the holder's clock.
	Age     time.Duration `json:"age"`
	Receipt string        `json:"receipt,omitempty"`
}

// State is the state of a write at a holder, as listed to operators.
type State string

// The values are part of the listing's JSON.
const (
	StateInFlight State = "open"
	StateOrphaned State = "lost" // the write is in flight, and its owner is lost or has given it up
	StateServed   State = "served"
	StateUnknown  State = "unknown"
)
