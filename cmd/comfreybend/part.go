package main

import (
	"context"
	"fmt"
	"time"

	"github.com/alecthomas/kingpin/v2"

	"github.com/comfreybend/comfreybend/schema/wire"
)

func init() {
	register(func(app *kingpin.Application, actions map[string]action) {
		parent := app.Command("part", "Look at prompt parts that crash engines.")
		list := parent.Command("list", "List the prompt parts under which engines ended.")
		f := &operatorFlags{}
		f.addTo(list)
		actions[list.FullCommand()] = func(ctx context.Context) error { return listParts(ctx, f) }
		lift := parent.Command("lift", "Let requests with a prompt part through again.")
		id := lift.Arg("id", "Id of the part.").Required().String()
		g := &operatorFlags{}
		g.addTo(lift)
		actions[lift.FullCommand()] = func(ctx context.Context) error { return liftPart(ctx, g, *id) }
	})
}

func listParts(ctx context.Context, f *operatorFlags) error {
	client, err := f.client()
	if err != nil {
		return err
	}
	reply, err := client.Read(ctx, "parts")
	if err != nil {
		return err
	}
	return printParts(f, reply)
}

func liftPart(ctx context.Context, f *operatorFlags, id string) error {
	client, err := f.client()
	if err != nil {
		return err
	}
	reply, err := client.LiftPart(ctx, id)
	if err != nil {
		return err
	}
	return printParts(f, reply)
}

func printParts(f *operatorFlags, reply *wire.ReadReply) error {
	if f.output == "json" {
		return printMessage(reply)
	}
	var rows []string
	for _, p := range reply.GetParts() {
		held := "not held"
		if p.GetHeld() {
			held = "until " + timeOf(p.GetHeldUntilMillis())
		}
		rows = append(rows, fmt.Sprintf("%s\t%d\t%s\t%s\t%s", p.GetId(), p.GetInstants(),
			timeOf(p.GetFirstEndMillis()), timeOf(p.GetLastEndMillis()), held))
	}
	printTable("PART\tINSTANTS\tFIRST END\tLAST END\tHELD", rows)
	return nil
}

func timeOf(millis int64) string { return time.UnixMilli(millis).UTC().Format(time.RFC3339) }
