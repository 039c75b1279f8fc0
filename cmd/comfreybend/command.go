package main

import (
	"context"
	"fmt"
	"os"
	"strings"

	"github.com/alecthomas/kingpin/v2"
	"github.com/pkg/errors"

	"github.com/comfreybend/comfreybend/internal/operator"
	"github.com/comfreybend/comfreybend/internal/validator"
)

// Exit codes.
const (
	exitOK = iota
	exitFailed
	exitUsage
	// exitRefused means that the control processes refused a change.
	exitRefused
	// exitUnavailable means that no control process responded; the command may be repeated.
	exitUnavailable
	// exitFaults means that a settings, configuration or plan file has faults.
	exitFaults
)

const help = `Routes language-model traffic by classes of work with targets and priorities.

Daemons: entry, control. First steps: try. Operators: settings, config, organisation, key, upstream, evacuation, status, audit.

Exit codes: 0 success, 1 failure, 2 wrong usage, 3 change refused, 4 no response (try again), 5 faults in a file.`

type (
	// action runs a command after its arguments were parsed.
	action func(context.Context) error

	// registerFunc registers commands with app and stores the action of each under its
	// full name, such as "key grant".
	registerFunc func(app *kingpin.Application, actions map[string]action)
)

var registrations []registerFunc

// register adds r to registrations; the init function of each command's file calls it.
func register(r registerFunc) {
	registrations = append(registrations, r)
}

// run parses the arguments, runs the command and returns the exit code.
func run(ctx context.Context, arguments []string) int {
	app := kingpin.New("comfreybend", help)
	app.HelpFlag.Short('h')
	app.Terminate(nil)
	actions := map[string]action{}
	for _, r := range registrations {
		r(app, actions)
	}
	name, err := app.Parse(arguments)
	if err != nil {
		fmt.Fprintln(os.Stderr, "comfreybend:", err, "(see comfreybend --help)")
		return exitUsage
	}
	selected := actions[name]
	if selected == nil {
		// Parse has printed the requested help.
		return exitOK
	}
	if err = selected(ctx); err != nil {
		fmt.Fprintln(os.Stderr, "comfreybend:", err)
		return exitCode(err)
	}
	return exitOK
}

func exitCode(err error) int {
	var (
		faults      *validator.FaultsError
		refused     *operator.RefusedError
		unavailable *operator.UnavailableError
	)
	switch {
	case errors.As(err, &faults):
		return exitFaults
	case errors.As(err, &refused):
		return exitRefused
	case errors.As(err, &unavailable):
		return exitUnavailable
	default:
		return exitFailed
	}
}

// operatorFlags holds the flags that all commands that call the operator API share.
type operatorFlags struct {
	controlURLs []string
	tokenFile   string
	output      string
}

func (f *operatorFlags) addTo(c *kingpin.CmdClause) {
	c.Flag("control", "Base URL of a control process's operator API; may be repeated.").
		Envar("COMFREYBEND_CONTROL").Default("http://127.0.0.1:7102").StringsVar(&f.controlURLs)
	c.Flag("token-file", "File that holds the operator token.").
		Envar("COMFREYBEND_TOKEN_FILE").Default("operator.token").StringVar(&f.tokenFile)
	c.Flag("output", "Form of the output: text or json.").Default("text").EnumVar(&f.output, "text", "json")
}

func (f *operatorFlags) client() (*operator.Client, error) {
	token, err := os.ReadFile(f.tokenFile)
	if err != nil {
		return nil, errors.Wrap(err, "reading the operator token")
	}
	return operator.New(f.controlURLs, strings.TrimSpace(string(token))), nil
}

// changeFlags holds the flags that all commands that change the configuration share.
type changeFlags struct {
	operatorFlags
	revision int64
	changeID string
}

func (f *changeFlags) addTo(c *kingpin.CmdClause) {
	f.operatorFlags.addTo(c)
	c.Flag("revision", "Revision that the change is made against; by default the one in force.").
		Default("-1").Int64Var(&f.revision)
	c.Flag("change-id", "Id of the change; a resend with the same id gets the first response.").StringVar(&f.changeID)
}
