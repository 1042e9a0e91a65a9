package consul

import (
	"context"
	"net/http"
)

// FaultKind is a way in which an agent fails. Its values are names in scenarios.
type FaultKind string

// The kinds of faults.
const (
	NoFault       FaultKind = ""
	NoResponse    FaultKind = "quiet"      // connections come up, but no query is answered, not even a waiting one
	SlowBody      FaultKind = "slow"       // bodies come a byte at a time
	EmptyList     FaultKind = "empty"      // lists are empty, without any sign of a fault
	ACLFiltered   FaultKind = "filtered"   // the same, as ACLs have filtered them, which a header says
	PartialList   FaultKind = "part"       // lists lack every other instance
	Leaderless    FaultKind = "leaderless" // no leader is known
	StaleLeader   FaultKind = "stale"      // the last contact with the leader was long ago
	MalformedBody FaultKind = "garbage"    // bodies are no JSON
	TruncatedBody FaultKind = "half"       // bodies end half way
	HugeList      FaultKind = "huge"       // lists have 100,000 instances
	RateLimited   FaultKind = "limited"    // 429, with a Retry-After of a second
	Forbidden     FaultKind = "forbidden"  // 403
	ServerError   FaultKind = "broken"     // 500
	ZeroIndex     FaultKind = "noindex"    // the index is zero
)

// SetFault makes the agent fail from now on, including waiting queries; NoFault ends that. It counts as a change,
// because an answer with an old index would be ignored.
func (a *Agent) SetFault(kind FaultKind) {
	a.catalogue.mu.Lock()
	a.catalogue.bumpIndexLocked()
	a.catalogue.mu.Unlock()
	a.mu.Lock()
	defer a.mu.Unlock()
	a.fault = kind
	close(a.faultChanged)
	a.faultChanged = make(chan struct{})
}

func (a *Agent) currentFault() (FaultKind, chan struct{}) {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.fault, a.faultChanged
}

// withFaults checks the token, and applies the faults that concern every request.
func (a *Agent) withFaults(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if a.token != "" && r.Header.Get("X-Consul-Token") != a.token {
			http.Error(w, "Permission denied: token with AccessorID lacks permission", http.StatusForbidden)
			return
		}
		switch fault, _ := a.currentFault(); fault {
		case NoResponse:
			a.awaitResponsive(r.Context())
			panic(http.ErrAbortHandler)
		case RateLimited:
			w.Header().Set("Retry-After", "1")
			http.Error(w, "rate limit exceeded, try again later", http.StatusTooManyRequests)
		case Forbidden:
			http.Error(w, "Permission denied", http.StatusForbidden)
		case ServerError:
			http.Error(w, "rpc error: No cluster leader", http.StatusInternalServerError)
		default:
			next.ServeHTTP(w, r)
		}
	})
}

// awaitResponsive waits until the agent responds again, or ctx ends.
func (a *Agent) awaitResponsive(ctx context.Context) {
	for ctx.Err() == nil {
		fault, changed := a.currentFault()
		if fault != NoResponse {
			return
		}
		select {
		case <-changed:
		case <-ctx.Done():
		}
	}
}
