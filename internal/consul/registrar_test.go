package consul

import (
	"context"
	"log/slog"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	fakeconsul "mulleinpier/internal/fake/consul"
	"mulleinpier/internal/testutil"
)

// registration is a registrar with the catalogue in which it registers.
type registration struct {
	t         *testing.T
	catalogue *fakeconsul.Catalogue
	registrar *Registrar
	canServe  atomic.Bool
	ended     chan struct{}
}

// statuses returns the statuses of the proxy's checks, separated by spaces, or "gone" if it is not registered.
func (r *registration) statuses() string {
	list := r.catalogue.Instances("proxy")
	if len(list) == 0 {
		return "gone"
	}
	var statuses []string
	for _, check := range list[0].Checks {
		statuses = append(statuses, check.Status)
	}
	return strings.Join(statuses, " ")
}

func (r *registration) expect(want string) {
	r.t.Helper()
	testutil.WaitUntil(r.t, want, func() bool { return r.statuses() == want })
}

func (r *registration) run(ctx context.Context) {
	r.registrar.Run(ctx, r.canServe.Load)
	r.ended <- struct{}{}
}

func TestRegistrationIsKeptUntilDrain(t *testing.T) {
	catalogue, agent := startAgent(t, "")
	r := &registration{t: t, catalogue: catalogue, ended: make(chan struct{}, 1)}
	r.registrar = NewRegistrar(Registration{
		Agent:   Agent{Address: agent.Address()},
		Service: "proxy",
		ID:      "p1",
		Host:    "127.0.0.1",
		Port:    11211,
		TTL:     300 * time.Millisecond,
	}, slog.New(slog.DiscardHandler))
	r.canServe.Store(true)
	ctx, drain := context.WithCancel(context.Background())
	go r.run(ctx)
	r.expect("passing")
	time.Sleep(3 * r.registrar.TTL) // the check is passed repeatedly
	r.expect("passing")
	agent.DropRegistrations()
	r.expect("passing") // the proxy is registered again
	agent.SetFault(fakeconsul.ServerError)
	r.expect("critical") // all calls fail, and the TTL expires
	agent.SetFault(fakeconsul.NoFault)
	r.expect("passing")
	r.canServe.Store(false)
	r.expect("critical") // the proxy is registered but cannot serve
	r.canServe.Store(true)
	r.expect("passing")
	drain()
	testutil.Receive(t, "the end", r.ended)
	r.expect("passing critical") // the proxy is in maintenance
	r.registrar.Deregister()
	r.expect("gone")
	// A crash: the agent gets no more calls.
	crash, kill := context.WithCancel(context.Background())
	go r.run(crash)
	r.expect("passing")
	agent.SetFault(fakeconsul.NoResponse)
	kill()
	testutil.Receive(t, "the end", r.ended)
	r.expect("critical")
}
