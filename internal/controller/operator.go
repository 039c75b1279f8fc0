package controller

import (
	"context"
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"encoding/json"
	"net/http"
	"os"
	"strings"

	"github.com/go-kit/kit/endpoint"
	kithttp "github.com/go-kit/kit/transport/http"
	"github.com/pkg/errors"
	"go.uber.org/zap"
	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"

	"github.com/comfreybend/comfreybend/internal/configurer"
	"github.com/comfreybend/comfreybend/internal/ingester"
	"github.com/comfreybend/comfreybend/internal/keeper"
	"github.com/comfreybend/comfreybend/pkg/isolator"
	"github.com/comfreybend/comfreybend/schema/state"
	"github.com/comfreybend/comfreybend/schema/wire"
)

const (
	// maxChangeBytes bounds the body of a change request.
	maxChangeBytes = 16 << 20
	bearerPrefix   = "Bearer "
)

type (
	// operatorContextKey is the context key of the operator's name.
	operatorContextKey struct{}

	// UnauthorizedError reports a request without a valid operator token.
	UnauthorizedError struct{}

	// MalformedError reports a request that cannot be decoded.
	MalformedError struct {
		Cause error
	}

	// RequestFailedError reports a request that could not be served or whose command
	// was refused. Reason is one of the Reason constants or the reason of an outcome.
	RequestFailedError struct {
		Reason string
		Detail string
	}

	// ErrorBody is the JSON body of an error response of the operator API.
	ErrorBody struct {
		Reason string `json:"reason"`
		Detail string `json:"detail"`
	}
)

// Error implements error.
func (e *UnauthorizedError) Error() string { return "operator token missing or unknown" }

// Error implements error.
func (e *MalformedError) Error() string { return "malformed request: " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *MalformedError) Unwrap() error { return e.Cause }

// Error implements error.
func (e *RequestFailedError) Error() string { return e.Reason + ": " + e.Detail }

// operatorHandler returns the handler of the operator API.
func (c *Controller) operatorHandler() http.Handler {
	mux := http.NewServeMux()
	options := []kithttp.ServerOption{
		kithttp.ServerBefore(c.withOperator),
		kithttp.ServerErrorEncoder(encodeOperatorError),
	}
	authenticated := endpoint.Chain(requireOperator)
	mux.Handle("POST /operator/v1/changes", kithttp.NewServer(
		authenticated(c.changeEndpoint), decodeChange, encodeProto, options...))
	mux.Handle("POST /operator/v1/parts/{id}/lift", kithttp.NewServer(
		authenticated(c.liftEndpoint), decodePartID, encodeProto, options...))
	mux.Handle("POST /operator/v1/evacuations/{domain...}", kithttp.NewServer(
		authenticated(c.evacuationEndpoint), decodeEvacuationOrder(false), encodeProto, options...))
	mux.Handle("DELETE /operator/v1/evacuations/{domain...}", kithttp.NewServer(
		authenticated(c.evacuationEndpoint), decodeEvacuationOrder(true), encodeProto, options...))
	for _, what := range []string{ReadConfiguration, ReadKeys, ReadAudit, ReadStatus, ReadUpstreams, ReadParts, ReadEvacuations} {
		decode := func(context.Context, *http.Request) (any, error) { return &wire.Read{What: what}, nil }
		mux.Handle("GET /operator/v1/"+what, kithttp.NewServer(
			authenticated(c.readEndpoint), decode, encodeProto, options...))
	}
	return mux
}

// withOperator returns a context with the name of the operator whose token the
// request carries, if there is one. The token file is a JSON object from operator
// names to the hex SHA-256 hashes of their tokens. It is read for each request, so
// that changes apply at once.
func (c *Controller) withOperator(ctx context.Context, r *http.Request) context.Context {
	token, found := strings.CutPrefix(r.Header.Get("Authorization"), bearerPrefix)
	if !found {
		return ctx
	}
	data, err := os.ReadFile(c.settings.GetControl().GetOperatorTokenFile())
	if err != nil {
		c.log.Error("operator token file cannot be read", zap.Error(err))
		return ctx
	}
	hashesByOperator := map[string]string{}
	if err = json.Unmarshal(data, &hashesByOperator); err != nil {
		c.log.Error("operator token file is not a JSON object", zap.Error(err))
		return ctx
	}
	sum := sha256.Sum256([]byte(token))
	presented := hex.EncodeToString(sum[:])
	for name, hash := range hashesByOperator {
		if subtle.ConstantTimeCompare([]byte(presented), []byte(hash)) == 1 {
			return context.WithValue(ctx, operatorContextKey{}, name)
		}
	}
	return ctx
}

// requireOperator is a middleware that refuses requests for which withOperator found no operator.
func requireOperator(next endpoint.Endpoint) endpoint.Endpoint {
	return func(ctx context.Context, request any) (any, error) {
		if ctx.Value(operatorContextKey{}) == nil {
			return nil, &UnauthorizedError{}
		}
		return next(ctx, request)
	}
}

func decodeChange(_ context.Context, r *http.Request) (any, error) {
	body, err := ingester.Content(r, maxChangeBytes)
	if err != nil {
		return nil, &MalformedError{Cause: err}
	}
	change := &state.Change{}
	if err = protojson.Unmarshal(body, change); err != nil {
		return nil, &MalformedError{Cause: err}
	}
	if change.GetChangeId() == "" {
		return nil, &MalformedError{Cause: errors.New("changeId is missing")}
	}
	if err = configurer.CheckOperation(change.GetOperation()); err != nil {
		return nil, &MalformedError{Cause: err}
	}
	return change, nil
}

func (c *Controller) changeEndpoint(ctx context.Context, request any) (any, error) {
	change, _ := request.(*state.Change)
	change.Operator, _ = ctx.Value(operatorContextKey{}).(string)
	data, err := keeper.MarshalDeterministic(change.GetOperation())
	if err != nil {
		return nil, &MalformedError{Cause: err}
	}
	sum := sha256.Sum256(data)
	change.Fingerprint = sum[:]
	command := &state.Command{Kind: &state.Command_Change{Change: change}}
	reply := c.execute(ctx, &wire.Request{Kind: &wire.Request_Propose{Propose: command}})
	if f := reply.GetFailure(); f != nil {
		return nil, &RequestFailedError{Reason: f.GetReason(), Detail: f.GetDetail()}
	}
	outcome := reply.GetPropose().GetOutcome()
	c.log.Info("processed an operator's change",
		zap.String("operator", change.GetOperator()), zap.String("changeId", change.GetChangeId()),
		zap.String("summary", keeper.Summarize(change.GetOperation())), zap.Bool("accepted", outcome.GetAccepted()),
		zap.Uint64("revision", outcome.GetRevision()), zap.String("reason", outcome.GetReason()))
	return outcome, nil
}

func decodePartID(_ context.Context, r *http.Request) (any, error) {
	return isolator.PartID(r.PathValue("id")), nil
}

// liftEndpoint lets requests with a prompt part through again. The other processes learn of it
// like of other evidence.
func (c *Controller) liftEndpoint(ctx context.Context, request any) (any, error) {
	part, _ := request.(isolator.PartID)
	c.evidence.Lift(c.clusterView.agreedTime(c.settings.GetHost().GetId()), part)
	c.wakeGossip()
	operator, _ := ctx.Value(operatorContextKey{}).(string)
	c.log.Info("an operator lifted the hold of a prompt part", zap.String("operator", operator), zap.String("part", string(part)))
	return &wire.ReadReply{Parts: c.evidence.Accused()}, nil
}

func (c *Controller) readEndpoint(ctx context.Context, request any) (any, error) {
	read, _ := request.(*wire.Read)
	reply := c.execute(ctx, &wire.Request{Kind: &wire.Request_Read{Read: read}})
	if f := reply.GetFailure(); f != nil {
		return nil, &RequestFailedError{Reason: f.GetReason(), Detail: f.GetDetail()}
	}
	return reply.GetRead(), nil
}

// encodeProto writes a message as JSON. For an outcome, the HTTP status of the
// response depends on whether it was accepted and, if not, on the reason.
func encodeProto(_ context.Context, w http.ResponseWriter, response any) error {
	m, _ := response.(proto.Message)
	data, err := protojson.MarshalOptions{EmitDefaultValues: true}.Marshal(m)
	if err != nil {
		return errors.Wrap(err, "encoding an answer")
	}
	w.Header().Set("Content-Type", "application/json")
	if outcome, isOutcome := m.(*state.Outcome); isOutcome {
		w.WriteHeader(httpStatus(outcome))
	}
	_, err = w.Write(append(data, '\n'))
	return errors.Wrap(err, "writing an answer")
}

func httpStatus(o *state.Outcome) int {
	switch {
	case o.GetAccepted():
		return http.StatusOK
	case o.GetReason() == keeper.ReasonInvalid:
		return http.StatusUnprocessableEntity
	default:
		return http.StatusConflict
	}
}

func encodeOperatorError(_ context.Context, err error, w http.ResponseWriter) {
	status := http.StatusInternalServerError
	body := ErrorBody{Reason: "internal", Detail: err.Error()}
	var (
		failed    *RequestFailedError
		malformed *MalformedError
	)
	switch {
	case errors.As(err, new(*UnauthorizedError)):
		status = http.StatusUnauthorized
		body.Reason = "unauthorized"
	case errors.As(err, &malformed):
		status = http.StatusBadRequest
		body.Reason = ReasonInvalid
	case errors.As(err, &failed):
		status = http.StatusServiceUnavailable
		if failed.Reason == ReasonInDoubt {
			status = http.StatusGatewayTimeout
		}
		body = ErrorBody{Reason: failed.Reason, Detail: failed.Detail}
		w.Header().Set("Retry-After", "1")
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}
