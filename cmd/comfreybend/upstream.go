package main

import (
	"context"
	"fmt"
	"strings"

	"github.com/alecthomas/kingpin/v2"
)

func init() {
	register(func(app *kingpin.Application, actions map[string]action) {
		parent := app.Command("upstream", "Look at the upstreams.")
		c := parent.Command("list", "List the upstreams that have announced themselves.")
		f := &operatorFlags{}
		f.addTo(c)
		actions[c.FullCommand()] = func(ctx context.Context) error { return listUpstreams(ctx, f) }
	})
}

func listUpstreams(ctx context.Context, f *operatorFlags) error {
	client, err := f.client()
	if err != nil {
		return err
	}
	reply, err := client.Read(ctx, "upstreams")
	if err != nil {
		return err
	}
	if f.output == "json" {
		return printMessage(reply)
	}
	var rows []string
	for _, u := range reply.GetUpstreams() {
		rows = append(rows, fmt.Sprintf("%s\t%s\t%s\t%s\t%s\t%t\t%d/%d\t%d", u.GetId(), u.GetFailureDomain(),
			u.GetKind(), strings.Join(u.GetServes(), ","), u.GetState(), u.GetPreemptible(),
			u.GetLoad().GetRunning(), u.GetLoad().GetSlots(), u.GetLoad().GetWaiting()))
	}
	printTable("ID\tDOMAIN\tKIND\tSERVES\tSTATE\tPREEMPTIBLE\tRUNNING\tWAITING", rows)
	return nil
}
