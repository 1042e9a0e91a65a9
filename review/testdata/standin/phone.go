package main

import (
	"context"
	"fmt"
	"os"
	"strings"
	"sync"
	"time"

	"mulleinpier/client"
)

const (
	phoneCut = 2550 * time.Millisecond // of the link from the client to one proxy; the pages allow 6 s
	fetch    = 800 * time.Millisecond  // how long a cache node takes for a read that it has to fetch
	fetches  = 4                       // such reads are out when the handover is sent
	earlier  = 40                      // reads before, one after another
	readsAt  = 600 * time.Millisecond  // so long after the handover the application reads some more orders
	reads    = 24
	// fetchPrefix is that of the keys that cache nodes have to fetch.
	fetchPrefix = "new-"
)

func init() { scenarios["phone"] = phone }

// shop is an application process that uses the client library, and the links from it to the proxies.
type shop struct {
	rec     *record
	trouble bool
	library *client.Client

	mu    sync.Mutex
	links map[string]*link // by the address that the library dials
	isCut bool
}

// tryStart notes the attempts of handovers, and has the link of the first one fall silent.
func (s *shop) tryStart(info client.TryInfo) {
	if info.Op != "set" {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	l := s.links[info.Proxy]
	s.rec.note("library: sends attempt O%s to the proxy at %s, wait %v, retry %v", info.ID, l.node.address(), info.Wait,
		info.Repeat)
	if s.trouble && !s.isCut {
		s.isCut = true
		l.cut(phoneCut, false)
	}
}

// phone: the link from a client to one of two proxies falls silent as the library sends a handover there. The library
// sends it once more, to the other proxy. The handover must take effect once.
func phone(ctx context.Context, rec *record, trouble bool) (isBroken bool, err error) {
	folder, err := os.MkdirTemp("", "review-")
	if err != nil {
		return false, err
	}
	defer os.RemoveAll(folder)
	ledger := &ledger{rec: rec, last: make(map[string]time.Time)}
	endpoints, stopNodes, err := startNodes(rec, 5, ledger.answer)
	defer stopNodes()
	if err != nil {
		return false, err
	}
	discovery, stopDiscovery, err := serveDiscovery(endpoints)
	if err != nil {
		return false, err
	}
	defer stopDiscovery()
	s := &shop{rec: rec, trouble: trouble, links: make(map[string]*link)}
	var addresses []string
	for range 2 {
		proxy, address, err := platformProxy(rec, folder, discovery, siteWindow)
		if err != nil {
			return false, err
		}
		defer proxy.kill()
		l, err := startLinkTo(rec, address)
		if err != nil {
			return false, err
		}
		defer l.listener.Close()
		s.links[l.address()] = l
		addresses = append(addresses, l.address())
	}
	time.Sleep(4 * time.Second)
	s.library, err = client.New(client.Options{
		Proxies: client.Static(addresses...), Tenant: "fovarosi-boltok",
		Read:  client.Class{Name: "rendeles-olvasas", Effect: client.Safe, Wait: 2 * time.Second},
		Write: client.Class{Name: "kezbesites-rogzites", Effect: client.Keyed, Wait: 2500 * time.Millisecond},
		Conns: 1, // a till, not a busy server
		Trace: client.Trace{TryStart: s.tryStart},
	})
	if err != nil {
		return false, err
	}
	defer s.library.Close()
	s.work(ctx)
	ledger.mu.Lock()
	defer ledger.mu.Unlock()
	rec.note("judge: the handover took effect %d times", ledger.effects)
	if ledger.effects == 0 {
		return false, fmt.Errorf("the handover was not recorded: %w", errEarly)
	}
	return ledger.effects > 1, nil
}

// work is what the application does: it reads orders, records one handover, and reads on.
func (s *shop) work(ctx context.Context) {
	var tasks sync.WaitGroup
	defer tasks.Wait()
	for i := range earlier {
		s.library.Get(ctx, fmt.Sprintf("order-%d", i))
	}
	for i := range fetches {
		tasks.Go(func() { s.library.Get(ctx, fmt.Sprintf("%s%d", fetchPrefix, i)) })
	}
	time.Sleep(work / 2)
	tasks.Go(func() {
		receipt, err := s.library.Set(ctx, "order-1", []byte("signed by courier 17"))
		s.rec.note("application: Set: receipt %q, %v", receipt, errOrOK(err))
	})
	time.Sleep(readsAt)
	for i := range reads {
		tasks.Go(func() { s.library.Get(ctx, fmt.Sprintf("order-%d", i)) })
	}
	time.Sleep(phoneCut + time.Second)
}

// ledger is the origin with the cache nodes' common memory of handovers: a repeat is dropped for the window, counted
// from the begin of the one that takes effect.
type ledger struct {
	rec     *record
	mu      sync.Mutex
	last    map[string]time.Time
	effects int
}

func (l *ledger) answer(n *node, c command) string {
	switch c.verb {
	case "mg":
		if strings.HasPrefix(c.key, fetchPrefix) {
			time.Sleep(fetch)
		} else {
			time.Sleep(work)
		}
		return n.value(c)
	case "ms":
		if !l.begin(n, c) {
			return fmt.Sprintf("HD O%s cr1\r\n", c.id)
		}
		time.Sleep(work)
		l.mu.Lock()
		defer l.mu.Unlock()
		l.effects++
		l.rec.note("%s: O%s: EFFECT %d of k=%s", n.name, c.id, l.effects, c.dedup)
		return fmt.Sprintf("HD O%s cr1\r\n", c.id)
	}
	return "CLIENT_ERROR\r\n"
}

// begin reports whether a handover is no repeat within the window.
func (l *ledger) begin(n *node, c command) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if at, ok := l.last[c.dedup]; ok && time.Since(at) < siteWindow {
		l.rec.note("%s: O%s: repeat of k=%s dropped", n.name, c.id, c.dedup)
		return false
	}
	l.last[c.dedup] = time.Now()
	l.rec.note("%s: O%s: begins k=%s", n.name, c.id, c.dedup)
	return true
}
