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
	// The operators' bound: one request in so many may be late.
	lateOneIn = 500
	// While this machine itself is late by so much, what is late tells nothing of the program.
	machineLag = 30 * time.Millisecond
)

// lagWatch tells when this machine kept the test itself waiting.
type lagWatch struct {
	done  chan struct{}
	task  sync.WaitGroup
	mu    sync.Mutex
	times []time.Time // at which it was late
}

func newLagWatch() *lagWatch {
	w := &lagWatch{done: make(chan struct{})}
	w.task.Go(func() {
		const pause = 5 * time.Millisecond
		for last := time.Now(); ; last = time.Now() {
			select {
			case <-w.done:
				return
			case <-time.After(pause):
			}
			if now := time.Now(); now.Sub(last)-pause > machineLag {
				w.mu.Lock()
				w.times = append(w.times, now)
				w.mu.Unlock()
			}
		}
	})
	return w
}

func (w *lagWatch) end() {
	close(w.done)
	w.task.Wait()
}

// between tells whether the machine was late in a span, or right after it.
func (w *lagWatch) between(from, to time.Time) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, at := range w.times {
		if at.After(from) && at.Before(to.Add(2*machineLag)) {
			return true
		}
	}
	return false
}

// storm is what became of the requests of a storm.
type storm struct {
	asked, late, void atomic.Int64
	// Unanswered ones, that had been sent before the program was told to end.
	lost atomic.Int64
	told atomic.Pointer[time.Time]
}

// hold holds the program up time and again until done is closed.
func (h *held) hold(r *rand.Rand, done <-chan struct{}) {
	for {
		select {
		case <-done:
			return
		case <-time.After(time.Duration(300+r.IntN(700)) * time.Millisecond):
		}
		if h.process.Signal(syscall.SIGSTOP) != nil {
			return // it has ended
		}
		time.Sleep(time.Duration(60+r.IntN(90)) * time.Millisecond)
		h.process.Signal(syscall.SIGCONT)
	}
}

// play sends one request after the other until the connection ends.
func (c *heldClient) play(number int, r *rand.Rand, lag *lagWatch, s *storm) {
	for n := 0; ; n++ {
		key, wait := "warm", time.Duration(250+r.IntN(350))*time.Millisecond
		if r.IntN(4) == 0 {
			key = "hang"
		}
		asked := time.Now()
		_, err := fmt.Fprintf(c.socket, "mg %s%d-%d v Ostorm%d-%d Pc=safe,t=shops,d=%d\r\n", key, number, n, number, n, wait.Milliseconds())
		came, ok := <-c.lines
		if err != nil || !ok {
			if told := s.told.Load(); told == nil || asked.Before(*told) {
				s.lost.Add(1)
			}
			return
		}
		if strings.HasPrefix(came.line, "VA ") {
			<-c.lines
		}
		s.asked.Add(1)
		switch late := came.at.Sub(asked) - wait; {
		case late <= answerSlack:
		case lag.between(asked, came.at):
			s.void.Add(1)
		default:
			s.late.Add(1)
		}
		time.Sleep(time.Duration(r.IntN(20)) * time.Millisecond)
	}
}

// TestHeldUpTimeAndAgain guards rules 1 and 6: under hold-ups at random moments, through the end of the program,
// answers come in time but for the few that the operators allow, nothing that was taken is left without one, and the
// program ends before it would be killed.
func TestHeldUpTimeAndAgain(t *testing.T) {
	h := newHeld(t)
	h.learn(nil)
	lag, s := newLagWatch(), &storm{}
	defer lag.end()
	var clients, holder sync.WaitGroup
	for i := range stormClients {
		c := h.client()
		clients.Go(func() { c.play(i, rand.New(rand.NewPCG(7, uint64(i))), lag, s) })
	}
	done := make(chan struct{})
	holder.Go(func() { h.hold(rand.New(rand.NewPCG(8, 1)), done) })
	time.Sleep(stormTime)
	told := time.Now()
	s.told.Store(&told)
	if err := h.process.Signal(syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		h.wait()
	}()
	testutil.WaitUntil(t, "the program's end", func() bool {
		select {
		case <-ended:
			return true
		default:
			return false
		}
	})
	took := time.Since(told)
	close(done)
	holder.Wait()
	clients.Wait()
	asked, late := s.asked.Load(), s.late.Load()
	t.Logf("%d requests, %d late, %d while this machine was late, %d lost; ended after %v", asked, late, s.void.Load(), s.lost.Load(), took)
	if late > max(asked/lateOneIn, 1) {
		t.Errorf("%d of %d requests late", late, asked)
	}
	if s.lost.Load() > 0 {
		t.Errorf("%d requests lost that came before the end", s.lost.Load())
	}
	if due := waitTime + 700*time.Millisecond; took > due && !lag.between(told, told.Add(took)) {
		t.Errorf("the end took %v, and it is killed after %v", took, due)
	}
}
