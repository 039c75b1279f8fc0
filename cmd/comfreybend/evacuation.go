package main

import (
	"context"
	"fmt"

	"github.com/alecthomas/kingpin/v2"
)

func init() {
	register(func(app *kingpin.Application, actions map[string]action) {
		parent := app.Command("evacuation", "Keep requests away from the upstreams of a failure domain.")
		registerEvacuationOrder(parent, actions, "start", "Send nothing more to the upstreams of a failure domain.", false)
		registerEvacuationOrder(parent, actions, "finish", "Let requests go to the upstreams of a failure domain again.", true)
		list := parent.Command("list", "List the evacuated failure domains.")
		f := &operatorFlags{}
		f.addTo(list)
		actions[list.FullCommand()] = func(ctx context.Context) error { return listEvacuations(ctx, f) }
	})
}

func registerEvacuationOrder(parent *kingpin.CmdClause, actions map[string]action, name, help string, finish bool) {
	c := parent.Command(name, help)
	domain := c.Arg("domain", "Name of the failure domain.").Required().String()
	f := &operatorFlags{}
	f.addTo(c)
	actions[c.FullCommand()] = func(ctx context.Context) error { return orderEvacuation(ctx, f, *domain, finish) }
}

func orderEvacuation(ctx context.Context, f *operatorFlags, domain string, finish bool) error {
	client, err := f.client()
	if err != nil {
		return err
	}
	outcome, err := client.Evacuate(ctx, domain, finish)
	if err != nil {
		return err
	}
	if f.output == "json" {
		return printMessage(outcome)
	}
	state := "evacuated"
	if finish {
		state = "not evacuated"
	}
	if outcome.GetDetail() != "" {
		state += " (" + outcome.GetDetail() + ")"
	}
	fmt.Println(domain + ": " + state)
	return nil
}

func listEvacuations(ctx context.Context, f *operatorFlags) error {
	client, err := f.client()
	if err != nil {
		return err
	}
	reply, err := client.Read(ctx, "evacuations")
	if err != nil {
		return err
	}
	if f.output == "json" {
		return printMessage(reply.GetEvacuations())
	}
	printTable("DOMAIN", reply.GetEvacuations().GetFailureDomains())
	return nil
}
