package integration

import (
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
	"time"

	"google.golang.org/protobuf/types/known/durationpb"

	"github.com/comfreybend/comfreybend/internal/generator"
	"github.com/comfreybend/comfreybend/schema/experiment"
)

// clockTicksPerSecond is the unit of the CPU times in /proc/PID/stat.
const clockTicksPerSecond = 100

// cpuSeconds returns the user and system CPU time that a process has used.
func (p *process) cpuSeconds() float64 {
	data, err := os.ReadFile(filepath.Join("/proc", p.pid(), "stat"))
	if err != nil {
		p.t.Fatal(err)
	}
	fields := strings.Fields(string(data[strings.LastIndexByte(string(data), ')')+1:]))
	const userField, systemField = 11, 12
	user, _ := strconv.ParseFloat(fields[userField], 64)
	system, _ := strconv.ParseFloat(fields[systemField], 64)
	return (user + system) / clockTicksPerSecond
}

// residentBytes returns the resident memory of a process.
func (p *process) residentBytes() float64 {
	data, err := os.ReadFile(filepath.Join("/proc", p.pid(), "statm"))
	if err != nil {
		p.t.Fatal(err)
	}
	pages, _ := strconv.ParseFloat(strings.Fields(string(data))[1], 64)
	return pages * float64(os.Getpagesize())
}

// BenchmarkEntryOverhead sends the same load to engines directly and through one entry
// process, and reports the differences.
func BenchmarkEntryOverhead(b *testing.B) {
	for name, rate := range map[string]float64{"30rps": 30} {
		b.Run(name, func(b *testing.B) { measureOverhead(b, rate) })
	}
}

func measureOverhead(b *testing.B, rate float64) {
	const (
		tokens   = 417
		engines  = 4
		duration = 10 * time.Second
	)
	s := startSystem(b, layout{controls: 1, entries: []string{"a"}})
	s.configure()
	e := s.entries[0]
	var urls []string
	for i := range engines {
		u := s.startUpstream("engine-"+strconv.Itoa(i), "a", "model", "m", s.entries,
			"--slots", "256", "--token-interval", "20ms", "--first-token", "50ms")
		urls = append(urls, u.url)
	}
	s.startUpstream("orders-a", "a", "service", "orders", s.entries)
	key := s.grant("one")
	s.awaitKey(key.Key, e)
	s.awaitCompletion(e, key.Key)
	plan := func(key string, urls ...string) *experiment.Plan {
		return &experiment.Plan{Duration: durationpb.New(duration), Seed: 1, Streams: []*experiment.Stream{{
			Name: "load", Urls: urls, Key: key, Rate: rate, MinimumTokens: tokens, MaximumTokens: tokens,
		}}}
	}
	for b.Loop() {
		direct := generator.New(plan("", urls...)).Run(b.Context()).GetStreams()[0]
		idleMemory := e.residentBytes()
		before := e.cpuSeconds()
		var peak float64
		stop := make(chan struct{})
		sampled := make(chan struct{})
		go func() {
			defer close(sampled)
			for {
				select {
				case <-stop:
					return
				case <-time.After(200 * time.Millisecond):
					peak = max(peak, e.residentBytes())
				}
			}
		}()
		through := generator.New(plan(key.Key, "http://"+e.clientAddress)).Run(b.Context()).GetStreams()[0]
		used := e.cpuSeconds() - before
		close(stop)
		<-sampled
		openStreams := rate * float64(tokens) * 0.02
		b.ReportMetric(through.GetFirstToken().GetP50()-direct.GetFirstToken().GetP50(), "added-ms-first-p50")
		b.ReportMetric(through.GetFirstToken().GetP99()-direct.GetFirstToken().GetP99(), "added-ms-first-p99")
		b.ReportMetric(through.GetBetweenTokens().GetP50()-direct.GetBetweenTokens().GetP50(), "added-ms-token-p50")
		b.ReportMetric(through.GetBetweenTokens().GetP99()-direct.GetBetweenTokens().GetP99(), "added-ms-token-p99")
		b.ReportMetric(used/float64(through.GetTokens())*1e6, "cpu-us/token")
		b.ReportMetric(used/float64(through.GetSent())*1e6, "cpu-us/request")
		b.ReportMetric((peak-idleMemory)/openStreams/1024, "KiB/open-stream")
		b.ReportMetric(float64(through.GetAnswered())/float64(through.GetSent())*100, "answered-%")
	}
}
