package doccheck

import (
	"bufio"
	"flag"
	"fmt"
	"go/doc"
	"go/parser"
	"go/token"
	"io/fs"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"
)

var update = flag.Bool("update", false, "print the lines that the pages should have instead of comparing")

// TestReadmeListsEachPackage checks that the README has one line for each package: its path and the first sentence of
// its package comment.
func TestReadmeListsEachPackage(t *testing.T) {
	want := packageLines(t)
	if *update {
		fmt.Println(strings.Join(want, "\n"))
		return
	}
	got := linesWithPrefix(t, filepath.Join(root, "README.md"), "- `")
	for _, line := range want {
		if !slices.Contains(got, line) {
			t.Errorf("README.md lacks the line\n%s", line)
		}
	}
	for _, line := range got {
		if !slices.Contains(want, line) {
			t.Errorf("README.md has a line that matches no package and its package comment:\n%s", line)
		}
	}
}

// packageLines returns the line that the README must have for each package with non-test files, sorted by path.
func packageLines(t *testing.T) (lines []string) {
	t.Helper()
	comments := map[string]string{}
	for _, path := range goFiles(t) {
		file, err := parser.ParseFile(token.NewFileSet(), path, nil, parser.ParseComments|parser.PackageClauseOnly)
		if err != nil {
			t.Fatal(err)
		}
		dir := filepath.ToSlash(filepath.Dir(strings.TrimPrefix(path, root+"/")))
		if file.Doc != nil {
			comments[dir] = new(doc.Package).Synopsis(file.Doc.Text())
		} else if _, seen := comments[dir]; !seen {
			comments[dir] = ""
		}
	}
	for dir, comment := range comments {
		if comment == "" {
			t.Errorf("package %s has no package comment", dir)
		}
		lines = append(lines, fmt.Sprintf("- `%s`: %s", dir, comment))
	}
	slices.Sort(lines)
	return lines
}

// goFiles returns the paths of all Go files in client, cmd, internal and policy, without test files.
func goFiles(t *testing.T) (paths []string) {
	t.Helper()
	for _, dir := range []string{"client", "cmd", "internal", "policy"} {
		err := filepath.WalkDir(filepath.Join(root, dir), func(path string, _ fs.DirEntry, err error) error {
			if err != nil {
				return err
			}
			if strings.HasSuffix(path, ".go") && !strings.HasSuffix(path, "_test.go") {
				paths = append(paths, path)
			}
			return nil
		})
		if err != nil {
			t.Fatal(err)
		}
	}
	return paths
}

func linesWithPrefix(t *testing.T, path, prefix string) (lines []string) {
	t.Helper()
	file, err := os.Open(path)
	if err != nil {
		t.Fatal(err)
	}
	defer file.Close()
	scanner := bufio.NewScanner(file)
	for scanner.Scan() {
		if strings.HasPrefix(scanner.Text(), prefix) {
			lines = append(lines, scanner.Text())
		}
	}
	if err := scanner.Err(); err != nil {
		t.Fatal(err)
	}
	return lines
}
