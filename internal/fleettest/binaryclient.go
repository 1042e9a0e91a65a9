package fleettest

import (
	"context"
	"encoding/binary"
	"fmt"
	"strings"
	"time"

	codec "mulleinpier/internal/binary"
	"mulleinpier/internal/fake/rawclient"
	"mulleinpier/internal/meta"
	"mulleinpier/internal/request"
)

// This file contains the clients that speak the binary protocol. Their requests have no id: nodes identify a write by
// its value, and cannot identify a read.

// binaryCommand encodes a request in the binary protocol. id is the value of a write, by which nodes identify it, or
// names a read in reports.
func (c *clientConn) binaryCommand(q *clientRequest) (text []byte, id string) {
	c.opaque++
	if q.class.isWrite {
		return rawclient.AppendSet(nil, codec.Set, q.key, q.value, c.opaque, q.ticket), q.value
	}
	return rawclient.AppendKeyOnly(nil, codec.Get, q.key, c.opaque), c.opaqueID()
}

// opaqueID returns the name of a connection's last command in reports.
func (c *clientConn) opaqueID() string { return fmt.Sprintf("opaque-%d", c.opaque) }

// binaryAnswer is an answer in the binary protocol, converted to an answer line of the meta protocol.
type binaryAnswer struct {
	meta.AnswerLine
	value []byte
	cas   uint64
}

// readBinaryAnswer reads the answer to the last command. If a write's ticket has expired, the answer is of kind
// Invalid.
func (c *clientConn) readBinaryAnswer() (a binaryAnswer, err error) {
	r, err := rawclient.ReadResponse(c.reader)
	if err != nil {
		return a, err
	}
	if r.Opaque != c.opaque {
		return a, fmt.Errorf("%w: opaque %d, want %d", rawclient.ErrMalformedAnswer, r.Opaque, c.opaque)
	}
	a.value = []byte(r.Value)
	a.cas = r.CAS
	a.Kind = request.Failed
	switch r.Status {
	case codec.OK:
		a.Kind = request.Stored
		a.Receipt = binary.BigEndian.AppendUint64(nil, r.CAS)
		if r.Opcode == codec.Get {
			a.Kind = request.Value
		}
	case codec.NotFound:
		a.Kind = request.NotFound
	case codec.Exists:
		a.Kind = request.Invalid
	case codec.Busy:
		a.Kind = request.Busy
		a.ValueLen = int(r.RetryAfter().Milliseconds())
	}
	return a, nil
}

// fetchTicket reads the record that a write is to change, as real clients do. The record's CAS becomes the ticket of
// the write.
func (w *workload) fetchTicket(p *proxyInstance, conn *clientConn, q *clientRequest, wait time.Duration) outcome {
	conn.opaque++
	sent := time.Now()
	w.recorder.attemptSent()
	conn.socket.SetDeadline(sent.Add(wait))
	_, err := conn.socket.Write(rawclient.AppendKeyOnly(nil, codec.Get, q.key, conn.opaque))
	var a binaryAnswer
	if err == nil {
		a, err = conn.readBinaryAnswer()
	}
	if err != nil {
		as := w.judgeNoAnswer(p, conn, conn.opaqueID(), sent, wait, err)
		if as == timedOut || as == failed {
			return refused // only the read may have been executed, not the write
		}
		return as
	}
	conn.used = true // the write that follows can cross a close of the idle connection
	if a.Kind != request.Value {
		w.release(p, conn)
		return refused // no write was sent
	}
	if !strings.HasPrefix(string(a.value), q.key+" ") {
		conn.socket.Close()
		w.recorder.wrongAnswer("proxy %d answered a read of %s with %q", p.index, q.key, a.value)
		return refused
	}
	q.ticket = a.cas
	return served
}

// runQuietPipeline runs a client that repeatedly writes many quiet reads together with a NOOP that ends them. It is the
// binary counterpart of runPipeline. If the origin lacks some keys, some of the reads are misses, which get no answer.
func (w *workload) runQuietPipeline(ctx context.Context, number int) {
	for ctx.Err() == nil {
		p, conn := w.dialAny()
		if conn == nil {
			time.Sleep(dialRetryPause)
			continue
		}
		conn.binary = true
		var err error
		for err == nil && ctx.Err() == nil {
			err = w.runQuietRound(p, conn, number)
		}
		conn.socket.Close()
	}
}

// runQuietRound writes one quiet pipeline, and reads its answers until the answer to the NOOP.
func (w *workload) runQuietRound(p *proxyInstance, conn *clientConn, number int) error {
	last := conn.opaque
	text, keys := w.quietText(conn, number)
	wait := w.classes[0].deadline
	conn.socket.SetDeadline(time.Now().Add(wait + lateWatchTime + w.recorder.tolerance()))
	_, err := conn.socket.Write(text)
	for err == nil {
		var r rawclient.Response
		r, err = rawclient.ReadResponse(conn.reader)
		if err != nil {
			break
		}
		if r.Opaque <= last || r.Opaque > conn.opaque {
			w.recorder.wrongAnswer("proxy %d answered opaque %d after %d in a quiet pipeline", p.index, r.Opaque, last)
			return rawclient.ErrMalformedAnswer
		}
		last = r.Opaque
		if r.Opcode == codec.Noop {
			conn.used = true
			return nil
		}
		if key := keys[r.Opaque]; w.isWrongQuietAnswer(&r, key) {
			w.recorder.wrongAnswer("proxy %d answered %q of a quiet pipeline with status %d and %q",
				p.index, key, r.Status, r.Value)
			return rawclient.ErrMalformedAnswer
		}
	}
	if isTimeout(err) {
		w.recorder.lost("proxy %d never answered the end of a quiet pipeline", p.index)
		return err
	}
	conn.used = true // the proxy may have closed the idle connection: reads that it has not received are not lost
	w.judgeConnectionLost(p, conn, "", time.Now(), err)
	return err
}

// missingKeyInterval is the number of reads of a quiet pipeline of which one reads a key that the origin lacks.
const missingKeyInterval = 4

// quietText returns the text of one quiet pipeline, and its keys by opaque.
func (w *workload) quietText(conn *clientConn, number int) (text []byte, keys map[uint32]string) {
	keys = map[uint32]string{}
	prefix := w.fleet.scenario.Fleet.MissingKeyPrefix
	for i := range w.load.PipelineDepth {
		conn.opaque++
		key := fmt.Sprintf("quiet%d.%d", number, i)
		if prefix != "" && i%missingKeyInterval == missingKeyInterval-1 {
			key = prefix + key
		}
		keys[conn.opaque] = key
		text = rawclient.AppendKeyOnly(text, codec.GetKQ, key, conn.opaque)
		w.recorder.attemptSent()
	}
	conn.opaque++
	return rawclient.AppendKeyOnly(text, codec.Noop, "", conn.opaque), keys
}

// isWrongQuietAnswer reports whether an answer to a quiet read is wrong. A miss must get no answer at all.
func (w *workload) isWrongQuietAnswer(r *rawclient.Response, key string) bool {
	if r.Status == codec.NotFound {
		return true
	}
	if r.Status != codec.OK {
		return false
	}
	prefix := w.fleet.scenario.Fleet.MissingKeyPrefix
	missing := prefix != "" && strings.HasPrefix(key, prefix)
	return missing || r.KeyText != key || !strings.HasPrefix(r.Value, key+" ")
}
