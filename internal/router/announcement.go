package router

import (
	"context"
	"net/http"
	"time"

	kithttp "github.com/go-kit/kit/transport/http"
	"go.uber.org/zap"
	"google.golang.org/protobuf/encoding/protojson"

	"github.com/comfreybend/comfreybend/internal/announcer"
	"github.com/comfreybend/comfreybend/internal/ingester"
	"github.com/comfreybend/comfreybend/internal/translator"
	"github.com/comfreybend/comfreybend/pkg/registrar"
	"github.com/comfreybend/comfreybend/schema/settings"
	"github.com/comfreybend/comfreybend/schema/wire"
)

const (
	// maxAnnouncementBytes bounds the body of an announcement.
	maxAnnouncementBytes = 64 << 10
	// upstreamMemoryBytes is the memory for cache events of more than 64 KiB that are read or applied at the same time.
	upstreamMemoryBytes = 8 << 20
)

// fromUpstream decodes what upstreams send. Later versions of them may send more.
var fromUpstream = protojson.UnmarshalOptions{DiscardUnknown: true}

// leaveSource is how an entry process has learnt that an upstream is leaving.
type leaveSource string

// The values of leaveSource.
const (
	leaveAnnounced  leaveSource = "announcement"
	leavePolled     leaveSource = "poll"
	leaveCommitted  leaveSource = "sync"
	leaveExchanged  leaveSource = "peer"
	leaveInResponse leaveSource = "response"
	leaveReplaced   leaveSource = "otherRun"
)

// announcementHandler serves the API on which upstreams announce themselves and report
// cache events.
func (r *Router) announcementHandler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle("POST /upstream/v1/announcements", kithttp.NewServer(
		r.announceEndpoint, decodeAnnouncement, encodeNoContent,
		kithttp.ServerErrorEncoder(r.encodeRefusal)))
	mux.Handle("POST /upstream/v1/cacheEvents", kithttp.NewServer(
		r.cacheEventEndpoint, decodeCacheEvent, encodeNoContent,
		kithttp.ServerErrorEncoder(r.encodeRefusal)))
	limits := r.settings.GetEntry().GetCallerLimits()
	bodies := ingester.NewSplitter(&settings.CallerLimits{
		BodyBytes: maxCacheEventBytes, BodyMemoryBytes: upstreamMemoryBytes, Bodies: limits.GetBodies(), BodyTimeout: limits.GetBodyTimeout(),
	}, func() time.Duration { return r.dispatcher.now() })
	bodies.Refuse = r.refuseRequestBody
	return bodies.Wrap(mux)
}

func decodeAnnouncement(_ context.Context, request *http.Request) (any, error) {
	body, err := ingester.Content(request, maxAnnouncementBytes)
	if err != nil {
		return nil, translator.Refuse(http.StatusRequestEntityTooLarge, translator.CodeTooLarge, err.Error())
	}
	u := &wire.Upstream{}
	if err = fromUpstream.Unmarshal(body, u); err != nil {
		return nil, translator.Refuse(http.StatusBadRequest, translator.CodeMalformed, err.Error())
	}
	if err = announcer.Validate(u); err != nil {
		return nil, translator.Refuse(http.StatusBadRequest, translator.CodeMalformed, err.Error())
	}
	return u, nil
}

// announceEndpoint applies an announcement of an upstream and forwards it to every peer if
// it is new.
func (r *Router) announceEndpoint(ctx context.Context, request any) (any, error) {
	u, _ := request.(*wire.Upstream)
	// The announcement comes from the upstream itself, so it has no age.
	u.AgeMillis = 0
	announced := announcer.FromWire(u, r.dispatcher.now())
	if announced.State != registrar.Leaving {
		// The commit may take long, or fail.
		r.withdrawOutdated(&announced)
		if err := r.tracker.Commit(ctx, &announced); err != nil {
			return nil, translator.RefuseWithRetryAfter(http.StatusServiceUnavailable, translator.CodeNoQuorum, err.Error(), inDoubtRetryAfter)
		}
	}
	if r.applyAnnouncement(announced, leaveAnnounced, u.GetUrl()) {
		r.peers.mailer.QueueAnnouncement(announced)
	}
	return nil, nil
}

// withdrawOutdated withdraws the upstreams of another version that an announcement shows to be over.
func (r *Router) withdrawOutdated(u *registrar.Upstream) {
	for _, known := range r.dispatcher.outdated(u) {
		if r.dispatcher.withdraw(known) {
			r.logLeave(*known, leaveReplaced, u.URL)
		}
	}
}

// applyAnnouncement applies an announcement that a process has sent, and reports whether it is
// newer than what was known. That a known upstream leaves is logged.
func (r *Router) applyAnnouncement(u registrar.Upstream, source leaveSource, sender string) bool {
	leaving := u.State == registrar.Leaving && r.dispatcher.isServing(&u)
	accepted := r.dispatcher.applyAnnouncement(u)
	if leaving && accepted {
		r.logLeave(u, source, sender)
	}
	return accepted
}

// applyDepartures applies the departures in a sync reply and returns the position reached.
func (r *Router) applyDepartures(reply *wire.SyncReply, sender string) registrar.Position {
	r.applyLeaving(reply.GetDepartures(), leaveCommitted, sender)
	return registrar.Position(reply.GetDeparturePosition())
}

// applyLeaving applies that runs of upstreams are leaving, also of those that are not known here.
func (r *Router) applyLeaving(runs []*wire.UpstreamRun, source leaveSource, sender string) {
	for _, run := range runs {
		d := registrar.Departure{ID: registrar.UpstreamID(run.GetId()), Incarnation: registrar.Incarnation(run.GetIncarnation())}
		if u := r.dispatcher.depart(d); u != nil {
			r.logLeave(*u, source, sender)
		}
	}
}

func (r *Router) logLeave(u registrar.Upstream, source leaveSource, sender string) {
	r.log.Info("upstream is leaving", zap.String("upstream", string(u.ID)), zap.Uint64("incarnation", uint64(u.Incarnation)),
		zap.String("source", string(source)), zap.String("sender", sender), zap.Duration("age", r.dispatcher.now()-u.AnnouncedAt))
}

func encodeNoContent(_ context.Context, w http.ResponseWriter, _ any) error {
	w.WriteHeader(http.StatusNoContent)
	return nil
}
