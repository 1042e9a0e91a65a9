package fleettest

import (
	"context"
	"errors"
	"slices"
	"time"

	"mulleinpier/client"
	"mulleinpier/internal/loadgen"
)

// librarySubset is the number of proxies that a library client uses at the same time.
const librarySubset = 8

// openLibrary opens a library client for each tenant, if the load uses the library. The test's recorder counts the
// attempts of library clients together with those of the test's own clients.
func (w *workload) openLibrary() error {
	if w.load.LibraryShare == 0 {
		return nil
	}
	w.auditor = &loadgen.TraceAuditor{
		SeenByNode:       w.fleet.seenByNode,
		RecentlyKilled:   w.fleet.recentlyKilled,
		OnTry:            w.recorder.attemptSent,
		OnCrossedClose:   w.recorder.crossedClose,
		OnKilledInFlight: w.recorder.atKilledProxy,
		OnOverdue:        w.recorder.overdue,
		OnLost:           w.recorder.lost,
	}
	var addresses []string
	for _, p := range w.fleet.proxies {
		addresses = append(addresses, p.clientAddress)
	}
	tenants := w.load.Tenants
	if len(tenants) == 0 {
		tenants = []string{""}
	}
	for _, tenant := range tenants {
		c, err := client.New(client.Options{
			Proxies: client.Static(addresses...),
			Tenant:  tenant,
			Window:  time.Duration(w.fleet.scenario.Fleet.DedupWindow),
			Subset:  librarySubset,
			Trace:   client.Trace{TryDone: w.auditor.TryDone, LateAnswer: w.auditor.LateAnswer},
		})
		if err != nil {
			return err
		}
		w.library = append(w.library, c)
	}
	return nil
}

// closeLibrary closes the library clients, after the auditor has waited for late answers. All requests must have ended.
func (w *workload) closeLibrary() {
	if w.auditor != nil {
		w.auditor.Finish()
	}
	for _, c := range w.library {
		c.Close()
	}
}

// playByLibrary sends a request with the client library, which retries it as needed.
func (w *workload) playByLibrary(q *clientRequest, recorded recordedRequest) outcome {
	c := w.library[max(slices.Index(w.load.Tenants, q.tenant), 0)]
	r := client.Request{Key: q.key}
	if q.class.isWrite {
		r.Set = true
		r.Value = []byte(q.value)
		r.Idempotency = q.idempotency
	}
	a, err := c.Do(context.Background(), r)
	for range a.Tries - 1 {
		w.recorder.retried(recorded)
	}
	switch {
	case err == nil, errors.Is(err, client.ErrMiss):
		return served
	case errors.Is(err, client.ErrRefused):
		return refused
	case errors.Is(err, client.ErrUnavailable):
		return notConnected
	case errors.Is(err, client.ErrDeadline):
		return timedOut
	}
	return failed
}
