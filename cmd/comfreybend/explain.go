package main

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"os"
	"sort"
	"strings"

	"github.com/alecthomas/kingpin/v2"
	"github.com/pkg/errors"
)

const (
	// maxLogLineBytes is the maximum length of a line in a log.
	maxLogLineBytes = 1 << 20
	timeField       = "time"
)

// logLine is a line of a daemon's log.
type logLine struct {
	fields map[string]any
	time   string
}

func init() {
	register(func(app *kingpin.Application, actions map[string]action) {
		c := app.Command("explain", "Print every line that logs hold about a request, in order of time.")
		id := c.Arg("id", "Id of a request as its client knows it, or of an upstream, a usage window or an order.").
			Required().String()
		files := c.Arg("file", "Log of a daemon.").Required().Strings()
		actions[c.FullCommand()] = func(context.Context) error { return explain(*id, *files) }
	})
}

func explain(id string, files []string) error {
	var matches []logLine
	for _, file := range files {
		lines, err := matchingLines(id, file)
		if err != nil {
			return err
		}
		matches = append(matches, lines...)
	}
	sort.SliceStable(matches, func(i, j int) bool { return matches[i].time < matches[j].time })
	for _, line := range matches {
		fmt.Println(line)
	}
	if len(matches) == 0 {
		return errors.Errorf("no line is about %s", id)
	}
	return nil
}

// matchingLines returns the lines of a log in which the value of a field is the id.
// Lines without JSON are skipped, because a crashing process writes its stack trace
// to the log too.
func matchingLines(id, file string) ([]logLine, error) {
	f, err := os.Open(file)
	if err != nil {
		return nil, errors.Wrap(err, "opening a log")
	}
	defer func() { _ = f.Close() }()
	var matches []logLine
	scanner := bufio.NewScanner(f)
	scanner.Buffer(nil, maxLogLineBytes)
	for scanner.Scan() {
		text := scanner.Text()
		start := strings.Index(text, "{")
		if start < 0 || !strings.Contains(text, id) {
			continue
		}
		line := logLine{}
		if json.Unmarshal([]byte(text[start:]), &line.fields) != nil {
			continue
		}
		line.time, _ = line.fields[timeField].(string)
		if line.hasValue(id) {
			matches = append(matches, line)
		}
	}
	return matches, errors.Wrap(scanner.Err(), "reading a log")
}

// hasValue reports whether the value of any field is the id.
func (l logLine) hasValue(id string) bool {
	for _, value := range l.fields {
		if fmt.Sprint(value) == id {
			return true
		}
	}
	return false
}

// String formats a line as time, host and message, followed by the other fields
// in order of their names, without level and role.
func (l logLine) String() string {
	first := []string{timeField, "host", "msg"}
	parts := make([]string, 0, len(l.fields))
	for _, name := range first {
		parts = append(parts, fmt.Sprint(l.fields[name]))
	}
	names := make([]string, 0, len(l.fields))
	for name := range l.fields {
		if name != timeField && name != "host" && name != "msg" && name != "level" && name != "role" {
			names = append(names, name)
		}
	}
	sort.Strings(names)
	for _, name := range names {
		parts = append(parts, fmt.Sprintf("%s=%v", name, l.fields[name]))
	}
	return strings.Join(parts, " ")
}
