package main

import (
	"debug/elf"
	"errors"
	"io"
	"os"
	"os/exec"
	"path/filepath"
	"runtime"
	"strings"
	"testing"

	"github.com/BurntSushi/toml"

	"mulleinpier/internal/daemon"
)

// The platform loads a library of its own into the program, which only the C library's
// loader does: the program needs an interpreter entry, and `run` ends in it by exec.
func TestDeployBuildsForTheLoader(t *testing.T) {
	if runtime.GOOS != "linux" {
		t.Skip("the platform is Linux")
	}
	var deploy struct{ Build, Run string }
	if _, err := toml.DecodeFile("../../deploy/balancer.toml", &deploy); err != nil {
		t.Fatal(err)
	}
	program, isExec := strings.CutPrefix(deploy.Run, "exec ")
	if program = strings.Fields(program)[0]; !isExec {
		t.Fatalf("run does not begin with exec: %q", deploy.Run)
	}
	// The very line, in a tree of its own: links lead to all it reads, so that bin/ is new.
	root, err := filepath.Abs("../..")
	if err != nil {
		t.Fatal(err)
	}
	entries, err := os.ReadDir(root)
	if err != nil {
		t.Fatal(err)
	}
	work := t.TempDir()
	for _, e := range entries {
		if e.Name() == "bin" || strings.HasPrefix(e.Name(), ".") {
			continue
		}
		if err := os.Symlink(filepath.Join(root, e.Name()), filepath.Join(work, e.Name())); err != nil {
			t.Fatal(err)
		}
	}
	// The tool chain does not follow links to folders in patterns, so cmd and what it
	// imports are copied.
	for _, folder := range []string{"client", "cmd", "internal", "policy"} {
		if err := os.Remove(filepath.Join(work, folder)); err != nil {
			t.Fatal(err)
		}
		if err := os.CopyFS(filepath.Join(work, folder), os.DirFS(filepath.Join(root, folder))); err != nil {
			t.Fatal(err)
		}
	}
	build := exec.Command("/bin/sh", "-c", deploy.Build)
	build.Dir = work
	if text, err := build.CombinedOutput(); err != nil {
		t.Fatalf("build: %v\n%s", err, text)
	}
	file, err := elf.Open(filepath.Join(work, program))
	if err != nil {
		t.Fatal(err)
	}
	defer file.Close()
	for _, p := range file.Progs {
		if p.Type == elf.PT_INTERP {
			return
		}
	}
	t.Fatalf("%s has no interpreter entry: it is linked statically", program)
}

// Counting and levels of service would each take the other's samples.
func TestCountsAndReduceExcludeEachOther(t *testing.T) {
	err := run([]string{"platform", "--reduce", "--counts"}, io.Discard, daemon.Options{Getenv: func(string) string { return "" }})
	if !errors.Is(err, errUsage) {
		t.Errorf("error %v, want one of usage", err)
	}
}

// TestHelpIsNoError guards the words that operators try first.
func TestHelpIsNoError(t *testing.T) {
	for _, args := range [][]string{{"--help"}, {"serve", "--help"}} {
		var out strings.Builder
		err := run(args, &out, daemon.Options{Log: io.Discard, Getenv: func(string) string { return "" }})
		if err != nil || !strings.Contains(out.String(), "Usage: mulleinpier") {
			t.Errorf("%q: %v: %s", args, err, out.String())
		}
	}
}
