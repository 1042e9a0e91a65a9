package fleettest

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"strconv"
	"time"

	"mulleinpier/internal/meta"
	"mulleinpier/internal/request"
)

const (
	lineEnd          = "\r\n"
	dialTimeout      = 3 * time.Second
	connBufferBytes  = 2 << 10
	dialRetryPause   = 10 * time.Millisecond
	minLateRetry     = 2 * time.Second
	lateRetryRange   = 8 * time.Second
	maxPickedProxies = 100
)

// runRequest sends one request, retries it as its retryState decides, and records the final result.
func (w *workload) runRequest(q *clientRequest) {
	start := time.Now()
	recorded := w.recorder.requestStarted(start, q)
	if q.library {
		result := w.playByLibrary(q, recorded)
		w.recorder.requestEnded(recorded, time.Since(start), result, q.class.latencyObjective)
		return
	}
	wait := q.class.deadline
	for number := 0; ; number++ {
		q.lastSent = time.Since(start)
		attemptWait := min(time.Duration(q.attemptShare*float64(q.class.deadline)), wait)
		result, retryAfter := w.attempt(q, attemptWait, number)
		now := time.Since(start)
		d := q.next(now, result, retryAfter)
		isUnknown := q.mayHaveTakenEffect(result)
		if q.class.isWrite && isUnknown && q.lateRetries < w.load.LateRetries && (!d.again || q.retriesLate) {
			q.lateRetries++
			w.recorder.retried(recorded)
			time.Sleep(w.drawLateRetry())
			wait = q.class.deadline
			continue
		}
		if !d.again {
			if q.class.isWrite && isUnknown {
				w.recorder.unknownOutcome()
			}
			w.recorder.requestEnded(recorded, now, result, q.class.latencyObjective)
			return
		}
		if result != crossedClose && result != notConnected {
			w.recorder.retried(recorded)
		}
		if result == notConnected {
			d.backoff = max(d.backoff, dialRetryPause)
			d.maxWait -= d.backoff
		}
		time.Sleep(d.backoff)
		wait = d.maxWait
	}
}

// mayHaveTakenEffect reports whether the request may have been executed although its last attempt ended with this
// result.
func (q *clientRequest) mayHaveTakenEffect(result outcome) bool {
	switch result {
	case served:
		return false
	case refused, notConnected:
		return q.mayHaveRun
	}
	return true
}

// drawLateRetry draws the delay after which a client retries a write with an unknown outcome: 2 to 10 s.
func (w *workload) drawLateRetry() time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	return minLateRetry + time.Duration(w.rng.Int64N(int64(lateRetryRange)))
}

// pickProxy draws a proxy that accepts clients. It returns nil if maxPickedProxies draws found none.
func (w *workload) pickProxy() *proxyInstance {
	for range maxPickedProxies {
		w.mu.Lock()
		p := w.fleet.proxies[w.rng.IntN(len(w.fleet.proxies))]
		w.mu.Unlock()
		p.mu.Lock()
		accepts := p.acceptsClients
		p.mu.Unlock()
		if accepts {
			return p
		}
	}
	return nil
}

// connect returns an idle connection to a proxy in the dialect of a request, or opens a new one.
func (w *workload) connect(p *proxyInstance, q *clientRequest) (*clientConn, error) {
	if conn := w.takeIdle(poolKey{p.index, q.binary}); conn != nil {
		return conn, nil
	}
	conn, err := dial(p.clientAddress)
	if err != nil {
		return nil, err
	}
	conn.binary = q.binary
	return conn, nil
}

// takeIdle removes the most recently used connection from a pool and returns it, or nil if the pool has none that was
// idle for less than idleTimeout. It closes the older connections that it finds.
func (w *workload) takeIdle(pool poolKey) *clientConn {
	w.mu.Lock()
	defer w.mu.Unlock()
	for len(w.idleConns[pool]) > 0 {
		last := len(w.idleConns[pool]) - 1
		conn := w.idleConns[pool][last]
		w.idleConns[pool] = w.idleConns[pool][:last]
		if time.Since(conn.idleSince) < idleTimeout {
			return conn
		}
		conn.socket.Close()
	}
	return nil
}

func dial(address string) (*clientConn, error) {
	start := time.Now()
	socket, err := net.DialTimeout("tcp", address, dialTimeout)
	if err != nil {
		return nil, err
	}
	return &clientConn{
		socket:   socket,
		reader:   bufio.NewReaderSize(socket, connBufferBytes),
		dialedAt: start,
	}, nil
}

// release returns a connection to its pool.
func (w *workload) release(p *proxyInstance, conn *clientConn) {
	conn.idleSince = time.Now()
	conn.used = true
	w.mu.Lock()
	defer w.mu.Unlock()
	pool := poolKey{p.index, conn.binary}
	w.idleConns[pool] = append(w.idleConns[pool], conn)
}

// metaCommand returns a request in the meta protocol, and the id that it was given. number is the number of attempts
// before this one.
func (w *workload) metaCommand(q *clientRequest, proxy int, wait time.Duration, number int) (text []byte, id string) {
	id = fmt.Sprintf("p%d-%x", proxy, w.serial.Add(1))
	r := request.Request{
		Key:            q.key,
		Class:          q.class.name,
		Tenant:         q.tenant,
		IdempotencyKey: q.idempotency,
		Retry:          number > 0 && q.marksRetries,
	}
	if q.class.isWrite {
		r.Verb = request.Set
		r.Value = []byte(q.value)
	}
	text = meta.AppendRequest(nil, &r, id, max(wait.Milliseconds(), 1))
	if q.class.isWrite {
		text = append(text, q.value+lineEnd...)
	}
	return text, id
}

// attempt sends a request once and waits for its answer. number is the number of attempts before this one.
func (w *workload) attempt(
	q *clientRequest, wait time.Duration, number int,
) (result outcome, retryAfter time.Duration) {
	p := w.pickProxy()
	if p == nil {
		return notConnected, 0
	}
	start := time.Now()
	conn, err := w.connect(p, q)
	if err != nil {
		w.recorder.dialFailed()
		return notConnected, 0
	}
	// The time to connect counts against the attempt: a write whose dedup window ended while the client connected must
	// not be sent any more.
	wait -= time.Since(start)
	if wait < minWait {
		w.release(p, conn)
		return notConnected, 0
	}
	if q.binary && q.class.isWrite && q.ticket == 0 {
		if result := w.fetchTicket(p, conn, q, wait); result != served {
			return result, 0
		}
	}
	text, id := w.metaCommand(q, p.index, wait, number)
	if q.binary {
		text, id = conn.binaryCommand(q)
	}
	return w.exchange(p, conn, q, text, id, wait)
}

// exchange sends an attempt, waits for its answer, and checks it.
func (w *workload) exchange(
	p *proxyInstance, conn *clientConn, q *clientRequest, text []byte, id string, wait time.Duration,
) (result outcome, retryAfter time.Duration) {
	sent := time.Now()
	w.recorder.attemptSent()
	conn.socket.SetDeadline(sent.Add(wait))
	_, err := conn.socket.Write(text)
	if err == nil {
		var a meta.AnswerLine
		var value []byte
		a, value, err = conn.readAnswer()
		if err == nil && q.binary && a.Kind == request.Invalid && !q.mayHaveRun {
			// The ticket is too old, and nothing was executed under it: the next attempt fetches a new one.
			q.ticket = 0
			w.release(p, conn)
			return refused, 0
		}
		if err == nil {
			return w.judgeAnswer(p, conn, q, id, &a, value)
		}
	}
	if q.binary && q.mayHaveRun {
		id = "" // the attempts of a binary write share an id, so a node may have received it with an earlier attempt
	}
	return w.judgeNoAnswer(p, conn, id, sent, wait, err), 0
}

// readAnswer reads one answer. For a rejection, ValueLen is the advised retry delay in milliseconds.
func (c *clientConn) readAnswer() (a meta.AnswerLine, value []byte, err error) {
	if c.binary {
		b, err := c.readBinaryAnswer()
		return b.AnswerLine, b.value, err
	}
	line, err := c.reader.ReadSlice('\n')
	if err != nil {
		return a, nil, err
	}
	line = bytes.TrimSuffix(line, []byte(lineEnd))
	if advice, ok := bytes.CutPrefix(line, []byte("SERVER_ERROR busy")); ok {
		millis, _ := strconv.Atoi(string(bytes.TrimSpace(advice)))
		return meta.AnswerLine{Kind: request.Busy, ValueLen: millis}, nil, nil
	}
	a, err = meta.ParseAnswer(bytes.Clone(line))
	if err != nil || a.Kind != request.Value {
		return a, nil, err
	}
	value = make([]byte, a.ValueLen+len(lineEnd))
	if _, err := io.ReadFull(c.reader, value); err != nil {
		return a, nil, err
	}
	if !bytes.HasSuffix(value, []byte(lineEnd)) {
		return a, nil, meta.ErrMalformedAnswer
	}
	return a, value[:a.ValueLen], nil
}
