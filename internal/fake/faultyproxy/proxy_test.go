package faultyproxy

import (
	"bufio"
	"io"
	"net"
	"testing"
	"time"
)

// TestFaultDoesNotAffectStats guards the count of injected faults: a fault test asks each proxy for its stats at the
// end. If the fault affected that, more faults would be counted than clients can have seen.
func TestFaultDoesNotAffectStats(t *testing.T) {
	p := newProxy(Config{Fault: LoseAnswer, OneIn: 1})
	ours, theirs := net.Pipe()
	p.tasks.Go(func() { p.serve(theirs) })
	ours.SetDeadline(time.Now().Add(30 * time.Second))
	in := bufio.NewReader(ours)
	for range 3 {
		if _, err := io.WriteString(ours, "stats service\r\n"); err != nil {
			t.Fatal(err)
		}
		if line, err := in.ReadString('\n'); err != nil || line != "END\r\n" {
			t.Fatalf("%q, %v", line, err)
		}
	}
	if got := p.Injected(); got != 0 {
		t.Errorf("%d faults affected stats", got)
	}
	if _, err := io.WriteString(ours, "mn\r\n"); err != nil {
		t.Fatal(err)
	}
	ours.Close()
	p.tasks.Wait()
	if got := p.Injected(); got != 1 {
		t.Errorf("%d faults for one request", got)
	}
}
