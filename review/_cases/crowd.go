package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"sync"
	"syscall"
	"time"
)

func init() { cases["crowd"] = crowd }

// crowdSize is the number of clients that never finish a request.
const crowdSize = 1000

// crowd: clients connect and never finish a request, while each true request comes on a new connection.
func crowd(b *bench) (int, error) {
	var entries []object
	for _, name := range []string{"a", "b"} {
		n := &cacheNode{name: name, work: 20 * time.Millisecond, begun: func(string, string, time.Time) {}}
		if err := n.serve(); err != nil {
			return cannotRun, err
		}
		entries = append(entries, endpoint(name, n.address, "up"))
	}
	d, err := b.startDiscovery(entries...)
	if err != nil {
		return cannotRun, err
	}
	settings := platformSettings([]object{service("read", "safe", 500, 2000, 0)}, "on_request", 4)
	listen, _, err := b.startPlatform(settings, d.address,
		object{"index": 41, "snapshot": true, "endpoints": entries}, 256)
	if err != nil {
		return cannotRun, err
	}
	var mu sync.Mutex
	served, busy, shut, lost, slowest := 0, 0, 0, 0, time.Duration(0)
	const wait = time.Second
	request := func(n int) {
		dialled := time.Now()
		c, err := net.DialTimeout("tcp", listen, 3*time.Second)
		if err != nil {
			mu.Lock()
			shut++
			mu.Unlock()
			return
		}
		defer c.Close()
		sent := time.Now()
		text := fmt.Sprintf("mg key%d v Or%d Pc=read,d=%d\r\n", n%100, n, wait.Milliseconds())
		// A client waits longer than its time here, to see whether there is an answer at all.
		a := ask(c, bufio.NewReader(c), text, sent.Add(6*time.Second))
		took := time.Since(sent)
		mu.Lock()
		defer mu.Unlock()
		// half a second after the request's time, 50 ms for sockets
		late := took > wait+500*time.Millisecond+50*time.Millisecond
		slowest = max(slowest, took)
		switch {
		case errors.Is(a.err, io.EOF) || errors.Is(a.err, syscall.ECONNRESET) || errors.Is(a.err, syscall.EPIPE):
			shut++ // unread: the client sends it again
			return
		case late:
			lost++
			b.note("BROKEN lost: r%d, connected in %.1f ms and sent at %.1f with d=1000, got %q %v after %.1f ms",
				n, float64(sent.Sub(dialled).Microseconds())/1000, b.since(sent), a.line, a.err,
				float64(took.Microseconds())/1000)
		case a.served():
			served++
		default:
			busy++
		}
	}
	stop := make(chan struct{})
	var clients sync.WaitGroup
	clients.Go(func() { every(stop, 50*time.Millisecond, request) })
	time.Sleep(3 * time.Second)
	if b.trouble {
		b.note("%d clients connect within 2 s, send half a line and stay", crowdSize)
		for i := range crowdSize {
			clients.Go(func() {
				time.Sleep(time.Duration(i) * 2 * time.Second / time.Duration(crowdSize))
				c, err := net.Dial("tcp", listen)
				if err != nil {
					return
				}
				defer c.Close()
				io.WriteString(c, "mg half")
				c.SetReadDeadline(time.Now().Add(40 * time.Second))
				io.Copy(io.Discard, c) // until the proxy closes
			})
		}
	}
	time.Sleep(12 * time.Second)
	close(stop)
	clients.Wait()
	b.note("true requests: %d served, %d refused or failed, %d shut or reset unread, %d lost; slowest answer %v",
		served, busy, shut, lost, slowest)
	if served == 0 {
		return cannotRun, errors.New("nothing was served")
	}
	if lost > 0 {
		return ruleBroken, nil
	}
	return ruleHeld, nil
}
