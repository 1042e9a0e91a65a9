package main

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"os"
	"sync"
	"time"
)

const (
	dedupWindow = 700 * time.Millisecond  // Services[].Window of the keyed class, shorter than the site's 1.5 s
	firstCut    = 550 * time.Millisecond  // of the link to the first cache node; the pages allow 6 s
	secondCut   = 600 * time.Millisecond  // of the link that carries the repeat
	handoverHas = 1350 * time.Millisecond // how long the client waits (d): 54% of the class's limit of 2.5 s
	// slack is what the pages add to a time limit (50 ms) and allow between a proxy's clock and its write (0.15 s).
	slack = 200 * time.Millisecond
	dedup = "5c0f6e1a2b3d4c59" // the idempotency key of the handover
)

// book is the origin: it records each effect. All cache nodes together drop a repeat for dedupWindow, counted from the
// effect, which is later than from the send and so in the proxy's favour.
type book struct {
	mu      sync.Mutex
	rec     *record
	applied []time.Time // of the handover
	receipt int
}

// apply records an effect, or drops a repeat, and returns the receipt.
func (b *book) apply(n *node) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := time.Now()
	if len(b.applied) > 0 && now.Sub(b.applied[len(b.applied)-1]) < dedupWindow {
		b.rec.note("origin: repeat of k=%s by %s dropped", dedup, n.name)
		return b.receipt
	}
	b.applied = append(b.applied, now)
	b.receipt++
	b.rec.note("origin: EFFECT %d of k=%s, by %s", len(b.applied), dedup, n.name)
	return b.receipt
}

// handover is the state of the case.
type handover struct {
	rec     *record
	book    *book
	trouble bool

	mu      sync.Mutex
	begun   []time.Time // when the last byte of each attempt had come to a cache node
	links   map[*node]*link
	cutOnce bool
	cutTwo  bool
}

// answer is the work of a cache node.
func (h *handover) answer(n *node, c command) string {
	switch {
	case c.verb == "mg":
		time.Sleep(work)
		return n.value(c)
	case c.verb != "ms" || c.dedup != dedup:
		return "CLIENT_ERROR\r\n"
	}
	h.mu.Lock()
	h.begun = append(h.begun, time.Now())
	h.rec.note("%s: the last byte of attempt %d has come: %s", n.name, len(h.begun), c.line)
	if h.trouble && !h.cutOnce {
		h.cutOnce = true
		h.links[n].cut(firstCut, true)
	}
	h.mu.Unlock()
	time.Sleep(work)
	return fmt.Sprintf("HD O%s cr%d\r\n", c.id, h.book.apply(n))
}

// inspect cuts the link that carries the repeat, while it is on its way.
func (h *handover) inspect(l *link, data []byte) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.cutOnce && !h.cutTwo && bytes.Contains(data, []byte("k="+dedup)) {
		h.cutTwo = true
		l.cut(secondCut, false)
	}
}

func init() { scenarios["window"] = window }

// window: two cuts. A handover runs at a cache node whose link falls silent before it has answered; when the link is
// back, its open connections are reset. The proxy sends the handover once more, on a link that falls silent just then.
// It must not come to a cache node after the window of the first attempt.
func window(ctx context.Context, rec *record, trouble bool) (isBroken bool, err error) {
	folder, err := os.MkdirTemp("", "review-")
	if err != nil {
		return false, err
	}
	defer os.RemoveAll(folder)
	h := &handover{rec: rec, book: &book{rec: rec}, trouble: trouble, links: make(map[*node]*link)}
	var endpoints []endpoint
	for i := range 5 {
		n, err := startNode(rec, fmt.Sprintf("s-%d", i), h.answer)
		if err != nil {
			return false, err
		}
		defer n.stop()
		l, err := startLink(rec, n, h.inspect)
		if err != nil {
			return false, err
		}
		defer l.listener.Close()
		h.links[n] = l
		endpoints = append(endpoints, endpoint{Name: n.name, Address: l.address(), Zone: "budapest", Type: "gyors",
			Group: 1, Status: "up", Weight: 1})
	}
	discovery, stopDiscovery, err := serveDiscovery(endpoints)
	if err != nil {
		return false, err
	}
	defer stopDiscovery()
	proxy, address, err := platformProxy(rec, folder, discovery, dedupWindow)
	if err != nil {
		return false, err
	}
	defer proxy.kill()
	time.Sleep(4 * time.Second) // the proxy has asked for the list by then
	if err := ctx.Err(); err != nil {
		return false, err
	}
	answer, err := request(rec, address, "order-1", "w1", handoverHas)
	rec.note("client: the answer is %q, %v", answer, errOrOK(err))
	time.Sleep(secondCut + time.Second) // whatever is still on its way arrives
	return h.judge()
}

// judge says whether an attempt came after the window, and the handover took effect twice.
func (h *handover) judge() (isBroken bool, err error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if len(h.begun) == 0 || h.trouble && !h.cutTwo {
		return false, fmt.Errorf("the handover came to no cache node, or was not sent again: %w", errEarly)
	}
	late := false
	for i, at := range h.begun {
		after := at.Sub(h.begun[0])
		late = late || after > dedupWindow+slack
		h.rec.note("judge: attempt %d came %v after the first; the window is %v", i+1, after.Round(time.Millisecond),
			dedupWindow)
	}
	effects := len(h.book.applied)
	h.rec.note("judge: the handover took effect %d times", effects)
	return late && effects > 1, nil
}

// request sends a handover on a connection of its own and returns the first line of the answer.
func request(rec *record, address, key, id string, wait time.Duration) (answer string, err error) {
	c, err := net.Dial("tcp", address)
	if err != nil {
		return "", err
	}
	defer c.Close()
	text := fmt.Sprintf("ms %s 6 O%s Pc=kezbesites-rogzites,t=fovarosi-boltok,d=%d,k=%s\r\nsigned\r\n",
		key, id, wait.Milliseconds(), dedup)
	rec.note("client: sends %q", text)
	if _, err := io.WriteString(c, text); err != nil {
		return "", err
	}
	c.SetReadDeadline(time.Now().Add(wait + grace))
	return bufio.NewReader(c).ReadString('\n')
}
