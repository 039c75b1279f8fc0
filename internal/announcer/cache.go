package announcer

import (
	"github.com/comfreybend/comfreybend/pkg/picker"
	"github.com/comfreybend/comfreybend/pkg/registrar"
	"github.com/comfreybend/comfreybend/schema/wire"
)

// CacheEventFromWire returns the cache event in a message.
func CacheEventFromWire(e *wire.CacheEvent) picker.CacheEvent {
	return picker.CacheEvent{
		Upstream:    registrar.UpstreamID(e.GetUpstream()),
		Incarnation: registrar.Incarnation(e.GetIncarnation()),
		Sequence:    registrar.Sequence(e.GetSequence()),
		Stored:      prefixIDs(e.GetStored()),
		Removed:     prefixIDs(e.GetRemoved()),
	}
}

func prefixIDs(texts []string) []picker.PrefixID {
	out := make([]picker.PrefixID, 0, len(texts))
	for _, t := range texts {
		out = append(out, picker.PrefixID(t))
	}
	return out
}
