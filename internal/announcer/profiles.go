package announcer

import (
	"github.com/comfreybend/comfreybend/pkg/profiler"
	"github.com/comfreybend/comfreybend/pkg/registrar"
	"github.com/comfreybend/comfreybend/schema/wire"
)

// permille is the unit of speeds and fractions in messages.
const permille = 1000

// SumsFromWire decodes sums over observations of upstreams.
func SumsFromWire(sums []*wire.UpstreamSums) map[profiler.Run]profiler.Sums {
	out := make(map[profiler.Run]profiler.Sums, len(sums))
	for _, s := range sums {
		run := profiler.Run{ID: registrar.UpstreamID(s.GetUpstream()), Incarnation: registrar.Incarnation(s.GetIncarnation())}
		out[run] = profiler.Sums{
			Weight: float64(s.GetWeight()), LogSpeed: float64(s.GetLogSpeed()), Square: float64(s.GetSquare()),
			Attempts: int(s.GetAttempts()), Failures: int(s.GetFailures()),
		}
	}
	return out
}

// SumsToWire encodes sums over observations of upstreams.
func SumsToWire(sums map[profiler.Run]profiler.Sums) []*wire.UpstreamSums {
	out := make([]*wire.UpstreamSums, 0, len(sums))
	for run, s := range sums {
		out = append(out, &wire.UpstreamSums{
			Upstream: string(run.ID), Incarnation: uint64(run.Incarnation),
			Weight: float32(s.Weight), LogSpeed: float32(s.LogSpeed), Square: float32(s.Square),
			Attempts: int32(s.Attempts), Failures: int32(s.Failures),
		})
	}
	return out
}

// ProfilesFromWire decodes profiles of upstreams. Negative numbers count as not known.
func ProfilesFromWire(profiles []*wire.UpstreamProfile) []profiler.Published {
	out := make([]profiler.Published, 0, len(profiles))
	for _, p := range profiles {
		out = append(out, profiler.Published{
			Run: profiler.Run{ID: registrar.UpstreamID(p.GetUpstream()), Incarnation: registrar.Incarnation(p.GetIncarnation())},
			Profile: profiler.Profile{
				Speed: float64(max(0, p.GetSpeedPermille())) / permille, Excess: float64(max(0, p.GetExcessPermille())) / permille,
			},
		})
	}
	return out
}

// ProfilesToWire encodes profiles of upstreams.
func ProfilesToWire(profiles []profiler.Published) []*wire.UpstreamProfile {
	out := make([]*wire.UpstreamProfile, 0, len(profiles))
	for _, p := range profiles {
		out = append(out, &wire.UpstreamProfile{
			Upstream: string(p.Run.ID), Incarnation: uint64(p.Run.Incarnation),
			SpeedPermille: int32(p.Profile.Speed * permille), ExcessPermille: int32(p.Profile.Excess * permille),
		})
	}
	return out
}
