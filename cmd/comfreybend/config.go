package main

import (
	"context"
	"fmt"
	"os"
	"time"

	"github.com/alecthomas/kingpin/v2"
	"github.com/pkg/errors"

	"github.com/comfreybend/comfreybend/internal/configurer"
	"github.com/comfreybend/comfreybend/internal/validator"
	"github.com/comfreybend/comfreybend/schema/state"
)

func init() {
	register(func(app *kingpin.Application, actions map[string]action) {
		c := app.Command("config", "Show and change classes, routes and organisations.")
		registerConfigShow(c, actions)
		registerConfigApply(c, actions)
		registerConfigHistory(c, actions)
	})
}

func registerConfigShow(parent *kingpin.CmdClause, actions map[string]action) {
	c := parent.Command("show", "Print the configuration in force as JSON.")
	f := &operatorFlags{}
	f.addTo(c)
	actions[c.FullCommand()] = func(ctx context.Context) error {
		client, err := f.client()
		if err != nil {
			return err
		}
		reply, err := client.Read(ctx, "configuration")
		if err != nil {
			return err
		}
		if f.output == "json" {
			return printMessage(reply)
		}
		fmt.Println("revision", reply.GetRevision())
		return printMessage(reply.GetConfiguration())
	}
}

func registerConfigApply(parent *kingpin.CmdClause, actions map[string]action) {
	c := parent.Command("apply", "Replace classes, routes and organisations by those of a JSON file.")
	file := c.Arg("file", "Configuration file.").Required().String()
	f := &changeFlags{}
	f.addTo(c)
	actions[c.FullCommand()] = func(ctx context.Context) error {
		configuration, err := readConfiguration(*file)
		if err != nil {
			return err
		}
		return applyOperation(ctx, f, &state.Operation{
			Kind: &state.Operation_ApplyConfiguration{ApplyConfiguration: configuration},
		})
	}
}

// readConfiguration reads and validates a configuration file. The error is a
// *validator.FaultsError that lists all faults of a file that could be read.
func readConfiguration(file string) (*state.Configuration, error) {
	document, err := os.ReadFile(file)
	if err != nil {
		return nil, errors.Wrap(err, "reading the configuration")
	}
	configuration := &state.Configuration{}
	faults := validator.Decode(document, configuration)
	var invalid *configurer.InvalidConfigurationError
	for _, check := range []func(*state.Configuration) error{configurer.Check, configurer.CheckWarmUps} {
		if len(faults) == 0 && errors.As(check(configuration), &invalid) {
			for _, f := range invalid.Errors {
				faults = append(faults, validator.Fault{Path: f.Path, Problem: f.Problem, Allowed: "see comfreybend-config(5)"})
			}
		}
	}
	if len(faults) > 0 {
		return nil, &validator.FaultsError{File: file, Faults: faults}
	}
	return configuration, nil
}

// applyOperation sends an operation to the operator API and prints the outcome if the
// change was accepted; a refusal is returned as an error.
func applyOperation(ctx context.Context, f *changeFlags, op *state.Operation) error {
	client, err := f.client()
	if err != nil {
		return err
	}
	outcome, err := client.Change(ctx, op, f.revision, f.changeID)
	if err != nil {
		return err
	}
	return f.printOutcome(outcome)
}

func registerConfigHistory(parent *kingpin.CmdClause, actions map[string]action) {
	c := parent.Command("history", "List the accepted changes, latest last.")
	f := &operatorFlags{}
	f.addTo(c)
	actions[c.FullCommand()] = func(ctx context.Context) error {
		return printAudit(ctx, f, func(r *state.AuditRecord) bool { return r.GetOutcome().GetAccepted() })
	}
}

// printAudit prints the audit records for which keep returns true.
func printAudit(ctx context.Context, f *operatorFlags, keep func(*state.AuditRecord) bool) error {
	client, err := f.client()
	if err != nil {
		return err
	}
	reply, err := client.Read(ctx, "audit")
	if err != nil {
		return err
	}
	var kept []*state.AuditRecord
	for _, r := range reply.GetAudit() {
		// The fingerprint only serves to recognise a resent change.
		r.Fingerprint = nil
		if keep(r) {
			kept = append(kept, r)
		}
	}
	reply.Audit = kept
	if f.output == "json" {
		return printMessage(reply)
	}
	rows := make([]string, 0, len(kept))
	for _, r := range kept {
		outcome := "accepted as revision " + fmt.Sprint(r.GetOutcome().GetRevision())
		if !r.GetOutcome().GetAccepted() {
			outcome = "refused: " + r.GetOutcome().GetReason()
		}
		rows = append(rows, fmt.Sprintf("%d\t%s\t%s\t%s\t%d\t%s\t%s", r.GetSequence(),
			time.UnixMilli(r.GetAtMillis()).UTC().Format(time.RFC3339), r.GetOperator(), r.GetChangeId(),
			r.GetBaseRevision(), r.GetSummary(), outcome))
	}
	printTable("SEQUENCE\tTIME\tOPERATOR\tCHANGE\tAGAINST\tWHAT\tOUTCOME", rows)
	return nil
}
