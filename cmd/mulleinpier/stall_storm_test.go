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
	// requestsPerLate is the operators' bound: at most one request in 500 may be late.
	requestsPerLate = 500
	// machineDelay is the delay of the test process above which a late response may be due to the machine and not to
	// the program.
	machineDelay = 30 * time.Millisecond
)

// delayMonitor records when the machine delayed the test process by more than machineDelay.
type delayMonitor struct {
	done      chan struct{}
	task      sync.WaitGroup
	mu        sync.Mutex
	delayedAt []time.Time // the end of each delay
}

func newDelayMonitor() *delayMonitor {
	m := &delayMonitor{done: make(chan struct{})}
	m.task.Go(func() {
		const pause = 5 * time.Millisecond
		for last := time.Now(); ; last = time.Now() {
			select {
			case <-m.done:
				return
			case <-time.After(pause):
			}
			if now := time.Now(); now.Sub(last)-pause > machineDelay {
				m.mu.Lock()
				m.delayedAt = append(m.delayedAt, now)
				m.mu.Unlock()
			}
		}
	})
	return m
}

func (m *delayMonitor) stop() {
	close(m.done)
	m.task.Wait()
}

// delayedBetween reports whether a delay of the test ended between from and to, or within twice machineDelay after to.
func (m *delayMonitor) delayedBetween(from, to time.Time) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, at := range m.delayedAt {
		if at.After(from) && at.Before(to.Add(2*machineDelay)) {
			return true
		}
	}
	return false
}

// stormResult counts the requests during repeated stalls by their outcome. Excused requests were late while the machine
// delayed the test itself.
type stormResult struct {
	answered, late, excused atomic.Int64
	// lost counts requests without a response that were sent before the program was terminated.
	lost         atomic.Int64
	terminatedAt atomic.Pointer[time.Time]
}

// stallRepeatedly stalls the program for 60 to 150 ms at random intervals until done is closed or the program exits.
func (p *stalledProgram) stallRepeatedly(r *rand.Rand, done <-chan struct{}) {
	for {
		select {
		case <-done:
			return
		case <-time.After(time.Duration(300+r.IntN(700)) * time.Millisecond):
		}
		if p.process.Signal(syscall.SIGSTOP) != nil {
			return // the program has exited
		}
		time.Sleep(time.Duration(60+r.IntN(90)) * time.Millisecond)
		p.process.Signal(syscall.SIGCONT)
	}
}

// sendRepeatedly sends one request after another until the connection ends, and counts the outcomes in s.
func (c *stallClient) sendRepeatedly(number int, r *rand.Rand, delays *delayMonitor, s *stormResult) {
	for n := 0; ; n++ {
		key, wait := "warm", time.Duration(250+r.IntN(350))*time.Millisecond
		if r.IntN(4) == 0 {
			key = "hang"
		}
		sentAt := time.Now()
		const format = "mg %s%[2]d-%[3]d v Ostorm%[2]d-%[3]d Pc=safe,t=shops,d=%[4]d\r\n"
		_, err := fmt.Fprintf(c.socket, format, key, number, n, wait.Milliseconds())
		received, ok := <-c.lines
		if err != nil || !ok {
			if terminatedAt := s.terminatedAt.Load(); terminatedAt == nil || sentAt.Before(*terminatedAt) {
				s.lost.Add(1)
			}
			return
		}
		if strings.HasPrefix(received.line, "VA ") {
			<-c.lines
		}
		s.answered.Add(1)
		switch late := received.receivedAt.Sub(sentAt) - wait; {
		case late <= responseSlack:
		case delays.delayedBetween(sentAt, received.receivedAt):
			s.excused.Add(1)
		default:
			s.late.Add(1)
		}
		time.Sleep(time.Duration(r.IntN(20)) * time.Millisecond)
	}
}

// TestRepeatedStalls checks the program under stalls at random times until it exits: at most one request in 500 is
// answered late, as the operators allow (rule 1), each request that was sent before the termination gets a response,
// and the program exits before it would be killed (rule 6).
func TestRepeatedStalls(t *testing.T) {
	p := newStalledProgram(t)
	p.stallOnce(nil)
	delays, s := newDelayMonitor(), &stormResult{}
	defer delays.stop()
	var clients, staller sync.WaitGroup
	for i := range stormClients {
		c := p.client()
		clients.Go(func() { c.sendRepeatedly(i, rand.New(rand.NewPCG(7, uint64(i))), delays, s) })
	}
	done := make(chan struct{})
	staller.Go(func() { p.stallRepeatedly(rand.New(rand.NewPCG(8, 1)), done) })
	time.Sleep(stormTime)
	terminatedAt := time.Now()
	s.terminatedAt.Store(&terminatedAt)
	if err := p.process.Signal(syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	exited := make(chan struct{})
	go func() {
		defer close(exited)
		p.wait()
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
	staller.Wait()
	clients.Wait()
	answered, late := s.answered.Load(), s.late.Load()
	t.Logf("%d requests, %d late, %d late while the machine delayed the test, %d lost; exited after %v",
		answered, late, s.excused.Load(), s.lost.Load(), took)
	if late > max(answered/requestsPerLate, 1) {
		t.Errorf("%d of %d requests late", late, answered)
	}
	if s.lost.Load() > 0 {
		t.Errorf("%d requests sent before the termination got no response", s.lost.Load())
	}
	if due := clientDeadline + 700*time.Millisecond; took > due &&
		!delays.delayedBetween(terminatedAt, terminatedAt.Add(took)) {
		t.Errorf("the exit took %v, and the program is killed after %v", took, due)
	}
}
