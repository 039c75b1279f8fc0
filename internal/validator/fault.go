package validator

import (
	"fmt"
	"strings"
)

type (
	// Fault is one fault of a settings or configuration file.
	Fault struct {
		// Path is the JSON path of the value, for example "$.entry.freshness".
		Path string `json:"path"`
		// Problem says what is wrong.
		Problem string `json:"problem"`
		// Allowed says what may stand there instead.
		Allowed string `json:"allowed"`
	}

	// FaultsError reports every fault that was found in one file.
	FaultsError struct {
		File   string
		Faults []Fault
	}
)

// String returns the fault on one line.
func (f Fault) String() string {
	return fmt.Sprintf("%s: %s; allowed: %s", f.Path, f.Problem, f.Allowed)
}

// Error implements error with one line a fault.
func (e *FaultsError) Error() string {
	lines := make([]string, 0, len(e.Faults)+1)
	lines = append(lines, fmt.Sprintf("%s has %d fault(s)", e.File, len(e.Faults)))
	for _, f := range e.Faults {
		lines = append(lines, "  "+f.String())
	}
	return strings.Join(lines, "\n")
}
