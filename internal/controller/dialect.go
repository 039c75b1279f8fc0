package controller

import (
	"bytes"
	"context"
	"net/http"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"
	"google.golang.org/protobuf/proto"

	"github.com/comfreybend/comfreybend/internal/configurer"
	"github.com/comfreybend/comfreybend/internal/keeper"
	"github.com/comfreybend/comfreybend/pkg/registrar"
	"github.com/comfreybend/comfreybend/schema/state"
	"github.com/comfreybend/comfreybend/schema/wire"
)

// documentCallTimeout bounds a write or read of a small document, including the wait for a
// majority.
const documentCallTimeout = 900 * time.Millisecond

type (
	// Dialect holds the functions that adapt the controller to a platform with its
	// own HTTP interface. The zero value stands for the native interface.
	Dialect struct {
		// Handler makes the handler that replaces the operator API for operators and upstreams.
		Handler func(Backend) http.Handler
		// UsageCall builds the call that reports the usage of one window.
		UsageCall func(UsageReport) (Call, error)
		// ScaleCall builds the call that sets the desired number of upstreams.
		ScaleCall func(ScaleOrder) (Call, error)
	}

	// Backend holds the functions of the controller that a Handler may call. They
	// are safe for concurrent use.
	Backend struct {
		// Announce applies an announcement of an upstream. AnnouncedAt must be set. A leave
		// may be acknowledged only if the error is nil; it is a *RequestFailedError.
		Announce func(context.Context, registrar.Upstream) error
		// Withdraw marks an upstream as leaving. An incarnation of zero means the current one.
		// The leave may be acknowledged only if the error is nil; it is an
		// *UnknownUpstreamError or a *RequestFailedError.
		Withdraw func(context.Context, registrar.UpstreamID, registrar.Incarnation) error
		// PutDocument commits a document. The error is an *InvalidDocumentError or a
		// *RequestFailedError.
		PutDocument func(context.Context, *state.Document) error
		// HoldsDocument reports whether a document with this content is in force. An earlier release
		// may have accepted one that this one rejects.
		HoldsDocument func(content []byte) bool
		// RejectDocument logs a document that cannot be read.
		RejectDocument func(content []byte, reason error)
		// Document returns the content of the current document, as the operator sent it,
		// after a majority has confirmed the leader. The content is nil if there is no
		// document. The error is a *RequestFailedError.
		Document func(context.Context) ([]byte, error)
		// Evacuate starts or finishes the evacuation of a failure domain. It may be acknowledged
		// only if the error is nil; it is an *evacuator.InvalidDomainError or a
		// *RequestFailedError.
		Evacuate func(ctx context.Context, domain registrar.FailureDomain, finish bool) error
	}

	// UsageReport is the usage of one window.
	UsageReport struct {
		Window uint64
		// Counts holds the number of requests by organisation. It is nil if only the
		// path and headers of the call are needed.
		Counts map[string]uint64
	}

	// ScaleOrder sets the desired number of upstreams of one pool, failure domain and capacity type.
	ScaleOrder struct {
		Pool          string
		FailureDomain string
		Count         int
		Preemptible   bool
	}

	// Call is a POST request to the platform. The path is appended to the URL in the settings.
	Call struct {
		Path string
		Body []byte
		// Header returns the headers for a lease holder and its fencing number.
		Header func(holder string, fencingNumber uint64) http.Header
	}

	// InvalidDocumentError reports a document that was refused as invalid.
	InvalidDocumentError struct {
		Detail string
	}
)

// Error implements error.
func (e *InvalidDocumentError) Error() string { return "invalid document: " + e.Detail }

// publicHandler returns the handler for operators and, with a dialect, upstreams.
func (c *Controller) publicHandler() http.Handler {
	if c.dialect.Handler == nil {
		return c.operatorHandler()
	}
	return c.dialect.Handler(Backend{
		Announce:       c.announce,
		Withdraw:       c.withdraw,
		PutDocument:    c.putDocument,
		HoldsDocument:  c.holdsDocument,
		RejectDocument: c.rejectDocument,
		Document:       c.readDocument,
		Evacuate:       c.evacuate,
	})
}

// checkDocument validates a document before it is proposed: the host that has read it may be of an earlier
// release. One that is not later than the current one would have no effect.
func (c *Controller) checkDocument(d *state.Document) error {
	if current := c.stateMachine.Document(); current != nil && d.GetVersion() <= current.GetVersion() {
		return nil
	}
	return configurer.CheckDocument(d.GetConfiguration())
}

// holdsDocument reports whether a document is in force, as the operator sent it.
func (c *Controller) holdsDocument(content []byte) bool {
	current := c.stateMachine.Document()
	return current != nil && bytes.Equal(current.GetContent(), content)
}

// putDocument commits a document. One that is not later than the current one is acknowledged
// at once: what this process has applied is committed, and versions never go back.
func (c *Controller) putDocument(ctx context.Context, d *state.Document) error {
	if current := c.stateMachine.Document(); current != nil && d.GetVersion() <= current.GetVersion() {
		return nil
	}
	ctx, cancel := withTimeoutFor(ctx, documentCallTimeout, proto.Size(d))
	defer cancel()
	command := &state.Command{Kind: &state.Command_Document{Document: d}}
	reply := c.execute(ctx, &wire.Request{Kind: &wire.Request_Propose{Propose: command}})
	if f := reply.GetFailure(); f != nil {
		return errors.WithStack(&RequestFailedError{Reason: f.GetReason(), Detail: f.GetDetail()})
	}
	outcome := reply.GetPropose().GetOutcome()
	c.log.Info("processed a document", zap.Uint64("version", d.GetVersion()), zap.Int("bytes", len(d.GetContent())),
		zap.Bool("accepted", outcome.GetAccepted()), zap.Uint64("revision", outcome.GetRevision()),
		zap.String("reason", outcome.GetReason()), zap.String("detail", outcome.GetDetail()))
	if !outcome.GetAccepted() && outcome.GetReason() == keeper.ReasonInvalid {
		return &InvalidDocumentError{Detail: outcome.GetDetail()}
	}
	if !outcome.GetAccepted() {
		return &RequestFailedError{Reason: outcome.GetReason(), Detail: outcome.GetDetail()}
	}
	return nil
}

func (c *Controller) rejectDocument(content []byte, reason error) {
	c.log.Warn("rejected a document", zap.Int("bytes", len(content)), zap.Error(reason))
}

func (c *Controller) readDocument(ctx context.Context) ([]byte, error) {
	ctx, cancel := withTimeoutFor(ctx, documentCallTimeout, len(c.stateMachine.Document().GetContent()))
	defer cancel()
	reply := c.execute(ctx, &wire.Request{Kind: &wire.Request_Read{Read: &wire.Read{What: ReadDocument}}})
	if f := reply.GetFailure(); f != nil {
		return nil, &RequestFailedError{Reason: f.GetReason(), Detail: f.GetDetail()}
	}
	return reply.GetRead().GetDocument(), nil
}
