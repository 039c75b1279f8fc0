package main

import (
	"context"
	"os"

	"github.com/alecthomas/kingpin/v2"
	"github.com/pkg/errors"

	"github.com/comfreybend/comfreybend/internal/instrumenter"
	"github.com/comfreybend/comfreybend/internal/logger"
	"github.com/comfreybend/comfreybend/internal/router"
	"github.com/comfreybend/comfreybend/schema/settings"
)

func init() {
	register(func(app *kingpin.Application, actions map[string]action) {
		c := app.Command("entry", "Run an entry process, which stands between callers and upstreams.")
		flags := &daemonFlags{}
		flags.add(c)
		actions[c.FullCommand()] = func(ctx context.Context) error {
			s, err := flags.load()
			if err != nil {
				return err
			}
			return runEntry(ctx, s, flags)
		}
	})
}

func runEntry(ctx context.Context, s *settings.Settings, flags *daemonFlags) error {
	if s.GetEntry() == nil {
		return errors.New("the settings have no entry section")
	}
	log, lines, err := logger.New(os.Stdout, s.GetLogging().GetLevel(), "entry", s.GetHost().GetId())
	if err != nil {
		return err
	}
	defer lines.Close()
	instruments := instrumenter.New("entry")
	defer instruments.Close()
	instruments.CounterFunc("log_lines_dropped", lines.Dropped)
	r, err := router.New(s, flags.routerDialect(), log, instruments)
	if err != nil {
		return err
	}
	flags.watch(ctx, log, r.Reload)
	return r.Run(ctx)
}
