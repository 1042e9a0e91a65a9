package consul

import "net/http"

// FaultKind is a way in which an agent fails.
type FaultKind string

// The kinds of faults.
const (
	NoFault       FaultKind = ""
	NoResponse    FaultKind = "quiet"      // connections are accepted, but pending and new requests get no answer
	SlowBody      FaultKind = "slow"       // bodies arrive one byte at a time
	EmptyList     FaultKind = "empty"      // lists are empty, without a sign of an error
	ACLFiltered   FaultKind = "filtered"   // lists are empty, and a header says that ACLs filtered them
	PartialList   FaultKind = "part"       // lists lack every other instance
	Leaderless    FaultKind = "leaderless" // the cluster has no known leader
	StaleLeader   FaultKind = "stale"      // the last contact with the leader was long ago
	MalformedBody FaultKind = "garbage"    // bodies are not JSON
	TruncatedBody FaultKind = "half"       // the connection ends in the middle of a body
	HugeList      FaultKind = "huge"       // lists have hugeListLength instances
	RateLimited   FaultKind = "limited"    // 429, with a Retry-After of a second
	Forbidden     FaultKind = "forbidden"  // 403
	ServerError   FaultKind = "broken"     // 500
	ZeroIndex     FaultKind = "noindex"    // the index is 0
)

// SetFault replaces the agent's present fault, also for pending queries. NoFault ends it. The catalogue's index
// advances, because a client ignores an answer whose index it already has.
func (a *Agent) SetFault(kind FaultKind) {
	a.catalogue.mu.Lock()
	a.catalogue.advance()
	a.catalogue.mu.Unlock()
	a.mu.Lock()
	defer a.mu.Unlock()
	a.fault = kind
	close(a.faultChanged)
	a.faultChanged = make(chan struct{})
}

// currentFault returns the agent's fault, and a channel that is closed when the fault changes.
func (a *Agent) currentFault() (fault FaultKind, changed <-chan struct{}) {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.fault, a.faultChanged
}

// withAccessAndFaults checks the token, and applies the faults that affect every request.
func (a *Agent) withAccessAndFaults(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if a.token != "" && r.Header.Get("X-Consul-Token") != a.token {
			http.Error(w, "Permission denied: token with AccessorID lacks permission", http.StatusForbidden)
			return
		}
		switch fault, _ := a.currentFault(); fault {
		case NoResponse:
			a.abortAfterSilence(r)
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

// abortAfterSilence answers nothing until NoResponse ends or the client leaves, and then aborts the connection.
func (a *Agent) abortAfterSilence(r *http.Request) {
	for {
		fault, changed := a.currentFault()
		if fault != NoResponse || r.Context().Err() != nil {
			panic(http.ErrAbortHandler)
		}
		select {
		case <-changed:
		case <-r.Context().Done():
		}
	}
}
