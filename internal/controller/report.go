package controller

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/comfreybend/comfreybend/internal/keeper"
	"github.com/comfreybend/comfreybend/pkg/reporter"
	"github.com/comfreybend/comfreybend/schema/settings"
	"github.com/comfreybend/comfreybend/schema/state"
	"github.com/comfreybend/comfreybend/schema/wire"
)

// expectedHostsDivisor limits how fast the number of expected hosts falls: from one
// window to the next by at most 1/expectedHostsDivisor of it plus one host.
const expectedHostsDivisor = 8

// windowCollector sums the request counts that entry processes report for aligned
// windows, which begin at multiples of their length in agreed time. It collects
// while this process is the leader; see reporter.Collector.
type windowCollector struct {
	config reporter.Config

	mu sync.Mutex
	// collector is nil before the first reset.
	collector *reporter.Collector
}

func newWindowCollector(s *settings.Control) *windowCollector {
	return &windowCollector{
		config: reporter.Config{
			WindowLength: s.GetAlignedWindow().AsDuration(),
			SettleTime:   s.GetAlignedSettle().AsDuration(),
			MaxWait:      s.GetAlignedLatest().AsDuration(),
		},
	}
}

// reset discards all counts and starts at the agreed time now. Nothing is lost:
// every entry process keeps reporting its recent windows.
func (c *windowCollector) reset(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.collector = reporter.NewCollector(c.config, now)
}

// record merges the counts of an entry process's sync request, received at the agreed
// time now. They are cumulative within a window.
func (c *windowCollector) record(now time.Time, s *wire.Sync) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.collector == nil {
		return
	}
	c.collector.RecordReport(now, reporter.Host(s.GetHost()))
	for _, w := range s.GetWindows() {
		counts := reporter.Counts{}
		for organisation, n := range w.GetCounts() {
			counts[reporter.Organisation(organisation)] = n
		}
		c.collector.Merge(reporter.Window(w.GetNumber()), reporter.Source(s.GetUsage().GetIncarnation()), counts)
	}
}

// nextCompleteReport returns the report of the oldest complete window whose number is greater
// than last, the number of the latest frozen window. expected is the number of entry
// hosts that are expected to report this window, nextExpected the number for the next.
func (c *windowCollector) nextCompleteReport(now time.Time, last uint64, expected int) (report UsageReport, nextExpected int, found bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.collector == nil {
		return UsageReport{}, 0, false
	}
	w, found := c.collector.NextComplete(now, reporter.Window(last), expected)
	if !found {
		return UsageReport{}, 0, false
	}
	out := UsageReport{Window: uint64(w), Counts: map[string]uint64{}}
	for organisation, n := range c.collector.Sum(w) {
		out.Counts[string(organisation)] = n
	}
	// Hosts that fell silent stay expected for some windows, since they may be partitioned only briefly.
	return out, max(c.collector.ReportingHosts(w), expected-1-expected/expectedHostsDivisor), true
}

// freezeAlignedWindow commits the report of the oldest complete aligned window, if there is one.
func (p *platformAgent) freezeAlignedWindow(ctx context.Context) error {
	c := p.controller
	now := c.clusterView.agreedTime(c.settings.GetHost().GetId())
	last, expected := c.stateMachine.AlignedWindow()
	report, nextExpected, found := c.windows.nextCompleteReport(now, last, expected)
	if !found {
		return nil
	}
	body, err := c.encodeReport(report)
	if err != nil {
		return err
	}
	freeze := &state.FreezeWindow{EndMillis: now.UnixMilli(), Number: report.Window, Report: body, EntryHosts: int32(nextExpected)}
	_, err = c.propose(ctx, &state.Command{Kind: &state.Command_FreezeWindow{FreezeWindow: freeze}})
	return errors.Wrap(err, "freezing a usage window")
}

// encodeReport encodes the report of an aligned window.
func (c *Controller) encodeReport(report UsageReport) ([]byte, error) {
	if c.dialect.UsageCall == nil {
		return keeper.EncodeAlignedReport(report.Window, c.settings.GetControl().GetAlignedWindow().AsDuration(), report.Counts)
	}
	call, err := c.dialect.UsageCall(report)
	return call.Body, errors.Wrap(err, "building the usage call")
}
