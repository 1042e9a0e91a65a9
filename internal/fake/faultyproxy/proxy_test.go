package faultyproxy

import (
	"bufio"
	"io"
	"net"
	"testing"
	"time"
)

// TestFiguresAreNoRequests guards the count of faults: a rehearsal asks each proxy for its figures at the
// end, and where the fault befell that, one more was counted than clients could have seen.
func TestFiguresAreNoRequests(t *testing.T) {
	d := &Proxy{config: Config{Fault: LoseAnswer, OneIn: 1}, nodes: make(map[string]nodeEntry), conns: make(map[net.Conn]bool)}
	ours, theirs := net.Pipe()
	d.tasks.Go(func() { d.serve(theirs) })
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
	if got := d.Injected(); got != 0 {
		t.Errorf("%d faults befell questions for figures", got)
	}
	if _, err := io.WriteString(ours, "mn\r\n"); err != nil {
		t.Fatal(err)
	}
	ours.Close()
	d.tasks.Wait()
	if got := d.Injected(); got != 1 {
		t.Errorf("%d faults for one request", got)
	}
}
