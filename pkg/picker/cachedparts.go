package picker

import (
	"slices"
	"sort"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/comfreybend/comfreybend/pkg/registrar"
)

// uncachedTokens returns the number of prompt tokens that an upstream is expected to compute for
// a request. hitRatio is the expected ratio of cached to shared tokens; it is replaced by
// cacheHitRatio if the upstream is assumed to have the last shared part cached.
func (p *Placer) uncachedTokens(now time.Duration, r PromptRequest, id registrar.UpstreamID, hitRatio float64) float64 {
	own := float64(ownTokens(r.Parts, r.PromptTokens))
	shared := float64(r.PromptTokens) - own
	if shared <= 0 {
		return own
	}
	if p.hasCached(now, lastSharedPart(r.Parts), id) {
		hitRatio = cacheHitRatio
	}
	return own + shared*(1-hitRatio)
}

// RecordPlacement records that an upstream computes the prompt of a request and thus caches its
// shared parts. It returns the last of these parts, and whether that is worth reporting to other
// processes.
func (p *Placer) RecordPlacement(now time.Duration, r PromptRequest, id registrar.UpstreamID) (CachedPart, bool) {
	if len(r.Parts) < 2 {
		return CachedPart{}, false
	}
	c := CachedPart{Part: lastSharedPart(r.Parts), Upstream: id}
	p.AddCached(now, c)
	return c, r.PromptTokens-ownTokens(r.Parts, r.PromptTokens) >= minReportedTokens
}

// AddCached records that an upstream has a part cached, after a placement by this process or a
// report from another one. If maxCachedParts are tracked already, expired ones are dropped; if
// none has expired, the new one is ignored.
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

// Forget drops the cached parts of an upstream that has stopped or restarted.
func (p *Placer) Forget(id registrar.UpstreamID) {
	for key := range p.cached {
		if key.Upstream == id {
			delete(p.cached, key)
		}
	}
}

// hasCached reports whether an upstream is assumed to have a part cached, which is the case for
// cachedPartLifetime after it was last recorded.
func (p *Placer) hasCached(now time.Duration, part PrefixID, id registrar.UpstreamID) bool {
	at, found := p.cached[CachedPart{Part: part, Upstream: id}]
	return found && now-at < cachedPartLifetime
}

// expectedHitRatios returns, by index of the engine, the ratio of the request's shared tokens that
// each preferred engine is expected to have cached. If some engine is assumed to have them
// cached already, the ratios are small and only decide which engine computes them next.
func (p *Placer) expectedHitRatios(now time.Duration, r PromptRequest, engines []Engine, lightGroup []bool, lightClass bool) map[int]float64 {
	out := map[int]float64{}
	ratio := cacheHitRatio
	if p.cachedAnywhere(now, r, engines) {
		ratio = tieBreakHitRatio
	}
	for _, i := range preferredEngines(r, engines, lightGroup, lightClass) {
		out[i] = ratio
		ratio *= nextHitRatioFactor
	}
	return out
}

// cachedAnywhere reports whether some engine is assumed to have the request's shared parts
// cached.
func (p *Placer) cachedAnywhere(now time.Duration, r PromptRequest, engines []Engine) bool {
	for i := range engines {
		if p.hasCached(now, lastSharedPart(r.Parts), engines[i].ID) {
			return true
		}
	}
	return false
}

// preferredEngines returns the indices of up to preferredCount settled engines of the request's
// group: those with the highest hash of the request's last shared part and the engine's ID
// (rendezvous hashing), the highest first. It returns none if the request shares no part.
func preferredEngines(r PromptRequest, engines []Engine, lightGroup []bool, lightClass bool) []int {
	if len(r.Parts) < 2 {
		return nil
	}
	part := string(lastSharedPart(r.Parts))
	minAge := minSettledAge(engines)
	var (
		found  []int
		hashes []uint64
	)
	for i := range engines {
		if lightGroup != nil && lightGroup[i] != lightClass || engines[i].Age < minAge || engines[i].Limited {
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

// minSettledAge returns the age from which an engine is settled: half the median age of the
// engines, at most maxSettledAge. Only settled engines are preferred for shared parts or added to
// the light group: an engine that is much younger than the others would attract requests whose
// parts older engines have cached, and may stop again soon.
func minSettledAge(engines []Engine) time.Duration {
	ages := make([]time.Duration, len(engines))
	for i := range engines {
		ages[i] = engines[i].Age
	}
	sort.Slice(ages, func(i, j int) bool { return ages[i] < ages[j] })
	return min(maxSettledAge, ages[len(ages)/2]/2)
}

// settledEngines returns the indices of the engines that are settled.
func settledEngines(engines []Engine) map[int]bool {
	minAge := minSettledAge(engines)
	out := make(map[int]bool, len(engines))
	for i := range engines {
		if engines[i].Age >= minAge && !engines[i].Limited {
			out[i] = true
		}
	}
	return out
}

// lastSharedPart returns the ID of the last but one part, which is the last one that is taken to
// be shared with other requests. It returns the part's ID for a prompt of one part, and the empty
// string for an empty prompt.
func lastSharedPart(parts []PromptPart) PrefixID {
	if len(parts) == 0 {
		return ""
	}
	return parts[max(0, len(parts)-2)].ID
}

// ownTokens returns the number of prompt tokens that are not shared with other requests: those of
// the last part and those that are in no part.
func ownTokens(parts []PromptPart, total int) int {
	shared := 0
	for _, part := range parts[:max(0, len(parts)-1)] {
		shared += part.Tokens
	}
	return max(0, total-shared)
}
