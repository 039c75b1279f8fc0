package main

import (
	"context"
	"fmt"

	"github.com/alecthomas/kingpin/v2"

	"github.com/comfreybend/comfreybend/internal/operator"
)

func init() {
	register(func(app *kingpin.Application, actions map[string]action) {
		c := app.Command("token", "Make a token for an operator and the line for the operator token file.")
		name := c.Arg("operator", "Name of the operator.").Required().String()
		actions[c.FullCommand()] = func(context.Context) error {
			token, hash := operator.NewToken()
			fmt.Println("token:", token)
			fmt.Printf("operator token file: {%q: %q}\n", *name, hash)
			return nil
		}
	})
}
