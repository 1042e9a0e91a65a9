package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"sync"
	"time"

	"mulleinpier/client"
)

const (
	originStop = 4 * time.Second // the pages: "stops for some seconds", 3 to 8 s in the bench's default
	handedOver = "signed by courier 17"
)

func init() { scenarios["resolve"] = resolve }

// orderBook is the origin and what its cache nodes keep. While it stands still nothing is carried out there; what it
// has been given is carried out afterwards, as a time-out stops nothing.
type orderBook struct {
	rec *record

	mu       sync.Mutex
	standsTo time.Time
	kept     map[string]string // the copies that the cache nodes hold
	keys     map[string]chan struct{}
	effects  []string // of handovers, by value
}

// write carries out a write once, however often it comes with its key within the window, and returns when it is done.
func (b *orderBook) write(n *node, c command) {
	b.mu.Lock()
	done := b.keys[c.dedup]
	isRepeat := done != nil
	if !isRepeat {
		done = make(chan struct{})
		b.keys[c.dedup] = done
	}
	wait := time.Until(b.standsTo)
	b.mu.Unlock()
	if isRepeat {
		b.rec.note("%s: a repeat of k=%s waits for the first", n.name, c.dedup)
		<-done
		return
	}
	b.rec.note("%s: begins k=%s, and passes it to the origin", n.name, c.dedup)
	time.Sleep(max(wait, 0) + work)
	b.mu.Lock()
	defer b.mu.Unlock()
	value := string(c.value[:len(c.value)-2])
	b.effects = append(b.effects, value)
	b.kept[c.key] = value
	b.rec.note("origin: EFFECT %d: %q, k=%s", len(b.effects), value, c.dedup)
	close(done)
}

func (b *orderBook) answer(n *node, c command) string {
	switch c.verb {
	case "mg":
		time.Sleep(work)
		b.mu.Lock()
		value := b.kept[c.key]
		b.mu.Unlock()
		return fmt.Sprintf("VA %d O%s h1 Lqps=40,inflight=2,x1=0\r\n%s\r\n", len(value), c.id, value)
	case "ms":
		b.write(n, c)
		return fmt.Sprintf("HD O%s cr1\r\n", c.id)
	}
	return "CLIENT_ERROR\r\n"
}

// resolve: an application records a handover with the client library while the origin stands still, finds out by
// Resolve that it was not carried out, and records it again, as the page for operators says.
func resolve(ctx context.Context, rec *record, trouble bool) (isBroken bool, err error) {
	folder, err := os.MkdirTemp("", "review-")
	if err != nil {
		return false, err
	}
	defer os.RemoveAll(folder)
	book := &orderBook{rec: rec, kept: map[string]string{"order-1": "on its way"}, keys: make(map[string]chan struct{})}
	var endpoints []endpoint
	for i := range 5 {
		n, err := startNode(rec, fmt.Sprintf("s-%d", i), book.answer)
		if err != nil {
			return false, err
		}
		defer n.stop()
		endpoints = append(endpoints, endpoint{Name: n.name, Address: n.address(), Zone: "budapest", Type: "gyors",
			Group: 1, Status: "up", Weight: 1})
	}
	discovery, stopDiscovery, err := serveDiscovery(endpoints)
	if err != nil {
		return false, err
	}
	defer stopDiscovery()
	proxy, address, err := platformProxy(rec, folder, discovery, siteWindow)
	if err != nil {
		return false, err
	}
	defer proxy.kill()
	time.Sleep(4 * time.Second)
	library, err := client.New(client.Options{
		Proxies: client.Static(address), Tenant: "fovarosi-boltok",
		Read:  client.Class{Name: "rendeles-olvasas", Effect: client.Safe, Wait: 2 * time.Second},
		Write: client.Class{Name: "kezbesites-rogzites", Effect: client.Keyed, Wait: 2500 * time.Millisecond},
	})
	if err != nil {
		return false, err
	}
	defer library.Close()
	value, err := library.Get(ctx, "order-1")
	rec.note("application: reads %q, %v", value, errOrOK(err))
	if trouble {
		book.mu.Lock()
		book.standsTo = time.Now().Add(originStop)
		book.mu.Unlock()
		rec.note("origin: stands still for %v", originStop)
	}
	record17(ctx, rec, library)
	time.Sleep(originStop)
	book.mu.Lock()
	defer book.mu.Unlock()
	rec.note("judge: the handover was recorded %d times", len(book.effects))
	if len(book.effects) == 0 {
		return false, fmt.Errorf("the handover was not recorded: %w", errEarly)
	}
	return len(book.effects) > 1, nil
}

// record17 records a handover, as the page for operators says for ErrUnknown: "calls Resolve, which waits until then and
// reads. Only if the write is not there is it written again."
func record17(ctx context.Context, rec *record, library *client.Client) {
	for range 3 {
		receipt, err := library.Set(ctx, "order-1", []byte(handedOver))
		rec.note("application: Set: receipt %q, %v", receipt, errOrOK(err))
		if !errors.Is(err, client.ErrUnknown) {
			return
		}
		isDone, resolveErr := library.Resolve(ctx, err, func(value []byte) bool {
			rec.note("application: Resolve reads %q", value)
			return string(value) == handedOver
		})
		rec.note("application: Resolve: carried out %v, %v", isDone, errOrOK(resolveErr))
		if isDone || resolveErr != nil {
			return
		}
	}
}
