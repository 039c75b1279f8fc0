// Command testjudge reads the output of "go test -json" from standard input, prints the
// failures and exits with status 1 if the run fails. Failures of tests that are listed
// in KNOWN-RED.txt are printed, but do not fail the run.
package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"sort"
	"strings"
)

const (
	knownRedFile = "KNOWN-RED.txt"
	// testPrefix starts the line of an entry that names the package and the test.
	testPrefix   = "test: "
	maxLineBytes = 16 << 20
	actionRun    = "run"
	actionPass   = "pass"
	actionFail   = "fail"
	actionSkip   = "skip"
	actionBuild  = "build-output"
)

type (
	// testEvent is one line of the output of "go test -json".
	testEvent struct {
		Action     string
		Package    string
		ImportPath string
		Test       string
		Output     string
	}

	testName struct {
		pkg  string
		test string
	}

	// collector collects the results of a run.
	collector struct {
		knownRed map[testName]bool
		outcomes map[testName]string
		output   map[testName]*strings.Builder
		packages map[string]string
	}
)

func main() {
	c := &collector{
		knownRed: readKnownRed(),
		outcomes: map[testName]string{},
		output:   map[testName]*strings.Builder{},
		packages: map[string]string{},
	}
	c.read(os.Stdin)
	if !c.report(os.Stdout) {
		os.Exit(1)
	}
}

// readKnownRed returns the tests listed in KNOWN-RED.txt. A missing file lists none.
func readKnownRed() map[testName]bool {
	known := map[testName]bool{}
	data, err := os.ReadFile(knownRedFile)
	if err != nil {
		return known
	}
	for line := range strings.Lines(string(data)) {
		rest, found := strings.CutPrefix(strings.TrimSpace(line), testPrefix)
		if !found {
			continue
		}
		pkg, test, _ := strings.Cut(rest, " ")
		known[testName{pkg: pkg, test: strings.TrimSpace(test)}] = true
	}
	return known
}

// read reads the events of a run. It prints other lines, build output and the result of
// each package.
func (c *collector) read(r io.Reader) {
	scanner := bufio.NewScanner(r)
	scanner.Buffer(nil, maxLineBytes)
	for scanner.Scan() {
		var e testEvent
		if json.Unmarshal(scanner.Bytes(), &e) != nil {
			fmt.Println(scanner.Text())
			continue
		}
		c.add(e)
	}
}

func (c *collector) add(e testEvent) {
	if e.Action == actionBuild {
		fmt.Print(e.Output)
		return
	}
	name := testName{pkg: e.Package, test: e.Test}
	if e.Output != "" {
		if c.output[name] == nil {
			c.output[name] = &strings.Builder{}
		}
		c.output[name].WriteString(e.Output)
	}
	switch e.Action {
	case actionRun, actionPass, actionFail, actionSkip:
	default:
		return
	}
	if e.Test == "" {
		c.packages[e.Package] = e.Action
		fmt.Println(e.Action, e.Package)
		return
	}
	c.outcomes[name] = e.Action
}

// report prints the failures and a summary line, and reports whether the run passes: a
// run passes if no test failed, known ones excepted, and at least one passed.
func (c *collector) report(w io.Writer) bool {
	var passed, failed, skipped int
	// knownFailures holds the packages with a known failure.
	knownFailures := map[string]bool{}
	for _, name := range c.sortedTests() {
		switch c.outcomes[name] {
		case actionPass:
			passed++
		case actionSkip:
			skipped++
			_, _ = fmt.Fprintf(w, "SKIPPED: %s %s\n%s", name.pkg, name.test, c.outputOf(name))
		default:
			if c.isKnown(name) {
				knownFailures[name.pkg] = true
				_, _ = fmt.Fprintf(w, "KNOWN RED (passed over): %s %s\n%s", name.pkg, name.test, c.outputOf(name))
				continue
			}
			failed++
			_, _ = fmt.Fprintf(w, "FAILED: %s %s\n%s", name.pkg, name.test, c.outputOf(name))
		}
	}
	for pkg, action := range c.packages {
		if action == actionFail && !knownFailures[pkg] && !c.hasFailure(pkg) {
			failed++
			_, _ = fmt.Fprintf(w, "FAILED: package %s\n%s", pkg, c.outputOf(testName{pkg: pkg}))
		}
	}
	_, _ = fmt.Fprintf(w, "%d passed, %d failed, %d skipped\n", passed, failed, skipped)
	return failed == 0 && passed > 0
}

func (c *collector) sortedTests() []testName {
	names := make([]testName, 0, len(c.outcomes))
	for name := range c.outcomes {
		names = append(names, name)
	}
	sort.Slice(names, func(a, b int) bool {
		if names[a].pkg != names[b].pkg {
			return names[a].pkg < names[b].pkg
		}
		return names[a].test < names[b].test
	})
	return names
}

// isKnown reports whether the test, or the top-level test of a subtest, is listed.
func (c *collector) isKnown(name testName) bool {
	top, _, _ := strings.Cut(name.test, "/")
	return c.knownRed[name] || c.knownRed[testName{pkg: name.pkg, test: top}]
}

// hasFailure reports whether a test of the package failed or did not finish.
func (c *collector) hasFailure(pkg string) bool {
	for name, action := range c.outcomes {
		if name.pkg == pkg && action != actionPass && action != actionSkip {
			return true
		}
	}
	return false
}

func (c *collector) outputOf(name testName) string {
	if c.output[name] == nil {
		return ""
	}
	return c.output[name].String()
}
