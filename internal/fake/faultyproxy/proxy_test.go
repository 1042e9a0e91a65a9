package faultyproxy

import (
	"bufio"
	"io"
	"net"
	"testing"
	"time"
)

// TestFaultDoesNotAffectStats guards the count of injected faults: a fault test requests the stats of each proxy at its
// end. If the fault affected this request, more faults would be counted than clients can have seen.
func TestFaultDoesNotAffectStats(t *testing.T) {
	p := newProxy(Config{Fault: LoseAnswer, OneIn: 1})
	client, server := net.Pipe()
	p.tasks.Go(func() { p.serve(server) })
	client.SetDeadline(time.Now().Add(30 * time.Second))
	in := bufio.NewReader(client)
	for range 3 {
		if _, err := io.WriteString(client, "stats service\r\n"); err != nil {
			t.Fatal(err)
		}
		if line, err := in.ReadString('\n'); err != nil || line != "END\r\n" {
			t.Fatalf("%q, %v", line, err)
		}
	}
	if got := p.Injected(); got != 0 {
		t.Errorf("%d faults affected stats", got)
	}
	if _, err := io.WriteString(client, "mn\r\n"); err != nil {
		t.Fatal(err)
	}
	client.Close()
	p.tasks.Wait()
	if got := p.Injected(); got != 1 {
		t.Errorf("%d faults for one request", got)
	}
}
