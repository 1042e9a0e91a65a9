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

var (
	recordedHead   = rpc.Header{Version: 1, Fleet: "shop", MinVersion: 1}
	recordedP1     = takeover.Owner{Name: "p1", Incarnation: 0xfedcba9876543211}
	recordedP2     = takeover.Owner{Name: "p2", Incarnation: 7}
	recordedWrite  = request.Request{Verb: request.Set, Key: "order", ID: "t1", Class: "write", Tenant: "shop", IdempotencyKey: "k1", Value: []byte("v\x00\xff"), Flags: 9}
	recordedPlain  = request.Request{Verb: request.Set, Key: "order", ID: "t2", Class: "write", IdempotencyKey: "k2", Value: []byte{}}
	recordedWindow = 1500 * time.Millisecond
)

// recordedWork is what recordedWrite is to its holders.
func recordedWork(t *testing.T) takeover.Write {
	return takeover.Write{ID: "write\x00shop\x00k1", Digest: 0x53262fac07b26058, DedupWindow: recordedWindow, Payload: testutil.Recorded(t, "testdata/write.cbor")}
}

// recordedLetters are messages between proxies as they were recorded from an earlier version, by file: claims of each
// kind, completions with each outcome, and answers with each decision.
func recordedLetters(t *testing.T) map[string]letter {
	work := recordedWork(t)
	settles := letter{Header: recordedHead, From: recordedP1, To: recordedP2}
	for _, outcome := range []takeover.Outcome{takeover.InFlight, takeover.Served, takeover.Unknown, takeover.NotExecuted} {
		s := settle{ID: work.ID, Digest: work.Digest, Number: 2, Outcome: outcome}
		if outcome == takeover.Served {
			s.Receipt = "r-1"
		}
		settles.Settles = append(settles.Settles, s)
	}
	answers := letter{Header: recordedHead, From: recordedP2, To: recordedP1}
	for _, word := range []takeover.Decision{takeover.Granted, takeover.AlreadyServed, takeover.WindowExpired, takeover.Conflict, takeover.Declined, takeover.SafeToRetry, takeover.InProgress} {
		a := answer{Errand: 12, Word: word}
		switch word {
		case takeover.Granted:
			a.Number, a.Age, a.Young, a.Was = 3, 250*time.Millisecond, true, recordedP1
		case takeover.AlreadyServed:
			a.Receipt = "r-1"
		}
		answers.Answers = append(answers.Answers, a)
	}
	return map[string]letter{
		"claims.cbor": {Header: recordedHead, From: recordedP1, To: recordedP2, Asks: []ask{
			{Errand: 11, Work: work},
			{Errand: 12, Work: work, Rank: 1, Retry: true},
			{Errand: 1 << 40, Work: work, Rank: 2, Number: 4, Age: 730 * time.Millisecond, Retry: true},
		}},
		"completions.cbor": settles,
		"answers.cbor":     answers,
		"all.cbor":         {Header: recordedHead, From: recordedP1, To: recordedP2, Asks: []ask{{Errand: 11, Work: work}}, Settles: settles.Settles[:1], Answers: answers.Answers[:1]},
		"empty.cbor":       {Header: recordedHead, From: recordedP1, To: recordedP2},
	}
}

// TestRecordedLetters guards fleets of mixed versions: what proxies say to one another is read from and written for
// earlier versions, on the same paths.
func TestRecordedLetters(t *testing.T) {
	for name, want := range recordedLetters(t) {
		testutil.CheckRecordedCBOR(t, "testdata/"+name, want)
	}
	if path != "/v1/work" || WritesPath != "/v1/works" {
		t.Errorf("messages go to %s, writes are listed at %s", path, WritesPath)
	}
}

// TestRecordedWrites guards that every version tells writes apart alike and sends the same on: a write's identity, its
// digest and the text that it can be sent again from.
func TestRecordedWrites(t *testing.T) {
	testutil.CheckRecordedCBOR(t, "testdata/write.cbor", text{Key: "order", Class: "write", Tenant: "shop", Idempotency: "k1", Value: []byte("v\x00\xff"), Flags: 9})
	testutil.CheckRecordedCBOR(t, "testdata/write-plain.cbor", text{Key: "order", Class: "write", Idempotency: "k2", Value: []byte{}})
	for _, c := range []struct {
		name  string
		write request.Request
		want  takeover.Write
	}{
		{"all fields", recordedWrite, recordedWork(t)},
		{"no tenant, no flags, no value", recordedPlain,
			takeover.Write{ID: "write\x00\x00k2", Digest: 0xde48533603d6a7f3, DedupWindow: recordedWindow, Payload: testutil.Recorded(t, "testdata/write-plain.cbor")}},
	} {
		d := New(nil, Options{Clock: func() time.Duration { return 0 }})
		if !d.Claim(1, &c.write, recordedWindow, time.Now()) {
			t.Fatal("not taken")
		}
		got := d.inbox[0].(asking).work
		if !bytes.Equal(got.Payload, c.want.Payload) || !reflect.DeepEqual(got, c.want) {
			t.Errorf("%s: %+v, digest %#x, want %+v", c.name, got, got.Digest, c.want)
		}
	}
}
