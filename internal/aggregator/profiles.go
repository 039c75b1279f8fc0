package aggregator

import (
	"math"
	"time"

	"github.com/comfreybend/comfreybend/internal/announcer"
	"github.com/comfreybend/comfreybend/internal/tabulator"
	"github.com/comfreybend/comfreybend/pkg/profiler"
	"github.com/comfreybend/comfreybend/pkg/registrar"
	"github.com/comfreybend/comfreybend/pkg/timer"
	"github.com/comfreybend/comfreybend/schema/wire"
)

const (
	// maxGossipSums bounds the rows with observations in a message to another control process, at
	// about 60 bytes each. The others follow in later messages, in which they are one row again.
	maxGossipSums = 128
	// maxReplyProfiles bounds the changed profiles that are looked at for one reply, at about 45 bytes
	// each. If there are many upstreams, only those in the failure domain of the entry process are
	// sent.
	maxReplyProfiles = 1000
)

// addSums adds what the processes of a load have observed of upstreams, and returns it.
func (t *Table) addSums(now time.Duration, load *wire.LoadShare) map[profiler.Run]profiler.Sums {
	sums := announcer.SumsFromWire(load.GetSums())
	for run, s := range sums {
		t.profiles.Add(now, run, s)
	}
	return sums
}

// poolsOf returns a function that returns the pool of an upstream, or false if it is not known.
func poolsOf(places tabulator.Places) func(registrar.UpstreamID) (string, bool) {
	return func(id registrar.UpstreamID) (string, bool) {
		place, known := places[id]
		return place.Serves, known
	}
}

// Profiles returns the profiles of all upstreams that have one.
func (t *Table) Profiles(places tabulator.Places) []*wire.UpstreamProfile {
	t.mu.Lock()
	defer t.mu.Unlock()
	all, _ := t.profiles.Since(timer.Now(), 0, math.MaxInt, poolsOf(places))
	return announcer.ProfilesToWire(all)
}

// FillProfiles adds to a reply the profiles of upstreams that changed after the position in a load.
func (t *Table) FillProfiles(reply *wire.FollowReply, load *wire.LoadShare, domain registrar.FailureDomain, places tabulator.Places) {
	t.mu.Lock()
	defer t.mu.Unlock()
	after := profiler.Position(load.GetProfilePosition())
	if load.GetProfileTable() != reply.GetTable() {
		after = 0
	}
	changed, position := t.profiles.Since(timer.Now(), after, maxReplyProfiles, poolsOf(places))
	if len(places) > MaxDetailedUpstreams {
		own := changed[:0]
		for _, p := range changed {
			if places[p.Run.ID].Domain == domain {
				own = append(own, p)
			}
		}
		changed = own
	}
	reply.Profiles = &wire.UpstreamProfiles{Profiles: announcer.ProfilesToWire(changed), Position: uint64(position)}
}
