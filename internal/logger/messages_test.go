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
	root           = "../.."
	operationsPage = root + "/docs/OPERATIONS.md"
	// headerCell is the first cell in the header of the tables of messages.
	headerCell = "msg"
)

// walkSources parses the Go files of the repository, except for tests and hidden
// folders, and visits each.
func walkSources(t *testing.T, visit func(path string, set *token.FileSet, file *ast.File)) {
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

// loggedMessages returns the messages in the sources, each with the position of a call
// that logs it.
func loggedMessages(t *testing.T) map[string]string {
	t.Helper()
	positions := map[string]string{}
	walkSources(t, func(_ string, set *token.FileSet, file *ast.File) {
		ast.Inspect(file, func(n ast.Node) bool {
			if message, ok := logMessage(n); ok {
				positions[message] = set.Position(n.Pos()).String()
			}
			return true
		})
	})
	return positions
}

// logMessage returns the message if n is a call of a logging method with a constant
// message.
func logMessage(n ast.Node) (string, bool) {
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

// TestMessagesAreDocumented checks that the tables in OPERATIONS.md list exactly the
// messages that the sources log, so that an engineer on call finds each of them there.
func TestMessagesAreDocumented(t *testing.T) {
	text, err := os.ReadFile(operationsPage)
	if err != nil {
		t.Fatal(err)
	}
	_, section, found := strings.Cut(string(text), "\n## Logs\n")
	if !found {
		t.Fatalf("%s has no section Logs", operationsPage)
	}
	documented := map[string]bool{}
	for _, row := range regexp.MustCompile(`(?m)^\| ([^|]+) \|`).FindAllStringSubmatch(section, -1) {
		for _, message := range regexp.MustCompile("`([^`]+)`").FindAllStringSubmatch(row[1], -1) {
			documented[message[1]] = true
		}
	}
	delete(documented, headerCell)
	logged := loggedMessages(t)
	for message, position := range logged {
		if !documented[message] {
			t.Errorf("%s: message %q is not in %s", position, message, operationsPage)
		}
	}
	for message := range documented {
		if logged[message] == "" {
			t.Errorf("message %q is documented but never logged", message)
		}
	}
}
