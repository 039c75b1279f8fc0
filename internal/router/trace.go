package router

import (
	"time"

	"go.uber.org/zap"

	"github.com/comfreybend/comfreybend/internal/logger"
)

// requestIDField leads from a request's id to its lines.
func (x *exchange) requestIDField() zap.Field { return zap.String("requestId", string(x.requestID)) }

// attemptID returns the id of the current attempt, which an answer carries.
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

// placementFields returns the fields that say why an upstream was chosen: what was
// believed of it, how old that was, and among how many it stood.
func (x *exchange) placementFields(g *grant) []zap.Field {
	return []zap.Field{
		x.requestIDField(),
		zap.String("upstream", string(g.upstream.ID)),
		zap.String("upstreamDomain", string(g.upstream.FailureDomain)),
		zap.Int("candidates", g.choice.candidates),
		zap.Int("load", g.choice.load),
		zap.Duration("loadAge", g.choice.loadAge),
		zap.Int("unreadTokens", int(g.unread)),
		zap.Duration("wait", g.at-x.call.arrived),
	}
}

// logServed writes the one line of a request whose answer was relayed.
func (x *exchange) logServed(g *grant, status int, firstByte time.Duration) {
	x.log.Named(logger.Served).Info("request served", append(x.placementFields(g),
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
