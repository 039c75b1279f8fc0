// Package operator provides the client of the operator API.
package operator

import (
	"bytes"
	"context"
	"crypto/rand"
	"crypto/sha256"
	"encoding/base64"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"time"

	"github.com/comfreybend/comfreybend/pkg/timer"

	"github.com/google/uuid"
	"github.com/pkg/errors"
	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"

	"github.com/comfreybend/comfreybend/schema/state"
	"github.com/comfreybend/comfreybend/schema/wire"
)

const (
	keyPrefix   = "cfb"
	keyIDBytes  = 6
	secretBytes = 24
	// changeAttempts and readAttempts are the maximum numbers of rounds through the
	// control processes. With retryInterval between them, 5 s and 3 s, they outlast the
	// election of a new leader.
	changeAttempts = 20
	readAttempts   = 12
	retryInterval  = 250 * time.Millisecond
	requestTimeout = 5 * time.Second
)

type (
	// Client calls the operator API of the control processes.
	Client struct {
		// URLs are the base URLs of the control processes' operator API.
		URLs []string
		// Token authenticates the operator.
		Token string
		// HTTP sends the requests.
		HTTP *http.Client
	}

	// RefusedError reports that the control processes refused a change.
	RefusedError struct {
		Outcome *state.Outcome
	}

	// UnavailableError reports that no control process gave a final answer. A change may or
	// may not have been accepted.
	UnavailableError struct {
		// ChangeID is empty for a read.
		ChangeID string
		Cause    error
	}

	// ResponseError is an error response of the operator API.
	ResponseError struct {
		Status int
		Body   string
	}

	// GrantedKey is a new key. Only the operator sees it: the control processes get
	// and store only its hash.
	GrantedKey struct {
		ID           string `json:"id"`
		Organisation string `json:"organisation"`
		Key          string `json:"key"`
		Revision     uint64 `json:"revision"`
	}
)

// Error implements error.
func (e *RefusedError) Error() string {
	return fmt.Sprintf("%s: %s", e.Outcome.GetReason(), e.Outcome.GetDetail())
}

// Error implements error.
func (e *UnavailableError) Error() string {
	if e.ChangeID == "" {
		return fmt.Sprintf("no answer from the control processes: %v", e.Cause)
	}
	return fmt.Sprintf("no answer from the control processes; change %s may or may not have been accepted; "+
		"resend it with the same change id (last error: %v)", e.ChangeID, e.Cause)
}

// Unwrap returns the underlying error.
func (e *UnavailableError) Unwrap() error { return e.Cause }

// Error implements error.
func (e *ResponseError) Error() string {
	return fmt.Sprintf("operator API answered %d: %s", e.Status, e.Body)
}

// New returns a client for the operator API at the given base URLs.
func New(urls []string, token string) *Client {
	return &Client{URLs: urls, Token: token, HTTP: &http.Client{Timeout: requestTimeout}}
}

// NewToken returns a random operator token and its hash for the operator token file.
func NewToken() (token, hash string) {
	secret := make([]byte, secretBytes)
	_, _ = rand.Read(secret)
	token = base64.RawURLEncoding.EncodeToString(secret)
	sum := sha256.Sum256([]byte(token))
	return token, hex.EncodeToString(sum[:])
}

// Read returns the response to a read of the operator API, such as "configuration".
func (c *Client) Read(ctx context.Context, what string) (*wire.ReadReply, error) {
	reply := &wire.ReadReply{}
	var err error
	for range readAttempts {
		err = c.call(ctx, http.MethodGet, "/operator/v1/"+what, nil, reply)
		if err == nil || isPermanent(err) {
			return reply, err
		}
		if !timer.Sleep(ctx, retryInterval) {
			break
		}
	}
	return nil, &UnavailableError{Cause: err}
}

// LiftPart lets requests with a prompt part through again that is held since engines ended
// under it. It returns the parts against which there is evidence.
func (c *Client) LiftPart(ctx context.Context, id string) (*wire.ReadReply, error) {
	reply := &wire.ReadReply{}
	return reply, c.call(ctx, http.MethodPost, "/operator/v1/parts/"+url.PathEscape(id)+"/lift", nil, reply)
}

// Evacuate starts or finishes the evacuation of a failure domain. While the outcome is unknown, the order
// is sent again, which has no further effect.
func (c *Client) Evacuate(ctx context.Context, domain string, finish bool) (*state.Outcome, error) {
	method := http.MethodPost
	if finish {
		method = http.MethodDelete
	}
	var err error
	for range changeAttempts {
		outcome := &state.Outcome{}
		err = c.call(ctx, method, "/operator/v1/evacuations/"+url.PathEscape(domain), nil, outcome)
		if err == nil {
			return checkAccepted(outcome)
		}
		if isPermanent(err) {
			return nil, err
		}
		if !timer.Sleep(ctx, retryInterval) {
			break
		}
	}
	return nil, errors.WithMessage(&UnavailableError{Cause: err}, "the order may or may not have been accepted")
}

// isPermanent reports whether err is a response that a retry would not change.
func isPermanent(err error) bool {
	var answered *ResponseError
	return errors.As(err, &answered) && answered.Status < http.StatusInternalServerError
}

// Change sends an operation. A negative base revision stands for the current revision.
// While the outcome is unknown, the change is sent again with the same id.
func (c *Client) Change(ctx context.Context, op *state.Operation, base int64, changeID string) (*state.Outcome, error) {
	if changeID == "" {
		changeID = uuid.NewString()
	}
	if base < 0 {
		current, err := c.Read(ctx, "configuration")
		if err != nil {
			return nil, err
		}
		base = int64(current.GetRevision())
	}
	change := &state.Change{ChangeId: changeID, BaseRevision: uint64(base), Operation: op}
	body, err := protojson.Marshal(change)
	if err != nil {
		return nil, errors.Wrap(err, "encoding the change")
	}
	for range changeAttempts {
		outcome := &state.Outcome{}
		err = c.call(ctx, http.MethodPost, "/operator/v1/changes", body, outcome)
		if err == nil {
			return checkAccepted(outcome)
		}
		if isPermanent(err) {
			return nil, err
		}
		if !timer.Sleep(ctx, retryInterval) {
			break
		}
	}
	return nil, &UnavailableError{ChangeID: changeID, Cause: err}
}

// checkAccepted returns a RefusedError along with the outcome of a refused change.
func checkAccepted(outcome *state.Outcome) (*state.Outcome, error) {
	if !outcome.GetAccepted() {
		return outcome, &RefusedError{Outcome: outcome}
	}
	return outcome, nil
}

// GrantKey creates a key for an organisation.
func (c *Client) GrantKey(ctx context.Context, organisation string, base int64, changeID string) (*GrantedKey, error) {
	id := randomHex(keyIDBytes)
	key := keyPrefix + "_" + id + "_" + randomHex(secretBytes)
	hash := sha256.Sum256([]byte(key))
	op := &state.Operation{Kind: &state.Operation_GrantKey{GrantKey: &state.Key{
		Id:           id,
		Organisation: organisation,
		Hash:         hash[:],
	}}}
	outcome, err := c.Change(ctx, op, base, changeID)
	if err != nil {
		return nil, err
	}
	return &GrantedKey{ID: id, Organisation: organisation, Key: key, Revision: outcome.GetRevision()}, nil
}

func randomHex(n int) string {
	data := make([]byte, n)
	_, _ = rand.Read(data)
	return hex.EncodeToString(data)
}

// call tries the control processes in turn until one returns a result or an error that a
// retry would not change. A refused change is a result, not an error.
func (c *Client) call(ctx context.Context, method, path string, body []byte, into proto.Message) error {
	var last error
	for _, base := range c.URLs {
		err := c.callURL(ctx, method, base+path, body, into)
		if err == nil || isPermanent(err) {
			return err
		}
		last = err
	}
	return last
}

func (c *Client) callURL(ctx context.Context, method, url string, body []byte, into proto.Message) error {
	request, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
	if err != nil {
		return errors.Wrap(err, "making the request")
	}
	request.Header.Set("Authorization", "Bearer "+c.Token)
	response, err := c.HTTP.Do(request)
	if err != nil {
		return errors.Wrap(err, "calling the operator API")
	}
	defer func() { _ = response.Body.Close() }()
	data, err := io.ReadAll(response.Body)
	if err != nil {
		return errors.Wrap(err, "reading the response")
	}
	// A refused change has an error status but an outcome as its body.
	_, isOutcome := into.(*state.Outcome)
	var outcome struct {
		Accepted *bool `json:"accepted"`
	}
	decided := isOutcome && json.Unmarshal(data, &outcome) == nil && outcome.Accepted != nil
	if response.StatusCode != http.StatusOK && !decided {
		return &ResponseError{Status: response.StatusCode, Body: string(bytes.TrimSpace(data))}
	}
	if err = protojson.Unmarshal(data, into); err != nil {
		return errors.Wrap(err, "decoding the response")
	}
	return nil
}
