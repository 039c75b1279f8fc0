package integration

import (
	"fmt"
	"testing"
	"time"

	"google.golang.org/protobuf/types/known/durationpb"

	"github.com/comfreybend/comfreybend/internal/emulator"
	"github.com/comfreybend/comfreybend/internal/generator"
	"github.com/comfreybend/comfreybend/schema/experiment"
	"github.com/comfreybend/comfreybend/schema/settings"
	"github.com/comfreybend/comfreybend/schema/state"
)

const (
	burstStart    = 10 * time.Second
	burstDuration = 60 * time.Second
	burstEnd      = burstStart + burstDuration
	burstTail     = 5 * time.Second
	burstFactor   = 45
	burstEngines  = 8
	// slowAt and crashAt are the times at which one engine becomes five times slower and another crashes.
	slowAt  = burstStart + 10*time.Second
	crashAt = burstStart + 20*time.Second
)

// BenchmarkBurst offers a burst of the lowest tier at three times the capacity for a
// minute, while one engine becomes five times slower, one crashes, and load reports
// lag by two seconds. It runs the standard policy with and without the burst, and the
// two baseline policies with it, each on equal emulated upstreams.
func BenchmarkBurst(b *testing.B) {
	for _, run := range []struct {
		name   string
		policy string
		factor float64
	}{
		{name: "standard-no-burst", policy: "standard", factor: 1},
		{name: "standard", policy: "standard", factor: burstFactor},
		{name: "random", policy: "random", factor: burstFactor},
		{name: "leastReported", policy: "leastReported", factor: burstFactor},
	} {
		b.Run(run.name, func(b *testing.B) {
			for b.Loop() {
				measureBurst(b, run.policy, run.factor)
			}
		})
	}
}

func burstConfiguration() *state.Configuration {
	c := sharedConfiguration()
	seconds := func(n int) *durationpb.Duration { return durationpb.New(time.Duration(n) * time.Second) }
	c.Classes = []*state.Class{
		{Name: "chat", Tier: 1, Target: &state.Target{FirstToken: seconds(1), WholeAnswer: seconds(30)}},
		{Name: "draft", Tier: 2, Target: &state.Target{WholeAnswer: seconds(20)}},
		{Name: "batch", Tier: 3, Target: &state.Target{WholeAnswer: seconds(30)}},
		{Name: "order", Tier: 1, Target: &state.Target{WholeAnswer: seconds(20)}},
	}
	c.Routes[0].Classes = []string{"chat", "draft", "batch"}
	return c
}

func measureBurst(b *testing.B, policy string, factor float64) {
	s := startSystem(b, layout{controls: 1, entries: []string{"a", "a", "a"}, adjustEntry: func(f *settings.Settings) {
		f.Logging.Level = "error"
		f.Entry.Policy = policy
	}})
	op := &state.Operation{Kind: &state.Operation_ApplyConfiguration{ApplyConfiguration: burstConfiguration()}}
	if _, err := s.operator().Change(b.Context(), op, -1, ""); err != nil {
		b.Fatal(err)
	}
	var engines []*upstreamProcess
	for i := range burstEngines {
		engines = append(engines, s.startUpstream(fmt.Sprint("engine-", i), "a", "model", "m", s.entries,
			"--slots", "8", "--token-interval", "20ms", "--first-token", "50ms", "--report-lag", "2s"))
	}
	s.startUpstream("orders-1", "a", "service", "orders", s.entries)
	keys := map[string]string{"one": s.grant("one").Key, "two": s.grant("two").Key}
	s.awaitKey(keys["one"], s.entries...)
	for _, e := range s.entries {
		s.awaitCompletion(e, keys["one"])
	}
	var crashed emulator.Stats
	slow := time.AfterFunc(slowAt, func() { engines[0].setFaults(b, emulator.InjectedFaults{SlowFactor: 5}) })
	crash := time.AfterFunc(crashAt, func() {
		crashed = engines[1].stats(b)
		engines[1].kill()
	})
	defer slow.Stop()
	defer crash.Stop()
	report := generator.New(burstPlan(s, keys, factor)).Run(b.Context())
	var generated int
	for i, e := range engines {
		if i == 1 {
			generated += crashed.EventsGenerated
			continue
		}
		generated += e.stats(b).EventsGenerated
	}
	reportBurst(b, report, generated)
}

func burstPlan(s *system, keys map[string]string, factor float64) *experiment.Plan {
	var urls []string
	for _, e := range s.entries {
		urls = append(urls, "http://"+e.clientAddress)
	}
	stream := func(class, organisation string, rate, factor float64) *experiment.Stream {
		out := &experiment.Stream{
			Name: class + "-" + organisation, Urls: urls, Key: keys[organisation], Class: class, Rate: rate,
			MinimumTokens: 50, MaximumTokens: 150, PromptBytes: 400,
			Bursts: []*experiment.Burst{{From: durationpb.New(burstStart), To: durationpb.New(burstEnd), Factor: factor}},
		}
		for _, c := range burstConfiguration().GetClasses() {
			if c.GetName() == class {
				out.TargetFirstToken = c.GetTarget().GetFirstToken()
				out.TargetWholeAnswer = c.GetTarget().GetWholeAnswer()
			}
		}
		return out
	}
	return &experiment.Plan{Duration: durationpb.New(burstEnd + burstTail), Seed: 7, Streams: []*experiment.Stream{
		stream("chat", "one", 4, 1), stream("chat", "two", 4, 1),
		stream("draft", "one", 3, 1), stream("draft", "two", 3, 1),
		stream("batch", "one", 2, factor), stream("batch", "two", 6, 1),
	}}
}

func reportBurst(b *testing.B, report *experiment.Report, generated int) {
	byName := map[string]*experiment.StreamReport{}
	var answered, good, failed uint64
	for _, r := range report.GetStreams() {
		byName[r.GetName()] = r
		good += r.GetGoodTokens()
		failed += uint64(r.GetFailed())
		answered += r.GetTokens()
		b.Logf("%-10s sent %5d answered %5d attained %5d not run %5d failed %3d first p50 %.0f p99 %.0f ms whole p99 %.0f ms",
			r.GetName(), r.GetSent(), r.GetAnswered(), r.GetAttained(), r.GetNotRun(), r.GetFailed(),
			r.GetFirstToken().GetP50(), r.GetFirstToken().GetP99(), r.GetWholeAnswer().GetP99())
	}
	attainment := func(class string) float64 {
		one, two := byName[class+"-one"], byName[class+"-two"]
		return 100 * float64(one.GetAttained()+two.GetAttained()) / float64(one.GetSent()+two.GetSent())
	}
	for _, class := range []string{"chat", "draft", "batch"} {
		b.ReportMetric(attainment(class), class+"-attained-%")
	}
	one, two := byName["batch-one"], byName["batch-two"]
	fair := min(float64(two.GetSent()), float64(one.GetAnswered()+two.GetAnswered())/2)
	b.ReportMetric(float64(two.GetAnswered())/fair, "worst-organisation-share")
	b.ReportMetric(float64(good)/report.GetSeconds(), "goodput-tokens/s")
	b.ReportMetric(100*(float64(generated)-float64(answered))/float64(generated), "wasted-%")
	b.ReportMetric(float64(failed), "failed")
	starved := 0
	for second := int(burstStart / time.Second); second < int(burstEnd/time.Second); second += 5 {
		count := 0
		for _, r := range []*experiment.StreamReport{one, two} {
			for i := second; i < second+5 && i < len(r.GetAnsweredBySecond()); i++ {
				count += int(r.GetAnsweredBySecond()[i])
			}
		}
		if count == 0 {
			starved++
		}
	}
	b.ReportMetric(float64(starved), "starved-5s-intervals")
}
