package estimator

import (
	"time"

	"github.com/comfreybend/comfreybend/internal/announcer"
	"github.com/comfreybend/comfreybend/pkg/profiler"
	"github.com/comfreybend/comfreybend/pkg/registrar"
	"github.com/comfreybend/comfreybend/schema/wire"
)

const (
	// maxSentSums bounds the rows with sums in a message, at about 60 bytes each. Others follow with
	// the next messages, in which they are one row again.
	maxSentSums = 64
	// maxProfiles bounds the profiles that are kept, at about 100 bytes each.
	maxProfiles = 20_000
)

// profiles holds what this process observes of upstreams and what all processes have found out.
type profiles struct {
	observer *profiler.Observer
	known    map[registrar.UpstreamID]profiler.Published
	// position is the one reached in the profiles of the table with tableID.
	tableID, position uint64
}

func newProfiles() profiles {
	return profiles{observer: profiler.NewObserver(), known: map[registrar.UpstreamID]profiler.Published{}}
}

// Observer returns the observer of this process, whose sums are sent with the load.
func (e *Estimator) Observer() *profiler.Observer { return e.profiles.observer }

// FillShare adds what was observed since the previous report, and the position in the profiles.
func (e *Estimator) FillShare(share *wire.LoadShare) {
	share.Sums = announcer.SumsToWire(e.profiles.observer.Take(maxSentSums))
	share.ProfileTable, share.ProfilePosition = e.profiles.tableID, e.profiles.position
}

// ProfileOf returns the profile of an upstream. The speed stays known while no report arrives; that
// the upstream fails more than others does not, because it may have changed within seconds.
func (e *Estimator) ProfileOf(now time.Duration, u *registrar.Upstream) profiler.Profile {
	known := e.profiles.known[u.ID]
	if known.Run.Incarnation != u.Incarnation {
		return profiler.Profile{}
	}
	if now-e.updatedAt > lifetime {
		known.Profile.Excess = 0
	}
	return known.Profile
}

// apply applies the profiles in a reply. Those of another control process's table that it does not
// name stay, except for failures.
func (p *profiles) apply(reply *wire.FollowReply, upstreamOf func(registrar.UpstreamID) *registrar.Upstream) {
	if reply.GetProfiles() == nil {
		return
	}
	if p.tableID != reply.GetTable() {
		for id, known := range p.known {
			known.Profile.Excess = 0
			p.known[id] = known
		}
	}
	p.tableID, p.position = reply.GetTable(), reply.GetProfiles().GetPosition()
	for _, published := range announcer.ProfilesFromWire(reply.GetProfiles().GetProfiles()) {
		p.known[published.Run.ID] = published
	}
	if len(p.known) > maxProfiles {
		for id := range p.known {
			if upstreamOf(id) == nil {
				delete(p.known, id)
			}
		}
	}
}
