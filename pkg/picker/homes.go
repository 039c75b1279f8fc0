package picker

import (
	"slices"
	"sort"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/comfreybend/comfreybend/pkg/registrar"
)

// unread returns the tokens that an upstream is expected to read for a request,
// of whose shared parts it is expected to have read a share.
func (p *Placer) unread(now time.Duration, r PromptRequest, id registrar.UpstreamID, expected float64) float64 {
	fresh := float64(own(r.Parts, r.PromptTokens))
	shared := float64(r.PromptTokens) - fresh
	if shared <= 0 {
		return fresh
	}
	if p.holds(now, lastShared(r.Parts), id) {
		expected = hitShare
	}
	return fresh + shared*(1-expected)
}

// RecordPlacement remembers that an upstream reads a request's parts, and returns what
// others should know of it; false if they need not.
func (p *Placer) RecordPlacement(now time.Duration, r PromptRequest, id registrar.UpstreamID) (CachedPart, bool) {
	if len(r.Parts) < 2 {
		return CachedPart{}, false
	}
	h := CachedPart{Part: lastShared(r.Parts), Upstream: id}
	p.AddCached(now, h)
	return h, r.PromptTokens-own(r.Parts, r.PromptTokens) >= worthTelling
}

// AddCached remembers that an upstream has read a part, for this process or another.
func (p *Placer) AddCached(now time.Duration, h CachedPart) {
	if len(p.read) >= rememberedParts {
		for key, at := range p.read {
			if now-at > memoryLifetime {
				delete(p.read, key)
			}
		}
	}
	if len(p.read) < rememberedParts {
		p.read[h] = now
	}
}

// Forget drops what an upstream has read: it has ended or begun anew.
func (p *Placer) Forget(id registrar.UpstreamID) {
	for key := range p.read {
		if key.Upstream == id {
			delete(p.read, key)
		}
	}
}

func (p *Placer) holds(now time.Duration, part PrefixID, id registrar.UpstreamID) bool {
	at, found := p.read[CachedPart{Part: part, Upstream: id}]
	return found && now-at < memoryLifetime
}

// expected returns the share of the request's shared parts that each engine is
// expected to have read, as far as their hashes tell. If some engine is known
// to hold them, the homes are only those that read them next.
func (p *Placer) expected(now time.Duration, r PromptRequest, engines []Engine, light []bool, wanted bool) map[int]float64 {
	out := map[int]float64{}
	share := hitShare
	if p.held(now, r, engines) {
		share = nextReader
	}
	for _, i := range homesOf(r, engines, light, wanted) {
		out[i] = share
		share *= nextHome
	}
	return out
}

// held reports that some engine is known to hold the request's shared parts.
func (p *Placer) held(now time.Duration, r PromptRequest, engines []Engine) bool {
	for i := range engines {
		if p.holds(now, lastShared(r.Parts), engines[i].ID) {
			return true
		}
	}
	return false
}

// homesOf returns the positions of the engines in the request's group with the
// highest hashes of its last shared part, the highest first; none if it shares none.
func homesOf(r PromptRequest, engines []Engine, light []bool, wanted bool) []int {
	if len(r.Parts) < 2 {
		return nil
	}
	part := string(lastShared(r.Parts))
	settled := settledAge(engines)
	var (
		found  []int
		hashes []uint64
	)
	for i := range engines {
		if light != nil && light[i] != wanted || engines[i].Age < settled {
			continue
		}
		h := xxhash.Sum64String(part + "\x00" + string(engines[i].ID))
		at := sort.Search(len(hashes), func(k int) bool { return hashes[k] < h })
		if at >= homes {
			continue
		}
		found = slices.Insert(found, at, i)
		hashes = slices.Insert(hashes, at, h)
		if len(found) > homes {
			found, hashes = found[:homes], hashes[:homes]
		}
	}
	return found
}

// settledAge returns the age from which an engine is a home. One that is new
// beside the others would take parts away that they have read, and may soon be
// gone again.
func settledAge(engines []Engine) time.Duration {
	ages := make([]time.Duration, len(engines))
	for i := range engines {
		ages[i] = engines[i].Age
	}
	sort.Slice(ages, func(i, j int) bool { return ages[i] < ages[j] })
	return min(longestSettling, ages[len(ages)/2]/2)
}

// settledEngines returns the positions of the engines that are settled.
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

// lastShared returns the last part that other requests share.
func lastShared(parts []PromptPart) PrefixID {
	if len(parts) == 0 {
		return ""
	}
	return parts[max(0, len(parts)-2)].ID
}

// own returns the tokens of a prompt that no other request shares.
func own(parts []PromptPart, in int) int {
	shared := 0
	for _, part := range parts[:max(0, len(parts)-1)] {
		shared += part.Tokens
	}
	return max(0, in-shared)
}
