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
	// fieldSet holds keys of a line.
	fieldSet map[string]bool

	// packageSource is what a package's functions and log calls look like.
	packageSource struct {
		functions map[string]*ast.FuncDecl
		calls     map[string][]*ast.CallExpr
	}
)

// TestFieldsAreDocumented compares the fields that each line carries in the
// sources with those that OPERATIONS.md lists for it, both ways.
func TestFieldsAreDocumented(t *testing.T) {
	written := fieldsOfSource(t)
	for messages, documented := range documentedFields(t) {
		found := fieldSet{}
		for _, message := range strings.Split(messages, "\n") {
			maps.Copy(found, written[message])
		}
		name := strings.ReplaceAll(messages, "\n", ", ")
		for key := range found {
			if !documented[key] {
				t.Errorf("%q carries the field %q, which %s does not list", name, key, operations)
			}
		}
		for key := range documented {
			if !found[key] {
				t.Errorf("%q is documented to carry the field %q, and does not", name, key)
			}
		}
	}
}

// documentedFields returns the fields of each row of the tables of lines, by
// its messages, one a line.
func documentedFields(t *testing.T) map[string]fieldSet {
	t.Helper()
	text, err := os.ReadFile(operations)
	if err != nil {
		t.Fatal(err)
	}
	_, section, _ := strings.Cut(string(text), "\n## Logs\n")
	quoted := regexp.MustCompile("`([^`]+)`")
	out := map[string]fieldSet{}
	before := fieldSet{}
	for _, row := range regexp.MustCompile(`(?m)^\| ([^|]+) \| [^|]* \| ([^|]*) \|$`).FindAllStringSubmatch(section, -1) {
		var messages []string
		for _, m := range quoted.FindAllStringSubmatch(row[1], -1) {
			messages = append(messages, m[1])
		}
		if len(messages) == 0 || messages[0] == heading {
			continue
		}
		fields := fieldSet{}
		if strings.Contains(row[2], "as above") {
			maps.Copy(fields, before)
		}
		for _, m := range quoted.FindAllStringSubmatch(row[2], -1) {
			fields[m[1]] = true
		}
		out[strings.Join(messages, "\n")] = fields
		before = fields
	}
	return out
}

// fieldsOfSource returns the fields of each line that the daemons log.
func fieldsOfSource(t *testing.T) map[string]fieldSet {
	t.Helper()
	out := map[string]fieldSet{}
	for _, source := range parsePackages(t) {
		for message, calls := range source.calls {
			if out[message] == nil {
				out[message] = fieldSet{}
			}
			for _, call := range calls {
				for _, argument := range call.Args[1:] {
					source.collect(argument, out[message], nil)
				}
			}
		}
	}
	return out
}

func parsePackages(t *testing.T) map[string]*packageSource {
	t.Helper()
	out := map[string]*packageSource{}
	eachSource(t, func(path string, _ *token.FileSet, file *ast.File) {
		source := out[filepath.Dir(path)]
		if source == nil {
			source = &packageSource{functions: map[string]*ast.FuncDecl{}, calls: map[string][]*ast.CallExpr{}}
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
		}
		if message, ok := messageOf(n); ok {
			call, _ := n.(*ast.CallExpr)
			p.calls[message] = append(p.calls[message], call)
		}
		return true
	})
}

// collect adds the keys of the fields that an expression makes, those of
// functions of the package that it calls for fields included.
func (p *packageSource) collect(n ast.Node, to fieldSet, within []string) {
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
				to.addKey(name, call)
				return true
			}
		}
		function := p.functions[name]
		if function == nil || !makesFields(function) || slices.Contains(within, name) {
			return true
		}
		p.collect(function.Body, to, append(within, name))
		return true
	})
}

// addKey adds the key of a field that zap makes.
func (s fieldSet) addKey(constructor string, call *ast.CallExpr) {
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

// makesFields reports a function that returns fields of a line.
func makesFields(f *ast.FuncDecl) bool {
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
