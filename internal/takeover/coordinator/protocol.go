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
	// messagePath is the HTTP path for messages from other proxies.
	messagePath = "/v1/work"
	// WritesPath is the HTTP path at which a coordinator lists its writes as JSON.
	WritesPath = "/v1/works"
)

// message is a batch of items from one proxy to another. It may be lost.
type message struct {
	rpc.Header
	From        takeover.Owner  `cbor:"3,keyasint"`
	To          takeover.Owner  `cbor:"4,keyasint"`
	Claims      []claimRequest  `cbor:"5,keyasint,omitempty"`
	Completions []completion    `cbor:"6,keyasint,omitempty"`
	Responses   []claimResponse `cbor:"7,keyasint,omitempty"`
}

// claimRequest is the encoded form of a [takeover.ClaimRequest].
type claimRequest struct {
	ClaimID uint64         `cbor:"1,keyasint"` // ID of the sender's claim; returned in the response
	Write   takeover.Write `cbor:"2,keyasint"`
	Rank    int            `cbor:"3,keyasint,omitempty"`
	Epoch   uint64         `cbor:"4,keyasint,omitempty"`
	Age     time.Duration  `cbor:"5,keyasint,omitempty"`
	Retry   bool           `cbor:"6,keyasint,omitempty"`
}

// completion is the encoded form of a [takeover.Completion].
type completion struct {
	ID      string           `cbor:"1,keyasint"`
	Digest  uint64           `cbor:"2,keyasint"`
	Epoch   uint64           `cbor:"3,keyasint"`
	Outcome takeover.Outcome `cbor:"4,keyasint"`
	Receipt string           `cbor:"5,keyasint,omitempty"`
}

// claimResponse is the encoded form of a [takeover.ClaimResponse].
type claimResponse struct {
	ClaimID          uint64            `cbor:"1,keyasint"`
	Decision         takeover.Decision `cbor:"2,keyasint"`
	Epoch            uint64            `cbor:"3,keyasint,omitempty"`
	Age              time.Duration     `cbor:"4,keyasint,omitempty"`
	Receipt          string            `cbor:"5,keyasint,omitempty"`
	MayHaveForgotten bool              `cbor:"6,keyasint,omitempty"`
	PreviousOwner    takeover.Owner    `cbor:"7,keyasint,omitempty"`
}

// payload is the part of a request that another proxy needs to send the write again.
type payload struct {
	Key            string `cbor:"1,keyasint"`
	Class          string `cbor:"2,keyasint"`
	Tenant         string `cbor:"3,keyasint,omitempty"`
	IdempotencyKey string `cbor:"4,keyasint"`
	Value          []byte `cbor:"5,keyasint"`
	Flags          uint32 `cbor:"6,keyasint,omitempty"`
}

// newWrite returns a request as its holders store it. Every version must derive the same ID and digest.
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
