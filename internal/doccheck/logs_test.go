package doccheck

import (
	"fmt"
	"go/ast"
	"go/parser"
	"go/token"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"testing"
)

// logPage is the page with a row for each log line of the programs at level info and above:
// | level | message | attributes | what it means | what to do |
const logPage = "docs/operators/logs.md"

// levels maps the methods of a logger to the names of the levels on the page.
var levels = map[string]string{"Info": "info", "Warn": "warn", "Error": "error"}

// TestLogPageMatchesCode checks that the page lists exactly the log lines at level info and above, each with its level
// and its attributes.
func TestLogPageMatchesCode(t *testing.T) {
	want := loggedLines(t)
	if *update {
		fmt.Println(strings.Join(want, "\n"))
		return
	}
	var got []string
	for _, row := range linesWithPrefix(t, filepath.Join(root, logPage), "| ") {
		cells := strings.Split(row, " | ")
		if len(cells) != 5 {
			t.Errorf("%s: not five cells: %s", logPage, row)
			continue
		}
		if level := strings.TrimPrefix(cells[0], "| "); level != "level" && level != "---" {
			got = append(got, fmt.Sprintf("| %s | %s | %s", level, cells[1], cells[2]))
		}
	}
	for _, line := range want {
		if !slices.Contains(got, line) {
			t.Errorf("%s lacks a row that begins\n%s", logPage, line)
		}
	}
	for _, line := range got {
		if !slices.Contains(want, line) {
			t.Errorf("%s has a row of no log line of the code:\n%s", logPage, line)
		}
	}
}

// loggedLines returns the first three cells of the row that the page must have for each log line of the code.
func loggedLines(t *testing.T) (lines []string) {
	t.Helper()
	for _, path := range goFiles(t) {
		files := token.NewFileSet()
		file, err := parser.ParseFile(files, path, nil, 0)
		if err != nil {
			t.Fatal(err)
		}
		ast.Inspect(file, func(node ast.Node) bool {
			if call, ok := node.(*ast.CallExpr); ok {
				lines = append(lines, loggedLine(t, files, call)...)
			}
			return true
		})
	}
	slices.Sort(lines)
	return slices.Compact(lines)
}

// loggedLine returns the first three cells of the row that the page must have for a call that logs, and nil for any
// other call.
func loggedLine(t *testing.T, files *token.FileSet, call *ast.CallExpr) []string {
	t.Helper()
	level, ok := logLevel(call)
	if !ok {
		return nil
	}
	message, keys := "", ""
	if event, ok := call.Args[0].(*ast.CompositeLit); ok {
		message, keys = describedEvent(t, event)
	} else {
		message, keys = logMessage(t, files, call), attributes(t, files, call)
	}
	return []string{fmt.Sprintf("| %s | `%s` | %s", level, message, keys)}
}

// describedEvent returns the message and the attribute keys of an event of package eventlog that is logged as a
// warning. The message and the keys are the string literals in the first method of the event's type.
func describedEvent(t *testing.T, event *ast.CompositeLit) (message, keys string) {
	t.Helper()
	name := event.Type.(*ast.SelectorExpr).Sel.Name
	file, err := parser.ParseFile(token.NewFileSet(), filepath.Join(root, "internal/eventlog/events.go"), nil, 0)
	if err != nil {
		t.Fatal(err)
	}
	for _, declaration := range file.Decls {
		method, ok := declaration.(*ast.FuncDecl)
		if !ok || method.Recv == nil || method.Recv.List[0].Type.(*ast.Ident).Name != name {
			continue
		}
		var texts []string
		ast.Inspect(method, func(node ast.Node) bool {
			if expression, ok := node.(ast.Expr); ok {
				if text, ok := literal(expression); ok {
					texts = append(texts, text)
				}
			}
			return true
		})
		return texts[0], "`" + strings.Join(texts[1:], "`, `") + "`"
	}
	t.Fatalf("event %s is not described", name)
	return "", ""
}

// loggerSuffixes are the suffixes, in lower case, of the names of fields and variables that log: loggers and the event
// recorder.
var loggerSuffixes = []string{"log", "logger", "recorder"}

// logLevel returns the level at which a call logs. ok is false if the call does not log at level info or above.
func logLevel(call *ast.CallExpr) (level string, ok bool) {
	method, isMethod := call.Fun.(*ast.SelectorExpr)
	if !isMethod {
		return "", false
	}
	var receiver string
	switch x := method.X.(type) {
	case *ast.Ident:
		receiver = x.Name
	case *ast.SelectorExpr:
		receiver = x.Sel.Name
	}
	isLogger := slices.ContainsFunc(loggerSuffixes, func(suffix string) bool {
		return strings.HasSuffix(strings.ToLower(receiver), suffix)
	})
	level, ok = levels[method.Sel.Name]
	return level, ok && isLogger
}

func logMessage(t *testing.T, files *token.FileSet, call *ast.CallExpr) string {
	t.Helper()
	text, ok := literal(call.Args[0])
	if !ok {
		t.Errorf("%v: the message of a log line is not written out", files.Position(call.Pos()))
	}
	return text
}

// attributes returns the keys of a log line's attributes in the format of the page.
func attributes(t *testing.T, files *token.FileSet, call *ast.CallExpr) string {
	t.Helper()
	var keys []string
	for i := 1; i < len(call.Args); i += 2 {
		key, ok := literal(call.Args[i])
		if !ok {
			t.Errorf("%v: the key of an attribute is not written out", files.Position(call.Args[i].Pos()))
		}
		keys = append(keys, "`"+key+"`")
	}
	if len(keys) == 0 {
		return "none"
	}
	return strings.Join(keys, ", ")
}

func literal(expression ast.Expr) (text string, ok bool) {
	written, ok := expression.(*ast.BasicLit)
	if !ok || written.Kind != token.STRING {
		return "", false
	}
	text, err := strconv.Unquote(written.Value)
	return text, err == nil
}
