package announcer

import (
	"time"

	"github.com/comfreybend/comfreybend/pkg/gatherer"
	"github.com/comfreybend/comfreybend/pkg/picker"
	"github.com/comfreybend/comfreybend/pkg/registrar"
	"github.com/comfreybend/comfreybend/schema/wire"
)

const (
	// hostPace is the time between two messages about the load for each entry
	// host that there is, so that control processes have no more to do the more
	// there are, within shortestPace and longestPace: the latter is less than the
	// engines of the platform's pages take to read four long prompts.
	hostPace     = 4 * time.Millisecond
	shortestPace = 200 * time.Millisecond
	longestPace  = 400 * time.Millisecond
)

// LoadInterval returns the time between two messages about the load.
func LoadInterval(entryHosts int) time.Duration {
	return min(max(time.Duration(entryHosts)*hostPace, shortestPace), longestPace)
}

// LoadsFromWire decodes the load that is put on upstreams.
func LoadsFromWire(loads []*wire.UpstreamLoad) map[registrar.UpstreamID]gatherer.Load {
	out := make(map[registrar.UpstreamID]gatherer.Load, len(loads))
	for _, l := range loads {
		out[registrar.UpstreamID(l.GetUpstream())] = gatherer.Load{
			Requests: int(l.GetRequests()), PendingTokens: int(l.GetTokens()), UncachedTokens: int(l.GetBegunTokens()),
		}
	}
	return out
}

// LoadsToWire encodes the load that is put on upstreams.
func LoadsToWire(loads map[registrar.UpstreamID]gatherer.Load) []*wire.UpstreamLoad {
	out := make([]*wire.UpstreamLoad, 0, len(loads))
	for id, l := range loads {
		out = append(out, &wire.UpstreamLoad{
			Upstream: string(id), Requests: int32(l.Requests), Tokens: int64(l.PendingTokens), BegunTokens: int64(l.UncachedTokens),
		})
	}
	return out
}

// CachedPartsFromWire decodes the parts that upstreams hold.
func CachedPartsFromWire(held []*wire.HeldPart) []picker.Holding {
	out := make([]picker.Holding, 0, len(held))
	for _, h := range held {
		out = append(out, picker.Holding{Part: picker.PrefixID(h.GetPart()), Upstream: registrar.UpstreamID(h.GetUpstream())})
	}
	return out
}

// CachedPartsToWire encodes the parts that upstreams hold.
func CachedPartsToWire(held []picker.Holding) []*wire.HeldPart {
	out := make([]*wire.HeldPart, 0, len(held))
	for _, h := range held {
		out = append(out, &wire.HeldPart{Part: string(h.Part), Upstream: string(h.Upstream)})
	}
	return out
}
