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

// This file holds the clients that speak the binary protocol. What they send has no id:
// a write is known by its value, and a read that crossed a close by nothing.

// binaryCommand is a request's text, and what a node would know it by.
func (l *clientConn) binaryCommand(e *clientRequest) (text []byte, id string) {
	l.opaque++
	if e.class.isWrite {
		return rawclient.AppendSet(nil, codec.Set, e.key, e.value, l.opaque, e.ticket), e.value
	}
	return rawclient.AppendKeyOnly(nil, codec.Get, e.key, l.opaque), fmt.Sprintf("opaque-%d", l.opaque)
}

// readBinaryAnswer reads the answer to the last command as one of the other dialect would
// be read. A ticket that lives no more is of kind Bad.
func (l *clientConn) readBinaryAnswer() (a meta.AnswerLine, value []byte, cas uint64, err error) {
	r, err := rawclient.ReadResponse(l.reader)
	if err != nil {
		return a, nil, 0, err
	}
	if r.Opaque != l.opaque {
		return a, nil, 0, fmt.Errorf("%w: opaque %d where %d is due", rawclient.ErrMalformedAnswer, r.Opaque, l.opaque)
	}
	a.Kind = request.Failed
	switch r.Status {
	case codec.OK:
		a.Kind, a.Receipt = request.Stored, binary.BigEndian.AppendUint64(nil, r.CAS)
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
	return a, []byte(r.Value), r.CAS, nil
}

// fetchTicket reads the record that a write is for, as a till does.
func (c *workload) fetchTicket(d *proxyInstance, l *clientConn, e *clientRequest, wait time.Duration) outcome {
	l.opaque++
	sent := time.Now()
	c.recorder.attemptSent()
	l.socket.SetDeadline(sent.Add(wait))
	_, err := l.socket.Write(rawclient.AppendKeyOnly(nil, codec.Get, e.key, l.opaque))
	if err == nil {
		var a meta.AnswerLine
		var value []byte
		var cas uint64
		if a, value, cas, err = l.readBinaryAnswer(); err == nil {
			if a.Kind == request.Value && !strings.HasPrefix(string(value), e.key+" ") {
				l.socket.Close()
				c.recorder.wrongAnswer("proxy %d answered a read of %s with %q", d.index, e.key, value)
				return refused
			}
			if a.Kind == request.Value {
				e.ticket = cas
				return served
			}
			c.release(d, l)
			return refused // nothing was written
		}
	}
	as, _ := c.judgeNoAnswer(d, l, fmt.Sprintf("opaque-%d", l.opaque), sent, wait, err)
	if as == timedOut || as == failed {
		return refused // it was but a read
	}
	return as
}

// runQuietPipeline is a client that writes many quiet reads and the NOOP that ends them
// at once, over and over, as pipeline does it in the other dialect. Misses, which are
// silent, are among them where the origin lacks keys.
func (c *workload) runQuietPipeline(ctx context.Context, number int) {
	for ctx.Err() == nil {
		d := c.pickProxy()
		if d == nil {
			time.Sleep(10 * time.Millisecond)
			continue
		}
		l, err := dial(d.clientAddress)
		if err != nil {
			time.Sleep(10 * time.Millisecond)
			continue
		}
		l.binary = true
		for err == nil && ctx.Err() == nil {
			err = c.runQuietRound(d, l, number)
		}
		l.socket.Close()
	}
}

// runQuietRound is one round of a quiet pipeline.
func (c *workload) runQuietRound(d *proxyInstance, l *clientConn, number int) error {
	var text []byte
	keys := map[uint32]string{}
	from := l.opaque
	for i := range c.load.PipelineDepth {
		l.opaque++
		key := fmt.Sprintf("quiet%d.%d", number, i)
		if lacks := c.fleet.scenario.Fleet.MissingKeyPrefix; lacks != "" && i%4 == 3 {
			key = lacks + key
		}
		keys[l.opaque] = key
		text = rawclient.AppendKeyOnly(text, codec.GetKQ, key, l.opaque)
		c.recorder.attemptSent()
	}
	l.opaque++
	text = rawclient.AppendKeyOnly(text, codec.Noop, "", l.opaque)
	wait := c.classes[0].deadline
	l.socket.SetDeadline(time.Now().Add(wait + lateWatchTime + c.recorder.tolerance()))
	_, err := l.socket.Write(text)
	for last := from; err == nil; {
		var r rawclient.Response
		if r, err = rawclient.ReadResponse(l.reader); err != nil {
			break
		}
		if r.Opaque <= last || r.Opaque > l.opaque {
			c.recorder.wrongAnswer("proxy %d answered opaque %d after %d in a quiet pipeline", d.index, r.Opaque, last)
			return rawclient.ErrMalformedAnswer
		}
		if last = r.Opaque; r.Opcode == codec.Noop {
			l.used = true
			return nil
		}
		key := keys[r.Opaque]
		if lacks := c.fleet.scenario.Fleet.MissingKeyPrefix; r.Status == codec.NotFound || r.Status == codec.OK &&
			(r.KeyText != key || !strings.HasPrefix(r.Value, key+" ") || lacks != "" && strings.HasPrefix(key, lacks)) {
			c.recorder.wrongAnswer("proxy %d answered %q of a quiet pipeline with status %d and %q", d.index, key, r.Status, r.Value)
			return rawclient.ErrMalformedAnswer
		}
	}
	if isTimeout(err) {
		c.recorder.lost("proxy %d never answered the end of a quiet pipeline", d.index)
		return err
	}
	l.used = true // what the proxy has not read is asked for elsewhere
	c.judgeConnectionLost(d, l, "", time.Now(), err)
	return err
}
