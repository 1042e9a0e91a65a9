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
	baseTolerance = 250 * time.Millisecond
	// How long a try is watched after its deadline for what comes late.
	lateWatchTime = time.Second
	minWait = 50 * time.Millisecond // a try that has less left is not made
	// A kept connection that ends so soon after a request went out was closed
	// between requests; the request crossed that, unless a node has seen it.
	closeRaceTime = 300 * time.Millisecond
	// A request that a proxy has taken is at a node after so long, or waits for one.
	nodeArrivalTime = 150 * time.Millisecond
	// Connections that idle are kept by a client side for so long at most.
	idleTimeout = 1500 * time.Millisecond
	// Requests under way at a time, over all clients.
	maxInFlight = 8192
)

// workload are the client side of a rehearsal: arrivals that do not wait for
// answers, each with its own retries, over kept connections.
type workload struct {
	fleet *fleet
	load  LoadSettings
	classes [2]requestClass // read, write
	recorder *recorder

	serial atomic.Uint64
	inFlight   atomic.Int64
	tasks  sync.WaitGroup

	// Of those that use the client library, one for each tenant.
	library []*client.Client
	auditor   *loadgen.TraceAuditor

	mu    sync.Mutex
	rng   *rand.Rand
	zipf  *rand.Zipf
	idleConns [][]*clientConn // by proxy and dialect, idle, the latest last
	// What tenants have left of their shares, a second's worth at the most.
	quotas []struct {
		left float64
		at   time.Time
	}
}

// clientConn is a client's connection to a proxy.
type clientConn struct {
	socket net.Conn
	reader     *bufio.Reader
	openedAt time.Time
	idleSince   time.Time
	used   bool // it has carried a request
	binary bool
	opaque uint32 // of the last command, if it is binary
}

func newWorkload(f *fleet, t *recorder) *workload {
	l := f.scenario.Load
	rng := rand.New(rand.NewPCG(f.scenario.Seed, 5))
	c := &workload{fleet: f, load: l, recorder: t, rng: rng, zipf: rand.NewZipf(rng, l.Skew, 4, uint64(l.Keys-1)),
		idleConns: make([][]*clientConn, 2*len(f.proxies)),
		classes: [2]requestClass{{name: "read", latencyObjective: 500 * time.Millisecond, deadline: 2 * time.Second},
			{name: "write", isWrite: true, latencyObjective: 750 * time.Millisecond, deadline: 2500 * time.Millisecond,
				dedupWindow: time.Duration(f.scenario.Fleet.DedupWindow)}}}
	c.quotas = slices.Grow(c.quotas, len(l.Tenants))[:len(l.Tenants)]
	for i := range c.quotas {
		c.quotas[i].at = t.startedAt
	}
	return c
}

// clientRequest is one request of a client, through all its tries.
type clientRequest struct {
	retryState
	key, idempotency, tenant string
	attemptShare                    float64 // of the deadline that a try waits
	marksRetries                   bool
	value                    string // of a write: no other has it
	overQuota                     bool   // its tenant's share
	binary                   bool
	library                  bool   // it goes through the client library
	ticket                   uint64 // of a binary write; 0 for none yet
	retriesLate                     bool   // it asks again only seconds later
	lateRetries                    int    // again, so late
}

// drawRequest makes up the next request, and the time until the one after it.
func (c *workload) drawRequest() (*clientRequest, time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	r := c.rng
	e := &clientRequest{retryState: retryState{class: c.classes[0], maxRetries: c.load.Retries, backoff: time.Duration(20+r.IntN(140)) * time.Millisecond,
		honoursRetryAfter: r.Float64() < c.load.HonourRetryAfterShare}, attemptShare: 0.3 + r.Float64()*0.25, marksRetries: r.Float64() < c.load.MarkedRetryShare}
	e.binary = c.load.BinaryShare > 0 && r.Float64() < c.load.BinaryShare
	e.library = c.load.LibraryShare > 0 && !e.binary && r.Float64() < c.load.LibraryShare
	switch {
	case r.Float64() < c.load.HandoverShare:
		e.class = c.classes[1]
		e.key = fmt.Sprint("h", r.IntN(c.load.Keys))
		e.idempotency = fmt.Sprintf("%x", c.serial.Add(1))
		e.value = "h" + e.idempotency
		if c.load.LateRetries > 0 {
			e.retriesLate, e.marksRetries = r.Float64() < c.load.LateRetryShare, true
		}
	case r.Float64() < c.load.OneOffKeyShare:
		e.key = fmt.Sprint("once", c.serial.Add(1))
	default:
		e.key = fmt.Sprint("k", c.zipf.Uint64())
	}
	phase, since := c.recorder.phaseAndTime(time.Now())
	if n := len(c.load.Tenants); n > 0 {
		tenant := r.IntN(n)
		// In a flood the first asks for several times its part, the others for theirs.
		if p := phase.FirstTenantFactor; p > 1 && r.Float64() < (p-1)/(p-1+float64(n)) {
			tenant = 0
		}
		e.tenant, e.overQuota = c.load.Tenants[tenant], !c.withinQuota(tenant)
	}
	return e, time.Duration(r.ExpFloat64() / (c.load.Rate * phase.rate(since, len(c.load.Tenants))) * float64(time.Second))
}

// withinQuota tells whether a tenant's next request is within its share. c.mu is held.
func (c *workload) withinQuota(tenant int) bool {
	s, now, quota := &c.quotas[tenant], time.Now(), float64(c.load.TenantQuota)
	s.left, s.at = min(s.left+now.Sub(s.at).Seconds()*quota, quota), now
	if s.left < 1 {
		return false
	}
	s.left--
	return true
}

// run sends requests until ctx ends, and returns when all of them are over.
func (c *workload) run(ctx context.Context) {
	defer c.closeLibrary()
	for i := range c.load.Pipelines {
		if c.load.BinaryShare > 0 && i%2 == 1 {
			c.tasks.Go(func() { c.runQuietPipeline(ctx, i) })
			continue
		}
		c.tasks.Go(func() { c.runPipeline(ctx, i) })
	}
	if c.load.Rate > 0 {
		for next := time.Now(); ctx.Err() == nil; {
			e, gap := c.drawRequest()
			if c.inFlight.Load() >= maxInFlight {
				c.recorder.notOffered()
			} else {
				c.inFlight.Add(1)
				c.tasks.Go(func() {
					defer c.inFlight.Add(-1)
					c.play(e)
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
	for _, pool := range c.idleConns {
		for _, l := range pool {
			l.socket.Close()
		}
	}
}

// play takes one request through its tries.
func (c *workload) play(e *clientRequest) {
	begun := time.Now()
	note := c.recorder.requestStarted(begun, e.class.isWrite, e.overQuota)
	if e.library {
		as := c.playByLibrary(e, note)
		c.recorder.requestEnded(note, time.Since(begun), as, e.class.latencyObjective)
		return
	}
	wait := e.class.deadline
	for first := true; ; first = false {
		e.lastSent = time.Since(begun)
		as, advice := c.attempt(e, min(time.Duration(e.attemptShare*float64(e.class.deadline)), wait), !first)
		now := time.Since(begun)
		again, pause, most := e.next(now, as, advice)
		unsure := as != served && (as != refused || e.mayHaveRun) && as != notConnected || as == notConnected && e.mayHaveRun
		if e.class.isWrite && unsure && e.lateRetries < c.load.LateRetries && (!again || e.retriesLate) {
			e.lateRetries++
			c.recorder.retried(note)
			c.mu.Lock()
			pause = 2*time.Second + time.Duration(c.rng.Int64N(int64(8*time.Second)))
			c.mu.Unlock()
			time.Sleep(pause)
			wait = e.class.deadline
			continue
		}
		if !again {
			if e.class.isWrite && unsure {
				c.recorder.unknownOutcome()
			}
			c.recorder.requestEnded(note, now, as, e.class.latencyObjective)
			return
		}
		if as != crossedClose && as != notConnected {
			c.recorder.retried(note)
		}
		if as == notConnected {
			pause = max(pause, 10*time.Millisecond)
			most -= pause
		}
		time.Sleep(pause)
		wait = most
	}
}

// pickProxy chooses a proxy that the front deals to.
func (c *workload) pickProxy() *proxyInstance {
	for range 100 {
		c.mu.Lock()
		d := c.fleet.proxies[c.rng.IntN(len(c.fleet.proxies))]
		c.mu.Unlock()
		d.mu.Lock()
		taking := d.acceptsClients
		d.mu.Unlock()
		if taking {
			return d
		}
	}
	return nil
}

// connect returns a kept connection to a proxy, or a new one.
func (c *workload) connect(d *proxyInstance, binary bool) (*clientConn, error) {
	c.mu.Lock()
	place := poolOf(d, binary)
	pool := c.idleConns[place]
	for len(pool) > 0 {
		l := pool[len(pool)-1]
		pool = pool[:len(pool)-1]
		if time.Since(l.idleSince) < idleTimeout {
			c.idleConns[place] = pool
			c.mu.Unlock()
			return l, nil
		}
		l.socket.Close()
	}
	c.idleConns[place] = pool
	c.mu.Unlock()
	l, err := dial(d.clientAddress)
	if err == nil {
		l.binary = binary
	}
	return l, err
}

// poolOf is the pool of a proxy's connections of one dialect.
func poolOf(d *proxyInstance, binary bool) int {
	if binary {
		return 2*d.index + 1
	}
	return 2 * d.index
}

func dial(address string) (*clientConn, error) {
	socket, err := net.DialTimeout("tcp", address, 3*time.Second)
	if err != nil {
		return nil, err
	}
	return &clientConn{socket: socket, reader: bufio.NewReaderSize(socket, 2<<10), openedAt: time.Now()}, nil
}

func (c *workload) release(d *proxyInstance, l *clientConn) {
	l.idleSince, l.used = time.Now(), true
	c.mu.Lock()
	defer c.mu.Unlock()
	place := poolOf(d, l.binary)
	c.idleConns[place] = append(c.idleConns[place], l)
}

// metaCommand is a request's text for a proxy, and the id that it was given.
func (c *workload) metaCommand(e *clientRequest, proxy int, wait time.Duration, repeat bool) (text []byte, id string) {
	id = fmt.Sprintf("p%d-%x", proxy, c.serial.Add(1))
	r := request.Request{Key: e.key, Class: e.class.name, Tenant: e.tenant, IdempotencyKey: e.idempotency, Retry: repeat && e.marksRetries}
	if e.class.isWrite {
		r.Verb, r.Value = request.Set, []byte(e.value)
	}
	text = meta.AppendRequest(nil, &r, id, max(wait.Milliseconds(), 1))
	if e.class.isWrite {
		text = append(text, e.value+"\r\n"...)
	}
	return text, id
}

// attempt sends a request once and waits for its answer.
func (c *workload) attempt(e *clientRequest, wait time.Duration, repeat bool) (outcome, time.Duration) {
	d := c.pickProxy()
	if d == nil {
		return notConnected, 0
	}
	began := time.Now()
	l, err := c.connect(d, e.binary)
	if err != nil {
		c.recorder.dialFailed()
		return notConnected, 0
	}
	// A connection that took long to come up has taken it from the try: of a write whose window it outlasted nothing is
	// sent any more.
	if wait -= time.Since(began); wait < minWait {
		c.release(d, l)
		return notConnected, 0
	}
	if e.binary && e.class.isWrite && e.ticket == 0 {
		if as := c.fetchTicket(d, l, e, wait); as != served {
			return as, 0
		}
	}
	text, id := c.metaCommand(e, d.index, wait, repeat)
	if e.binary {
		text, id = l.binaryCommand(e)
	}
	sent := time.Now()
	c.recorder.attemptSent()
	l.socket.SetDeadline(sent.Add(wait))
	if _, err = l.socket.Write(text); err == nil {
		var answer meta.AnswerLine
		var value []byte
		if answer, value, err = l.readAnswer(); err == nil {
			if e.binary && answer.Kind == request.Invalid && !e.mayHaveRun {
				e.ticket = 0 // too old, and nothing was done under it: the next try reads anew
				c.release(d, l)
				return refused, 0
			}
			return c.judgeAnswer(d, l, e, id, &answer, value)
		}
	}
	if e.binary && e.mayHaveRun {
		id = "" // a node may have seen an earlier try's
	}
	return c.judgeNoAnswer(d, l, id, sent, wait, err)
}

// judgeNoAnswer judges a try whose answer did not come whole.
func (c *workload) judgeNoAnswer(d *proxyInstance, l *clientConn, id string, sent time.Time, wait time.Duration, err error) (outcome, time.Duration) {
	if way := c.fleet.links.clients[d.index]; isTimeout(err) && way != nil && way.FaultySince(sent) {
		// What waits on the way is to come with its end behind it, as that of tills which give up: nothing that comes
		// yet could be held against the proxy.
		l.socket.Close()
		c.recorder.atCutLink()
		return timedOut, 0
	}
	if isTimeout(err) {
		// The client gives up, and what comes yet is watched for.
		c.tasks.Go(func() { c.watchLateAnswer(d, l, id, sent, sent.Add(wait)) })
		return timedOut, 0
	}
	l.socket.Close()
	if errors.Is(err, meta.ErrMalformedAnswer) || errors.Is(err, rawclient.ErrMalformedAnswer) {
		c.recorder.wrongAnswer("proxy %d answered %s with what can't be read", d.index, id)
		return failed, 0
	}
	return c.judgeConnectionLost(d, l, id, sent, err), 0
}

func isTimeout(err error) bool {
	var timeout net.Error
	return errors.As(err, &timeout) && timeout.Timeout()
}

// judgeConnectionLost judges a connection that ended with a request out.
func (c *workload) judgeConnectionLost(d *proxyInstance, l *clientConn, id string, sent time.Time, err error) outcome {
	took := time.Since(sent)
	d.mu.Lock()
	killed := d.killedAt
	d.mu.Unlock()
	switch {
	case c.isExcused(d, sent, sent.Add(took)): // the process stood still, or the link was cut
		return timedOut
	case killed.After(l.openedAt) && killed.After(sent.Add(-processTimeout)) && time.Since(killed) < processTimeout:
		c.recorder.atKilledProxy()
		return timedOut // left to the client: it may have run
	case l.binary && l.used && took < closeRaceTime+c.recorder.tolerance()-baseTolerance:
		// A node knows a binary write by its value, which the next try has too: so that
		// one waits until this one would have been seen.
		time.Sleep(nodeArrivalTime)
		if c.fleet.seenByNode(id) {
			c.recorder.lost("proxy %d took %s and closed its connection", d.index, id)
		} else {
			c.recorder.crossedClose()
		}
		return crossedClose
	case l.used && took < closeRaceTime+c.recorder.tolerance()-baseTolerance:
		// It is lost all the same if the proxy had taken it, which a node may see late.
		c.tasks.Go(func() {
			time.Sleep(lateWatchTime)
			if c.fleet.seenByNode(id) {
				c.recorder.lost("proxy %d took %s and closed its connection", d.index, id)
			} else {
				c.recorder.crossedClose()
			}
		})
		return crossedClose
	}
	c.recorder.lost("proxy %d ended the connection of %s after %v, used before: %v: %v", d.index, id, took.Round(time.Millisecond), l.used, err)
	return timedOut
}

// watchLateAnswer watches a connection whose client has given up.
func (c *workload) watchLateAnswer(d *proxyInstance, l *clientConn, id string, sent, deadline time.Time) {
	defer l.socket.Close()
	l.socket.SetDeadline(deadline.Add(lateWatchTime + c.recorder.tolerance()))
	_, _, err := l.readAnswer()
	var timeout net.Error
	switch by := time.Since(deadline); {
	case err == nil && by <= c.recorder.tolerance():
		c.recorder.overdue(by)
	case c.isExcused(d, sent, deadline):
	case err == nil:
		c.recorder.lost("proxy %d answered %s %v after its deadline", d.index, id, by.Round(time.Millisecond))
	case errors.As(err, &timeout) && timeout.Timeout():
		c.recorder.lost("proxy %d never answered %s", d.index, id)
	default:
		c.judgeConnectionLost(d, l, id, deadline.Add(-time.Minute), err) // too late for a crossing
	}
}

// judgeAnswer tells what an answer is worth, and keeps its connection.
func (c *workload) judgeAnswer(d *proxyInstance, l *clientConn, e *clientRequest, id string, a *meta.AnswerLine, value []byte) (outcome, time.Duration) {
	if l.reader.Buffered() > 0 {
		l.socket.Close()
		c.recorder.wrongAnswer("proxy %d sent more than one answer to %s", d.index, id)
		return failed, 0
	}
	isRead := !e.class.isWrite
	if l.binary {
		a.ID = []byte(id) // its opaque was the command's
	}
	switch {
	case a.Kind == request.Value && isRead && string(a.ID) == id && bytes.HasPrefix(value, append([]byte(e.key), ' ')),
		a.Kind == request.Stored && !isRead && string(a.ID) == id && len(a.Receipt) > 0:
		c.release(d, l)
		return served, 0
	case a.Kind == request.Value || a.Kind == request.Stored:
		l.socket.Close()
		c.recorder.wrongAnswer("proxy %d answered %s of %s with %q for %q", d.index, id, e.key, value, a.ID)
		return failed, 0
	}
	c.release(d, l)
	if a.Kind == request.Busy {
		return refused, time.Duration(a.ValueLen) * time.Millisecond
	}
	return failed, 0
}

// readAnswer reads one answer. Of a refusal, Size is the advice in milliseconds.
func (l *clientConn) readAnswer() (meta.AnswerLine, []byte, error) {
	if l.binary {
		a, value, _, err := l.readBinaryAnswer()
		return a, value, err
	}
	line, err := l.reader.ReadSlice('\n')
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
	if _, err := io.ReadFull(l.reader, value); err != nil {
		return a, nil, err
	}
	if !bytes.HasSuffix(value, []byte("\r\n")) {
		return a, nil, meta.ErrMalformedAnswer
	}
	return a, value[:a.ValueLen], nil
}

// runPipeline is a client that writes many reads at once and takes the answers in
// order, over and over. Its requests are not counted in the phases; the rules are.
func (c *workload) runPipeline(ctx context.Context, number int) {
	var l *clientConn
	defer func() {
		if l != nil {
			l.socket.Close()
		}
	}()
	var d *proxyInstance
	for ctx.Err() == nil {
		if l == nil {
			if d = c.pickProxy(); d == nil {
				time.Sleep(10 * time.Millisecond)
				continue
			}
			var err error
			if l, err = dial(d.clientAddress); err != nil {
				l = nil
				time.Sleep(10 * time.Millisecond)
				continue
			}
		}
		wait := c.classes[0].deadline
		var text []byte
		var ids, keys []string
		for i := range c.load.PipelineDepth {
			e := &clientRequest{retryState: retryState{class: c.classes[0]}, key: fmt.Sprintf("pipe%d.%d", number, i)}
			if n := len(c.load.Tenants); n > 0 {
				e.tenant = c.load.Tenants[number%n]
			}
			one, id := c.metaCommand(e, d.index, wait, false)
			text, ids, keys = append(text, one...), append(ids, id), append(keys, e.key)
		}
		sent := time.Now()
		l.socket.SetDeadline(sent.Add(wait + lateWatchTime + c.recorder.tolerance()))
		_, err := l.socket.Write(text)
		for i, id := range ids {
			c.recorder.attemptSent()
			var a meta.AnswerLine
			var value []byte
			if err == nil {
				a, value, err = l.readAnswer()
			}
			var timeout net.Error
			switch {
			case err == nil && a.Kind == request.Value && (string(a.ID) != id || !bytes.HasPrefix(value, []byte(keys[i]+" "))):
				c.recorder.wrongAnswer("proxy %d answered %s in a pipeline with that of %s", d.index, id, a.ID)
			case err == nil:
			case c.isExcused(d, sent, sent.Add(wait)):
			case errors.As(err, &timeout) && timeout.Timeout():
				c.recorder.lost("proxy %d never answered %s in a pipeline", d.index, id)
			default: // what the proxy has not read is asked for elsewhere
				l.used = true
				c.judgeConnectionLost(d, l, id, time.Now(), err)
			}
		}
		if l.used = true; err != nil {
			l.socket.Close()
			l = nil
		}
	}
}
