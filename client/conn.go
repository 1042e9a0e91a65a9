package client

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"os"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"mulleinpier/client/internal/balance"
	"mulleinpier/client/internal/retry"
	"mulleinpier/internal/meta"
	"mulleinpier/internal/request"
)

const (
	// A connection on which a try was given up for want of an answer takes no more requests, and
	// is watched for late answers for so long after the last is given up.
	lingerTime = time.Second
	// A connection whose peer reads nothing for so long is no use.
	writeTime = 5 * time.Second
	readSize  = 4 << 10
	keptBuf   = 64 << 10 // of a connection's buffers, when they are not in use
)

var (
	errSpoilt  = errors.New("what came is no answer to the request")
	errIdle    = errors.New("idle")
	errLinger  = errors.New("no answer in time")
	errDropped = errors.New("proxy left the list")
)

// states of a try.
const (
	tryOut       = iota // its caller waits
	tryDone             // the outcome is there
	tryAbandoned        // its caller has gone; an answer is dropped
)

// try is one request on one connection. The caller has it until it is put on the
// connection, and again once done has told; between, the connection.
type try struct {
	state atomic.Int32
	done  chan struct{} // holds one

	serial uint64 // of the id
	read   bool
	end    int64 // where its last byte lies in what the connection wrote
	sent   time.Duration
	wait   time.Duration
	info   *TryInfo // nil without hooks

	outcome retry.Outcome
	advice  time.Duration
	value   []byte
	receipt string
	cause   error
}

var tries = sync.Pool{New: func() any { return &try{done: make(chan struct{}, 1)} }}

// conn is a connection to a proxy. Who puts the only request on it writes it and reads the
// answer itself, without another goroutine's turn; two goroutines, which end with the connection,
// do what is left: they write where a write could block, and read for the others.
//
// One at a time reads (reading) and one at a time writes (writing).
type conn struct {
	client  *Client
	proxy   *balance.Proxy
	socket  net.Conn
	alive   func() error  // whether the peer has ended it, or sent what nobody asked for
	toWrite chan struct{} // holds one: there is something to write, or the end
	toRead  chan struct{} // holds one: there is something to read, or the end
	answers atomic.Int64  // it has given

	// Of whoever reads.
	in   *bufio.Reader
	by   time.Duration // the socket's read deadline, as far as it is known; 0 for none
	part reply         // what is there of an answer whose reader gave up
	body bool          // its first line is
	got  int           // bytes of its value

	// Of the client's lock.
	open   int // requests on it, with those given up
	live   int // of these, not given up
	ending bool
	idle   time.Duration // since when nobody waits on it

	mu       sync.Mutex
	out      []byte // yet to be written
	spare    []byte
	added    int64  // bytes put into out so far
	handed   int64  // of these, given to the socket
	answered int64  // of these, up to the end of the last request that was answered
	pending  []*try // in the order of their answers; those before head are over
	head     int
	last     time.Duration // when a request was put here
	reading  bool
	writing  bool
	err      error // why it ended; nil while it works
	settled  bool  // and all whose answers were due have been told
	over     chan struct{}
}

// A caller writes itself while so few bytes are unanswered that the kernel has room for them: it could
// not give up a write that blocks.
const directBytes = 8 << 10

// closely is the time within which a connection that carried a request is taken to be still there.
const closely = time.Millisecond

func newConn(c *Client, p *balance.Proxy, socket net.Conn, now time.Duration) *conn {
	return &conn{client: c, proxy: p, socket: socket, alive: liveness(socket), toWrite: make(chan struct{}, 1), toRead: make(chan struct{}, 1),
		over: make(chan struct{}), in: bufio.NewReaderSize(socket, readSize), idle: now}
}

func rouse(ch chan struct{}) {
	select {
	case ch <- struct{}{}:
	default:
	}
}

// send puts a request behind those that are there. ok is false if the connection has ended. With
// lead its caller has to read the answer, see [conn.lead].
func (c *conn) send(t *try, r *request.Request) (lead, ok bool) {
	c.mu.Lock()
	if c.err != nil {
		c.mu.Unlock()
		return false, false
	}
	before := len(c.out)
	c.out = appendCommand(c.out, c.client.base, t, r)
	c.added += int64(len(c.out) - before)
	t.end = c.added
	if c.head > 64 && c.head*2 > len(c.pending) {
		c.pending = c.pending[:copy(c.pending, c.pending[c.head:])]
		c.head = 0
	}
	c.pending = append(c.pending, t)
	if !c.reading {
		c.reading = true
		lead = len(c.pending)-c.head == 1
		if !lead {
			rouse(c.toRead)
		}
	}
	// A proxy that has drained meanwhile is noticed before anything is written to it. Nobody else
	// may write until then: an answer would look like one that nobody asked for.
	// A read that follows closely needs no look: it can be repeated.
	look := lead && !c.writing && !(t.read && t.sent-c.last < closely)
	c.last = t.sent
	c.writing = c.writing || look
	c.mu.Unlock()
	if lead && !(c.by > t.sent+t.wait/4 && c.by <= t.sent+t.wait) {
		// One that is sooner than the try's end will do: who reads looks at the time, and goes on.
		c.readBy(t.sent + t.wait)
	}
	if look {
		err := c.alive()
		if isTimeout(err) { // of one whose caller went away at that moment
			c.readBy(t.sent + t.wait)
			err = c.alive()
		}
		if c.looked(); err != nil {
			c.fail(err)
			return true, true
		}
	}
	c.flush()
	return lead, true
}

// take returns what is to be written next, or nothing. c.mu is held.
func (c *conn) take() []byte {
	if c.err != nil || c.writing || len(c.out) == 0 {
		return nil
	}
	batch := c.out
	c.out, c.spare = c.spare[:0], nil
	c.handed += int64(len(batch))
	c.writing = true
	return batch
}

// wrote is told how the writing of a batch went.
func (c *conn) wrote(batch []byte, n int, err error) {
	c.mu.Lock()
	c.writing = false
	if err != nil {
		c.handed -= int64(len(batch) - n)
	} else if cap(batch) <= keptBuf {
		c.spare = batch[:0]
	}
	if len(c.out) > 0 {
		rouse(c.toWrite)
	}
	ended := c.err != nil
	c.mu.Unlock()
	switch {
	case ended:
		c.settle()
	case err != nil:
		c.fail(err)
	}
}

// flush writes what is there, if it can't block and nobody else does.
func (c *conn) flush() {
	c.mu.Lock()
	if c.added-c.answered > directBytes {
		c.mu.Unlock()
		rouse(c.toWrite)
		return
	}
	batch := c.take()
	c.mu.Unlock()
	if batch != nil {
		n, err := c.socket.Write(batch)
		c.wrote(batch, n, err)
	}
}

// write writes what others leave to it until the connection ends.
func (c *conn) write() {
	for range c.toWrite {
		c.mu.Lock()
		batch, err := c.take(), c.err
		c.mu.Unlock()
		if err != nil {
			return
		}
		if batch != nil {
			c.socket.SetWriteDeadline(time.Now().Add(writeTime))
			n, err := c.socket.Write(batch)
			c.socket.SetWriteDeadline(time.Time{})
			c.wrote(batch, n, err)
		}
	}
}

// next takes the request that was answered off the connection; false if that has ended.
func (c *conn) next() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.err != nil {
		return false
	}
	c.answered = c.pending[c.head].end
	c.pending[c.head] = nil
	if c.head++; c.head == len(c.pending) {
		c.head, c.pending = 0, c.pending[:0]
	}
	c.answers.Add(1)
	return true
}

// yield gives up reading: to the connection's goroutine if there is more to read.
func (c *conn) yield() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.head == len(c.pending) {
		c.reading = false
	} else {
		rouse(c.toRead)
	}
}

// readBy sets the read deadline on the client's clock, 0 for none. Only who reads calls it.
func (c *conn) readBy(at time.Duration) {
	c.by = at
	if at == 0 {
		c.socket.SetReadDeadline(time.Time{})
		return
	}
	c.socket.SetReadDeadline(time.Now().Add(at - c.client.options.clock().Monotonic))
}

// lead reads the answer to the only request for its caller, until it gives up.
func (c *conn) lead(ctx context.Context, t *try) (a reply) {
	if ctx.Done() != nil {
		stop := context.AfterFunc(ctx, func() { c.socket.SetReadDeadline(time.Unix(1, 0)) })
		defer stop()
	}
	deadline := t.sent + t.wait
	for {
		err := c.read(t)
		if err == nil {
			a, c.part = c.part, reply{}
			if c.next() {
				c.yield()
				return a
			}
			<-t.done // it ended at the same moment; the answer is whole all the same
			return a
		}
		if !isTimeout(err) {
			c.fail(err)
			<-t.done
			return t.reply()
		}
		left := deadline - c.client.options.clock().Monotonic
		switch {
		case ctx.Err() != nil:
			a = gone(ctx)
		case left <= 0:
			a = reply{outcome: retry.TimedOut, cause: context.DeadlineExceeded}
		default: // the deadline of one who read before
			c.readBy(deadline)
			continue
		}
		// First the state: who reads on may find the answer at once.
		if !t.state.CompareAndSwap(tryOut, tryAbandoned) {
			<-t.done
			return t.reply()
		}
		a.away = true
		c.yield()
		return a
	}
}

// gone is the outcome of a try whose caller's context has ended.
func gone(ctx context.Context) reply {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return reply{outcome: retry.TimedOut, cause: ctx.Err()}
	}
	return reply{outcome: retry.Canceled, cause: ctx.Err()}
}

func (t *try) reply() reply {
	return reply{outcome: t.outcome, advice: t.advice, value: t.value, receipt: t.receipt, cause: t.cause}
}

func isTimeout(err error) bool { return errors.Is(err, os.ErrDeadlineExceeded) }

// readAll reads for those who don't read themselves, until the connection ends.
func (c *conn) readAll() {
	for range c.toRead {
		for first := true; ; first = false {
			c.mu.Lock()
			if c.err != nil { // another may be reading still
				c.mu.Unlock()
				return
			}
			if c.head == len(c.pending) {
				c.reading = false
				c.mu.Unlock()
				break
			}
			t := c.pending[c.head]
			c.mu.Unlock()
			if first {
				c.readBy(0)
			}
			if err := c.read(t); err != nil {
				if isTimeout(err) { // of one who read before
					c.readBy(0)
					continue
				}
				c.fail(err)
				return
			}
			a := c.part
			c.part = reply{}
			if !c.next() {
				return
			}
			c.finish(t, &a)
		}
	}
}

// look ends the connection if its peer has, while nobody uses it.
func (c *conn) look() {
	c.mu.Lock()
	if c.reading || c.writing || c.err != nil || c.head < len(c.pending) {
		c.mu.Unlock()
		return
	}
	c.reading, c.writing = true, true
	c.mu.Unlock()
	c.readBy(0)
	err := c.alive()
	if c.looked(); err != nil && !isTimeout(err) {
		c.fail(err)
		return
	}
	c.flush()
	c.yield()
}

// looked is called by who kept others from writing for a look.
func (c *conn) looked() {
	c.mu.Lock()
	c.writing = false
	ended := c.err != nil
	c.mu.Unlock()
	if ended {
		c.settle()
	}
}

// finish gives an outcome to a try's caller, if that still waits; its caller accounts for it then.
func (c *conn) finish(t *try, a *reply) {
	if t.state.Load() == tryOut {
		t.outcome, t.advice, t.value, t.receipt, t.cause = a.outcome, a.advice, a.value, a.receipt, a.cause
		if t.state.CompareAndSwap(tryOut, tryDone) {
			t.done <- struct{}{}
			return
		}
	}
	if late := c.client.options.Trace.LateAnswer; late != nil && t.info != nil && a.outcome <= retry.Failed && a.outcome != retry.NotSent {
		info := *t.info
		info.Outcome, info.Took = names[a.outcome], c.client.options.clock().Monotonic-t.sent
		late(info)
	}
	c.client.forget(c)
}

// fail ends the connection. Who is in a write when it ends settles what is left, as only then
// is it known what was written.
func (c *conn) fail(err error) {
	c.mu.Lock()
	if c.err != nil {
		c.mu.Unlock()
		return
	}
	c.err = err
	writing := c.writing
	c.mu.Unlock()
	c.socket.Close()
	rouse(c.toWrite)
	rouse(c.toRead)
	if !writing {
		c.settle()
	}
}

// settle tells, once, all whose answers were due on a connection that has ended.
func (c *conn) settle() {
	c.mu.Lock()
	if c.settled {
		c.mu.Unlock()
		return
	}
	c.settled = true
	due, err := c.pending[c.head:], c.err
	c.pending, c.out = nil, nil
	handed := c.handed
	c.mu.Unlock()
	defer close(c.over)
	now := c.client.options.clock().Monotonic
	c.client.ended(c, len(due) > 0 && due[0].end <= handed, err)
	for i, t := range due {
		a := reply{outcome: retry.ConnectionLost, cause: err}
		switch {
		case t.end > handed:
			a.outcome = retry.NotSent
		case t.sent+t.wait <= now:
			a.outcome = retry.TimedOut
		case i == 0 && (errors.Is(err, errSpoilt) || errors.Is(err, meta.ErrMalformedAnswer)):
			a.outcome = retry.MalformedAnswer
		}
		c.finish(t, &a)
	}
}

// reply is an answer, or why there is none.
type reply struct {
	outcome retry.Outcome
	away    bool // the answer may come yet
	advice  time.Duration
	value   []byte
	receipt string
	cause   error
}

// read reads the answer to a try into c.part. After a timeout it can be called again, and
// goes on where it stopped.
func (c *conn) read(t *try) error {
	a := &c.part
	if !c.body {
		line, err := c.line()
		if err != nil {
			return err
		}
		size, err := a.parse(line, c.client.base, t)
		c.in.Discard(len(line) + len("\r\n"))
		if err != nil || size < 0 {
			return err
		}
		a.value, c.body, c.got = make([]byte, size+len("\r\n")), true, 0
	}
	for c.got < len(a.value) {
		n, err := c.in.Read(a.value[c.got:])
		if c.got += n; c.got < len(a.value) && err != nil {
			if errors.Is(err, io.EOF) {
				return errSpoilt
			}
			return err
		}
	}
	c.body = false
	size := len(a.value) - len("\r\n")
	if string(a.value[size:]) != "\r\n" {
		return errSpoilt
	}
	a.value = a.value[:size:size]
	return nil
}

// line returns the next line without its end, and leaves it in the buffer.
func (c *conn) line() ([]byte, error) {
	for n := 1; ; {
		if _, err := c.in.Peek(n); err != nil {
			if errors.Is(err, bufio.ErrBufferFull) {
				return nil, errSpoilt
			}
			return nil, err
		}
		text, _ := c.in.Peek(c.in.Buffered())
		if i := bytes.IndexByte(text, '\n'); i >= 0 {
			if i == 0 || text[i-1] != '\r' || i > meta.MaxLine {
				return nil, errSpoilt
			}
			return text[:i-1], nil
		}
		n = len(text) + 1
	}
}

// parse reads the first line of the answer to a try. size is that of the value which follows, or
// negative.
func (a *reply) parse(line []byte, base string, t *try) (size int, err error) {
	if rest, ok := bytes.CutPrefix(line, []byte("SERVER_ERROR busy")); ok {
		advice, ok := adviceOf(rest)
		if !ok {
			return -1, errSpoilt
		}
		a.outcome, a.advice = retry.Rejected, advice
		return -1, nil
	}
	l, err := meta.ParseAnswer(line)
	if err != nil {
		return -1, err
	}
	if (l.Kind == request.Value || l.Kind == request.Stored || len(l.ID) > 0) && !isID(l.ID, base, t.serial) {
		return -1, errSpoilt
	}
	switch {
	case l.Kind == request.Value && t.read:
		a.outcome = retry.Served
		return l.ValueLen, nil
	case l.Kind == request.Stored && !t.read:
		a.outcome, a.receipt = retry.Served, string(l.Receipt)
	case l.Kind == request.NotFound && t.read:
		a.outcome = retry.NotFound
	case l.Kind == request.Failed:
		a.outcome, a.cause = retry.Failed, errors.New(string(line))
		if bytes.HasPrefix(line, []byte("CLIENT_ERROR")) || bytes.HasPrefix(line, []byte("ERROR")) {
			a.outcome = retry.Invalid
		}
	default:
		return -1, errSpoilt
	}
	return -1, nil
}

// mostAdvice bounds what a refusal can advise.
const mostAdvice = time.Hour

func adviceOf(text []byte) (time.Duration, bool) {
	if len(text) == 0 {
		return 0, true
	}
	ms, err := strconv.ParseUint(string(bytes.TrimPrefix(text, []byte(" "))), 10, 32)
	if err != nil || text[0] != ' ' {
		return 0, false
	}
	return min(time.Duration(ms)*time.Millisecond, mostAdvice), true
}

// isID tells whether an id is that of a client's try.
func isID(id []byte, base string, serial uint64) bool {
	if len(id) != len(base)+idDigits || string(id[:len(base)]) != base {
		return false
	}
	n := uint64(0)
	for _, c := range id[len(base):] {
		switch {
		case '0' <= c && c <= '9':
			n = n<<4 | uint64(c-'0')
		case 'a' <= c && c <= 'f':
			n = n<<4 | uint64(c-'a'+10)
		default:
			return false
		}
	}
	return n == serial
}

// maxID bounds an id's length in bytes: a base of 18 and the digits.
const maxID = 32

// idDigits are those of a serial in an id: no two tries have the same within 2^40.
const idDigits = 10

func appendID(dst []byte, base string, serial uint64) []byte {
	dst = append(dst, base...)
	for shift := 4 * (idDigits - 1); shift >= 0; shift -= 4 {
		dst = append(dst, "0123456789abcdef"[serial>>shift&15])
	}
	return dst
}

// told is the wait that a proxy is told: its answer in the last moment is still to come back in time.
func told(wait time.Duration) time.Duration { return wait - min(wait/20, 20*time.Millisecond) }

// appendCommand appends a request as proxies take it.
func appendCommand(dst []byte, base string, t *try, r *request.Request) []byte {
	var id [maxID]byte
	dst = meta.AppendRequest(dst, r, appendID(id[:0], base, t.serial), max(int64(told(t.wait)/time.Millisecond), 1))
	if r.Verb == request.Set {
		dst = append(append(dst, r.Value...), '\r', '\n')
	}
	return dst
}
