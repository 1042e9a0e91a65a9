package client

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"strings"
	"sync"
	"testing"

	"github.com/bradfitz/gomemcache/memcache"
)

// bothServe answers reads in the meta protocol and in the classic one, each with the same
// value, as fast as one goroutine a connection can.
func bothServe(b *testing.B) string {
	listener, err := net.Listen("tcp", "127.0.0.2:0")
	if err != nil {
		b.Fatal(err)
	}
	value := strings.Repeat("v", 100)
	var tasks sync.WaitGroup
	var mu sync.Mutex
	var sockets []net.Conn
	tasks.Go(func() {
		for {
			socket, err := listener.Accept()
			if err != nil {
				return
			}
			mu.Lock()
			sockets = append(sockets, socket)
			mu.Unlock()
			tasks.Go(func() {
				in, out := bufio.NewReader(socket), bufio.NewWriter(socket)
				for {
					line, err := in.ReadSlice('\n')
					if err != nil {
						return
					}
					if line[0] == 'm' { // mg KEY v Oid Pc=...
						fields := strings.Fields(string(line))
						out.WriteString("VA 100 ")
						out.WriteString(fields[3])
						out.WriteString(" h1\r\n")
						out.WriteString(value)
						out.WriteString("\r\n")
					} else { // gets KEY
						fields := strings.Fields(string(line))
						fmt.Fprintf(out, "VALUE %s 0 100 1\r\n%s\r\nEND\r\n", fields[1], value)
					}
					if in.Buffered() == 0 && out.Flush() != nil {
						return
					}
				}
			})
		}
	})
	b.Cleanup(func() {
		listener.Close()
		mu.Lock()
		for _, s := range sockets {
			s.Close()
		}
		mu.Unlock()
		tasks.Wait()
	})
	return listener.Addr().String()
}

// BenchmarkGet reads through this client and through a known one of the classic protocol, over
// the same stand-in, with so many goroutines.
func BenchmarkGet(b *testing.B) {
	for _, goroutines := range []int{1, 8, 64, 512} {
		get := map[string]func(address string) (func() error, func()){
			"mulleinpier": func(address string) (func() error, func()) {
				c, err := New(Options{Proxies: Static(address)})
				if err != nil {
					b.Fatal(err)
				}
				return func() error { _, err := c.Get(context.Background(), "order-17"); return err }, func() { c.Close() }
			},
			"gomemcache": func(address string) (func() error, func()) {
				c := memcache.New(address)
				c.MaxIdleConns = goroutines
				c.Timeout = Read.Wait
				return func() error { _, err := c.Get("order-17"); return err }, func() { c.Close() }
			},
		}
		for _, name := range []string{"gomemcache", "mulleinpier"} {
			b.Run(fmt.Sprintf("%s/%d", name, goroutines), func(b *testing.B) {
				one, done := get[name](bothServe(b))
				defer done()
				b.ReportAllocs()
				b.ResetTimer()
				var tasks sync.WaitGroup
				each := b.N/goroutines + 1
				for range goroutines {
					tasks.Go(func() {
						for range each {
							if err := one(); err != nil {
								b.Error(err)
								return
							}
						}
					})
				}
				tasks.Wait()
				b.ReportMetric(float64(each*goroutines)/b.Elapsed().Seconds(), "req/s")
			})
		}
	}
}
