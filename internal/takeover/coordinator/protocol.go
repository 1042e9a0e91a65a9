package coordinator

import (
	"hash/fnv"
	"time"

	"github.com/fxamacker/cbor/v2"

	"mulleinpier/internal/peer/rpc"
	"mulleinpier/internal/request"
	"mulleinpier/internal/takeover"
)

const (
	// messagePath is where a coordinator receives other proxies' messages.
	messagePath = "/v1/work"
	// WritesPath is where a coordinator lists its writes, as JSON.
	WritesPath = "/v1/works"
)

// message is what proxies send one another. All of it may be lost.
type message struct {
	rpc.Header
	From        takeover.Owner  `cbor:"3,keyasint"`
	To          takeover.Owner  `cbor:"4,keyasint"`
	Claims      []claimRequest  `cbor:"5,keyasint,omitempty"`
	Completions []completion    `cbor:"6,keyasint,omitempty"`
	Responses   []claimResponse `cbor:"7,keyasint,omitempty"`
}

// claimRequest asks a holder for a write, see [takeover.ClaimRequest].
type claimRequest struct {
	ClaimID uint64         `cbor:"1,keyasint"` // of the sender's claim
	Write   takeover.Write `cbor:"2,keyasint"`
	Rank    int            `cbor:"3,keyasint,omitempty"`
	Epoch   uint64         `cbor:"4,keyasint,omitempty"`
	Age     time.Duration  `cbor:"5,keyasint,omitempty"`
	Retry   bool           `cbor:"6,keyasint,omitempty"`
}

// completion reports the outcome of a write, see [takeover.Completion].
type completion struct {
	ID      string           `cbor:"1,keyasint"`
	Digest  uint64           `cbor:"2,keyasint"`
	Epoch   uint64           `cbor:"3,keyasint"`
	Outcome takeover.Outcome `cbor:"4,keyasint"`
	Receipt string           `cbor:"5,keyasint,omitempty"`
}

// claimResponse answers a claimRequest, see [takeover.ClaimResponse].
type claimResponse struct {
	ClaimID          uint64            `cbor:"1,keyasint"`
	Decision         takeover.Decision `cbor:"2,keyasint"`
	Epoch            uint64            `cbor:"3,keyasint,omitempty"`
	Age              time.Duration     `cbor:"4,keyasint,omitempty"`
	Receipt          string            `cbor:"5,keyasint,omitempty"`
	MayHaveForgotten bool              `cbor:"6,keyasint,omitempty"`
	PreviousOwner    takeover.Owner    `cbor:"7,keyasint,omitempty"`
}

// payload is a write as it can be sent again.
type payload struct {
	Key            string `cbor:"1,keyasint"`
	Class          string `cbor:"2,keyasint"`
	Tenant         string `cbor:"3,keyasint,omitempty"`
	IdempotencyKey string `cbor:"4,keyasint"`
	Value          []byte `cbor:"5,keyasint"`
	Flags          uint32 `cbor:"6,keyasint,omitempty"`
}

// newWrite returns a request as its holders know it. Every version must find the same ID and digest.
func newWrite(in *request.Request, window time.Duration) (takeover.Write, error) {
	data, err := cbor.Marshal(payload{in.Key, in.Class, in.Tenant, in.IdempotencyKey, in.Value, in.Flags})
	if err != nil {
		return takeover.Write{}, err
	}
	digest := fnv.New64a()
	digest.Write(data)
	return takeover.Write{
		ID:          in.Class + "\x00" + in.Tenant + "\x00" + in.IdempotencyKey,
		Digest:      digest.Sum64(),
		DedupWindow: window,
		Payload:     data,
	}, nil
}
