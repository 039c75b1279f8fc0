package announcer

import (
	"github.com/comfreybend/comfreybend/pkg/gatherer"
	"github.com/comfreybend/comfreybend/pkg/registrar"
	"github.com/comfreybend/comfreybend/schema/wire"
)

// LoadsFromWire decodes the load that is put on upstreams.
func LoadsFromWire(loads []*wire.UpstreamLoad) map[registrar.UpstreamID]gatherer.Load {
	out := make(map[registrar.UpstreamID]gatherer.Load, len(loads))
	for _, l := range loads {
		out[registrar.UpstreamID(l.GetUpstream())] = gatherer.Load{
			Requests: int(l.GetRequests()), Tokens: int(l.GetTokens()), Begun: int(l.GetBegunTokens()),
		}
	}
	return out
}

// LoadsToWire encodes the load that is put on upstreams.
func LoadsToWire(loads map[registrar.UpstreamID]gatherer.Load) []*wire.UpstreamLoad {
	out := make([]*wire.UpstreamLoad, 0, len(loads))
	for id, l := range loads {
		out = append(out, &wire.UpstreamLoad{
			Upstream: string(id), Requests: int32(l.Requests), Tokens: int64(l.Tokens), BegunTokens: int64(l.Begun),
		})
	}
	return out
}
