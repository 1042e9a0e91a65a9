package policy

import (
	"math"
	"time"
)

// quotaBurstSeconds is how many seconds of its quota a tenant may use at once.
const quotaBurstSeconds = 1.0

// tokenBucket holds what is left of a tenant's quota, in requests.
type tokenBucket struct {
	tokens   float64
	refilled time.Duration
}

// chargeQuota charges a request to its tenant's quota and reports whether the tenant is over its quota. Each proxy
// grants an equal part of the quota, with a burst of quotaBurstSeconds.
func (b *Balancer) chargeQuota(r *request) (over bool) {
	if r.Tenant < 0 || r.Tenant >= len(b.settings.Tenants) {
		return false
	}
	rate := b.settings.Tenants[r.Tenant].Quota / float64(max(b.settings.ProxyCount, 1))
	if rate <= 0 {
		return false
	}
	for len(b.quotas) < len(b.settings.Tenants) {
		b.quotas = append(b.quotas, tokenBucket{tokens: math.Inf(1)})
	}
	bucket := &b.quotas[r.Tenant]
	bucket.tokens = min(bucket.tokens+rate*(b.now-bucket.refilled).Seconds(), rate*quotaBurstSeconds)
	bucket.refilled = b.now
	if bucket.tokens < 1 {
		return true
	}
	bucket.tokens--
	return false
}
