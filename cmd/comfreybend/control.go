package main

import (
	"context"
	"os"

	"github.com/alecthomas/kingpin/v2"
	"github.com/pkg/errors"

	"github.com/comfreybend/comfreybend/internal/controller"
	"github.com/comfreybend/comfreybend/internal/instrumenter"
	"github.com/comfreybend/comfreybend/internal/logger"
	"github.com/comfreybend/comfreybend/schema/settings"
)

func init() {
	register(func(app *kingpin.Application, actions map[string]action) {
		c := app.Command("control", "Run a control process, which keeps the durable state on a host with a disk.")
		flags := &daemonFlags{}
		flags.add(c)
		actions[c.FullCommand()] = func(ctx context.Context) error {
			s, err := flags.load()
			if err != nil {
				return err
			}
			return runControl(ctx, s, flags)
		}
	})
}

func runControl(ctx context.Context, s *settings.Settings, flags *daemonFlags) error {
	if s.GetControl() == nil {
		return errors.New("the settings have no control section")
	}
	log, lines, err := logger.New(os.Stdout, s.GetLogging().GetLevel(), "control", s.GetHost().GetId())
	if err != nil {
		return err
	}
	defer lines.Close()
	instruments := instrumenter.New("control")
	defer instruments.Close()
	instruments.CounterFunc("log_lines_dropped", lines.Dropped)
	c, err := controller.New(s, flags.controllerDialect(), log, instruments)
	if err != nil {
		return err
	}
	flags.watch(ctx, log, c.Reload)
	return c.Run(ctx)
}
