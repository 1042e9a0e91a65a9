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

// waitForReceipt claims a write at a proxy until the verdict is its receipt: holders learn of an outcome later than the
// owner.
func (p *proxy) waitForReceipt(key, receipt string) {
	p.t.Helper()
	testutil.WaitUntil(p.t, "a receipt for "+key, func() bool {
		d := p.claim(key, "v")
		return d.verdict == takeover.ReturnReceipt && d.receipt == receipt
	})
}

// TestReceiptIsSharedByHolders checks that, once one proxy has served a write, the others return its receipt and
// reject another write with the same key.
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
		t.Errorf("another write with the key: %v", d.verdict)
	}
	if n := a.Counts(); n.Claims != 1 || n.Proceeded != 1 || n.Messages == 0 {
		t.Errorf("%+v", n)
	}
}

// TestOrphanedWriteIsTakenOver checks that a write whose owner ends while it has permission to send is taken over:
// exactly one of the other proxies resumes the write, and later claims get its receipt.
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
	newOwner, other := b, c
	select {
	case in := <-b.core.resumed:
		checkResumed(t, in)
	case in := <-c.core.resumed:
		checkResumed(t, in)
		newOwner, other = c, b
	case <-time.After(testutil.Timeout):
		t.Fatal("no proxy has taken the write over")
	}
	newOwner.Complete(resumedID, takeover.Served, "r")
	other.waitForReceipt("k", "r")
	if n := len(b.core.resumed) + len(c.core.resumed); n != 0 {
		t.Errorf("the write was taken over %d more times", n)
	}
	if n := newOwner.Counts().TakenOver; n != 1 {
		t.Errorf("%d writes counted as taken over", n)
	}
}

// checkResumed checks that a resumed write is the one that its owner claimed.
func checkResumed(t *testing.T, in *request.Request) {
	t.Helper()
	if in.Key != "order" || in.IdempotencyKey != "k" || string(in.Value) != "v" || !in.Retry {
		t.Errorf("resumed write: %+v", in)
	}
}

// TestNotExecutedIsSafeToRetry checks that another proxy may send a write after its owner gave it up unsent.
func TestNotExecutedIsSafeToRetry(t *testing.T) {
	proxies := startProxies(t, Options{Replicas: 1, RequireReplica: true}, "a", "b")
	a, b := proxies[0], proxies[1]
	d := a.claim("k", "v")
	if d.verdict != takeover.Proceed {
		t.Fatalf("%+v", d)
	}
	b.send("k", "v") // waits for the outcome at a
	a.Complete(d.requestID, takeover.NotExecuted, "")
	testutil.WaitUntil(t, "b to be permitted", func() bool {
		d := testutil.Receive(t, "the decision", b.core.decisions)
		if d.verdict != takeover.Proceed { // a further claim does no harm
			b.send("k", "v")
		}
		return d.verdict == takeover.Proceed
	})
}

// TestVerdictsWithoutHolders checks the verdicts and counters of a proxy without other holders.
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
		p.stop() // the core may be notified before the verdict is counted
		if n := p.Counts(); n != c.wantCounts {
			t.Errorf("replica required %v: %+v, want %+v", c.requireReplica, n, c.wantCounts)
		}
	}
}

// TestWritesAreListed checks the list of writes that operators request over HTTP.
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

// TestStopAnswersAllClaims checks that each pending claim is answered exactly once when a coordinator stops.
func TestStopAnswersAllClaims(t *testing.T) {
	proxies := startProxies(t, Options{Replicas: 1, RequireReplica: true}, "a", "b")
	a, b := proxies[0], proxies[1]
	a.claim("k", "v")
	const claims = 5
	for range claims {
		b.send("k", "v") // waits for the outcome at a
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
