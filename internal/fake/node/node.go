// Package node is a stand-in cache node: it reads through to a stand-in origin and
// speaks the meta protocol as real nodes do. Its memory, places, queue and table
// of connections are bounded; it starts warm or cold, falls over where it is sent
// far more than it can do while cold, and fails on demand in the ways of [Fault].
package node

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"mulleinpier/internal/binary"
	"mulleinpier/internal/fake/origin"
	"mulleinpier/internal/meta"
	"mulleinpier/internal/request"
)

// Config says what a node is and can do. Zero stands for the usual.
type Config struct {
	Name             string
	Slots            int           // requests in work at a time; 8
	Queue            int           // that may wait; 64
	ServiceTime      time.Duration // for one request, give or take a quarter; none
	Capacity         int           // keys kept; 4096
	MaxConns         int           // connections held; 64
	IdleTimeout      time.Duration // after which a connection is closed; 15 s
	ValueSize        int           // bytes of a value; 64
	ReportLoad       bool          // answers tell the load
	Binary           bool          // it speaks the binary protocol, and nothing else
	MissingKeyPrefix string        // the origin has no key that begins so; "" for none such
	// LedgerByValue has the ledger tell writes apart by their values, as a rehearsal does whose
	// clients write each value once: so a repeat shows under whatever key it came.
	LedgerByValue bool

	Cold               bool          // it starts now, and empty
	ColdCapacityShare  float64       // of its capacity at the start; 0.3
	WarmUpTime         time.Duration // until it is warm; 8.6 s
	CollapseLoadFactor float64       // of what it can do while cold, for FallTime: it falls; 3
	CollapseTime       time.Duration // 2 s

	Seed   uint64
	Origin *origin.Origin // needed
	Group  *Group         // needed
	// OnRequest, if set, is told each request: its id or, where its dialect has none, "", its
	// value, and when its first byte came.
	OnRequest func(node, id, value string, at time.Time)
}

func (c *Config) fill() {
	set := func(n *int, usual int) {
		if *n == 0 {
			*n = usual
		}
	}
	set(&c.Slots, 8)
	set(&c.Queue, 64)
	set(&c.Capacity, 4096)
	set(&c.MaxConns, 64)
	set(&c.ValueSize, 64)
	if c.IdleTimeout == 0 {
		c.IdleTimeout = 15 * time.Second
	}
	if c.ColdCapacityShare == 0 {
		c.ColdCapacityShare = 0.3
	}
	if c.WarmUpTime == 0 {
		c.WarmUpTime = 8600 * time.Millisecond
	}
	if c.CollapseLoadFactor == 0 {
		c.CollapseLoadFactor = 3
	}
	if c.CollapseTime == 0 {
		c.CollapseTime = 2 * time.Second
	}
}

// FaultKind is a way to fail.
type FaultKind string

// The ways to fail.
const (
	NoFault     FaultKind = ""
	Stall       FaultKind = "stall"   // nothing is begun or answered, connections come up
	Reset       FaultKind = "reset"   // the connection is reset once a request has been carried out
	Late        FaultKind = "late"    // an answer comes Fault.By later
	Busy        FaultKind = "busy"    // requests are turned away unseen
	Garbage     FaultKind = "garbage" // what comes for an answer can't be read; the request has run
	ProcessDown FaultKind = "refuse"  // the process is gone: connections are reset and refused
	MachineDown FaultKind = "vanish"  // the machine is gone: nothing is said, no connection comes up
)

// Faults are all ways to fail.
var Faults = []FaultKind{NoFault, Stall, Reset, Late, Busy, Garbage, ProcessDown, MachineDown}

// Fault is a way to fail, and for how many. Reset, Late, Busy and Garbage
// befall one request in Every (all for 0 and 1).
type Fault struct {
	Kind  FaultKind
	OneIn int
	Delay time.Duration
}

// Stats count what came to a node.
type Stats struct {
	Requests, Hits, Misses, Writes, Repeats, Busy int
	Conns, MaxConns                               int
	Collapsed                                     bool
}

// host is a loopback address that no connection goes out from: while a node is
// down, none can take its port by chance.
const host = "127.0.0.2"

// pipelined bounds the requests of one connection that are not answered yet.
const pipelined = 256

// Node is a stand-in node at work. It is safe for concurrent use.
type Node struct {
	config  Config
	address string

	mu       sync.Mutex
	stalled  sync.Cond // while fault is Stall or Vanish
	rng      *rand.Rand
	cache    *cache
	started  time.Time // zero for long ago
	draining bool
	fault    Fault
	faulted  int // requests counted for Fault.OneIn
	listener *net.TCPListener
	fill     []net.Conn // that keep the backlog full while vanished
	conns    map[*conn]struct{}
	running  int
	waiting  []*job
	fetching int
	arrivals []time.Time // within FallTime, while cold
	stats    Stats
	serial   int
	closed   bool
	tasks    sync.WaitGroup
}

type conn struct {
	node    *Node
	socket  *net.TCPConn
	changed sync.Cond // of what follows, under Node.mu
	replies []*job
	gone    bool
}

type job struct {
	conn    *conn
	command meta.Command
	head    binary.Header // of a binary command
	answer  []byte        // nil until it is there
	fault   FaultKind
	until   time.Time // nobody waits longer
}

// Start returns a node that listens at a free port of the loopback.
func Start(c Config) (*Node, error) {
	c.fill()
	n := &Node{config: c, rng: rand.New(rand.NewPCG(c.Seed, 4)), cache: newCache(c.Capacity), conns: make(map[*conn]struct{})}
	n.stalled.L = &n.mu
	if c.Cold {
		n.started = time.Now()
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	if err := n.listen(host + ":0"); err != nil {
		return nil, err
	}
	n.address = n.listener.Addr().String()
	c.Group.join(n)
	return n, nil
}

// Name returns the node's name.
func (n *Node) Name() string {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.config.Name
}

// Address returns where it listens, the same after a restart.
func (n *Node) Address() string { return n.address }

// Started returns the time of its last start; zero for long ago.
func (n *Node) Started() time.Time {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.started
}

// Stats returns what came to the node so far.
func (n *Node) Stats() Stats {
	n.mu.Lock()
	defer n.mu.Unlock()
	s := n.stats
	s.Conns = len(n.conns)
	return s
}

// listen opens the address. n.mu is held.
func (n *Node) listen(address string) error {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	n.listener = listener.(*net.TCPListener)
	own := n.listener
	n.tasks.Go(func() { n.accept(own) })
	return nil
}

func (n *Node) accept(listener *net.TCPListener) {
	for {
		socket, err := listener.AcceptTCP()
		if err != nil {
			return
		}
		n.mu.Lock()
		c := &conn{node: n, socket: socket}
		c.changed.L = &n.mu
		if n.closed || n.listener != listener || len(n.conns) >= n.config.MaxConns {
			n.mu.Unlock()
			socket.SetLinger(0) // a full table resets
			socket.Close()
			continue
		}
		n.conns[c] = struct{}{}
		n.stats.MaxConns = max(n.stats.MaxConns, len(n.conns))
		n.mu.Unlock()
		n.tasks.Go(c.read)
		n.tasks.Go(c.write)
	}
}

// Close ends the node and waits for its goroutines.
func (n *Node) Close() {
	n.mu.Lock()
	n.closed = true
	n.fault = Fault{}
	n.stalled.Broadcast()
	n.down()
	n.mu.Unlock()
	n.tasks.Wait()
}

// down closes the listener and resets all connections. n.mu is held.
func (n *Node) down() {
	if n.listener != nil {
		n.listener.Close()
		n.listener = nil
	}
	for _, c := range n.fill {
		c.Close()
	}
	n.fill = nil
	for c := range n.conns {
		c.reset()
	}
	n.waiting = nil
}

// reset breaks a connection. Node.mu is held.
func (c *conn) reset() {
	c.gone = true
	c.socket.SetLinger(0)
	c.socket.Close()
	c.changed.Broadcast()
	c.node.stalled.Broadcast()
}

// Restart makes the node one that was just started: cold and empty, at its
// address.
func (n *Node) Restart() error { return n.RestartAs("") }

// RestartAs is Restart with another node's name, unless it is "": its address has been taken over.
func (n *Node) RestartAs(name string) error {
	n.mu.Lock()
	defer n.mu.Unlock()
	if name != "" {
		n.config.Name = name
	}
	n.down()
	n.cache = newCache(n.config.Capacity)
	n.started, n.draining, n.fault, n.arrivals = time.Now(), false, Fault{}, nil
	n.stats.Collapsed = false
	n.stalled.Broadcast()
	return n.listen(n.address)
}

// SetDraining has the node turn new requests away, or take them again.
func (n *Node) SetDraining(draining bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.draining = draining
}

// SetFault makes the node fail in a way from now on; the zero Fault makes it well.
func (n *Node) SetFault(f Fault) error {
	n.mu.Lock()
	defer n.mu.Unlock()
	before := n.fault.Kind
	n.fault, n.faulted = f, 0
	n.stalled.Broadcast()
	if before == MachineDown {
		for _, c := range n.fill {
			c.Close()
		}
		n.fill = nil
		n.down() // a machine that is back knows none of its connections
	}
	switch {
	case f.Kind == ProcessDown:
		n.down()
	case f.Kind == MachineDown:
		return n.vanish()
	case n.listener == nil && !n.closed:
		return n.listen(n.address)
	}
	n.next()
	return nil
}

// vanish fills the backlog of the listener, which nobody takes from any more, so
// that no connection comes up. n.mu is held.
func (n *Node) vanish() error {
	raw, err := n.listener.SyscallConn()
	if err != nil {
		return err
	}
	own := n.listener
	n.listener = nil // its accept would take what fills it
	raw.Control(func(fd uintptr) { err = syscall.Listen(int(fd), 0) })
	if err != nil {
		return err
	}
	own.SetDeadline(time.Unix(1, 0)) // ends its accept; the socket stays
	n.listener = own
	for range 8 {
		c, err := net.DialTimeout("tcp", n.address, 50*time.Millisecond)
		if err != nil {
			return nil // full
		}
		n.fill = append(n.fill, c)
	}
	return errors.New("node: the backlog does not fill")
}

// warmth is the share of its capacity that the node has. n.mu is held.
func (n *Node) warmth(now time.Time) float64 {
	age := now.Sub(n.started)
	if n.started.IsZero() || age >= n.config.WarmUpTime {
		return 1
	}
	share := n.config.ColdCapacityShare
	return share + (1-share)*float64(age)/float64(n.config.WarmUpTime)
}

// overrun tells whether a cold node has been sent more than it stands. n.mu is held.
func (n *Node) overrun(now time.Time) bool {
	warmth := n.warmth(now)
	if warmth >= 1 || n.config.ServiceTime <= 0 {
		n.arrivals = nil
		return false
	}
	n.arrivals = append(n.arrivals, now)
	for now.Sub(n.arrivals[0]) > n.config.CollapseTime {
		n.arrivals = n.arrivals[1:]
	}
	able := warmth * float64(n.config.Slots) * float64(n.config.CollapseTime) / float64(n.config.ServiceTime)
	return float64(len(n.arrivals)) > n.config.CollapseLoadFactor*able
}

// read takes commands until the connection ends.
func (c *conn) read() {
	n := c.node
	in := bufio.NewReaderSize(c.socket, 4<<10)
	for {
		c.socket.SetReadDeadline(time.Now().Add(n.config.IdleTimeout))
		if _, err := in.Peek(1); err != nil {
			break
		}
		at := time.Now()
		c.socket.SetReadDeadline(at.Add(n.config.IdleTimeout))
		j := &job{conn: c}
		ask := n.readMeta
		if n.config.Binary {
			ask = n.readBinary
		}
		more, err := ask(in, j)
		if !more {
			break
		}
		if j.answer == nil && n.config.OnRequest != nil {
			n.config.OnRequest(n.config.Name, j.command.ID, string(j.command.Value), at)
		}
		n.mu.Lock()
		for len(c.replies) >= pipelined && !c.gone {
			c.changed.Wait()
		}
		if c.gone {
			n.mu.Unlock()
			break
		}
		c.replies = append(c.replies, j)
		if j.answer == nil {
			n.admit(j, at)
		}
		c.changed.Broadcast()
		n.mu.Unlock()
		if err != nil {
			break
		}
	}
	n.mu.Lock()
	// What was asked is answered if the other end only stopped sending.
	for len(c.replies) > 0 && !c.gone {
		c.changed.Wait()
	}
	c.gone = true
	delete(n.conns, c)
	c.changed.Broadcast()
	n.stalled.Broadcast()
	n.mu.Unlock()
	c.socket.Close()
}

// readMeta reads a command of the text dialect. It returns false at the connection's
// end, and an error with an answer for what is no command: framing may be lost.
func (n *Node) readMeta(in *bufio.Reader, j *job) (bool, error) {
	line, err := in.ReadSlice('\n')
	if err != nil {
		return false, err
	}
	text, flags := strings.TrimSuffix(string(line), "\r\n"), uint64(0)
	if at := strings.LastIndex(text, " F"); at > 0 { // the one flag that clients may not send
		if f, err := strconv.ParseUint(text[at+2:], 10, 32); err == nil {
			text, flags = text[:at], f
		}
	}
	command, err := meta.ParseCommand(text)
	command.Flags = uint32(flags)
	if err == nil && command.Verb == request.Set {
		body := make([]byte, command.ValueLen+2)
		if _, err := io.ReadFull(in, body); err != nil {
			return false, err
		}
		command.Value = body[:command.ValueLen]
	}
	j.command = command
	switch {
	case err != nil:
		j.answer = []byte("CLIENT_ERROR " + err.Error() + "\r\n")
	case command.Noop:
		j.answer = []byte("MN\r\n")
	case command.Stats:
		j.answer = []byte("ERROR\r\n")
	}
	return true, err
}

// readBinary reads a command of the binary protocol, as readMeta does one of the other.
func (n *Node) readBinary(in *bufio.Reader, j *job) (bool, error) {
	b, err := in.Peek(binary.HeaderLen)
	if err != nil {
		return false, err
	}
	h, err := binary.ParseHeader(b, binary.RequestMagic)
	if err != nil {
		return false, err
	}
	in.Discard(binary.HeaderLen) // it has been peeked at
	body := make([]byte, h.BodyLen)
	if _, err := io.ReadFull(in, body); err != nil {
		return false, err
	}
	j.head = h
	j.command.Timeout = -1
	status := h.Validate()
	switch {
	case status == binary.OK && (h.Opcode == binary.Get || h.Opcode == binary.Set):
		if j.command.Key = string(body[h.ExtrasLen : h.ExtrasLen+h.KeyLen]); h.Opcode == binary.Set {
			j.command.Verb, j.command.Value = request.Set, body[h.ExtrasLen+h.KeyLen:]
		}
		return true, nil
	case status == binary.OK && h.Opcode != binary.Noop:
		status = binary.NotSupported
	}
	j.answer = binary.AppendStatus(nil, &h, status, 0)
	return true, nil
}

// write sends the answers in the order of the commands.
func (c *conn) write() {
	n := c.node
	n.mu.Lock()
	defer n.mu.Unlock()
	for {
		for !c.gone && (len(c.replies) == 0 || c.replies[0].answer == nil || n.silent()) {
			if n.silent() {
				n.stalled.Wait()
			} else {
				c.changed.Wait()
			}
		}
		if c.gone {
			return
		}
		j := c.replies[0]
		if j.fault == Reset {
			c.reset()
			return
		}
		n.mu.Unlock()
		c.socket.SetWriteDeadline(time.Now().Add(n.config.IdleTimeout))
		_, err := c.socket.Write(j.answer)
		n.mu.Lock()
		c.replies[0] = nil
		if c.replies = c.replies[1:]; err != nil {
			c.gone = true
			c.socket.Close()
		}
		c.changed.Broadcast()
	}
}

// silent tells whether the node says nothing at all. n.mu is held.
func (n *Node) silent() bool {
	return !n.closed && (n.fault.Kind == Stall || n.fault.Kind == MachineDown)
}

// admit takes a request, or turns it away. n.mu is held.
func (n *Node) admit(j *job, now time.Time) {
	n.stats.Requests++
	if n.overrun(now) && !n.stats.Collapsed {
		n.stats.Collapsed = true
	}
	if k := n.fault.Kind; k == Reset || k == Late || k == Busy || k == Garbage {
		if n.faulted++; n.fault.OneIn <= 1 || n.faulted%n.fault.OneIn == 0 {
			j.fault = k
		}
	}
	if j.fault == Busy || n.draining || n.stats.Collapsed || len(n.waiting) >= n.config.Queue && n.running >= n.config.Slots {
		n.stats.Busy++
		n.reply(j, request.Busy, "", "")
		return
	}
	if j.until = now.Add(time.Hour); j.command.Timeout >= 0 {
		j.until = now.Add(j.command.Timeout)
	}
	n.waiting = append(n.waiting, j)
	n.next()
}

// next begins what there is room for. n.mu is held.
func (n *Node) next() {
	for len(n.waiting) > 0 && n.running < n.config.Slots && !n.silent() && !n.closed {
		j := n.waiting[0]
		n.waiting = n.waiting[1:]
		if !time.Now().Before(j.until) { // the request is over, and is not begun
			n.stats.Busy++
			n.reply(j, request.Busy, "", "")
			continue
		}
		n.running++
		took := time.Duration(float64(n.config.ServiceTime) * (0.75 + n.rng.Float64()/2) / n.warmth(time.Now()))
		if took <= 0 {
			n.running--
			n.carryOut(j)
			continue
		}
		time.AfterFunc(took, func() {
			n.mu.Lock()
			defer n.mu.Unlock()
			n.running--
			if !n.closed {
				n.carryOut(j)
				n.next()
			}
		})
	}
}

// carryOut does a request's work. n.mu is held.
func (n *Node) carryOut(j *job) {
	key, c := j.command.Key, j.command
	switch {
	case c.Verb == request.Set:
		n.stats.Writes++
		first := false
		run := func(done func(string, error)) {
			first = true
			effect := c.IdempotencyKey
			if n.config.LedgerByValue {
				effect = string(c.Value)
			}
			n.config.Origin.Write(key, effect, func(err error) {
				if err == nil {
					n.config.Group.void(key)
				}
				done(n.receipt(&c), err)
			})
		}
		finish := func(receipt string, err error) {
			n.mu.Lock()
			defer n.mu.Unlock()
			switch {
			case err == nil:
				n.reply(j, request.Stored, receipt, "")
			default: // the origin has not begun it
				n.reply(j, request.Busy, "", "")
			}
		}
		n.mu.Unlock()
		if c.IdempotencyKey != "" {
			n.config.Group.once(c.IdempotencyKey, run, finish)
		} else {
			run(finish)
		}
		n.mu.Lock()
		if !first {
			n.stats.Repeats++
		}
	case n.cache.has(key):
		n.stats.Hits++
		n.reply(j, request.Value, n.value(&c), "h1")
	default:
		n.stats.Misses++
		n.fetching++
		n.mu.Unlock()
		n.config.Origin.Fetch(func(err error) {
			n.mu.Lock()
			defer n.mu.Unlock()
			n.fetching--
			if err != nil {
				n.reply(j, request.Failed, "", "")
				return
			}
			if n.config.MissingKeyPrefix != "" && strings.HasPrefix(key, n.config.MissingKeyPrefix) {
				n.reply(j, request.NotFound, "", "")
				return
			}
			n.cache.add(key)
			n.reply(j, request.Value, n.value(&c), "h0")
		})
		n.mu.Lock()
	}
}

// value is what a read brings: its key and a serial, filled up. n.mu is held.
func (n *Node) value(c *meta.Command) string {
	n.serial++
	text := fmt.Sprintf("%s %s %d ", c.Key, n.config.Name, n.serial)
	if short := n.config.ValueSize - len(text); short > 0 {
		text += strings.Repeat(".", short)
	}
	return text
}

// receipt is what a write brings: a number where the dialect has room for no more.
func (n *Node) receipt(c *meta.Command) string {
	if !n.config.Binary {
		return n.config.Name + "." + c.ID
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.serial++
	return strconv.Itoa(n.serial)
}

// say is an answer in the node's dialect. n.mu is held.
func (n *Node) say(j *job, kind request.AnswerKind, text, flag string) []byte {
	if n.config.Binary {
		h := binary.Header{Opcode: j.head.Opcode, Opaque: j.head.Opaque}
		switch kind {
		case request.Value:
			h.ExtrasLen, h.BodyLen, h.CAS = 4, 4+len(text), uint64(n.serial)
			return append(h.Append(nil, binary.ResponseMagic), "\x00\x00\x00\x00"+text...)
		case request.Stored:
			h.CAS, _ = strconv.ParseUint(text, 10, 64)
			return h.Append(nil, binary.ResponseMagic)
		}
		return binary.AppendStatus(nil, &j.head, map[request.AnswerKind]binary.Status{request.Busy: binary.Busy, request.NotFound: binary.NotFound,
			request.Failed: binary.InternalError}[kind], 0)
	}
	id := j.command.ID
	switch kind {
	case request.Value:
		return fmt.Appendf(nil, "VA %d O%s %s%s\r\n%s\r\n", len(text), id, flag, n.load(), text)
	case request.Stored:
		return fmt.Appendf(nil, "HD O%s c%s%s\r\n", id, text, n.load())
	}
	return []byte(map[request.AnswerKind]string{request.Busy: "SERVER_ERROR busy\r\n", request.NotFound: "EN\r\n",
		request.Failed: "SERVER_ERROR failed\r\n"}[kind])
}

// noise is what comes in place of a spoilt answer.
func (n *Node) noise(j *job) []byte {
	if n.config.Binary {
		h := binary.Header{Opcode: j.head.Opcode, Opaque: j.head.Opaque + 1, ExtrasLen: 4, BodyLen: 3000000000}
		return append(h.Append(nil, binary.ResponseMagic), "noise"...)
	}
	return []byte("VA 3000000000 O" + j.command.ID + "\r\n\x00noise")
}

// load is the report that ends a first line. n.mu is held.
func (n *Node) load() string {
	if !n.config.ReportLoad {
		return ""
	}
	return fmt.Sprintf(" Linflight=%d,x1=%d", n.running+len(n.waiting), n.fetching)
}

// reply answers a request, spoilt or late if that is its lot. n.mu is held.
func (n *Node) reply(j *job, kind request.AnswerKind, text, flag string) {
	answer := n.say(j, kind, text, flag)
	put := func() {
		j.answer = answer
		j.conn.changed.Broadcast()
	}
	switch j.fault {
	case Garbage:
		answer = n.noise(j)
	case Late:
		time.AfterFunc(n.fault.Delay, func() {
			n.mu.Lock()
			defer n.mu.Unlock()
			put()
		})
		return
	}
	put()
}

// HasCached tells whether a node keeps a copy of a key.
func (n *Node) HasCached(key string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	_, ok := n.cache.place[key]
	return ok
}

// ParseFault returns the way to fail of that name.
func ParseFault(name string) (FaultKind, error) {
	k := FaultKind(name)
	if !slices.Contains(Faults, k) {
		return k, fmt.Errorf("no fault is named %q: want one of %q", name, Faults)
	}
	return k, nil
}
