package coordinator

import (
	"bytes"
	"reflect"
	"testing"
	"time"

	"mulleinpier/internal/peer/rpc"
	"mulleinpier/internal/request"
	"mulleinpier/internal/takeover"
	"mulleinpier/internal/testutil"
)

const recordedWindow = 1500 * time.Millisecond

var (
	recordedHeader = rpc.Header{Version: 1, Fleet: "shop", MinVersion: 1}
	recordedP1     = takeover.Owner{Name: "p1", Incarnation: 0xfedcba9876543211}
	recordedP2     = takeover.Owner{Name: "p2", Incarnation: 7}
)

// recordedWrite returns a write with all fields set.
func recordedWrite(t *testing.T) takeover.Write {
	return takeover.Write{
		ID:          "write\x00shop\x00k1",
		Digest:      0x53262fac07b26058,
		DedupWindow: recordedWindow,
		Payload:     testutil.Recorded(t, "testdata/write.cbor"),
	}
}

// recordedMessages returns messages recorded from an earlier version, by file name: claims of each kind, completions
// with each outcome, and responses with each decision.
func recordedMessages(t *testing.T) map[string]message {
	write := recordedWrite(t)
	completions := message{Header: recordedHeader, From: recordedP1, To: recordedP2}
	for _, outcome := range []takeover.Outcome{
		takeover.InFlight, takeover.Served, takeover.Unknown, takeover.NotExecuted,
	} {
		done := completion{ID: write.ID, Digest: write.Digest, Epoch: 2, Outcome: outcome}
		if outcome == takeover.Served {
			done.Receipt = "r-1"
		}
		completions.Completions = append(completions.Completions, done)
	}
	responses := message{Header: recordedHeader, From: recordedP2, To: recordedP1}
	for _, decision := range []takeover.Decision{
		takeover.Granted, takeover.AlreadyServed, takeover.WindowExpired, takeover.Conflict, takeover.Declined,
		takeover.SafeToRetry, takeover.InProgress,
	} {
		r := claimResponse{ClaimID: 12, Decision: decision}
		switch decision {
		case takeover.Granted:
			r.Epoch = 3
			r.Age = 250 * time.Millisecond
			r.MayHaveForgotten = true
			r.PreviousOwner = recordedP1
		case takeover.AlreadyServed:
			r.Receipt = "r-1"
		}
		responses.Responses = append(responses.Responses, r)
	}
	return map[string]message{
		"claims.cbor": {Header: recordedHeader, From: recordedP1, To: recordedP2, Claims: []claimRequest{
			{ClaimID: 11, Write: write},
			{ClaimID: 12, Write: write, Rank: 1, Retry: true},
			{ClaimID: 1 << 40, Write: write, Rank: 2, Epoch: 4, Age: 730 * time.Millisecond, Retry: true},
		}},
		"completions.cbor": completions,
		"answers.cbor":     responses,
		"all.cbor": {
			Header:      recordedHeader,
			From:        recordedP1,
			To:          recordedP2,
			Claims:      []claimRequest{{ClaimID: 11, Write: write}},
			Completions: completions.Completions[:1],
			Responses:   responses.Responses[:1],
		},
		"empty.cbor": {Header: recordedHeader, From: recordedP1, To: recordedP2},
	}
}

// TestRecordedMessages checks that the encoding of messages between proxies, and the HTTP paths, match those of
// earlier versions. Otherwise proxies of mixed versions could not communicate.
func TestRecordedMessages(t *testing.T) {
	for name, want := range recordedMessages(t) {
		testutil.CheckRecordedCBOR(t, "testdata/"+name, want)
	}
	if messagePath != "/v1/work" || WritesPath != "/v1/works" {
		t.Errorf("messages are sent to %s, writes are listed at %s", messagePath, WritesPath)
	}
}

// TestRecordedWrites checks that the ID, digest and payload of a write match those of an earlier version. All
// versions in a fleet must identify a write alike and be able to send it again.
func TestRecordedWrites(t *testing.T) {
	testutil.CheckRecordedCBOR(t, "testdata/write.cbor", payload{
		Key: "order", Class: "write", Tenant: "shop", IdempotencyKey: "k1", Value: []byte("v\x00\xff"), Flags: 9,
	})
	testutil.CheckRecordedCBOR(t, "testdata/write-plain.cbor", payload{
		Key: "order", Class: "write", IdempotencyKey: "k2", Value: []byte{},
	})
	for _, c := range []struct {
		name    string
		request request.Request
		want    takeover.Write
	}{
		{
			"all fields",
			request.Request{
				Verb: request.Set, Key: "order", ID: "t1", Class: "write", Tenant: "shop", IdempotencyKey: "k1",
				Value: []byte("v\x00\xff"), Flags: 9,
			},
			recordedWrite(t),
		},
		{
			"no tenant, no flags, no value",
			request.Request{
				Verb: request.Set, Key: "order", ID: "t2", Class: "write", IdempotencyKey: "k2", Value: []byte{},
			},
			takeover.Write{
				ID:          "write\x00\x00k2",
				Digest:      0xde48533603d6a7f3,
				DedupWindow: recordedWindow,
				Payload:     testutil.Recorded(t, "testdata/write-plain.cbor"),
			},
		},
	} {
		coordinator := New(nil, Options{Clock: func() time.Duration { return 0 }})
		if !coordinator.Claim(1, &c.request, recordedWindow, time.Now()) {
			t.Fatal("not accepted")
		}
		got := coordinator.inbox[0].(writeArrived).write
		if !bytes.Equal(got.Payload, c.want.Payload) || !reflect.DeepEqual(got, c.want) {
			t.Errorf("%s: %+v, digest %#x, want %+v", c.name, got, got.Digest, c.want)
		}
	}
}
