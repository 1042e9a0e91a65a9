package fleettest

import (
	"bytes"
	"context"
	"fmt"
	"time"

	"mulleinpier/internal/meta"
	"mulleinpier/internal/request"
)

// runPipeline runs a client that repeatedly sends many reads in one write and reads the answers in order.
func (w *workload) runPipeline(ctx context.Context, number int) {
	var conn *clientConn
	defer func() {
		if conn != nil {
			conn.socket.Close()
		}
	}()
	var p *proxyInstance
	for ctx.Err() == nil {
		if conn == nil {
			p, conn = w.dialAny()
			if conn == nil {
				time.Sleep(dialRetryPause)
				continue
			}
		}
		err := w.runPipelineRound(p, conn, number)
		conn.used = true
		if err != nil {
			conn.socket.Close()
			conn = nil
		}
	}
}

// dialAny opens a connection to any proxy that accepts clients. It returns nil if no proxy does, or dialing fails.
func (w *workload) dialAny() (*proxyInstance, *clientConn) {
	p := w.pickProxy()
	if p == nil {
		return nil, nil
	}
	conn, err := dial(p.clientAddress)
	if err != nil {
		return nil, nil
	}
	return p, conn
}

type pipelinedRead struct{ id, key string }

// runPipelineRound writes one pipeline and reads its answers.
func (w *workload) runPipelineRound(p *proxyInstance, conn *clientConn, number int) error {
	wait := w.classes[0].deadline
	text, reads := w.pipelineText(p, number, wait)
	sent := time.Now()
	conn.socket.SetDeadline(sent.Add(wait + lateWatchTime + w.recorder.tolerance()))
	_, err := conn.socket.Write(text)
	for _, read := range reads {
		w.recorder.attemptSent()
		var a meta.AnswerLine
		var value []byte
		if err == nil {
			a, value, err = conn.readAnswer()
		}
		switch {
		case err == nil && a.Kind == request.Value && !read.isAnsweredBy(&a, value):
			w.recorder.wrongAnswer("proxy %d answered %s in a pipeline with that of %s", p.index, read.id, a.ID)
		case err == nil:
		case w.isExcused(p, sent, sent.Add(wait)):
		case isTimeout(err):
			w.recorder.lost("proxy %d never answered %s in a pipeline", p.index, read.id)
		default: // reads that this proxy has not received are sent to another one
			conn.used = true
			w.judgeConnectionLost(p, conn, read.id, time.Now(), err)
		}
	}
	return err
}

func (r *pipelinedRead) isAnsweredBy(a *meta.AnswerLine, value []byte) bool {
	return string(a.ID) == r.id && bytes.HasPrefix(value, []byte(r.key+" "))
}

// pipelineText returns the text of one pipeline, and its reads in order.
func (w *workload) pipelineText(p *proxyInstance, number int, wait time.Duration) (text []byte, reads []pipelinedRead) {
	for i := range w.load.PipelineDepth {
		q := &clientRequest{retryState: retryState{class: w.classes[0]}, key: fmt.Sprintf("pipe%d.%d", number, i)}
		if n := len(w.load.Tenants); n > 0 {
			q.tenant = w.load.Tenants[number%n]
		}
		command, id := w.metaCommand(q, p.index, wait, 0)
		text = append(text, command...)
		reads = append(reads, pipelinedRead{id: id, key: q.key})
	}
	return text, reads
}
