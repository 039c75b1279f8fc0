package main

import (
	"context"

	"github.com/alecthomas/kingpin/v2"

	"github.com/comfreybend/comfreybend/internal/trier"
)

func init() {
	register(func(app *kingpin.Application, actions map[string]action) {
		c := app.Command("try", "Run a whole system in one process on loopback and print a sample request.")
		listen := c.Flag("listen", "Address for clients.").Default("127.0.0.1:8080").String()
		actions[c.FullCommand()] = func(ctx context.Context) error { return trier.New(*listen).Run(ctx) }
	})
}
