package main

import (
	"context"
	"fmt"

	"github.com/alecthomas/kingpin/v2"
	"github.com/pkg/errors"

	"github.com/comfreybend/comfreybend/internal/validator"
)

func init() {
	register(func(app *kingpin.Application, actions map[string]action) {
		c := app.Command("settings", "Check settings files.")
		registerSettingsCheck(c, actions)
		registerSettingsShow(c, actions)
	})
}

func registerSettingsCheck(parent *kingpin.CmdClause, actions map[string]action) {
	c := parent.Command("check", "Report every fault of settings files, with JSON path and what is allowed.")
	files := c.Arg("file", "Settings file.").Required().Strings()
	output := c.Flag("output", "Form of the output: text or json.").Default("text").Enum("text", "json")
	actions[c.FullCommand()] = func(context.Context) error {
		var last error
		for _, file := range *files {
			if err := checkSettingsFile(file, *output); err != nil {
				last = err
			}
		}
		return last
	}
}

func checkSettingsFile(file, output string) error {
	_, err := validator.Load(file)
	if output == "text" {
		if err == nil {
			fmt.Println(file + ": no faults")
		}
		return err
	}
	var faults *validator.FaultsError
	if err != nil && !errors.As(err, &faults) {
		return err
	}
	report := struct {
		File   string            `json:"file"`
		Faults []validator.Fault `json:"faults"`
	}{File: file, Faults: []validator.Fault{}}
	if faults != nil {
		report.Faults = faults.Faults
	}
	if printErr := printValue(report); printErr != nil {
		return printErr
	}
	return err
}

func registerSettingsShow(parent *kingpin.CmdClause, actions map[string]action) {
	c := parent.Command("show", "Print the settings of a file with every default filled in.")
	file := c.Arg("file", "Settings file.").Required().String()
	actions[c.FullCommand()] = func(context.Context) error {
		s, err := validator.Load(*file)
		if err != nil {
			return err
		}
		return printMessage(s)
	}
}
