package router

import (
	"context"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"github.com/comfreybend/comfreybend/internal/announcer"
	"github.com/comfreybend/comfreybend/internal/dialer"
	"github.com/comfreybend/comfreybend/internal/prober"
	"github.com/comfreybend/comfreybend/internal/translator"
	"github.com/comfreybend/comfreybend/internal/withholder"
	"github.com/comfreybend/comfreybend/pkg/isolator"
	"github.com/comfreybend/comfreybend/pkg/timer"
	"github.com/comfreybend/comfreybend/schema/wire"
)

const (
	// beginTime is the time after the response headers in which the end of an engine speaks
	// against the prompt. An engine that survives a prompt for responseTime speaks for it.
	beginTime    = 500 * time.Millisecond
	responseTime = time.Second
	// commonEndTime is the time in which engines that this process finds to have ended may have a
	// common cause.
	commonEndTime = time.Second
	// maxEndedEngines is the number of engines that may end under one call.
	maxEndedEngines = 2
)

type (
	// isolation keeps the requests with prompt parts that crash engines away from them. It
	// collects evidence from the attempts of this process and, through the control processes,
	// of all others.
	isolation struct {
		router *Router
		prober *prober.Prober
		// accused is false while there is no evidence at all.
		accused atomic.Bool
		// changed wakes the controlPoller to send new evidence.
		changed chan struct{}

		mu       sync.Mutex
		isolator *isolator.Isolator
		held     map[isolator.PartID]isolator.Verdict
		// timer calls update when the next part is held.
		timer *time.Timer
		// inProgress holds the attempts of all calls.
		inProgress map[*attempt]*call
	}

	// heldPartError reports an attempt that was cancelled because a part of its prompt is held.
	heldPartError = withholder.HeldError
)

func newIsolation(r *Router) *isolation {
	return &isolation{
		router:     r,
		changed:    make(chan struct{}, 1),
		isolator:   isolator.New(),
		held:       map[isolator.PartID]isolator.Verdict{},
		timer:      time.NewTimer(0),
		inProgress: map[*attempt]*call{},
		prober:     prober.New(timer.Now, dialer.LocalAddr(r.settings.GetEntry().GetUpstreamLocalAddress())),
	}
}

// sharedIDs returns the ids of the parts of the prompt that the call shares with others.
func (c *call) sharedIDs() []isolator.PartID {
	parts := c.sharedParts()
	ids := make([]isolator.PartID, 0, len(parts)+1)
	for _, part := range parts {
		ids = append(ids, isolator.PartID(part.ID))
	}
	return ids
}

// suspectIDs returns the ids of what may be at fault if upstreams end under a call: the parts of
// its prompt that it shares with others, and the request as a whole.
func (s *isolation) suspectIDs(c *call) []isolator.PartID {
	ids := c.sharedIDs()
	if id := s.router.identityOf(c); id != "" {
		return append(ids, id)
	}
	return ids
}

// admit returns a refusal if the call or a part of its prompt is held. A call that is let through
// as a probe is marked as such.
func (s *isolation) admit(c *call) *translator.RefusalError {
	if !s.accused.Load() || c.probe {
		return nil
	}
	ids := s.suspectIDs(c)
	host, processes := s.router.settings.GetHost().GetId(), s.router.dispatcher.entryProcesses()
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.router.windows.Now()
	a := s.isolator.Admit(now, host, processes, ids)
	if a.Refused != nil {
		return refuseHeld(withholder.NewHeldError(*a.Refused, now))
	}
	if a.Probe {
		c.probe = true
		s.router.log.Info("sending a probe for a held prompt part", zap.String("requestId", string(c.Attempt)), zap.Any("parts", ids))
	}
	return nil
}

// refuseHeld returns the refusal of a request that is held. It is final only if it is certain that sending
// the request again does not help.
func refuseHeld(e *heldPartError) *translator.RefusalError {
	final, doubtful := translator.CodePartHeld, translator.CodePartSuspected
	if e.IsRequest() {
		final, doubtful = translator.CodeRequestHeld, translator.CodeRequestSuspected
	}
	if e.RetryAfter > 0 {
		return translator.RefuseWithRetryAfter(http.StatusServiceUnavailable, doubtful, e.Error(), e.RetryAfter)
	}
	return translator.Refuse(http.StatusUnprocessableEntity, final, e.Error())
}

// heldRefusal returns a refusal if one of the parts is held, without admitting a probe.
func (s *isolation) heldRefusal(parts []isolator.PartID) *translator.RefusalError {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, part := range parts {
		if v, held := s.held[part]; held {
			return refuseHeld(withholder.NewHeldError(v, s.router.windows.Now()))
		}
	}
	return nil
}

// track registers an attempt so that it can be cancelled, until it is closed.
func (s *isolation) track(c *call, at *attempt) {
	var ids []isolator.PartID
	if s.accused.Load() {
		ids = s.suspectIDs(c)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.isolator.RecordAttempt(ids)
	s.inProgress[at] = c
	at.onClose = func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		delete(s.inProgress, at)
	}
}

// attemptBroke reports whether an attempt broke off because its upstream ended under the call: not
// long after it had begun to write the response, or before that. The end also speaks against the
// parts of a prompt if the headers of a stream show that it had begun, and for them if it had
// gone on since. Any end tells that upstreams end whatever they process.
func (s *isolation) attemptBroke(ctx context.Context, c *call, g *grant, at *attempt, err error) (ended, againstPrompt bool) {
	begun := at != nil && s.router.dispatcher.now()-at.startedAt-at.timeToHeaders < beginTime
	if at != nil && c.stream && !begun {
		s.survived(ctx, c, g, at, err)
		return false, false
	}
	if !s.upstreamEnded(ctx, g, err) {
		return false, false
	}
	ids, run := c.sharedIDs(), announcer.RunOf(g.upstream.ID, g.upstream.Incarnation)
	againstPrompt = len(ids) > 0 && (begun || !c.stream)
	s.change(func(now time.Time) {
		if againstPrompt {
			s.isolator.RecordEnd(now, run, ids)
		} else {
			s.isolator.RecordEndAside(now, run)
		}
	})
	return true, againstPrompt
}

// survived records that an upstream which broke off a stream had gone on for a time after it had begun.
// Whether it has ended becomes known later, so that the stream can be resumed meanwhile.
func (s *isolation) survived(ctx context.Context, c *call, g *grant, at *attempt, err error) {
	active := time.Duration(at.lastActivity.Load())
	if s.accused.Load() && active-at.startedAt-at.timeToHeaders >= beginTime {
		ids, since := s.suspectIDs(c), s.router.dispatcher.now()-active
		s.change(func(now time.Time) { s.isolator.RecordResponse(now.Add(-since), ids) })
	}
	go func() {
		if s.upstreamEnded(context.WithoutCancel(ctx), g, err) {
			run := announcer.RunOf(g.upstream.ID, g.upstream.Incarnation)
			s.change(func(now time.Time) { s.isolator.RecordEndAside(now, run) })
		}
	}()
}

// recordEnds records that upstreams ended one after the other under a call, and after another one
// that was known to have ended under the same request when the call began. early are those that had not begun to answer.
func (s *isolation) recordEnds(c *call, before isolator.RunID, ends, early []isolator.Run) {
	if id := s.router.identityOf(c); id != "" {
		others := s.prober.Ended(commonEndTime)
		s.change(func(now time.Time) {
			s.isolator.RecordRequestEnds(now, id, len(c.sharedParts()), before, ends, others)
			s.isolator.RecordCallEnds(now, early, c.sharedIDs(), others)
		})
	}
}

// awaitVerdict waits until it is clear whether a request is held, if that is about to be: until
// then a response that speaks for it may become known, but no further upstream ends under it.
func (s *isolation) awaitVerdict(ctx context.Context, c *call) {
	ctx, stop := s.router.stopper.Wait(ctx)
	defer stop()
	for s.accused.Load() {
		s.mu.Lock()
		wait := s.isolator.SettlesIn(s.router.windows.Now(), s.router.identityOf(c))
		s.mu.Unlock()
		wait = min(wait, c.deadline-s.router.dispatcher.now())
		if wait <= 0 || !timer.Sleep(ctx, wait) {
			return
		}
	}
}

// latestEnd returns the run that is known to have ended last under the same request; zero for none.
func (s *isolation) latestEnd(c *call) isolator.RunID {
	if !s.accused.Load() {
		return 0
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.isolator.LatestEnd(s.router.identityOf(c))
}

// endsUnder returns the number of moments at which upstreams are known to have ended under the
// same request.
func (s *isolation) endsUnder(c *call) int {
	if !s.accused.Load() {
		return 0
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.isolator.Ends(s.router.identityOf(c))
}

// upstreamEnded reports whether an attempt broke off because its upstream has ended without
// saying before that it leaves.
func (s *isolation) upstreamEnded(ctx context.Context, g *grant, err error) bool {
	broke := prober.IsBreak(err) || isRefusedResend(err)
	return broke && !s.router.dispatcher.isLeaving(g.upstream) &&
		s.prober.HasEnded(ctx, announcer.RunOf(g.upstream.ID, g.upstream.Incarnation), g.upstream.URL)
}

// isRefusedResend reports whether net/http sent a request again when a reused connection broke,
// and found that the upstream refuses connections.
func isRefusedResend(err error) bool {
	var failure *attemptError
	return errors.As(err, &failure) && !failure.NotRun && errors.Is(err, syscall.ECONNREFUSED)
}

// responded records that an engine has survived a call's prompt.
func (s *isolation) responded(c *call) {
	if !s.accused.Load() {
		return
	}
	s.change(func(now time.Time) { s.isolator.RecordResponse(now, s.suspectIDs(c)) })
}

// suspects reports whether a part of the call's prompt may crash engines, so that it is not
// sent to another one.
func (s *isolation) suspects(c *call) bool {
	if !s.accused.Load() {
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.isolator.Suspects(s.router.windows.Now(), s.suspectIDs(c))
}

// merge adds the evidence of other processes.
func (s *isolation) merge(e *wire.Evidence) {
	if len(e.GetRuns())+len(e.GetParts()) == 0 {
		return
	}
	s.change(func(now time.Time) { s.isolator.Merge(now, announcer.EvidenceFromWire(e)) })
}

// since returns the evidence that changed after a position, and the position reached.
func (s *isolation) since(after isolator.Position) (*wire.Evidence, isolator.Position) {
	if !s.accused.Load() {
		return nil, 0
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	e, position := s.isolator.Since(after)
	return announcer.EvidenceToWire(e), position
}

// change changes the evidence and does what follows from it.
func (s *isolation) change(apply func(now time.Time)) {
	s.mu.Lock()
	before := s.isolator.Position()
	apply(s.router.windows.Now())
	changed := s.isolator.Position() != before
	s.mu.Unlock()
	if !changed {
		return
	}
	s.wake()
	s.update()
}

// wake makes the controlPoller send what is new.
func (s *isolation) wake() {
	select {
	case s.changed <- struct{}{}:
	default:
	}
}

// update brings the held parts up to date. Waiting requests with parts that are held now are
// refused, and attempts that engines have not answered yet are cancelled.
func (s *isolation) update() {
	s.mu.Lock()
	s.accused.Store(!s.isolator.IsEmpty())
	added := s.updateHeld()
	affected := s.affected(added)
	s.mu.Unlock()
	for at, v := range affected {
		at.cancelUnlessRelayed(withholder.NewHeldError(v, s.router.windows.Now()))
	}
	if len(added) > 0 {
		s.router.dispatcher.refuseWaiting(func(r dispatchRequest) *translator.RefusalError {
			if r.probe || r.call == nil {
				return nil
			}
			return s.heldRefusal(s.suspectIDs(r.call))
		})
	}
}

// updateHeld updates the held parts and returns those that were not held before. If the
// evidence against others has to settle first, update is called again.
func (s *isolation) updateHeld() []isolator.Verdict {
	var added []isolator.Verdict
	held := map[isolator.PartID]isolator.Verdict{}
	now := s.router.windows.Now()
	verdicts, next := s.isolator.Held(now)
	s.timer.Stop()
	if !next.IsZero() {
		s.timer = time.AfterFunc(next.Sub(now), s.update)
	}
	for _, v := range verdicts {
		held[v.Part] = v
		if _, before := s.held[v.Part]; !before {
			added = append(added, v)
			s.router.log.Warn("prompt part is held", withholder.Conviction{Verdict: v, Grounds: s.isolator.Grounds(v.Part)}.Fields()...)
		}
	}
	for part := range s.held {
		if _, still := held[part]; !still {
			s.router.log.Info("prompt part is not held any more", zap.String("part", string(part)))
		}
	}
	s.held = held
	s.router.metrics.HeldParts.Update(float64(len(held)))
	return added
}

// affected returns the attempts with parts that are held now.
func (s *isolation) affected(held []isolator.Verdict) map[*attempt]isolator.Verdict {
	out := map[*attempt]isolator.Verdict{}
	for at, c := range s.inProgress {
		if c.probe {
			continue
		}
		for _, own := range s.suspectIDs(c) {
			for _, v := range held {
				if own == v.Part {
					out[at] = v
				}
			}
		}
	}
	return out
}
