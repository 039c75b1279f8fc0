package main

import (
	"strings"
	"testing"
)

// TestReport guards against runs that pass although a test failed, and against tests that are not run
// without a word.
func TestReport(t *testing.T) {
	const (
		pass    = `{"Action":"run","Package":"p","Test":"TestA"}` + "\n" + `{"Action":"pass","Package":"p","Test":"TestA"}` + "\n"
		fail    = `{"Action":"output","Package":"p","Test":"TestB","Output":"broken\n"}` + "\n" + `{"Action":"fail","Package":"p","Test":"TestB"}` + "\n" + `{"Action":"fail","Package":"p"}` + "\n"
		skip    = `{"Action":"output","Package":"p","Test":"TestC","Output":"NOT RUN: no history\n"}` + "\n" + `{"Action":"skip","Package":"p","Test":"TestC"}` + "\n"
		crashed = `{"Action":"run","Package":"p","Test":"TestD"}` + "\n" + `{"Action":"fail","Package":"p"}` + "\n"
	)
	tests := map[string]struct {
		events   string
		knownRed string
		passes   bool
		printed  string
	}{
		"all pass":                {events: pass, passes: true, printed: "1 passed, 0 failed"},
		"nothing ran":             {},
		"a failure":               {events: pass + fail, printed: "FAILED: p TestB\nbroken"},
		"a failure that is known": {events: pass + fail, knownRed: "TestB", passes: true, printed: "KNOWN RED (passed over): p TestB\nbroken"},
		"another one is known":    {events: pass + fail, knownRed: "TestA", printed: "FAILED: p TestB"},
		"a test that was not run": {events: pass + skip, passes: true, printed: "SKIPPED: p TestC\nNOT RUN: no history"},
		"a test without a result": {events: pass + crashed, printed: "FAILED: p TestD"},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			c := &collector{
				knownRed: map[testName]bool{{pkg: "p", test: test.knownRed}: test.knownRed != ""},
				outcomes: map[testName]string{}, output: map[testName]*strings.Builder{}, packages: map[string]string{},
			}
			c.read(strings.NewReader(test.events))
			var out strings.Builder
			if passes := c.report(&out); passes != test.passes {
				t.Errorf("the run passes: %t, want %t", passes, test.passes)
			}
			if !strings.Contains(out.String(), test.printed) {
				t.Errorf("printed %q, want %q in it", out.String(), test.printed)
			}
		})
	}
}
