package main

import (
	"debug/elf"
	"os"
	"os/exec"
	"path/filepath"
	"runtime"
	"strings"
	"testing"

	"github.com/BurntSushi/toml"
)

// TestDeployBuildHasInterpreter checks that the deployment's build line links the program dynamically, so that it has
// an interpreter entry (PT_INTERP), and that the run line execs the program. The platform loads a library of its own
// into the program, which only the C library's dynamic loader does, so a statically linked program would run without
// that library.
func TestDeployBuildHasInterpreter(t *testing.T) {
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
	work := linkTree(t)
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

// linkTree returns a temporary directory with links to or copies of all files that the build line reads, but without
// bin/.
func linkTree(t *testing.T) (work string) {
	t.Helper()
	root, err := filepath.Abs("../..")
	if err != nil {
		t.Fatal(err)
	}
	entries, err := os.ReadDir(root)
	if err != nil {
		t.Fatal(err)
	}
	work = t.TempDir()
	for _, e := range entries {
		if e.Name() == "bin" || strings.HasPrefix(e.Name(), ".") {
			continue
		}
		if err := os.Symlink(filepath.Join(root, e.Name()), filepath.Join(work, e.Name())); err != nil {
			t.Fatal(err)
		}
	}
	// The go command does not follow links to directories in patterns, so cmd and the packages that it imports are
	// copied.
	for _, dir := range []string{"client", "cmd", "internal", "policy"} {
		if err := os.Remove(filepath.Join(work, dir)); err != nil {
			t.Fatal(err)
		}
		if err := os.CopyFS(filepath.Join(work, dir), os.DirFS(filepath.Join(root, dir))); err != nil {
			t.Fatal(err)
		}
	}
	return work
}
