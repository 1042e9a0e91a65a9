package scriptednode_test

import (
	"errors"
	"io"
	"os"
	"testing"
	"time"

	"mulleinpier/internal/fake/rawclient"
	"mulleinpier/internal/fake/scriptednode"
	"mulleinpier/internal/meta"
	"mulleinpier/internal/testutil"
)

// The results of nextSeen other than a valid answer.
const (
	closed    = "closed"
	malformed = "malformed"
	noAnswer  = "no answer"
)

// nextSeen returns the next answer that the client receives; or closed, malformed or noAnswer if it receives none that
// is valid.
func nextSeen(t *testing.T, c *rawclient.Client) string {
	t.Helper()
	answer, err := c.Next()
	switch {
	case err == nil:
		return answer.String()
	case errors.Is(err, rawclient.ErrMalformedAnswer), errors.Is(err, meta.ErrMalformedAnswer):
		return malformed
	case errors.Is(err, os.ErrDeadlineExceeded):
		return noAnswer
	case errors.Is(err, io.EOF), errors.Is(err, io.ErrUnexpectedEOF):
		return closed
	}
	t.Fatal(err)
	return ""
}

// TestReactionsLookTheSameInBothDialects checks that each reaction of a node to a read has the same effect on the
// client in both dialects.
func TestReactionsLookTheSameInBothDialects(t *testing.T) {
	dialects := []scriptednode.Dialect{scriptednode.Meta, scriptednode.Binary}
	for _, test := range []struct {
		reaction scriptednode.Reaction
		want     string
		onlyMeta bool
		atLeast  time.Duration
		limit    time.Duration // of the client; 0 for testutil.Timeout
	}{
		{reaction: scriptednode.Serve, want: "value v:k"},
		{reaction: scriptednode.Slow, want: "value v:k", atLeast: 150 * time.Millisecond},
		{reaction: scriptednode.Miss, want: "missing"},
		{reaction: scriptednode.Busy, want: "busy"},
		{reaction: scriptednode.BusyRetryAfter, want: "busy", onlyMeta: true},
		{reaction: scriptednode.Invalid, want: "bad", onlyMeta: true},
		{reaction: scriptednode.Fail, want: "failed"},
		{reaction: scriptednode.Reset, want: closed},
		{reaction: scriptednode.TruncatedAnswer, want: closed},
		{reaction: scriptednode.Hang, want: noAnswer, limit: 200 * time.Millisecond},
		{reaction: scriptednode.Garbage, want: malformed},
		{reaction: scriptednode.OtherAnswer, want: malformed},
		{reaction: scriptednode.DuplicateAnswer, want: "value v:k"},
		{reaction: scriptednode.EndlessValue, want: malformed},
	} {
		for _, dialect := range dialects {
			if test.onlyMeta && dialect != scriptednode.Meta {
				continue
			}
			t.Run(string(test.reaction)+" in "+string(dialect), func(t *testing.T) {
				limit := test.limit
				if limit == 0 {
					limit = testutil.Timeout
				}
				c := startClient(t, dialect, test.reaction, limit)
				sent := time.Now()
				if err := c.Read("k"); err != nil {
					t.Fatal(err)
				}
				if got := nextSeen(t, c); got != test.want {
					t.Errorf("the client sees %q, want %q", got, test.want)
				}
				if took := time.Since(sent); took < test.atLeast {
					t.Errorf("after %v, want at least %v", took, test.atLeast)
				}
			})
		}
	}
}

// startClient starts a node that reacts to each request in the same way, and returns a client of it.
func startClient(
	t *testing.T, dialect scriptednode.Dialect, reaction scriptednode.Reaction, limit time.Duration,
) *rawclient.Client {
	t.Helper()
	react := func(int, scriptednode.ReceivedRequest) scriptednode.Reaction { return reaction }
	nodes, err := scriptednode.Start(dialect, 1, react)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(nodes.Close)
	c, err := rawclient.Dial(dialect, nodes.Address(0), limit)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Socket.Close() })
	return c
}

// TestDuplicateAnswerIsSentTwice checks that, after DuplicateAnswer, the client receives the second answer as a
// malformed answer to its next request.
func TestDuplicateAnswerIsSentTwice(t *testing.T) {
	for _, dialect := range []scriptednode.Dialect{scriptednode.Meta, scriptednode.Binary} {
		c := startClient(t, dialect, scriptednode.DuplicateAnswer, testutil.Timeout)
		for _, want := range []string{"value v:k", malformed} {
			if err := c.Read("k"); err != nil {
				t.Fatal(err)
			}
			if got := nextSeen(t, c); got != want {
				t.Errorf("%s: the client sees %q, want %q", dialect, got, want)
			}
		}
	}
}

func TestWriteIsReceivedAndAnsweredWithReceipt(t *testing.T) {
	for _, dialect := range []scriptednode.Dialect{scriptednode.Meta, scriptednode.Binary} {
		arrived := make(chan scriptednode.ReceivedRequest, 1)
		nodes, err := scriptednode.Start(dialect, 1,
			func(_ int, r scriptednode.ReceivedRequest) scriptednode.Reaction {
				arrived <- r
				return scriptednode.Serve
			})
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(nodes.Close)
		c, err := rawclient.Dial(dialect, nodes.Address(0), testutil.Timeout)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { c.Socket.Close() })
		if err := c.Write("k", "text", rawclient.NonIdempotent, ""); err != nil {
			t.Fatal(err)
		}
		if got, want := nextSeen(t, c), "stored "+scriptednode.Receipt; got != want {
			t.Errorf("%s: the client sees %q, want %q", dialect, got, want)
		}
		received := testutil.Receive(t, "the request", arrived)
		if received.Key != "k" || received.Value != "text" {
			t.Errorf("%s: the node received %+v", dialect, received)
		}
	}
}
