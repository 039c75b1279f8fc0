package logger_test

import (
	"go/ast"
	"go/token"
	"maps"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"testing"
)

type (
	// fieldSet is a set of the keys of log fields.
	fieldSet map[string]bool

	// packageSource holds the functions of a package by name and its log calls by message.
	packageSource struct {
		functions map[string]*ast.FuncDecl
		// elsewhere holds the functions of all packages that return log fields.
		elsewhere map[string]*ast.FuncDecl
		calls     map[string][]*ast.CallExpr
	}
)

// TestFieldsAreDocumented checks that OPERATIONS.md lists exactly the fields that each
// message has in the sources.
func TestFieldsAreDocumented(t *testing.T) {
	logged := loggedFields(t)
	for messages, documented := range documentedFields(t) {
		found := fieldSet{}
		for _, message := range strings.Split(messages, "\n") {
			maps.Copy(found, logged[message])
		}
		name := strings.ReplaceAll(messages, "\n", ", ")
		for key := range found {
			if !documented[key] {
				t.Errorf("%q has the field %q, which %s does not list", name, key, operationsPage)
			}
		}
		for key := range documented {
			if !found[key] {
				t.Errorf("%q is documented to have the field %q but does not", name, key)
			}
		}
	}
}

// documentedFields returns the fields of each row in the tables of messages. The keys
// are the messages of the rows, joined by newlines.
func documentedFields(t *testing.T) map[string]fieldSet {
	t.Helper()
	text, err := os.ReadFile(operationsPage)
	if err != nil {
		t.Fatal(err)
	}
	_, section, _ := strings.Cut(string(text), "\n## Logs\n")
	quoted := regexp.MustCompile("`([^`]+)`")
	out := map[string]fieldSet{}
	previous := fieldSet{}
	for _, row := range regexp.MustCompile(`(?m)^\| ([^|]+) \| [^|]* \| ([^|]*) \|$`).FindAllStringSubmatch(section, -1) {
		var messages []string
		for _, m := range quoted.FindAllStringSubmatch(row[1], -1) {
			messages = append(messages, m[1])
		}
		if len(messages) == 0 || messages[0] == headerCell {
			continue
		}
		fields := fieldSet{}
		// A row with "as above" also has the fields of the row before it.
		if strings.Contains(row[2], "as above") {
			maps.Copy(fields, previous)
		}
		for _, m := range quoted.FindAllStringSubmatch(row[2], -1) {
			fields[m[1]] = true
		}
		out[strings.Join(messages, "\n")] = fields
		previous = fields
	}
	return out
}

// loggedFields returns the fields of each message in the sources.
func loggedFields(t *testing.T) map[string]fieldSet {
	t.Helper()
	out := map[string]fieldSet{}
	for _, source := range parsePackages(t) {
		for message, calls := range source.calls {
			if out[message] == nil {
				out[message] = fieldSet{}
			}
			for _, call := range calls {
				for _, argument := range call.Args[1:] {
					source.collectKeys(argument, out[message], nil)
				}
			}
		}
	}
	return out
}

func parsePackages(t *testing.T) map[string]*packageSource {
	t.Helper()
	out, elsewhere := map[string]*packageSource{}, map[string]*ast.FuncDecl{}
	walkSources(t, func(path string, _ *token.FileSet, file *ast.File) {
		source := out[filepath.Dir(path)]
		if source == nil {
			source = &packageSource{functions: map[string]*ast.FuncDecl{}, elsewhere: elsewhere, calls: map[string][]*ast.CallExpr{}}
			out[filepath.Dir(path)] = source
		}
		source.add(file)
	})
	return out
}

func (p *packageSource) add(file *ast.File) {
	ast.Inspect(file, func(n ast.Node) bool {
		if function, ok := n.(*ast.FuncDecl); ok {
			p.functions[function.Name.Name] = function
			if returnsFields(function) {
				p.elsewhere[function.Name.Name] = function
			}
		}
		if message, ok := logMessage(n); ok {
			call, _ := n.(*ast.CallExpr)
			p.calls[message] = append(p.calls[message], call)
		}
		return true
	})
}

// collectKeys adds to keys those of the zap fields that n constructs. It follows calls of
// functions that return fields, those of the package first. callers lists the functions being
// followed; a function in it is not followed again, so that recursion ends.
func (p *packageSource) collectKeys(n ast.Node, keys fieldSet, callers []string) {
	ast.Inspect(n, func(n ast.Node) bool {
		call, ok := n.(*ast.CallExpr)
		if !ok {
			return true
		}
		name := ""
		switch function := call.Fun.(type) {
		case *ast.Ident:
			name = function.Name
		case *ast.SelectorExpr:
			name = function.Sel.Name
			if pkg, isName := function.X.(*ast.Ident); isName && pkg.Name == "zap" {
				keys.addZapKey(name, call)
				return true
			}
		}
		function := p.functions[name]
		if function == nil {
			function = p.elsewhere[name]
		}
		if function == nil || !returnsFields(function) || slices.Contains(callers, name) {
			return true
		}
		p.collectKeys(function.Body, keys, append(callers, name))
		return true
	})
}

// addZapKey adds the key of the field that a zap constructor returns.
func (s fieldSet) addZapKey(constructor string, call *ast.CallExpr) {
	if constructor == "Error" {
		s["error"] = true
		return
	}
	if len(call.Args) == 0 {
		return
	}
	if literal, ok := call.Args[0].(*ast.BasicLit); ok && literal.Kind == token.STRING {
		if key, err := strconv.Unquote(literal.Value); err == nil {
			s[key] = true
		}
	}
}

// returnsFields reports whether f returns log fields.
func returnsFields(f *ast.FuncDecl) bool {
	if f.Type.Results == nil {
		return false
	}
	for _, result := range f.Type.Results.List {
		kind := result.Type
		if list, ok := kind.(*ast.ArrayType); ok {
			kind = list.Elt
		}
		if selector, ok := kind.(*ast.SelectorExpr); ok && selector.Sel.Name == "Field" {
			return true
		}
	}
	return false
}
