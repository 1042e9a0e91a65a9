package loadgen

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"sync"
	"time"

	"mulleinpier/internal/meta"
	"mulleinpier/internal/request"
)

// keepTime is how long a brief till keeps a connection that idles.
const keepTime = 1500 * time.Millisecond

// brief is a till as the operators describe theirs.
type brief struct {
	tally *tally
	base  uint64

	mu     sync.Mutex
	rng    *rand.Rand
	serial int
	idle   []*line // the latest last
	closed bool
}

// line is a connection.
type line struct {
	socket net.Conn
	in     *bufio.Reader
	since  time.Time
}

func (b *brief) close() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.closed = true
	for _, l := range b.idle {
		l.socket.Close()
	}
	b.idle = nil
}

// connect returns a kept connection, or a new one to any proxy.
func (b *brief) connect() (*line, error) {
	b.mu.Lock()
	for len(b.idle) > 0 {
		l := b.idle[len(b.idle)-1]
		b.idle = b.idle[:len(b.idle)-1]
		if time.Since(l.since) < keepTime {
			b.mu.Unlock()
			return l, nil
		}
		l.socket.Close()
	}
	address := b.tally.config.Addresses[b.rng.IntN(len(b.tally.config.Addresses))]
	b.mu.Unlock()
	b.tally.dialled()
	socket, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		b.tally.add(func(f *PhaseResult) { f.DialFails++ })
		return nil, err
	}
	return &line{socket: socket, in: bufio.NewReaderSize(socket, 2<<10)}, nil
}

func (b *brief) keep(l *line) {
	l.since = time.Now()
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.closed {
		l.socket.Close()
		return
	}
	b.idle = append(b.idle, l)
}

func (b *brief) call(o *order) end {
	c := b.tally.config
	class := &c.Options.Read
	if o.value != "" {
		class = &c.Options.Write
	}
	deadline := time.Now().Add(class.Wait)
	ran := false
	for try := 0; ; try++ {
		left := min(time.Until(deadline), time.Duration(o.share*float64(class.Wait)))
		as := failed
		if left > 0 {
			as = b.try(o, class.Name, left, try > 0)
		}
		switch {
		case as == served:
			return served
		case as == failed:
			ran = true
		}
		if try >= o.retries || time.Until(deadline) <= o.pause {
			if as == failed && ran && o.value != "" {
				return unknown
			}
			return as
		}
		time.Sleep(o.pause)
	}
}

// try sends a request once. What does not come up counts as refused: nothing was sent.
func (b *brief) try(o *order, class string, wait time.Duration, repeat bool) end {
	l, err := b.connect()
	if err != nil {
		return refused
	}
	b.mu.Lock()
	b.serial++
	id := fmt.Sprintf("b%x-%x", b.base, b.serial)
	b.mu.Unlock()
	r := request.Request{Key: o.key, Class: class, Tenant: b.tally.config.Tenant, Retry: repeat && o.marked}
	if o.value != "" {
		r.Verb, r.Value, r.IdempotencyKey = request.Set, []byte(o.value), o.value
	}
	text := meta.AppendRequest(nil, &r, id, max(wait.Milliseconds(), 1))
	if o.value != "" {
		text = append(text, o.value+"\r\n"...)
	}
	l.socket.SetDeadline(time.Now().Add(wait))
	b.tally.tried()
	as, whole := failed, false
	if _, err := l.socket.Write(text); err == nil {
		as, whole = l.answer(id, o.value != "")
	}
	if whole {
		b.keep(l)
	} else {
		l.socket.Close()
	}
	return as
}

// answer reads one answer, and tells whether the connection can be used on.
func (l *line) answer(id string, write bool) (as end, whole bool) {
	text, err := l.in.ReadSlice('\n')
	if err != nil {
		return failed, false
	}
	text = bytes.TrimSuffix(text, []byte("\r\n"))
	if bytes.HasPrefix(text, []byte("SERVER_ERROR busy")) {
		return refused, true
	}
	a, err := meta.ParseAnswer(text)
	switch {
	case err != nil:
		return failed, false
	case a.Kind == request.Stored && write && string(a.ID) == id:
		return served, true
	case a.Kind == request.Value && !write && string(a.ID) == id:
		_, err := io.CopyN(io.Discard, l.in, int64(a.ValueLen)+2)
		if err != nil {
			return failed, false
		}
		return served, true
	case a.Kind == request.NotFound && !write:
		return served, true
	case a.Kind == request.Failed:
		return failed, true
	}
	return failed, false
}
