package controller

import (
	"encoding/json"
	"net"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"github.com/comfreybend/comfreybend/internal/admitter"
	"github.com/comfreybend/comfreybend/internal/bounder"
	"github.com/comfreybend/comfreybend/internal/ingester"
	"github.com/comfreybend/comfreybend/pkg/timer"
	"github.com/comfreybend/comfreybend/schema/settings"
)

const (
	// operatorHeaderBytes is the largest size of the headers of a request to the operator API.
	operatorHeaderBytes = 32 << 10
	// operatorIdleTimeout is the time after which a connection without requests is closed.
	operatorIdleTimeout = 2 * time.Minute
	// Reasons for which a body is refused. Its request has had no effect.
	reasonTooLarge    = "tooLarge"
	reasonOverloaded  = "overloaded"
	reasonIncomplete  = "incomplete"
	refusedRetryAfter = "1"
)

type (
	// bodyLimits bounds what clients of the operator API send.
	bodyLimits struct {
		admitter *admitter.Admitter
		bounder  *bounder.Bounder
		splitter *ingester.Splitter
	}

	// bodyRefusal is the response to a request whose body is refused, as both dialects read it.
	bodyRefusal struct {
		ErrorBody
		Error string `json:"error"`
	}
)

func newBodyLimits(l *settings.OperatorLimits) *bodyLimits {
	splitter := ingester.NewSplitter(&settings.CallerLimits{
		BodyBytes: maxChangeBytes, BodyMemoryBytes: l.GetDocumentMemoryBytes(), Bodies: l.GetBodies(), BodyTimeout: l.GetBodyTimeout(),
	}, timer.Now)
	splitter.Refuse = refuseBody
	return &bodyLimits{
		admitter: admitter.New(int(l.GetConnections())),
		bounder:  bounder.New(l.GetSocketMemoryBytes()),
		splitter: splitter,
	}
}

func (b *bodyLimits) wrap(l net.Listener) net.Listener { return b.admitter.Wrap(b.bounder.Wrap(l)) }

// server returns a server that calls h with requests whose bodies have been read.
func (b *bodyLimits) server(h http.Handler) *http.Server {
	return &http.Server{
		Handler: b.splitter.Wrap(h), MaxHeaderBytes: operatorHeaderBytes, IdleTimeout: operatorIdleTimeout,
		ConnState: b.admitter.ConnState, ConnContext: b.bounder.ConnContext,
	}
}

// refuseBody answers a request whose body was not read to its end.
func refuseBody(w http.ResponseWriter, _ *http.Request, err error) {
	status, reason := http.StatusRequestTimeout, reasonIncomplete
	switch {
	case errors.As(err, new(*ingester.TooLargeError)):
		status, reason = http.StatusRequestEntityTooLarge, reasonTooLarge
	case errors.As(err, new(*ingester.NoMemoryError)), errors.As(err, new(*ingester.NoPlaceError)):
		status, reason = http.StatusServiceUnavailable, reasonOverloaded
		w.Header().Set("Retry-After", refusedRetryAfter)
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(bodyRefusal{ErrorBody: ErrorBody{Reason: reason, Detail: err.Error()}, Error: err.Error()})
}
