package logger_test

import (
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"testing"
)

const (
	root       = "../.."
	operations = root + "/docs/OPERATIONS.md"
	// heading is the first column's of the table of lines.
	heading = "msg"
)

// eachSource parses the sources of the daemons, tests excepted, one file after the other.
func eachSource(t *testing.T, visit func(path string, set *token.FileSet, file *ast.File)) {
	t.Helper()
	err := filepath.WalkDir(root, func(path string, entry fs.DirEntry, err error) error {
		switch {
		case err != nil:
			return err
		case entry.IsDir() && strings.HasPrefix(entry.Name(), ".") && path != root:
			return fs.SkipDir
		case !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go"):
			return nil
		}
		set := token.NewFileSet()
		file, err := parser.ParseFile(set, path, nil, parser.SkipObjectResolution)
		if err == nil {
			visit(path, set, file)
		}
		return err
	})
	if err != nil {
		t.Fatal(err)
	}
}

// linesOfSource returns the messages that the daemons log, with one place each.
func linesOfSource(t *testing.T) map[string]string {
	t.Helper()
	lines := map[string]string{}
	eachSource(t, func(_ string, set *token.FileSet, file *ast.File) {
		ast.Inspect(file, func(n ast.Node) bool {
			if message, ok := messageOf(n); ok {
				lines[message] = set.Position(n.Pos()).String()
			}
			return true
		})
	})
	return lines
}

// messageOf returns the message of a call of a logger's method.
func messageOf(n ast.Node) (string, bool) {
	call, ok := n.(*ast.CallExpr)
	if !ok || len(call.Args) == 0 {
		return "", false
	}
	method, ok := call.Fun.(*ast.SelectorExpr)
	if !ok {
		return "", false
	}
	switch method.Sel.Name {
	case "Debug", "Info", "Warn", "Error":
	default:
		return "", false
	}
	literal, ok := call.Args[0].(*ast.BasicLit)
	if !ok || literal.Kind != token.STRING {
		return "", false
	}
	message, err := strconv.Unquote(literal.Value)
	return message, err == nil
}

// TestLinesAreDocumented compares the messages in the sources with the tables of
// OPERATIONS.md: an engineer on call finds each line that a process may write,
// and none that no process writes.
func TestLinesAreDocumented(t *testing.T) {
	text, err := os.ReadFile(operations)
	if err != nil {
		t.Fatal(err)
	}
	_, section, found := strings.Cut(string(text), "\n## Logs\n")
	if !found {
		t.Fatalf("%s has no section on logs", operations)
	}
	documented := map[string]bool{}
	for _, row := range regexp.MustCompile(`(?m)^\| ([^|]+) \|`).FindAllStringSubmatch(section, -1) {
		for _, message := range regexp.MustCompile("`([^`]+)`").FindAllStringSubmatch(row[1], -1) {
			documented[message[1]] = true
		}
	}
	delete(documented, heading)
	lines := linesOfSource(t)
	for message, place := range lines {
		if !documented[message] {
			t.Errorf("%s: %q is not in %s", place, message, operations)
		}
	}
	for message := range documented {
		if lines[message] == "" {
			t.Errorf("%q is documented, and no process writes it", message)
		}
	}
}
