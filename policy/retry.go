package policy

const (
	// retryTokensPerSuccess is small since retries multiply an overload.
	retryTokensPerSuccess = 0.1
	maxRetryTokens        = 10.0

	// retryMargin is how many event intervals before its deadline a request is no longer retried.
	retryMargin = 4

	// handoverRetryReserve is the part of the budget that is reserved for keyed requests from LevelHandovers on.
	handoverRetryReserve = maxRetryTokens / 4
)

// retryOrEnd decides what follows an attempt that served nothing.
func (b *Balancer) retryOrEnd(r *request, e Outcome) {
	originFailed := b.originFailed(r, e)
	hasTime := b.now < r.Deadline-retryMargin*r.settings.EventInterval
	if hasTime && !originFailed && b.payForRetry(r, e.Result) {
		if s, path := b.chooseServer(r); s != nil {
			b.send(r, s, path, ReasonRetry)
			return
		}
	}
	b.endUnserved(r, ReasonNoRetry)
}

// originFailed reports whether an outcome is taken for a failure of the origin. For a request with a key, a rejection
// or an error mostly means that its fetch failed: another server would ask the same origin, and keep it from
// recovering.
func (b *Balancer) originFailed(r *request, e Outcome) bool {
	if r.Key == "" || e.Result != Rejected && e.Result != Errored {
		return false
	}
	return b.faultProbability(r.attempts[e.Attempt].server, r.Class) < ejectionProbability
}

// payForRetry reports whether one more attempt of a request may be made. Retries multiply an overload, so they are
// paid from the retry budget, which successes fill, once the gates shed. Until then only the limit of attempts bounds
// them: networks that break more connections than a budget foresees must not fail requests that idle servers could
// answer, since their clients retry all the same. Where service is degraded only failures that say nothing about load
// are retried that freely. The rule assumes that failing takes a server no more work than answering.
func (b *Balancer) payForRetry(r *request, result Result) bool {
	saysNothingOfLoad := result == Reset || result == ConnectFailed || result == Malformed ||
		result == ConnectionLimitReached
	if (b.level < LevelEconomy || saysNothingOfLoad) && !b.isShedding() {
		return true
	}
	reserve := 0.0
	if b.level >= LevelHandovers && r.class.Idempotency != IdempotentWithKey {
		reserve = handoverRetryReserve
	}
	if b.retryTokens < 1+reserve {
		return false
	}
	b.retryTokens--
	return true
}

// earnRetry fills the retry budget after a success.
func (b *Balancer) earnRetry() {
	b.retryTokens = min(b.retryTokens+retryTokensPerSuccess, maxRetryTokens)
}
