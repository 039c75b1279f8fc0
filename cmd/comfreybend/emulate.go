package main

import (
	"context"
	"time"

	"github.com/alecthomas/kingpin/v2"

	"github.com/comfreybend/comfreybend/internal/emulator"
)

const (
	emulatedFirstToken       = 50 * time.Millisecond
	emulatedTokenInterval    = 20 * time.Millisecond
	emulatedAnnounceInterval = time.Second
	emulatedSlots            = 8
	emulatedTokens           = 32
)

func init() {
	register(func(app *kingpin.Application, actions map[string]action) {
		c := app.Command("emulate", "Run an emulated upstream for tests and experiments.")
		config := emulator.Config{}
		c.Flag("id", "Name of the upstream.").Required().StringVar(&config.ID)
		c.Flag("failure-domain", "Failure domain of the upstream.").Required().StringVar(&config.FailureDomain)
		c.Flag("kind", "model or service.").Default("model").EnumVar(&config.Kind, "model", "service")
		c.Flag("serves", "Model or service name; may be repeated.").Required().StringsVar(&config.Serves)
		c.Flag("software-version", "Version to announce; it is part of each token.").StringVar(&config.Version)
		c.Flag("listen", "Address to serve on.").Default("127.0.0.1:0").StringVar(&config.Listen)
		c.Flag("advertise", "URL to announce; by default the listening address.").StringVar(&config.Advertise)
		c.Flag("announce", "Base URL of an entry process's upstream interface; may be repeated.").
			Required().StringsVar(&config.Announce)
		c.Flag("announce-interval", "Time between announcements.").
			Default(emulatedAnnounceInterval.String()).DurationVar(&config.AnnounceInterval)
		c.Flag("preemptible", "Announce that the platform may reclaim the upstream.").BoolVar(&config.Preemptible)
		c.Flag("slots", "Requests that run at once.").Default("8").IntVar(&config.Slots)
		c.Flag("first-token", "Time to the first token.").
			Default(emulatedFirstToken.String()).DurationVar(&config.FirstToken)
		c.Flag("token-interval", "Time between tokens.").
			Default(emulatedTokenInterval.String()).DurationVar(&config.TokenInterval)
		c.Flag("tokens", "Tokens of a response if the request sets no maximum.").Default("32").IntVar(&config.Tokens)
		c.Flag("report-lag", "Age of the reported load.").Default("0s").DurationVar(&config.ReportLag)
		c.Flag("crash-on", "End when a response begins to a request whose body, or whose path at a service, holds this text.").StringVar(&config.CrashOnText)
		actions[c.FullCommand()] = func(ctx context.Context) error {
			return emulator.New(config).Run(ctx)
		}
	})
}
