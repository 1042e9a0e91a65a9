package fleettest

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"mulleinpier/client"
	"mulleinpier/internal/fake/rawclient"
	"mulleinpier/internal/loadgen"
	"mulleinpier/internal/meta"
	"mulleinpier/internal/request"
)

const (
	// An answer this much after its client's deadline is on time for a rule that
	// is measured over sockets on a busy machine; a later one counts as lost.
	slack = 250 * time.Millisecond
	// How long a try is watched after its deadline for what comes late.
	watchTime = time.Second
	leastWait = 50 * time.Millisecond // a try that has less left is not made
	// A kept connection that ends so soon after a request went out was closed
	// between requests; the request crossed that, unless a node has seen it.
	crossTime = 300 * time.Millisecond
	// A request that a proxy has taken is at a node after so long, or waits for one.
	seeTime = 150 * time.Millisecond
	// Connections that idle are kept by a client side for so long at most.
	keepTime = 1500 * time.Millisecond
	// Requests under way at a time, over all clients.
	mostOpen = 8192
)

// clients are the client side of a rehearsal: arrivals that do not wait for
// answers, each with its own retries, over kept connections.
type clients struct {
	fleet *fleet
	load  LoadSettings
	kinds [2]kind // read, write
	tally *tally

	serial atomic.Uint64
	open   atomic.Int64
	tasks  sync.WaitGroup

	// Of those that use the client library, one for each tenant.
	library []*client.Client
	audit   *loadgen.TraceAuditor

	mu    sync.Mutex
	rng   *rand.Rand
	zipf  *rand.Zipf
	pools [][]*link // by proxy and dialect, idle, the latest last
	// What tenants have left of their shares, a second's worth at the most.
	shares []struct {
		left float64
		at   time.Time
	}
}

// link is a client's connection to a proxy.
type link struct {
	socket net.Conn
	in     *bufio.Reader
	opened time.Time
	idle   time.Time
	used   bool // it has carried a request
	binary bool
	opaque uint32 // of the last command, if it is binary
}

func newClients(f *fleet, t *tally) *clients {
	l := f.scenario.Load
	rng := rand.New(rand.NewPCG(f.scenario.Seed, 5))
	c := &clients{fleet: f, load: l, tally: t, rng: rng, zipf: rand.NewZipf(rng, l.Skew, 4, uint64(l.Keys-1)),
		pools: make([][]*link, 2*len(f.proxies)),
		kinds: [2]kind{{name: "read", aim: 500 * time.Millisecond, deadline: 2 * time.Second},
			{name: "write", write: true, aim: 750 * time.Millisecond, deadline: 2500 * time.Millisecond,
				window: time.Duration(f.scenario.Fleet.DedupWindow)}}}
	c.shares = slices.Grow(c.shares, len(l.Tenants))[:len(l.Tenants)]
	for i := range c.shares {
		c.shares[i].at = t.began
	}
	return c
}

// errand is one request of a client, through all its tries.
type errand struct {
	plan
	key, idempotency, tenant string
	share                    float64 // of the deadline that a try waits
	marked                   bool
	value                    string // of a write: no other has it
	over                     bool   // its tenant's share
	binary                   bool
	library                  bool   // it goes through the client library
	ticket                   uint64 // of a binary write; 0 for none yet
	late                     bool   // it asks again only seconds later
	asked                    int    // again, so late
}

// draw makes up the next request, and the time until the one after it.
func (c *clients) draw() (*errand, time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	r := c.rng
	e := &errand{plan: plan{kind: c.kinds[0], retries: c.load.Retries, pause: time.Duration(20+r.IntN(140)) * time.Millisecond,
		honour: r.Float64() < c.load.HonourRetryAfterShare}, share: 0.3 + r.Float64()*0.25, marked: r.Float64() < c.load.MarkedRetryShare}
	e.binary = c.load.BinaryShare > 0 && r.Float64() < c.load.BinaryShare
	e.library = c.load.LibraryShare > 0 && !e.binary && r.Float64() < c.load.LibraryShare
	switch {
	case r.Float64() < c.load.HandoverShare:
		e.kind = c.kinds[1]
		e.key = fmt.Sprint("h", r.IntN(c.load.Keys))
		e.idempotency = fmt.Sprintf("%x", c.serial.Add(1))
		e.value = "h" + e.idempotency
		if c.load.LateRetries > 0 {
			e.late, e.marked = r.Float64() < c.load.LateRetryShare, true
		}
	case r.Float64() < c.load.OneOffKeyShare:
		e.key = fmt.Sprint("once", c.serial.Add(1))
	default:
		e.key = fmt.Sprint("k", c.zipf.Uint64())
	}
	phase, since := c.tally.place(time.Now())
	if n := len(c.load.Tenants); n > 0 {
		tenant := r.IntN(n)
		// In a flood the first asks for several times its part, the others for theirs.
		if p := phase.FirstTenantFactor; p > 1 && r.Float64() < (p-1)/(p-1+float64(n)) {
			tenant = 0
		}
		e.tenant, e.over = c.load.Tenants[tenant], !c.within(tenant)
	}
	return e, time.Duration(r.ExpFloat64() / (c.load.Rate * phase.rate(since, len(c.load.Tenants))) * float64(time.Second))
}

// within tells whether a tenant's next request is within its share. c.mu is held.
func (c *clients) within(tenant int) bool {
	s, now, quota := &c.shares[tenant], time.Now(), float64(c.load.TenantQuota)
	s.left, s.at = min(s.left+now.Sub(s.at).Seconds()*quota, quota), now
	if s.left < 1 {
		return false
	}
	s.left--
	return true
}

// run sends requests until ctx ends, and returns when all of them are over.
func (c *clients) run(ctx context.Context) {
	defer c.closeLibrary()
	for i := range c.load.Pipelines {
		if c.load.BinaryShare > 0 && i%2 == 1 {
			c.tasks.Go(func() { c.quietPipeline(ctx, i) })
			continue
		}
		c.tasks.Go(func() { c.pipeline(ctx, i) })
	}
	if c.load.Rate > 0 {
		for next := time.Now(); ctx.Err() == nil; {
			e, gap := c.draw()
			if c.open.Load() >= mostOpen {
				c.tally.notOffered()
			} else {
				c.open.Add(1)
				c.tasks.Go(func() {
					defer c.open.Add(-1)
					c.carry(e)
				})
			}
			next = next.Add(gap)
			if wait := time.Until(next); wait > 0 {
				select {
				case <-ctx.Done():
				case <-time.After(wait):
				}
			}
		}
	} else {
		<-ctx.Done()
	}
	c.tasks.Wait()
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, pool := range c.pools {
		for _, l := range pool {
			l.socket.Close()
		}
	}
}

// carry takes one request through its tries.
func (c *clients) carry(e *errand) {
	begun := time.Now()
	note := c.tally.begin(begun, e.kind.write, e.over)
	if e.library {
		as := c.askLibrary(e, note)
		c.tally.end(note, time.Since(begun), as, e.kind.aim)
		return
	}
	wait := e.kind.deadline
	for first := true; ; first = false {
		e.lastOut = time.Since(begun)
		as, advice := c.try(e, min(time.Duration(e.share*float64(e.kind.deadline)), wait), !first)
		now := time.Since(begun)
		again, pause, most := e.next(now, as, advice)
		unsure := as != served && (as != refused || e.mayRun) && as != unopened || as == unopened && e.mayRun
		if e.kind.write && unsure && e.asked < c.load.LateRetries && (!again || e.late) {
			e.asked++
			c.tally.retry(note)
			c.mu.Lock()
			pause = 2*time.Second + time.Duration(c.rng.Int64N(int64(8*time.Second)))
			c.mu.Unlock()
			time.Sleep(pause)
			wait = e.kind.deadline
			continue
		}
		if !again {
			if e.kind.write && unsure {
				c.tally.unsure()
			}
			c.tally.end(note, now, as, e.kind.aim)
			return
		}
		if as != crossed && as != unopened {
			c.tally.retry(note)
		}
		if as == unopened {
			pause = max(pause, 10*time.Millisecond)
			most -= pause
		}
		time.Sleep(pause)
		wait = most
	}
}

// pick chooses a proxy that the front deals to.
func (c *clients) pick() *proxyDoor {
	for range 100 {
		c.mu.Lock()
		d := c.fleet.proxies[c.rng.IntN(len(c.fleet.proxies))]
		c.mu.Unlock()
		d.mu.Lock()
		taking := d.taking
		d.mu.Unlock()
		if taking {
			return d
		}
	}
	return nil
}

// connect returns a kept connection to a proxy, or a new one.
func (c *clients) connect(d *proxyDoor, binary bool) (*link, error) {
	c.mu.Lock()
	place := poolOf(d, binary)
	pool := c.pools[place]
	for len(pool) > 0 {
		l := pool[len(pool)-1]
		pool = pool[:len(pool)-1]
		if time.Since(l.idle) < keepTime {
			c.pools[place] = pool
			c.mu.Unlock()
			return l, nil
		}
		l.socket.Close()
	}
	c.pools[place] = pool
	c.mu.Unlock()
	l, err := dial(d.front)
	if err == nil {
		l.binary = binary
	}
	return l, err
}

// poolOf is the pool of a proxy's connections of one dialect.
func poolOf(d *proxyDoor, binary bool) int {
	if binary {
		return 2*d.index + 1
	}
	return 2 * d.index
}

func dial(address string) (*link, error) {
	socket, err := net.DialTimeout("tcp", address, 3*time.Second)
	if err != nil {
		return nil, err
	}
	return &link{socket: socket, in: bufio.NewReaderSize(socket, 2<<10), opened: time.Now()}, nil
}

func (c *clients) keep(d *proxyDoor, l *link) {
	l.idle, l.used = time.Now(), true
	c.mu.Lock()
	defer c.mu.Unlock()
	place := poolOf(d, l.binary)
	c.pools[place] = append(c.pools[place], l)
}

// command is a request's text for a proxy, and the id that it was given.
func (c *clients) command(e *errand, proxy int, wait time.Duration, repeat bool) (text []byte, id string) {
	id = fmt.Sprintf("p%d-%x", proxy, c.serial.Add(1))
	r := request.Request{Key: e.key, Class: e.kind.name, Tenant: e.tenant, IdempotencyKey: e.idempotency, Retry: repeat && e.marked}
	if e.kind.write {
		r.Verb, r.Value = request.Set, []byte(e.value)
	}
	text = meta.AppendRequest(nil, &r, id, max(wait.Milliseconds(), 1))
	if e.kind.write {
		text = append(text, e.value+"\r\n"...)
	}
	return text, id
}

// try sends a request once and waits for its answer.
func (c *clients) try(e *errand, wait time.Duration, repeat bool) (ending, time.Duration) {
	d := c.pick()
	if d == nil {
		return unopened, 0
	}
	began := time.Now()
	l, err := c.connect(d, e.binary)
	if err != nil {
		c.tally.unopened()
		return unopened, 0
	}
	// A connection that took long to come up has taken it from the try: of a write whose window it outlasted nothing is
	// sent any more.
	if wait -= time.Since(began); wait < leastWait {
		c.keep(d, l)
		return unopened, 0
	}
	if e.binary && e.kind.write && e.ticket == 0 {
		if as := c.fetchTicket(d, l, e, wait); as != served {
			return as, 0
		}
	}
	text, id := c.command(e, d.index, wait, repeat)
	if e.binary {
		text, id = l.command(e)
	}
	sent := time.Now()
	c.tally.sent()
	l.socket.SetDeadline(sent.Add(wait))
	if _, err = l.socket.Write(text); err == nil {
		var answer meta.AnswerLine
		var value []byte
		if answer, value, err = l.answer(); err == nil {
			if e.binary && answer.Kind == request.Invalid && !e.mayRun {
				e.ticket = 0 // too old, and nothing was done under it: the next try reads anew
				c.keep(d, l)
				return refused, 0
			}
			return c.judge(d, l, e, id, &answer, value)
		}
	}
	if e.binary && e.mayRun {
		id = "" // a node may have seen an earlier try's
	}
	return c.silence(d, l, id, sent, wait, err)
}

// silence judges a try whose answer did not come whole.
func (c *clients) silence(d *proxyDoor, l *link, id string, sent time.Time, wait time.Duration, err error) (ending, time.Duration) {
	if way := c.fleet.links.clients[d.index]; isTimeout(err) && way != nil && way.FaultySince(sent) {
		// What waits on the way is to come with its end behind it, as that of tills which give up: nothing that comes
		// yet could be held against the proxy.
		l.socket.Close()
		c.tally.severed()
		return silent, 0
	}
	if isTimeout(err) {
		// The client gives up, and what comes yet is watched for.
		c.tasks.Go(func() { c.late(d, l, id, sent, sent.Add(wait)) })
		return silent, 0
	}
	l.socket.Close()
	if errors.Is(err, meta.ErrMalformedAnswer) || errors.Is(err, rawclient.ErrMalformedAnswer) {
		c.tally.wrong("proxy %d answered %s with what can't be read", d.index, id)
		return failed, 0
	}
	return c.broken(d, l, id, sent, err), 0
}

func isTimeout(err error) bool {
	var timeout net.Error
	return errors.As(err, &timeout) && timeout.Timeout()
}

// broken judges a connection that ended with a request out.
func (c *clients) broken(d *proxyDoor, l *link, id string, sent time.Time, err error) ending {
	took := time.Since(sent)
	d.mu.Lock()
	killed := d.killed
	d.mu.Unlock()
	switch {
	case c.excused(d, sent, sent.Add(took)): // the process stood still, or the link was cut
		return silent
	case killed.After(l.opened) && killed.After(sent.Add(-patience)) && time.Since(killed) < patience:
		c.tally.excused()
		return silent // left to the client: it may have run
	case l.binary && l.used && took < crossTime+c.tally.slackNow()-slack:
		// A node knows a binary write by its value, which the next try has too: so that
		// one waits until this one would have been seen.
		time.Sleep(seeTime)
		if c.fleet.wasSeen(id) {
			c.tally.lose("proxy %d took %s and closed its connection", d.index, id)
		} else {
			c.tally.crossed()
		}
		return crossed
	case l.used && took < crossTime+c.tally.slackNow()-slack:
		// It is lost all the same if the proxy had taken it, which a node may see late.
		c.tasks.Go(func() {
			time.Sleep(watchTime)
			if c.fleet.wasSeen(id) {
				c.tally.lose("proxy %d took %s and closed its connection", d.index, id)
			} else {
				c.tally.crossed()
			}
		})
		return crossed
	}
	c.tally.lose("proxy %d ended the connection of %s after %v, used before: %v: %v", d.index, id, took.Round(time.Millisecond), l.used, err)
	return silent
}

// late watches a connection whose client has given up.
func (c *clients) late(d *proxyDoor, l *link, id string, sent, deadline time.Time) {
	defer l.socket.Close()
	l.socket.SetDeadline(deadline.Add(watchTime + c.tally.slackNow()))
	_, _, err := l.answer()
	var timeout net.Error
	switch by := time.Since(deadline); {
	case err == nil && by <= c.tally.slackNow():
		c.tally.overdue(by)
	case c.excused(d, sent, deadline):
	case err == nil:
		c.tally.lose("proxy %d answered %s %v after its deadline", d.index, id, by.Round(time.Millisecond))
	case errors.As(err, &timeout) && timeout.Timeout():
		c.tally.lose("proxy %d never answered %s", d.index, id)
	default:
		c.broken(d, l, id, deadline.Add(-time.Minute), err) // too late for a crossing
	}
}

// judge tells what an answer is worth, and keeps its connection.
func (c *clients) judge(d *proxyDoor, l *link, e *errand, id string, a *meta.AnswerLine, value []byte) (ending, time.Duration) {
	if l.in.Buffered() > 0 {
		l.socket.Close()
		c.tally.wrong("proxy %d sent more than one answer to %s", d.index, id)
		return failed, 0
	}
	isRead := !e.kind.write
	if l.binary {
		a.ID = []byte(id) // its opaque was the command's
	}
	switch {
	case a.Kind == request.Value && isRead && string(a.ID) == id && bytes.HasPrefix(value, append([]byte(e.key), ' ')),
		a.Kind == request.Stored && !isRead && string(a.ID) == id && len(a.Receipt) > 0:
		c.keep(d, l)
		return served, 0
	case a.Kind == request.Value || a.Kind == request.Stored:
		l.socket.Close()
		c.tally.wrong("proxy %d answered %s of %s with %q for %q", d.index, id, e.key, value, a.ID)
		return failed, 0
	}
	c.keep(d, l)
	if a.Kind == request.Busy {
		return refused, time.Duration(a.ValueLen) * time.Millisecond
	}
	return failed, 0
}

// answer reads one answer. Of a refusal, Size is the advice in milliseconds.
func (l *link) answer() (meta.AnswerLine, []byte, error) {
	if l.binary {
		a, value, _, err := l.binaryAnswer()
		return a, value, err
	}
	line, err := l.in.ReadSlice('\n')
	if err != nil {
		return meta.AnswerLine{}, nil, err
	}
	line = bytes.TrimSuffix(line, []byte("\r\n"))
	if advice, ok := bytes.CutPrefix(line, []byte("SERVER_ERROR busy")); ok {
		ms, _ := strconv.Atoi(string(bytes.TrimSpace(advice)))
		return meta.AnswerLine{Kind: request.Busy, ValueLen: ms}, nil, nil
	}
	a, err := meta.ParseAnswer(bytes.Clone(line))
	if err != nil || a.Kind != request.Value {
		return a, nil, err
	}
	value := make([]byte, a.ValueLen+2)
	if _, err := io.ReadFull(l.in, value); err != nil {
		return a, nil, err
	}
	if !bytes.HasSuffix(value, []byte("\r\n")) {
		return a, nil, meta.ErrMalformedAnswer
	}
	return a, value[:a.ValueLen], nil
}

// pipeline is a client that writes many reads at once and takes the answers in
// order, over and over. Its requests are not counted in the phases; the rules are.
func (c *clients) pipeline(ctx context.Context, number int) {
	var l *link
	defer func() {
		if l != nil {
			l.socket.Close()
		}
	}()
	var d *proxyDoor
	for ctx.Err() == nil {
		if l == nil {
			if d = c.pick(); d == nil {
				time.Sleep(10 * time.Millisecond)
				continue
			}
			var err error
			if l, err = dial(d.front); err != nil {
				l = nil
				time.Sleep(10 * time.Millisecond)
				continue
			}
		}
		wait := c.kinds[0].deadline
		var text []byte
		var ids, keys []string
		for i := range c.load.PipelineDepth {
			e := &errand{plan: plan{kind: c.kinds[0]}, key: fmt.Sprintf("pipe%d.%d", number, i)}
			if n := len(c.load.Tenants); n > 0 {
				e.tenant = c.load.Tenants[number%n]
			}
			one, id := c.command(e, d.index, wait, false)
			text, ids, keys = append(text, one...), append(ids, id), append(keys, e.key)
		}
		sent := time.Now()
		l.socket.SetDeadline(sent.Add(wait + watchTime + c.tally.slackNow()))
		_, err := l.socket.Write(text)
		for i, id := range ids {
			c.tally.sent()
			var a meta.AnswerLine
			var value []byte
			if err == nil {
				a, value, err = l.answer()
			}
			var timeout net.Error
			switch {
			case err == nil && a.Kind == request.Value && (string(a.ID) != id || !bytes.HasPrefix(value, []byte(keys[i]+" "))):
				c.tally.wrong("proxy %d answered %s in a pipeline with that of %s", d.index, id, a.ID)
			case err == nil:
			case c.excused(d, sent, sent.Add(wait)):
			case errors.As(err, &timeout) && timeout.Timeout():
				c.tally.lose("proxy %d never answered %s in a pipeline", d.index, id)
			default: // what the proxy has not read is asked for elsewhere
				l.used = true
				c.broken(d, l, id, time.Now(), err)
			}
		}
		if l.used = true; err != nil {
			l.socket.Close()
			l = nil
		}
	}
}
