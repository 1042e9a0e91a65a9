package takeover

import "time"

// Owner is a proxy's process.
type Owner struct {
	Name        string `cbor:"1,keyasint"`
	Incarnation uint64 `cbor:"2,keyasint"`
}

// Write is a keyed write.
type Write struct {
	// ID is the write's idempotency key, with what else tells it apart.
	ID string `cbor:"1,keyasint"`
	// Digest is of all that the write would do: another write under the same key has another one.
	Digest uint64 `cbor:"2,keyasint"`
	// DedupWindow is how long nodes drop repeats of the write, from when they began the first.
	DedupWindow time.Duration `cbor:"3,keyasint"`
	// Payload is what the write can be sent again from.
	Payload []byte `cbor:"4,keyasint"`
}

// Outcome is what is known of a write's execution. The numbers are sent between proxies.
type Outcome uint8

// The outcomes.
const (
	InFlight    Outcome = iota // nothing is known yet
	Served                     // with a receipt
	Unknown                    // it may have run, and may not be sent any more
	NotExecuted                // it surely has not run: it is as if it had never been
)

// WriteStatus is a write as a holder knows it, for operators.
type WriteStatus struct {
	ID         string `json:"id"`
	Owner      string `json:"owner"`
	Epoch      uint64 `json:"number"`
	OwnerCount int    `json:"owners"` // owners so far that had permission
	State      State  `json:"state"`
	// Age is the time since the write may have run first. Of a write that this holder knows by its completion alone it
	// is the holder's clock.
	Age     time.Duration `json:"age"`
	Receipt string        `json:"receipt,omitempty"`
}

// State is what a holder knows of a write, as operators see it.
type State string

// The states.
const (
	StateInFlight State = "open"
	StateOrphaned State = "lost" // in flight, and its owner is lost
	StateServed   State = "served"
	StateUnknown  State = "unknown"
)
