package announcer

import (
	"time"

	"github.com/comfreybend/comfreybend/pkg/gatherer"
	"github.com/comfreybend/comfreybend/pkg/picker"
	"github.com/comfreybend/comfreybend/pkg/registrar"
	"github.com/comfreybend/comfreybend/schema/wire"
)

const (
	// loadIntervalPerProcess is multiplied by the number of entry processes to get the
	// load interval, within the bounds below. Up to 100 of them thus send at most 250
	// messages per second in total to the control processes, so that these do not have
	// more to do the more entry processes there are.
	loadIntervalPerProcess = 4 * time.Millisecond
	minLoadInterval        = 200 * time.Millisecond
	// maxLoadInterval is shorter than the time that a model engine needs to prefill
	// four long prompts, according to the platform's documentation.
	maxLoadInterval = 400 * time.Millisecond
)

// LoadInterval returns the time between two load messages of a process in a cluster
// with the given number of entry processes.
func LoadInterval(entryProcesses int) time.Duration {
	return min(max(time.Duration(entryProcesses)*loadIntervalPerProcess, minLoadInterval), maxLoadInterval)
}

// LoadsFromWire decodes the load on each upstream.
func LoadsFromWire(loads []*wire.UpstreamLoad) map[registrar.UpstreamID]gatherer.Load {
	out := make(map[registrar.UpstreamID]gatherer.Load, len(loads))
	for _, l := range loads {
		out[registrar.UpstreamID(l.GetUpstream())] = gatherer.Load{
			Requests: int(l.GetRequests()), PendingTokens: int(l.GetTokens()), UncachedTokens: int(l.GetBegunTokens()),
		}
	}
	return out
}

// LoadsToWire encodes the load on each upstream.
func LoadsToWire(loads map[registrar.UpstreamID]gatherer.Load) []*wire.UpstreamLoad {
	out := make([]*wire.UpstreamLoad, 0, len(loads))
	for id, l := range loads {
		out = append(out, &wire.UpstreamLoad{
			Upstream: string(id), Requests: int32(l.Requests), Tokens: int64(l.PendingTokens), BegunTokens: int64(l.UncachedTokens),
		})
	}
	return out
}

// CachedPartsFromWire decodes the prompt parts that upstreams have in their caches.
func CachedPartsFromWire(parts []*wire.HeldPart) []picker.CachedPart {
	out := make([]picker.CachedPart, 0, len(parts))
	for _, p := range parts {
		out = append(out, picker.CachedPart{Part: picker.PrefixID(p.GetPart()), Upstream: registrar.UpstreamID(p.GetUpstream())})
	}
	return out
}

// CachedPartsToWire encodes the prompt parts that upstreams have in their caches.
func CachedPartsToWire(parts []picker.CachedPart) []*wire.HeldPart {
	out := make([]*wire.HeldPart, 0, len(parts))
	for _, p := range parts {
		out = append(out, &wire.HeldPart{Part: string(p.Part), Upstream: string(p.Upstream)})
	}
	return out
}
