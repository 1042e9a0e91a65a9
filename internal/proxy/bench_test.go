package proxy_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"log/slog"
	"net"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"mulleinpier/internal/config"
	"mulleinpier/internal/proxy"
)

// BenchmarkRead measures a read by a meta client from a meta node through the whole proxy. The allocations include
// those of the client and the node, which are close to none.
func BenchmarkRead(b *testing.B) {
	node, err := net.Listen("tcp", "127.0.0.2:0")
	if err != nil {
		b.Fatal(err)
	}
	defer node.Close()
	go serveBenchmarkNode(node)
	address := startBenchmarkProxy(b, node.Addr())
	socket, err := net.Dial("tcp", address.String())
	if err != nil {
		b.Fatal(err)
	}
	defer socket.Close()
	in, command := bufio.NewReader(socket), make([]byte, 0, 256)
	response := make([]byte, len("VA 2 O12345678\r\nhi\r\n"))
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		command = fmt.Appendf(command[:0], "mg k%d v O%08d Pc=read,d=2000\r\n", i%8, i)
		if _, err := socket.Write(command); err != nil {
			b.Fatal(err)
		}
		if _, err := io.ReadFull(in, response); err != nil || !strings.HasPrefix(string(response), "VA 2 ") {
			b.Fatalf("%q, %v", response, err)
		}
	}
}

// serveBenchmarkNode answers each command with a value.
func serveBenchmarkNode(listener net.Listener) {
	for {
		c, err := listener.Accept()
		if err != nil {
			return
		}
		go answerCommands(c)
	}
}

func answerCommands(c net.Conn) {
	defer c.Close()
	in, out := bufio.NewReader(c), make([]byte, 0, 256)
	for {
		line, err := in.ReadSlice('\n')
		if err != nil {
			return
		}
		id := strings.Index(string(line), " O") + 1
		out = append(append(append(out[:0], "VA 2 "...), line[id:id+9]...), " h1\r\nhi\r\n"...)
		c.Write(out)
	}
}

// startBenchmarkProxy starts a proxy with one node and returns its address.
func startBenchmarkProxy(b *testing.B, node net.Addr) net.Addr {
	b.Helper()
	path := filepath.Join(b.TempDir(), "proxy.toml")
	text := fmt.Sprintf("listen = \"127.0.0.1:0\"\nnodes.addresses = [%q]\n", node)
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		b.Fatal(err)
	}
	c, err := config.Read(path)
	if err != nil {
		b.Fatal(err)
	}
	server, err := proxy.Listen(c.Proxy, nil, slog.New(slog.DiscardHandler))
	if err != nil {
		b.Fatal(err)
	}
	ctx, stop := context.WithCancel(context.Background())
	served := make(chan struct{})
	go func() {
		defer close(served)
		server.Serve(ctx)
	}()
	b.Cleanup(func() {
		stop()
		<-served
	})
	return server.Address()
}
