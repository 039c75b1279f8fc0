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
	// maxLogLineBytes bounds one line of a log.
	maxLogLineBytes = 1 << 20
	timeField    = "time"
)

// logLine is one line of a daemon's log.
type logLine struct {
	fields map[string]any
	time   string
}

func init() {
	register(func(app *kingpin.Application, actions map[string]action) {
		c := app.Command("explain", "Print every line that logs hold about a request, in order of time.")
		id := c.Arg("id", "The request's id, as its caller knows it, or an upstream's, a window's or an order's.").
			Required().String()
		files := c.Arg("file", "Log of a daemon.").Required().Strings()
		actions[c.FullCommand()] = func(context.Context) error { return explain(*id, *files) }
	})
}

func explain(id string, files []string) error {
	var found []logLine
	for _, file := range files {
		lines, err := matchingLines(id, file)
		if err != nil {
			return err
		}
		found = append(found, lines...)
	}
	sort.SliceStable(found, func(i, j int) bool { return found[i].time < found[j].time })
	for _, line := range found {
		fmt.Println(line)
	}
	if len(found) == 0 {
		return errors.Errorf("no line is about %s", id)
	}
	return nil
}

// matchingLines returns the lines of a file in which a field is the id. Lines that
// are no JSON are passed over, since a process's crash writes such.
func matchingLines(id, file string) ([]logLine, error) {
	f, err := os.Open(file)
	if err != nil {
		return nil, errors.Wrap(err, "opening a log")
	}
	defer func() { _ = f.Close() }()
	var found []logLine
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
			found = append(found, line)
		}
	}
	return found, errors.Wrap(scanner.Err(), "reading a log")
}

func (l logLine) hasValue(id string) bool {
	for _, value := range l.fields {
		if fmt.Sprint(value) == id {
			return true
		}
	}
	return false
}

// String prints time, host and message first and the other fields by name.
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
