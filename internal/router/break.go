package router

import (
	"context"

	"github.com/comfreybend/comfreybend/internal/announcer"
	"github.com/comfreybend/comfreybend/pkg/isolator"
)

// recordBreak records the end of an engine, if that is why an attempt failed. at is nil if there
// was no response.
func (h *callHandler) recordBreak(ctx context.Context, g *grant, at *attempt, err error) {
	var againstPrompt bool
	h.engineEnded, againstPrompt = h.router.isolation.attemptBroke(ctx, h.call, g, at, err)
	if at != nil && at.eventsRelayed.Load() > 0 {
		h.progressed = true
	}
	if againstPrompt {
		h.promptEnds++
	}
	if h.engineEnded {
		run := announcer.RunOf(g.upstream.ID, g.upstream.Incarnation)
		ended := isolator.Run{ID: run, EndedAt: h.router.windows.Now()}
		h.endedRuns = append(h.endedRuns, ended)
		if !againstPrompt {
			h.earlyEnds = append(h.earlyEnds, ended)
		}
		h.endsReported = false
	}
}

// mayHaveEndedEngines reports whether the call or its prompt may be what ends engines, so that it is
// not sent to another one. The client of a stream that has begun has a part of the response, so it
// is resumed as long as nothing else speaks against it: domains are lost one engine after the other.
func (h *callHandler) mayHaveEndedEngines() bool {
	return h.promptEnds >= maxEndedEngines || h.endedTooMany() || h.router.isolation.endsUnder(h.call) > 0 ||
		h.router.isolation.suspects(h.call)
}

func (h *callHandler) endedTooMany() bool {
	return !h.progressed && len(h.endedRuns) >= maxEndedEngines
}

// reportEnds reports the engines that ended under the call. A call that shared an engine with the
// one at fault usually succeeds at another engine, and then nothing is reported.
func (h *callHandler) reportEnds() {
	if len(h.endedRuns) > 0 && !h.endsReported && !h.responded {
		h.endsReported = true
		h.router.isolation.recordEnds(h.call, h.endedBefore, h.endedRuns, h.earlyEnds)
	}
}

// recordSurvival records that an engine has survived the call.
func (h *callHandler) recordSurvival() {
	if h.responded {
		return
	}
	h.responded = true
	h.router.isolation.responded(h.call)
}
