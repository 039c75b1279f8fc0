// Package announcer converts announcements of upstreams, and the load and cached
// prompt parts of upstreams, to and from their wire format. Times are sent as ages
// and durations, because the monotonic clocks of different processes cannot be compared.
package announcer

import (
	"time"

	"github.com/comfreybend/comfreybend/pkg/registrar"
	"github.com/comfreybend/comfreybend/schema/wire"
)

// maxStated bounds the durations that other processes state, so that sums do not overflow.
const maxStated = 10 * 365 * 24 * time.Hour

// Stated returns a duration that another process states in milliseconds. A negative one counts as
// zero: what was received is not from the future.
func Stated(millis int64) time.Duration {
	return time.Duration(max(0, min(millis, maxStated.Milliseconds()))) * time.Millisecond
}

// FromWire decodes an announcement. Its times are on this process's monotonic clock.
func FromWire(u *wire.Upstream, now time.Duration) registrar.Upstream {
	announcedAt := now - Stated(u.GetAgeMillis())
	return registrar.Upstream{
		ID:            registrar.UpstreamID(u.GetId()),
		Incarnation:   registrar.Incarnation(u.GetIncarnation()),
		Sequence:      registrar.Sequence(u.GetSequence()),
		URL:           u.GetUrl(),
		FailureDomain: registrar.FailureDomain(u.GetFailureDomain()),
		Kind:          registrar.Kind(u.GetKind()),
		Serves:        u.GetServes(),
		State:         registrar.State(u.GetState()),
		Version:       registrar.Version(u.GetVersion()),
		Preemptible:   u.GetPreemptible(),
		Load: registrar.Load{
			Running:    int(u.GetLoad().GetRunning()),
			Waiting:    int(u.GetLoad().GetWaiting()),
			Slots:      int(u.GetLoad().GetSlots()),
			MeasuredAt: announcedAt - Stated(u.GetLoad().GetAgeMillis()),
		},
		AnnouncedAt: announcedAt,

		ShutdownAt:   shutdownAt(u, announcedAt),
		StartedAt:    startedAt(u, announcedAt),
		WarmUpEndsAt: announcedAt + Stated(u.GetWarmupMillis()),
	}
}

// ToWire encodes an announcement for another process.
func ToWire(u *registrar.Upstream, now time.Duration) *wire.Upstream {
	return &wire.Upstream{
		Id:            string(u.ID),
		Incarnation:   uint64(u.Incarnation),
		Sequence:      uint64(u.Sequence),
		Url:           u.URL,
		FailureDomain: string(u.FailureDomain),
		Kind:          string(u.Kind),
		Serves:        u.Serves,
		State:         string(u.State),
		Version:       string(u.Version),
		Preemptible:   u.Preemptible,
		Load: &wire.Load{
			Running:   int32(u.Load.Running),
			Waiting:   int32(u.Load.Waiting),
			Slots:     int32(u.Load.Slots),
			AgeMillis: (u.AnnouncedAt - u.Load.MeasuredAt).Milliseconds(),
		},
		AgeMillis: (now - u.AnnouncedAt).Milliseconds(),

		LeavesMillis: max(0, u.ShutdownAt-u.AnnouncedAt).Milliseconds(),
		UpMillis:     upMillis(u),
		WarmupMillis: max(0, u.WarmUpEndsAt-u.AnnouncedAt).Milliseconds(),
	}
}

// startedAt returns when an upstream started, zero if that is not known.
func startedAt(u *wire.Upstream, announcedAt time.Duration) time.Duration {
	if u.GetUpMillis() == 0 {
		return 0
	}
	return announcedAt - Stated(u.GetUpMillis())
}

// upMillis returns how many milliseconds an upstream had been up when it was
// announced, at least 1; zero means that its start is not known.
func upMillis(u *registrar.Upstream) int64 {
	if u.StartedAt == 0 {
		return 0
	}
	return max(1, (u.AnnouncedAt - u.StartedAt).Milliseconds())
}

// shutdownAt returns when an upstream will be shut down, zero if that is not known.
func shutdownAt(u *wire.Upstream, announcedAt time.Duration) time.Duration {
	if u.GetLeavesMillis() == 0 {
		return 0
	}
	return announcedAt + Stated(u.GetLeavesMillis())
}
