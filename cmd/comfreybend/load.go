package main

import (
	"context"
	"fmt"
	"os"
	"strings"
	"time"

	"github.com/alecthomas/kingpin/v2"
	"github.com/pkg/errors"
	"google.golang.org/protobuf/types/known/durationpb"

	"github.com/comfreybend/comfreybend/internal/generator"
	"github.com/comfreybend/comfreybend/internal/validator"
	"github.com/comfreybend/comfreybend/schema/experiment"
)

// loadFlags holds the flags of the load command. They describe one request
// stream or name the file of a plan with several.
type loadFlags struct {
	plan     string
	urls     []string
	keyFile  string
	class    string
	model    string
	rate     float64
	duration time.Duration
	tokens   int32
	takeUps  int32
	output   string
}

func init() {
	register(func(app *kingpin.Application, actions map[string]action) {
		c := app.Command("load", "Generate open-loop load, whose arrivals do not wait for responses, and report the results.")
		f := &loadFlags{}
		c.Flag("plan", "JSON file with a plan of several streams; the other flags are then unused.").StringVar(&f.plan)
		c.Flag("url", "Base URL of an entry process or engine; may be repeated.").StringsVar(&f.urls)
		c.Flag("key-file", "File that holds an organisation key.").StringVar(&f.keyFile)
		c.Flag("class", "Class of work.").StringVar(&f.class)
		c.Flag("model", "Model to request.").Default("m").StringVar(&f.model)
		c.Flag("rate", "Requests a second.").Default("10").Float64Var(&f.rate)
		c.Flag("duration", "Length of the run.").Default("10s").DurationVar(&f.duration)
		c.Flag("tokens", "Tokens of each response.").Default("100").Int32Var(&f.tokens)
		c.Flag("take-ups", "Times that a response which breaks is taken up at the next URL.").Int32Var(&f.takeUps)
		c.Flag("output", "Form of the output: text or json.").Default("json").EnumVar(&f.output, "text", "json")
		actions[c.FullCommand()] = func(ctx context.Context) error { return runLoad(ctx, f) }
	})
}

func runLoad(ctx context.Context, f *loadFlags) error {
	plan, err := f.experimentPlan()
	if err != nil {
		return err
	}
	report := generator.New(plan).Run(ctx)
	if f.output == "json" {
		return printMessage(report)
	}
	var rows []string
	for _, s := range report.GetStreams() {
		rows = append(rows, fmt.Sprintf("%s\t%d\t%d\t%d\t%d\t%d\t%.1f\t%.1f\t%.1f", s.GetName(), s.GetSent(), s.GetAnswered(),
			s.GetAttained(), s.GetNotRun(), s.GetFailed(), s.GetFirstToken().GetP50(), s.GetFirstToken().GetP99(), s.GetFirstToken().GetP999()))
	}
	printTable("STREAM\tSENT\tANSWERED\tATTAINED\tNOT RUN\tFAILED\tFIRST P50 MS\tFIRST P99 MS\tFIRST P99.9 MS", rows)
	return nil
}

// experimentPlan returns the plan in the file, or else a plan with one stream that
// the flags describe.
func (f *loadFlags) experimentPlan() (*experiment.Plan, error) {
	if f.plan != "" {
		return readPlan(f.plan)
	}
	if len(f.urls) == 0 {
		return nil, errors.New("either --plan or --url is needed")
	}
	stream := &experiment.Stream{
		Name: "load", Urls: f.urls, Class: f.class, Model: f.model, Rate: f.rate,
		MinimumTokens: f.tokens, MaximumTokens: f.tokens, TakeUps: f.takeUps,
	}
	if f.keyFile != "" {
		key, err := os.ReadFile(f.keyFile)
		if err != nil {
			return nil, errors.Wrap(err, "reading the key")
		}
		stream.Key = strings.TrimSpace(string(key))
	}
	return &experiment.Plan{Duration: durationpb.New(f.duration), Streams: []*experiment.Stream{stream}}, nil
}

func readPlan(file string) (*experiment.Plan, error) {
	document, err := os.ReadFile(file)
	if err != nil {
		return nil, errors.Wrap(err, "reading the plan")
	}
	plan := &experiment.Plan{}
	if faults := validator.Decode(document, plan); len(faults) > 0 {
		return nil, &validator.FaultsError{File: file, Faults: faults}
	}
	return plan, nil
}
