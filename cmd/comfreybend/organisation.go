package main

import (
	"context"

	"github.com/alecthomas/kingpin/v2"

	"github.com/comfreybend/comfreybend/schema/state"
)

func init() {
	register(func(app *kingpin.Application, actions map[string]action) {
		c := app.Command("organisation", "Add, remove and list organisations.")
		registerOrganisationPut(c, actions)
		registerOrganisationRemove(c, actions)
		registerOrganisationList(c, actions)
	})
}

func registerOrganisationPut(parent *kingpin.CmdClause, actions map[string]action) {
	c := parent.Command("put", "Add an organisation or change its name.")
	id := c.Arg("id", "Id of the organisation.").Required().String()
	name := c.Flag("name", "Name of the organisation.").String()
	f := &changeFlags{}
	f.addTo(c)
	actions[c.FullCommand()] = func(ctx context.Context) error {
		return applyOperation(ctx, f, &state.Operation{
			Kind: &state.Operation_PutOrganisation{PutOrganisation: &state.Organisation{Id: *id, Name: *name}},
		})
	}
}

func registerOrganisationRemove(parent *kingpin.CmdClause, actions map[string]action) {
	c := parent.Command("remove", "Remove an organisation and withdraw its keys.")
	id := c.Arg("id", "Id of the organisation.").Required().String()
	f := &changeFlags{}
	f.addTo(c)
	actions[c.FullCommand()] = func(ctx context.Context) error {
		return applyOperation(ctx, f, &state.Operation{
			Kind: &state.Operation_RemoveOrganisation{RemoveOrganisation: *id},
		})
	}
}

func registerOrganisationList(parent *kingpin.CmdClause, actions map[string]action) {
	c := parent.Command("list", "List the organisations.")
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
			return printMessage(&state.Configuration{Organisations: reply.GetConfiguration().GetOrganisations()})
		}
		var rows []string
		for _, o := range reply.GetConfiguration().GetOrganisations() {
			rows = append(rows, o.GetId()+"\t"+o.GetName())
		}
		printTable("ID\tNAME", rows)
		return nil
	}
}
