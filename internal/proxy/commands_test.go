package proxy

import (
	"io"
	"strings"
	"testing"
)

// TestMalformedCommandsAreRejected checks that an invalid command gets an error response soon and that no part of it
// reaches a node.
func TestMalformedCommandsAreRejected(t *testing.T) {
	h := startHarness(t, 256, startNode(t, func(c nodeCommand) {
		t.Errorf("a node received %q", c.line)
		c.respond("SERVER_ERROR failed\r\n")
	}))
	const clientError, unknown = "CLIENT_ERROR ", "ERROR"
	for _, c := range []struct{ name, send, want string }{
		{"noise", "\x00\xff\x17\r\n", unknown},
		{"not UTF-8", "mg k\xff v O1 Pc=read,t=shops\r\n", unknown},
		{"endless line", strings.Repeat("x", 10000), clientError},
		{"no CRLF", "mg k v O1 Pc=read,t=shops\n", clientError},
		{"half a line", "mg k v O1 Pc=re", clientError},
		{"half a value", "ms k 5 O1 Pc=put,t=shops,k=1\r\nhe", clientError},
		{"negative length", "ms k -5 O1 Pc=put,t=shops,k=1\r\nhello\r\n", clientError},
		{"wrong length", "ms k 3 O1 Pc=put,t=shops,k=1\r\nhello\r\n", clientError},
		{"over 64 KiB", "ms k 65537 O1 Pc=put,t=shops,k=1\r\n", clientError},
		{"3 GB", "ms k 3000000000 O1 Pc=put,t=shops,k=1\r\n", clientError},
		{"no such class", "mg k v O1 Pc=hurry,t=shops\r\n", clientError},
		{"no such tenant", "mg k v O1 Pc=read,t=nobody\r\n", clientError},
		{"deadline no number", "mg k v O1 Pc=read,t=shops,d=soon\r\n", clientError},
		{"deadline not finite", "mg k v O1 Pc=read,t=shops,d=inf\r\n", clientError},
		{"deadline in hex", "mg k v O1 Pc=read,t=shops,d=0x10\r\n", clientError},
		{"no id", "mg k v Pc=read,t=shops\r\n", clientError},
		{"keyed write without its key", "ms k 2 O1 Pc=put,t=shops\r\nhi\r\n", clientError},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			u := h.connect()
			u.t = t
			u.send("%s", c.send)
			if got := u.line(); !strings.HasPrefix(got, c.want) {
				t.Errorf("answered %q, want %q", got, c.want)
			}
		})
	}
}

// TestConnectionOfNoiseIsClosed checks that the connection of a client that sends only invalid commands is closed after
// a few error responses.
func TestConnectionOfNoiseIsClosed(t *testing.T) {
	h := startHarness(t, 256)
	u := h.connect()
	u.send("%s", strings.Repeat("noise\r\n", 1000))
	for range 8 {
		u.expect("ERROR")
	}
	u.expect("CLIENT_ERROR too many bad commands")
	u.expect("")
}

// TestOversizedValueIsRejected checks that a value far over the limit is not read to its end, and that the connection
// is not reset before its client has received the error, even if the client keeps sending.
func TestOversizedValueIsRejected(t *testing.T) {
	h := startHarness(t, 256)
	u := h.connect()
	u.send("ms k 62914560 O1 Pc=put,t=shops,k=1\r\n")
	stopped := make(chan error, 1)
	go func() {
		_, err := io.CopyN(u.socket, zeros{}, 62914560)
		stopped <- err
	}()
	u.expect("CLIENT_ERROR bad data length")
	if <-stopped == nil {
		t.Error("an oversized value was read to its end")
	}
}

type zeros struct{}

func (zeros) Read(p []byte) (int, error) { return len(p), nil }

// TestRequestIDInUseIsRejected checks that a command with the id of another client's request in flight is rejected,
// since a response with that id could go to either client.
func TestRequestIDInUseIsRejected(t *testing.T) {
	arrived, proceed := make(chan struct{}), make(chan struct{})
	h := startHarness(t, 256, startNode(t, func(c nodeCommand) {
		arrived <- struct{}{}
		<-proceed
		c.serve()
	}))
	first, second := h.connect(), h.connect()
	first.sendRead("1")
	<-arrived
	second.sendRead("1")
	second.expect("CLIENT_ERROR id in use")
	close(proceed)
	first.expectValue("1")
}
