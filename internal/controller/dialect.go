package controller

import (
	"context"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"github.com/comfreybend/comfreybend/internal/keeper"
	"github.com/comfreybend/comfreybend/pkg/registrar"
	"github.com/comfreybend/comfreybend/schema/state"
	"github.com/comfreybend/comfreybend/schema/wire"
)

// documentCallTimeout bounds one document or read of it, the wait for a quorum included.
const documentCallTimeout = 900 * time.Millisecond

type (
	// Dialect holds the seams to a platform with an interface of its own. The
	// zero value speaks the product's own.
	Dialect struct {
		// Handler serves operators and upstreams in place of the operator API.
		Handler func(Backend) http.Handler
		// Usage makes the call that reports the usage of one window.
		Usage func(Report) (Call, error)
		// Count makes the call that orders a number of upstreams.
		Count func(CountOrder) (Call, error)
	}

	// Backend is what a Handler may do. Its functions are safe for concurrent use.
	Backend struct {
		// Announce takes an announcement; HeardAt must be set.
		Announce func(registrar.Upstream)
		// Withdraw takes word that an upstream is gone; an incarnation of zero stands for the one known.
		Withdraw func(registrar.UpstreamID, registrar.Incarnation)
		// PutDocument commits a document. The error is an *InvalidDocumentError or a *FailedError.
		PutDocument func(context.Context, *state.Document) error
		// Document reads the latest document, confirmed by a majority; nil before
		// the first one. The error is a *FailedError.
		Document func(context.Context) ([]byte, error)
	}

	// Report is the usage of one window.
	Report struct {
		Window uint64
		Counts map[string]uint64
	}

	// CountOrder asks for a number of upstreams of one kind in one failure domain.
	CountOrder struct {
		Pool          string
		FailureDomain string
		Count         int
		Preemptible   bool
	}

	// Call is a request to the platform. The path is relative to the address in the settings.
	Call struct {
		Path string
		Body []byte
		// Header adds the holder and its fencing number.
		Header func(holder string, fence uint64) http.Header
	}

	// InvalidDocumentError refuses a document that cannot come into force.
	InvalidDocumentError struct {
		Detail string
	}
)

// Error implements error.
func (e *InvalidDocumentError) Error() string { return "invalid document: " + e.Detail }

func (c *Controller) publicHandler() http.Handler {
	if c.dialect.Handler == nil {
		return c.operatorHandler()
	}
	return c.dialect.Handler(Backend{
		Announce:    func(u registrar.Upstream) { c.table.update(u, true) },
		Withdraw:    c.table.withdraw,
		PutDocument: c.putDocument,
		Document:    c.readDocument,
	})
}

func (c *Controller) putDocument(ctx context.Context, d *state.Document) error {
	ctx, cancel := context.WithTimeout(ctx, documentCallTimeout)
	defer cancel()
	command := &state.Command{Kind: &state.Command_Document{Document: d}}
	reply := c.execute(ctx, &wire.Request{Kind: &wire.Request_Propose{Propose: command}})
	if f := reply.GetFailure(); f != nil {
		return errors.WithStack(&FailedError{Reason: f.GetReason(), Detail: f.GetDetail()})
	}
	outcome := reply.GetPropose().GetOutcome()
	if !outcome.GetAccepted() && outcome.GetReason() == keeper.ReasonInvalid {
		return &InvalidDocumentError{Detail: outcome.GetDetail()}
	}
	if !outcome.GetAccepted() {
		return &FailedError{Reason: outcome.GetReason(), Detail: outcome.GetDetail()}
	}
	return nil
}

func (c *Controller) readDocument(ctx context.Context) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, documentCallTimeout)
	defer cancel()
	reply := c.execute(ctx, &wire.Request{Kind: &wire.Request_Read{Read: &wire.Read{What: ReadDocument}}})
	if f := reply.GetFailure(); f != nil {
		return nil, &FailedError{Reason: f.GetReason(), Detail: f.GetDetail()}
	}
	return reply.GetRead().GetDocument(), nil
}
