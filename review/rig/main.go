//go:build review

// Command rig plays the cases of the review that are scripts: it starts the project's own programs as
// processes, and stand-ins of the platform, the replicas, the operator and the requesters.
package main

import (
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// Exit codes of a case.
const (
	exitHeld = iota
	exitBroken
	exitCouldNotRun
)

// longest is the time after which a case is given up.
const longest = 110 * time.Second

// scenario plays a case and reports whether the rule was broken. trouble is false if it is to be
// played without the disruption.
type scenario func(rec *record, trouble bool) (broken bool, err error)

var scenarios = map[string]scenario{}

func main() {
	name := flag.String("case", "", "name of the case")
	path := flag.String("record", "record.txt", "file for what was sent, answered and run")
	flag.Parse()
	play, found := scenarios[*name]
	if !found {
		fmt.Fprintln(os.Stderr, "no such case:", *name)
		os.Exit(exitCouldNotRun)
	}
	rec, err := newRecord(*path)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitCouldNotRun)
	}
	finished := make(chan int, 1)
	go func() {
		broken, err := play(rec, os.Getenv("TROUBLE") != "0")
		switch {
		case err != nil:
			rec.say("could not run: %v", err)
			finished <- exitCouldNotRun
		case broken:
			rec.say("BROKEN")
			finished <- exitBroken
		default:
			rec.say("held")
			finished <- exitHeld
		}
	}()
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM)
	code := exitCouldNotRun
	select {
	case code = <-finished:
	case <-signals:
	case <-time.After(longest):
		rec.say("could not run: it took too long")
	}
	rec.close()
	// The kernel ends the processes that are left when their parent ends.
	os.Exit(code)
}
