// Package generator generates open-loop load on entry processes or engines: requests
// start independently of earlier responses. It reports latencies and outcomes.
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
	defaultModel       = "m"
	maxIdleConnections = 4096
	idleTimeout        = time.Minute
	// streamSeedStep separates the random sequences of the streams.
	streamSeedStep = 0x9E3779B97F4A7C15
)

type (
	// Generator runs a load plan.
	Generator struct {
		plan   *experiment.Plan
		client *http.Client
	}

	// streamRunner sends the requests of one request stream of a plan.
	streamRunner struct {
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
			MaxIdleConnsPerHost: maxIdleConnections,
			IdleConnTimeout:     idleTimeout,
			DisableCompression:  true,
		}},
	}
}

// Run sends the requests of the plan and waits until all have ended or ctx is done.
func (g *Generator) Run(ctx context.Context) *experiment.Report {
	start := time.Now()
	var wait sync.WaitGroup
	runners := make([]*streamRunner, 0, len(g.plan.GetStreams()))
	for i, s := range g.plan.GetStreams() {
		r := &streamRunner{
			stream:   s,
			client:   g.client,
			random:   rand.New(rand.NewPCG(g.plan.GetSeed(), uint64(i)*streamSeedStep)),
			recorder: newRecorder(s),
		}
		runners = append(runners, r)
		wait.Go(func() { r.run(ctx, start, g.plan.GetDuration().AsDuration()) })
	}
	wait.Wait()
	report := &experiment.Report{Seconds: time.Since(start).Seconds()}
	for _, r := range runners {
		report.Streams = append(report.Streams, r.recorder.report())
	}
	return report
}

// run starts requests as a Poisson process with the rate of the stream.
func (r *streamRunner) run(ctx context.Context, start time.Time, duration time.Duration) {
	var wait sync.WaitGroup
	defer wait.Wait()
	at := time.Duration(0)
	for {
		at += time.Duration(r.random.ExpFloat64() / r.rateAt(at) * float64(time.Second))
		if at >= duration || !timer.Sleep(ctx, time.Until(start.Add(at))) {
			return
		}
		request, err := r.newRequest(ctx)
		if err != nil {
			return
		}
		second, url := int(at/time.Second), r.next
		again := func() (*http.Request, error) {
			defer func() { url++ }()
			return cloneTo(ctx, request, r.stream.GetUrls()[url%len(r.stream.GetUrls())])
		}
		wait.Go(func() { r.recorder.sendAndRecord(second, r.client, request, again) })
	}
}

// cloneTo returns a copy of a request that goes to another base URL.
func cloneTo(ctx context.Context, request *http.Request, baseURL string) (*http.Request, error) {
	body, err := request.GetBody()
	if err != nil {
		return nil, err
	}
	clone, err := http.NewRequestWithContext(ctx, request.Method, baseURL+request.URL.Path, body)
	if err != nil {
		return nil, err
	}
	clone.Header = request.Header.Clone()
	return clone, nil
}

// rateAt returns the rate of the stream, bursts included, at a time after its start.
func (r *streamRunner) rateAt(at time.Duration) float64 {
	rate := r.stream.GetRate()
	for _, b := range r.stream.GetBursts() {
		if at >= b.GetFrom().AsDuration() && at < b.GetTo().AsDuration() {
			rate *= b.GetFactor()
		}
	}
	return rate
}

func (r *streamRunner) newRequest(ctx context.Context) (*http.Request, error) {
	s := r.stream
	baseURL := s.GetUrls()[r.next%len(s.GetUrls())]
	r.next++
	tokens := int(s.GetMinimumTokens())
	if span := int(s.GetMaximumTokens()) - tokens; span > 0 {
		tokens += r.random.IntN(span + 1)
	}
	model := s.GetModel()
	if model == "" {
		model = defaultModel
	}
	prompt := fmt.Sprintf("%d ", r.random.Uint64()) + strings.Repeat("word ", int(s.GetPromptBytes())/len("word "))
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
		baseURL+"/v1/chat/completions", strings.NewReader(string(body)))
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
