package picker

import (
	"slices"
	"sort"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/comfreybend/comfreybend/pkg/registrar"
)

// uncachedTokens returns the number of prompt tokens that an upstream is expected to process
// for a request, given the share of the shared tokens that it is expected to have cached.
func (p *Placer) uncachedTokens(now time.Duration, r PromptRequest, id registrar.UpstreamID, hitShare float64) float64 {
	fresh := float64(ownTokens(r.Parts, r.PromptTokens))
	shared := float64(r.PromptTokens) - fresh
	if shared <= 0 {
		return fresh
	}
	if p.hasCached(now, lastSharedPart(r.Parts), id) {
		hitShare = cacheHitShare
	}
	return fresh + shared*(1-hitShare)
}

// RecordPlacement records that an upstream processes the prompt of a request and thus caches
// its shared parts. It returns the cached part, and whether it is worth telling other
// processes.
func (p *Placer) RecordPlacement(now time.Duration, r PromptRequest, id registrar.UpstreamID) (CachedPart, bool) {
	if len(r.Parts) < 2 {
		return CachedPart{}, false
	}
	c := CachedPart{Part: lastSharedPart(r.Parts), Upstream: id}
	p.AddCached(now, c)
	return c, r.PromptTokens-ownTokens(r.Parts, r.PromptTokens) >= minAnnouncedTokens
}

// AddCached records that an upstream has a part cached, as seen by this process or reported by
// another. Once too many parts are tracked, expired ones are dropped; if there are none, the new
// one is ignored.
func (p *Placer) AddCached(now time.Duration, c CachedPart) {
	if len(p.cached) >= maxCachedParts {
		for key, at := range p.cached {
			if now-at > cachedPartLifetime {
				delete(p.cached, key)
			}
		}
	}
	if len(p.cached) < maxCachedParts {
		p.cached[c] = now
	}
}

// Forget drops the cached parts of an upstream that has ended or restarted.
func (p *Placer) Forget(id registrar.UpstreamID) {
	for key := range p.cached {
		if key.Upstream == id {
			delete(p.cached, key)
		}
	}
}

// hasCached reports whether an upstream is known to have a part cached.
func (p *Placer) hasCached(now time.Duration, part PrefixID, id registrar.UpstreamID) bool {
	at, found := p.cached[CachedPart{Part: part, Upstream: id}]
	return found && now-at < cachedPartLifetime
}

// expectedHits returns, by index of the engine, the share of the request's shared tokens that
// the preferred engines are expected to have cached. If some engine is known to have them
// cached, the shares are small and only decide which engine processes them next.
func (p *Placer) expectedHits(now time.Duration, r PromptRequest, engines []Engine, lightGroup []bool, lightClass bool) map[int]float64 {
	out := map[int]float64{}
	share := cacheHitShare
	if p.cachedAnywhere(now, r, engines) {
		share = tieBreakHitShare
	}
	for _, i := range preferredEngines(r, engines, lightGroup, lightClass) {
		out[i] = share
		share *= nextPreferredFactor
	}
	return out
}

// cachedAnywhere reports whether some engine is known to have the request's shared parts
// cached.
func (p *Placer) cachedAnywhere(now time.Duration, r PromptRequest, engines []Engine) bool {
	for i := range engines {
		if p.hasCached(now, lastSharedPart(r.Parts), engines[i].ID) {
			return true
		}
	}
	return false
}

// preferredEngines returns the indices of the settled engines in the request's group with the
// highest hashes of its last shared part and their id (rendezvous hashing), the highest first,
// or none if the request shares no part.
func preferredEngines(r PromptRequest, engines []Engine, lightGroup []bool, lightClass bool) []int {
	if len(r.Parts) < 2 {
		return nil
	}
	part := string(lastSharedPart(r.Parts))
	settled := settledAge(engines)
	var (
		found  []int
		hashes []uint64
	)
	for i := range engines {
		if lightGroup != nil && lightGroup[i] != lightClass || engines[i].Age < settled {
			continue
		}
		h := xxhash.Sum64String(part + "\x00" + string(engines[i].ID))
		at := sort.Search(len(hashes), func(k int) bool { return hashes[k] < h })
		if at >= preferredCount {
			continue
		}
		found = slices.Insert(found, at, i)
		hashes = slices.Insert(hashes, at, h)
		if len(found) > preferredCount {
			found, hashes = found[:preferredCount], hashes[:preferredCount]
		}
	}
	return found
}

// settledAge returns the age from which an engine is settled and can be preferred. An engine
// that is much younger than the others would draw away requests whose parts those have cached,
// and may soon be gone again.
func settledAge(engines []Engine) time.Duration {
	ages := make([]time.Duration, len(engines))
	for i := range engines {
		ages[i] = engines[i].Age
	}
	sort.Slice(ages, func(i, j int) bool { return ages[i] < ages[j] })
	return min(maxSettledAge, ages[len(ages)/2]/2)
}

// settledEngines returns the indices of the engines that are settled.
func settledEngines(engines []Engine) map[int]bool {
	age := settledAge(engines)
	out := make(map[int]bool, len(engines))
	for i := range engines {
		if engines[i].Age >= age {
			out[i] = true
		}
	}
	return out
}

// lastSharedPart returns the last part that is shared with other requests. For a prompt of one
// part that is the part itself, for an empty one the empty string.
func lastSharedPart(parts []PromptPart) PrefixID {
	if len(parts) == 0 {
		return ""
	}
	return parts[max(0, len(parts)-2)].ID
}

// ownTokens returns the number of prompt tokens that are not shared with other requests.
func ownTokens(parts []PromptPart, total int) int {
	shared := 0
	for _, part := range parts[:max(0, len(parts)-1)] {
		shared += part.Tokens
	}
	return max(0, total-shared)
}
