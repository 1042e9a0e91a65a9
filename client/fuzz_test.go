package client

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"sync"
	"testing"
	"time"

	"mulleinpier/internal/meta"
)

// FuzzAnswers has a proxy answer a read, then a write, with anything at all: each call ends, what is served is
// what a whole answer to this try brought, and a connection with more on it than was asked for is not used again.
func FuzzAnswers(f *testing.F) {
	for _, s := range []string{"VA 2 O%s h1\r\nab\r\n", "HD O%s c7\r\n", "EN\r\n", "SERVER_ERROR busy 10\r\n", "SERVER_ERROR busy\r\n", "SERVER_ERROR failed\r\n",
		"CLIENT_ERROR bad class\r\n", "VA 2 O%s\r\nabcd", "VA 99999999 O%s\r\n", "VA 2 Oother\r\nab\r\n", "VA -1 O%s\r\n", "SERVER_ERROR busy -1\r\n",
		"SERVER_ERROR busy 99999999999999999999\r\n", "\r\n", "\n", "VA 2 O%s\nab\r\n", "HD O%s c1\r\nHD O%s c1\r\n", "\x81\x00"} {
		f.Add([]byte(s), true)
		f.Add([]byte(s), false)
	}
	f.Fuzz(func(t *testing.T, answer []byte, set bool) {
		near, far := net.Pipe()
		var peer sync.WaitGroup
		var wire []byte
		peer.Go(func() {
			defer far.Close()
			buf := make([]byte, 4096)
			n, _ := far.Read(buf)
			if _, rest, ok := bytes.Cut(buf[:n], []byte(" O")); ok {
				id, _, _ := bytes.Cut(rest, []byte(" "))
				wire = bytes.ReplaceAll(answer, []byte("%s"), id)
				far.SetWriteDeadline(time.Now().Add(time.Second))
				far.Write(wire)
			}
		})
		dials := 0
		c, err := New(Options{Proxies: Static("a:1"), Tries: 1, RetryRatio: -1, Spread: time.Millisecond, Read: Class{"read", Safe, 200 * time.Millisecond, 0},
			Write: Class{"write", Unsafe, 200 * time.Millisecond, 0}, Dial: func(context.Context, string, string) (net.Conn, error) {
				if dials++; dials > 1 {
					return nil, errors.New("gone")
				}
				return near, nil
			}})
		if err != nil {
			t.Fatal(err)
		}
		a, err := c.Do(context.Background(), Request{Key: "k", Set: set})
		c.Close()
		peer.Wait()
		var e *Error
		if err != nil && !errors.As(err, &e) {
			t.Fatalf("%q: %v", answer, err)
		}
		if err == nil && !set {
			// The same told by the grammar's own reader.
			line, rest, ok := bytes.Cut(wire, []byte("\r\n"))
			first, perr := meta.ParseAnswer(line)
			value := make([]byte, first.ValueLen)
			if _, short := io.ReadFull(bytes.NewReader(rest), value); !ok || perr != nil || short != nil || !bytes.Equal(value, a.Value) {
				t.Fatalf("%q served %q", wire, a.Value)
			}
		}
		if set && err != nil && bytes.HasPrefix(wire, []byte("HD ")) && errors.Is(err, ErrRefused) {
			t.Fatalf("%q: refused", wire)
		}
	})
}
