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

// startServer starts a server that answers reads in the meta and in the classic protocol, always with the same value.
// It has one goroutine per connection. startServer returns its address.
func startServer(b *testing.B) string {
	b.Helper()
	listener, err := net.Listen("tcp", "127.0.0.2:0")
	if err != nil {
		b.Fatal(err)
	}
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
			tasks.Go(func() { serveReads(socket) })
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

// serveReads answers the reads on a connection until it ends.
func serveReads(socket net.Conn) {
	value := strings.Repeat("v", 100)
	in, out := bufio.NewReader(socket), bufio.NewWriter(socket)
	for {
		line, err := in.ReadSlice('\n')
		if err != nil {
			return
		}
		fields := strings.Fields(string(line))
		if line[0] == 'm' { // mg KEY v Oid Pc=...
			out.WriteString("VA 100 ")
			out.WriteString(fields[3])
			out.WriteString(" h1\r\n")
			out.WriteString(value)
			out.WriteString("\r\n")
		} else { // gets KEY
			fmt.Fprintf(out, "VALUE %s 0 100 1\r\n%s\r\nEND\r\n", fields[1], value)
		}
		if in.Buffered() == 0 && out.Flush() != nil {
			return
		}
	}
}

// openGet returns a function that reads through one of the compared clients, and one that closes the client.
func openGet(b *testing.B, name, address string, goroutines int) (get func() error, done func()) {
	b.Helper()
	if name == "gomemcache" {
		c := memcache.New(address)
		c.MaxIdleConns = goroutines
		c.Timeout = Read.Wait
		get = func() error {
			_, err := c.Get("order-17")
			return err
		}
		return get, func() { c.Close() }
	}
	c, err := New(Options{Proxies: Static(address)})
	if err != nil {
		b.Fatal(err)
	}
	get = func() error {
		_, err := c.Get(context.Background(), "order-17")
		return err
	}
	return get, func() { c.Close() }
}

// measureGet measures reads from the given number of goroutines.
func measureGet(b *testing.B, name string, goroutines int) {
	b.Helper()
	get, done := openGet(b, name, startServer(b), goroutines)
	defer done()
	b.ReportAllocs()
	b.ResetTimer()
	var tasks sync.WaitGroup
	each := b.N/goroutines + 1
	for range goroutines {
		tasks.Go(func() {
			for range each {
				if err := get(); err != nil {
					b.Error(err)
					return
				}
			}
		})
	}
	tasks.Wait()
	b.ReportMetric(float64(each*goroutines)/b.Elapsed().Seconds(), "req/s")
}

// BenchmarkGet compares this client with gomemcache, a client of the classic protocol, on servers of the same kind.
func BenchmarkGet(b *testing.B) {
	for _, goroutines := range []int{1, 8, 64, 512} {
		for _, name := range []string{"gomemcache", "mulleinpier"} {
			b.Run(fmt.Sprintf("%s/%d", name, goroutines), func(b *testing.B) { measureGet(b, name, goroutines) })
		}
	}
}
