// Package estimator estimates what the other entry processes have in progress at each upstream,
// from the sums over all processes that a control process reports.
package estimator

import (
	"time"

	"github.com/comfreybend/comfreybend/internal/announcer"
	"github.com/comfreybend/comfreybend/pkg/gatherer"
	"github.com/comfreybend/comfreybend/pkg/picker"
	"github.com/comfreybend/comfreybend/pkg/registrar"
	"github.com/comfreybend/comfreybend/schema/wire"
)

const (
	// lifetime is the time after which the load of the other processes is
	// considered unknown. Each process sends its load (a wire.LoadShare) several times in
	// that time.
	lifetime = 2 * time.Second
	// cachedPartLifetime is the time after which an upstream may have evicted a prompt
	// part that no request has used. It must equal the constants of the same name in
	// packages controller and picker.
	cachedPartLifetime = time.Minute
	// maxCachedParts is the largest number of recent cached parts to keep; each takes about
	// 100 bytes.
	maxCachedParts = 50_000
	// maxUnsentCachedParts is the length at which the queue of unsent cached parts takes no
	// new ones. It limits the size of a message, since the whole queue is sent in one. Parts
	// that are queued again after a failure may exceed it.
	maxUnsentCachedParts = 2000
)

type (
	// Estimator holds what a control process has reported about all entry processes: their
	// load on the upstreams, and the prompt parts that their requests got cached. It is not safe
	// for concurrent use.
	Estimator struct {
		// tableID identifies the control process's table that the sums come from; zero if
		// there is none.
		tableID uint64
		// sums holds the load of all entry processes, by upstream.
		sums map[registrar.UpstreamID]gatherer.Load
		// own is the load of this process that sums include.
		own map[registrar.UpstreamID]gatherer.Load
		// means holds, by failure domain and service, the mean load of the other entry
		// processes on an upstream. It is set for the other domains if there are too many
		// upstreams for a sum for each.
		means map[poolPlace]gatherer.Load
		// updatedAt is when the latest report arrived.
		updatedAt time.Duration
		// recentCachedParts holds the cached parts that were sent or received recently.
		recentCachedParts *gatherer.RecentSet[picker.CachedPart]
		// unsentCachedParts holds the cached parts to send with the next wire.LoadShare.
		unsentCachedParts []picker.CachedPart
		profiles          profiles
	}

	// poolPlace is a failure domain and the name of what is served there.
	poolPlace struct {
		domain registrar.FailureDomain
		name   string
	}
)

// New returns an estimator without any report.
func New() *Estimator {
	return &Estimator{recentCachedParts: gatherer.NewRecentSet[picker.CachedPart](cachedPartLifetime, maxCachedParts), profiles: newProfiles()}
}

// UpdatedAt returns when the latest report arrived.
func (e *Estimator) UpdatedAt() time.Duration { return e.updatedAt }

// HasSumsOf reports whether the sums come from the given table of a control process.
func (e *Estimator) HasSumsOf(tableID uint64) bool { return tableID != 0 && e.tableID == tableID }

func placeOf(u *registrar.Upstream) poolPlace {
	p := poolPlace{domain: u.FailureDomain}
	if len(u.Serves) > 0 {
		p.name = u.Serves[0]
	}
	return p
}

// RecordCachedPart records that a request of this process makes an upstream cache a prompt
// part, and queues it for sending unless it was sent or received recently or the queue is
// full.
func (e *Estimator) RecordCachedPart(now time.Duration, part picker.CachedPart) {
	if e.recentCachedParts.Add(now, part) && len(e.unsentCachedParts) < maxUnsentCachedParts {
		e.unsentCachedParts = append(e.unsentCachedParts, part)
	}
}

// LoadOfOthers returns the load of the other entry processes on an upstream, or false if
// no report arrived recently.
func (e *Estimator) LoadOfOthers(now time.Duration, u *registrar.Upstream) (gatherer.Load, bool) {
	if e.tableID == 0 || now-e.updatedAt > lifetime {
		return gatherer.Load{}, false
	}
	if mean, found := e.means[placeOf(u)]; found {
		return mean, true
	}
	return withoutLoad(e.sums[u.ID], e.own[u.ID]), true
}

// TakeUnsentCachedParts returns the cached parts that were not sent yet, and empties their queue.
func (e *Estimator) TakeUnsentCachedParts() []picker.CachedPart {
	parts := e.unsentCachedParts
	e.unsentCachedParts = nil
	return parts
}

// RequeueCachedParts queues the cached parts and the sums of a message again after it could not be sent.
func (e *Estimator) RequeueCachedParts(share *wire.LoadShare) {
	e.unsentCachedParts = append(e.unsentCachedParts, announcer.CachedPartsFromWire(share.GetHeld())...)
	e.profiles.observer.Add(announcer.SumsFromWire(share.GetSums()))
}

// Apply applies a reply of a control process: the sums that have changed since the requested
// position, and new cached parts, which it returns. The sums include the load of this process in
// share. upstreamOf returns an upstream, or nil if it is not known.
func (e *Estimator) Apply(
	now time.Duration, share *wire.LoadShare, reply *wire.FollowReply, upstreamOf func(registrar.UpstreamID) *registrar.Upstream,
) []picker.CachedPart {
	if e.tableID != reply.GetTable() {
		e.tableID, e.sums = reply.GetTable(), map[registrar.UpstreamID]gatherer.Load{}
	}
	e.updatedAt = now
	parts := announcer.CachedPartsFromWire(reply.GetHeld())
	for _, part := range parts {
		e.recentCachedParts.Add(now, part)
	}
	e.profiles.apply(reply, upstreamOf)
	e.own = announcer.LoadsFromWire(share.GetLoads())
	for id, load := range announcer.LoadsFromWire(reply.GetLoads()) {
		if load == (gatherer.Load{}) {
			delete(e.sums, id)
			continue
		}
		e.sums[id] = load
	}
	e.setMeans(reply.GetDomainLoads(), func(id registrar.UpstreamID) poolPlace {
		if u := upstreamOf(id); u != nil {
			return placeOf(u)
		}
		return poolPlace{}
	})
	return parts
}

// withoutLoad returns the part of a sum that is not own.
func withoutLoad(sum, own gatherer.Load) gatherer.Load {
	return gatherer.Load{
		Requests:       max(0, sum.Requests-own.Requests),
		PendingTokens:  max(0, sum.PendingTokens-own.PendingTokens),
		UncachedTokens: max(0, sum.UncachedTokens-own.UncachedTokens),
	}
}

// setMeans sets the means from the load of all entry processes by domain. placeOf returns
// the place of an upstream.
func (e *Estimator) setMeans(loads []*wire.DomainLoad, placeOf func(registrar.UpstreamID) poolPlace) {
	e.means = nil
	if len(loads) == 0 {
		return
	}
	own := map[poolPlace]gatherer.Load{}
	for id, load := range e.own {
		place := placeOf(id)
		sum := own[place]
		own[place] = gatherer.Load{
			Requests:       sum.Requests + load.Requests,
			PendingTokens:  sum.PendingTokens + load.PendingTokens,
			UncachedTokens: sum.UncachedTokens + load.UncachedTokens,
		}
	}
	e.means = make(map[poolPlace]gatherer.Load, len(loads))
	for _, l := range loads {
		place, upstreams := poolPlace{domain: registrar.FailureDomain(l.GetFailureDomain()), name: l.GetServes()}, max(1, int(l.GetUpstreams()))
		others := withoutLoad(gatherer.Load{
			Requests: int(l.GetRequests()), PendingTokens: int(l.GetTokens()), UncachedTokens: int(l.GetBegunTokens()),
		}, own[place])
		e.means[place] = gatherer.Load{
			Requests:       others.Requests / upstreams,
			PendingTokens:  others.PendingTokens / upstreams,
			UncachedTokens: others.UncachedTokens / upstreams,
		}
	}
}
