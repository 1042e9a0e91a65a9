// Package doccheck tests that the documentation matches the code. It contains only tests.
package doccheck

import (
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"os"
	"path"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
)

// root is the path of the repository relative to this package.
const root = "../.."

// pageDirs are the directories of the pages that must match the current code. Incident reports are excluded: they stay
// as they were written.
var pageDirs = []string{"docs/design", "docs/operators"}

// singlePages are other pages that must match the current code.
var singlePages = []string{"README.md", "CONTRIBUTING.md", "docs/ARCHITECTURE.md"}

var (
	codeSpan   = regexp.MustCompile("`([^`\n]+)`")
	testName   = regexp.MustCompile(`^(Test|Fuzz|Benchmark)[A-Z]\w*$`)
	sourceFile = regexp.MustCompile(`^([a-z]+/)*[a-z_]+\.go$`)
	otherFile  = regexp.MustCompile(`\.(md|toml|json|txt)$`)
	identifier = regexp.MustCompile(`^((?:[a-z]+/)*[a-z]+)\.([A-Za-z]\w*)(?:\.([A-Za-z]\w*))?$`)
)

// TestPagesNameWhatExists checks that the tests, source files and identifiers in code spans of the pages exist.
func TestPagesNameWhatExists(t *testing.T) {
	declared := declaredNames(t)
	for _, page := range pages(t) {
		text, err := os.ReadFile(filepath.Join(root, page))
		if err != nil {
			t.Fatal(err)
		}
		for i, line := range strings.Split(string(text), "\n") {
			for _, span := range codeSpan.FindAllStringSubmatch(line, -1) {
				if !declared.has(span[1]) {
					t.Errorf("%s:%d: nothing in the code is called %s", page, i+1, span[1])
				}
			}
		}
	}
}

// names are the names that the code declares.
type names struct {
	tests    map[string]bool
	files    map[string]bool            // paths relative to root
	packages map[string]map[string]bool // declared names of each package, by the last element of the package's path
}

// has reports whether the code span names something that is declared. It is also true for a span that is not a name in
// the code.
func (n *names) has(span string) bool {
	switch {
	case testName.MatchString(span):
		return n.tests[span]
	case sourceFile.MatchString(span):
		for file := range n.files {
			if file == span || strings.HasSuffix(file, "/"+span) {
				return true
			}
		}
		return false
	}
	parts := identifier.FindStringSubmatch(span)
	if parts == nil || otherFile.MatchString(span) || n.packages[path.Base(parts[1])] == nil {
		return true // not a name in the code: a configuration key, a word of a protocol or similar
	}
	declared := n.packages[path.Base(parts[1])]
	return declared[parts[2]] && (parts[3] == "" || declared[parts[3]])
}

func pages(t *testing.T) []string {
	t.Helper()
	found := singlePages
	for _, dir := range pageDirs {
		entries, err := os.ReadDir(filepath.Join(root, dir))
		if err != nil {
			t.Fatal(err)
		}
		for _, entry := range entries {
			found = append(found, path.Join(dir, entry.Name()))
		}
	}
	return found
}

func declaredNames(t *testing.T) *names {
	t.Helper()
	n := &names{tests: map[string]bool{}, files: map[string]bool{}, packages: map[string]map[string]bool{}}
	for _, dir := range []string{"client", "cmd", "internal", "policy"} {
		err := filepath.WalkDir(filepath.Join(root, dir), func(file string, _ fs.DirEntry, err error) error {
			if err != nil || !strings.HasSuffix(file, ".go") {
				return err
			}
			return n.addFile(filepath.ToSlash(strings.TrimPrefix(file, root+"/")))
		})
		if err != nil {
			t.Fatal(err)
		}
	}
	return n
}

func (n *names) addFile(file string) error {
	parsed, err := parser.ParseFile(token.NewFileSet(), filepath.Join(root, file), nil, 0)
	if err != nil {
		return err
	}
	n.files[file] = true
	packageName := path.Base(path.Dir(file))
	if n.packages[packageName] == nil {
		n.packages[packageName] = map[string]bool{}
	}
	ast.Inspect(parsed, func(node ast.Node) bool {
		switch node := node.(type) {
		case *ast.FuncDecl:
			n.packages[packageName][node.Name.Name] = true
			if strings.HasSuffix(file, "_test.go") && node.Recv == nil {
				n.tests[node.Name.Name] = true
			}
		case *ast.TypeSpec:
			n.packages[packageName][node.Name.Name] = true
		case *ast.ValueSpec:
			for _, name := range node.Names {
				n.packages[packageName][name.Name] = true
			}
		case *ast.Field:
			for _, name := range node.Names {
				n.packages[packageName][name.Name] = true
			}
		}
		return true
	})
	return nil
}
