package faultyproxy

import (
	"bufio"
	"io"
	"net"
	"testing"
	"time"
)

// TestFaultDoesNotAffectStats checks that the fault does not affect stats requests and is not counted for them. A fault
// test requests the stats of each proxy at the end of the test: if the fault affected this request, the proxy would
// count more faults than clients can have observed.
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
