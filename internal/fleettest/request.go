package fleettest

import (
	"fmt"
	"time"
)

// clientRequest is one request of a client, with the state of all its attempts.
type clientRequest struct {
	retryState
	key, idempotency, tenant string
	value                    string  // of a write; unique to the request
	attemptShare             float64 // fraction of the deadline that one attempt waits
	marksRetries             bool
	overQuota                bool // its tenant had no quota left
	binary                   bool
	library                  bool   // it is sent through the client library
	ticket                   uint64 // CAS that a binary write sends; 0 until it is fetched
	retriesLate              bool   // retries an unknown outcome only by late retries
	lateRetries              int
}

// The ranges in which clients choose backoffs and attempt timeouts, as the platform's operators describe them.
const (
	minBackoff      = 20 * time.Millisecond
	backoffRange    = 140 // in milliseconds
	minAttemptShare = 0.3
	attemptRange    = 0.25 // range of the attempt share
)

// drawRequest draws the next request, and the time until the request after it.
func (w *workload) drawRequest() (*clientRequest, time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	r := w.rng
	q := &clientRequest{retryState: retryState{class: w.classes[0], maxRetries: w.load.Retries}}
	// The same seed gives the same requests only if the order of the draws stays the same.
	q.backoff = minBackoff + time.Duration(r.IntN(backoffRange))*time.Millisecond
	q.honoursRetryAfter = r.Float64() < w.load.HonourRetryAfterShare
	q.attemptShare = minAttemptShare + r.Float64()*attemptRange
	q.marksRetries = r.Float64() < w.load.MarkedRetryShare
	q.binary = w.load.BinaryShare > 0 && r.Float64() < w.load.BinaryShare
	q.library = w.load.LibraryShare > 0 && !q.binary && r.Float64() < w.load.LibraryShare
	switch {
	case r.Float64() < w.load.HandoverShare:
		w.drawWrite(q)
	case r.Float64() < w.load.OneOffKeyShare:
		q.key = fmt.Sprint("once", w.serial.Add(1))
	default:
		q.key = fmt.Sprint("k", w.zipf.Uint64())
	}
	phase, since := w.recorder.phaseAndTime(time.Now())
	w.drawTenant(q, phase)
	rate := w.load.Rate * phase.rate(since, len(w.load.Tenants))
	return q, time.Duration(r.ExpFloat64() / rate * float64(time.Second))
}

// drawWrite turns a request into a write. w.mu must be held.
func (w *workload) drawWrite(q *clientRequest) {
	q.class = w.classes[1]
	q.key = fmt.Sprint("h", w.rng.IntN(w.load.Keys))
	q.idempotency = fmt.Sprintf("%x", w.serial.Add(1))
	q.value = "h" + q.idempotency
	if w.load.LateRetries > 0 {
		q.retriesLate = w.rng.Float64() < w.load.LateRetryShare
		q.marksRetries = true
	}
}

// drawTenant draws the tenant of a request, if there are tenants. w.mu must be held.
func (w *workload) drawTenant(q *clientRequest, phase *Phase) {
	count := len(w.load.Tenants)
	if count == 0 {
		return
	}
	tenant := w.rng.IntN(count)
	// In a flood the first tenant sends several times its share; the rates of the other tenants stay the same.
	factor := phase.FirstTenantFactor
	if factor > 1 && w.rng.Float64() < (factor-1)/(factor-1+float64(count)) {
		tenant = 0
	}
	q.tenant = w.load.Tenants[tenant]
	q.overQuota = !w.withinQuota(tenant)
}

// withinQuota counts a request of a tenant against its quota, and reports whether it is within the quota. w.mu must be
// held.
func (w *workload) withinQuota(tenant int) bool {
	q, now := &w.quotas[tenant], time.Now()
	perSecond := float64(w.load.TenantQuota)
	q.left = min(q.left+now.Sub(q.at).Seconds()*perSecond, perSecond)
	q.at = now
	if q.left < 1 {
		return false
	}
	q.left--
	return true
}
