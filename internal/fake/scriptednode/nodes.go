// Package scriptednode is a fake of cache nodes, or of proxies, that do exactly what a test tells them to, in either
// dialect. Close ends its goroutines.
package scriptednode

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"time"

	"mulleinpier/internal/binary"
	"mulleinpier/internal/meta"
	"mulleinpier/internal/request"
)

// Dialect is the protocol of nodes.
type Dialect string

// The dialects.
const (
	Meta   Dialect = "meta"
	Binary Dialect = "binary"
)

// Reaction is what a node does with a request.
type Reaction string

// The reactions. Surplus, Other, Noise, Half and Endless are spoilt answers, and the
// request has run.
const (
	Serve           Reaction = "serve"   // with the value of [Value], or [Receipt]
	Slow            Reaction = "slow"    // the same 150 ms later; what follows on the connection waits
	Miss            Reaction = "miss"    // there is no such key
	Busy            Reaction = "busy"    // turned away unseen
	BusyRetryAfter  Reaction = "advise"  // turned away unseen, to come again in a second; in meta alone
	Invalid         Reaction = "invalid" // it says that the request can't be meant; in meta alone
	Fail            Reaction = "fail"    // it may have run
	Reset           Reaction = "reset"   // the connection ends in place of an answer
	TruncatedAnswer Reaction = "half"    // it ends within the answer
	Hang            Reaction = "hang"    // nothing ever comes
	Garbage         Reaction = "noise"   // what can't be read
	OtherAnswer     Reaction = "other"   // another request's answer
	DuplicateAnswer Reaction = "surplus" // a good answer, and the same once more
	EndlessValue    Reaction = "endless" // a length of 3 GB, and bytes that keep coming for a while
)

// Receipt is that of every write.
const Receipt = "7"

// Value is the value of every key: the largest possible one for a key that starts with "big".
func Value(key string) string {
	if strings.HasPrefix(key, "big") {
		return strings.Repeat("v", meta.MaxValue)
	}
	return "v:" + key
}

// ReceivedRequest is a request as a node received it.
type ReceivedRequest struct {
	Node        int
	At          time.Time // of its first byte
	Verb        request.Verb
	Key, Value  string
	Idempotency string // "" where the dialect has no room for it
	// Of meta alone.
	ID     string
	Class  string
	Tenant string
	Wait   time.Duration
	Retry  bool // marked as one
}

// Nodes are scripted nodes. They are safe for concurrent use.
type Nodes struct {
	dialect   Dialect
	react     func(number int, a ReceivedRequest) Reaction
	listeners []net.Listener
	tasks     sync.WaitGroup

	mu       sync.Mutex
	requests []ReceivedRequest
	accepted int
	conns    map[net.Conn]int // by node
	done     chan struct{}
}

// Start starts so many nodes on loopback. react returns what to do with each request, by its number over all nodes from
// 0.
func Start(dialect Dialect, nodes int, react func(number int, a ReceivedRequest) Reaction) (*Nodes, error) {
	ns := &Nodes{dialect: dialect, react: react, conns: make(map[net.Conn]int), done: make(chan struct{})}
	for i := range nodes {
		l, err := net.Listen("tcp", "127.0.0.2:0")
		if err != nil {
			ns.Close()
			return nil, err
		}
		ns.listeners = append(ns.listeners, l)
		ns.tasks.Go(func() { ns.accept(i, l) })
	}
	return ns, nil
}

// Address returns where a node listens.
func (ns *Nodes) Address(i int) string { return ns.listeners[i].Addr().String() }

// CloseListener closes a node's listener for good.
func (ns *Nodes) CloseListener(i int) { ns.listeners[i].Close() }

// Stop ends a node as the end of its process would: connections are reset, new ones refused.
func (ns *Nodes) Stop(i int) {
	ns.listeners[i].Close()
	ns.each(i, func(c *net.TCPConn) {
		c.SetLinger(0)
		c.Close()
	})
}

// HalfClose ends the sending direction of all connections of a node, as a draining one does with idle ones.
func (ns *Nodes) HalfClose(i int) { ns.each(i, func(c *net.TCPConn) { c.CloseWrite() }) }

func (ns *Nodes) each(i int, do func(*net.TCPConn)) {
	ns.mu.Lock()
	defer ns.mu.Unlock()
	for c, of := range ns.conns {
		if of == i {
			do(c.(*net.TCPConn))
		}
	}
}

// Restart has a node that was stopped listen at its address again.
func (ns *Nodes) Restart(i int) error {
	l, err := net.Listen("tcp", ns.listeners[i].Addr().String())
	if err != nil {
		return err
	}
	ns.listeners[i] = l
	ns.tasks.Go(func() { ns.accept(i, l) })
	return nil
}

// Accepted counts the connections that came up so far, and those that are open.
func (ns *Nodes) Accepted() (all, open int) {
	ns.mu.Lock()
	defer ns.mu.Unlock()
	return ns.accepted, len(ns.conns)
}

// Requests returns the requests so far, in order.
func (ns *Nodes) Requests() []ReceivedRequest {
	ns.mu.Lock()
	defer ns.mu.Unlock()
	return append([]ReceivedRequest(nil), ns.requests...)
}

// Close ends the nodes and waits for their goroutines.
func (ns *Nodes) Close() {
	close(ns.done)
	for _, l := range ns.listeners {
		l.Close()
	}
	ns.mu.Lock()
	for c := range ns.conns {
		c.Close()
	}
	ns.mu.Unlock()
	ns.tasks.Wait()
}

func (ns *Nodes) accept(i int, l net.Listener) {
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		ns.mu.Lock()
		ns.conns[c] = i
		ns.accepted++
		ns.mu.Unlock()
		ns.tasks.Go(func() {
			ns.serve(i, c)
			c.Close()
			ns.mu.Lock()
			delete(ns.conns, c)
			ns.mu.Unlock()
		})
	}
}

// serve reads requests until the connection ends, or a reaction ends it.
func (ns *Nodes) serve(i int, c net.Conn) {
	read, in := readMeta, bufio.NewReader(c)
	if ns.dialect == Binary {
		read = readBinary
	}
	for {
		if _, err := in.Peek(1); err != nil {
			return
		}
		at := time.Now()
		r, a, err := read(in)
		if err != nil {
			return
		}
		a.Node, a.At = i, at
		ns.mu.Lock()
		number := len(ns.requests)
		ns.requests = append(ns.requests, a)
		ns.mu.Unlock()
		if !ns.apply(ns.react(number, a), r, c) {
			return
		}
	}
}

// parsedCommand is what an answer needs of its request.
type parsedCommand struct {
	verb request.Verb
	key  string
	id   string
	head binary.Header
}

// readMeta reads a request of the meta protocol.
func readMeta(in *bufio.Reader) (r parsedCommand, a ReceivedRequest, err error) {
	line, err := in.ReadString('\n')
	if err != nil {
		return r, a, err
	}
	c, err := meta.ParseCommand(strings.TrimSuffix(line, "\r\n"))
	if err != nil {
		return r, a, err
	}
	body := make([]byte, c.ValueLen+2)
	if c.Verb == request.Set {
		if _, err := io.ReadFull(in, body); err != nil {
			return r, a, err
		}
	}
	r = parsedCommand{verb: c.Verb, key: c.Key, id: c.ID}
	return r, ReceivedRequest{
		Verb:        c.Verb,
		Key:         c.Key,
		Value:       string(body[:c.ValueLen]),
		Idempotency: c.IdempotencyKey,
		ID:          c.ID,
		Class:       c.Class,
		Tenant:      c.Tenant,
		Wait:        c.Timeout,
		Retry:       c.Retry,
	}, nil
}

// readBinary reads a request of the binary protocol.
func readBinary(in *bufio.Reader) (r parsedCommand, a ReceivedRequest, err error) {
	var head [binary.HeaderLen]byte
	if _, err = io.ReadFull(in, head[:]); err != nil {
		return r, a, err
	}
	if r.head, err = binary.ParseHeader(head[:], binary.RequestMagic); err != nil {
		return r, a, err
	}
	body := make([]byte, r.head.BodyLen)
	if _, err = io.ReadFull(in, body); err != nil {
		return r, a, err
	}
	if r.head.Validate() != binary.OK || r.head.Opcode != binary.Get && r.head.Opcode != binary.Set {
		return r, a, errors.New("neither a get nor a set")
	}
	if r.head.Opcode == binary.Set {
		r.verb = request.Set
	}
	r.key = string(body[r.head.ExtrasLen : r.head.ExtrasLen+r.head.KeyLen])
	return r, ReceivedRequest{Verb: r.verb, Key: r.key, Value: string(body[r.head.ExtrasLen+r.head.KeyLen:])}, nil
}

// apply does what a reaction says, and reports whether the connection goes on.
func (ns *Nodes) apply(do Reaction, r parsedCommand, c net.Conn) bool {
	say := ns.encodeMeta
	if ns.dialect == Binary {
		say = ns.encodeBinary
	}
	switch do {
	case Reset:
		return false
	case Hang:
		<-ns.done
		return false
	case Slow:
		select {
		case <-time.After(150 * time.Millisecond):
		case <-ns.done:
		}
		do = Serve
	}
	text := say(do, r)
	switch do {
	case TruncatedAnswer:
		c.Write(text[:len(text)-1])
		return false
	case EndlessValue:
		c.Write(text)
		c.Write(make([]byte, 1<<20)) // enough: its reader gives up long before
		<-ns.done
		return false
	}
	_, err := c.Write(text)
	return err == nil
}

// encodeMeta is the answer of a reaction in the meta protocol.
func (ns *Nodes) encodeMeta(do Reaction, r parsedCommand) []byte {
	value, id := Value(r.key), r.id
	switch do {
	case Miss:
		return []byte("EN\r\n")
	case Busy:
		return []byte("SERVER_ERROR busy\r\n")
	case BusyRetryAfter:
		return []byte("SERVER_ERROR busy 1000\r\n")
	case Invalid:
		return []byte("CLIENT_ERROR bad class\r\n")
	case Fail:
		return []byte("SERVER_ERROR failed\r\n")
	case Garbage:
		return []byte("\x00\x17noise\xff\r\n")
	case EndlessValue:
		return []byte("VA 3000000000 O" + id + " h1\r\n")
	case OtherAnswer:
		id += "x"
	}
	text := fmt.Sprintf("VA %d O%s h1\r\n%s\r\n", len(value), id, value)
	if r.verb == request.Set {
		text = fmt.Sprintf("HD O%s c%s\r\n", id, Receipt)
	}
	if do == DuplicateAnswer {
		text += text
	}
	return []byte(text)
}

// encodeBinary is the answer of a reaction in the binary protocol.
func (ns *Nodes) encodeBinary(do Reaction, r parsedCommand) []byte {
	switch do {
	case Miss:
		return binary.AppendStatus(nil, &r.head, binary.NotFound, 0)
	case Busy:
		return binary.AppendStatus(nil, &r.head, binary.Busy, 0)
	case Fail:
		return binary.AppendStatus(nil, &r.head, binary.InternalError, 0)
	case Garbage:
		return []byte("\x00\x17noise\xff that is longer than a header")
	}
	h := binary.Header{Opcode: r.head.Opcode, Opaque: r.head.Opaque, CAS: 7}
	value := ""
	if r.verb == request.Get {
		value = "\x00\x00\x00\x00" + Value(r.key)
		h.ExtrasLen, h.BodyLen = 4, len(value)
	}
	switch do {
	case OtherAnswer:
		h.Opaque++
	case EndlessValue:
		h.ExtrasLen, h.BodyLen = 4, 3000000000
		value = ""
	}
	text := string(h.Append(nil, binary.ResponseMagic)) + value
	if do == DuplicateAnswer {
		text += text
	}
	return []byte(text)
}
