package proxy_test

import (
	"bufio"
	"encoding/json"
	"fmt"
	"net"
	"strings"
	"testing"
	"time"

	codec "mulleinpier/internal/binary"
	"mulleinpier/internal/fake/rawclient"
	"mulleinpier/internal/overload"
	"mulleinpier/internal/testutil"
)

// statistics requests statistics of a kind as a meta client, "" for the general ones.
func (p *testProxy) statistics(kind string) map[string]string {
	p.t.Helper()
	socket, err := net.Dial("tcp", p.server.Address().String())
	if err != nil {
		p.t.Fatal(err)
	}
	defer socket.Close()
	socket.SetDeadline(time.Now().Add(testutil.Timeout))
	fmt.Fprintf(socket, "stats %s\r\n", kind)
	statistics := make(map[string]string)
	for in := bufio.NewReader(socket); ; {
		line, err := in.ReadString('\n')
		if err != nil {
			p.t.Fatal(err)
		}
		if line == "END\r\n" {
			return statistics
		}
		name, value, ok := strings.Cut(strings.TrimPrefix(strings.TrimRight(line, "\r\n"), "STAT "), " ")
		if !ok {
			p.t.Fatalf("line %q", line)
		}
		statistics[name] = value
	}
}

// expectStatistics expects the statistics of the overload level to include the wanted ones, and returns all.
func (p *testProxy) expectStatistics(when string, want map[string]string) map[string]string {
	p.t.Helper()
	got := p.statistics("service")
	for name, value := range want {
		if got[name] != value {
			p.t.Fatalf("%s: %s is %q, want %q, of %v", when, name, got[name], value, got)
		}
	}
	return got
}

// binaryStatistics requests statistics of a kind as a binary client.
func binaryStatistics(c binaryClient, kind string) map[string]string {
	c.t.Helper()
	c.send(rawclient.AppendKeyOnly(nil, codec.Stat, kind, 7))
	statistics := make(map[string]string)
	for {
		r := c.next(codec.OK, 7)
		if r.KeyLen == 0 {
			return statistics
		}
		statistics[r.KeyText] = r.Value
	}
}

// highMemoryLimit is a memory limit that the test binary stays far below: the memory signal compares the memory of the
// whole process with the limit, and the test binary under the race detector has reached 105 % of the default 64 MB.
const highMemoryLimit = "[limits]\nmemory_mb = 640\n"

// pinConfig returns a configuration that pins the overload level; the pin ends at until.
func pinConfig(until time.Time) string {
	return "[service]\npin = \"handovers\"\npin_until = \"" + until.Format(time.RFC3339) + "\"\n[binary]\n" +
		highMemoryLimit
}

// TestOverloadLevelIsReportedAndPinned checks what operators use: the statistics of the overload level and the records
// of its transitions, in both dialects, a pin that a reload sets, and the end of the pin.
func TestOverloadLevelIsReportedAndPinned(t *testing.T) {
	f := startNodes(t)
	p := startProxy(t, f.addresses, "[binary]\n"+highMemoryLimit)
	p.expectStatistics("at the start",
		map[string]string{"service_level": "0", "service_on": "true", "service_changes": "0"})
	if got := p.statistics(""); got["service_level"] != "0" || got["uptime"] == "" {
		t.Errorf("general statistics: %v", got)
	}
	until := time.Now().Add(3 * time.Second).Truncate(time.Second)
	for range 2 { // the second reload changes nothing
		p.reload(pinConfig(until))
		got := p.expectStatistics("pinned",
			map[string]string{"service_level": "3", "service_pinned": "true", "service_changes": "1"})
		expectPinTransition(t, got["service_change_0"])
	}
	c := p.dial()
	if got := binaryStatistics(c, "service"); got["service_name"] != "handovers" {
		t.Errorf("to a binary client: %v", got)
	}
	c.send(rawclient.AppendKeyOnly(nil, codec.Stat, "nothing", 8))
	c.next(codec.NotFound, 8)
	testutil.WaitUntil(t, "the end of the pin", func() bool { return p.statistics("service")["service_level"] == "0" })
	if time.Now().Before(until) {
		t.Errorf("the pin ended %v early", time.Until(until))
	}
	p.reload(pinConfig(time.Now().Add(time.Hour)))
	p.reload("[service]\nreduce = false\n[binary]\n" + highMemoryLimit)
	got := p.expectStatistics("turned off",
		map[string]string{"service_on": "false", "service_level": "0", "service_changes": "4"})
	if !strings.Contains(got["service_change_3"], `"cause":"off"`) {
		t.Errorf("turned off: %v", got)
	}
}

// expectPinTransition expects the record of a transition to be that of the pin.
func expectPinTransition(t *testing.T, record string) {
	t.Helper()
	var r overload.Transition
	err := json.Unmarshal([]byte(record), &r)
	if err != nil || r.From != "full" || r.To != "handovers" || r.Cause != "pin" || !r.Pinned {
		t.Errorf("record %+v, error %v", r, err)
	}
}

// TestUnknownStatisticsAreAnError checks that a stats command with an unknown or invalid kind gets an error
// immediately.
func TestUnknownStatisticsAreAnError(t *testing.T) {
	f := startNodes(t)
	p := startProxy(t, f.addresses, "")
	socket, err := net.Dial("tcp", p.server.Address().String())
	if err != nil {
		t.Fatal(err)
	}
	defer socket.Close()
	socket.SetDeadline(time.Now().Add(testutil.Timeout))
	in := bufio.NewReader(socket)
	for _, line := range []string{"stats load", "stats a b", "stats " + strings.Repeat("x", 300)} {
		fmt.Fprintf(socket, "%s\r\n", line)
		if got, err := in.ReadString('\n'); err != nil || got != "ERROR\r\n" {
			t.Errorf("%.20s: got %q, %v", line, got, err)
		}
	}
}
