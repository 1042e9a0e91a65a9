package coordinator

import (
	"context"
	"log/slog"
	"net"
	"slices"
	"sync"
	"testing"
	"time"

	"mulleinpier/internal/peer"
	"mulleinpier/internal/request"
	"mulleinpier/internal/takeover"
	"mulleinpier/internal/testutil"
)

// fakeMembership implements FleetMembers with a list that tests change.
type fakeMembership struct {
	mu      sync.Mutex
	list    []peer.MemberState
	changed chan struct{}
}

func (m *fakeMembership) Members() (list []peer.MemberState, isolated bool, changed <-chan struct{}) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return slices.Clone(m.list), false, m.changed
}

func (m *fakeMembership) setState(name string, s peer.State) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for i := range m.list {
		if m.list[i].Name == name {
			m.list[i].State = s
		}
	}
	close(m.changed)
	m.changed = make(chan struct{})
}

// decision has the arguments of a call of Core.ClaimDecided.
type decision struct {
	requestID uint64
	verdict   takeover.Verdict
	within    time.Duration
	receipt   string
}

// resumedID is the request ID that fakeCore gives to a resumed write.
const resumedID = 1000

// fakeCore records the calls of a coordinator.
type fakeCore struct {
	decisions chan decision
	resumed   chan *request.Request
}

func (c *fakeCore) ClaimDecided(id uint64, v takeover.Verdict, within time.Duration, receipt string) bool {
	c.decisions <- decision{id, v, within, receipt}
	return true
}

func (c *fakeCore) ResumeWrite(in *request.Request, _ time.Duration) (id uint64, ok bool) {
	c.resumed <- in
	return resumedID, true
}

// proxy is a coordinator with a fake core and membership.
type proxy struct {
	*Coordinator
	t          *testing.T
	core       *fakeCore
	membership *fakeMembership
	address    string
	stop       func()
	lastID     uint64
}

var testStart = time.Now()

// startProxies starts a coordinator per name. All of them are members of one fleet and have the same options.
func startProxies(t *testing.T, options Options, names ...string) (proxies []*proxy) {
	t.Helper()
	var members []peer.MemberState
	var listeners []net.Listener
	for i, name := range names {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		listeners = append(listeners, l)
		members = append(members, peer.MemberState{
			Member: peer.Member{Name: name, Incarnation: uint64(i + 1), Address: l.Addr().String(), Zone: name},
			State:  peer.Alive,
		})
	}
	for i, m := range members {
		p := &proxy{
			t:          t,
			core:       &fakeCore{make(chan decision, 16), make(chan *request.Request, 16)},
			membership: &fakeMembership{list: slices.Clone(members), changed: make(chan struct{})},
			address:    m.Address,
		}
		options.Fleet, options.Zone = "test", m.Zone
		options.Self = takeover.Owner{Name: m.Name, Incarnation: m.Incarnation}
		options.Clock = func() time.Duration { return time.Since(testStart) }
		options.Log = slog.New(slog.DiscardHandler)
		p.Coordinator = New(p.core, options)
		ctx, cancel := context.WithCancel(context.Background())
		var task sync.WaitGroup
		task.Go(func() { p.Run(ctx, listeners[i], p.membership) })
		p.stop = sync.OnceFunc(func() {
			cancel()
			task.Wait()
		})
		t.Cleanup(p.stop)
		proxies = append(proxies, p)
	}
	return proxies
}

// claim claims a write and waits for the decision.
func (p *proxy) claim(key, value string) decision {
	p.t.Helper()
	p.send(key, value)
	d := testutil.Receive(p.t, "the decision on "+key, p.core.decisions)
	if d.requestID != p.lastID {
		p.t.Errorf("decision on request %d, want %d", d.requestID, p.lastID)
	}
	return d
}

// send claims a write without waiting for the decision.
func (p *proxy) send(key, value string) {
	p.t.Helper()
	p.lastID++
	in := &request.Request{
		Verb: request.Set, Key: "order", Class: "write", Tenant: "shop", IdempotencyKey: key, Value: []byte(value),
	}
	if !p.Claim(p.lastID, in, dedupWindow, time.Now().Add(10*time.Second)) {
		p.t.Fatal("no room for a claim")
	}
}

const dedupWindow = 20 * time.Second
