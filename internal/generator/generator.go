// Package generator offers load to entry processes or engines with arrivals
// that do not wait for answers, and reports what came back.
package generator

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/comfreybend/comfreybend/pkg/timer"

	"github.com/comfreybend/comfreybend/schema/experiment"
)

const (
	defaultModel   = "m"
	connections    = 4096
	idleTimeout    = time.Minute
	streamSeedStep = 0x9E3779B97F4A7C15
)

type (
	// Generator runs one plan.
	Generator struct {
		plan   *experiment.Plan
		client *http.Client
	}

	// flow is one stream of a plan while it runs.
	flow struct {
		stream   *experiment.Stream
		client   *http.Client
		random   *rand.Rand
		next     int
		recorder *recorder
	}
)

// New returns a generator for a plan.
func New(plan *experiment.Plan) *Generator {
	return &Generator{
		plan: plan,
		client: &http.Client{Transport: &http.Transport{
			MaxIdleConnsPerHost: connections,
			IdleConnTimeout:     idleTimeout,
			DisableCompression:  true,
		}},
	}
}

// Run offers the plan's load and waits for every answer or the end of ctx.
func (g *Generator) Run(ctx context.Context) *experiment.Report {
	begun := time.Now()
	var wait sync.WaitGroup
	flows := make([]*flow, 0, len(g.plan.GetStreams()))
	for i, s := range g.plan.GetStreams() {
		f := &flow{
			stream:   s,
			client:   g.client,
			random:   rand.New(rand.NewPCG(g.plan.GetSeed(), uint64(i)*streamSeedStep)),
			recorder: newRecorder(s),
		}
		flows = append(flows, f)
		wait.Go(func() { f.run(ctx, begun, g.plan.GetDuration().AsDuration()) })
	}
	wait.Wait()
	report := &experiment.Report{Seconds: time.Since(begun).Seconds()}
	for _, f := range flows {
		report.Streams = append(report.Streams, f.recorder.report())
	}
	return report
}

// run starts requests at random times whose mean rate is the stream's.
func (f *flow) run(ctx context.Context, begun time.Time, duration time.Duration) {
	var wait sync.WaitGroup
	defer wait.Wait()
	at := time.Duration(0)
	for {
		at += time.Duration(f.random.ExpFloat64() / f.rateAt(at) * float64(time.Second))
		if at >= duration || !timer.Sleep(ctx, time.Until(begun.Add(at))) {
			return
		}
		request, err := f.newRequest(ctx)
		if err != nil {
			return
		}
		second := int(at / time.Second)
		wait.Go(func() { f.recorder.record(second, f.client, request) })
	}
}

func (f *flow) rateAt(at time.Duration) float64 {
	rate := f.stream.GetRate()
	for _, b := range f.stream.GetBursts() {
		if at >= b.GetFrom().AsDuration() && at < b.GetTo().AsDuration() {
			rate *= b.GetFactor()
		}
	}
	return rate
}

func (f *flow) newRequest(ctx context.Context) (*http.Request, error) {
	s := f.stream
	base := s.GetUrls()[f.next%len(s.GetUrls())]
	f.next++
	tokens := int(s.GetMinimumTokens())
	if spread := int(s.GetMaximumTokens()) - tokens; spread > 0 {
		tokens += f.random.IntN(spread + 1)
	}
	model := s.GetModel()
	if model == "" {
		model = defaultModel
	}
	prompt := fmt.Sprintf("%d ", f.random.Uint64()) + strings.Repeat("word ", int(s.GetPromptBytes())/len("word "))
	body, err := json.Marshal(map[string]any{
		"model":      model,
		"stream":     true,
		"max_tokens": tokens,
		"messages":   []map[string]string{{"role": "user", "content": prompt}},
	})
	if err != nil {
		return nil, err
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost,
		base+"/v1/chat/completions", strings.NewReader(string(body)))
	if err != nil {
		return nil, err
	}
	request.Header.Set("Content-Type", "application/json")
	if s.GetKey() != "" {
		request.Header.Set("Authorization", "Bearer "+s.GetKey())
	}
	if s.GetClass() != "" {
		request.Header.Set("Comfreybend-Class", s.GetClass())
	}
	return request, nil
}
