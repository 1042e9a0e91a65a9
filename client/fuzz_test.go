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

// answerSeeds is the seed corpus of answers; %s stands for the id of the request.
var answerSeeds = []string{
	"VA 2 O%s h1\r\nab\r\n", "HD O%s c7\r\n", "EN\r\n", "SERVER_ERROR busy 10\r\n", "SERVER_ERROR busy\r\n",
	"SERVER_ERROR failed\r\n", "CLIENT_ERROR bad class\r\n", "VA 2 O%s\r\nabcd", "VA 99999999 O%s\r\n",
	"VA 2 Oother\r\nab\r\n", "VA -1 O%s\r\n", "SERVER_ERROR busy -1\r\n",
	"SERVER_ERROR busy 99999999999999999999\r\n", "\r\n", "\n", "VA 2 O%s\nab\r\n", "HD O%s c1\r\nHD O%s c1\r\n",
	"\x81\x00",
}

// answerOnce reads one request and writes the answer with the request's id in place of %s. It returns what it wrote.
func answerOnce(socket net.Conn, answer []byte) (wire []byte) {
	defer socket.Close()
	buf := make([]byte, 4096)
	n, _ := socket.Read(buf)
	_, rest, ok := bytes.Cut(buf[:n], []byte(" O"))
	if !ok {
		return nil
	}
	id, _, _ := bytes.Cut(rest, []byte(" "))
	wire = bytes.ReplaceAll(answer, []byte("%s"), id)
	socket.SetWriteDeadline(time.Now().Add(time.Second))
	socket.Write(wire)
	return wire
}

// checkServed checks the value that a read returned against the protocol's own parser.
func checkServed(t *testing.T, wire, value []byte) {
	t.Helper()
	line, rest, complete := bytes.Cut(wire, []byte("\r\n"))
	first, parseErr := meta.ParseAnswer(line)
	want := make([]byte, first.ValueLen)
	_, shortErr := io.ReadFull(bytes.NewReader(rest), want)
	if !complete || parseErr != nil || shortErr != nil || !bytes.Equal(want, value) {
		t.Fatalf("%q served %q", wire, value)
	}
}

// FuzzAnswers has a proxy answer a read or a write with arbitrary bytes. It checks that each call ends, that a value
// that is served is the one in a complete answer to this attempt, and that a write that was stored is not reported as
// refused.
func FuzzAnswers(f *testing.F) {
	for _, s := range answerSeeds {
		f.Add([]byte(s), true)
		f.Add([]byte(s), false)
	}
	f.Fuzz(func(t *testing.T, answer []byte, set bool) {
		clientEnd, proxyEnd := net.Pipe()
		var peer sync.WaitGroup
		var wire []byte
		peer.Go(func() { wire = answerOnce(proxyEnd, answer) })
		dials := 0
		c, err := New(Options{
			Proxies:    Static("a:1"),
			Tries:      1,
			RetryRatio: -1,
			Spread:     time.Millisecond,
			Read:       Class{Name: "read", Effect: Safe, Wait: 200 * time.Millisecond},
			Write:      Class{Name: "write", Effect: Unsafe, Wait: 200 * time.Millisecond},
			Dial: func(context.Context, string, string) (net.Conn, error) {
				dials++
				if dials > 1 {
					return nil, errors.New("gone")
				}
				return clientEnd, nil
			},
		})
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
			checkServed(t, wire, a.Value)
		}
		if set && err != nil && bytes.HasPrefix(wire, []byte("HD ")) && errors.Is(err, ErrRefused) {
			t.Fatalf("%q: refused", wire)
		}
	})
}
