package fetcher

import (
	"time"

	"go.uber.org/zap"

	"github.com/comfreybend/comfreybend/pkg/timer"
)

// overdueTime is the time after which a fetch that has not ended is logged, and logged again.
const overdueTime = time.Second

// record is what is logged of a fetch: what took its time.
type record struct {
	startedAt, loggedAt time.Duration
	// passes counts how often the control processes were asked one after the other.
	passes int
	// requests counts all for parts, parts those that were added, failures the requests without a reply,
	// refused the parts of a revision that may not be applied, and restarts the contents that were given up.
	requests, parts, failures, refused, restarts int
	// slowest is the longest time of a request for a part, at the control process slowestAt.
	slowest   time.Duration
	slowestAt string
}

func newRecord() record {
	now := timer.Now()
	return record{startedAt: now, loggedAt: now}
}

func (r *record) addResult(result partResult) {
	if result.took > r.slowest {
		r.slowest, r.slowestAt = result.took, result.client.Address()
	}
	if result.err != nil {
		r.failures++
	}
}

// isOverdue reports whether the fetch is to be logged before its end.
func (r *record) isOverdue() bool {
	now := timer.Now()
	if now-r.loggedAt < overdueTime {
		return false
	}
	r.loggedAt = now
	return true
}

func (f *Fetch) logFields() []zap.Field {
	r := &f.record
	return []zap.Field{
		zap.Uint64("from", uint64(f.From)), zap.Uint64("revision", uint64(f.revision)), zap.Int("bytes", len(f.Data)),
		zap.Duration("took", timer.Now()-r.startedAt), zap.Int("passes", r.passes), zap.Int("requests", r.requests), zap.Int("parts", r.parts), zap.Int("failures", r.failures),
		zap.Int("refused", r.refused), zap.Int("restarts", r.restarts), zap.Duration("slowest", r.slowest), zap.String("slowestAt", r.slowestAt),
	}
}

// logOverdue logs a fetch that has not ended in time.
func (f *Fetcher) logOverdue(current *Fetch) {
	if !current.record.isOverdue() {
		return
	}
	target, _ := f.Wanted()
	f.log.Warn("fetching configuration changes takes long", append(current.logFields(), zap.Uint64("wanted", uint64(target)),
		zap.Uint64("least", uint64(current.Least)))...)
}
