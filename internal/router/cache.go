package router

import (
	"context"
	"net/http"

	"github.com/comfreybend/comfreybend/internal/announcer"
	"github.com/comfreybend/comfreybend/internal/ingester"
	"github.com/comfreybend/comfreybend/internal/translator"
	"github.com/comfreybend/comfreybend/schema/wire"
)

// maxCacheEventBytes bounds the body of a cache event.
const maxCacheEventBytes = 1 << 20

func decodeCacheEvent(_ context.Context, request *http.Request) (any, error) {
	body, err := ingester.Content(request, maxCacheEventBytes)
	if err != nil {
		return nil, translator.Refuse(http.StatusRequestEntityTooLarge, translator.CodeTooLarge, err.Error())
	}
	e := &wire.CacheEvent{}
	if err = fromUpstream.Unmarshal(body, e); err != nil {
		return nil, translator.Refuse(http.StatusBadRequest, translator.CodeMalformed, err.Error())
	}
	if e.GetUpstream() == "" || e.GetSequence() == 0 {
		return nil, translator.Refuse(http.StatusBadRequest, translator.CodeMalformed, "upstream or sequence is missing")
	}
	return e, nil
}

// cacheEventEndpoint applies a cache event of an upstream and forwards it to every peer if
// it is new.
func (r *Router) cacheEventEndpoint(_ context.Context, request any) (any, error) {
	e, _ := request.(*wire.CacheEvent)
	if r.dispatcher.applyCacheEvent(announcer.CacheEventFromWire(e)) {
		r.peers.mailer.QueueCacheEvent(e)
	}
	return nil, nil
}
