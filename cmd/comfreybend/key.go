package main

import (
	"context"
	"fmt"

	"github.com/alecthomas/kingpin/v2"

	"github.com/comfreybend/comfreybend/schema/state"
)

func init() {
	register(func(app *kingpin.Application, actions map[string]action) {
		c := app.Command("key", "Grant, withdraw and list organisation keys.")
		registerKeyGrant(c, actions)
		registerKeyWithdraw(c, actions)
		registerKeyList(c, actions)
	})
}

func registerKeyGrant(parent *kingpin.CmdClause, actions map[string]action) {
	c := parent.Command("grant", "Grant a key. It is shown once; only its hash is kept.")
	organisation := c.Arg("organisation", "Id of the organisation.").Required().String()
	f := &changeFlags{}
	f.add(c)
	actions[c.FullCommand()] = func(ctx context.Context) error {
		client, err := f.client()
		if err != nil {
			return err
		}
		granted, err := client.GrantKey(ctx, *organisation, f.revision, f.changeID)
		if err != nil {
			return err
		}
		if f.output == "json" {
			return printValue(granted)
		}
		fmt.Println(granted.Key)
		return nil
	}
}

func registerKeyWithdraw(parent *kingpin.CmdClause, actions map[string]action) {
	c := parent.Command("withdraw", "Withdraw a key by its id.")
	id := c.Arg("id", "Id of the key, the part between the underscores.").Required().String()
	f := &changeFlags{}
	f.add(c)
	actions[c.FullCommand()] = func(ctx context.Context) error {
		return applyOperation(ctx, f, &state.Operation{Kind: &state.Operation_WithdrawKey{WithdrawKey: *id}})
	}
}

func registerKeyList(parent *kingpin.CmdClause, actions map[string]action) {
	c := parent.Command("list", "List the keys by id, without keys or hashes.")
	f := &operatorFlags{}
	f.add(c)
	actions[c.FullCommand()] = func(ctx context.Context) error {
		client, err := f.client()
		if err != nil {
			return err
		}
		reply, err := client.Read(ctx, "keys")
		if err != nil {
			return err
		}
		if f.output == "json" {
			return printMessage(reply)
		}
		var rows []string
		for _, k := range reply.GetKeys() {
			status := "valid"
			if k.GetWithdrawn() {
				status = fmt.Sprintf("withdrawn by revision %d", k.GetWithdrawnRevision())
			}
			rows = append(rows, k.GetId()+"\t"+k.GetOrganisation()+"\t"+status)
		}
		printTable("ID\tORGANISATION\tSTATUS", rows)
		return nil
	}
}
