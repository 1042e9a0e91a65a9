package fleettest

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// TestBuiltInScenariosAreGood checks that every built-in scenario can be loaded, has a description and is listed.
func TestBuiltInScenariosAreGood(t *testing.T) {
	files, err := os.ReadDir("scenarios")
	if err != nil || len(files) == 0 {
		t.Fatal(err)
	}
	for _, file := range files {
		name := strings.TrimSuffix(file.Name(), ".toml")
		if s, err := LoadScenario(name); err != nil || s.Description == "" {
			t.Errorf("%s: %v", name, err)
		}
	}
	if n := len(BuiltInScenarios()); n != len(files) {
		t.Errorf("%d listed of %d", n, len(files))
	}
}

func TestBadScenarioIsNamed(t *testing.T) {
	const phase = "[[phase]]\nname = \"p\"\nfor = \"1s\"\n"
	for _, c := range []struct{ text, want string }{
		{"", "there is no phase"},
		{phase + "colour = 1\n", "unknown key"},
		{"[fleet]\nproxies = 0\n" + phase, "fleet.proxies cannot be 0"},
		{"[fleet]\nnodes = 2000\n" + phase, "fleet.nodes cannot be 2000"},
		{"[load]\nrate = -1\n" + phase, "load.rate cannot be -1"},
		{"[load]\nskew = 1.0\n" + phase, "want skew above 1"},
		{"[[phase]]\nfor = \"-1s\"\n", "is negative"},
		{phase + "[[event]]\ndo = \"dance\"\n", `unknown action "dance"`},
		{phase + "[[event]]\ndo = \"wave\"\nmode = \"odd\"\n", `unknown mode "odd"`},
		{phase + "[[event]]\ndo = \"kill\"\nproxy = 3\n", "there is no proxy 3"},
		{phase + "[[event]]\ndo = \"fault\"\nkind = \"odd\"\n", `no fault is named "odd"`},
		{phase + "[[event]]\ndo = \"kill\"\nat = \"2s\"\n", "at is later than the end of the last phase"},
	} {
		path := filepath.Join(t.TempDir(), "s.toml")
		if err := os.WriteFile(path, []byte(c.text), 0o600); err != nil {
			t.Fatal(err)
		}
		if _, err := LoadScenario(path); err == nil || !strings.Contains(err.Error(), c.want) {
			t.Errorf("%q: %v, want %q", c.text, err, c.want)
		}
	}
}

// TestVerdictNamesEachBreach checks the counts in the last line of a report, and that each kind of breach of the rules
// makes it BROKEN. A breach that the verdict left out would pass unnoticed.
func TestVerdictNamesEachBreach(t *testing.T) {
	const ok = "verdict: ok requests=5 lost=0 doubled=0 late_drains=0 crashes=0"
	if r := (&Report{Requests: 5}); !r.OK() || r.Verdict() != ok {
		t.Error(r.Verdict())
	}
	for _, r := range []Report{
		{Lost: 1}, {DuplicateWrites: 1}, {LateDrains: 1}, {Crashes: 1}, {WrongAnswers: 1}, {CollapsedNodes: 1},
	} {
		if r.OK() || !strings.HasPrefix(r.Verdict(), "verdict: BROKEN ") {
			t.Errorf("%+v passes", r)
		}
	}
}
