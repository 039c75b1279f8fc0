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

// reportCollector collects the counts of aligned windows while this process is in charge.
type reportCollector struct {
	length time.Duration
	settle time.Duration

	mu        sync.Mutex
	collector *reporter.Collector
}

func newReportCollector(s *settings.Control) *reportCollector {
	return &reportCollector{
		length: s.GetAlignedWindow().AsDuration(),
		settle: s.GetAlignedSettle().AsDuration(),
	}
}

// reset begins anew at a true time; every entry process tells its recent windows again.
func (r *reportCollector) reset(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.collector = reporter.NewCollector(r.length, r.settle, now)
}

func (r *reportCollector) note(s *wire.Sync) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.collector == nil {
		return
	}
	for _, w := range s.GetWindows() {
		counts := reporter.Counts{}
		for organisation, n := range w.GetCounts() {
			counts[reporter.Organisation(organisation)] = n
		}
		r.collector.Note(reporter.Window(w.GetNumber()), reporter.Source(s.GetUsage().GetIncarnation()), counts)
	}
}

// due returns the oldest window that is complete and not frozen.
func (r *reportCollector) due(now time.Time, last uint64) (Report, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.collector == nil {
		return Report{}, false
	}
	w, found := r.collector.Due(now, reporter.Window(last))
	if !found {
		return Report{}, false
	}
	out := Report{Window: uint64(w), Counts: map[string]uint64{}}
	for organisation, n := range r.collector.Sum(w) {
		out.Counts[string(organisation)] = n
	}
	return out, true
}

// freezeAligned commits the bytes of the aligned window that is complete, if any.
func (ch *charge) freezeAligned(ctx context.Context) error {
	c := ch.controller
	now := c.followers.trueTime(c.settings.GetHost().GetId())
	report, found := c.reports.due(now, c.keeper.AlignedWindow())
	if !found {
		return nil
	}
	call, err := c.dialect.Usage(report)
	if err != nil {
		return errors.Wrap(err, "encoding a usage report")
	}
	freeze := &state.FreezeWindow{EndMillis: now.UnixMilli(), Number: report.Window, Report: call.Body}
	_, err = c.propose(ctx, &state.Command{Kind: &state.Command_FreezeWindow{FreezeWindow: freeze}})
	return errors.Wrap(err, "freezing a usage window")
}
