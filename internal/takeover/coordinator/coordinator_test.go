package coordinator

import (
	"encoding/json"
	"net/http"
	"testing"
	"time"

	"mulleinpier/internal/peer"
	"mulleinpier/internal/request"
	"mulleinpier/internal/takeover"
	"mulleinpier/internal/testutil"
)

// waitForReceipt waits until a proxy answers a write by its receipt: holders learn of outcomes after their owner.
func (p *proxy) waitForReceipt(key, receipt string) {
	p.t.Helper()
	testutil.WaitUntil(p.t, "a receipt for "+key, func() bool {
		d := p.claim(key, "v")
		return d.verdict == takeover.ReturnReceipt && d.receipt == receipt
	})
}

// TestReceiptIsSharedByHolders has a write be served through one proxy: the others answer it by its receipt, and refuse
// another write under its key.
func TestReceiptIsSharedByHolders(t *testing.T) {
	proxies := startProxies(t, Options{Replicas: 2, RequireReplica: true}, "a", "b", "c")
	a, b, c := proxies[0], proxies[1], proxies[2]
	d := a.claim("k", "v")
	if d.verdict != takeover.Proceed || d.within <= 0 || d.within > takeover.DefaultParameters.PermissionDuration {
		t.Fatalf("%+v", d)
	}
	a.Complete(d.requestID, takeover.Served, "r")
	b.waitForReceipt("k", "r")
	c.waitForReceipt("k", "r")
	if d := c.claim("k", "another"); d.verdict != takeover.KeyConflict {
		t.Errorf("another write under the key: %v", d.verdict)
	}
	if n := a.Counts(); n.Claims != 1 || n.Proceeded != 1 || n.Messages == 0 {
		t.Errorf("%+v", n)
	}
}

// TestOrphanedWriteIsTakenOver ends a proxy that was permitted to send a write: just one of the others goes on with it,
// and its receipt answers who asks again.
func TestOrphanedWriteIsTakenOver(t *testing.T) {
	proxies := startProxies(t, Options{Replicas: 2, RequireReplica: true}, "a", "b", "c")
	a, b, c := proxies[0], proxies[1], proxies[2]
	if d := a.claim("k", "v"); d.verdict != takeover.Proceed {
		t.Fatalf("%+v", d)
	}
	a.stop()
	for _, p := range proxies[1:] {
		p.membership.setState("a", peer.Gone)
	}
	taker, other := b, c
	select {
	case in := <-b.core.resumed:
		checkResumed(t, in)
	case in := <-c.core.resumed:
		checkResumed(t, in)
		taker, other = c, b
	case <-time.After(testutil.Timeout):
		t.Fatal("nobody takes it over")
	}
	taker.Complete(resumedID, takeover.Served, "r")
	other.waitForReceipt("k", "r")
	if n := len(b.core.resumed) + len(c.core.resumed); n != 0 {
		t.Errorf("taken over %d more times", n)
	}
	if n := taker.Counts().TakenOver; n != 1 {
		t.Errorf("%d writes counted as taken over", n)
	}
}

// checkResumed checks that a proxy goes on with the write that another sent.
func checkResumed(t *testing.T, in *request.Request) {
	t.Helper()
	if in.Key != "order" || in.IdempotencyKey != "k" || string(in.Value) != "v" || !in.Retry {
		t.Errorf("goes on with %+v", in)
	}
}

// TestNotExecutedIsSafeToRetry gives a write up that was not sent: another proxy may send it.
func TestNotExecutedIsSafeToRetry(t *testing.T) {
	proxies := startProxies(t, Options{Replicas: 1, RequireReplica: true}, "a", "b")
	a, b := proxies[0], proxies[1]
	d := a.claim("k", "v")
	if d.verdict != takeover.Proceed {
		t.Fatalf("%+v", d)
	}
	b.send("k", "v") // waits for a
	a.Complete(d.requestID, takeover.NotExecuted, "")
	testutil.WaitUntil(t, "b to be permitted", func() bool {
		d := testutil.Receive(t, "the decision", b.core.decisions)
		if d.verdict != takeover.Proceed { // harmless to ask again
			b.send("k", "v")
		}
		return d.verdict == takeover.Proceed
	})
}

// TestVerdictsWithoutHolders has a proxy be alone.
func TestVerdictsWithoutHolders(t *testing.T) {
	for _, c := range []struct {
		requireReplica bool
		want           takeover.Verdict
		wantCounts     Counts
	}{
		{true, takeover.Reject, Counts{Claims: 1, Rejected: 1}},
		{false, takeover.Proceed, Counts{Claims: 1, Unreplicated: 1}},
	} {
		p := startProxies(t, Options{Replicas: 1, RequireReplica: c.requireReplica}, "a")[0]
		if d := p.claim("k", "v"); d.verdict != c.want {
			t.Errorf("replica required %v: %v, want %v", c.requireReplica, d.verdict, c.want)
		}
		p.stop() // a verdict is counted after the core was notified
		if n := p.Counts(); n != c.wantCounts {
			t.Errorf("replica required %v: %+v, want %+v", c.requireReplica, n, c.wantCounts)
		}
	}
}

// TestWritesAreListed reads the list that operators see.
func TestWritesAreListed(t *testing.T) {
	p := startProxies(t, Options{Replicas: 1}, "a")[0]
	p.claim("k", "v")
	response, err := http.Get("http://" + p.address + WritesPath)
	if err != nil {
		t.Fatal(err)
	}
	defer response.Body.Close()
	var list []takeover.WriteStatus
	if err := json.NewDecoder(response.Body).Decode(&list); err != nil {
		t.Fatal(err)
	}
	if len(list) != 1 {
		t.Fatalf("%+v", list)
	}
	if w := list[0]; w.ID != "write\x00shop\x00k" || w.Owner != "a" || w.State != takeover.StateInFlight {
		t.Errorf("%+v", w)
	}
}

// TestStopAnswersAllClaims stops a proxy while claims wait: each is answered once.
func TestStopAnswersAllClaims(t *testing.T) {
	proxies := startProxies(t, Options{Replicas: 1, RequireReplica: true}, "a", "b")
	a, b := proxies[0], proxies[1]
	a.claim("k", "v")
	const claims = 5
	for range claims {
		b.send("k", "v") // waits for a
	}
	b.stop()
	if n := len(b.core.decisions); n != claims {
		t.Errorf("%d of %d claims were answered", n, claims)
	}
	for range len(b.core.decisions) {
		if d := <-b.core.decisions; d.verdict == takeover.Proceed {
			t.Errorf("%+v", d)
		}
	}
}
