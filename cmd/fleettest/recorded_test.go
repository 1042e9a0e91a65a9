package main

import (
	"bufio"
	"bytes"
	"fmt"
	"net"
	"os/exec"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"testing"
	"time"

	"mulleinpier/internal/fleettest"
	"mulleinpier/internal/testutil"
)

// The files in testdata/recorded are outputs of an earlier version. Scripts and dashboards depend on its commands,
// flags, JSON, exit codes and text of stats, so this version must still produce them.

func TestVerbsAndFlagsAsRecorded(t *testing.T) {
	var got bytes.Buffer
	for _, verb := range []string{
		"wave", "play", "up", "cost", "times", "consul", "degrade", "clients", "still", "lease", "takeover", "peers",
		"members", "conform", "sight", "double", "relay", "holder",
	} {
		out, err := exec.Command(filepath.Join(bin, "fleettest"), verb, "--help").Output()
		if err != nil {
			t.Errorf("%s --help: %v", verb, err)
		}
		for _, line := range testutil.HelpSignature(string(out)) {
			fmt.Fprintf(&got, "%s: %s\n", verb, line)
		}
	}
	if want := testutil.Recorded(t, "testdata/recorded/flags.txt"); !bytes.Equal(got.Bytes(), want) {
		t.Errorf("commands and flags differ from those recorded; got\n%s\nwant\n%s", got.Bytes(), want)
	}
}

func TestBuiltInScenariosAsRecorded(t *testing.T) {
	out, err := exec.Command(filepath.Join(bin, "fleettest"), "--list").Output()
	if err != nil {
		t.Fatal(err)
	}
	var names strings.Builder
	for line := range strings.Lines(string(out)) {
		name, _, _ := strings.Cut(line, " ")
		names.WriteString(name + "\n")
	}
	if want := string(testutil.Recorded(t, "testdata/recorded/scenarios.txt")); names.String() != want {
		t.Errorf("got\n%s\nwant\n%s", names.String(), want)
	}
}

func TestReportsAsRecorded(t *testing.T) {
	for _, c := range []struct {
		file string
		into any
	}{
		{"clients.json", &fleettest.ClientsReport{}},
		{"conform.json", &fleettest.ConformanceReport{}},
		{"cost.json", &fleettest.CostReport{}},
		{"degrade.json", &fleettest.DegradationReport{}},
		{"gaps.json", &fleettest.LeaseGapsReport{}},
		{"lease.json", &fleettest.LeaseReport{}},
		{"members.json", &fleettest.MembersReport{}},
		{"peers.json", &fleettest.PeersReport{}},
		{"sight.json", &fleettest.Report{}},
		{"still-short.json", &fleettest.Report{}},
		{"still.json", &fleettest.PauseReport{}},
		{"takeover.json", &fleettest.TakeoverReport{}},
		{"times.json", &fleettest.StartStopReport{}},
		{"wave-permits.json", &fleettest.Report{}},
	} {
		t.Run(c.file, func(t *testing.T) {
			testutil.CheckRecordedJSON(t, "testdata/recorded/"+c.file, c.into, " ")
		})
	}
}

// TestExitCodesAsRecorded checks the exit codes of the commands in exit-codes.txt. Each line of the file has an exit
// code and the arguments of a command that ends before it starts a fleet.
func TestExitCodesAsRecorded(t *testing.T) {
	lines := bufio.NewScanner(bytes.NewReader(testutil.Recorded(t, "testdata/recorded/exit-codes.txt")))
	for lines.Scan() {
		text, args, _ := strings.Cut(lines.Text(), "\t")
		want, err := strconv.Atoi(text)
		if err != nil {
			t.Fatal(err)
		}
		cmd := exec.Command(filepath.Join(bin, "fleettest"), strings.Fields(args)...)
		out, _ := cmd.CombinedOutput()
		if got := cmd.ProcessState.ExitCode(); got != want {
			t.Errorf("%s: exit %d, want %d: %s", args, got, want, out)
		}
	}
}

// number matches the value of a statistic that is a number.
var number = regexp.MustCompile(`^-?\d+(\.\d+)?$`)

// readStats requests the statistics of the proxy at an address, and returns the answers with each number replaced by N.
func readStats(t *testing.T, address string) string {
	t.Helper()
	socket, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	defer socket.Close()
	socket.SetDeadline(time.Now().Add(testutil.Timeout))
	in := bufio.NewReader(socket)
	var text strings.Builder
	for _, command := range []string{"stats", "stats service", "stats nothing", "stats a b"} {
		fmt.Fprintf(socket, "%s\r\n", command)
		fmt.Fprintf(&text, "> %s\n", command)
		for more := true; more; {
			line, err := in.ReadString('\n')
			if err != nil {
				t.Fatal(err)
			}
			words := strings.Split(strings.TrimSuffix(line, "\r\n"), " ")
			if last := len(words) - 1; number.MatchString(words[last]) {
				words[last] = "N"
			}
			text.WriteString(strings.Join(words, " ") + "\n")
			more = words[0] == "STAT"
		}
	}
	return text.String()
}

// write sends one write through a proxy and waits for its receipt.
func write(t *testing.T, address string) {
	t.Helper()
	socket, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	defer socket.Close()
	socket.SetDeadline(time.Now().Add(testutil.Timeout))
	fmt.Fprint(socket, "ms order 2 O1 Pc=write,k=1\r\nhi\r\n")
	if line, err := bufio.NewReader(socket).ReadString('\n'); !strings.HasPrefix(line, "HD O1") {
		t.Fatalf("answered %q, %v", line, err)
	}
}

func TestStatsAsRecorded(t *testing.T) {
	fleet := runFleet(t)
	defer fleet.interrupt(t)
	address := fleet.proxies[0]
	write(t, address)
	// Some statistics appear only once the proxy has sampled its own load and has executed a request.
	testutil.WaitUntil(t, "all figures", func() bool {
		text := readStats(t, address)
		return strings.Contains(text, "STAT service_memory ") && strings.Contains(text, "STAT service_late_handovers ")
	})
	if got, want := readStats(t, address), string(testutil.Recorded(t, "testdata/recorded/stats.txt")); got != want {
		t.Errorf("got\n%s\nwant\n%s", got, want)
	}
}
