//go:build review

package main

import (
	"fmt"
	"os"
)

// Results of a case.
const (
	held = iota
	broken
	failed
)

// cases holds the cases by name. Each file of a case adds its own.
var cases = map[string]func(r *record, binary string, trouble bool) (int, error){}

func main() {
	if len(os.Args) != 4 {
		fmt.Fprintln(os.Stderr, "usage: rig2 CASE BINARY RECORD")
		os.Exit(failed)
	}
	r, err := newRecord(os.Args[3])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(failed)
	}
	play, found := cases[os.Args[1]]
	if !found {
		fmt.Fprintln(os.Stderr, "no case", os.Args[1])
		os.Exit(failed)
	}
	result, err := play(r, os.Args[2], os.Getenv("TROUBLE") != "0")
	if err != nil {
		r.add("the case could not run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		result = failed
	}
	os.Exit(result)
}
