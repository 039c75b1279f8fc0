//go:build review

package main

import (
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
)

// Results of a case, as exit codes.
const (
	held   = 0
	broken = 1
	failed = 2
)

// cases holds the cases by number. A case returns whether the rule was broken.
var cases = map[string]func(r *record, trouble bool) (bool, error){}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: rig3 CASE FOLDER")
		os.Exit(failed)
	}
	r, err := newRecord(filepath.Join(os.Args[2], "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(failed)
	}
	trouble := os.Getenv("TROUBLE") != "0"
	interrupted := make(chan os.Signal, 1)
	signal.Notify(interrupted, syscall.SIGINT, syscall.SIGTERM)
	go func() {
		<-interrupted
		closeAll()
		os.Exit(failed)
	}()
	r.line("case %s, trouble: %t", os.Args[1], trouble)
	wasBroken, err := cases[os.Args[1]](r, trouble)
	switch {
	case err != nil:
		r.line("could not run: %v", err)
		fmt.Println("could not run:", err)
		os.Exit(failed)
	case wasBroken:
		r.line("the rule was broken")
		fmt.Println("the rule was broken")
		os.Exit(broken)
	default:
		r.line("the rule held")
		fmt.Println("the rule held")
		os.Exit(held)
	}
}
