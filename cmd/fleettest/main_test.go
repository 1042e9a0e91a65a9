package main

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"testing"
	"time"

	"mulleinpier/internal/fleettest"
	"mulleinpier/internal/overload"
)

// bin is the directory in which TestMain builds the programs.
var bin string

func TestMain(m *testing.M) {
	folder, err := os.MkdirTemp("", "fleettest-test-")
	if err == nil {
		bin = folder
		var out []byte
		build := exec.Command("go", "build", "-o", bin, "mulleinpier/cmd/mulleinpier", "mulleinpier/cmd/fleettest")
		if out, err = build.CombinedOutput(); err != nil {
			err = fmt.Errorf("%w: %s", err, out)
		}
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
	code := m.Run()
	os.RemoveAll(folder)
	os.Exit(code)
}

// runFleetTest runs the program until it exits, and returns its output, its exit code and its report.
func runFleetTest(t *testing.T, args ...string) (string, int, fleettest.Report) {
	t.Helper()
	ctx, stop := context.WithTimeout(context.Background(), 5*time.Minute)
	defer stop()
	path := filepath.Join(t.TempDir(), "report.json")
	args = append([]string{args[0], "--quiet", "--json", path}, args[1:]...) // a --json in args overrides this one
	cmd := exec.CommandContext(ctx, filepath.Join(bin, "fleettest"), args...)
	out, err := cmd.CombinedOutput()
	if cmd.ProcessState == nil {
		t.Fatal(err)
	}
	var report fleettest.Report
	if text, err := os.ReadFile(path); err == nil {
		if err := json.Unmarshal(text, &report); err != nil {
			t.Error(err)
		}
	}
	return string(out), cmd.ProcessState.ExitCode(), report
}

// lastLine returns the last line of an output.
func lastLine(out string) string {
	lines := strings.Split(strings.TrimSpace(out), "\n")
	return lines[len(lines)-1]
}

var verdict = regexp.MustCompile(`^verdict: (ok|BROKEN) requests=(\d+) lost=(\d+) doubled=(\d+) ` +
	`late_drains=(\d+) crashes=(\d+)( stopped=\d+)?$`)

// TestRulesHold checks that the rules hold while real processes are restarted, reloaded and killed and the services
// around them fail, and that the report counts all restarts and reloads.
func TestRulesHold(t *testing.T) {
	for _, c := range []struct {
		name              string
		args              []string
		restarts, reloads int
	}{
		{"wave in short", []string{"wave", "--short"}, 18, 60},
		{"wave in short, both dialects", []string{"wave", "--short", "--binary"}, 18, 60},
		{"wave by permits of the fleet, in short", []string{"wave", "--permits", "--short"}, 6, 0},
		{"Consul agents that fail", []string{"play", "consul-short"}, 0, 0},
		{"reloads", []string{"play", "reload"}, 4, 80},
		{"all twenty at once", []string{"play", "storm"}, 40, 20},
		{"paused processes", []string{"still", "--short"}, 1, 1},
		{"nodes that fail in every way", []string{"play", "faults"}, 6, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			out, code, r := runFleetTest(t, c.args...)
			got := verdict.FindStringSubmatch(lastLine(out))
			if code != 0 || got == nil || got[1] != "ok" {
				t.Fatalf("exit %d:\n%s", code, out)
			}
			if n, _ := strconv.Atoi(got[2]); n < 1000 {
				t.Errorf("only %d requests were sent", n)
			}
			if r.Restarts != c.restarts || r.Reloads != c.reloads {
				t.Errorf("%d restarts and %d reloads, want %d and %d", r.Restarts, r.Reloads, c.restarts, c.reloads)
			}
		})
	}
}

// TestLease checks that no two actions overlap at a resource that checks fencing tokens while eight processes compete
// for one task under faults.
func TestLease(t *testing.T) {
	out, code, _ := runFleetTest(t, "lease", "--short", "--json", filepath.Join(t.TempDir(), "report.json"))
	want := regexp.MustCompile(`^verdict: ok acts=\d{2,} overlaps=0 backward=0 lost=0 doubled=0 crashes=0$`)
	if code != 0 || !want.MatchString(lastLine(out)) {
		t.Fatalf("exit %d:\n%s", code, out)
	}
}

// TestPeers checks that in a fleet of five members no live member is reported dead, and every death is detected by all
// other members.
func TestPeers(t *testing.T) {
	path := filepath.Join(t.TempDir(), "report.json")
	out, code, _ := runFleetTest(t, "peers", "--instances", "5", "--times", "1", "--json", path)
	if code != 0 || lastLine(out) != "verdict: ok instances=5 false=0 missed=0" {
		t.Fatalf("exit %d:\n%s", code, out)
	}
}

// TestDegrade checks two simultaneous overloads, without and with degradation levels: the rules hold, every proxy with
// levels changes its level and records a cause, and no proxy without levels changes its level.
func TestDegrade(t *testing.T) {
	path := filepath.Join(t.TempDir(), "report.json")
	out, code, _ := runFleetTest(t, "degrade", "--short", "--json", path)
	if code != 0 || !strings.HasSuffix(out, "verdict: ok scenarios=1\n") {
		t.Fatalf("exit %d:\n%s", code, out)
	}
	text, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	var report fleettest.DegradationReport
	if err := json.Unmarshal(text, &report); err != nil {
		t.Fatal(err)
	}
	for _, list := range report.Pairs[0].WithoutLevels.LevelChanges {
		if len(list) > 0 {
			t.Errorf("without levels: %+v", list)
		}
	}
	for i, list := range report.Pairs[0].WithLevels.LevelChanges {
		if len(list) == 0 || list[0].Level == overload.Full {
			t.Errorf("proxy %d with levels: %+v", i, list)
		}
		for _, c := range list {
			if c.Cause == "" || c.At < 0 {
				t.Errorf("proxy %d: %+v", i, c)
			}
		}
	}
}

// TestConformance checks that the conformance suite passes with both dialects of clients and of nodes.
func TestConformance(t *testing.T) {
	if out, code, _ := runFleetTest(t, "conform"); code != 0 || !strings.HasSuffix(out, "verdict: ok, 140 played\n") {
		t.Errorf("exit %d:\n%s", code, out)
	}
}

// TestPlantedDefectsAreDetected checks that each planted defect is detected exactly as often as it was injected, and
// that nothing is reported without one. A checker that accepts everything would let the other tests pass.
func TestPlantedDefectsAreDetected(t *testing.T) {
	injected := regexp.MustCompile(`injected=(\d+)`)
	for fault, count := range map[string]func(fleettest.Report) int{
		"none": func(r fleettest.Report) int {
			return r.Lost + r.DuplicateWrites + r.LateDrains + r.Crashes + r.WrongAnswers
		},
		"lose":   func(r fleettest.Report) int { return r.Lost },
		"double": func(r fleettest.Report) int { return r.DuplicateWrites },
		"drain":  func(r fleettest.Report) int { return r.LateDrains },
	} {
		t.Run(fault, func(t *testing.T) {
			t.Parallel()
			keep := t.TempDir()
			out, code, r := runFleetTest(t, "sight", "--fault", fault, "--every", "100", "--keep", keep)
			injectedCount := 0
			for i := range r.Proxies {
				log, err := os.ReadFile(filepath.Join(keep, fmt.Sprintf("p%d.log", i)))
				if err != nil {
					t.Fatal(err)
				}
				for _, m := range injected.FindAllStringSubmatch(string(log), -1) {
					n, _ := strconv.Atoi(m[1])
					injectedCount += n
				}
			}
			want := 1
			if fault == "none" {
				want = 0
			} else if injectedCount == 0 {
				t.Fatalf("the defect was never injected:\n%s", out)
			}
			all := r.Lost + r.DuplicateWrites + r.LateDrains + r.Crashes + r.WrongAnswers
			if code != want || count(r) != injectedCount || all != injectedCount {
				t.Errorf("exit %d, %d breaches of the kind and %d in all; %d were injected:\n%s",
					code, count(r), all, injectedCount, out)
			}
		})
	}
}

// TestLibraryClients checks clients of both kinds while one proxy of four restarts, then the only one: clients that use
// the library lose nothing, write nothing twice and need at most 1.2 tries per request. How evenly the clients
// reconnect is not checked here.
func TestLibraryClients(t *testing.T) {
	path := filepath.Join(t.TempDir(), "report.json")
	args := []string{"clients", "--short", "--quiet", "--tills", "300", "--json", path}
	out, _ := exec.Command(filepath.Join(bin, "fleettest"), args...).CombinedOutput()
	var report fleettest.ClientsReport
	text, err := os.ReadFile(path)
	if err == nil {
		err = json.Unmarshal(text, &report)
	}
	if err != nil || len(report.Runs) != 3 {
		t.Fatalf("%v: %s", err, out)
	}
	for _, p := range report.Runs {
		if p.Crashes > 0 || p.DuplicateWrites["library"] > 0 {
			t.Errorf("%s: %d crashes, doubled %v: %q", p.Name, p.Crashes, p.DuplicateWrites, p.Problems)
		}
		for _, r := range p.Results {
			served := 0
			for _, f := range r.Phases {
				served += f.InTime + f.Late
				if r.Kind == "library" && (f.Lost > 0 || f.TriesPerRequest() > 1.2) {
					t.Errorf("%s: %+v: %q", p.Name, f, r.LostSamples)
				}
			}
			if served == 0 {
				t.Errorf("%s: nothing was served to %s", p.Name, r.Kind)
			}
		}
	}
}

// TestMeasurementsMeasure checks that the commands cost and times print their results. The runs are too short for the
// figures to mean anything.
func TestMeasurementsMeasure(t *testing.T) {
	out, code, _ := runFleetTest(t, "cost", "--runs", "1", "--requests", "2000")
	if code != 0 || strings.Count(out, " connections ") != 3 || !strings.Contains(out, "% ") {
		t.Errorf("cost: exit %d:\n%s", code, out)
	}
	if out, code, _ = runFleetTest(t, "times", "--runs", "1"); code != 0 || !strings.Contains(out, "exec to ready") {
		t.Errorf("times: exit %d:\n%s", code, out)
	}
}

func TestBadUsageIsReported(t *testing.T) {
	bad := filepath.Join(t.TempDir(), "bad.toml")
	if err := os.WriteFile(bad, []byte("about = \"x\"\ncolour = 1\n[[phase]]\nfor = \"1s\"\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	for _, args := range [][]string{
		{}, {"dance"}, {"play"}, {"play", "none"}, {"play", bad}, {"wave", "more"}, {"sight", "--fault", "odd"},
		{"cost", "--runs", "0"}, {"wave", "--colour"}, {"wave", "--program", "/none"}, {"up", "--scenario", "none"},
		{"still", "--at", "13"}, {"still", "--beside", "0"},
	} {
		cmd := exec.Command(filepath.Join(bin, "fleettest"), args...)
		out, _ := cmd.CombinedOutput()
		if code := cmd.ProcessState.ExitCode(); code != 2 || !strings.HasPrefix(string(out), "fleettest: bad usage: ") {
			t.Errorf("%q: exit %d: %s", args, code, out)
		}
	}
	for flag, want := range map[string]string{"--list": "wave-short ", "--help": "Paused processes"} {
		out, err := exec.Command(filepath.Join(bin, "fleettest"), flag).Output()
		if err != nil || !strings.Contains(string(out), want) {
			t.Errorf("%s: %v: %s", flag, err, out)
		}
	}
}
