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

// stats asks a proxy for figures as a meta client.
func stats(t *testing.T, address net.Addr, kind string) map[string]string {
	t.Helper()
	socket, err := net.Dial("tcp", address.String())
	if err != nil {
		t.Fatal(err)
	}
	defer socket.Close()
	socket.SetDeadline(time.Now().Add(testutil.Timeout))
	fmt.Fprintf(socket, "stats %s\r\n", kind)
	figures := make(map[string]string)
	for in := bufio.NewReader(socket); ; {
		line, err := in.ReadString('\n')
		if err != nil {
			t.Fatal(err)
		}
		if line == "END\r\n" {
			return figures
		}
		name, value, ok := strings.Cut(strings.TrimPrefix(strings.TrimRight(line, "\r\n"), "STAT "), " ")
		if !ok {
			t.Fatalf("line %q", line)
		}
		figures[name] = value
	}
}

// TestLevelIsSeenAndPinned guards the operators' way in: the level, its figures and its records
// in both dialects, a pin by reload, and its end.
func TestLevelIsSeenAndPinned(t *testing.T) {
	f := startNodes(t)
	g := startProxy(t, f.list, "[binary]\n")
	if got := stats(t, g.server.Address(), "service"); got["service_level"] != "0" || got["service_on"] != "true" || got["service_changes"] != "0" {
		t.Fatalf("at the start: %v", got)
	}
	if got := stats(t, g.server.Address(), ""); got["service_level"] != "0" || got["uptime"] == "" {
		t.Errorf("usual figures: %v", got)
	}
	until := time.Now().Add(3 * time.Second).Truncate(time.Second)
	pinned := "[service]\npin = \"handovers\"\npin_until = \"" + until.Format(time.RFC3339) + "\"\n[binary]\n"
	for range 2 { // the second reload changes nothing
		if err := g.server.Reload(g.read(pinned).Proxy); err != nil {
			t.Fatal(err)
		}
		got := stats(t, g.server.Address(), "service")
		if got["service_level"] != "3" || got["service_pinned"] != "true" || got["service_changes"] != "1" {
			t.Fatalf("pinned: %v", got)
		}
		var r overload.Transition
		if err := json.Unmarshal([]byte(got["service_change_0"]), &r); err != nil || r.From != "full" || r.To != "handovers" || r.Cause != "pin" || !r.Pinned {
			t.Errorf("record %+v, error %v", r, err)
		}
	}
	l := g.dial()
	l.send(rawclient.AppendKeyOnly(nil, codec.Stat, "service", 7))
	told := make(map[string]string)
	for {
		r := l.next(codec.OK, 7)
		if r.KeyLen == 0 {
			break
		}
		told[r.KeyText] = r.Value
	}
	if told["service_name"] != "handovers" {
		t.Errorf("to a binary client: %v", told)
	}
	l.send(rawclient.AppendKeyOnly(nil, codec.Stat, "nothing", 8))
	l.next(codec.NotFound, 8)
	testutil.WaitUntil(t, "the pin's end", func() bool { return stats(t, g.server.Address(), "service")["service_level"] == "0" })
	if time.Now().Before(until) {
		t.Errorf("the pin ended %v early", time.Until(until))
	}
	if err := g.server.Reload(g.read(strings.Replace(pinned, until.Format(time.RFC3339), time.Now().Add(time.Hour).Format(time.RFC3339), 1)).Proxy); err != nil {
		t.Fatal(err)
	}
	if err := g.server.Reload(g.read("[service]\nreduce = false\n[binary]\n").Proxy); err != nil {
		t.Fatal(err)
	}
	got := stats(t, g.server.Address(), "service")
	if got["service_on"] != "false" || got["service_level"] != "0" || got["service_changes"] != "4" || !strings.Contains(got["service_change_3"], `"cause":"off"`) {
		t.Errorf("turned off: %v", got)
	}
}

// TestUnknownFigures guards bad input: stats of what there is not, or can't be meant, gets a
// prompt error.
func TestUnknownFigures(t *testing.T) {
	f := startNodes(t)
	g := startProxy(t, f.list, "")
	socket, err := net.Dial("tcp", g.server.Address().String())
	if err != nil {
		t.Fatal(err)
	}
	defer socket.Close()
	socket.SetDeadline(time.Now().Add(testutil.Timeout))
	in := bufio.NewReader(socket)
	for _, line := range []string{"stats load", "stats a b", "stats " + strings.Repeat("x", 300)} {
		fmt.Fprintf(socket, "%s\r\n", line)
		if got, err := in.ReadString('\n'); err != nil || got != "ERROR\r\n" {
			t.Errorf("%.20s: answered %q, %v", line, got, err)
		}
	}
}
