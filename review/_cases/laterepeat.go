package main

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"time"
)

const (
	repeatCut    = 1100 * time.Millisecond
	repeatSetFor = 1200 * time.Millisecond // 48% of the class's 2.5 s
)

func init() {
	cases["laterepeat"] = func(b *bench) (int, error) { return playLate(b, lateRepeatOnce) }
}

// lateRepeatOnce: one of two cache nodes resets some connections under writes that it has carried out, and the network to
// the other is cut for 1.1 s. The clients repeat nothing.
func lateRepeatOnce(b *bench, name string) (int, error) {
	book := &ledger{b: b, window: lateWindow, done: map[string][]execution{}}
	var entries []object
	var toB *link
	for _, node := range []string{"a", "b"} {
		n := &cacheNode{
			name: node, work: 60 * time.Millisecond, begun: func(string, string, time.Time) {}, execute: book.execute,
		}
		if node == "a" && b.trouble {
			n.resets = func() bool { return rand.IntN(4) == 0 }
		}
		if err := n.serve(); err != nil {
			return cannotRun, err
		}
		address := n.address
		if node == "b" {
			var err error
			if toB, err = startLink(n.address); err != nil {
				return cannotRun, err
			}
			address = toB.address
		}
		entries = append(entries, endpoint(node, address, "up"))
	}
	d, err := b.startDiscovery(entries...)
	if err != nil {
		return cannotRun, err
	}
	services := []object{
		service("read", "safe", 500, 2000, 0),
		service("put", "keyed", 750, 2500, float64(lateWindow.Milliseconds())),
	}
	listen, end, err := b.startPlatform(platformSettings(services, "on_request", 5), d.address,
		object{"index": 41, "snapshot": true, "endpoints": entries}, 512)
	if err != nil {
		return cannotRun, err
	}
	defer end()
	pool := &clientPool{address: listen}
	stop := make(chan struct{})
	var clients sync.WaitGroup
	clients.Go(func() { every(stop, 20*time.Millisecond, func(n int) { pool.read(n) }) })
	clients.Go(func() {
		every(stop, 20*time.Millisecond, func(n int) {
			pool.writeWithin(fmt.Sprint(name, "k", n), fmt.Sprint("w", n), repeatSetFor)
		})
	})
	time.Sleep(3 * time.Second)
	if b.trouble {
		toB.setCut(true)
		b.note("%s: network to b cut", name)
	}
	time.Sleep(repeatCut)
	if b.trouble {
		toB.setCut(false)
		b.note("%s: network to b restored", name)
	}
	time.Sleep(time.Second)
	close(stop)
	clients.Wait()
	time.Sleep(2 * time.Second)
	return book.judge(name, pool, 0)
}
