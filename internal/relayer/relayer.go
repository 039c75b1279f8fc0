// Package relayer passes HTTP requests on from one entry process to another, and relays the
// responses as they come.
package relayer

import (
	"context"
	"fmt"
	"net/http"

	"github.com/pkg/errors"

	"github.com/comfreybend/comfreybend/internal/messenger"
	"github.com/comfreybend/comfreybend/schema/wire"
)

// Reasons for which a receiver does not take a request, in wire.Failure.
const (
	reasonNotReady = "notReady"
	reasonInvalid  = "invalid"
)

// maxPieceBytes bounds the data of a part of a response.
const maxPieceBytes = 32 << 10

type (
	// CutOffError reports a request that was not taken because the receiver cannot reach any
	// upstream either.
	CutOffError struct {
		Address string
	}

	// IncompleteError reports a response that ended before its last part.
	IncompleteError struct {
		Address string
		Cause   error
	}

	// relayKey is the context key of the *wire.Relay that a request was made from.
	relayKey struct{}
)

// Error implements error.
func (e *CutOffError) Error() string {
	return "entry process at " + e.Address + " cannot reach any upstream"
}

// Error implements error.
func (e *IncompleteError) Error() string {
	return fmt.Sprintf("response relayed from %s is incomplete: %v", e.Address, e.Cause)
}

// Unwrap returns the cause.
func (e *IncompleteError) Unwrap() error { return e.Cause }

// NotTaken reports whether a request that failed with err has certainly not been handled by the
// process that it was passed on to.
func NotTaken(err error) bool {
	var (
		unreachable *messenger.UnreachableError
		refused     *messenger.RemoteError
		cutOff      *CutOffError
	)
	if errors.As(err, &unreachable) {
		return !unreachable.MayHaveArrived
	}
	return errors.As(err, &refused) || errors.As(err, &cutOff)
}

// From returns what a request was passed on with, or nil if it came from a client.
func From(ctx context.Context) *wire.Relay {
	relay, _ := ctx.Value(relayKey{}).(*wire.Relay)
	return relay
}

// HeaderFields returns the fields of a header.
func HeaderFields(h http.Header) []*wire.HeaderField {
	fields := make([]*wire.HeaderField, 0, len(h))
	for name, values := range h {
		for _, value := range values {
			fields = append(fields, &wire.HeaderField{Name: name, Value: value})
		}
	}
	return fields
}

// header returns the header of fields.
func header(fields []*wire.HeaderField) http.Header {
	h := make(http.Header, len(fields))
	for _, f := range fields {
		h[f.GetName()] = append(h[f.GetName()], f.GetValue())
	}
	return h
}
