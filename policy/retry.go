package policy

const (
	// retryTokensPerSuccess is small because retries amplify an overload.
	retryTokensPerSuccess = 0.1
	maxRetryTokens        = 10.0

	// retryMargin is the number of event intervals before its deadline in which a request is not retried.
	retryMargin = 4

	// handoverRetryReserve is the part of the retry budget that is reserved for keyed requests from LevelHandovers on.
	handoverRetryReserve = maxRetryTokens / 4
)

// retryOrEnd retries or ends a request after an attempt that did not answer it.
func (b *Balancer) retryOrEnd(r *request, e Outcome) {
	originFailed := b.originFailed(r, e)
	hasTime := b.now < r.Deadline-retryMargin*r.settings.EventInterval
	if hasTime && !originFailed && b.allowRetry(r, e.Result) {
		if s, path := b.chooseServer(r); s != nil {
			b.send(r, s, path, ReasonRetry)
			return
		}
	}
	b.endUnserved(r, ReasonNoRetry)
}

// originFailed reports whether an outcome is attributed to the origin. For a request with a key, a rejection or an
// error usually means that its fetch failed: another server would ask the same origin, and keep it from recovering.
func (b *Balancer) originFailed(r *request, e Outcome) bool {
	if r.Key == "" || e.Result != Rejected && e.Result != Errored {
		return false
	}
	return b.faultProbability(r.attempts[e.Attempt].server, r.Class) < ejectionProbability
}

// allowRetry reports whether a request may be retried, and takes a token from the retry budget if that needs one.
// Retries amplify an overload, so they need the budget, which successes refill, once the gates shed load. Until then
// only the limit on attempts bounds them: if a network breaks more connections than the budget allows for, requests
// that idle servers could answer must not fail, since their clients would retry anyway. From LevelEconomy on only
// failures that say nothing about load are retried without the budget. The rule assumes that a failure costs a server
// no more work than an answer.
func (b *Balancer) allowRetry(r *request, result Result) bool {
	unrelatedToLoad := result == Reset || result == ConnectFailed || result == Malformed ||
		result == ConnectionLimitReached
	if (b.level < LevelEconomy || unrelatedToLoad) && !b.isShedding() {
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

// refillRetryBudget adds to the retry budget after a success.
func (b *Balancer) refillRetryBudget() {
	b.retryTokens = min(b.retryTokens+retryTokensPerSuccess, maxRetryTokens)
}
