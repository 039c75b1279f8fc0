package main

import (
	"context"

	"github.com/alecthomas/kingpin/v2"

	"github.com/comfreybend/comfreybend/schema/state"
)

func init() {
	register(func(app *kingpin.Application, actions map[string]action) {
		c := app.Command("audit", "List every change that operators asked for, with its outcome.")
		f := &operatorFlags{}
		f.addTo(c)
		actions[c.FullCommand()] = func(ctx context.Context) error {
			return printAudit(ctx, f, func(*state.AuditRecord) bool { return true })
		}
	})
}
