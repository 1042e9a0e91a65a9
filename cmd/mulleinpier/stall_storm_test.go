package main

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"mulleinpier/internal/testutil"
)

const (
	stormTime    = 6 * time.Second
	stormClients = 12
	// requestsPerLate is the operators' bound: one request in so many may be late.
	requestsPerLate = 500
	// machineDelay is a delay of the machine itself, in which a late response shows nothing about the program.
	machineDelay = 30 * time.Millisecond
)

// delayMonitor records when the machine delayed the test itself.
type delayMonitor struct {
	done      chan struct{}
	task      sync.WaitGroup
	mu        sync.Mutex
	delayedAt []time.Time // times at which it was late
}

func newDelayMonitor() *delayMonitor {
	w := &delayMonitor{done: make(chan struct{})}
	w.task.Go(func() {
		const pause = 5 * time.Millisecond
		for last := time.Now(); ; last = time.Now() {
			select {
			case <-w.done:
				return
			case <-time.After(pause):
			}
			if now := time.Now(); now.Sub(last)-pause > machineDelay {
				w.mu.Lock()
				w.delayedAt = append(w.delayedAt, now)
				w.mu.Unlock()
			}
		}
	})
	return w
}

func (w *delayMonitor) stop() {
	close(w.done)
	w.task.Wait()
}

// between reports whether the machine was late in a span, or right after it.
func (w *delayMonitor) between(from, to time.Time) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, at := range w.delayedAt {
		if at.After(from) && at.Before(to.Add(2*machineDelay)) {
			return true
		}
	}
	return false
}

// stormResult counts the requests of a storm by their outcome.
type stormResult struct {
	answered, late, excused atomic.Int64
	// lost counts requests without a response that were sent before the program was terminated.
	lost         atomic.Int64
	terminatedAt atomic.Pointer[time.Time]
}

// stallRepeatedly stalls the program again and again until done is closed.
func (h *stalledProgram) stallRepeatedly(r *rand.Rand, done <-chan struct{}) {
	for {
		select {
		case <-done:
			return
		case <-time.After(time.Duration(300+r.IntN(700)) * time.Millisecond):
		}
		if h.process.Signal(syscall.SIGSTOP) != nil {
			return // it has exited
		}
		time.Sleep(time.Duration(60+r.IntN(90)) * time.Millisecond)
		h.process.Signal(syscall.SIGCONT)
	}
}

// sendRepeatedly sends one request after another until the connection ends.
func (c *stallClient) sendRepeatedly(number int, r *rand.Rand, lag *delayMonitor, s *stormResult) {
	for n := 0; ; n++ {
		key, wait := "warm", time.Duration(250+r.IntN(350))*time.Millisecond
		if r.IntN(4) == 0 {
			key = "hang"
		}
		sentAt := time.Now()
		const format = "mg %s%[2]d-%[3]d v Ostorm%[2]d-%[3]d Pc=safe,t=shops,d=%[4]d\r\n"
		_, err := fmt.Fprintf(c.socket, format, key, number, n, wait.Milliseconds())
		came, ok := <-c.lines
		if err != nil || !ok {
			if terminatedAt := s.terminatedAt.Load(); terminatedAt == nil || sentAt.Before(*terminatedAt) {
				s.lost.Add(1)
			}
			return
		}
		if strings.HasPrefix(came.line, "VA ") {
			<-c.lines
		}
		s.answered.Add(1)
		switch late := came.receivedAt.Sub(sentAt) - wait; {
		case late <= responseSlack:
		case lag.between(sentAt, came.receivedAt):
			s.excused.Add(1)
		default:
			s.late.Add(1)
		}
		time.Sleep(time.Duration(r.IntN(20)) * time.Millisecond)
	}
}

// TestRepeatedStalls guards rules 1 and 6: with stalls at random moments, through the exit of the program,
// responses come in time but for the few that the operators allow, each accepted request has one, and the program
// exits before it would be killed.
func TestRepeatedStalls(t *testing.T) {
	h := newStalledProgram(t)
	h.stallOnce(nil)
	lag, s := newDelayMonitor(), &stormResult{}
	defer lag.stop()
	var clients, holder sync.WaitGroup
	for i := range stormClients {
		c := h.client()
		clients.Go(func() { c.sendRepeatedly(i, rand.New(rand.NewPCG(7, uint64(i))), lag, s) })
	}
	done := make(chan struct{})
	holder.Go(func() { h.stallRepeatedly(rand.New(rand.NewPCG(8, 1)), done) })
	time.Sleep(stormTime)
	terminatedAt := time.Now()
	s.terminatedAt.Store(&terminatedAt)
	if err := h.process.Signal(syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	exited := make(chan struct{})
	go func() {
		defer close(exited)
		h.wait()
	}()
	testutil.WaitUntil(t, "the program to exit", func() bool {
		select {
		case <-exited:
			return true
		default:
			return false
		}
	})
	took := time.Since(terminatedAt)
	close(done)
	holder.Wait()
	clients.Wait()
	answered, late := s.answered.Load(), s.late.Load()
	t.Logf("%d requests, %d late, %d while this machine was late, %d lost; exited after %v",
		answered, late, s.excused.Load(), s.lost.Load(), took)
	if late > max(answered/requestsPerLate, 1) {
		t.Errorf("%d of %d requests late", late, answered)
	}
	if s.lost.Load() > 0 {
		t.Errorf("%d requests lost that came before the termination", s.lost.Load())
	}
	if due := clientDeadline + 700*time.Millisecond; took > due && !lag.between(terminatedAt, terminatedAt.Add(took)) {
		t.Errorf("the exit took %v, and the program is killed after %v", took, due)
	}
}
