package controller

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/comfreybend/comfreybend/pkg/reporter"
	"github.com/comfreybend/comfreybend/schema/settings"
	"github.com/comfreybend/comfreybend/schema/state"
	"github.com/comfreybend/comfreybend/schema/wire"
)

// hostDecayDivisor limits how fast the number of expected hosts falls: from one
// window to the next by an eighth plus one.
const hostDecayDivisor = 8

// reportCollector sums the request counts that entry processes report for aligned
// windows, which begin at multiples of their length in agreed time. It collects
// while this process is the leader; see reporter.Collector.
type reportCollector struct {
	config reporter.Config

	mu sync.Mutex
	// current is nil before the first reset.
	current *reporter.Collector
}

func newReportCollector(s *settings.Control) *reportCollector {
	return &reportCollector{
		config: reporter.Config{
			WindowLength: s.GetAlignedWindow().AsDuration(),
			SettleTime:   s.GetAlignedSettle().AsDuration(),
			MaxWait:      s.GetAlignedLatest().AsDuration(),
		},
	}
}

// reset discards all counts and starts at the agreed time now. Nothing is lost:
// every entry process keeps reporting its recent windows.
func (r *reportCollector) reset(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.current = reporter.NewCollector(r.config, now)
}

// record adds the counts of an entry process's sync request, received at the agreed time now.
func (r *reportCollector) record(now time.Time, s *wire.Sync) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.current == nil {
		return
	}
	r.current.RecordReport(now, reporter.Host(s.GetHost()))
	for _, w := range s.GetWindows() {
		counts := reporter.Counts{}
		for organisation, n := range w.GetCounts() {
			counts[reporter.Organisation(organisation)] = n
		}
		r.current.Merge(reporter.Window(w.GetNumber()), reporter.Source(s.GetUsage().GetIncarnation()), counts)
	}
}

// dueReport returns the oldest complete window after last, the latest frozen
// one, and the number of entry hosts to expect in the next. expected is the
// number of hosts expected in this window.
func (r *reportCollector) dueReport(now time.Time, last uint64, expected int) (report Report, hosts int, found bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.current == nil {
		return Report{}, 0, false
	}
	w, found := r.current.NextComplete(now, reporter.Window(last), expected)
	if !found {
		return Report{}, 0, false
	}
	out := Report{Window: uint64(w), Counts: map[string]uint64{}}
	for organisation, n := range r.current.Sum(w) {
		out.Counts[string(organisation)] = n
	}
	// Hosts that fell silent stay expected for some windows, since they may be cut off for a while only.
	return out, max(r.current.ReportingHosts(w), expected-1-expected/hostDecayDivisor), true
}

// freezeAlignedWindow commits the report of the oldest complete aligned window, if there is one.
func (p *platformAgent) freezeAlignedWindow(ctx context.Context) error {
	c := p.controller
	now := c.gossip.trueTime(c.settings.GetHost().GetId())
	last, expected := c.stateMachine.AlignedWindow()
	report, hosts, found := c.reports.dueReport(now, last, expected)
	if !found {
		return nil
	}
	call, err := c.dialect.Usage(report)
	if err != nil {
		return errors.Wrap(err, "encoding a usage report")
	}
	freeze := &state.FreezeWindow{EndMillis: now.UnixMilli(), Number: report.Window, Report: call.Body, EntryHosts: int32(hosts)}
	_, err = c.propose(ctx, &state.Command{Kind: &state.Command_FreezeWindow{FreezeWindow: freeze}})
	return errors.Wrap(err, "freezing a usage window")
}
