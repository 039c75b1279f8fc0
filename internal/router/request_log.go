package router

import (
	"time"

	"go.uber.org/zap"

	"github.com/comfreybend/comfreybend/internal/logger"
)

// requestIDField returns the log field with the id of the request, which all its log lines carry.
func (x *exchange) requestIDField() zap.Field { return zap.String("requestId", string(x.requestID)) }

// attemptID returns the id of the current attempt, which is also sent with the answer.
func (x *exchange) attemptID() AttemptID {
	if x.current == nil {
		return ""
	}
	return x.current.id
}

// age returns the time since the request arrived.
func (x *exchange) age() time.Duration {
	return x.router.dispatcher.now() - x.call.arrived
}

// placementFields returns the log fields that explain the choice of an upstream: its
// assumed load, the age of that figure, and the number of candidates.
func (x *exchange) placementFields(g *grant) []zap.Field {
	return []zap.Field{
		x.requestIDField(),
		zap.String("upstream", string(g.upstream.ID)),
		zap.String("upstreamDomain", string(g.upstream.FailureDomain)),
		zap.Int("candidates", g.decision.candidates),
		zap.Int("load", g.decision.load),
		zap.Duration("loadAge", g.decision.loadAge),
		zap.Int("unreadTokens", int(g.uncachedTokens)),
		zap.Duration("wait", g.grantedAt-x.call.arrived),
	}
}

// logServed logs a request whose answer was relayed; there is one such line per request.
func (x *exchange) logServed(g *grant, status int, firstByte time.Duration) {
	x.log.Named(logger.ServedRequests).Info("request served", append(x.placementFields(g),
		zap.String("attempt", string(x.attemptID())),
		zap.Int("status", status),
		zap.Int("attempts", x.attempts),
		zap.Duration("firstByte", firstByte),
		zap.Duration("whole", x.age()),
		zap.Uint64("events", uint64(x.lastEventID)),
		zap.String("organisation", string(x.call.client.organisation)),
		zap.String("class", x.call.class.GetName()),
		zap.Int32("tier", x.call.tier))...)
}
