package main

import (
	"path/filepath"
	"testing"
)

// TestExampleConfigurations checks that the example configurations are valid.
func TestExampleConfigurations(t *testing.T) {
	files, err := filepath.Glob("../../examples/*/configuration.json")
	if err != nil || len(files) == 0 {
		t.Fatalf("examples: %v, %v", files, err)
	}
	for _, file := range files {
		if _, err = readConfiguration(file); err != nil {
			t.Error(err)
		}
	}
}

func TestExitCodes(t *testing.T) {
	tests := map[string]struct {
		arguments []string
		want      int
	}{
		"valid settings":   {arguments: []string{"settings", "check", "../../examples/sernasa/entry-a1.json"}, want: exitOK},
		"invalid settings": {arguments: []string{"settings", "check", "../../examples/sernasa/configuration.json"}, want: exitFaults},
		"missing file":     {arguments: []string{"settings", "check", "missing.json"}, want: exitFailed},
		"unknown command":  {arguments: []string{"unknown"}, want: exitUsage},
		"unreachable control process": {
			arguments: []string{"status", "--control", "http://127.0.0.1:1", "--token-file", "../../go.mod"}, want: exitUnavailable,
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			if got := run(t.Context(), test.arguments); got != test.want {
				t.Errorf("exit code %d, want %d", got, test.want)
			}
		})
	}
}
