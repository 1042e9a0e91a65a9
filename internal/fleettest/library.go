package fleettest

import (
	"context"
	"errors"
	"time"

	"mulleinpier/client"
	"mulleinpier/internal/loadgen"
)

// openLibrary makes the library's clients, one for each tenant, if any request goes through them. Their
// tries are judged by the same tally as those of the rehearsal's own clients.
func (c *workload) openLibrary() error {
	if c.load.LibraryShare == 0 {
		return nil
	}
	t := c.recorder
	c.auditor = &loadgen.TraceAuditor{SeenByNode: c.fleet.seenByNode, RecentlyKilled: c.fleet.recentlyKilled, OnTry: t.attemptSent, OnCrossedClose: t.crossedClose, OnKilledInFlight: t.atKilledProxy,
		OnOverdue: t.overdue, OnLost: t.lost}
	var addresses []string
	for _, d := range c.fleet.proxies {
		addresses = append(addresses, d.clientAddress)
	}
	tenants := c.load.Tenants
	if len(tenants) == 0 {
		tenants = []string{""}
	}
	for _, tenant := range tenants {
		l, err := client.New(client.Options{Proxies: client.Static(addresses...), Tenant: tenant, Window: time.Duration(c.fleet.scenario.Fleet.DedupWindow),
			Subset: 8, Trace: client.Trace{TryDone: c.auditor.TryDone, LateAnswer: c.auditor.LateAnswer}})
		if err != nil {
			return err
		}
		c.library = append(c.library, l)
	}
	return nil
}

// closeLibrary is called once all requests are over.
func (c *workload) closeLibrary() {
	if c.auditor != nil {
		c.auditor.Finish()
	}
	for _, l := range c.library {
		l.Close()
	}
}

// playByLibrary has the library carry a request through its tries.
func (c *workload) playByLibrary(e *clientRequest, n recordedRequest) outcome {
	l := c.library[0]
	for i, tenant := range c.load.Tenants {
		if tenant == e.tenant {
			l = c.library[i]
		}
	}
	r := client.Request{Key: e.key}
	if e.class.isWrite {
		r.Set, r.Value, r.Idempotency = true, []byte(e.value), e.idempotency
	}
	a, err := l.Do(context.Background(), r)
	for range a.Tries - 1 {
		c.recorder.retried(n)
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
