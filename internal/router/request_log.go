package router

import (
	"time"

	"go.uber.org/zap"

	"github.com/comfreybend/comfreybend/internal/logger"
	"github.com/comfreybend/comfreybend/internal/translator"
)

// maxLoggedParts bounds the prompt parts in a log line.
const maxLoggedParts = 8

// requestIDField returns the log field with the id of the request, which all its log lines carry.
func (h *callHandler) requestIDField() zap.Field { return zap.String("requestId", string(h.requestID)) }

// attemptID returns the id of the current attempt, which is also sent with the response.
func (h *callHandler) attemptID() translator.AttemptID {
	if h.current == nil {
		return ""
	}
	return h.current.id
}

// age returns the time since the request arrived.
func (h *callHandler) age() time.Duration {
	return h.router.dispatcher.now() - h.call.arrived
}

// placementFields returns the log fields that explain the choice of an upstream: its
// assumed load, the age of that figure, and the number of candidates.
func (h *callHandler) placementFields(g *grant) []zap.Field {
	return append([]zap.Field{
		h.requestIDField(),
		zap.String("upstream", string(g.upstream.ID)),
		zap.String("upstreamDomain", string(g.upstream.FailureDomain)),
		zap.String("version", string(g.upstream.Version)),
		zap.Int("candidates", g.placement.candidates),
		zap.Int("load", g.placement.load),
		zap.Duration("loadAge", g.placement.loadAge),
		zap.Int("unreadTokens", int(g.uncachedTokens)),
		zap.Duration("wait", g.grantedAt-h.call.arrived),
	}, g.profileFields()...)
}

// partsField returns the log field with the ids of the prompt's shared parts.
func (h *callHandler) partsField() zap.Field {
	parts := h.call.sharedParts()
	ids := make([]string, 0, min(len(parts), maxLoggedParts))
	for _, part := range parts[:min(len(parts), maxLoggedParts)] {
		ids = append(ids, string(part.ID)[:min(len(part.ID), maxLoggedBytes)])
	}
	return zap.Strings("parts", ids)
}

// identityField returns the log field with the identity of the request, by which it is found when
// it comes again.
func (h *callHandler) identityField() zap.Field {
	return zap.String("identity", string(h.router.identityOf(h.call)))
}

// logServed logs a request whose response was relayed; there is one such line per served
// request.
func (h *callHandler) logServed(g *grant, status int, timeToHeaders time.Duration) {
	h.log.Named(logger.ServedRequests).Info("request served", append(h.placementFields(g),
		zap.String("attempt", string(h.attemptID())),
		zap.Int("status", status),
		zap.Int("attempts", h.attempts),
		zap.Duration("firstByte", timeToHeaders),
		zap.Duration("whole", h.age()),
		zap.Uint64("events", uint64(h.lastEventID)),
		zap.String("resumes", string(h.call.Resumes)),
		zap.Uint64("resumedAfter", uint64(h.call.LastEventID)),
		zap.String("organisation", string(h.call.client.organisation)),
		zap.String("class", h.call.class.GetName()),
		zap.Int32("tier", h.call.tier))...)
}
