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

// writeFile writes a file in a temporary directory of its own and returns its path.
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

// TestDefaultsOfMinimalFile guards the defaults: a file of three lines is a valid configuration.
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

// TestExampleIsValid guards against a commented example that no longer matches the keys that are read.
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

// TestNodeFileIsPartOfConfiguration guards against accepting a configuration whose node file is invalid.
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

// TestHalfWrittenFileIsNotApplied guards against a reload that applies a partially written file: its first half is
// valid, but lacks a class.
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

// FuzzRead guards against files that crash Read, and against files that Read accepts but package policy rejects.
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
