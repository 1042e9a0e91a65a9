package config

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"mulleinpier/policy"
)

// writeFile writes a file in a new temporary directory and returns its path.
func writeFile(t *testing.T, text string) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), "c.toml")
	overwrite(t, path, text)
	return path
}

func overwrite(t *testing.T, path, text string) {
	t.Helper()
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
}

// TestDefaultsOfMinimalFile checks that a file of three lines, with an address and two nodes, is a valid configuration,
// and that the other settings have their defaults.
func TestDefaultsOfMinimalFile(t *testing.T) {
	const file = "listen = \"127.0.0.1:11211\"\n[nodes]\naddresses = [\"127.0.0.1:1\", \"127.0.0.1:2\"]\n"
	c, err := Read(writeFile(t, file))
	if err != nil {
		t.Fatal(err)
	}
	p := c.Proxy
	addresses := p.ListSources[0].StaticAddresses
	if p.Listen != "127.0.0.1:11211" || addresses != "127.0.0.1:1,127.0.0.1:2" || len(p.InitialList.Endpoints) != 2 {
		t.Errorf("listens at %s for %v, knows %v", p.Listen, p.ListSources, p.InitialList)
	}
	if len(p.Policy.Classes) != 3 || p.Binary != nil {
		t.Fatalf("classes %+v, binary %+v", p.Policy.Classes, p.Binary)
	}
	write := p.Policy.Classes[1]
	if write.Idempotency != policy.IdempotentWithKey || write.DedupWindow != 1500*time.Millisecond {
		t.Errorf("class %+v", write)
	}
	if p.MemoryBytes != 64<<20 || p.MaxClients <= 0 || p.MaxInFlight <= 0 || p.Upstream.MaxPerNode != 4 {
		t.Errorf("limits %+v", p)
	}
	if _, err := policy.New(p.Policy, 1); err != nil {
		t.Errorf("policy rejects the defaults: %v", err)
	}
}

// TestExampleIsValid checks that the commented example in deploy/mulleinpier.toml is a valid configuration with classes
// and tenants, so that it cannot diverge from the keys that are read.
func TestExampleIsValid(t *testing.T) {
	c, err := Read("../../deploy/mulleinpier.toml")
	if err != nil {
		t.Fatal(err)
	}
	if len(c.Proxy.Policy.Classes) == 0 || len(c.Proxy.Policy.Tenants) == 0 {
		t.Error("the example shows no class or tenant")
	}
}

func TestAllErrorsAreReportedAtOnce(t *testing.T) {
	_, err := Read(writeFile(t, "listen = 7\nport = 1\n[limits]\nsockets = 1\n[log]\nlevel = 3\n"))
	if n := len(Errors(err)); n != 5 {
		t.Errorf("%d errors, want 5: %v", n, err)
	}
}

// invalidNodeFiles are the texts of node files that must be rejected.
var invalidNodeFiles = []string{
	"",
	"[[node]]\n",
	"[[node]]\naddress = \"h\"\n",
	"[[node]]\naddress = \"h:1\"\n[[node]]\naddress = \"h:1\"\n",
	"[[node]]\naddress = \"h:1\"\ncolour = 1\n",
	"[[node]]\naddress = \"h:1\"\nstatus = \"odd\"\n",
}

// TestNodeFileIsPartOfConfiguration checks that a configuration whose node file is invalid is rejected, and that the
// nodes of a valid node file are the initial list.
func TestNodeFileIsPartOfConfiguration(t *testing.T) {
	path := writeFile(t, "listen = \"h:1\"\n[nodes]\nfile = \"nodes.toml\"\n")
	nodes := filepath.Join(filepath.Dir(path), "nodes.toml")
	for _, text := range invalidNodeFiles {
		overwrite(t, nodes, text)
		if _, err := Read(path); err == nil || !strings.Contains(err.Error(), "nodes.file cannot be") {
			t.Errorf("node file %q: %v", text, err)
		}
	}
	overwrite(t, nodes,
		"[[node]]\naddress = \"h:1\"\n[[node]]\nname = \"b\"\naddress = \"h:2\"\nstatus = \"draining\"\n")
	c, err := Read(path)
	if err != nil {
		t.Fatal(err)
	}
	endpoints := fmt.Sprint(c.Proxy.InitialList.Endpoints)
	if !strings.Contains(endpoints, "{h:1 h:1") || !strings.Contains(endpoints, "{b h:2") {
		t.Errorf("knows %v", endpoints)
	}
}

// TestHalfWrittenFileIsNotApplied checks that ReadStable returns the complete file although its first half, which lacks
// a class, is valid, and that it fails if the file keeps changing or is removed.
func TestHalfWrittenFileIsNotApplied(t *testing.T) {
	const half = "listen = \"h:1\"\n[nodes]\naddresses = [\"h:1\"]\n[[class]]\nname = \"a\"\n"
	const complete = half + "[[class]]\nname = \"b\"\n"
	path := writeFile(t, half)
	if c, err := Read(path); err != nil || len(c.Proxy.Policy.Classes) != 1 {
		t.Fatalf("the first half is not valid: %v", err)
	}
	reads := 0
	c, err := ReadStable(path, func() {
		reads++
		if reads == 1 {
			overwrite(t, path, complete) // the writer completes the file between two reads
		}
	})
	if err != nil || len(c.Proxy.Policy.Classes) != 2 {
		t.Errorf("accepted after %d reads: %+v, %v", reads, c, err)
	}
	_, err = ReadStable(path, func() {
		reads++
		overwrite(t, path, complete+strings.Repeat("#", reads))
	})
	if err == nil || !strings.Contains(err.Error(), "is still being written") || reads > 2*maxStableReads {
		t.Errorf("a file that keeps changing: %v after %d reads", err, reads)
	}
	if _, err := ReadStable(path, func() { os.Remove(path) }); err == nil {
		t.Error("a file that was removed between two reads was accepted")
	}
}

// FuzzRead checks that Read returns a configuration that package policy accepts, or an error without a configuration,
// for any file.
func FuzzRead(f *testing.F) {
	f.Add("listen = \"127.0.0.1:0\"\n[nodes]\naddresses = [\"127.0.0.1:1\"]\n" +
		"[[class]]\nname = \"a\"\n[limits]\ncores = 2\n")
	f.Add("listen = 3\n[[tenant]]\nname = [1, {a = 1}]\n")
	f.Add("[nodes]\nfile = \"/\"\n")
	f.Fuzz(func(t *testing.T, text string) {
		c, err := Read(writeFile(t, text))
		if err != nil {
			if c != nil || len(Errors(err)) == 0 || err.Error() == "" {
				t.Fatalf("an error with a configuration or without a text: %v, %v", c, err)
			}
			return
		}
		if _, err := policy.New(c.Proxy.Policy, 1); err != nil {
			t.Fatalf("accepted, but policy rejects it: %v", err)
		}
	})
}
