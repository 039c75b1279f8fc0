package router

import (
	"context"
	"io"
	"net/http"
	"net/url"

	kithttp "github.com/go-kit/kit/transport/http"
	"github.com/pkg/errors"
	"google.golang.org/protobuf/encoding/protojson"

	"github.com/comfreybend/comfreybend/internal/announcer"
	"github.com/comfreybend/comfreybend/pkg/registrar"
	"github.com/comfreybend/comfreybend/schema/wire"
)

// maxAnnouncementBytes bounds the body of an announcement.
const maxAnnouncementBytes = 64 << 10

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
	return mux
}

func decodeAnnouncement(_ context.Context, request *http.Request) (any, error) {
	body, err := io.ReadAll(http.MaxBytesReader(nil, request.Body, maxAnnouncementBytes))
	if err != nil {
		return nil, refuse(http.StatusRequestEntityTooLarge, CodeTooLarge, err.Error())
	}
	u := &wire.Upstream{}
	if err = protojson.Unmarshal(body, u); err != nil {
		return nil, refuse(http.StatusBadRequest, CodeMalformed, err.Error())
	}
	if err = validateAnnouncement(u); err != nil {
		return nil, refuse(http.StatusBadRequest, CodeMalformed, err.Error())
	}
	return u, nil
}

func validateAnnouncement(u *wire.Upstream) error {
	address, err := url.Parse(u.GetUrl())
	switch {
	case u.GetId() == "":
		return errors.New("id is missing")
	case err != nil || address.Host == "":
		return errors.New("url is missing or malformed")
	case u.GetKind() != string(registrar.KindModel) && u.GetKind() != string(registrar.KindService):
		return errors.New("kind must be model or service")
	case u.GetState() != string(registrar.Serving) && u.GetState() != string(registrar.Leaving):
		return errors.New("state must be serving or leaving")
	case len(u.GetServes()) == 0:
		return errors.New("serves is empty")
	default:
		return nil
	}
}

// announceEndpoint applies an announcement of an upstream and forwards it to every peer if
// it is new.
func (r *Router) announceEndpoint(_ context.Context, request any) (any, error) {
	u, _ := request.(*wire.Upstream)
	// The announcement comes from the upstream itself, so it has no age.
	u.AgeMillis = 0
	announced := announcer.FromWire(u, r.dispatcher.now())
	if r.dispatcher.applyAnnouncement(announced) {
		r.peers.queueAnnouncement(announced)
	}
	return nil, nil
}

func encodeNoContent(_ context.Context, w http.ResponseWriter, _ any) error {
	w.WriteHeader(http.StatusNoContent)
	return nil
}
