package validator

import (
	"fmt"
	"strings"
)

type (
	// Fault is one error in a settings, configuration or plan file.
	Fault struct {
		// Path is the JSON path of the field, for example "$.entry.freshness".
		Path string `json:"path"`
		// Problem describes what is wrong.
		Problem string `json:"problem"`
		// Allowed describes the valid values.
		Allowed string `json:"allowed"`
	}

	// FaultsError reports all faults of one file.
	FaultsError struct {
		File   string
		Faults []Fault
	}
)

// String implements fmt.Stringer.
func (f Fault) String() string {
	return fmt.Sprintf("%s: %s; allowed: %s", f.Path, f.Problem, f.Allowed)
}

// Error implements error. It returns one line for each fault.
func (e *FaultsError) Error() string {
	lines := make([]string, 0, len(e.Faults)+1)
	lines = append(lines, fmt.Sprintf("%s has %d fault(s)", e.File, len(e.Faults)))
	for _, f := range e.Faults {
		lines = append(lines, "  "+f.String())
	}
	return strings.Join(lines, "\n")
}
