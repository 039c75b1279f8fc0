package router

import (
	"context"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"github.com/comfreybend/comfreybend/internal/ingester"
	"github.com/comfreybend/comfreybend/internal/relayer"
	"github.com/comfreybend/comfreybend/internal/translator"
)

// encodeRefusal writes an error as a refusal. Errors of other types become
// internal errors, after which the request may have run.
func (r *Router) encodeRefusal(_ context.Context, err error, w http.ResponseWriter) {
	var refusal *translator.RefusalError
	if (errors.As(err, new(*cutOffError)) || errors.As(err, new(*declinedError))) && relayer.Decline(w) {
		return
	}
	if !errors.As(err, &refusal) {
		refusal = translator.Refuse(http.StatusInternalServerError, "internal", err.Error())
		refusal.Run = translator.MayHaveRun
	}
	r.dialect.WriteRefusal(w, refusal)
}

// refuseAdmission refuses a request beyond those that may be in progress.
func (r *Router) refuseAdmission(w http.ResponseWriter, request *http.Request) {
	r.encodeRefusal(request.Context(), translator.RefuseWithRetryAfter(http.StatusServiceUnavailable, translator.CodeOverloaded,
		"too many requests in progress", time.Second), w)
}

// refuseRequestBody refuses a request whose body was not read to its end, and closes its connection.
func (r *Router) refuseRequestBody(w http.ResponseWriter, request *http.Request, err error) {
	ingester.CloseAfter(w, request)
	r.encodeRefusal(request.Context(), r.refuseBody(err), w)
}

// refuseBody returns the refusal of a request whose body was not read to its end.
func (r *Router) refuseBody(err error) *translator.RefusalError {
	if errors.As(err, new(*ingester.TooLargeError)) {
		return translator.Refuse(http.StatusRequestEntityTooLarge, translator.CodeTooLarge, err.Error())
	}
	if errors.As(err, new(*ingester.NoMemoryError)) || errors.As(err, new(*ingester.NoPlaceError)) {
		return translator.RefuseWithRetryAfter(http.StatusServiceUnavailable, translator.CodeOverloaded, err.Error(), r.retryAfter())
	}
	return translator.Refuse(http.StatusRequestTimeout, translator.CodeMalformed, err.Error())
}
